// Package ownership decides which hosts may be sent requests for which keys, while segments of keys are
// split, merged and moved.
//
// A segment map says which hosts own which range of keys. Each change makes the next epoch of it. From the
// map and the results of attempts the package decides into which pieces a shard request is divided, which
// owner gets a piece and under which epoch, what becomes of a query that an earlier epoch divided, which
// updates of the map are believed and, on a host, which requests it still admits.
//
// Rule 2 is kept by fencing: a host runs a non-idempotent request only once the segment's log has taken it,
// and a log takes nothing under an older epoch. A piece of which an attempt may have run is never sent again,
// to whichever owner. Rule 5 is kept by keys: a piece counts for its keys, once, and keys without an owner
// count for nothing. The options are weighed in docs/design/owners.md.
package ownership

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"yokeroute/internal/suggest"
)

// MaxSegments bounds the segments of a map.
const MaxSegments = 1 << 20

// Segment is a range of keys with its owners.
type Segment struct {
	Name string
	Range
	Owners     []string // host names; the first is the writer, which alone runs non-idempotent requests
	OwnedSince uint64   // the epoch in which the range or the owners last changed
}

// Map is the segment map of one epoch.
type Map struct {
	Epoch    uint64
	Checksum uint64    // over this map and all before it
	Segments []Segment // ordered by key, without overlap; keys between them are unowned
}

// NewMap returns the map of a first epoch. Segments without OwnedSince are owned since that epoch.
func NewMap(epoch uint64, segments []Segment) (*Map, error) {
	m := &Map{Epoch: epoch, Segments: slices.Clone(segments)}
	m.sort()
	for i := range m.Segments {
		if m.Segments[i].OwnedSince == 0 {
			m.Segments[i].OwnedSince = epoch
		}
	}
	if faults := m.Check(); len(faults) > 0 {
		return nil, faults[0]
	}
	m.Checksum = m.checksumAfter(0)
	return m, nil
}

func (m *Map) sort() {
	slices.SortStableFunc(m.Segments, func(a, b Segment) int { return cmp.Compare(a.Lo, b.Lo) })
}

// Check returns the faults of a map, in the order of its segments.
func (m *Map) Check() (faults []error) {
	names := map[string]bool{}
	for i := range m.Segments {
		s := &m.Segments[i]
		if err := m.checkSegment(i, names[s.Name]); err != nil {
			faults = append(faults, err)
		}
		names[s.Name] = true
		if i > 0 && s.Lo <= m.Segments[i-1].Hi {
			faults = append(faults, fmt.Errorf("segments %q and %q both own the key %016x",
				m.Segments[i-1].Name, s.Name, s.Lo))
		}
		for j, owner := range s.Owners {
			if owner == "" || slices.Contains(s.Owners[:j], owner) {
				faults = append(faults, fmt.Errorf("segment %q: owner %q is empty or there twice", s.Name, owner))
			}
		}
	}
	if len(m.Segments) > MaxSegments {
		faults = append(faults, fmt.Errorf("%d segments, at most %d can be", len(m.Segments), MaxSegments))
	}
	return faults
}

// checkSegment returns the first fault of a segment by itself.
func (m *Map) checkSegment(i int, duplicate bool) error {
	switch s := &m.Segments[i]; {
	case s.Name == "":
		return fmt.Errorf("segment %d has no name", i)
	case duplicate:
		return fmt.Errorf("segment %q is there twice", s.Name)
	case strings.ContainsAny(s.Name, " ,=\n"):
		return fmt.Errorf("segment %q: a name holds no blank, comma or =", s.Name)
	case s.Hi < s.Lo:
		return fmt.Errorf("segment %q ends before it begins", s.Name)
	case s.OwnedSince > m.Epoch:
		return fmt.Errorf("segment %q is owned since epoch %d, the map's is %d", s.Name, s.OwnedSince, m.Epoch)
	}
	return nil
}

// Find returns the index of a segment, -1 for none.
func (m *Map) Find(name string) int {
	return slices.IndexFunc(m.Segments, func(s Segment) bool { return s.Name == name })
}

// segment returns a segment, or an error with the name that may be meant.
func (m *Map) segment(name string) (*Segment, error) {
	if i := m.Find(name); i >= 0 {
		return &m.Segments[i], nil
	}
	return nil, fmt.Errorf("%q is no segment%s", name, m.hint(name))
}

func (m *Map) hint(name string) string {
	names := make([]string, 0, len(m.Segments))
	for _, s := range m.Segments {
		names = append(names, s.Name)
	}
	return suggest.Hint(name, names)
}

// checksumAfter is the checksum of a map that follows one with another checksum, 0 for none.
func (m *Map) checksumAfter(previous uint64) uint64 {
	h := xxhash.New()
	fmt.Fprintf(h, "%d %d\n", previous, m.Epoch)
	for _, s := range m.Segments {
		fmt.Fprintf(h, "%s %s %d %s\n", s.Name, s.Text(), s.OwnedSince, strings.Join(s.Owners, ","))
	}
	return h.Sum64()
}
