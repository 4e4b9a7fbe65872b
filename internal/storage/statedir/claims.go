package statedir

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"yokeroute/logic/ownership"
)

// Gatherer is what a gatherer has to know after a crash: the newest map of segments that it had heard of, and the
// names of once-only lookups of which a part call may have run, for so long as their clients may ask again.
type Gatherer struct {
	journal *Journal // nil without a disk
	keep    float64  // milliseconds for which a name is kept
	names   map[string]float64
	order   []claim // by time
	epoch   *ownership.Map
	blind   float64 // until then names of before the start may be unknown
}

type claim struct {
	name string
	at   float64
}

// record is one line of the journal, or of its snapshot.
type record struct {
	Sent  string     `json:"sent,omitempty"`  // a once-only lookup's part call is about to go
	Unrun string     `json:"unrun,omitempty"` // none of them ran
	At    float64    `json:"at,omitempty"`    // Unix milliseconds
	Map   *mapRecord `json:"map,omitempty"`
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

// Recovered says what was found, and how long it took.
type Recovered struct {
	Recovery
	Names int
	Epoch uint64
	Took  time.Duration
	Blind float64 // until then, Unix milliseconds, names of before may be unknown; 0 where all are known
}

// OpenGatherer opens the state in a folder at a time. Without a folder, or where records were lost, nothing is known
// of what ran before the start: until all such names would have been forgotten, a once-only lookup that its client
// says is a repeat may have run.
func OpenGatherer(dir string, most int64, keep, now float64) (*Gatherer, Recovered, error) {
	g := &Gatherer{keep: keep, names: map[string]float64{}}
	var r Recovered
	if dir == "" {
		g.blind, r.Blind = now+keep, now+keep
		return g, r, nil
	}
	began := time.Now()
	var err error
	g.journal, r.Recovery, err = Open(dir, most, func(text []byte) error {
		var rec record
		if err := json.Unmarshal(text, &rec); err != nil {
			return fmt.Errorf("a record of %d bytes: %w", len(text), err) // its sum holds: another program wrote it
		}
		switch {
		case rec.Sent != "":
			g.names[rec.Sent] = rec.At
		case rec.Unrun != "":
			delete(g.names, rec.Unrun)
		case rec.Map != nil:
			m := rec.Map.segmentMap()
			if g.epoch == nil || m.Epoch > g.epoch.Epoch {
				g.epoch = m
			}
		}
		return nil
	})
	if err != nil {
		return nil, r, fmt.Errorf("state in %s: %w", dir, err)
	}
	for name, at := range g.names {
		g.order = append(g.order, claim{name, at})
	}
	slices.SortFunc(g.order, func(a, b claim) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.name, b.name)) })
	g.forget(now)
	if r.Damaged {
		g.blind, r.Blind = now+keep, now+keep
	}
	if g.epoch != nil {
		r.Epoch = g.epoch.Epoch
	}
	r.Names, r.Took = len(g.names), time.Since(began)
	return g, r, nil
}

// Map is the newest map that was known, nil for none.
func (g *Gatherer) Map() *ownership.Map { return g.epoch }

func (g *Gatherer) forget(now float64) {
	n := 0
	for n < len(g.order) && g.order[n].at < now-g.keep {
		if g.names[g.order[n].name] == g.order[n].at {
			delete(g.names, g.order[n].name)
		}
		n++
	}
	g.order = g.order[n:]
}

// MayHaveRun reports whether a part call of a once-only lookup of that name may have run; repeat is what its client
// says of it.
func (g *Gatherer) MayHaveRun(name string, repeat bool, now float64) bool {
	_, known := g.names[name]
	return known || repeat && now < g.blind
}

// RecordSent notes, before any byte of theirs goes, that part calls of once-only lookups are about to go. With a disk it
// returns once that is written; an error means that it may not be, and that the calls must not go.
func (g *Gatherer) RecordSent(names []string, now float64) error {
	g.forget(now)
	var records [][]byte
	from := len(g.order)
	for _, name := range names {
		if _, known := g.names[name]; known {
			continue
		}
		g.names[name] = now
		g.order = append(g.order, claim{name, now})
		records = append(records, encode(record{Sent: name, At: now}))
	}
	err := g.write(records)
	if err != nil { // against taking a name for written the next time
		for _, c := range g.order[from:] {
			delete(g.names, c.name)
		}
		g.order = g.order[:from]
	}
	return err
}

// RecordNotRun notes that no part call of a lookup ran after all, so that its client may ask again.
func (g *Gatherer) RecordNotRun(name string) error {
	if _, known := g.names[name]; !known {
		return nil
	}
	delete(g.names, name)
	return g.write([][]byte{encode(record{Unrun: name})})
}

// SaveMap notes a newer map.
func (g *Gatherer) SaveMap(m *ownership.Map) error {
	if g.epoch != nil && m.Epoch <= g.epoch.Epoch {
		return nil
	}
	g.epoch = m
	return g.write([][]byte{encodeMap(m)})
}

func encode(r record) []byte {
	text, _ := json.Marshal(r) // strings and numbers always marshal
	return text
}

func encodeMap(m *ownership.Map) []byte {
	return encode(record{Map: newMapRecord(m)})
}

func (g *Gatherer) write(records [][]byte) error {
	if g.journal == nil || len(records) == 0 {
		return nil
	}
	if err := g.journal.Append(records...); err != nil {
		return err
	}
	if !g.journal.Full() {
		return nil
	}
	return g.journal.Snapshot(func(put func([]byte) error) error {
		if g.epoch != nil {
			if err := put(encodeMap(g.epoch)); err != nil {
				return err
			}
		}
		for _, c := range g.order {
			if g.names[c.name] != c.at {
				continue
			}
			if err := put(encode(record{Sent: c.name, At: c.at})); err != nil {
				return err
			}
		}
		return nil
	})
}

// Size is that of the journal behind its snapshot, in bytes, and how many names are kept.
func (g *Gatherer) Size() (bytes int64, names int) {
	if g.journal != nil {
		bytes = g.journal.Size()
	}
	return bytes, len(g.names)
}

// Close closes the folder.
func (g *Gatherer) Close() error {
	if g.journal == nil {
		return nil
	}
	return g.journal.Close()
}
