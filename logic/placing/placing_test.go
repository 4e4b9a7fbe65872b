package placing

import (
	"flag"
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"yokeroute/gather"
	"yokeroute/logic/placement"
)

func always() bool { return true }

// brute goes through every placement that keeps the limits and gives the best value.
func brute(m *placement.Model, free relaxed) (best value, found bool) {
	j := newJob(m.Normalized(), free, 0, always)
	var sets [][][]int
	for s, want := range j.wanted {
		var of [][]int
		for mask := range 1 << len(j.usable) {
			var hosts []int
			for i, h := range j.usable {
				if mask>>i&1 == 1 {
					hosts = append(hosts, h)
				}
			}
			if len(hosts) == want && j.inEnoughZones(s, hosts) {
				of = append(of, hosts)
			}
		}
		sets = append(sets, of)
	}
	held := make([]int, len(m.Hosts))
	places := make([][]int, len(sets))
	var from func(s int)
	from = func(s int) {
		if s == len(sets) {
			if v, fits := j.evaluate(places); fits && (!found || v.less(best)) {
				best, found = v, true
			}
			return
		}
		for _, hosts := range sets[s] {
			ok := true
			for _, h := range hosts {
				held[h]++
				ok = ok && held[h] <= j.maxSegments(h)
			}
			if places[s] = hosts; ok {
				from(s + 1)
			}
			for _, h := range hosts {
				held[h]--
			}
		}
	}
	from(0)
	return best, found
}

func drawn(r *rand.Rand, hosts, segments int) *placement.Model {
	m := &placement.Model{Unit: 1, MaxMoves: r.Intn(5) - 1}
	for i := range 1 + r.Intn(2) {
		h := placement.Zone{Name: fmt.Sprint("hall", i), MaxLoad: -1}
		if r.Intn(4) == 0 {
			h.MaxLoad = int64(4 + r.Intn(14))
		}
		m.Zones = append(m.Zones, h)
	}
	for i := range 2 + r.Intn(hosts-1) {
		h := placement.Host{Name: fmt.Sprintf("h%02d", i), Zone: m.Zones[r.Intn(len(m.Zones))].Name, Capacity: int64(2 + r.Intn(9)),
			Cost: int64(r.Intn(2)) * 500}
		if r.Intn(3) == 0 {
			h.MaxSegments = 1 + r.Intn(2)
		}
		if r.Intn(10) == 0 {
			h.State = gather.Draining
		}
		m.Hosts = append(m.Hosts, h)
	}
	for i := range 1 + r.Intn(segments) {
		s := placement.Segment{Name: fmt.Sprint("s", i), ReplicaSet: -1, Replicas: 1 + r.Intn(min(3, len(m.Hosts)))}
		if r.Intn(4) > 0 {
			for _, h := range r.Perm(len(m.Hosts))[:min(1+r.Intn(3), len(m.Hosts))] {
				s.Hosts = append(s.Hosts, m.Hosts[h].Name)
			}
		}
		m.Segments = append(m.Segments, s)
		for _, zone := range m.Zones {
			m.Demands = append(m.Demands, placement.Demand{Segment: s.Name, Zone: zone.Name, Rate: int64(r.Intn(8))})
		}
	}
	return m
}

// against holds a search to the reference: no worse placement, and where none fits a reason that is true.
func against(t *testing.T, m *placement.Model) *Infeasibility {
	t.Helper()
	if faults := m.Validate(); len(faults) > 0 {
		t.Fatalf("the case is faulty: %v", faults[0])
	}
	want, found := brute(m, relaxed{zones: make([]bool, len(m.Zones))})
	got, bad, err := Search(m, Config{Effort: 400, Seed: 3}, always)
	switch {
	case err != nil:
		t.Fatal(err)
	case (got != nil) != found:
		t.Fatalf("a placement: %t, by brute force %t (%v), of %+v", got != nil, found, bad, m)
	case got == nil:
		holds(t, m, bad)
		return bad
	case !got.Proven:
		t.Fatalf("not proven: %+v, of %+v", got, m)
	}
	j := newJob(got.Model, relaxed{zones: make([]bool, len(m.Zones))}, 0, always)
	orig := newJob(m.Normalized(), j.relaxed, 0, always)
	v, fits := orig.evaluate(j.currentHosts)
	if v.less(want) || want.less(v) || !fits || v.moves != len(got.Moves) || v.cost != got.Cost {
		t.Fatalf("%+v, fits %t, said %+v, by brute force %+v, of %+v", v, fits, got, want, m)
	}
	for s, hosts := range j.currentHosts {
		if len(hosts) != j.wanted[s] || !j.inEnoughZones(s, hosts) {
			t.Fatalf("%s on %v, of %+v", m.Segments[s].Name, hosts, m)
		}
	}
	return nil
}

// holds checks that a misfit's reason is true by itself.
func holds(t *testing.T, m *placement.Model, f *Infeasibility) {
	t.Helper()
	n := m.Normalized()
	switch f.Kind {
	case TooFewHosts, TooFewSlots, TooManyMoves, SegmentDemandTooHigh:
		if f.Need <= f.Available {
			t.Fatalf("%d needed, %d there: %+v", f.Need, f.Available, f)
		}
		if f.Kind == SegmentDemandTooHigh {
			asked, can := int64(0), int64(0)
			for _, d := range n.Demands {
				if d.Segment == f.Segment {
					asked += d.Rate
				}
			}
			for _, h := range n.Hosts {
				if slices.Contains(f.Hosts, h.Name) {
					can += h.Capacity
				}
			}
			if asked != f.Need || can != f.Available {
				t.Fatalf("%+v, but %d and %d", f, asked, can)
			}
		}
	case DemandTooHigh:
		if reason := f.Proof.Verify(OneSegmentModel(n)); reason != "" {
			t.Fatalf("%+v: %s", f.Proof, reason)
		}
	case ConflictingLimits:
		only := func(drop string) relaxed {
			l := relaxed{true, true, true, true, make([]bool, len(n.Zones))}
			for i, h := range n.Zones {
				l.zones[i] = !slices.Contains(f.Limits, "hall "+h.Name) || drop == "hall "+h.Name
			}
			keep := func(name string) bool { return !slices.Contains(f.Limits, name) || drop == name }
			l.moves, l.spread, l.slots, l.capacity = keep(limitCopies), keep(limitSpread), keep(limitHolds), keep(limitCapacity)
			return l
		}
		if _, found := brute(m, only("")); found {
			t.Fatalf("%+v: these limits can be kept together, of %+v", f, m)
		}
		for _, name := range f.Limits {
			if _, found := brute(m, only(name)); !found {
				t.Fatalf("%+v: %s is not needed for it, of %+v", f, name, m)
			}
		}
	default:
		t.Fatalf("%+v", f)
	}
}

// CI goes through the first of these; the long run is in docs/results.md.
var seeded = flag.Int("seeded", 250, "how many drawn models to hold to brute force")

func TestPlacementEqualsBruteForceOnDrawnModels(t *testing.T) {
	r := rand.New(rand.NewSource(16))
	kinds := map[InfeasibilityKind]int{}
	for i := range *seeded {
		hosts, segments := 6, 3
		if i%10 == 0 {
			hosts, segments = 12, 2
		}
		if bad := against(t, drawn(r, hosts, segments)); bad != nil {
			kinds[bad.Kind]++
		}
	}
	t.Logf("%d models, none fits: %v", *seeded, kinds)
	if kinds[ConflictingLimits] < *seeded/100 || kinds[DemandTooHigh] < *seeded/100 {
		t.Errorf("too few misfits of a kind to tell: %v", kinds)
	}
}
