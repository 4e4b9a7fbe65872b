package ownership

import (
	"fmt"
	"slices"
	"strings"
)

// Change makes the next epoch of a map: it removes segments and adds others.
type Change struct {
	Epoch            uint64 // that it makes
	PreviousChecksum uint64 // of the map that it changes
	Checksum         uint64 // of the map that it makes, 0 for any
	Reason           string
	Removed          []string
	Added            []Segment
}

// Apply returns the map that a change makes.
func (m *Map) Apply(c Change) (*Map, error) {
	if c.Epoch != m.Epoch+1 || c.PreviousChecksum != m.Checksum {
		return nil, fmt.Errorf("a change of epoch %d with sum %016x does not follow epoch %d with sum %016x",
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
		return nil, fmt.Errorf("epoch %d makes a map with sum %016x, it says %016x",
			c.Epoch, next.Checksum, c.Checksum)
	}
	return next, nil
}

// invalidRemoval says why a change can't remove its segments.
func (m *Map) invalidRemoval(c Change) error {
	for _, name := range c.Removed {
		if m.Find(name) < 0 {
			return fmt.Errorf("epoch %d takes out %q, which is no segment%s", c.Epoch, name, m.hint(name))
		}
	}
	return fmt.Errorf("epoch %d takes a segment out twice", c.Epoch)
}

// newChange returns a change of a map, with its epoch and checksums.
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

// MoveSegment gives a segment other owners, the first of which is its writer. Without any, its keys are
// unowned.
func (m *Map) MoveSegment(name string, owners []string) (Change, error) {
	s, err := m.segment(name)
	if err != nil {
		return Change{}, err
	}
	if slices.Equal(s.Owners, owners) {
		return Change{}, fmt.Errorf("segment %q is owned by %s already", name, strings.Join(owners, ", "))
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

// SplitSegment divides a segment before a key. Both halves keep its owners.
func (m *Map) SplitSegment(name string, before uint64, left, right string) (Change, error) {
	s, err := m.segment(name)
	if err != nil {
		return Change{}, err
	}
	if before <= s.Lo || before > s.Hi {
		return Change{}, fmt.Errorf("segment %q goes from %016x to %016x and can't be split before %016x",
			name, s.Lo, s.Hi, before)
	}
	reason := fmt.Sprintf("split %s before %016x into %s and %s", name, before, left, right)
	return m.newChange(reason, []string{name},
		Segment{Name: left, Range: Range{s.Lo, before - 1}, Owners: slices.Clone(s.Owners)},
		Segment{Name: right, Range: Range{before, s.Hi}, Owners: slices.Clone(s.Owners)})
}

// MergeSegments makes one segment of two neighbours. It has the owners of the first.
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
			"%q ends at %016x and %q begins at %016x: they are no neighbours in this order",
			left, first.Hi, right, second.Lo)
	}
	reason := fmt.Sprintf("merge %s and %s into %s", left, right, name)
	merged := Segment{Name: name, Range: Range{first.Lo, second.Hi}, Owners: slices.Clone(first.Owners)}
	return m.newChange(reason, []string{left, right}, merged)
}
