// Package owners decides who may be asked for which keys, while segments of keys are split, merged and
// moved.
//
// A map says which hosts own which range of keys, in epochs: each change makes the next one. From it and
// from how part calls went this package decides into which pieces a part falls, to whom a piece may go and
// under which epoch, what becomes of a lookup that was begun in an earlier epoch, which news of the map is
// believed, and, at a host, which calls it may still run. It keeps rule 2 by a fence: a host runs a
// once-only call only while the log of its segment takes what it writes, and a log takes nothing from a
// host of an older epoch. It keeps rule 5 by keys: a piece counts for the keys that it covers, once, and
// keys that nobody owns count for nothing. It never resends a once-only piece of which an earlier call, to
// whichever owner, may have run. Options weighed: docs/design/owners.md.
package ownership

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"yokeroute/internal/suggest"
)

// Range is the keys from Lo up to Hi, both within it, so that all keys make one range.
type Range struct{ Lo, Hi uint64 }

// All is every key.
var All = Range{0, ^uint64(0)}

// ShardRange is the range of one of so many shards, as clients count them: they part the keys evenly.
func ShardRange(shard, shards int) Range {
	n := uint64(max(shards, 1))
	each := ^uint64(0)/n + 1 // the last shard has what rounding leaves
	if n == 1 {
		return All
	}
	r := Range{uint64(shard) * each, uint64(shard)*each + each - 1}
	if shard == int(n)-1 || r.Hi < r.Lo {
		r.Hi = ^uint64(0)
	}
	return r
}

// Fraction is how many keys a range has, as a share of all.
func (r Range) Fraction() float64 { return (float64(r.Hi-r.Lo) + 1) / (1 << 64) }

// Overlaps reports whether two ranges share a key.
func (r Range) Overlaps(o Range) bool { return r.Lo <= o.Hi && o.Lo <= r.Hi }

// Within reports whether all keys of a range are in another.
func (r Range) Within(o Range) bool { return r.Lo >= o.Lo && r.Hi <= o.Hi }

// Text is a range as files and the wire have it: sixteen hex digits, a dash, sixteen more. It is not called
// String, which what embeds a range would inherit, and print no more than that.
func (r Range) Text() string { return fmt.Sprintf("%016x-%016x", r.Lo, r.Hi) }

// ParseRange reads what Text writes.
func ParseRange(text string) (Range, error) {
	lo, hi, found := strings.Cut(text, "-")
	a, err1 := strconv.ParseUint(lo, 16, 64)
	b, err2 := strconv.ParseUint(hi, 16, 64)
	if !found || len(lo) != 16 || len(hi) != 16 || err1 != nil || err2 != nil {
		return Range{}, fmt.Errorf("%q is no range of keys; write sixteen hex digits, a dash, sixteen more", text)
	}
	if b < a {
		return Range{}, fmt.Errorf("the range %s ends before it begins", text)
	}
	return Range{a, b}, nil
}

// Segment is a range with its owners.
type Segment struct {
	Name string
	Range
	Owners     []string // hosts; the first is its writer, who alone runs once-only calls
	OwnedSince uint64   // the epoch from which they own it
}

// Map is who owns what in one epoch.
type Map struct {
	Epoch    uint64
	Checksum uint64    // over the map and all that came before it
	Segments []Segment // by their first key, without overlap; keys in a gap are unowned
}

// MaxSegments bounds the segments of a map.
const MaxSegments = 1 << 20

// Check gives what is wrong with a map, in the order of its segments.
func (m *Map) Check() (faults []error) {
	names := map[string]bool{}
	for i, s := range m.Segments {
		switch {
		case s.Name == "":
			faults = append(faults, fmt.Errorf("segment %d has no name", i))
		case names[s.Name]:
			faults = append(faults, fmt.Errorf("segment %q is there twice", s.Name))
		case strings.ContainsAny(s.Name, " ,=\n"):
			faults = append(faults, fmt.Errorf("segment %q: a name holds no blank, comma or =", s.Name))
		case s.Hi < s.Lo:
			faults = append(faults, fmt.Errorf("segment %q ends before it begins", s.Name))
		case s.OwnedSince > m.Epoch:
			faults = append(faults, fmt.Errorf("segment %q is owned since epoch %d, the map's is %d",
				s.Name, s.OwnedSince, m.Epoch))
		}
		names[s.Name] = true
		if i > 0 && s.Lo <= m.Segments[i-1].Hi {
			faults = append(faults, fmt.Errorf("segments %q and %q both own the key %016x",
				m.Segments[i-1].Name, s.Name, s.Lo))
		}
		for j, o := range s.Owners {
			if o == "" || slices.Contains(s.Owners[:j], o) {
				faults = append(faults, fmt.Errorf("segment %q: owner %q is empty or there twice", s.Name, o))
			}
		}
	}
	if len(m.Segments) > MaxSegments {
		faults = append(faults, fmt.Errorf("%d segments, at most %d can be", len(m.Segments), MaxSegments))
	}
	return faults
}

