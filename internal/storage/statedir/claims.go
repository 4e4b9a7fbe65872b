package statedir

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"yokeroute/logic/ownership"
)

// GathererState is what a gatherer has to know after a crash: the newest map of segments that it had heard of, and the
// names of once-only lookups of which a part call may have run, for so long as their clients may ask again.
type GathererState struct {
	journal      *Journal // nil without a disk
	retention    float64  // milliseconds for which a name is kept
	sentAt       map[string]float64
	claims       []claim // by time
	segmentMap   *ownership.Map
	unknownUntil float64 // until then names of before the start may be unknown
}

type claim struct {
	name   string
	sentAt float64
}

// record is one line of the journal, or of its snapshot.
type record struct {
	Sent   string     `json:"sent,omitempty"`  // a once-only lookup's part call is about to go
	NotRun string     `json:"unrun,omitempty"` // none of them ran
	At     float64    `json:"at,omitempty"`    // Unix milliseconds
	Map    *mapRecord `json:"map,omitempty"`
}

type mapRecord struct {
	Epoch    uint64          `json:"epoch"`
	Checksum string          `json:"sum"` // sixteen hex digits
	Segments []segmentRecord `json:"segments"`
}

type segmentRecord struct {
	Name   string   `json:"Name"`
	First  uint64   `json:"Lo"`
	Last   uint64   `json:"Hi"`
	Owners []string `json:"Owners"`
	Since  uint64   `json:"Since"`
}

func newMapRecord(m *ownership.Map) *mapRecord {
	r := &mapRecord{Epoch: m.Epoch, Checksum: fmt.Sprintf("%016x", m.Checksum)}
	if m.Segments != nil { // null and an empty list are different bytes
		r.Segments = make([]segmentRecord, 0, len(m.Segments))
	}
	for _, s := range m.Segments {
		r.Segments = append(r.Segments, segmentRecord{s.Name, s.Lo, s.Hi, s.Owners, s.OwnedSince})
	}
	return r
}

func (r *mapRecord) segmentMap() *ownership.Map {
	m := &ownership.Map{Epoch: r.Epoch}
	fmt.Sscanf(r.Checksum, "%x", &m.Checksum)
	for _, s := range r.Segments {
		keys := ownership.Range{Lo: s.First, Hi: s.Last}
		m.Segments = append(m.Segments, ownership.Segment{Name: s.Name, Range: keys, Owners: s.Owners, OwnedSince: s.Since})
	}
	return m
}

// RecoveredState says what was found, and how long it took.
type RecoveredState struct {
	Recovery
	Claims       int
	Epoch        uint64
	Duration     time.Duration
	UnknownUntil float64 // until then, Unix milliseconds, names of before may be unknown; 0 where all are known
}

// OpenGathererState opens the state in a folder at a time. Without a folder, or where records were lost, nothing is known
// of what ran before the start: until all such names would have been forgotten, a once-only lookup that its client
// says is a repeat may have run.
func OpenGathererState(folder string, maxJournalBytes int64, retention, now float64) (*GathererState, RecoveredState, error) {
	g := &GathererState{retention: retention, sentAt: map[string]float64{}}
	var r RecoveredState
	if folder == "" {
		g.unknownUntil, r.UnknownUntil = now+retention, now+retention
		return g, r, nil
	}
	began := time.Now()
	var err error
	g.journal, r.Recovery, err = OpenJournal(folder, maxJournalBytes, func(text []byte) error {
		var rec record
		if err := json.Unmarshal(text, &rec); err != nil {
			return fmt.Errorf("a record of %d bytes: %w", len(text), err) // its sum holds: another program wrote it
		}
		switch {
		case rec.Sent != "":
			g.sentAt[rec.Sent] = rec.At
		case rec.NotRun != "":
			delete(g.sentAt, rec.NotRun)
		case rec.Map != nil:
			m := rec.Map.segmentMap()
			if g.segmentMap == nil || m.Epoch > g.segmentMap.Epoch {
				g.segmentMap = m
			}
		}
		return nil
	})
	if err != nil {
		return nil, r, fmt.Errorf("state in %s: %w", folder, err)
	}
	for name, at := range g.sentAt {
		g.claims = append(g.claims, claim{name, at})
	}
	slices.SortFunc(g.claims, func(a, b claim) int { return cmp.Or(cmp.Compare(a.sentAt, b.sentAt), cmp.Compare(a.name, b.name)) })
	g.forget(now)
	if r.Damaged {
		g.unknownUntil, r.UnknownUntil = now+retention, now+retention
	}
	if g.segmentMap != nil {
		r.Epoch = g.segmentMap.Epoch
	}
	r.Claims, r.Duration = len(g.sentAt), time.Since(began)
	return g, r, nil
}

