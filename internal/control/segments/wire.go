// Package segments is where maps of segments are learnt: from a file of the operator's, or from an authority that
// tells of changes over HTTP. It reads, checks and hands on; what news is believed is decided by logic/ownership.
package segments

import (
	"encoding/json"
	"fmt"
	"strconv"

	"yokeroute/logic/ownership"
)

// segment is a segment as the authority words it.
type segment struct {
	Name   string   `json:"name"`
	Keys   string   `json:"keys"`
	Owners []string `json:"owners"`
	Since  uint64   `json:"since"`
}

// Reply is what the authority tells: a whole map, or changes that follow what was known.
type Reply struct {
	Whole   *ownership.Map
	Changes []ownership.Change
}

type wireMap struct {
	Epoch    uint64    `json:"epoch"`
	Sum      string    `json:"sum"`
	Segments []segment `json:"segments"`
}

type wireChange struct {
	Epoch uint64    `json:"epoch"`
	Was   string    `json:"was"`
	Sum   string    `json:"sum"`
	Why   string    `json:"why"`
	Out   []string  `json:"out"`
	In    []segment `json:"in"`
}

type wireReply struct {
	Whole   *wireMap     `json:"whole,omitempty"`
	Changes []wireChange `json:"changes,omitempty"`
}

// mostChanges bounds the changes of one reply; who is further behind gets the whole map.
const mostChanges = 1024

func wire(s ownership.Segment) segment {
	return segment{s.Name, s.Range.Text(), s.Owners, s.OwnedSince}
}

func unwire(where string, list []segment) (segments []ownership.Segment, err error) {
	for i, s := range list {
		r, err := ownership.ParseRange(s.Keys)
		if err != nil {
			return nil, fmt.Errorf("%s[%d].keys: %w", where, i, err)
		}
		if s.Name == "" {
			return nil, fmt.Errorf("%s[%d].name: is empty", where, i)
		}
		segments = append(segments, ownership.Segment{Name: s.Name, Range: r, Owners: s.Owners, OwnedSince: s.Since})
	}
	return segments, nil
}

func sumOf(where, text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 {
		return 0, fmt.Errorf("%s: %q is no sum of sixteen hex digits", where, text)
	}
	return n, nil
}

// Text writes a reply as the authority does.
func (r *Reply) Text() []byte {
	var w wireReply
	if r.Whole != nil {
		w.Whole = &wireMap{Epoch: r.Whole.Epoch, Sum: fmt.Sprintf("%016x", r.Whole.Checksum), Segments: []segment{}}
		for _, s := range r.Whole.Segments {
			w.Whole.Segments = append(w.Whole.Segments, wire(s))
		}
	}
	for _, c := range r.Changes {
		one := wireChange{Epoch: c.Epoch, Was: fmt.Sprintf("%016x", c.PreviousChecksum), Sum: fmt.Sprintf("%016x", c.Checksum), Why: c.Reason, Out: c.Removed}
		for _, s := range c.Added {
			one.In = append(one.In, wire(s))
		}
		w.Changes = append(w.Changes, one)
	}
	text, _ := json.Marshal(w) // names and numbers always marshal
	return append(text, '\n')
}

// Parse reads a reply and checks its form, so that a bad one is dropped whole. The error names the field.
func Parse(text []byte) (*Reply, error) {
	var w wireReply
	if err := json.Unmarshal(text, &w); err != nil {
		return nil, err
	}
	r := &Reply{}
	var err error
	if w.Whole != nil {
		m := &ownership.Map{Epoch: w.Whole.Epoch}
		if m.Checksum, err = sumOf("whole.sum", w.Whole.Sum); err != nil {
			return nil, err
		}
		if m.Segments, err = unwire("whole.segments", w.Whole.Segments); err != nil {
			return nil, err
		}
		if len(m.Segments) > ownership.MaxSegments {
			return nil, fmt.Errorf("whole.segments: %d, at most %d can be", len(m.Segments), ownership.MaxSegments)
		}
		r.Whole = m
	}
	if len(w.Changes) > mostChanges {
		return nil, fmt.Errorf("changes: %d, at most %d can be in one reply", len(w.Changes), mostChanges)
	}
	for i, c := range w.Changes {
		where := fmt.Sprintf("changes[%d]", i)
		one := ownership.Change{Epoch: c.Epoch, Reason: c.Why, Removed: c.Out}
		if one.PreviousChecksum, err = sumOf(where+".was", c.Was); err != nil {
			return nil, err
		}
		if one.Checksum, err = sumOf(where+".sum", c.Sum); err != nil {
			return nil, err
		}
		if one.Added, err = unwire(where+".in", c.In); err != nil {
			return nil, err
		}
		r.Changes = append(r.Changes, one)
	}
	return r, nil
}
