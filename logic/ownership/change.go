package ownership

import (
	"fmt"
	"slices"
	"strings"
)

// Change turns a map into that of the next epoch: it removes segments and adds others.
type Change struct {
	Epoch            uint64 // epoch of the resulting map
	PreviousChecksum uint64 // checksum of the map that the change applies to
	Checksum         uint64 // checksum of the resulting map; 0 skips the comparison
	Reason           string
	Removed          []string // names of the removed segments
	Added            []Segment
}

// Apply returns the map that results from applying a change to m. It fails if the change is not based on m's
// epoch and checksum, if it removes an unknown segment, or if the resulting map is invalid.
func (m *Map) Apply(c Change) (*Map, error) {
	if c.Epoch != m.Epoch+1 || c.PreviousChecksum != m.Checksum {
		return nil, fmt.Errorf(
			"the change to epoch %d has previous checksum %016x and does not follow epoch %d with checksum %016x",
			c.Epoch, c.PreviousChecksum, m.Epoch, m.Checksum)
	}
	next := &Map{Epoch: c.Epoch}
	for _, s := range m.Segments {
		if !slices.Contains(c.Removed, s.Name) {
			next.Segments = append(next.Segments, s)
		}
	}
	if removed := len(m.Segments) - len(next.Segments); removed != len(c.Removed) {
		return nil, m.invalidRemoval(c)
	}
	for _, s := range c.Added {
		s.OwnedSince = c.Epoch
		next.Segments = append(next.Segments, s)
	}
	next.sort()
	if faults := next.Check(); len(faults) > 0 {
		return nil, fmt.Errorf("epoch %d: %w", c.Epoch, faults[0])
	}
	next.Checksum = next.checksumAfter(m.Checksum)
	if c.Checksum != 0 && c.Checksum != next.Checksum {
		return nil, fmt.Errorf("the change to epoch %d produces a map with checksum %016x, but states %016x",
			c.Epoch, next.Checksum, c.Checksum)
	}
	return next, nil
}

// invalidRemoval returns an error that says why a change can't remove its segments.
func (m *Map) invalidRemoval(c Change) error {
	for _, name := range c.Removed {
		if m.Find(name) < 0 {
			return fmt.Errorf("the change to epoch %d removes %q, which is not a segment of the map%s",
				c.Epoch, name, m.hint(name))
		}
	}
	return fmt.Errorf("the change to epoch %d removes a segment twice", c.Epoch)
}

// newChange returns a change to m with its epoch and both checksums set.
func (m *Map) newChange(reason string, removed []string, added ...Segment) (Change, error) {
	c := Change{
		Epoch:            m.Epoch + 1,
		PreviousChecksum: m.Checksum,
		Reason:           reason,
		Removed:          removed,
		Added:            added,
	}
	for i := range c.Added {
		c.Added[i].OwnedSince = c.Epoch
	}
	next, err := m.Apply(c)
	if err != nil {
		return c, err
	}
	c.Checksum = next.Checksum
	return c, nil
}

// MoveSegment returns the change that gives a segment other owners. The first of them is its writer. If
// owners is empty, the segment's keys become unowned.
func (m *Map) MoveSegment(name string, owners []string) (Change, error) {
	s, err := m.segment(name)
	if err != nil {
		return Change{}, err
	}
	if slices.Equal(s.Owners, owners) {
		return Change{}, fmt.Errorf("segment %q is already owned by %s", name, strings.Join(owners, ", "))
	}
	reason := fmt.Sprintf("move %s from %s to %s", name, hostList(s.Owners), hostList(owners))
	moved := Segment{Name: name, Range: s.Range, Owners: slices.Clone(owners)}
	return m.newChange(reason, []string{name}, moved)
}

func hostList(hosts []string) string {
	if len(hosts) == 0 {
		return "nobody"
	}
	return strings.Join(hosts, ", ")
}

// SplitSegment returns the change that splits a segment in two. splitKey is the first key of the right one.
// Both keep the owners of the original.
func (m *Map) SplitSegment(name string, splitKey uint64, left, right string) (Change, error) {
	s, err := m.segment(name)
	if err != nil {
		return Change{}, err
	}
	if splitKey <= s.Lo || splitKey > s.Hi {
		return Change{}, fmt.Errorf("segment %q goes from %016x to %016x and can't be split before %016x",
			name, s.Lo, s.Hi, splitKey)
	}
	reason := fmt.Sprintf("split %s before %016x into %s and %s", name, splitKey, left, right)
	return m.newChange(reason, []string{name},
		Segment{Name: left, Range: Range{s.Lo, splitKey - 1}, Owners: slices.Clone(s.Owners)},
		Segment{Name: right, Range: Range{splitKey, s.Hi}, Owners: slices.Clone(s.Owners)})
}

// MergeSegments returns the change that merges two adjacent segments into one, which has the owners of the
// left one.
func (m *Map) MergeSegments(left, right, name string) (Change, error) {
	first, err := m.segment(left)
	if err != nil {
		return Change{}, err
	}
	second, err := m.segment(right)
	if err != nil {
		return Change{}, err
	}
	if first.Hi == maxKey || first.Hi+1 != second.Lo {
		return Change{}, fmt.Errorf(
			"%q ends at %016x and %q begins at %016x: they are not adjacent in this order",
			left, first.Hi, right, second.Lo)
	}
	reason := fmt.Sprintf("merge %s and %s into %s", left, right, name)
	merged := Segment{Name: name, Range: Range{first.Lo, second.Hi}, Owners: slices.Clone(first.Owners)}
	return m.newChange(reason, []string{left, right}, merged)
}
