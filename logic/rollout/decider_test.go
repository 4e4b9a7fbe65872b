package rollout

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestDeciderPassesAllStagesOfAGoodVersion: a version as good as the old passes all stages, in their order, with no
// more gatherers unavailable than allowed.
func TestDeciderPassesAllStagesOfAGoodVersion(t *testing.T) {
	f := newFleet(12, nil)
	reached := map[int]int{}
	for range 1200 {
		d := f.runInterval()
		reached[d.Stage] = f.countNew()
		if d.Phase == Completed {
			break
		}
	}
	if f.last.Phase != Completed || f.countNew() != 12 || f.maxInProgress > 2 || reached[0] != 1 || reached[1] != 6 {
		t.Errorf("%+v, %d new, %d out, %v", f.last, f.countNew(), f.maxInProgress, reached)
	}
}

// byVariant returns a rate that depends on the variant alone.
func byVariant(olds, news float64) func(Variant) float64 {
	return func(v Variant) float64 {
		if v == New {
			return news
		}
		return olds
	}
}

// lossByVariant is byVariant for losses.
func lossByVariant(olds, news float64) func(int, Variant, int) float64 {
	rate := byVariant(olds, news)
	return func(_ int, v Variant, _ int) float64 { return rate(v) }
}

// TestDeciderTellsOperatorsWhy: the reason that operators read in each case that holds, stops or rolls back a rollout.
func TestDeciderTellsOperatorsWhy(t *testing.T) {
	for name, c := range map[string]struct {
		change    func(p *Plan)
		before    func(f *fleet)
		intervals int
		phase     Phase
		reason    string // part of it
		news      int
	}{
		"loses": {
			before:    func(f *fleet) { f.lossRate = lossByVariant(0.02, 0.4) },
			intervals: 400, phase: RolledBack,
			reason: "the new loses more of the value of its lookups than the old",
		},
		"one class alone": {
			before: func(f *fleet) {
				f.lossRate = func(_ int, v Variant, class int) float64 {
					return byVariant(0.02, 0.02+0.6*float64(class))(v)
				}
			},
			intervals: 900, phase: RolledBack,
			reason: "index rare",
		},
		"more attempts": {
			before:    func(f *fleet) { f.attempts = byVariant(1, 2.2) },
			intervals: 600, phase: RolledBack,
			reason: "makes more part calls for the same lookups",
		},
		"a slow tail": {
			before:    func(f *fleet) { f.tailRate = byVariant(0.05, 0.4) },
			intervals: 600, phase: RolledBack,
			reason: "has more lookups in the slow tail",
		},
		"a tail unproved": {
			change: func(p *Plan) {
				p.MinClassShare = 0.1
				p.Stages = p.Stages[1:]
			},
			before: func(f *fleet) {
				f.queries = 13
				f.tailRate = byVariant(0.05, 0.2)
			},
			intervals: 56, phase: Evaluating,
			reason: "(the slow tail)", news: 6,
		},
		"both suffer": {
			before: func(f *fleet) {
				f.lossRate = func(int, Variant, int) float64 {
					if f.countNew() > 0 && f.now < 100_000 {
						return 0.6
					}
					return 0.02
				}
			},
			intervals: 90, phase: Evaluating,
			reason: "nobody is blamed or passed meanwhile", news: 1,
		},
		"gatherers of a zone are away": {
			before: func(f *fleet) {
				f.restartMillis = 1e9
				f.exits = func(g int) bool { return g < 6 && g%2 == 0 && f.variant[g] == Old && f.countNew() > 0 }
			},
			intervals: 90, phase: Evaluating,
			reason: "gatherers of the zone a are not reached, since", news: 1,
		},
		"both suffer without an end": {
			change: func(p *Plan) { p.MaxDisturbance = 60_000 },
			before: func(f *fleet) {
				f.lossRate = func(int, Variant, int) float64 {
					if f.countNew() > 0 {
						return 0.6
					}
					return 0.02
				}
			},
			intervals: 300, phase: RolledBack,
			reason: "the new may be what harms them",
		},
		"too little evidence": {
			change:    func(p *Plan) { p.MinQueries = 1e5 },
			intervals: 160, phase: Evaluating,
			reason: "lookups at the new so far, 100000 are wanted", news: 1,
		},
		"too little evidence within the limit": {
			change: func(p *Plan) {
				p.MinQueries = 1e5
				p.StageLimit = 200_000
				p.OnStageLimit = Stop
			},
			intervals: 600, phase: Stopped,
			reason: "lasts longer than its limit of 200 s", news: 1,
		},
		"does not come up": {
			before: func(f *fleet) {
				for g := range 12 {
					f.failsToStart[g] = true
				}
			},
			intervals: 300, phase: RolledBack,
			reason: "the new does not come up",
		},
		"another variant before the first change": {
			before:    func(f *fleet) { f.variant[3] = Other },
			intervals: 3, phase: Stopped,
			reason: "g3 (other)",
		},
		"too many unavailable": {
			before: func(f *fleet) {
				f.unreachable[0] = true
				f.unreachable[2] = true
			},
			intervals: 60, phase: Updating,
			reason: "no more may be out",
		},
	} {
		f := newFleet(12, c.change)
		if c.before != nil {
			c.before(f)
		}
		d := f.runUntil(c.intervals, RolledBack, Stopped, Completed)
		if d.Phase != c.phase || !strings.Contains(d.Reason, c.reason) || f.countNew() != c.news {
			t.Errorf("%s: %s, %q, %d new at %.0f s", name, d.Phase, d.Reason, f.countNew(), f.now/1000)
		}
		if f.maxInProgress > 2 {
			t.Errorf("%s: %d steps at once", name, f.maxInProgress)
		}
	}
}

