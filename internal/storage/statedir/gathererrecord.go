package statedir

import (
	"encoding/json"
	"fmt"

	"yokeroute/logic/ownership"
)

// stateRecord is one record of a gatherer's journal. It contains one of Sent, NotRun and Map.
type stateRecord struct {
	Sent   string     `json:"sent,omitempty"`  // ID of a non-idempotent query that is about to be sent
	NotRun string     `json:"unrun,omitempty"` // ID of a sent query that no server has run
	At     float64    `json:"at,omitempty"`    // time of Sent, in Unix milliseconds
	Map    *mapRecord `json:"map,omitempty"`
}

type mapRecord struct {
	Epoch    uint64          `json:"epoch"`
	Checksum string          `json:"sum"` // 16 hexadecimal digits
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
	if m.Segments != nil { // a nil list is encoded as null, an empty one as []
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

// segmentMap returns the recorded map. The map's checksum is 0 if the record contains none.
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
	text, _ := json.Marshal(r) // never fails: the record contains only strings and finite numbers
	return text
}

func encodeMapRecord(m *ownership.Map) []byte {
	return encodeRecord(stateRecord{Map: newMapRecord(m)})
}
