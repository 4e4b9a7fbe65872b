// Package ownership decides which hosts may be sent requests for which keys, while segments (ranges of keys)
// are split, merged and moved.
//
// A segment map lists which hosts own which range of keys. Each change to it starts a new epoch. From the map
// and the results of attempts the package decides into which pieces a shard request is divided, which owner
// receives a piece and under which epoch, how a query that was divided in an earlier epoch continues, which
// map updates are accepted and, on a host, which requests are still admitted.
//
// Rule 2 is enforced by fencing: a host runs a non-idempotent request only after the segment's log has
// accepted it, and a log accepts no records under an older epoch. A non-idempotent piece that may have run is
// never sent again, to any owner. Rule 5 is enforced by counting keys: a piece counts once, for its own keys,
// and keys without an owner do not count. docs/design/owners.md compares the alternatives.
package ownership

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"yokeroute/internal/suggest"
)

// MaxSegments is the maximum number of segments in a map.
const MaxSegments = 1 << 20

// Segment is a range of keys and its owners.
type Segment struct {
	Name string
	Range
	Owners     []string // host names; only the first, the writer, runs non-idempotent requests
	OwnedSince uint64   // epoch in which the range or the owners last changed
}

// Map is the segment map of one epoch.
type Map struct {
	Epoch    uint64
	Checksum uint64    // covers this map and, through the previous checksum, all earlier ones
	Segments []Segment // ordered by key, not overlapping; keys between segments are unowned
}

// NewMap returns a map without a predecessor. Segments with an OwnedSince of 0 are owned since the given
// epoch.
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

// Check returns the faults of the map, in the order of its segments. A valid map has none.
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
				faults = append(faults, fmt.Errorf("segment %q: owner %q is empty or listed twice", s.Name, owner))
			}
		}
	}
	if len(m.Segments) > MaxSegments {
		faults = append(faults, fmt.Errorf("the map has %d segments, the maximum is %d",
			len(m.Segments), MaxSegments))
	}
	return faults
}

// checkSegment returns the first fault that concerns a segment alone, or nil.
func (m *Map) checkSegment(i int, duplicate bool) error {
	switch s := &m.Segments[i]; {
	case s.Name == "":
		return fmt.Errorf("segment %d has no name", i)
	case duplicate:
		return fmt.Errorf("segment %q is defined twice", s.Name)
	case strings.ContainsAny(s.Name, " ,=\n"):
		return fmt.Errorf("segment %q: the name must not contain a blank, line break, comma or =", s.Name)
	case s.Hi < s.Lo:
		return fmt.Errorf("segment %q ends before it begins", s.Name)
	case s.OwnedSince > m.Epoch:
		return fmt.Errorf("segment %q is owned since epoch %d, the map's is %d", s.Name, s.OwnedSince, m.Epoch)
	}
	return nil
}

// Find returns the index of the segment with a name, or -1 if there is none.
func (m *Map) Find(name string) int {
	return slices.IndexFunc(m.Segments, func(s Segment) bool { return s.Name == name })
}

// segment returns the segment with a name, or an error that suggests a similar name.
func (m *Map) segment(name string) (*Segment, error) {
	if i := m.Find(name); i >= 0 {
		return &m.Segments[i], nil
	}
	return nil, fmt.Errorf("%q is not a segment of the map%s", name, m.hint(name))
}

func (m *Map) hint(name string) string {
	names := make([]string, 0, len(m.Segments))
	for _, s := range m.Segments {
		names = append(names, s.Name)
	}
	return suggest.Hint(name, names)
}

// checksumAfter returns the checksum of the map, given the checksum of its predecessor. previous is 0 if
// there is no predecessor.
func (m *Map) checksumAfter(previous uint64) uint64 {
	h := xxhash.New()
	fmt.Fprintf(h, "%d %d\n", previous, m.Epoch)
	for _, s := range m.Segments {
		fmt.Fprintf(h, "%s %s %d %s\n", s.Name, s.Text(), s.OwnedSince, strings.Join(s.Owners, ","))
	}
	return h.Sum64()
}