// TestStageOfAWholeZoneIsComparedWithOtherZones: a stage that is a whole zone leaves no old gatherers there. It is
// compared with the old of the other zone by how both have changed, though the zones have always differed.
func TestStageOfAWholeZoneIsComparedWithOtherZones(t *testing.T) {
	for _, c := range []struct {
		harm  float64
		phase Phase
	}{{0, Completed}, {0.5, RolledBack}} {
		f := newFleet(12, func(p *Plan) {
			p.Stages = []Stage{
				{Name: "zone", Zone: "a", MinObservation: 10_000},
				{Name: "all", Share: 1, MinObservation: 10_000},
			}
		})
		f.lossRate = func(g int, kind Variant, _ int) float64 {
			lost := []float64{0.15, 0.02}[g%2] // zone a has always lost more
			if kind == New {
				lost += c.harm
			}
			return lost
		}
		if d := f.runUntil(1500, Completed, RolledBack, Stopped); d.Phase != c.phase || c.harm > 0 && f.countNew() > 0 {
			t.Errorf("harm %g: %+v at %.0f s", c.harm, d, f.now/1000)
		}
	}
}

// TestHarmWhileWarmingUpIsFoundOneGathererAtATime: a version that harms only while it warms up is found by the second
// or third gatherer that starts as it: once the first looks harmful, the next are changed one at a time. A harmless
// version is not slowed.
func TestHarmWhileWarmingUpIsFoundOneGathererAtATime(t *testing.T) {
	for _, c := range []struct {
		harm  float64
		phase Phase
		most  int
	}{{0.9, RolledBack, 4}, {0, Completed, 12}} {
		f := newFleet(12, func(p *Plan) { p.MaxUnavailable, p.MaxUnavailablePerZone = 8, 4 })
		f.lossRate = func(g int, kind Variant, _ int) float64 {
			if kind == New && f.uptime[g] < 15_000 {
				return 0.02 + c.harm
			}
			return 0.02
		}
		most := 0
		for range 1500 {
			d := f.runInterval()
			most = max(most, f.countNew())
			if d.Phase == Completed || d.Phase == RolledBack {
				break
			}
		}
		if f.last.Phase != c.phase || most > c.most || c.harm == 0 && f.maxInProgress < 4 {
			t.Errorf("harm %g: %+v, %d were new, %d out at once", c.harm, f.last, most, f.maxInProgress)
		}
	}
}

