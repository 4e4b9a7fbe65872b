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

// The seed is fixed so that runs are reproducible.
func init() { flag.Set("rapid.seed", "20261201") }

// twoZoneModel returns a model of two zones with two hosts each, and one segment on all four hosts.
func twoZoneModel() *placement.Model {
	m := &placement.Model{Unit: 1, At: 1e6, MaxMoves: -1, Steps: 4, Zones: []placement.Zone{{Name: "north", MaxLoad: -1}, {Name: "south", MaxLoad: -1}}}
	for _, name := range []string{"n1", "n2", "s1", "s2"} {
		m.Hosts = append(m.Hosts, placement.Host{Name: name, Zone: map[byte]string{'n': "north", 's': "south"}[name[0]], Capacity: 100})
	}
	m.Segments = []placement.Segment{{Name: "a", ReplicaSet: 0, Hosts: []string{"n1", "n2", "s1", "s2"}}}
	m.Demands = []placement.Demand{{Segment: "a", Zone: "north", Rate: 100}, {Segment: "a", Zone: "south", Rate: 60}}
	return m
}

// mustSolve returns the plan for a model. It fails the test if there is none or if it violates the model.
func mustSolve(t *testing.T, m *placement.Model) *placement.Plan {
	t.Helper()
	plan, proof, err := Solve(m, nil, alwaysHasTime)
	if err != nil || plan == nil {
		t.Fatal(proof, err)
	}
	if violations := plan.Violations(); len(violations) > 0 {
		t.Fatal(violations)
	}
	return plan
}

// TestOneUnitOverCapacityIsInfeasible checks that demand equal to the capacity fills all hosts, that one more
// unit is infeasible with a shortfall of one, and that Verify rejects altered proofs.
func TestOneUnitOverCapacityIsInfeasible(t *testing.T) {
	m := twoZoneModel()
	m.Demands[0].Rate = 340
	if plan := mustSolve(t, m); plan.Steps[0].MaxUtilisation.Load != plan.Steps[0].MaxUtilisation.Capacity {
		t.Errorf("maximum utilisation %v, want 1", plan.Steps[0].MaxUtilisation)
	}
	m.Demands[0].Rate = 341
	_, proof, err := Solve(m, nil, alwaysHasTime)
	if err != nil || proof == nil || proof.Shortfall != 1 || len(proof.Limits) != 4 || len(proof.Relaxations) != 4 || !proof.Relaxations[0].Sufficient {
		t.Fatalf("proof of infeasibility %+v, error %v; want a shortfall of 1, 4 limits and 4 relaxations", proof, err)
	}
	if reason := proof.Verify(m); reason != "" {
		t.Error(reason)
	}
	// Verify has to reject a proof that does not hold.
	for name, alter := range map[string]func(c *placement.Infeasibility){
		"missing host":    func(c *placement.Infeasibility) { c.Limits = c.Limits[1:] },
		"wrong rate":      func(c *placement.Infeasibility) { c.Needs[0].Rate++ },
		"wrong limit":     func(c *placement.Infeasibility) { c.Limits[0].Capacity-- },
		"duplicate need":  func(c *placement.Infeasibility) { c.Needs = append(c.Needs, c.Needs[0]) },
		"wrong shortfall": func(c *placement.Infeasibility) { c.Shortfall++ },
	} {
		altered := *proof
		altered.Needs, altered.Limits = slices.Clone(altered.Needs), slices.Clone(altered.Limits)
		if alter(&altered); altered.Verify(m) == "" {
			t.Errorf("Verify accepts a proof with a %s", name)
		}
	}
}

// TestWarmingUpHostsStayWithinSafeCapacity checks that a plan never assigns a host that is warming up more
// than its safe capacity at that moment, computed by the slowest clock among the gatherers.
func TestWarmingUpHostsStayWithinSafeCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := twoZoneModel()
		m.ClockSkew = float64(rapid.IntRange(0, 800).Draw(t, "clock skew"))
		m.Steps = rapid.IntRange(1, 12).Draw(t, "steps")
		for i := range m.Hosts {
			if rapid.Bool().Draw(t, "warming up") {
				h := &m.Hosts[i]
				h.StartedAt, h.WarmupTime = m.At+float64(rapid.IntRange(-9000, 3000).Draw(t, "age")), float64(rapid.IntRange(1, 15000).Draw(t, "warmup time"))
				h.InitialCapacityShare = rapid.Float64Range(0, 1).Draw(t, "share")
			}
		}
		m.Demands[0].Rate, m.Demands[1].Rate = rapid.Int64Range(0, 30).Draw(t, "north"), rapid.Int64Range(0, 30).Draw(t, "south")
		plan, _, err := Solve(m, nil, alwaysHasTime)
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
					// When a gatherer whose clock runs ahead reads now, the host is younger by the clock
					// skew.
					age := now - m.ClockSkew - h.StartedAt
					safe *= h.InitialCapacityShare + (1-h.InitialCapacityShare)*min(max(age, 0)/h.WarmupTime, 1)
					if age < 0 {
						safe = 0
					}
				}
				if float64(loads[h.Name]) > safe+1e-6 {
					t.Fatalf("at %g host %s gets %d units, more than its safe capacity of %g", now, h.Name, loads[h.Name], safe)
				}
			}
		}
	})
}

