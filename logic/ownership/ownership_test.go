package ownership

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func init() { flag.Set("rapid.seed", "20261201") } // the same draws in each run

// drawMap draws a first map with gaps and unowned segments.
func drawMap(t *rapid.T) *Map {
	cuts := rapid.SliceOfNDistinct(rapid.Uint64Range(1, ^uint64(0)), 0, 7, rapid.ID[uint64]).Draw(t, "cuts")
	slices.Sort(cuts)
	var segments []Segment
	from := uint64(0)
	for i := range len(cuts) + 1 {
		to := ^uint64(0)
		if i < len(cuts) {
			to = cuts[i] - 1
		}
		if rapid.IntRange(0, 5).Draw(t, "gap") > 0 {
			s := Segment{Name: fmt.Sprint("s", i), Range: Range{from, to}}
			for h := range rapid.IntRange(0, 3).Draw(t, "owners") {
				s.Owners = append(s.Owners, fmt.Sprint("h", h))
			}
			segments = append(segments, s)
		}
		if i < len(cuts) {
			from = cuts[i]
		}
	}
	m, err := NewMap(1, segments)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// drawChange draws a change, and whether the map can take it.
func drawChange(t *rapid.T, m *Map, n int) (c Change, ok bool) {
	if len(m.Segments) == 0 {
		return c, false
	}
	i := rapid.IntRange(0, len(m.Segments)-1).Draw(t, "segment")
	s := m.Segments[i]
	var err error
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		c, err = m.SplitSegment(s.Name, rapid.Uint64Range(s.Lo, s.Hi).Draw(t, "at"), fmt.Sprint("n", n, "a"),
			fmt.Sprint("n", n, "b"))
	case 1:
		if i+1 == len(m.Segments) {
			return c, false
		}
		c, err = m.MergeSegments(s.Name, m.Segments[i+1].Name, fmt.Sprint("n", n))
	case 2:
		c, err = m.MoveSegment(s.Name, []string{fmt.Sprint("h", rapid.IntRange(0, 5).Draw(t, "to"))})
	default:
		c, err = m.MoveSegment(s.Name, nil)
	}
	return c, err == nil
}

// TestOverlapsPartitionARange compares the overlaps of a range with a search for the owner of each key at a segment's
// border. The overlaps are consecutive, cover the range and have shares that add up to 1.
func TestOverlapsPartitionARange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMap(t)
		for n := range rapid.IntRange(0, 6).Draw(t, "changes") {
			if c, ok := drawChange(t, m, n); ok {
				m, _ = m.Apply(c)
			}
		}
		a, b := rapid.Uint64().Draw(t, "a"), rapid.Uint64().Draw(t, "b")
		r := Range{min(a, b), max(a, b)}
		pieces := m.Overlaps(r)
		sum, from := 0.0, r.Lo
		for i, p := range pieces {
			if p.Lo != from || p.Hi < p.Lo || p.Hi > r.Hi {
				t.Fatalf("overlap %s, one from %016x on is due, of %s", p.Text(), from, r.Text())
			}
			sum += p.Share
			if from = p.Hi + 1; i == len(pieces)-1 && p.Hi != r.Hi {
				t.Fatalf("the last overlap is %s of %s", p.Text(), r.Text())
			}
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Fatalf("shares add up to %g", sum)
		}
		keys := []uint64{r.Lo, r.Hi}
		for _, s := range m.Segments {
			keys = append(keys, s.Lo, s.Hi, s.Lo-1, s.Hi+1)
		}
		for _, key := range keys {
			if key < r.Lo || key > r.Hi {
				continue
			}
			owner := -1
			for i, s := range m.Segments {
				if key >= s.Lo && key <= s.Hi && len(s.Owners) > 0 {
					owner = i
				}
			}
			at := slices.IndexFunc(pieces, func(p Overlap) bool { return key >= p.Lo && key <= p.Hi })
			if pieces[at].Segment != owner {
				t.Fatalf("key %016x is in segment %d, its overlap says %d", key, owner, pieces[at].Segment)
			}
		}
	})
}

