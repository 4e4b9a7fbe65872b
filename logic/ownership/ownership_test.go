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

func init() { flag.Set("rapid.seed", "20261201") } // every run uses the same random draws

// drawMap draws a map of epoch 1 with gaps and unowned segments.
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

// drawChange draws a change to m. n makes the names of new segments unique. ok is false if m does not allow
// the change.
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
		c, err = m.MoveSegment(s.Name, []string{fmt.Sprint("h", rapid.IntRange(0, 5).Draw(t, "owner"))})
	default:
		c, err = m.MoveSegment(s.Name, nil)
	}
	return c, err == nil
}

// TestOverlapsWithSegmentsCoverRangeOnce checks that the overlaps of a range are consecutive, cover the range
// and have shares that add up to 1. It compares the segment of each overlap with a linear search for the
// owner of each key at a segment's border.
func TestOverlapsWithSegmentsCoverRangeOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMap(t)
		for n := range rapid.IntRange(0, 6).Draw(t, "changes") {
			if c, ok := drawChange(t, m, n); ok {
				m, _ = m.Apply(c)
			}
		}
		a, b := rapid.Uint64().Draw(t, "a"), rapid.Uint64().Draw(t, "b")
		r := Range{min(a, b), max(a, b)}
		overlaps := m.Overlaps(r)
		sum, from := 0.0, r.Lo
		for i, o := range overlaps {
			if o.Lo != from || o.Hi < o.Lo || o.Hi > r.Hi {
				t.Fatalf("overlap %s does not begin at key %016x or exceeds range %s", o.Text(), from, r.Text())
			}
			sum += o.Share
			if from = o.Hi + 1; i == len(overlaps)-1 && o.Hi != r.Hi {
				t.Fatalf("the last overlap %s does not reach the end of range %s", o.Text(), r.Text())
			}
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Fatalf("shares add up to %g, want 1", sum)
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
			index := slices.IndexFunc(overlaps, func(o Overlap) bool { return key >= o.Lo && key <= o.Hi })
			if overlaps[index].Segment != owner {
				t.Fatalf("key %016x is in segment %d, but its overlap has segment %d", key, owner,
					overlaps[index].Segment)
			}
		}
	})
}

// TestShardRangesPartitionAllKeys checks that the ranges of all shards are even, consecutive and cover all
// keys.
func TestShardRangesPartitionAllKeys(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 7, 18, 1000, 65536} {
		from := uint64(0)
		for shard := range n {
			r := ShardRange(shard, n)
			if r.Lo != from || shard == n-1 && r.Hi != ^uint64(0) {
				t.Fatalf("shard %d of %d has range %s, want one from %016x", shard, n, r.Text(), from)
			}
			if off := r.Fraction()*float64(n) - 1; math.Abs(off) > 1e-9 {
				t.Errorf("shard %d of %d has %g times an even share of the keys", shard, n, off+1)
			}
			from = r.Hi + 1
		}
	}
}