// TestWeightsOfPreparedCaseAreAsGoodAsSolvingAgain checks that the weights of the case for the loss of half a
// zone give no higher maximum utilisation than solving again without the lost host, and that a loss without a
// case of its own gets weights with the expected maximum utilisation.
func TestWeightsOfPreparedCaseAreAsGoodAsSolvingAgain(t *testing.T) {
	m := twoZoneModel()
	m.Hosts[0].Cost, m.Hosts[1].Cost = 5, 3
	plan := mustSolve(t, m)
	isListed := func(host string) bool { return host != "n2" }
	rows, name, missing := plan.EffectiveRows(m.At, isListed)
	if missing != 1 || name != "half of hall north, second" && name != "host n2" {
		t.Fatalf("case %q with %d missing hosts, want 1 and a case that loses n2", name, missing)
	}
	utilisation := func(m *placement.Model, rows []placement.Row) float64 {
		p := NewProblem(m.Normalized())
		p.SetTime(m.At, nil)
		return p.MaxUtilisation(p.Loads(p.Units(rows))).Float()
	}
	prepared := utilisation(m, rows)
	withoutN2 := *m
	withoutN2.Hosts = slices.Clone(m.Hosts)
	withoutN2.Hosts[1].State = gather.Removed
	solvedAgain := mustSolve(t, &withoutN2)
	if best := solvedAgain.Steps[0].MaxUtilisation.Float(); prepared > best+1e-9 || best > 0.55 {
		t.Errorf("maximum utilisation %g with the prepared case, %g solved again; want no higher one with the case, at most 0.55 solved again", prepared, best)
	}
	// A loss that no case covers exactly uses the weights with the lowest maximum utilisation.
	rows, _, _ = plan.EffectiveRows(m.At, func(host string) bool { return host == "s1" || host == "s2" })
	if u := utilisation(m, rows); u > 0.8+1e-9 {
		t.Errorf("maximum utilisation %g without zone north, want at most 0.8", u)
	}
}

// TestSegmentInOneZoneIsUnservedWhenZoneIsLost checks that only the case for the loss of a zone lists a
// segment as unserved whose replicas are all in that zone.
func TestSegmentInOneZoneIsUnservedWhenZoneIsLost(t *testing.T) {
	m := twoZoneModel()
	m.Segments = append(m.Segments, placement.Segment{Name: "b", ReplicaSet: 1, Hosts: []string{"n1", "n2"}})
	m.Demands = append(m.Demands, placement.Demand{Segment: "b", Zone: "south", Rate: 7})
	plan := mustSolve(t, m)
	i := slices.IndexFunc(plan.Cases, func(c placement.Case) bool { return c.Name == "hall north" })
	if c := plan.Cases[i]; !slices.Equal(c.UnservedSegments, []string{"b"}) || c.Infeasibility != nil {
		t.Errorf("case %+v, want segment b unserved and no infeasibility", c)
	}
	for _, c := range plan.Cases {
		if c.Name != "hall north" && len(c.UnservedSegments) > 0 {
			t.Errorf("case %s has unserved segments %v, want none", c.Name, c.UnservedSegments)
		}
	}
	if r, err := Explain(plan, m.At, "hall north"); err != nil || len(r.UnservedSegments) != 1 || r.Hosts[0].Reason != "lost in this case" {
		t.Errorf("report %+v, error %v; want one unserved segment and the first host lost", r, err)
	}
}