// TestShardRangesPartitionAllKeys wants shards to divide all keys evenly, without a gap.
func TestShardRangesPartitionAllKeys(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 7, 18, 1000, 65536} {
		from := uint64(0)
		for shard := range n {
			r := ShardRange(shard, n)
			if r.Lo != from || shard == n-1 && r.Hi != ^uint64(0) {
				t.Fatalf("shard %d of %d: %s, from %016x", shard, n, r.Text(), from)
			}
			if off := r.Fraction()*float64(n) - 1; math.Abs(off) > 1e-9 {
				t.Errorf("shard %d of %d has %g of its share", shard, n, off+1)
			}
			from = r.Hi + 1
		}
	}
}

// TestReassignByMapAndState draws chains of changes. The pieces of a query always cover its keys once, and weights keep
// their sum. A non-idempotent piece that may have run stays, and so does one that is answered or in flight.
func TestReassignByMapAndState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMap(t)
		once := rapid.Bool().Draw(t, "once")
		var held []Piece
		next := uint64(0)
		hold := func(f NewPiece) {
			h := Piece{ID: next, Request: f.Request, Range: f.Range, Weight: f.Weight, Attempted: f.Retry,
				DeferredAt: f.DeferredAt, OwnedSince: m.Epoch}
			if next++; f.Segment >= 0 {
				h.Segment, h.OwnedSince = m.Segments[f.Segment].Name, m.Segments[f.Segment].OwnedSince
			}
			held = append(held, h)
		}
		ranges, weights := []Range{ShardRange(0, 4), ShardRange(3, 4)}, []float64{0.5, 0.5}
		for _, f := range m.Split(ranges, weights, false) {
			hold(f)
		}
		now := 1000.0
		for n := range rapid.IntRange(1, 8).Draw(t, "changes") {
			for i := range held {
				h := &held[i]
				switch rapid.IntRange(0, 5).Draw(t, "fate") {
				case 0:
					h.InFlight, h.Attempted = 1, true
				case 1:
					h.InFlight = 0
				case 2:
					h.InFlight, h.MayHaveRun, h.Attempted = 0, true, true
				case 3:
					h.InFlight, h.Answered = 0, h.Segment != ""
				case 4:
					h.InFlight, h.Rejected, h.Attempted = 0, h.Segment != "" && !h.MayHaveRun, true
				}
			}
			if c, ok := drawChange(t, m, n); ok {
				m, _ = m.Apply(c)
			}
			trusted := rapid.IntRange(0, 5).Draw(t, "trusted") > 0
			now += rapid.Float64Range(0, 200).Draw(t, "passes")
			retired, fresh := m.Reassign(held, once, trusted, now)
			for _, id := range retired {
				i := slices.IndexFunc(held, func(h Piece) bool { return h.ID == id })
				if h := held[i]; h.Answered || h.InFlight > 0 || once && h.MayHaveRun {
					t.Fatalf("replaced: %+v", h)
				}
				held = slices.Delete(held, i, i+1)
			}
			for _, f := range fresh {
				if once && !trusted && f.Segment >= 0 {
					t.Fatalf("%+v is sent though the map is not trusted", f)
				}
				hold(f)
			}
			for part, r := range ranges {
				var mine []Piece
				sum := 0.0
				for _, h := range held {
					if h.Request == part {
						mine, sum = append(mine, h), sum+h.Weight
					}
				}
				slices.SortFunc(mine, func(a, b Piece) int {
					if a.Lo < b.Lo {
						return -1
					}
					return 1
				})
				from := r.Lo
				for _, h := range mine {
					if h.Lo != from {
						t.Fatalf("request %d: piece %s, one from %016x on is due", part, h.Text(), from)
					}
					from = h.Hi + 1
				}
				if len(mine) == 0 || mine[len(mine)-1].Hi != r.Hi || math.Abs(sum-weights[part]) > 1e-9 {
					t.Fatalf("request %d: %d pieces of weight %g", part, len(mine), sum)
				}
			}
		}
	})
}

