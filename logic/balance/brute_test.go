package balance

import (
	"flag"
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"yokeroute/gather"
	"yokeroute/logic/placement"
)

// bruteForceResult is the optimal solution of a problem as solveByBruteForce finds it.
type bruteForceResult struct {
	utilisation  placement.Ratio
	cost, change int64
	found        bool
}

// solveByBruteForce returns the optimal solution of a problem. It enumerates, row by row, all ways to
// distribute whole units and keeps the least cost and change for each vector of host loads. It shares no code
// with the solver except the model and the arithmetic of ratios.
func solveByBruteForce(p *Problem, inForce [][]int64) bruteForceResult {
	type totals struct{ cost, change int64 }
	loads := map[string]totals{string(make([]byte, len(p.capacity))): {}}
	for i, r := range p.rows {
		next := map[string]totals{}
		for key, sums := range loads {
			var split func(j int, remaining int64, loaded []byte, s totals)
			split = func(j int, remaining int64, loaded []byte, s totals) {
				if j == len(p.replicas[r.segment]) {
					if old, seen := next[string(loaded)]; remaining == 0 && (!seen || s.cost < old.cost || s.cost == old.cost && s.change < old.change) {
						next[string(loaded)] = s
					}
					return
				}
				h := p.replicas[r.segment][j]
				for x := int64(0); x <= remaining && int64(loaded[h])+x <= p.capacity[h]; x++ {
					extended := slices.Clone(loaded)
					extended[h] += byte(x)
					unitsInForce := int64(0)
					if inForce != nil {
						unitsInForce = inForce[i][j]
					}
					split(j+1, remaining-x, extended, totals{s.cost + x*(p.zoneCosts[r.zone][p.zoneOf[h]]+p.model.Hosts[h].Cost), s.change + max(x-unitsInForce, unitsInForce-x)})
				}
			}
			split(0, r.rate, []byte(key), sums)
		}
		loads = next
	}
	var best bruteForceResult
	for key, s := range loads {
		u, zoneLoads, fits := placement.Ratio{Load: 0, Capacity: 1}, make([]int64, len(p.zoneLimits)), true
		for h, load := range []byte(key) {
			if r := (placement.Ratio{Load: int64(load), Capacity: p.capacity[h]}); load > 0 && u.Less(r) {
				u = r
			}
			zoneLoads[p.zoneOf[h]] += int64(load)
		}
		for i, limit := range p.zoneLimits {
			fits = fits && (limit < 0 || zoneLoads[i] <= limit)
		}
		if fits && (!best.found || u.Less(best.utilisation) || !best.utilisation.Less(u) && (s.cost < best.cost || s.cost == best.cost && s.change < best.change)) {
			best = bruteForceResult{u, s.cost, s.change, true}
		}
	}
	return best
}

// checkAgainstBruteForce checks the solution of a model against brute force. If there is none, it verifies
// the proof of infeasibility. It reports whether demand fits.
func checkAgainstBruteForce(t *testing.T, m *placement.Model, inForce *placement.Plan) (fits bool) {
	t.Helper()
	if entryErrors := m.Validate(); len(entryErrors) > 0 {
		t.Fatalf("the test model is invalid: %v", entryErrors[0])
	}
	p := NewProblem(m)
	p.SetTime(m.At, nil)
	var units [][]int64
	if inForce != nil {
		units = p.Units(inForce.Steps[0].Rows)
	}
	want := solveByBruteForce(p, units)
	plan, proof, err := Solve(m, inForce, alwaysHasTime)
	switch {
	case err != nil:
		t.Fatal(err)
	case (plan != nil) != want.found:
		t.Fatalf("Solve returned a plan: %t, brute force found one: %t, model %+v", plan != nil, want.found, m)
	case plan == nil:
		if reason := proof.Verify(m); reason != "" {
			t.Fatalf("proof of infeasibility %+v does not hold: %s, model %+v", proof, reason, m)
		}
		return false
	}
	got := plan.Steps[0]
	if violations := plan.Violations(); len(violations) > 0 {
		t.Fatalf("violations of the plan: %v, model %+v", violations, m)
	}
	if got.MaxUtilisation.Less(want.utilisation) || want.utilisation.Less(got.MaxUtilisation) || got.Cost != want.cost || inForce != nil && got.Change != want.change {
		t.Fatalf("maximum utilisation %v, cost %d, change %d; brute force found %+v, model %+v", got.MaxUtilisation, got.Cost, got.Change, want, m)
	}
	if u := p.MaxUtilisation(p.Loads(p.Units(got.Rows))); u.Less(got.MaxUtilisation) || got.MaxUtilisation.Less(u) {
		t.Fatalf("maximum utilisation %v computed from the rows, %v stored in the step; want them equal", u, got.MaxUtilisation)
	}
	return true
}

func alwaysHasTime() bool { return true }

var allModels = flag.Bool("whole", false, "test all enumerated models instead of every seventh of them")

