package ownership

import (
	"cmp"
	"slices"
)

// NoSegment stands for the segment index of unowned keys.
const NoSegment = -1

// Overlap is the part of a range that lies in one segment, or that is unowned.
type Overlap struct {
	Range
	Segment int     // index of the segment in the map, or NoSegment
	Share   float64 // fraction of the range's keys that are in the overlap
}

// Overlaps divides a range by the segments that own its keys. The result is ordered by key, and its shares
// add up to 1.
func (m *Map) Overlaps(r Range) (overlaps []Overlap) {
	add := func(lo, hi uint64, segment int) {
		keys := Range{lo, hi}
		overlaps = append(overlaps, Overlap{keys, segment, keys.Fraction() / r.Fraction()})
	}
	next := r.Lo // the first key that is not covered yet
	first, _ := slices.BinarySearchFunc(m.Segments, r.Lo, func(s Segment, key uint64) int {
		return cmp.Compare(s.Hi, key)
	})
	for i := first; i < len(m.Segments) && m.Segments[i].Lo <= r.Hi; i++ {
		s := &m.Segments[i]
		lo := max(s.Lo, next)
		hi := min(s.Hi, r.Hi)
		if lo > next {
			add(next, lo-1, NoSegment)
		}
		segment := i
		if len(s.Owners) == 0 {
			segment = NoSegment
		}
		add(lo, hi, segment)
		if hi == r.Hi {
			return overlaps // hi+1 would overflow after the last key
		}
		next = hi + 1
	}
	add(next, r.Hi, NoSegment)
	return overlaps
}

// UnownedRanges returns the ranges of keys that have no owner, ordered by key.
func (m *Map) UnownedRanges() (unowned []Range) {
	next := uint64(0) // the first key that is not covered yet
	for _, s := range m.Segments {
		if len(s.Owners) == 0 {
			continue
		}
		if s.Lo > next {
			unowned = append(unowned, Range{next, s.Lo - 1})
		}
		if s.Hi == maxKey {
			return unowned
		}
		next = s.Hi + 1
	}
	return append(unowned, Range{next, maxKey})
}