// TestTrackerAppliesOnlyWhatFollows hands in changes late, repeatedly, out of order and with gaps, and full maps between.
// The tracker's map is always a true one, never older than before, and the newest at the end.
func TestTrackerAppliesOnlyWhatFollows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := []*Map{drawMap(t)}
		var changes []Change
		for n := range 20 {
			if c, ok := drawChange(t, truth[len(truth)-1], n); ok {
				next, err := truth[len(truth)-1].Apply(c)
				if err != nil {
					t.Fatal(err)
				}
				truth, changes = append(truth, next), append(changes, c)
			}
		}
		var f Tracker
		last := uint64(0)
		see := func(v UpdateResult, err error) {
			if v == Conflict {
				t.Fatalf("a true update is a conflict: %v", err)
			}
			if f.Map == nil {
				return
			}
			if f.Map.Epoch < last || truth[f.Map.Epoch-1].Checksum != f.Map.Checksum {
				t.Fatalf("epoch %d after %d", f.Map.Epoch, last)
			}
			last = f.Map.Epoch
		}
		for range 30 {
			if len(changes) > 0 && rapid.IntRange(0, 9).Draw(t, "kind") > 0 {
				see(f.ApplyChange(changes[rapid.IntRange(0, len(changes)-1).Draw(t, "change")]))
			} else {
				see(f.ApplyMap(truth[rapid.IntRange(0, len(truth)-1).Draw(t, "whole")]))
			}
		}
		see(f.ApplyMap(truth[len(truth)-1]))
		if f.Map.Epoch != uint64(len(truth)) || f.ConflictEpoch != 0 {
			t.Fatalf("epoch %d of %d, conflict %d", f.Map.Epoch, len(truth), f.ConflictEpoch)
		}
	})
}

// TestTrackerReportsConflictingSources hands in two changes of one epoch. The first stays, and only a later full map ends
// the conflict.
func TestTrackerReportsConflictingSources(t *testing.T) {
	m, err := NewMap(1, []Segment{{Name: "s", Range: All, Owners: []string{"a"}}})
	if err != nil {
		t.Fatal(err)
	}
	one, _ := m.MoveSegment("s", []string{"b"})
	other, _ := m.MoveSegment("s", []string{"c"})
	f := Tracker{}
	f.ApplyMap(m)
	if v, _ := f.ApplyChange(one); v != Applied {
		t.Fatal(v)
	}
	if v, err := f.ApplyChange(other); v != Conflict || err == nil || f.ConflictEpoch != 2 ||
		f.Map.Segments[0].Owners[0] != "b" {
		t.Errorf("%v, %v, conflict %d", v, err, f.ConflictEpoch)
	}
	if v, _ := f.ApplyChange(one); v != Duplicate || f.ConflictEpoch == 0 {
		t.Errorf("%v, conflict %d", v, f.ConflictEpoch)
	}
	again, _ := m.Apply(one)
	if v, _ := f.ApplyMap(again); v != Duplicate || f.ConflictEpoch == 0 {
		t.Errorf("%v, conflict %d", v, f.ConflictEpoch)
	}
	next, _ := again.MoveSegment("s", []string{"a"})
	later, _ := again.Apply(next)
	if v, _ := f.ApplyMap(later); v != Applied || f.ConflictEpoch != 0 {
		t.Errorf("%v, conflict %d", v, f.ConflictEpoch)
	}
	// Invalid updates of a source that is otherwise right.
	broken := &Map{Epoch: 9, Checksum: 1, Segments: []Segment{{Name: "x", Range: Range{0, 9}},
		{Name: "y", Range: Range{9, 20}}}}
	if v, err := f.ApplyMap(broken); v != Invalid || !strings.Contains(err.Error(), "both own the key") ||
		f.Map.Epoch != 3 {
		t.Errorf("%v, %v", v, err)
	}
	wrong := next
	wrong.Epoch, wrong.PreviousChecksum = 4, later.Checksum
	wrong.Removed = []string{"t"}
	if v, err := f.ApplyChange(wrong); v != Invalid || f.ConflictEpoch != 0 ||
		!strings.Contains(err.Error(), `"t", which is no segment`) {
		t.Errorf("%v, %v", v, err)
	}
}