// TestSolveEqualsBruteForceOnEnumeratedModels compares Solve with brute force on an enumerated family of
// small models: up to three hosts in two zones, two segments on all sets of hosts, small capacities, demands,
// costs and limits. Without -whole it takes every seventh model.
func TestSolveEqualsBruteForceOnEnumeratedModels(t *testing.T) {
	count, feasible := 0, 0
	for capacities := range 4 * 4 * 4 {
		for replicaSets := range 7 * 7 {
			for rates := range 3 * 3 * 3 {
				if !*allModels && (capacities+replicaSets+rates)%7 != 0 {
					continue
				}
				m := &placement.Model{Unit: 1, MaxMoves: -1, Zones: []placement.Zone{{Name: "a", MaxLoad: -1}, {Name: "b", MaxLoad: int64(replicaSets%4) + 1}}}
				for i, c := range []int{capacities % 4, capacities / 4 % 4, capacities / 16} {
					m.Hosts = append(m.Hosts, placement.Host{Name: fmt.Sprint("h", i), Zone: []string{"a", "b", "b"}[i], Capacity: int64(c), Cost: int64(capacities+i*rates) % 3 * 700})
				}
				for i, set := range []int{replicaSets%7 + 1, replicaSets/7 + 1} {
					s := placement.Segment{Name: fmt.Sprint("s", i), ReplicaSet: -1}
					for h := range 3 {
						if set>>h&1 == 1 {
							s.Hosts = append(s.Hosts, fmt.Sprint("h", h))
						}
					}
					m.Segments = append(m.Segments, s)
				}
				for i, rate := range []int{rates % 3, rates / 3 % 3, rates / 9} {
					m.Demands = append(m.Demands, placement.Demand{Segment: fmt.Sprint("s", i%2), Zone: []string{"a", "a", "b"}[i], Rate: int64(rate)})
				}
				count++
				if checkAgainstBruteForce(t, m, nil) {
					feasible++
				}
			}
		}
	}
	if feasible < count/10 || feasible > count*9/10 {
		t.Errorf("%d of %d models are feasible, want between a tenth and nine tenths of them", feasible, count)
	}
	t.Logf("%d models, %d of them feasible", count, feasible)
}

// randomModel returns a random model that is small enough for brute force.
func randomModel(r *rand.Rand, maxHosts int) *placement.Model {
	m := &placement.Model{Unit: 1, At: 1e6, MaxMoves: -1, Steps: 1 + r.Intn(3)}
	for i := range 1 + r.Intn(3) {
		zone := placement.Zone{Name: fmt.Sprint("hall", i), MaxLoad: -1}
		if r.Intn(3) == 0 {
			zone.MaxLoad = int64(r.Intn(9))
		}
		if r.Intn(4) == 0 {
			zone.Headroom = int64(r.Intn(3))
		}
		m.Zones = append(m.Zones, zone)
	}
	for i := range 1 + r.Intn(maxHosts) {
		h := placement.Host{Name: fmt.Sprintf("h%02d", i), Zone: m.Zones[r.Intn(len(m.Zones))].Name, Capacity: int64(r.Intn(7)), Cost: int64(r.Intn(3)) * 500}
		switch r.Intn(8) {
		case 0:
			h.State = gather.Draining
		case 1:
			h.StartedAt, h.WarmupTime, h.InitialCapacityShare = m.At-float64(r.Intn(1000)), 2000, 0.2
		}
		m.Hosts = append(m.Hosts, h)
	}
	for i := range 1 + r.Intn(3) {
		s := placement.Segment{Name: fmt.Sprint("s", i), ReplicaSet: -1}
		for _, h := range r.Perm(len(m.Hosts))[:min(1+r.Intn(4), len(m.Hosts))] {
			s.Hosts = append(s.Hosts, m.Hosts[h].Name)
		}
		m.Segments = append(m.Segments, s)
		for _, zone := range m.Zones {
			if rate := int64(r.Intn(4)); rate > 0 {
				m.Demands = append(m.Demands, placement.Demand{Segment: s.Name, Zone: zone.Name, Rate: rate})
			}
		}
	}
	if len(m.Zones) > 1 && r.Intn(2) == 0 {
		m.ZoneCosts = append(m.ZoneCosts, placement.ZoneCost{From: "hall0", To: "hall1", Cost: int64(r.Intn(3)) * 400})
	}
	return m
}

// CI uses the default number of models; the result of a longer run is in docs/results.md.
var randomModelCount = flag.Int("seeded", 2500, "number of random models to compare with brute force")

// TestSolveEqualsBruteForceOnRandomModels compares Solve with brute force on random models, with the plan for
// another random model in force.
func TestSolveEqualsBruteForceOnRandomModels(t *testing.T) {
	r := rand.New(rand.NewSource(15))
	feasible := 0
	for range *randomModelCount {
		m := randomModel(r, 12)
		inForce, _, _ := Solve(randomModel(r, 12), nil, alwaysHasTime) // the plan in force, for another model
		if checkAgainstBruteForce(t, m, inForce) {
			feasible++
		}
	}
	t.Logf("%d models, %d of them feasible", *randomModelCount, feasible)
}
