// Package segments reads segment maps, from an operator's file or from an authority that serves changes over HTTP.
// Package ownership decides which maps and changes to accept.
package segments

import (
	"encoding/json"
	"fmt"
	"strconv"

	"yokeroute/logic/ownership"
)

// maxChanges limits the number of changes in a response. A gatherer that is further behind gets the full map.
const maxChanges = 1024

// checksumDigits is the number of hex digits of an encoded checksum.
const checksumDigits = 16

// Response is the authority's response: the full map, or the changes since the epoch that the request names.
type Response struct {
	Full    *ownership.Map
	Changes []ownership.Change
}

type responseDocument struct {
	Full    *mapDocument     `json:"whole,omitempty"`
	Changes []changeDocument `json:"changes,omitempty"`
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

type segmentDocument struct {
	Name       string   `json:"name"`
	Keys       string   `json:"keys"`
	Owners     []string `json:"owners"`
	OwnedSince uint64   `json:"since"`
}

// Encode returns the response as the authority sends it: a JSON document and a newline.
func (r *Response) Encode() []byte {
	var document responseDocument
	if r.Full != nil {
		document.Full = newMapDocument(r.Full)
	}
	for i := range r.Changes {
		document.Changes = append(document.Changes, newChangeDocument(&r.Changes[i]))
	}
	text, _ := json.Marshal(document) // can't fail: the document holds only strings, integers and lists
	return append(text, '\n')
}

func newMapDocument(m *ownership.Map) *mapDocument {
	document := &mapDocument{
		Epoch:    m.Epoch,
		Checksum: formatChecksum(m.Checksum),
		Segments: []segmentDocument{}, // encodes a map without segments as [], not null
	}
	for _, s := range m.Segments {
		document.Segments = append(document.Segments, newSegmentDocument(s))
	}
	return document
}

func newChangeDocument(c *ownership.Change) changeDocument {
	document := changeDocument{
		Epoch:            c.Epoch,
		PreviousChecksum: formatChecksum(c.PreviousChecksum),
		Checksum:         formatChecksum(c.Checksum),
		Reason:           c.Reason,
		Removed:          c.Removed,
	}
	for _, s := range c.Added {
		document.Added = append(document.Added, newSegmentDocument(s))
	}
	return document
}

func newSegmentDocument(s ownership.Segment) segmentDocument {
	return segmentDocument{s.Name, s.Text(), s.Owners, s.OwnedSince}
}

func formatChecksum(checksum uint64) string { return fmt.Sprintf("%0*x", checksumDigits, checksum) }

// ParseResponse decodes a response and checks its fields. A single invalid field rejects the whole response, and the
// error names that field.
func ParseResponse(text []byte) (*Response, error) {
	var document responseDocument
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, err
	}
	r := &Response{}
	if document.Full != nil {
		m, err := document.Full.parse("whole")
		if err != nil {
			return nil, err
		}
		r.Full = m
	}
	if n := len(document.Changes); n > maxChanges {
		return nil, fmt.Errorf("changes: got %d changes, want at most %d", n, maxChanges)
	}
	for i := range document.Changes {
		c, err := document.Changes[i].parse(fmt.Sprintf("changes[%d]", i))
		if err != nil {
			return nil, err
		}
		r.Changes = append(r.Changes, c)
	}
	return r, nil
}

func (d *mapDocument) parse(field string) (*ownership.Map, error) {
	checksum, err := parseChecksum(field+".sum", d.Checksum)
	if err != nil {
		return nil, err
	}
	segments, err := parseSegments(field+".segments", d.Segments)
	if err != nil {
		return nil, err
	}
	if len(segments) > ownership.MaxSegments {
		return nil, fmt.Errorf("%s.segments: got %d segments, want at most %d", field, len(segments), ownership.MaxSegments)
	}
	return &ownership.Map{Epoch: d.Epoch, Checksum: checksum, Segments: segments}, nil
}

func (d *changeDocument) parse(field string) (ownership.Change, error) {
	c := ownership.Change{Epoch: d.Epoch, Reason: d.Reason, Removed: d.Removed}
	var err error
	if c.PreviousChecksum, err = parseChecksum(field+".was", d.PreviousChecksum); err != nil {
		return c, err
	}
	if c.Checksum, err = parseChecksum(field+".sum", d.Checksum); err != nil {
		return c, err
	}
	c.Added, err = parseSegments(field+".in", d.Added)
	return c, err
}

func parseSegments(field string, documents []segmentDocument) (segments []ownership.Segment, err error) {
	for i, d := range documents {
		keys, err := ownership.ParseRange(d.Keys)
		if err != nil {
			return nil, fmt.Errorf("%s[%d].keys: %w", field, i, err)
		}
		if d.Name == "" {
			return nil, fmt.Errorf("%s[%d].name: is empty, want the segment's name", field, i)
		}
		segments = append(segments, ownership.Segment{
			Name:       d.Name,
			Range:      keys,
			Owners:     d.Owners,
			OwnedSince: d.OwnedSince,
		})
	}
	return segments, nil
}

func parseChecksum(field, text string) (uint64, error) {
	checksum, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != checksumDigits {
		return 0, fmt.Errorf("%s: invalid checksum %q, want %d hex digits", field, text, checksumDigits)
	}
	return checksum, nil
}
