package balance

import (
	"errors"
	"flag"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"yokeroute/gather"
	"yokeroute/logic"
	"yokeroute/logic/placement"
)

func init() { flag.Set("rapid.seed", "20261201") } // the same verdict always

// two is a model of two halls of two hosts, each segment on all four.
func two() *placement.Model {
	m := &placement.Model{Unit: 1, At: 1e6, MaxMoves: -1, Steps: 4, Zones: []placement.Zone{{Name: "north", MaxLoad: -1}, {Name: "south", MaxLoad: -1}}}
	for _, name := range []string{"n1", "n2", "s1", "s2"} {
		m.Hosts = append(m.Hosts, placement.Host{Name: name, Zone: map[byte]string{'n': "north", 's': "south"}[name[0]], Capacity: 100})
	}
	m.Segments = []placement.Segment{{Name: "a", ReplicaSet: 0, Hosts: []string{"n1", "n2", "s1", "s2"}}}
	m.Demands = []placement.Demand{{Segment: "a", Zone: "north", Rate: 100}, {Segment: "a", Zone: "south", Rate: 60}}
	return m
}

func solve(t *testing.T, m *placement.Model) *placement.Plan {
	t.Helper()
	plan, clash, err := Solve(m, nil, always)
	if err != nil || plan == nil {
		t.Fatal(clash, err)
	}
	if wrong := plan.Violations(); len(wrong) > 0 {
		t.Fatal(wrong)
	}
	return plan
}

// TestOneUnitTooManyIsInfeasible: what fits exactly is planned full, and one unit more is a clash of one
// unit.
func TestOneUnitTooManyIsInfeasible(t *testing.T) {
	m := two()
	m.Demands[0].Rate = 340
	if plan := solve(t, m); plan.Steps[0].MaxUtilisation.Load != plan.Steps[0].MaxUtilisation.Capacity {
		t.Errorf("greatest utilisation %v", plan.Steps[0].MaxUtilisation)
	}
	m.Demands[0].Rate = 341
	_, clash, err := Solve(m, nil, always)
	if err != nil || clash == nil || clash.Shortfall != 1 || len(clash.Limits) != 4 || len(clash.Relaxations) != 4 || !clash.Relaxations[0].Sufficient {
		t.Fatalf("%+v, %v", clash, err)
	}
	if reason := clash.Verify(m); reason != "" {
		t.Error(reason)
	}
	// The check itself tells a proof that is not one.
	for name, spoil := range map[string]func(c *placement.Infeasibility){
		"a host left out": func(c *placement.Infeasibility) { c.Limits = c.Limits[1:] },
		"a wrong rate":    func(c *placement.Infeasibility) { c.Needs[0].Rate++ },
		"a wrong limit":   func(c *placement.Infeasibility) { c.Limits[0].Capacity-- },
		"a need twice":    func(c *placement.Infeasibility) { c.Needs = append(c.Needs, c.Needs[0]) },
		"a wrong sum":     func(c *placement.Infeasibility) { c.Shortfall++ },
	} {
		c := *clash
		c.Needs, c.Limits = slices.Clone(c.Needs), slices.Clone(c.Limits)
		if spoil(&c); c.Verify(m) == "" {
			t.Errorf("%s passes", name)
		}
	}
}

