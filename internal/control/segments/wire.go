// Package segments is where maps of segments are learnt: from a file of the operator's, or from an authority that
// tells of changes over HTTP. It reads, checks and hands on; what news is believed is decided by logic/ownership.
package segments

import (
	"encoding/json"
	"fmt"
	"strconv"

	"yokeroute/logic/ownership"
)

// segmentDocument is a segment as the authority words it.
type segmentDocument struct {
	Name       string   `json:"name"`
	Keys       string   `json:"keys"`
	Owners     []string `json:"owners"`
	OwnedSince uint64   `json:"since"`
}

// Response is what the authority tells: a whole map, or changes that follow what was known.
type Response struct {
	Full    *ownership.Map
	Changes []ownership.Change
}

type mapDocument struct {
	Epoch    uint64            `json:"epoch"`
	Checksum string            `json:"sum"`
	Segments []segmentDocument `json:"segments"`
}

type changeDocument struct {
	Epoch            uint64            `json:"epoch"`
	PreviousChecksum string            `json:"was"`
	Checksum         string            `json:"sum"`
	Reason           string            `json:"why"`
	Removed          []string          `json:"out"`
	Added            []segmentDocument `json:"in"`
}

type responseDocument struct {
	Full    *mapDocument     `json:"whole,omitempty"`
	Changes []changeDocument `json:"changes,omitempty"`
}

// maxChanges bounds the changes of one reply; who is further behind gets the whole map.
const maxChanges = 1024

func newSegmentDocument(s ownership.Segment) segmentDocument {
	return segmentDocument{s.Name, s.Range.Text(), s.Owners, s.OwnedSince}
}

func parseSegments(where string, list []segmentDocument) (segments []ownership.Segment, err error) {
	for i, s := range list {
		r, err := ownership.ParseRange(s.Keys)
		if err != nil {
			return nil, fmt.Errorf("%s[%d].keys: %w", where, i, err)
		}
		if s.Name == "" {
			return nil, fmt.Errorf("%s[%d].name: is empty", where, i)
		}
		segments = append(segments, ownership.Segment{Name: s.Name, Range: r, Owners: s.Owners, OwnedSince: s.OwnedSince})
	}
	return segments, nil
}

func parseChecksum(where, text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 {
		return 0, fmt.Errorf("%s: %q is no sum of sixteen hex digits", where, text)
	}
	return n, nil
}

// Encode writes a reply as the authority does.
func (r *Response) Encode() []byte {
	var w responseDocument
	if r.Full != nil {
		w.Full = &mapDocument{Epoch: r.Full.Epoch, Checksum: fmt.Sprintf("%016x", r.Full.Checksum), Segments: []segmentDocument{}}
		for _, s := range r.Full.Segments {
			w.Full.Segments = append(w.Full.Segments, newSegmentDocument(s))
		}
	}
	for _, c := range r.Changes {
		one := changeDocument{Epoch: c.Epoch, PreviousChecksum: fmt.Sprintf("%016x", c.PreviousChecksum), Checksum: fmt.Sprintf("%016x", c.Checksum), Reason: c.Reason, Removed: c.Removed}
		for _, s := range c.Added {
			one.Added = append(one.Added, newSegmentDocument(s))
		}
		w.Changes = append(w.Changes, one)
	}
	text, _ := json.Marshal(w) // names and numbers always marshal
	return append(text, '\n')
}

// ParseResponse reads a reply and checks its form, so that a bad one is dropped whole. The error names the field.
func ParseResponse(text []byte) (*Response, error) {
	var w responseDocument
	if err := json.Unmarshal(text, &w); err != nil {
		return nil, err
	}
	r := &Response{}
	var err error
	if w.Full != nil {
		m := &ownership.Map{Epoch: w.Full.Epoch}
		if m.Checksum, err = parseChecksum("whole.sum", w.Full.Checksum); err != nil {
			return nil, err
		}
		if m.Segments, err = parseSegments("whole.segments", w.Full.Segments); err != nil {
			return nil, err
		}
		if len(m.Segments) > ownership.MaxSegments {
			return nil, fmt.Errorf("whole.segments: %d, at most %d can be", len(m.Segments), ownership.MaxSegments)
		}
		r.Full = m
	}
	if len(w.Changes) > maxChanges {
		return nil, fmt.Errorf("changes: %d, at most %d can be in one reply", len(w.Changes), maxChanges)
	}
	for i, c := range w.Changes {
		where := fmt.Sprintf("changes[%d]", i)
		one := ownership.Change{Epoch: c.Epoch, Reason: c.Reason, Removed: c.Removed}
		if one.PreviousChecksum, err = parseChecksum(where+".was", c.PreviousChecksum); err != nil {
			return nil, err
		}
		if one.Checksum, err = parseChecksum(where+".sum", c.Checksum); err != nil {
			return nil, err
		}
		if one.Added, err = parseSegments(where+".in", c.Added); err != nil {
			return nil, err
		}
		r.Changes = append(r.Changes, one)
	}
	return r, nil
}