// TestHostAdmitsOnlyWhatItOwns wants a host to admit only keys that it owns, under the epoch since which it does. A log
// takes nothing under an older epoch, nor once it is sealed.
func TestHostAdmitsOnlyWhatItOwns(t *testing.T) {
	var h Host
	h.Acquire(OwnedSegment{Name: "s", Range: Range{100, 200}, OwnedSince: 3, Writer: true})
	for _, c := range []struct {
		call Request
		want Admission
	}{
		{Request{"s", 3, Range{100, 200}, true}, Admitted}, {Request{"s", 3, Range{120, 130}, false},
			Admitted}, {Request{"s", 2, Range{120, 130}, false}, NotOwner},
		{Request{"s", 4, Range{120, 130}, false}, NotOwner}, {Request{"t", 3, Range{120, 130}, false},
			NotOwner}, {Request{"s", 3, Range{99, 130}, false}, NotOwner},
	} {
		if got := h.Admit(c.call); got != c.want {
			t.Errorf("%+v: %d", c.call, got)
		}
	}
	h.Seal("s")
	if h.Admit(Request{"s", 3, Range{100, 200}, true}) != NotOwner ||
		h.Admit(Request{"s", 3, Range{100, 200}, false}) != Admitted {
		t.Error("a sealed segment admits idempotent requests alone")
	}
	h.Acquire(OwnedSegment{Name: "s", Range: Range{100, 200}, OwnedSince: 5, Writer: false})
	if h.Admit(Request{"s", 5, Range{100, 200}, true}) != NotOwner {
		t.Error("a host that is not the writer admits a non-idempotent request")
	}
	h.Acquire(OwnedSegment{Name: "u", Range: Range{150, 300}, OwnedSince: 4})
	if len(h.Segments) != 2 || h.find("s") == nil {
		t.Errorf("an older segment replaces a newer: %+v", h.Segments)
	}
	h.Acquire(OwnedSegment{Name: "u", Range: Range{150, 300}, OwnedSince: 6})
	if len(h.Segments) != 1 {
		t.Errorf("owns %+v", h.Segments)
	}
	l := SegmentLog{Epoch: 3}
	if !l.Append(3) || l.Append(2) || l.Append(4) || l.RaiseEpoch(2) || !l.RaiseEpoch(5) || l.Append(3) ||
		!l.Append(5) {
		t.Errorf("%+v", l)
	}
	l.Sealed = true
	if l.Append(5) || !l.RaiseEpoch(5) || l.Append(5) || !l.RaiseEpoch(6) || !l.Append(6) {
		t.Errorf("%+v", l)
	}
}

// TestReplicaSetIndexReusesNumbersLast wants each number used by one segment at a time, kept by segments that stay, and
// not reused at once.
func TestReplicaSetIndexReusesNumbersLast(t *testing.T) {
	x := NewReplicaSetIndex(3)
	m, _ := NewMap(1, []Segment{{Name: "a", Range: Range{0, 9}, Owners: []string{"h"}},
		{Name: "b", Range: Range{10, 19}, Owners: []string{"g", "h"}}})
	if x.Update(m) {
		t.Error("full")
	}
	all, writer := x.ReplicaSets("b")
	c, _ := m.SplitSegment("a", 5, "a1", "a2")
	m, _ = m.Apply(c)
	if x.Update(m) {
		t.Error("three segments are too many for three numbers")
	}
	if a, w := x.ReplicaSets("b"); a != all || w != writer {
		t.Error("a segment that stays has another number")
	}
	seen := map[int]bool{}
	for _, name := range []string{"a1", "a2", "b"} {
		a, w := x.ReplicaSets(name)
		if seen[a] || seen[w] || a == x.NoOwner() {
			t.Errorf("%s has the replica sets %d and %d", name, a, w)
		}
		seen[a], seen[w] = true, true
	}
	c, _ = m.SplitSegment("b", 15, "b1", "b2")
	m, _ = m.Apply(c)
	if !x.Update(m) {
		t.Error("four segments fit into three numbers")
	}
	holds := x.ByHost(m)
	a1, w1 := x.ReplicaSets("b1")
	if !slices.Contains(holds["g"], a1) || !slices.Contains(holds["g"], w1) || !slices.Contains(holds["h"], a1) ||
		slices.Contains(holds["h"], w1) {
		t.Errorf("%v", holds)
	}
	if a, _ := x.ReplicaSets("b2"); a != x.NoOwner() {
		t.Error("a segment without a number has a replica set")
	}
}

// BenchmarkSplit divides a query of eight shard requests, by the size of the map.
func BenchmarkSplit(b *testing.B) {
	for _, n := range []int{4, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var segments []Segment
			for i := range n {
				segments = append(segments, Segment{Name: fmt.Sprint("s", i), Range: ShardRange(i, n),
					Owners: []string{"h"}})
			}
			m, _ := NewMap(1, segments)
			var ranges []Range
			var weights []float64
			for i := range 8 {
				ranges, weights = append(ranges, ShardRange(i, 64)), append(weights, 0.125)
			}
			for b.Loop() {
				m.Split(ranges, weights, false)
			}
		})
	}
}