// TestHostsWarmingUpGetNoMoreThanIsSafe: at no instant does a plan give a cold host more than is safe of it
// by the slowest clock, and while it warms the weights rise.
func TestHostsWarmingUpGetNoMoreThanIsSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := two()
		m.ClockSkew = float64(rapid.IntRange(0, 800).Draw(t, "clocks"))
		m.Steps = rapid.IntRange(1, 12).Draw(t, "steps")
		for i := range m.Hosts {
			if rapid.Bool().Draw(t, "cold") {
				h := &m.Hosts[i]
				h.StartedAt, h.WarmupTime = m.At+float64(rapid.IntRange(-9000, 3000).Draw(t, "age")), float64(rapid.IntRange(1, 15000).Draw(t, "warming"))
				h.InitialCapacityShare = rapid.Float64Range(0, 1).Draw(t, "share")
			}
		}
		m.Demands[0].Rate, m.Demands[1].Rate = rapid.Int64Range(0, 30).Draw(t, "north"), rapid.Int64Range(0, 30).Draw(t, "south")
		plan, _, err := Solve(m, nil, always)
		if err != nil {
			t.Fatal(err)
		}
		if plan == nil {
			return
		}
		for range 50 {
			now := m.At + rapid.Float64Range(0, 20000).Draw(t, "now")
			rows, _, _ := plan.EffectiveRows(now, func(string) bool { return true })
			loads := map[string]int64{}
			for _, r := range rows {
				for _, w := range r.Weights {
					loads[w.Host] += w.Rate
				}
			}
			for _, h := range m.Hosts {
				safe := float64(h.Capacity)
				if h.StartedAt != 0 {
					// A gatherer whose clock runs ahead believes in now while the host is younger.
					age := now - m.ClockSkew - h.StartedAt
					safe *= h.InitialCapacityShare + (1-h.InitialCapacityShare)*min(max(age, 0)/h.WarmupTime, 1)
					if age < 0 {
						safe = 0
					}
				}
				if float64(loads[h.Name]) > safe+1e-6 {
					t.Fatalf("at %g %s gets %d, %g is safe", now, h.Name, loads[h.Name], safe)
				}
			}
		}
	})
}

// TestHalfZoneCaseIsAsGoodAsSolvingAgain: the weights made ready for the loss of half a hall fill no host
// more than solving again would, and the plan's own, laid on what is left, would.
func TestHalfZoneCaseIsAsGoodAsSolvingAgain(t *testing.T) {
	m := two()
	m.Hosts[0].Cost, m.Hosts[1].Cost = 5, 3
	plan := solve(t, m)
	lost := func(host string) bool { return host != "n2" }
	rows, name, missing := plan.EffectiveRows(m.At, lost)
	if missing != 1 || name != "half of hall north, second" && name != "host n2" {
		t.Fatalf("case %q, %d missing", name, missing)
	}
	use := func(m *placement.Model, rows []placement.Row) float64 {
		p := NewProblem(m.Normalized())
		p.SetTime(m.At, nil)
		return p.MaxUtilisation(p.Loads(p.Units(rows))).Float()
	}
	ready := use(m, rows)
	less := *m
	less.Hosts = slices.Clone(m.Hosts)
	less.Hosts[1].State = gather.Removed
	again := solve(t, &less)
	if best := again.Steps[0].MaxUtilisation.Float(); ready > best+1e-9 || best > 0.55 {
		t.Errorf("greatest utilisation %g made ready, %g solved again", ready, best)
	}
	// Of a loss that no case names, the best that there is.
	rows, _, _ = plan.EffectiveRows(m.At, func(host string) bool { return host == "s1" || host == "s2" })
	if u := use(m, rows); u > 0.8+1e-9 {
		t.Errorf("greatest utilisation %g with the north gone", u)
	}
}

// TestSegmentOfOneZoneIsUnservedWithoutIt: a segment that stands in one hall only goes dark with it, and
// the case says so.
func TestSegmentOfOneZoneIsUnservedWithoutIt(t *testing.T) {
	m := two()
	m.Segments = append(m.Segments, placement.Segment{Name: "b", ReplicaSet: 1, Hosts: []string{"n1", "n2"}})
	m.Demands = append(m.Demands, placement.Demand{Segment: "b", Zone: "south", Rate: 7})
	plan := solve(t, m)
	i := slices.IndexFunc(plan.Cases, func(c placement.Case) bool { return c.Name == "hall north" })
	if c := plan.Cases[i]; !slices.Equal(c.UnservedSegments, []string{"b"}) || c.Infeasibility != nil {
		t.Errorf("%+v", c)
	}
	for _, c := range plan.Cases {
		if c.Name != "hall north" && len(c.UnservedSegments) > 0 {
			t.Errorf("%s: %v", c.Name, c.UnservedSegments)
		}
	}
	if r, err := Explain(plan, m.At, "hall north"); err != nil || len(r.UnservedSegments) != 1 || r.Hosts[0].Reason != "lost in this case" {
		t.Errorf("%+v, %v", r, err)
	}
}