// TestStageIsNotPassedWhileNewProcessesEndAgainAndAgain: processes of the new end by themselves, so far apart that a
// stage's least observation is over before it is proved. No class has enough queries to be judged. The new are rolled
// back at the first stage. One such end alone, and ends that are as frequent among the old, hold no good version.
func TestStageIsNotPassedWhileNewProcessesEndAgainAndAgain(t *testing.T) {
	for name, c := range map[string]struct {
		exits   func(f *fleet) func(g int) bool
		restart float64
		phase   Phase
		stage   int
	}{
		"again and again": {
			exits: func(f *fleet) func(g int) bool {
				return func(g int) bool { return f.variant[g] == New && f.uptime[g] >= 3_000 }
			},
			restart: 11_000, phase: RolledBack, stage: 0,
		},
		"rarely, up again at once": {
			exits: func(f *fleet) func(g int) bool {
				return func(g int) bool { return f.variant[g] == New && f.uptime[g] >= 25_000 }
			},
			restart: 1_000, phase: RolledBack, stage: 0,
		},
		"once": {
			exits: func(f *fleet) func(g int) bool {
				ended := false
				return func(g int) bool {
					end := !ended && f.variant[g] == New && f.uptime[g] >= 3_000
					ended = ended || end
					return end
				}
			},
			restart: 2_000, phase: Completed, stage: 2,
		},
		"among the old as well": {
			exits: func(f *fleet) func(g int) bool {
				return func(int) bool { return f.random.Float64() < 0.01 }
			},
			restart: 2_000, phase: Completed, stage: 2,
		},
	} {
		f := newFleet(12, func(p *Plan) {
			p.MinClassShare = 1
			p.Stages[0].MinObservation = 30_000
		})
		f.exits = c.exits(f)
		f.restartMillis = c.restart
		d := f.runUntil(1500, Completed, RolledBack, Stopped)
		if d.Phase != c.phase || d.Stage != c.stage {
			t.Errorf("%s: %+v at %.0f s", name, d, f.now/1000)
		}
		if c.phase == RolledBack && !strings.Contains(d.Reason, "processes end by themselves more often") {
			t.Errorf("%s: %s", name, d.Reason)
		}
	}
}

// TestDeciderResumesAtAnEarlierPosition: a decider that starts at an earlier one's position observes the old again,
// goes on at that stage and undoes nothing.
func TestDeciderResumesAtAnEarlierPosition(t *testing.T) {
	f := newFleet(12, nil)
	for range 1000 {
		if d := f.runInterval(); d.Stage == 1 && f.countNew() >= 4 {
			break
		}
	}
	at, news := f.decider.Position(), f.countNew()
	f.decider = NewDecider(f.plan, at)
	if d := f.runInterval(); d.Phase != Baselining || d.Stage != 1 || len(d.Steps) > 0 {
		t.Errorf("%+v", d)
	}
	if d := f.runUntil(1500, Completed, RolledBack, Stopped); d.Phase != Completed || f.countNew() < news {
		t.Errorf("%+v", d)
	}
}

// TestStepsNeverExceedTheUnavailabilityBounds: whatever dies, comes back or fails, no step starts that exceeds a
// bound, over all or in a zone, and a rollback ends once all gatherers answer.
func TestStepsNeverExceedTheUnavailabilityBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 14).Draw(t, "gatherers")
		f := newFleet(n, func(p *Plan) { p.StageLimit = 1e9; p.MaxDisturbance = 1e9; p.BaselineTime = 3000 })
		turn := rapid.IntRange(5, 120).Draw(t, "back")
		for i := range 160 {
			if rapid.IntRange(0, 5).Draw(t, "event") == 0 {
				g := rapid.IntRange(0, n-1).Draw(t, "which")
				f.unreachable[g] = !f.unreachable[g]
			}
			if i == turn {
				f.decider.Command(RollBack, "a word")
			}
			before := map[int]bool{}
			for g := range f.variant {
				if _, under := f.stepEnds[g]; under && f.now+1000 < f.stepEnds[g] || f.unreachable[g] {
					before[g] = true
				}
			}
			d := f.runInterval()
			out, zone := len(before), map[string]int{}
			for g := range before {
				zone[f.plan.Gatherers[g].Zone]++
			}
			for _, s := range d.Steps {
				if before[s.Gatherer] {
					continue // it is out already
				}
				out++
				zone[f.plan.Gatherers[s.Gatherer].Zone]++
				most, mostInZone := f.plan.MaxUnavailable, f.plan.MaxUnavailablePerZone
				if out > most || zone[f.plan.Gatherers[s.Gatherer].Zone] > mostInZone {
					t.Fatalf("%d out, by zone %v, allowed %d and %d", out, zone, most, mostInZone)
				}
			}
		}
		clear(f.unreachable)
		if d := f.runUntil(400, RolledBack); d.Phase != RolledBack || f.countNew() > 0 {
			t.Fatalf("%+v, %d new", d, f.countNew())
		}
	})
}

// BenchmarkDecide is one decision over 300 gatherers in three zones.
func BenchmarkDecide(b *testing.B) {
	f := newFleet(300, func(p *Plan) { p.MaxUnavailable, p.MaxUnavailablePerZone = 15, 8 })
	f.runUntil(60)
	b.ResetTimer()
	for b.Loop() {
		f.runInterval()
	}
}
