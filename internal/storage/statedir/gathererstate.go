// Package statedir stores, in a directory on a persistent disk, the state that a gatherer needs after a restart: the
// non-idempotent queries that may have run, the newest segment map, and the draining servers.
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

// GathererState is the state that a gatherer needs after a crash: the newest segment map, and the IDs of the
// non-idempotent queries that may have run, for as long as their clients may repeat them.
type GathererState struct {
	journal   *journal.Journal   // nil if the state is not stored in a folder
	retention float64            // how long IDs are kept, in milliseconds
	sentAt    map[string]float64 // when each query that may have run was sent, by its ID
	// claims lists the recorded queries, the oldest first. It includes queries that RecordNotRun has removed from sentAt.
	claims       []claim
	segmentMap   *ownership.Map
	unknownUntil float64 // time until which IDs recorded before the start may be missing
	nextRepairAt float64 // earliest time of the next attempt to replace a failed journal
}

// repairInterval is the minimum time in milliseconds between a failure of the journal and an attempt to replace it, and
// between two attempts, since each attempt writes the whole state.
const repairInterval = 1000

// errRepairLater is returned for records that arrive before a failed journal may be replaced.
var errRepairLater = errors.New("journal: an earlier write failed and the journal has not been replaced yet")

// claim records the ID of a non-idempotent query and when it was sent. The query may have run since then.
type claim struct {
	id     string
	sentAt float64 // Unix milliseconds
}

// RecoveredState reports what OpenGathererState found in the folder.
type RecoveredState struct {
	journal.Recovery
	Claims   int    // number of queries that may have run
	Epoch    uint64 // epoch of the stored segment map; 0 if there is none
	Duration time.Duration
	// UnknownUntil is the time until which queries sent before the start may be missing, in Unix milliseconds. It is 0 if
	// all of them are known.
	UnknownUntil float64
}

// OpenGathererState opens the state in a folder. If folder is empty, or if records are lost, each non-idempotent query
// that its client marks as a repeat counts as one that may have run before the start, until the retention has passed.
// Times are in Unix milliseconds, the retention is in milliseconds.
func OpenGathererState(
	folder string, maxJournalBytes int64, retention, now float64,
) (*GathererState, RecoveredState, error) {
	g := &GathererState{retention: retention, sentAt: map[string]float64{}}
	var recovered RecoveredState
	if folder == "" {
		g.unknownUntil = now + retention
		recovered.UnknownUntil = g.unknownUntil
		return g, recovered, nil
	}
	startedAt := time.Now()
	var err error
	g.journal, recovered.Recovery, err = journal.Open(journal.Config{
		Folder:   folder,
		MaxBytes: maxJournalBytes,
		Load:     g.load,
	})
	if err != nil {
		return nil, recovered, fmt.Errorf("open gatherer state in %s: %w", folder, err)
	}
	for id, sentAt := range g.sentAt {
		g.claims = append(g.claims, claim{id, sentAt})
	}
	slices.SortFunc(g.claims, func(a, b claim) int {
		return cmp.Or(cmp.Compare(a.sentAt, b.sentAt), cmp.Compare(a.id, b.id))
	})
	g.dropExpired(now)
	if recovered.Damaged {
		g.unknownUntil = now + retention
		recovered.UnknownUntil = g.unknownUntil
	}
	if g.segmentMap != nil {
		recovered.Epoch = g.segmentMap.Epoch
	}
	recovered.Claims = len(g.sentAt)
	recovered.Duration = time.Since(startedAt)
	return g, recovered, nil
}

// load applies one record of the journal. Since the record's checksum is correct, an error means that another program
// wrote the record.
func (g *GathererState) load(text []byte) error {
	var r stateRecord
	if err := json.Unmarshal(text, &r); err != nil {
		return fmt.Errorf("decode state record of %d bytes: %w", len(text), err)
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

// Map returns the newest segment map, or nil if there is none.
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

// MayHaveRun reports whether the query with this ID may have run. The caller sets repeated if the client has marked the
// query as a repeat.
func (g *GathererState) MayHaveRun(id string, repeated bool, now float64) bool {
	_, known := g.sentAt[id]
	return known || repeated && now < g.unknownUntil
}

// RecordSent stores the IDs of queries and must be called before any byte of them is sent. If it returns an error, the
// IDs may not be stored, and the queries must not be sent.
func (g *GathererState) RecordSent(ids []string, now float64) error {
	g.dropExpired(now)
	var records [][]byte
	previousClaims := len(g.claims)
	for _, id := range ids {
		if _, known := g.sentAt[id]; known {
			continue
		}
		g.sentAt[id] = now
		g.claims = append(g.claims, claim{id, now})
		records = append(records, encodeRecord(stateRecord{Sent: id, At: now}))
	}
	err := g.appendOrRepair(records, now)
	if err != nil { // forget the IDs, so that the next call does not assume that they are stored
		for _, c := range g.claims[previousClaims:] {
			delete(g.sentAt, c.id)
		}
		g.claims = g.claims[:previousClaims]
	}
	return err
}

// RecordNotRun stores that no server has run any part of a query, so that its client may repeat it. It does not wait
// for the disk: if a crash of the machine loses the record, the query counts as one that may have run.
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

// SaveMap stores a segment map if it is newer than the stored one.
func (g *GathererState) SaveMap(m *ownership.Map) error {
	if g.segmentMap != nil && m.Epoch <= g.segmentMap.Epoch {
		return nil
	}
	g.segmentMap = m
	return g.append([][]byte{encodeMapRecord(m)})
}

// appendOrRepair stores records that the state in memory already contains. If the journal has failed, for example
// because the disk was full, it stores them by a snapshot in new files.
func (g *GathererState) appendOrRepair(records [][]byte, now float64) error {
	if g.journal == nil || len(records) == 0 {
		return nil
	}
	if g.journal.Failed() {
		return g.repair(now)
	}
	err := g.append(records)
	if g.journal.Failed() {
		g.nextRepairAt = now + repairInterval
	}
	return err
}

// repair replaces a failed journal by a snapshot, no sooner than repairInterval after the failure or the last attempt.
func (g *GathererState) repair(now float64) error {
	if now < g.nextRepairAt {
		return errRepairLater
	}
	g.nextRepairAt = now + repairInterval
	return g.journal.Snapshot(g.writeState)
}

// append stores records, and writes a snapshot if one is due.
func (g *GathererState) append(records [][]byte) error {
	if g.journal == nil || len(records) == 0 {
		return nil
	}
	if err := g.journal.Append(records...); err != nil {
		return err
	}
	return g.snapshotIfDue()
}

// snapshotIfDue replaces a journal that has grown beyond its size limit.
func (g *GathererState) snapshotIfDue() error {
	if !g.journal.SnapshotDue() {
		return nil
	}
	return g.journal.Snapshot(g.writeState)
}

// writeState passes the records of the current state to put.
func (g *GathererState) writeState(put func(record []byte) error) error {
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

// Size returns the size of the journal in bytes and the number of queries that may have run.
func (g *GathererState) Size() (bytes int64, claims int) {
	if g.journal != nil {
		bytes = g.journal.Size()
	}
	return bytes, len(g.sentAt)
}

// Close closes the journal, if the state is stored in a folder.
func (g *GathererState) Close() error {
	if g.journal == nil {
		return nil
	}
	return g.journal.Close()
}