// Map is the newest map that was known, nil for none.
func (g *GathererState) Map() *ownership.Map { return g.segmentMap }

func (g *GathererState) forget(now float64) {
	n := 0
	for n < len(g.claims) && g.claims[n].sentAt < now-g.retention {
		if g.sentAt[g.claims[n].name] == g.claims[n].sentAt {
			delete(g.sentAt, g.claims[n].name)
		}
		n++
	}
	g.claims = g.claims[n:]
}

// MayHaveRun reports whether a part call of a once-only lookup of that name may have run; repeat is what its client
// says of it.
func (g *GathererState) MayHaveRun(name string, repeat bool, now float64) bool {
	_, known := g.sentAt[name]
	return known || repeat && now < g.unknownUntil
}

// RecordSent notes, before any byte of theirs goes, that part calls of once-only lookups are about to go. With a disk it
// returns once that is written; an error means that it may not be, and that the calls must not go.
func (g *GathererState) RecordSent(names []string, now float64) error {
	g.forget(now)
	var records [][]byte
	from := len(g.claims)
	for _, name := range names {
		if _, known := g.sentAt[name]; known {
			continue
		}
		g.sentAt[name] = now
		g.claims = append(g.claims, claim{name, now})
		records = append(records, encodeRecord(record{Sent: name, At: now}))
	}
	err := g.append(records)
	if err != nil { // against taking a name for written the next time
		for _, c := range g.claims[from:] {
			delete(g.sentAt, c.name)
		}
		g.claims = g.claims[:from]
	}
	return err
}

// RecordNotRun notes that no part call of a lookup ran after all, so that its client may ask again.
func (g *GathererState) RecordNotRun(name string) error {
	if _, known := g.sentAt[name]; !known {
		return nil
	}
	delete(g.sentAt, name)
	return g.append([][]byte{encodeRecord(record{NotRun: name})})
}

// SaveMap notes a newer map.
func (g *GathererState) SaveMap(m *ownership.Map) error {
	if g.segmentMap != nil && m.Epoch <= g.segmentMap.Epoch {
		return nil
	}
	g.segmentMap = m
	return g.append([][]byte{encodeMapRecord(m)})
}

func encodeRecord(r record) []byte {
	text, _ := json.Marshal(r) // strings and numbers always marshal
	return text
}

func encodeMapRecord(m *ownership.Map) []byte {
	return encodeRecord(record{Map: newMapRecord(m)})
}

func (g *GathererState) append(records [][]byte) error {
	if g.journal == nil || len(records) == 0 {
		return nil
	}
	if err := g.journal.Append(records...); err != nil {
		return err
	}
	if !g.journal.SnapshotDue() {
		return nil
	}
	return g.journal.Snapshot(func(put func([]byte) error) error {
		if g.segmentMap != nil {
			if err := put(encodeMapRecord(g.segmentMap)); err != nil {
				return err
			}
		}
		for _, c := range g.claims {
			if g.sentAt[c.name] != c.sentAt {
				continue
			}
			if err := put(encodeRecord(record{Sent: c.name, At: c.sentAt})); err != nil {
				return err
			}
		}
		return nil
	})
}

// Size is that of the journal behind its snapshot, in bytes, and how many names are kept.
func (g *GathererState) Size() (bytes int64, names int) {
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