// TestPlanGivesNoWeightsIfTooOldOrWithoutListedHosts checks that a plan gives no weights, so that plain round
// robin applies, if none of its hosts is on the endpoint list or if the plan is older than its maximum age.
func TestPlanGivesNoWeightsIfTooOldOrWithoutListedHosts(t *testing.T) {
	plan := mustSolve(t, twoZoneModel())
	active := placement.ActivePlan{Plan: plan, MaxAge: 1000}
	effective := active.At(plan.Model.At+10, func(string) bool { return false })
	weights := placement.WeightsForZone(effective.Rows, "north", func(string) (uint32, bool) { return 0, false })
	if effective.MissingHosts != 4 || len(weights) != 1 || len(weights[0]) != 0 {
		t.Errorf("%+v, weights %v; want 4 missing hosts and no weights", effective, weights)
	}
	if s := active.At(plan.Model.At+1000, func(string) bool { return true }); !s.Stale || s.Rows != nil {
		t.Errorf("at the maximum age: %+v, want a stale plan without rows", s)
	}
	if s := active.At(plan.Model.At+999, func(string) bool { return true }); s.Stale || s.ValidUntil != plan.Model.At+1000 {
		t.Errorf("before the maximum age: %+v, want a plan that is valid until that age", s)
	}
}

// TestSolveTimeoutListsOmittedCases checks that a solve that runs out of time returns ErrTimeout if it has no
// weights yet, and else lists the cases that it omitted.
func TestSolveTimeoutListsOmittedCases(t *testing.T) {
	for pieces := range 8 {
		remaining := pieces
		plan, proof, err := Solve(twoZoneModel(), nil, func() bool { remaining--; return remaining >= 0 })
		switch {
		case pieces == 0 && !errors.Is(err, ErrTimeout):
			t.Errorf("plan %v, proof %v, error %v; want ErrTimeout", plan, proof, err)
		case pieces > 0 && (err != nil || len(plan.Cases) != pieces-1 || len(plan.Cases)+len(plan.OmittedCases) != 10):
			t.Errorf("%d pieces of work: %d cases, omitted cases %v, error %v; want %d cases of 10", pieces, len(plan.Cases), plan.OmittedCases, err, pieces-1)
		}
	}
}

// TestOrderOfModelEntriesDoesNotChangePlan checks that a model with its entries in another order gives an
// identical plan, even where several solutions have the same cost.
func TestOrderOfModelEntriesDoesNotChangePlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := twoZoneModel()
		m.Hosts[2].StartedAt, m.Hosts[2].WarmupTime = m.At-10, 5000
		m.Segments = append(m.Segments, placement.Segment{Name: "b", ReplicaSet: 1, Hosts: []string{"s1", "n1", "n2"}})
		m.Demands = append(m.Demands, placement.Demand{Segment: "b", Zone: "south", Rate: 31})
		want, _, _ := Solve(m, nil, alwaysHasTime)
		m.Hosts = rapid.Permutation(m.Hosts).Draw(t, "hosts")
		m.Zones = rapid.Permutation(m.Zones).Draw(t, "zones")
		m.Segments = rapid.Permutation(m.Segments).Draw(t, "segments")
		m.Segments[0].Hosts = rapid.Permutation(m.Segments[0].Hosts).Draw(t, "replicas")
		m.Demands = rapid.Permutation(m.Demands).Draw(t, "demands")
		got, _, _ := Solve(m, nil, alwaysHasTime)
		if len(got.Steps) != len(want.Steps) || len(got.Cases) != len(want.Cases) {
			t.Fatal("the number of steps or cases depends on the order of the entries")
		}
		for i := range want.Steps {
			if !sameRows(got.Steps[i].Rows, want.Steps[i].Rows) || got.Steps[i].From != want.Steps[i].From {
				t.Fatalf("step %d: %v, want %v", i, got.Steps[i], want.Steps[i])
			}
		}
		for i := range want.Cases {
			if got.Cases[i].Name != want.Cases[i].Name || !sameRows(got.Cases[i].Steps[0].Rows, want.Cases[i].Steps[0].Rows) {
				t.Fatalf("case %s or its weights depend on the order of the entries", want.Cases[i].Name)
			}
		}
	})
}

// sentAttempt is an attempt that a gatherer has sent in TestIndependentGatherersDoNotOverloadWarmingUpHost.
// Time is when it was sent, or when it ends if it is in flight.
type sentAttempt struct {
	gatherer int
	time     float64
	request  uint64
	server   uint32
}

// attemptRecorder records the attempts that gatherers send. Gatherer is the index of the one whose round is
// running.
type attemptRecorder struct {
	now      float64
	gatherer int
	inFlight []sentAttempt
	sent     []sentAttempt
}

func (s *attemptRecorder) Send(request uint64, server uint32, _ float64) {
	s.inFlight = append(s.inFlight, sentAttempt{s.gatherer, s.now + 20, request, server})
	s.sent = append(s.sent, sentAttempt{s.gatherer, s.now, request, server})
}
func (*attemptRecorder) Cancel(uint64, int)     {}
func (*attemptRecorder) Answer(uint64, bool)    {}
func (*attemptRecorder) Reject(uint64, float64) {}
func (*attemptRecorder) Fail(uint64)            {}
func (*attemptRecorder) Wake(float64)           {}
func (*attemptRecorder) Subscribe()             {}
func (*attemptRecorder) CheckHealth(uint32)     {}

