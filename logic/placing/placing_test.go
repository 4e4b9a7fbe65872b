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

func alwaysHasTime() bool { return true }

// searchByBruteForce enumerates every placement that meets the limits and returns the best value. It returns
// false if none fits.
func searchByBruteForce(m *placement.Model, relax relaxed) (best value, found bool) {
	j := newJob(m.Normalized(), relax, 0, alwaysHasTime)
	var sets [][][]int
	for s, want := range j.replicaCounts {
		var segmentSets [][]int
		for mask := range 1 << len(j.usableHosts) {
			var hosts []int
			for i, h := range j.usableHosts {
				if mask>>i&1 == 1 {
					hosts = append(hosts, h)
				}
			}
			if len(hosts) == want && j.inEnoughZones(s, hosts) {
				segmentSets = append(segmentSets, hosts)
			}
		}
		sets = append(sets, segmentSets)
	}
	segmentsOn := make([]int, len(m.Hosts))
	assignment := make([][]int, len(sets))
	var assign func(s int)
	assign = func(s int) {
		if s == len(sets) {
			if v, fits := j.evaluate(assignment); fits && (!found || v.less(best)) {
				best, found = v, true
			}
			return
		}
		for _, hosts := range sets[s] {
			ok := true
			for _, h := range hosts {
				segmentsOn[h]++
				ok = ok && segmentsOn[h] <= j.maxSegments(h)
			}
			if assignment[s] = hosts; ok {
				assign(s + 1)
			}
			for _, h := range hosts {
				segmentsOn[h]--
			}
		}
	}
	assign(0)
	return best, found
}

// randomModel returns a random model with up to the given numbers of hosts and segments.
func randomModel(r *rand.Rand, hosts, segments int) *placement.Model {
	m := &placement.Model{Unit: 1, MaxMoves: r.Intn(5) - 1}
	for i := range 1 + r.Intn(2) {
		zone := placement.Zone{Name: fmt.Sprint("hall", i), MaxLoad: -1}
		if r.Intn(4) == 0 {
			zone.MaxLoad = int64(4 + r.Intn(14))
		}
		m.Zones = append(m.Zones, zone)
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

// checkAgainstBruteForce checks that a search finds a placement with the same value as brute force, or
// returns a valid infeasibility if none fits. It returns the infeasibility.
func checkAgainstBruteForce(t *testing.T, m *placement.Model) *Infeasibility {
	t.Helper()
	if entryErrors := m.Validate(); len(entryErrors) > 0 {
		t.Fatalf("the test model is invalid: %v", entryErrors[0])
	}
	want, found := searchByBruteForce(m, relaxed{zones: make([]bool, len(m.Zones))})
	got, infeasibility, err := Search(m, Config{Effort: 400, Seed: 3}, alwaysHasTime)
	switch {
	case err != nil:
		t.Fatal(err)
	case (got != nil) != found:
		t.Fatalf("Search found a placement: %t, brute force found one: %t (infeasibility %v), model %+v", got != nil, found, infeasibility, m)
	case got == nil:
		checkInfeasibility(t, m, infeasibility)
		return infeasibility
	case !got.Proven:
		t.Fatalf("the placement is not proven optimal: %+v, model %+v", got, m)
	}
	j := newJob(got.Model, relaxed{zones: make([]bool, len(m.Zones))}, 0, alwaysHasTime)
	originalJob := newJob(m.Normalized(), j.relaxed, 0, alwaysHasTime)
	v, fits := originalJob.evaluate(j.currentHosts)
	if v.less(want) || want.less(v) || !fits || v.moves != len(got.Moves) || v.cost != got.Cost {
		t.Fatalf("value %+v, fits: %t, result %+v, brute force found %+v, model %+v", v, fits, got, want, m)
	}
	for s, hosts := range j.currentHosts {
		if len(hosts) != j.replicaCounts[s] || !j.inEnoughZones(s, hosts) {
			t.Fatalf("segment %s is on hosts %v, want %d hosts in at least %d zones, model %+v", m.Segments[s].Name, hosts, j.replicaCounts[s], j.minZones[s], m)
		}
	}
	return nil
}

// checkInfeasibility checks an infeasibility independently of the search.
func checkInfeasibility(t *testing.T, m *placement.Model, f *Infeasibility) {
	t.Helper()
	normalized := m.Normalized()
	switch f.Kind {
	case TooFewHosts, TooFewSlots, TooManyMoves, SegmentDemandTooHigh:
		if f.Need <= f.Available {
			t.Fatalf("need of %d does not exceed the available %d: %+v", f.Need, f.Available, f)
		}
		if f.Kind == SegmentDemandTooHigh {
			demand, capacity := int64(0), int64(0)
			for _, d := range normalized.Demands {
				if d.Segment == f.Segment {
					demand += d.Rate
				}
			}
			for _, h := range normalized.Hosts {
				if slices.Contains(f.Hosts, h.Name) {
					capacity += h.Capacity
				}
			}
			if demand != f.Need || capacity != f.Available {
				t.Fatalf("%+v, but the demand is %d and the capacity is %d", f, demand, capacity)
			}
		}
	case DemandTooHigh:
		if reason := f.Proof.Verify(OneSegmentModel(normalized)); reason != "" {
			t.Fatalf("%+v: %s", f.Proof, reason)
		}
	case ConflictingLimits:
		relaxAllExcept := func(additional string) relaxed {
			l := relaxed{true, true, true, true, make([]bool, len(normalized.Zones))}
			for i, zone := range normalized.Zones {
				l.zones[i] = !slices.Contains(f.Limits, "hall "+zone.Name) || additional == "hall "+zone.Name
			}
			isRelaxed := func(name string) bool { return !slices.Contains(f.Limits, name) || additional == name }
			l.moves, l.spread, l.slots, l.capacity = isRelaxed(limitMoves), isRelaxed(limitSpread), isRelaxed(limitSlots), isRelaxed(limitCapacity)
			return l
		}
		if _, found := searchByBruteForce(m, relaxAllExcept("")); found {
			t.Fatalf("%+v: a placement meets all these limits, model %+v", f, m)
		}
		for _, name := range f.Limits {
			if _, found := searchByBruteForce(m, relaxAllExcept(name)); !found {
				t.Fatalf("%+v: the other limits conflict without %q, model %+v", f, name, m)
			}
		}
	default:
		t.Fatalf("unexpected kind of infeasibility: %+v", f)
	}
}

// CI uses the default number of models; the result of a longer run is in docs/results.md.
var randomModelCount = flag.Int("seeded", 250, "number of random models to compare with brute force")

// TestSearchEqualsBruteForceOnRandomModels compares Search with brute force on random models. Every tenth
// model has up to twelve hosts.
func TestSearchEqualsBruteForceOnRandomModels(t *testing.T) {
	r := rand.New(rand.NewSource(16))
	kinds := map[InfeasibilityKind]int{}
	for i := range *randomModelCount {
		hosts, segments := 6, 3
		if i%10 == 0 {
			hosts, segments = 12, 2
		}
		if infeasibility := checkAgainstBruteForce(t, randomModel(r, hosts, segments)); infeasibility != nil {
			kinds[infeasibility.Kind]++
		}
	}
	t.Logf("%d models, infeasible ones by kind: %v", *randomModelCount, kinds)
	if kinds[ConflictingLimits] < *randomModelCount/100 || kinds[DemandTooHigh] < *randomModelCount/100 {
		t.Errorf("infeasible models by kind: %v; want at least %d of the kinds %q and %q", kinds, *randomModelCount/100, ConflictingLimits, DemandTooHigh)
	}
}