// TestPlanWithoutItsHostsGivesNoWeights: a plan none of whose hosts are there gives no weights, so that
// plain turns go; one that is too old, too.
func TestPlanWithoutItsHostsGivesNoWeights(t *testing.T) {
	plan := solve(t, two())
	f := placement.ActivePlan{Plan: plan, MaxAge: 1000}
	s := f.At(plan.Model.At+10, func(string) bool { return false })
	weights := placement.WeightsForZone(s.Rows, "north", func(string) (uint32, bool) { return 0, false })
	if s.MissingHosts != 4 || len(weights) != 1 || len(weights[0]) != 0 {
		t.Errorf("%+v, weights %v", s, weights)
	}
	if s := f.At(plan.Model.At+1000, func(string) bool { return true }); !s.Stale || s.Rows != nil {
		t.Errorf("%+v", s)
	}
	if s := f.At(plan.Model.At+999, func(string) bool { return true }); s.Stale || s.ValidUntil != plan.Model.At+1000 {
		t.Errorf("%+v", s)
	}
}

// TestSolveOutOfTimeNamesOmittedCases: a solve that runs out of its time says so, or names the losses that
// it is not ready for.
func TestSolveOutOfTimeNamesOmittedCases(t *testing.T) {
	for work := range 8 {
		left := work
		plan, clash, err := Solve(two(), nil, func() bool { left--; return left >= 0 })
		switch {
		case work == 0 && !errors.Is(err, ErrTimeout):
			t.Errorf("%v, %v, %v", plan, clash, err)
		case work > 0 && (err != nil || len(plan.Cases) != work-1 || len(plan.Cases)+len(plan.OmittedCases) != 10):
			t.Errorf("%d pieces of work: %d cases, left %v, %v", work, len(plan.Cases), plan.OmittedCases, err)
		}
	}
}

// TestOrderOfEntriesDoesNotMatter: entries in another order, with costs that tie, give the same plan to the
// letter.
func TestOrderOfEntriesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := two()
		m.Hosts[2].StartedAt, m.Hosts[2].WarmupTime = m.At-10, 5000
		m.Segments = append(m.Segments, placement.Segment{Name: "b", ReplicaSet: 1, Hosts: []string{"s1", "n1", "n2"}})
		m.Demands = append(m.Demands, placement.Demand{Segment: "b", Zone: "south", Rate: 31})
		want, _, _ := Solve(m, nil, always)
		m.Hosts = rapid.Permutation(m.Hosts).Draw(t, "hosts")
		m.Zones = rapid.Permutation(m.Zones).Draw(t, "halls")
		m.Segments = rapid.Permutation(m.Segments).Draw(t, "segments")
		m.Segments[0].Hosts = rapid.Permutation(m.Segments[0].Hosts).Draw(t, "on")
		m.Demands = rapid.Permutation(m.Demands).Draw(t, "demands")
		got, _, _ := Solve(m, nil, always)
		if len(got.Steps) != len(want.Steps) || len(got.Cases) != len(want.Cases) {
			t.Fatal("another number of steps or cases")
		}
		for i := range want.Steps {
			if !sameRows(got.Steps[i].Rows, want.Steps[i].Rows) || got.Steps[i].From != want.Steps[i].From {
				t.Fatalf("step %d: %v, %v", i, got.Steps[i], want.Steps[i])
			}
		}
		for i := range want.Cases {
			if got.Cases[i].Name != want.Cases[i].Name || !sameRows(got.Cases[i].Steps[0].Rows, want.Cases[i].Steps[0].Rows) {
				t.Fatalf("case %s", want.Cases[i].Name)
			}
		}
	})
}

// out is a part call on its way in TestGatherersTogetherKeepAHostWarmingUpSafe.
type out struct {
	g    int
	at   float64
	part uint64
	shd  uint32
}

// several are gatherers that share nothing but a plan.
type several struct {
	now  float64
	at   int
	outs []out
	sent []out
}

