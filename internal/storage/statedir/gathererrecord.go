package statedir

import (
	"encoding/json"
	"fmt"

	"yokeroute/logic/ownership"
)

// stateRecord is one record of a gatherer's journal.
type stateRecord struct {
	Sent   string     `json:"sent,omitempty"`  // ID of a query that is about to be sent
	NotRun string     `json:"unrun,omitempty"` // ID of one of which nothing has run
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
		r.Segments = append(r.Segments, segmentRecord{
			Name:   s.Name,
			First:  s.Lo,
			Last:   s.Hi,
			Owners: s.Owners,
			Since:  s.OwnedSince,
		})
	}
	return r
}

// segmentMap is the map that was recorded. Its checksum is 0 where the record holds none.
func (r *mapRecord) segmentMap() *ownership.Map {
	m := &ownership.Map{Epoch: r.Epoch}
	_, _ = fmt.Sscanf(r.Checksum, "%x", &m.Checksum)
	for _, s := range r.Segments {
		m.Segments = append(m.Segments, ownership.Segment{
			Name:       s.Name,
			Range:      ownership.Range{Lo: s.First, Hi: s.Last},
			Owners:     s.Owners,
			OwnedSince: s.Since,
		})
	}
	return m
}

func encodeRecord(r stateRecord) []byte {
	text, _ := json.Marshal(r) // strings and finite numbers always marshal
	return text
}

func encodeMapRecord(m *ownership.Map) []byte {
	return encodeRecord(stateRecord{Map: newMapRecord(m)})
}