// Find gives the place of a segment by name, or -1.
func (m *Map) Find(name string) int {
	return slices.IndexFunc(m.Segments, func(s Segment) bool { return s.Name == name })
}

// checksumAfter is the sum of a map that follows one with the sum before.
func (m *Map) checksumAfter(before uint64) uint64 {
	h := xxhash.New()
	fmt.Fprintf(h, "%d %d\n", before, m.Epoch)
	for _, s := range m.Segments {
		fmt.Fprintf(h, "%s %s %d %s\n", s.Name, s.Range.Text(), s.OwnedSince, strings.Join(s.Owners, ","))
	}
	return h.Sum64()
}

// NewMap makes the map of a first epoch.
func NewMap(epoch uint64, segments []Segment) (*Map, error) {
	m := &Map{Epoch: epoch, Segments: slices.Clone(segments)}
	slices.SortStableFunc(m.Segments, func(a, b Segment) int { return cmp.Compare(a.Lo, b.Lo) })
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

// Change makes the next epoch: some segments go, others come.
type Change struct {
	Epoch            uint64 // that it makes
	PreviousChecksum uint64 // sum of the map that it changes
	Checksum         uint64 // of the map that it makes
	Reason           string // what it is, in words
	Removed          []string
	Added            []Segment // owned since this epoch
}

// Apply gives the map that a change makes.
func (m *Map) Apply(c Change) (*Map, error) {
	if c.Epoch != m.Epoch+1 || c.PreviousChecksum != m.Checksum {
		return nil, fmt.Errorf("a change of epoch %d with sum %016x does not follow epoch %d with sum %016x",
			c.Epoch, c.PreviousChecksum, m.Epoch, m.Checksum)
	}
	next := &Map{Epoch: c.Epoch}
	out := 0
	for _, s := range m.Segments {
		if slices.Contains(c.Removed, s.Name) {
			out++
		} else {
			next.Segments = append(next.Segments, s)
		}
	}
	if out != len(c.Removed) {
		for _, name := range c.Removed {
			if m.Find(name) < 0 {
				return nil, fmt.Errorf("epoch %d takes out %q, which is no segment%s", c.Epoch, name,
					suggest.Hint(name, m.segmentNames()))
			}
		}
		return nil, fmt.Errorf("epoch %d takes a segment out twice", c.Epoch)
	}
	for _, s := range c.Added {
		s.OwnedSince = c.Epoch
		next.Segments = append(next.Segments, s)
	}
	slices.SortStableFunc(next.Segments, func(a, b Segment) int { return cmp.Compare(a.Lo, b.Lo) })
	if faults := next.Check(); len(faults) > 0 {
		return nil, fmt.Errorf("epoch %d: %w", c.Epoch, faults[0])
	}
	next.Checksum = next.checksumAfter(m.Checksum)
	if c.Checksum != 0 && c.Checksum != next.Checksum {
		return nil, fmt.Errorf("epoch %d makes a map with sum %016x, it says %016x", c.Epoch, next.Checksum, c.Checksum)
	}
	return next, nil
}

func (m *Map) segmentNames() (names []string) {
	for _, s := range m.Segments {
		names = append(names, s.Name)
	}
	return names
}

// newChange completes a change with its epoch and sums.
func (m *Map) newChange(why string, out []string, in ...Segment) (Change, error) {
	c := Change{Epoch: m.Epoch + 1, PreviousChecksum: m.Checksum, Reason: why, Removed: out, Added: in}
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

func (m *Map) segment(name string) (*Segment, error) {
	if i := m.Find(name); i >= 0 {
		return &m.Segments[i], nil
	}
	return nil, fmt.Errorf("%q is no segment%s", name, suggest.Hint(name, m.segmentNames()))
}

// MoveSegment hands a segment to other owners, the first of whom is its writer. With none, its keys are unowned.
func (m *Map) MoveSegment(name string, to []string) (Change, error) {
	s, err := m.segment(name)
	if err != nil {
		return Change{}, err
	}
	if slices.Equal(s.Owners, to) {
		return Change{}, fmt.Errorf("segment %q is owned by %s already", name, strings.Join(to, ", "))
	}
	return m.newChange(fmt.Sprintf("move %s from %s to %s", name, hostList(s.Owners), hostList(to)), []string{name},
		Segment{Name: name, Range: s.Range, Owners: slices.Clone(to)})
}

func hostList(hosts []string) string {
	if len(hosts) == 0 {
		return "nobody"
	}
	return strings.Join(hosts, ", ")
}

// SplitSegment parts a segment before a key; both halves keep its owners.
func (m *Map) SplitSegment(name string, at uint64, left, right string) (Change, error) {
	s, err := m.segment(name)
	if err != nil {
		return Change{}, err
	}
	if at <= s.Lo || at > s.Hi {
		return Change{}, fmt.Errorf("segment %q goes from %016x to %016x and can't be split before %016x",
			name, s.Lo, s.Hi, at)
	}
	return m.newChange(fmt.Sprintf("split %s before %016x into %s and %s", name, at, left, right), []string{name},
		Segment{Name: left, Range: Range{s.Lo, at - 1}, Owners: slices.Clone(s.Owners)},
		Segment{Name: right, Range: Range{at, s.Hi}, Owners: slices.Clone(s.Owners)})
}

// MergeSegments makes one of two neighbours; it is owned by those who own the first.
func (m *Map) MergeSegments(left, right, name string) (Change, error) {
	a, err := m.segment(left)
	if err != nil {
		return Change{}, err
	}
	b, err := m.segment(right)
	if err != nil {
		return Change{}, err
	}
	if a.Hi == ^uint64(0) || a.Hi+1 != b.Lo {
		return Change{}, fmt.Errorf("%q ends at %016x and %q begins at %016x: they are no neighbours in this order",
			left, a.Hi, right, b.Lo)
	}
	return m.newChange(fmt.Sprintf("merge %s and %s into %s", left, right, name), []string{left, right},
		Segment{Name: name, Range: Range{a.Lo, b.Hi}, Owners: slices.Clone(a.Owners)})
}

// UnownedRanges are the ranges that nobody owns.
func (m *Map) UnownedRanges() (gaps []Range) {
	from, done := uint64(0), false
	for _, s := range m.Segments {
		if len(s.Owners) == 0 {
			continue
		}
		if s.Lo > from {
			gaps = append(gaps, Range{from, s.Lo - 1})
		}
		if s.Hi == ^uint64(0) {
			done = true
			break
		}
		from = s.Hi + 1
	}
	if !done {
		gaps = append(gaps, Range{from, ^uint64(0)})
	}
	return gaps
}

// Overlap is the keys of a range that one segment has.
type Overlap struct {
	Range
	Segment int     // its place in the map, -1 where nobody owns these keys
	Share   float64 // of the range's keys
}

// Overlaps parts a range by the segments that own its keys, by their first key. Their shares add up to 1.
func (m *Map) Overlaps(r Range) (pieces []Overlap) {
	add := func(lo, hi uint64, segment int) {
		p := Overlap{Range{lo, hi}, segment, 0}
		p.Share = p.Fraction() / r.Fraction()
		pieces = append(pieces, p)
	}
	from, done := r.Lo, false
	ends := func(s Segment, key uint64) int { return cmp.Compare(s.Hi, key) }
	first, _ := slices.BinarySearchFunc(m.Segments, r.Lo, ends)
	for i := first; i < len(m.Segments) && !done && m.Segments[i].Lo <= r.Hi; i++ {
		s := &m.Segments[i]
		lo, hi, owner := max(s.Lo, from), min(s.Hi, r.Hi), i
		if len(s.Owners) == 0 {
			owner = -1
		}
		if lo > from {
			add(from, lo-1, -1)
		}
		add(lo, hi, owner)
		if done = hi == r.Hi; !done {
			from = hi + 1
		}
	}
	if !done {
		add(from, r.Hi, -1)
	}
	return pieces
}