// TestReassignCoversKeysOnce reassigns pieces over chains of random changes. The pieces of a shard request
// always cover each of its keys once, and their weights keep their sum. Pieces that are answered, in flight,
// or non-idempotent and possibly executed, are never replaced.
func TestReassignCoversKeysOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMap(t)
		nonIdempotent := rapid.Bool().Draw(t, "non-idempotent")
		var pieces []Piece
		next := uint64(0)
		addPiece := func(newPiece NewPiece) {
			piece := Piece{ID: next, Request: newPiece.Request, Range: newPiece.Range, Weight: newPiece.Weight,
				Attempted: newPiece.Retry, DeferredAt: newPiece.DeferredAt, OwnedSince: m.Epoch}
			if next++; newPiece.Segment >= 0 {
				piece.Segment, piece.OwnedSince = m.Segments[newPiece.Segment].Name,
					m.Segments[newPiece.Segment].OwnedSince
			}
			pieces = append(pieces, piece)
		}
		ranges, weights := []Range{ShardRange(0, 4), ShardRange(3, 4)}, []float64{0.5, 0.5}
		for _, newPiece := range m.Split(ranges, weights, false) {
			addPiece(newPiece)
		}
		now := 1000.0
		for n := range rapid.IntRange(1, 8).Draw(t, "changes") {
			for i := range pieces {
				piece := &pieces[i]
				switch rapid.IntRange(0, 5).Draw(t, "fate") {
				case 0:
					piece.InFlight, piece.Attempted = 1, true
				case 1:
					piece.InFlight = 0
				case 2:
					piece.InFlight, piece.MayHaveRun, piece.Attempted = 0, true, true
				case 3:
					piece.InFlight, piece.Answered = 0, piece.Segment != ""
				case 4:
					piece.InFlight, piece.Rejected, piece.Attempted = 0, piece.Segment != "" && !piece.MayHaveRun, true
				}
			}
			if c, ok := drawChange(t, m, n); ok {
				m, _ = m.Apply(c)
			}
			trusted := rapid.IntRange(0, 5).Draw(t, "trusted") > 0
			now += rapid.Float64Range(0, 200).Draw(t, "elapsed")
			replaced, added := m.Reassign(pieces, nonIdempotent, trusted, now)
			for _, id := range replaced {
				i := slices.IndexFunc(pieces, func(p Piece) bool { return p.ID == id })
				if p := pieces[i]; p.Answered || p.InFlight > 0 || nonIdempotent && p.MayHaveRun {
					t.Fatalf("replaced a piece that must be kept: %+v", p)
				}
				pieces = slices.Delete(pieces, i, i+1)
			}
			for _, newPiece := range added {
				if nonIdempotent && !trusted && newPiece.Segment >= 0 {
					t.Fatalf("%+v has a segment although the map is not trusted", newPiece)
				}
				addPiece(newPiece)
			}
			for request, r := range ranges {
				var requestPieces []Piece
				sum := 0.0
				for _, piece := range pieces {
					if piece.Request == request {
						requestPieces, sum = append(requestPieces, piece), sum+piece.Weight
					}
				}
				slices.SortFunc(requestPieces, func(a, b Piece) int {
					if a.Lo < b.Lo {
						return -1
					}
					return 1
				})
				from := r.Lo
				for _, piece := range requestPieces {
					if piece.Lo != from {
						t.Fatalf("request %d: piece %s must begin at key %016x", request, piece.Text(), from)
					}
					from = piece.Hi + 1
				}
				if len(requestPieces) == 0 || requestPieces[len(requestPieces)-1].Hi != r.Hi ||
					math.Abs(sum-weights[request]) > 1e-9 {
					t.Fatalf("request %d: %d pieces with weight %g don't cover its range or keep its weight", request,
						len(requestPieces), sum)
				}
			}
		}
	})
}

// TestTrackerToleratesReorderedUpdates passes changes late, repeatedly, out of order and with gaps, mixed
// with full maps. The tracker's map always equals the original of its epoch, never goes back to an earlier
// epoch, and is the newest at the end.
func TestTrackerToleratesReorderedUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maps := []*Map{drawMap(t)}
		var changes []Change
		for n := range 20 {
			if c, ok := drawChange(t, maps[len(maps)-1], n); ok {
				next, err := maps[len(maps)-1].Apply(c)
				if err != nil {
					t.Fatal(err)
				}
				maps, changes = append(maps, next), append(changes, c)
			}
		}
		var tracker Tracker
		last := uint64(0)
		check := func(result UpdateResult, err error) {
			if result == Conflict {
				t.Fatalf("a correct update is reported as a conflict: %v", err)
			}
			if tracker.Map == nil {
				return
			}
			if tracker.Map.Epoch < last || maps[tracker.Map.Epoch-1].Checksum != tracker.Map.Checksum {
				t.Fatalf("epoch %d after %d, or a map that differs from the original", tracker.Map.Epoch, last)
			}
			last = tracker.Map.Epoch
		}
		for range 30 {
			if len(changes) > 0 && rapid.IntRange(0, 9).Draw(t, "kind") > 0 {
				check(tracker.ApplyChange(changes[rapid.IntRange(0, len(changes)-1).Draw(t, "change")]))
			} else {
				check(tracker.ApplyMap(maps[rapid.IntRange(0, len(maps)-1).Draw(t, "map")]))
			}
		}
		check(tracker.ApplyMap(maps[len(maps)-1]))
		if tracker.Map.Epoch != uint64(len(maps)) || tracker.ConflictEpoch != 0 {
			t.Fatalf("at epoch %d, want %d; conflict epoch %d, want 0", tracker.Map.Epoch, len(maps),
				tracker.ConflictEpoch)
		}
	})
}

