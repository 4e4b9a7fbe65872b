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

// best is the reference answer: every way to share out whole units, row by row, keeping for each vector of
// loads the least cost and change. It shares no arithmetic with the solver but the model.
type best struct {
	u            placement.Ratio
	cost, change int64
	found        bool
}

func brute(p *Problem, before [][]int64) best {
	type sum struct{ cost, change int64 }
	loads := map[string]sum{string(make([]byte, len(p.capacity))): {}}
	for i, r := range p.rows {
		next := map[string]sum{}
		for key, had := range loads {
			var split func(j int, left int64, at []byte, s sum)
			split = func(j int, left int64, at []byte, s sum) {
				if j == len(p.replicas[r.segment]) {
					if old, seen := next[string(at)]; left == 0 && (!seen || s.cost < old.cost || s.cost == old.cost && s.change < old.change) {
						next[string(at)] = s
					}
					return
				}
				h := p.replicas[r.segment][j]
				for x := int64(0); x <= left && int64(at[h])+x <= p.capacity[h]; x++ {
					to := slices.Clone(at)
					to[h] += byte(x)
					had := int64(0)
					if before != nil {
						had = before[i][j]
					}
					split(j+1, left-x, to, sum{s.cost + x*(p.zoneCosts[r.zone][p.zoneOf[h]]+p.model.Hosts[h].Cost), s.change + max(x-had, had-x)})
				}
			}
			split(0, r.rate, []byte(key), had)
		}
		loads = next
	}
	var b best
	for key, s := range loads {
		u, zone, fits := placement.Ratio{Load: 0, Capacity: 1}, make([]int64, len(p.zoneLimits)), true
		for h, load := range []byte(key) {
			if r := (placement.Ratio{Load: int64(load), Capacity: p.capacity[h]}); load > 0 && u.Less(r) {
				u = r
			}
			zone[p.zoneOf[h]] += int64(load)
		}
		for i, most := range p.zoneLimits {
			fits = fits && (most < 0 || zone[i] <= most)
		}
		if fits && (!b.found || u.Less(b.u) || !b.u.Less(u) && (s.cost < b.cost || s.cost == b.cost && s.change < b.change)) {
			b = best{u, s.cost, s.change, true}
		}
	}
	return b
}

// against holds one model to the reference: no worse answer, and a true proof where there is none.
func against(t *testing.T, m *placement.Model, before *placement.Plan) (fits bool) {
	t.Helper()
	if faults := m.Validate(); len(faults) > 0 {
		t.Fatalf("the case is faulty: %v", faults[0])
	}
	p := NewProblem(m)
	p.SetTime(m.At, nil)
	var units [][]int64
	if before != nil {
		units = p.Units(before.Steps[0].Rows)
	}
	want := brute(p, units)
	plan, clash, err := Solve(m, before, always)
	switch {
	case err != nil:
		t.Fatal(err)
	case (plan != nil) != want.found:
		t.Fatalf("a plan: %t, by brute force %t, of %+v", plan != nil, want.found, m)
	case plan == nil:
		if reason := clash.Verify(m); reason != "" {
			t.Fatalf("clash %+v: %s, of %+v", clash, reason, m)
		}
		return false
	}
	got := plan.Steps[0]
	if wrong := plan.Violations(); len(wrong) > 0 {
		t.Fatalf("%v, of %+v", wrong, m)
	}
	if got.MaxUtilisation.Less(want.u) || want.u.Less(got.MaxUtilisation) || got.Cost != want.cost || before != nil && got.Change != want.change {
		t.Fatalf("%v at %d with change %d, by brute force %+v, of %+v", got.MaxUtilisation, got.Cost, got.Change, want, m)
	}
	if u := p.MaxUtilisation(p.Loads(p.Units(got.Rows))); u.Less(got.MaxUtilisation) || got.MaxUtilisation.Less(u) {
		t.Fatalf("utilisation %v, said was %v", u, got.MaxUtilisation)
	}
	return true
}

func always() bool { return true }

var whole = flag.Bool("whole", false, "go through the enumerated family whole, not by every seventh of it")

// TestSolveEqualsBruteForceOnEnumeratedModels goes through a family of small models whole: up to three hosts
// in two halls, two segments on all sets of hosts, small capacities, demands, prices and limits.
func TestSolveEqualsBruteForceOnEnumeratedModels(t *testing.T) {
	count, fitting := 0, 0
	for caps := range 4 * 4 * 4 {
		for on := range 7 * 7 {
			for asks := range 3 * 3 * 3 {
				if !*whole && (caps+on+asks)%7 != 0 {
					continue
				}
				m := &placement.Model{Unit: 1, MaxMoves: -1, Zones: []placement.Zone{{Name: "a", MaxLoad: -1}, {Name: "b", MaxLoad: int64(on%4) + 1}}}
				for i, c := range []int{caps % 4, caps / 4 % 4, caps / 16} {
					m.Hosts = append(m.Hosts, placement.Host{Name: fmt.Sprint("h", i), Zone: []string{"a", "b", "b"}[i], Capacity: int64(c), Cost: int64(caps+i*asks) % 3 * 700})
				}
				for i, set := range []int{on%7 + 1, on/7 + 1} {
					s := placement.Segment{Name: fmt.Sprint("s", i), ReplicaSet: -1}
					for h := range 3 {
						if set>>h&1 == 1 {
							s.Hosts = append(s.Hosts, fmt.Sprint("h", h))
						}
					}
					m.Segments = append(m.Segments, s)
				}
				for i, rate := range []int{asks % 3, asks / 3 % 3, asks / 9} {
					m.Demands = append(m.Demands, placement.Demand{Segment: fmt.Sprint("s", i%2), Zone: []string{"a", "a", "b"}[i], Rate: int64(rate)})
				}
				count++
				if against(t, m, nil) {
					fitting++
				}
			}
		}
	}
	if fitting < count/10 || fitting > count*9/10 {
		t.Errorf("%d of %d fit: the family tells too little", fitting, count)
	}
	t.Logf("%d models, %d fit", count, fitting)
}

// drawn makes a model of up to a dozen hosts by chance, small enough for the reference.
func drawn(r *rand.Rand, mostHosts int) *placement.Model {
	m := &placement.Model{Unit: 1, At: 1e6, MaxMoves: -1, Steps: 1 + r.Intn(3)}
	for i := range 1 + r.Intn(3) {
		h := placement.Zone{Name: fmt.Sprint("hall", i), MaxLoad: -1}
		if r.Intn(3) == 0 {
			h.MaxLoad = int64(r.Intn(9))
		}
		if r.Intn(4) == 0 {
			h.Headroom = int64(r.Intn(3))
		}
		m.Zones = append(m.Zones, h)
	}
	for i := range 1 + r.Intn(mostHosts) {
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

// CI goes through the first of these; the long run is in docs/results.md.
var seeded = flag.Int("seeded", 2500, "how many drawn models to hold to brute force")

func TestSolveEqualsBruteForceOnDrawnModels(t *testing.T) {
	r := rand.New(rand.NewSource(15))
	fitting := 0
	for range *seeded {
		m := drawn(r, 12)
		before, _, _ := Solve(drawn(r, 12), nil, always) // a plan in force, for other demand
		if against(t, m, before) {
			fitting++
		}
	}
	t.Logf("%d models, %d fit", *seeded, fitting)
}
