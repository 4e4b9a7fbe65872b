package ownership

import (
	"cmp"
	"slices"
)

// NoSegment is in place of a segment's index where nobody owns the keys.
const NoSegment = -1

// Overlap is the keys of a range that one segment has, or that are unowned.
type Overlap struct {
	Range
	Segment int     // its index in the map, or NoSegment
	Share   float64 // of the range's keys
}

// Overlaps divides a range by the segments that own its keys, ordered by key. The shares add up to 1.
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
			return overlaps // next would overflow behind the last key
		}
		next = hi + 1
	}
	add(next, r.Hi, NoSegment)
	return overlaps
}

// UnownedRanges are the ranges without owners.
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