// TestTrackerReportsConflictingSources applies two different changes of the same epoch. The first one is
// kept, and only a full map of a later epoch ends the conflict.
func TestTrackerReportsConflictingSources(t *testing.T) {
	m, err := NewMap(1, []Segment{{Name: "s", Range: AllKeys, Owners: []string{"a"}}})
	if err != nil {
		t.Fatal(err)
	}
	one, _ := m.MoveSegment("s", []string{"b"})
	other, _ := m.MoveSegment("s", []string{"c"})
	tracker := Tracker{}
	tracker.ApplyMap(m)
	if v, _ := tracker.ApplyChange(one); v != Applied {
		t.Fatal(v)
	}
	if v, err := tracker.ApplyChange(other); v != Conflict || err == nil || tracker.ConflictEpoch != 2 ||
		tracker.Map.Segments[0].Owners[0] != "b" {
		t.Errorf("second change of epoch 2: result %v, error %v, conflict epoch %d; want a conflict on epoch 2",
			v, err, tracker.ConflictEpoch)
	}
	if v, _ := tracker.ApplyChange(one); v != Duplicate || tracker.ConflictEpoch == 0 {
		t.Errorf("first change repeated: result %v, conflict epoch %d; want a duplicate and a conflict",
			v, tracker.ConflictEpoch)
	}
	again, _ := m.Apply(one)
	if v, _ := tracker.ApplyMap(again); v != Duplicate || tracker.ConflictEpoch == 0 {
		t.Errorf("full map of the same epoch: result %v, conflict epoch %d; want a duplicate and a conflict",
			v, tracker.ConflictEpoch)
	}
	next, _ := again.MoveSegment("s", []string{"a"})
	later, _ := again.Apply(next)
	if v, _ := tracker.ApplyMap(later); v != Applied || tracker.ConflictEpoch != 0 {
		t.Errorf("full map of the next epoch: result %v, conflict epoch %d; want it applied and 0",
			v, tracker.ConflictEpoch)
	}
	// Invalid updates are rejected and don't count as conflicts.
	broken := &Map{Epoch: 9, Checksum: 1, Segments: []Segment{{Name: "x", Range: Range{0, 9}},
		{Name: "y", Range: Range{9, 20}}}}
	if v, err := tracker.ApplyMap(broken); v != Invalid || !strings.Contains(err.Error(), "both own the key") ||
		tracker.Map.Epoch != 3 {
		t.Errorf("map with overlapping segments: result %v, error %v; want it invalid and epoch 3 kept", v, err)
	}
	wrong := next
	wrong.Epoch, wrong.PreviousChecksum = 4, later.Checksum
	wrong.Removed = []string{"t"}
	if v, err := tracker.ApplyChange(wrong); v != Invalid || tracker.ConflictEpoch != 0 ||
		!strings.Contains(err.Error(), `removes "t", which is not a segment`) {
		t.Errorf("removal of an unknown segment: result %v, error %v; want it invalid, no conflict", v, err)
	}
}

