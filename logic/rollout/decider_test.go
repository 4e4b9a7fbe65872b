package rollout

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestDeciderPassesAllStagesOfAGoodVersion tests that a version as good as the old one passes all stages in
// order, with no more gatherers unavailable than allowed.
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
	if f.lastDecision.Phase != Completed || f.countNew() != 12 || f.maxStepsInProgress > 2 || reached[0] != 1 || reached[1] != 6 {
		t.Errorf("%+v, %d new, %d steps at once, new gatherers by stage %v", f.lastDecision, f.countNew(), f.maxStepsInProgress, reached)
	}
}

// byVariant returns a rate that depends on the variant alone.
func byVariant(oldRate, newRate float64) func(Variant) float64 {
	return func(v Variant) float64 {
		if v == New {
			return newRate
		}
		return oldRate
	}
}

// lossByVariant returns a loss rate that depends on the variant alone.
func lossByVariant(oldRate, newRate float64) func(int, Variant, int) float64 {
	rate := byVariant(oldRate, newRate)
	return func(_ int, v Variant, _ int) float64 { return rate(v) }
}

// TestDeciderGivesReasonForEachWaitStopAndRollback tests the phase and the reason that operators read in each
// case that holds, stops or rolls back a rollout.
func TestDeciderGivesReasonForEachWaitStopAndRollback(t *testing.T) {
	for name, c := range map[string]struct {
		changePlan func(p *Plan)
		setUp      func(f *fleet)
		intervals  int
		wantPhase  Phase
		wantReason string // part of it
		wantNew    int
	}{
		"new version loses value": {
			setUp:     func(f *fleet) { f.lossRate = lossByVariant(0.02, 0.4) },
			intervals: 400, wantPhase: RolledBack,
			wantReason: "the new version loses more of the value of its lookups than the old one",
		},
		"new version loses value in one class": {
			setUp: func(f *fleet) {
				f.lossRate = func(_ int, v Variant, class int) float64 {
					return byVariant(0.02, 0.02+0.6*float64(class))(v)
				}
			},
			intervals: 900, wantPhase: RolledBack,
			wantReason: "index rare",
		},
		"new version sends more attempts": {
			setUp:     func(f *fleet) { f.attempts = byVariant(1, 2.2) },
			intervals: 600, wantPhase: RolledBack,
			wantReason: "makes more part calls for the same lookups",
		},
		"new version has a slow tail": {
			setUp:     func(f *fleet) { f.tailRate = byVariant(0.05, 0.4) },
			intervals: 600, wantPhase: RolledBack,
			wantReason: "has more lookups in the slow tail",
		},
		"harmlessness of the tail is not shown yet": {
			changePlan: func(p *Plan) {
				p.MinClassShare = 0.1
				p.Stages = p.Stages[1:]
			},
			setUp: func(f *fleet) {
				f.queries = 13
				f.tailRate = byVariant(0.05, 0.2)
			},
			intervals: 56, wantPhase: Evaluating,
			wantReason: "(the slow tail)", wantNew: 6,
		},
		"old and new lose value for a while": {
			setUp: func(f *fleet) {
				f.lossRate = func(int, Variant, int) float64 {
					if f.countNew() > 0 && f.now < 100_000 {
						return 0.6
					}
					return 0.02
				}
			},
			intervals: 90, wantPhase: Evaluating,
			wantReason: "no comparison and no next stage meanwhile", wantNew: 1,
		},
		"gatherers of a zone are unreachable": {
			setUp: func(f *fleet) {
				f.restartMillis = 1e9
				f.exitsNow = func(g int) bool { return g < 6 && g%2 == 0 && f.variant[g] == Old && f.countNew() > 0 }
			},
			intervals: 90, wantPhase: Evaluating,
			wantReason: "gatherers of the zone a are unreachable, since", wantNew: 1,
		},
		"old and new lose value without an end": {
			changePlan: func(p *Plan) { p.MaxDisturbance = 60_000 },
			setUp: func(f *fleet) {
				f.lossRate = func(int, Variant, int) float64 {
					if f.countNew() > 0 {
						return 0.6
					}
					return 0.02
				}
			},
			intervals: 300, wantPhase: RolledBack,
			wantReason: "the new version may be the cause",
		},
		"too little evidence": {
			changePlan: func(p *Plan) { p.MinQueries = 1e5 },
			intervals:  160, wantPhase: Evaluating,
			wantReason: "lookups at new gatherers so far, 100000 are required", wantNew: 1,
		},
		"too little evidence within the limit": {
			changePlan: func(p *Plan) {
				p.MinQueries = 1e5
				p.StageLimit = 200_000
				p.OnStageLimit = Stop
			},
			intervals: 600, wantPhase: Stopped,
			wantReason: "exceeded its limit of 200 s", wantNew: 1,
		},
		"new version does not start": {
			setUp: func(f *fleet) {
				for g := range 12 {
					f.failsToStart[g] = true
				}
			},
			intervals: 300, wantPhase: RolledBack,
			wantReason: "the new version does not come up",
		},
		"unknown variant before the first change": {
			setUp:     func(f *fleet) { f.variant[3] = Other },
			intervals: 3, wantPhase: Stopped,
			wantReason: "g3 (other)",
		},
		"too many unavailable": {
			setUp: func(f *fleet) {
				f.unreachable[0] = true
				f.unreachable[2] = true
			},
			intervals: 60, wantPhase: Updating,
			wantReason: "no more may be out",
		},
	} {
		f := newFleet(12, c.changePlan)
		if c.setUp != nil {
			c.setUp(f)
		}
		d := f.runUntil(c.intervals, RolledBack, Stopped, Completed)
		if d.Phase != c.wantPhase || !strings.Contains(d.Reason, c.wantReason) || f.countNew() != c.wantNew {
			t.Errorf("%s: phase %q, reason %q, %d new at %.0f s, want phase %q, reason with %q, %d new", name,
				d.Phase, d.Reason, f.countNew(), f.now/1000, c.wantPhase, c.wantReason, c.wantNew)
		}
		if f.maxStepsInProgress > 2 {
			t.Errorf("%s: %d steps at once, want at most 2", name, f.maxStepsInProgress)
		}
	}
}