// TestIndependentGatherersDoNotOverloadWarmingUpHost runs gatherers with uneven load that share one plan but
// no state, while one host is warming up. All of them together must not send that host more attempts in any
// window than rule 4 allows, and must send it at least a twentieth of all attempts.
func TestIndependentGatherersDoNotOverloadWarmingUpHost(t *testing.T) {
	m := twoZoneModel()
	warmingUp := &m.Hosts[2]
	warmingUp.StartedAt, warmingUp.WarmupTime, warmingUp.InitialCapacityShare = m.At, 10000, 0.2
	plan := mustSolve(t, m)
	settings := &gather.Settings{
		ReplicaSets: 1, ReplicaSetsPerShard: 1, MaxAttempts: 3, Tick: 5.0, Gatherers: 7,
		WarmupTime: warmingUp.WarmupTime, InitialCapacityShare: warmingUp.InitialCapacityShare, OverloadWindow: 2000.0,
		OverloadMultiple: 3.0,
		Classes: []gather.Class{
			{Name: "i", LatencyObjective: 400.0, CompleteShare: 1.0, MinShare: 1.0, Effect: gather.Idempotent},
		},
	}
	recorder := &attemptRecorder{}
	var gatherers []*logic.Gatherer
	ids := map[string]uint32{}
	list := gather.EndpointList{Full: true}
	for i, h := range m.Hosts {
		ids[h.Name] = uint32(i)
		list.Endpoints = append(list.Endpoints, gather.Endpoint{ID: uint32(i), StartedAt: h.StartedAt})
	}
	for i := range 7 {
		gathererSettings := settings.Clone()
		gathererSettings.GathererIndex = i
		gatherers = append(gatherers, logic.New(uint64(i), gathererSettings))
	}
	serverOf := func(host string) (uint32, bool) { id, known := ids[host]; return id, known }
	id, arrivals := uint64(10), 0
	for recorder.now = m.At; recorder.now < m.At+12000; recorder.now += 5 {
		for i, g := range gatherers {
			in := gather.Round{Now: recorder.now}
			if recorder.now == m.At {
				in.EndpointLists = []gather.EndpointList{list}
			}
			if math.Mod(recorder.now-m.At, 250) == 0 {
				rows, _, _ := plan.EffectiveRows(recorder.now, func(string) bool { return true })
				in.Weights = placement.WeightsForZone(rows, "both", serverOf)
			}
			// 160 shard requests per second, half of them at one gatherer.
			if arrivals++; i == 0 && arrivals%21 < 17 && math.Mod(recorder.now, 10) == 0 || i > 0 && (arrivals+i)%60 == 0 {
				in.Queries = []gather.Query{{ID: id, Number: id, Class: "i", Deadline: recorder.now + 2000}}
				in.Requests = []gather.ShardRequest{{ID: id + 1, Number: id, Weight: 1}}
				id += 2
			}
			remaining := recorder.inFlight[:0]
			for _, attempt := range recorder.inFlight {
				if attempt.gatherer == i && attempt.time <= recorder.now {
					in.Results = append(in.Results, gather.AttemptResult{Request: attempt.request, Server: attempt.server, Outcome: gather.Succeeded, NoFurtherAttempts: true})
				} else {
					remaining = append(remaining, attempt)
				}
			}
			recorder.inFlight, recorder.gatherer = remaining, i
			g.Round(&in, recorder)
		}
	}
	total, toWarmingUp := len(recorder.sent), 0
	for i, first := range recorder.sent {
		if first.server != 2 {
			continue
		}
		toWarmingUp++
		sum := 0.0
		for _, s := range recorder.sent[i:] {
			if s.time > first.time+2000 {
				break
			}
			if s.server == 2 {
				sum++
			}
		}
		// Rule 4 uses the capacity at each moment of the window. It is lowest at the beginning of the window.
		safe := 100 * (warmingUp.InitialCapacityShare + (1-warmingUp.InitialCapacityShare)*min((first.time-m.At)/warmingUp.WarmupTime, 1))
		if allowed := 3 * safe * 2; sum > allowed {
			t.Fatalf("%g ms after the start of the host: %g attempts in 2 s, want at most %g", first.time-m.At, sum, allowed)
		}
	}
	if total < 1200 || toWarmingUp < total/20 {
		t.Errorf("%d of %d attempts were sent to the host that is warming up, want at least 1200 attempts, 1/20 of them to it", toWarmingUp, total)
	}
}