// TestHostAdmitsOnlyOwnedKeys checks that a host admits only requests for keys that it owns, under the epoch
// since which it owns them, and that a log accepts no record under an older epoch or after it was sealed.
func TestHostAdmitsOnlyOwnedKeys(t *testing.T) {
	var h Host
	h.Acquire(OwnedSegment{Name: "s", Range: Range{100, 200}, OwnedSince: 3, Writer: true})
	for _, c := range []struct {
		request Request
		want    Admission
	}{
		{Request{"s", 3, Range{100, 200}, true}, Admitted}, {Request{"s", 3, Range{120, 130}, false},
			Admitted}, {Request{"s", 2, Range{120, 130}, false}, NotOwner},
		{Request{"s", 4, Range{120, 130}, false}, NotOwner}, {Request{"t", 3, Range{120, 130}, false},
			NotOwner}, {Request{"s", 3, Range{99, 130}, false}, NotOwner},
	} {
		if got := h.Admit(c.request); got != c.want {
			t.Errorf("%+v: unexpected admission %d", c.request, got)
		}
	}
	h.Seal("s")
	if h.Admit(Request{"s", 3, Range{100, 200}, true}) != NotOwner ||
		h.Admit(Request{"s", 3, Range{100, 200}, false}) != Admitted {
		t.Error("a sealed segment must admit idempotent requests only")
	}
	h.Acquire(OwnedSegment{Name: "s", Range: Range{100, 200}, OwnedSince: 5, Writer: false})
	if h.Admit(Request{"s", 5, Range{100, 200}, true}) != NotOwner {
		t.Error("a host that is not the writer admitted a non-idempotent request")
	}
	h.Acquire(OwnedSegment{Name: "u", Range: Range{150, 300}, OwnedSince: 4})
	if len(h.Segments) != 2 || h.find("s") == nil {
		t.Errorf("an older segment replaced a newer one: %+v", h.Segments)
	}
	h.Acquire(OwnedSegment{Name: "u", Range: Range{150, 300}, OwnedSince: 6})
	if len(h.Segments) != 1 {
		t.Errorf("a newer segment did not replace those with common keys: %+v", h.Segments)
	}
	l := SegmentLog{Epoch: 3}
	if !l.Append(3) || l.Append(2) || l.Append(4) || l.RaiseEpoch(2) || !l.RaiseEpoch(5) || l.Append(3) ||
		!l.Append(5) {
		t.Errorf("log accepts or refuses a record or an epoch wrongly: %+v", l)
	}
	l.Sealed = true
	if l.Append(5) || !l.RaiseEpoch(5) || l.Append(5) || !l.RaiseEpoch(6) || !l.Append(6) {
		t.Errorf("a sealed log accepts records, or a later epoch does not unseal it: %+v", l)
	}
}

// TestReplicaSetIndexReusesFreedNumbersLast checks that each number is used by one segment at a time, that
// kept segments keep theirs, and that freed numbers are reused last.
func TestReplicaSetIndexReusesFreedNumbersLast(t *testing.T) {
	x := NewReplicaSetIndex(3)
	m, _ := NewMap(1, []Segment{{Name: "a", Range: Range{0, 9}, Owners: []string{"h"}},
		{Name: "b", Range: Range{10, 19}, Owners: []string{"g", "h"}}})
	if x.Update(m) {
		t.Error("Update reported too many segments for a map of two")
	}
	all, writer := x.ReplicaSets("b")
	c, _ := m.SplitSegment("a", 5, "a1", "a2")
	m, _ = m.Apply(c)
	if x.Update(m) {
		t.Error("Update reported too many segments for a map of three, with three numbers")
	}
	if a, w := x.ReplicaSets("b"); a != all || w != writer {
		t.Error("the number of a kept segment has changed")
	}
	seen := map[int]bool{}
	for _, name := range []string{"a1", "a2", "b"} {
		a, w := x.ReplicaSets(name)
		if seen[a] || seen[w] || a == x.NoOwner() {
			t.Errorf("segment %s has replica sets %d and %d, which are in use or without servers", name, a, w)
		}
		seen[a], seen[w] = true, true
	}
	c, _ = m.SplitSegment("b", 15, "b1", "b2")
	m, _ = m.Apply(c)
	if !x.Update(m) {
		t.Error("Update reported no overflow for four segments with three numbers")
	}
	setsByHost := x.ByHost(m)
	a1, w1 := x.ReplicaSets("b1")
	if !slices.Contains(setsByHost["g"], a1) || !slices.Contains(setsByHost["g"], w1) ||
		!slices.Contains(setsByHost["h"], a1) || slices.Contains(setsByHost["h"], w1) {
		t.Errorf("replica sets by host: %v; want both for g and that of all owners for h", setsByHost)
	}
	if a, _ := x.ReplicaSets("b2"); a != x.NoOwner() {
		t.Error("a segment without a number has a replica set")
	}
}

// BenchmarkSplit divides a query of eight shard requests by maps of several sizes.
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