// TestStageThatCoversAZoneIsComparedWithOtherZones tests a stage that leaves no old gatherers in a zone. The
// zone is compared with the old gatherers of the other zone by how much both have changed since the baseline,
// even though the two zones have always differed.
func TestStageThatCoversAZoneIsComparedWithOtherZones(t *testing.T) {
	for _, c := range []struct {
		harm      float64
		wantPhase Phase
	}{{0, Completed}, {0.5, RolledBack}} {
		f := newFleet(12, func(p *Plan) {
			p.Stages = []Stage{
				{Name: "zone", Zone: "a", MinObservation: 10_000},
				{Name: "all", Share: 1, MinObservation: 10_000},
			}
		})
		f.lossRate = func(g int, kind Variant, _ int) float64 {
			lossRate := []float64{0.15, 0.02}[g%2] // zone a has always lost more
			if kind == New {
				lossRate += c.harm
			}
			return lossRate
		}
		if d := f.runUntil(1500, Completed, RolledBack, Stopped); d.Phase != c.wantPhase || c.harm > 0 && f.countNew() > 0 {
			t.Errorf("harm %g: %+v at %.0f s, want phase %q", c.harm, d, f.now/1000, c.wantPhase)
		}
	}
}

// TestHarmWhileWarmingUpIsFoundBeforeMostGatherersChange tests that a version which harms only while it warms
// up is found by the second or third gatherer that starts as new: once the first one seems harmful, further
// gatherers are changed one at a time. A harmless version is not slowed down.
func TestHarmWhileWarmingUpIsFoundBeforeMostGatherersChange(t *testing.T) {
	for _, c := range []struct {
		harm      float64
		wantPhase Phase
		maxNew    int
	}{{0.9, RolledBack, 4}, {0, Completed, 12}} {
		f := newFleet(12, func(p *Plan) { p.MaxUnavailable, p.MaxUnavailablePerZone = 8, 4 })
		f.lossRate = func(g int, kind Variant, _ int) float64 {
			if kind == New && f.uptime[g] < 15_000 {
				return 0.02 + c.harm
			}
			return 0.02
		}
		greatestNew := 0
		for range 1500 {
			d := f.runInterval()
			greatestNew = max(greatestNew, f.countNew())
			if d.Phase == Completed || d.Phase == RolledBack {
				break
			}
		}
		if f.lastDecision.Phase != c.wantPhase || greatestNew > c.maxNew || c.harm == 0 && f.maxStepsInProgress < 4 {
			t.Errorf("harm %g: %+v, at most %d were new, %d steps at once", c.harm, f.lastDecision, greatestNew, f.maxStepsInProgress)
		}
	}
}

