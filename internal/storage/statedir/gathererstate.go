// Package statedir keeps what a gatherer must know after a restart, in a directory on a disk that lasts: which
// non-idempotent queries may have run, the newest segment map, and which servers drain.
package statedir

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"yokeroute/internal/storage/journal"
	"yokeroute/logic/ownership"
)

// GathererState is what a gatherer must know after a crash: the newest segment map, and the IDs of the non-idempotent
// queries that may have run, for as long as their clients may repeat them.
type GathererState struct {
	journal      *journal.Journal // nil without a folder
	retention    float64          // of IDs, in milliseconds
	sentAt       map[string]float64
	claims       []claim // with those of which nothing has run, the oldest first
	segmentMap   *ownership.Map
	unknownUntil float64 // until then, IDs of before the start may be missing
	repairAt     float64 // when a journal that has failed may be replaced again
}

// repairInterval is between a failure of the journal and a try to replace it, in milliseconds, and between two tries:
// each writes all there is.
const repairInterval = 1000

// errRepairLater is the error of records that come before a journal that has failed may be replaced.
var errRepairLater = errors.New("journal: a write has failed, and it is not replaced yet")

// claim is a query that may have run.
type claim struct {
	id     string
	sentAt float64
}

// RecoveredState is what was found in a folder.
type RecoveredState struct {
	journal.Recovery
	Claims   int // queries that may have run
	Epoch    uint64
	Duration time.Duration
	// UnknownUntil is until when queries of before the start may be missing, in Unix milliseconds. It is 0 where all
	// are known.
	UnknownUntil float64
}

// OpenGathererState opens the state in a folder. Without a folder, or where records are lost, a non-idempotent query
// that its client marks as a repeat may have run before the start, until the retention is over. Times are Unix
// milliseconds.
func OpenGathererState(
	folder string, maxJournalBytes int64, retention, now float64,
) (*GathererState, RecoveredState, error) {
	g := &GathererState{retention: retention, sentAt: map[string]float64{}}
	var found RecoveredState
	if folder == "" {
		g.unknownUntil = now + retention
		found.UnknownUntil = g.unknownUntil
		return g, found, nil
	}
	startedAt := time.Now()
	var err error
	g.journal, found.Recovery, err = journal.Open(journal.Config{
		Folder:   folder,
		MaxBytes: maxJournalBytes,
		Load:     g.load,
	})
	if err != nil {
		return nil, found, fmt.Errorf("state in %s: %w", folder, err)
	}
	for id, sentAt := range g.sentAt {
		g.claims = append(g.claims, claim{id, sentAt})
	}
	slices.SortFunc(g.claims, func(a, b claim) int {
		return cmp.Or(cmp.Compare(a.sentAt, b.sentAt), cmp.Compare(a.id, b.id))
	})
	g.dropExpired(now)
	if found.Damaged {
		g.unknownUntil = now + retention
		found.UnknownUntil = g.unknownUntil
	}
	if g.segmentMap != nil {
		found.Epoch = g.segmentMap.Epoch
	}
	found.Claims = len(g.sentAt)
	found.Duration = time.Since(startedAt)
	return g, found, nil
}

// load takes over one record. An error means that another program wrote it, since its checksum is right.
func (g *GathererState) load(text []byte) error {
	var r stateRecord
	if err := json.Unmarshal(text, &r); err != nil {
		return fmt.Errorf("record of %d bytes: %w", len(text), err)
	}
	switch {
	case r.Sent != "":
		g.sentAt[r.Sent] = r.At
	case r.NotRun != "":
		delete(g.sentAt, r.NotRun)
	case r.Map != nil:
		if g.segmentMap == nil || r.Map.Epoch > g.segmentMap.Epoch {
			g.segmentMap = r.Map.segmentMap()
		}
	}
	return nil
}

// Map is the newest map that is stored, nil for none.
func (g *GathererState) Map() *ownership.Map { return g.segmentMap }

func (g *GathererState) dropExpired(now float64) {
	n := 0
	for n < len(g.claims) && g.claims[n].sentAt < now-g.retention {
		if c := g.claims[n]; g.sentAt[c.id] == c.sentAt {
			delete(g.sentAt, c.id)
		}
		n++
	}
	g.claims = g.claims[n:]
}