func (s *several) Send(part uint64, server uint32, _ float64) {
	s.outs = append(s.outs, out{s.at, s.now + 20, part, server})
	s.sent = append(s.sent, out{s.at, s.now, part, server})
}
func (*several) Cancel(uint64, int)     {}
func (*several) Answer(uint64, bool)    {}
func (*several) Reject(uint64, float64) {}
func (*several) Fail(uint64)            {}
func (*several) Wake(float64)           {}
func (*several) Subscribe()             {}
func (*several) CheckHealth(uint32)     {}

// TestGatherersTogetherKeepAHostWarmingUpSafe lets uneven gatherers follow one plan beside a host that
// warms up, and wants the host never sent more than rule 4 allows in any window, by all of them together;
// and more than nothing.
func TestGatherersTogetherKeepAHostWarmingUpSafe(t *testing.T) {
	m := two()
	cold := &m.Hosts[2]
	cold.StartedAt, cold.WarmupTime, cold.InitialCapacityShare = m.At, 10000, 0.2
	plan := solve(t, m)
	settings := &gather.Settings{
		ReplicaSets: 1, ReplicaSetsPerShard: 1, MaxAttempts: 3, Tick: 5.0, Gatherers: 7,
		WarmupTime: cold.WarmupTime, InitialCapacityShare: cold.InitialCapacityShare, OverloadWindow: 2000.0,
		OverloadMultiple: 3.0,
		Classes: []gather.Class{
			{Name: "i", LatencyObjective: 400.0, CompleteShare: 1.0, MinShare: 1.0, Effect: gather.Idempotent},
		},
	}
	w := &several{}
	var gs []*logic.Gatherer
	ids := map[string]uint32{}
	list := gather.EndpointList{Full: true}
	for i, h := range m.Hosts {
		ids[h.Name] = uint32(i)
		list.Endpoints = append(list.Endpoints, gather.Endpoint{ID: uint32(i), StartedAt: h.StartedAt})
	}
	for i := range 7 {
		own := settings.Clone()
		own.GathererIndex = i
		gs = append(gs, logic.New(uint64(i), own))
	}
	number := func(host string) (uint32, bool) { id, known := ids[host]; return id, known }
	id, turn := uint64(10), 0
	for w.now = m.At; w.now < m.At+12000; w.now += 5 {
		for i, g := range gs {
			in := gather.Round{Now: w.now}
			if w.now == m.At {
				in.EndpointLists = []gather.EndpointList{list}
			}
			if math.Mod(w.now-m.At, 250) == 0 {
				rows, _, _ := plan.EffectiveRows(w.now, func(string) bool { return true })
				in.Weights = placement.WeightsForZone(rows, "both", number)
			}
			// 160 parts a second, half of them at one gatherer.
			if turn++; i == 0 && turn%21 < 17 && math.Mod(w.now, 10) == 0 || i > 0 && (turn+i)%60 == 0 {
				in.Queries = []gather.Query{{ID: id, Number: id, Class: "i", Deadline: w.now + 2000}}
				in.Requests = []gather.ShardRequest{{ID: id + 1, Number: id, Weight: 1}}
				id += 2
			}
			rest := w.outs[:0]
			for _, o := range w.outs {
				if o.g == i && o.at <= w.now {
					in.Results = append(in.Results, gather.AttemptResult{Request: o.part, Server: o.shd, Outcome: gather.Succeeded, Finished: true})
				} else {
					rest = append(rest, o)
				}
			}
			w.outs, w.at = rest, i
			g.Round(&in, w)
		}
	}
	total, to := len(w.sent), 0
	for i, first := range w.sent {
		if first.shd != 2 {
			continue
		}
		to++
		sum := 0.0
		for _, s := range w.sent[i:] {
			if s.at > first.at+2000 {
				break
			}
			if s.shd == 2 {
				sum++
			}
		}
		// The rule takes the capacity of each moment of the window; that of its beginning is the least.
		safe := 100 * (cold.InitialCapacityShare + (1-cold.InitialCapacityShare)*min((first.at-m.At)/cold.WarmupTime, 1))
		if most := 3 * safe * 2; sum > most {
			t.Fatalf("at %g: %g parts in 2 s, %g allowed", first.at-m.At, sum, most)
		}
	}
	if total < 1200 || to < total/20 {
		t.Errorf("%d of %d parts went to the host that warmed up", to, total)
	}
}