// TestRepeatedExitsOfNewProcessesRollBackTheFirstStage tests new gatherers whose processes exit on their own,
// at intervals so long that the minimum observation time of a stage passes before the harm is proved, while
// no class has enough queries to be evaluated. The rollout is rolled back at the first stage. A single exit,
// or exits that are as frequent among old gatherers, do not hold back a good version.
func TestRepeatedExitsOfNewProcessesRollBackTheFirstStage(t *testing.T) {
	for name, c := range map[string]struct {
		exits         func(f *fleet) func(g int) bool
		restartMillis float64
		wantPhase     Phase
		wantStage     int
	}{
		"exits soon after each start": {
			exits: func(f *fleet) func(g int) bool {
				return func(g int) bool { return f.variant[g] == New && f.uptime[g] >= 3_000 }
			},
			restartMillis: 11_000, wantPhase: RolledBack, wantStage: 0,
		},
		"exits rarely, restarts fast": {
			exits: func(f *fleet) func(g int) bool {
				return func(g int) bool { return f.variant[g] == New && f.uptime[g] >= 25_000 }
			},
			restartMillis: 1_000, wantPhase: RolledBack, wantStage: 0,
		},
		"exits once": {
			exits: func(f *fleet) func(g int) bool {
				exited := false
				return func(g int) bool {
					exits := !exited && f.variant[g] == New && f.uptime[g] >= 3_000
					exited = exited || exits
					return exits
				}
			},
			restartMillis: 2_000, wantPhase: Completed, wantStage: 2,
		},
		"old ones exit as often": {
			exits: func(f *fleet) func(g int) bool {
				return func(int) bool { return f.random.Float64() < 0.01 }
			},
			restartMillis: 2_000, wantPhase: Completed, wantStage: 2,
		},
	} {
		f := newFleet(12, func(p *Plan) {
			p.MinClassShare = 1
			p.Stages[0].MinObservation = 30_000
		})
		f.exitsNow = c.exits(f)
		f.restartMillis = c.restartMillis
		d := f.runUntil(1500, Completed, RolledBack, Stopped)
		if d.Phase != c.wantPhase || d.Stage != c.wantStage {
			t.Errorf("%s: %+v at %.0f s, want phase %q of stage %d", name, d, f.now/1000, c.wantPhase, c.wantStage)
		}
		if c.wantPhase == RolledBack && !strings.Contains(d.Reason, "processes end by themselves more often") {
			t.Errorf("%s: reason %q", name, d.Reason)
		}
	}
}

// TestDeciderResumesAtAnEarlierPosition tests that a decider which starts at the position of an earlier one
// observes the old gatherers again, continues at that stage and undoes nothing.
func TestDeciderResumesAtAnEarlierPosition(t *testing.T) {
	f := newFleet(12, nil)
	for range 1000 {
		if d := f.runInterval(); d.Stage == 1 && f.countNew() >= 4 {
			break
		}
	}
	position, newBefore := f.decider.Position(), f.countNew()
	f.decider = NewDecider(f.plan, position)
	if d := f.runInterval(); d.Phase != Baselining || d.Stage != 1 || len(d.Steps) > 0 {
		t.Errorf("the resumed decider decided %+v, want no steps in phase %q of stage 1", d, Baselining)
	}
	if d := f.runUntil(1500, Completed, RolledBack, Stopped); d.Phase != Completed || f.countNew() < newBefore {
		t.Errorf("%+v, %d new, want phase %q and at least %d new", d, f.countNew(), Completed, newBefore)
	}
}

// TestStepsNeverExceedTheUnavailabilityBounds tests with gatherers that become unreachable and return at
// random that no step starts which exceeds the limit of unavailable gatherers, overall or in a zone, and that
// a rollback ends once all gatherers answer.
func TestStepsNeverExceedTheUnavailabilityBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 14).Draw(t, "gatherers")
		f := newFleet(n, func(p *Plan) { p.StageLimit = 1e9; p.MaxDisturbance = 1e9; p.BaselineTime = 3000 })
		rollbackInterval := rapid.IntRange(5, 120).Draw(t, "rollback interval")
		for i := range 160 {
			if rapid.IntRange(0, 5).Draw(t, "reachability changes") == 0 {
				g := rapid.IntRange(0, n-1).Draw(t, "gatherer")
				f.unreachable[g] = !f.unreachable[g]
			}
			if i == rollbackInterval {
				f.decider.Command(RollBack, "by an operator")
			}
			unavailable := map[int]bool{}
			for g := range f.variant {
				if _, inProgress := f.stepEnds[g]; inProgress && f.now+1000 < f.stepEnds[g] || f.unreachable[g] {
					unavailable[g] = true
				}
			}
			d := f.runInterval()
			total, byZone := len(unavailable), map[string]int{}
			for g := range unavailable {
				byZone[f.plan.Gatherers[g].Zone]++
			}
			for _, s := range d.Steps {
				if unavailable[s.Gatherer] {
					continue // it is unavailable already
				}
				total++
				byZone[f.plan.Gatherers[s.Gatherer].Zone]++
				maxTotal, maxInZone := f.plan.MaxUnavailable, f.plan.MaxUnavailablePerZone
				if total > maxTotal || byZone[f.plan.Gatherers[s.Gatherer].Zone] > maxInZone {
					t.Fatalf("%d unavailable, by zone %v, allowed %d and %d", total, byZone, maxTotal, maxInZone)
				}
			}
		}
		clear(f.unreachable)
		if d := f.runUntil(400, RolledBack); d.Phase != RolledBack || f.countNew() > 0 {
			t.Fatalf("%+v, %d new, want phase %q and none new", d, f.countNew(), RolledBack)
		}
	})
}

// BenchmarkDecide measures one decision over 300 gatherers in two zones.
func BenchmarkDecide(b *testing.B) {
	f := newFleet(300, func(p *Plan) { p.MaxUnavailable, p.MaxUnavailablePerZone = 15, 8 })
	f.runUntil(60)
	b.ResetTimer()
	for b.Loop() {
		f.runInterval()
	}
}