// MayHaveRun reports whether a query of this ID may have run. Repeated is set for one that its client marked as a
// repeat.
func (g *GathererState) MayHaveRun(id string, repeated bool, now float64) bool {
	_, known := g.sentAt[id]
	return known || repeated && now < g.unknownUntil
}

// RecordSent stores the IDs of queries before any byte of them is sent. After an error they may not be stored, and
// must not be sent.
func (g *GathererState) RecordSent(ids []string, now float64) error {
	g.dropExpired(now)
	var records [][]byte
	known := len(g.claims)
	for _, id := range ids {
		if _, known := g.sentAt[id]; known {
			continue
		}
		g.sentAt[id] = now
		g.claims = append(g.claims, claim{id, now})
		records = append(records, encodeRecord(stateRecord{Sent: id, At: now}))
	}
	err := g.appendOrRepair(records, now)
	if err != nil { // the next call must not take them for stored
		for _, c := range g.claims[known:] {
			delete(g.sentAt, c.id)
		}
		g.claims = g.claims[:known]
	}
	return err
}

// RecordNotRun stores that nothing of a query has run, so that its client may repeat it. It does not wait for the disk:
// where a crash of the machine loses the record, the query may have run.
func (g *GathererState) RecordNotRun(id string) error {
	if _, known := g.sentAt[id]; !known {
		return nil
	}
	delete(g.sentAt, id)
	if g.journal == nil {
		return nil
	}
	if err := g.journal.AppendUnsynced(encodeRecord(stateRecord{NotRun: id})); err != nil {
		return err
	}
	return g.snapshotIfDue()
}

// SaveMap stores a map, unless it is no newer than the stored one.
func (g *GathererState) SaveMap(m *ownership.Map) error {
	if g.segmentMap != nil && m.Epoch <= g.segmentMap.Epoch {
		return nil
	}
	g.segmentMap = m
	return g.append([][]byte{encodeMapRecord(m)})
}

// appendOrRepair stores records which the present state holds already. Where the journal has failed, as on a disk that
// was full, a snapshot stores them in new files.
func (g *GathererState) appendOrRepair(records [][]byte, now float64) error {
	if g.journal == nil || len(records) == 0 {
		return nil
	}
	if g.journal.Failed() {
		return g.repair(now)
	}
	err := g.append(records)
	if g.journal.Failed() {
		g.repairAt = now + repairInterval
	}
	return err
}

// repair replaces a journal that has failed, no sooner than repairInterval after the failure or the last try.
func (g *GathererState) repair(now float64) error {
	if now < g.repairAt {
		return errRepairLater
	}
	g.repairAt = now + repairInterval
	return g.journal.Snapshot(g.writeAll)
}

// append stores records, and a snapshot where that is due.
func (g *GathererState) append(records [][]byte) error {
	if g.journal == nil || len(records) == 0 {
		return nil
	}
	if err := g.journal.Append(records...); err != nil {
		return err
	}
	return g.snapshotIfDue()
}

// snapshotIfDue replaces a journal that has outgrown its limit.
func (g *GathererState) snapshotIfDue() error {
	if !g.journal.SnapshotDue() {
		return nil
	}
	return g.journal.Snapshot(g.writeAll)
}

// writeAll puts the records that stand for the present state.
func (g *GathererState) writeAll(put func(record []byte) error) error {
	if g.segmentMap != nil {
		if err := put(encodeMapRecord(g.segmentMap)); err != nil {
			return err
		}
	}
	for _, c := range g.claims {
		if g.sentAt[c.id] != c.sentAt {
			continue
		}
		if err := put(encodeRecord(stateRecord{Sent: c.id, At: c.sentAt})); err != nil {
			return err
		}
	}
	return nil
}

// Size returns the journal's size in bytes, and how many queries may have run.
func (g *GathererState) Size() (bytes int64, claims int) {
	if g.journal != nil {
		bytes = g.journal.Size()
	}
	return bytes, len(g.sentAt)
}

// Close closes the folder.
func (g *GathererState) Close() error {
	if g.journal == nil {
		return nil
	}
	return g.journal.Close()
}
