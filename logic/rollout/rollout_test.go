package rollout

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"yokeroute/internal/pcg"
)

// fleet plays what gatherers would tell, by hand: rates of loss by side, steps that succeed after a time.
type fleet struct {
	p      Plan
	d      *Decider
	now    float64
	chance *pcg.Source
	kind   []Variant
	age    []float64
	dead   map[int]bool    // does not answer
	until  map[int]float64 // its step ends
	to     map[int]Variant
	fails  map[int]bool // its steps to the new fail
	loss   func(g int, kind Variant, index int) float64
	calls  func(kind Variant) float64
	tail   func(kind Variant) float64
	most   int
	rate   float64 // lookups of the first index, in an interval
	last   Decision
}

func newFleet(n int, change func(p *Plan)) *fleet {
	p := Plan{Name: "t", Classes: []string{"find", "rare"}, MaxUnavailable: 2, MaxUnavailablePerZone: 1, Harm: 0.1, MinQueries: 20,
		Stages: []Stage{{Name: "one", Count: 1, MinObservation: 10_000}, {Name: "half", Share: 0.5, MinObservation: 10_000}, {Name: "all", Share: 1, MinObservation: 10_000}}}
	for i := range n {
		p.Gatherers = append(p.Gatherers, Gatherer{fmt.Sprint("g", i), []string{"a", "b"}[i%2]})
	}
	if change != nil {
		change(&p)
	}
	p = p.Defaults()
	f := &fleet{p: p, d: NewDecider(p, Position{}), chance: pcg.New(5), kind: make([]Variant, n), age: make([]float64, n), dead: map[int]bool{}, until: map[int]float64{}, rate: 40, to: map[int]Variant{}, fails: map[int]bool{},
		loss: func(int, Variant, int) float64 { return 0.02 }, calls: func(Variant) float64 { return 1 },
		tail: func(Variant) float64 { return 0.05 }}
	for i := range f.kind {
		f.kind[i], f.age[i] = Old, 1e6
	}
	return f
}

// look plays one interval of a second.
func (f *fleet) look() Decision {
	f.now += 1000
	o := Observation{Now: f.now, Gatherers: make([]GathererSample, len(f.kind))}
	out := 0
	for g := range f.kind {
		f.age[g] += 1000
		if end, under := f.until[g]; under && f.now >= end {
			delete(f.until, g)
			if !(f.fails[g] && f.to[g] == New) {
				f.kind[g] = f.to[g]
			}
			f.age[g] = 0
		}
		_, under := f.until[g]
		s := &o.Gatherers[g]
		if under {
			s.Step = Running
			out++
		}
		if under || f.dead[g] {
			continue
		}
		*s = GathererSample{Reachable: true, Variant: f.kind[g], Ready: true, Incarnation: fmt.Sprint(g, f.now-f.age[g]), Uptime: f.age[g], Connections: 10, Memory: 1e7, Step: s.Step}
		for i, n := range []float64{f.rate, math.Floor(f.rate / 13)} {
			of := func(n, share float64) (count float64) {
				for range int(n) {
					if f.chance.Float64() < share {
						count++
					}
				}
				return count
			}
			lost := of(n, f.loss(g, f.kind[g], i))
			s.Classes = append(s.Classes, ClassCounts{Queries: n, EarnedValue: n - lost, Rejected: lost, ShardRequests: 4 * n, Attempts: 4 * n * f.calls(f.kind[g]), ExtraAttempts: 0.02 * 4 * n,
				Served: n - lost, OverLimit: [2]float64{of(n-lost, 0.5), of(n-lost, f.tail(f.kind[g]))}})
		}
	}
	f.most = max(f.most, out)
	f.last = f.d.Decide(o)
	for _, s := range f.last.Steps {
		f.until[s.Gatherer], f.to[s.Gatherer] = f.now+3000, s.To
	}
	return f.last
}

// until plays until a phase, or so many seconds.
func (f *fleet) play(seconds int, phases ...Phase) Decision {
	for range seconds {
		if d := f.look(); slices.Contains(phases, d.Phase) {
			return d
		}
	}
	return f.last
}

func (f *fleet) news() (n int) {
	for _, k := range f.kind {
		if k == New {
			n++
		}
	}
	return n
}

// TestStages: a version as good as the old passes all stages, in their order, with no more out than may be.
func TestStages(t *testing.T) {
	f := newFleet(12, nil)
	reached := map[int]int{}
	for range 1200 {
		d := f.look()
		reached[d.Stage] = f.news()
		if d.Phase == Completed {
			break
		}
	}
	if f.last.Phase != Completed || f.news() != 12 || f.most > 2 || reached[0] != 1 || reached[1] != 6 {
		t.Errorf("%+v, %d new, %d out, %v", f.last, f.news(), f.most, reached)
	}
}

// TestWords tells what operators read in each case that holds, stops or turns a rollout.
func TestWords(t *testing.T) {
	bad := func(f *fleet) {
		f.loss = func(_ int, k Variant, i int) float64 { return map[Variant]float64{Old: 0.02, New: 0.4}[k] }
	}
	for name, c := range map[string]struct {
		n       int
		change  func(p *Plan)
		before  func(f *fleet)
		seconds int
		phase   Phase
		words   string
		news    int
	}{
		"loses": {12, nil, bad, 400, RolledBack, "the new loses more of the value of its lookups than the old", 0},
		"one index alone": {12, nil, func(f *fleet) {
			f.loss = func(_ int, k Variant, i int) float64 {
				return map[Variant]float64{Old: 0.02, New: 0.02 + 0.6*float64(i)}[k]
			}
		}, 900, RolledBack, "index rare", 0},
		"more calls": {12, nil, func(f *fleet) { f.calls = func(k Variant) float64 { return map[Variant]float64{Old: 1, New: 2.2}[k] } }, 600, RolledBack, "makes more part calls for the same lookups", 0},
		"a slow tail": {12, nil, func(f *fleet) {
			f.tail = func(k Variant) float64 { return map[Variant]float64{Old: 0.05, New: 0.4}[k] }
		}, 600, RolledBack, "has more lookups in the slow tail", 0},
		"a tail unproved": {12, func(p *Plan) { p.MinClassShare, p.Stages = 0.1, p.Stages[1:] }, func(f *fleet) {
			f.rate, f.tail = 13, func(k Variant) float64 { return map[Variant]float64{Old: 0.05, New: 0.2}[k] }
		}, 56, Evaluating, "(the slow tail)", 6},
		"both suffer": {12, nil, func(f *fleet) {
			f.loss = func(int, Variant, int) float64 {
				if f.news() > 0 && f.now < 100_000 {
					return 0.6
				}
				return 0.02
			}
		}, 90, Evaluating, "nobody is blamed or passed meanwhile", 1},
		"never ends": {12, func(p *Plan) { p.MaxDisturbance = 60_000 }, func(f *fleet) {
			f.loss = func(int, Variant, int) float64 {
				if f.news() > 0 {
					return 0.6
				}
				return 0.02
			}
		}, 300, RolledBack, "the new may be what harms them", 0},
		"too little to tell": {12, func(p *Plan) { p.MinQueries = 1e5 }, func(f *fleet) {}, 160, Evaluating, "lookups at the new so far, 100000 are wanted", 1},
		"for its limit":      {12, func(p *Plan) { p.MinQueries, p.StageLimit, p.OnStageLimit = 1e5, 200_000, Stop }, func(f *fleet) {}, 600, Stopped, "lasts longer than its limit of 200 s", 1},
		"does not come up": {12, nil, func(f *fleet) {
			for g := range 12 {
				f.fails[g] = true
			}
		}, 300, RolledBack, "the new does not come up", 0},
		"old can't be found": {12, nil, func(f *fleet) { f.kind[3] = Other }, 3, Stopped, "g3 (other)", 0},
		"too many out":       {12, nil, func(f *fleet) { f.dead[0], f.dead[2] = true, true }, 60, Updating, "no more may be out", 0},
	} {
		f := newFleet(c.n, c.change)
		c.before(f)
		d := f.play(c.seconds, RolledBack, Stopped, Completed)
		if d.Phase != c.phase || !strings.Contains(d.Reason, c.words) || f.news() != c.news {
			t.Errorf("%s: %s, %q, %d new at %.0f s", name, d.Phase, d.Reason, f.news(), f.now/1000)
		}
		if f.most > 2 {
			t.Errorf("%s: %d out", name, f.most)
		}
	}
}

// TestZoneStage: a stage that is a whole zone has no old beside it there: it is compared with the old of the other zone
// by how both have changed, zones that differ for good notwithstanding.
func TestZoneStage(t *testing.T) {
	for _, c := range []struct {
		harm  float64
		phase Phase
	}{{0, Completed}, {0.5, RolledBack}} {
		f := newFleet(12, func(p *Plan) {
			p.Stages = []Stage{{Name: "zone", Zone: "a", MinObservation: 10_000}, {Name: "all", Share: 1, MinObservation: 10_000}}
		})
		f.loss = func(g int, kind Variant, _ int) float64 {
			lost := []float64{0.15, 0.02}[g%2] // zone a has always lost more
			if kind == New {
				lost += c.harm
			}
			return lost
		}
		if d := f.play(1500, Completed, RolledBack, Stopped); d.Phase != c.phase || c.harm > 0 && f.news() > 0 {
			t.Errorf("harm %g: %+v at %.0f s", c.harm, d, f.now/1000)
		}
	}
}

// TestCold: a version that only harms while it is cold is found by the second or third gatherer that starts as it: once
// the first looks so, the next are changed one at a time, though more might be out. One that bears it is not slowed.
func TestCold(t *testing.T) {
	for _, c := range []struct {
		harm  float64
		phase Phase
		most  int
	}{{0.9, RolledBack, 4}, {0, Completed, 12}} {
		f := newFleet(12, func(p *Plan) { p.MaxUnavailable, p.MaxUnavailablePerZone = 8, 4 })
		f.loss = func(g int, kind Variant, _ int) float64 {
			if kind == New && f.age[g] < 15_000 {
				return 0.02 + c.harm
			}
			return 0.02
		}
		most := 0
		for range 1500 {
			d := f.look()
			most = max(most, f.news())
			if d.Phase == Completed || d.Phase == RolledBack {
				break
			}
		}
		if f.last.Phase != c.phase || most > c.most || c.harm == 0 && f.most < 4 {
			t.Errorf("harm %g: %+v, %d were new, %d out at once", c.harm, f.last, most, f.most)
		}
	}
}

// TestResumed: a decider that begins where another was goes on at its stage, learns the old anew and undoes nothing.
func TestResumed(t *testing.T) {
	f := newFleet(12, nil)
	for range 1000 {
		if d := f.look(); d.Stage == 1 && f.news() >= 4 {
			break
		}
	}
	at, news := f.d.Position(), f.news()
	f.d = NewDecider(f.p, at)
	if d := f.look(); d.Phase != Baselining || d.Stage != 1 || len(d.Steps) > 0 {
		t.Errorf("%+v", d)
	}
	if d := f.play(1500, Completed, RolledBack, Stopped); d.Phase != Completed || f.news() < news {
		t.Errorf("%+v", d)
	}
}

// TestOut: whatever dies, comes back and fails, no step is begun that has more out than may be, over all and in a zone,
// and going back always comes to its end once all answer.
func TestOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 14).Draw(t, "gatherers")
		f := newFleet(n, func(p *Plan) { p.StageLimit = 1e9; p.MaxDisturbance = 1e9; p.BaselineTime = 3000 })
		turn := rapid.IntRange(5, 120).Draw(t, "back")
		for i := range 160 {
			if rapid.IntRange(0, 5).Draw(t, "event") == 0 {
				g := rapid.IntRange(0, n-1).Draw(t, "which")
				f.dead[g] = !f.dead[g]
			}
			if i == turn {
				f.d.Command(RollBack, "a word")
			}
			before := map[int]bool{}
			for g := range f.kind {
				if _, under := f.until[g]; under && f.now+1000 < f.until[g] || f.dead[g] {
					before[g] = true
				}
			}
			d := f.look()
			out, zone := len(before), map[string]int{}
			for g := range before {
				zone[f.p.Gatherers[g].Zone]++
			}
			for _, s := range d.Steps {
				if before[s.Gatherer] {
					continue // it is out already
				}
				out++
				zone[f.p.Gatherers[s.Gatherer].Zone]++
				if out > f.p.MaxUnavailable || zone[f.p.Gatherers[s.Gatherer].Zone] > f.p.MaxUnavailablePerZone {
					t.Fatalf("%d out, by zone %v, allowed %d and %d", out, zone, f.p.MaxUnavailable, f.p.MaxUnavailablePerZone)
				}
			}
		}
		clear(f.dead)
		if d := f.play(400, RolledBack); d.Phase != RolledBack || f.news() > 0 {
			t.Fatalf("%+v, %d new", d, f.news())
		}
	})
}

// TestWealth: the test is valid however often it is looked at: of 4,000 runs of 300 steps on the border of the
// hypothesis, no more than the chance asked for ever reach its bar; a step on the far side is found.
func TestWealth(t *testing.T) {
	chance := pcg.New(3)
	gauss := func() float64 {
		return math.Sqrt(-2*math.Log(1-chance.Float64())) * math.Cos(2*math.Pi*chance.Float64())
	}
	for _, c := range []struct {
		shift float64
		least float64
		most  float64
	}{{0, 0, 0.01}, {-0.5, 0, 0.001}, {0.5, 0.99, 1}, {2, 1, 1}} {
		reached := 0.0
		const runs = 4000
		for range runs {
			var w eProcess
			for range 300 {
				w.update(gauss() + c.shift)
				if w.logValue() >= math.Log(100) {
					reached++
					break
				}
			}
		}
		if share := reached / runs; share < c.least || share > c.most {
			t.Errorf("shift %g: %.4f reached the bar of a chance of 0.01", c.shift, share)
		}
	}
	var o likelihoodRatio
	most := o.logValue
	for range 200 { // ends that fall on new and old by their share
		o.update(0.1, chance.Float64() < 0.1)
		most = max(most, o.logValue)
	}
	if most > math.Log(100) {
		t.Errorf("alike: %g", most)
	}
	var worse likelihoodRatio
	for range 6 {
		worse.update(0.1, true)
	}
	if worse.logValue < math.Log(100) {
		t.Errorf("six of six on a tenth: %g", worse.logValue)
	}
}

// TestBadPlans: what cannot be meant is said, all of it.
func TestBadPlans(t *testing.T) {
	for want, change := range map[string]func(p *Plan){
		"has no stages":                          func(p *Plan) { p.Stages = nil },
		"stages have to grow":                    func(p *Plan) { p.Stages[1].Share = 0.05 },
		"no gatherer is in the zone c":           func(p *Plan) { p.Stages[1] = Stage{Name: "z", Zone: "c"} },
		"wants one of count, share and zone":     func(p *Plan) { p.Stages[1].Count = 3 },
		"changes 40 gatherers, there are 12":     func(p *Plan) { p.Stages[0].Count = 40 },
		"is named twice":                         func(p *Plan) { p.Gatherers[1].Name = "g0" },
		"somebody has to serve":                  func(p *Plan) { p.MaxUnavailable = 12 },
		"may last 60000 ms, and half is watched": func(p *Plan) { p.StageLimit, p.Stages[1].MinObservation = 60_000, 90_000 },
		"less than the":                          func(p *Plan) { p.WarmUpHarm = 0.01 },
		"two at least":                           func(p *Plan) { p.Gatherers = p.Gatherers[:1] },
	} {
		f := newFleet(12, nil)
		p := f.p
		p.Stages, p.Gatherers = slices.Clone(p.Stages), slices.Clone(p.Gatherers)
		change(&p)
		p = p.Defaults()
		var all []string
		for _, w := range p.Check() {
			all = append(all, w.Error())
		}
		if !strings.Contains(strings.Join(all, "; "), want) {
			t.Errorf("%q: %v", want, all)
		}
	}
	if p := newFleet(12, nil).p; len(p.Check()) > 0 {
		t.Errorf("a good plan: %v", p.Check())
	}
}

// TestReplay: what a journal tells is gone on from at any of its ends: steps that were begun and of whose end nothing is
// known are made again, in their order, and no others; another plan's journal is refused.
func TestReplay(t *testing.T) {
	all := []Record{{Kind: ControllerStarted, PlanSum: "p", FencingToken: 1}, {Kind: PositionChanged, Position: &Position{Phase: Updating}}, {Kind: StepStarted, Gatherer: "a", Target: New}, {Kind: StepStarted, Gatherer: "b", Target: New}, {Kind: StepEnded, Gatherer: "a", Target: New},
		{Kind: CommandTaken, Command: "back 7"}, {Kind: PositionChanged, Position: &Position{Phase: RollingBack, Stage: 1, Reason: "x"}}, {Kind: StepStarted, Gatherer: "a", Target: Old}, {Kind: StepEnded, Gatherer: "b", Message: "no"}, {Kind: StepEnded, Gatherer: "a"}}
	redo := []string{"", "", "", "a", "a b", "b", "b", "b", "b a", "a", ""}
	for n := range len(all) + 1 {
		r, err := Replay("p", all[:n])
		var names []string
		for _, rec := range r.UnfinishedSteps {
			names = append(names, rec.Gatherer)
		}
		if err != nil || strings.Join(names, " ") != redo[n] {
			t.Errorf("after %d records: %v, made again: %v", n, err, names)
		}
		if want := map[bool]Phase{true: RollingBack, false: Updating}[n >= 7]; n >= 2 && r.Position.Phase != want || n >= 6 && r.Command != "back 7" {
			t.Errorf("after %d records: %+v", n, r)
		}
	}
	if _, err := Replay("q", all); err != ErrPlanChanged {
		t.Errorf("another plan: %v", err)
	}
	for _, rec := range all {
		if rec.Describe() == "" {
			t.Errorf("no words for %+v", rec)
		}
	}
}

// TestGrant: one run holds a gatherer at a time, and of its controllers the newest.
func TestGrant(t *testing.T) {
	held := &Claim{"a", 3, 1000}
	for _, c := range []struct {
		held    *Claim
		asked   Claim
		now     float64
		granted bool
	}{{nil, Claim{"b", 1, 500}, 0, true}, {held, Claim{"b", 9, 1500}, 999, false}, {held, Claim{"b", 9, 1500}, 1000, true}, {held, Claim{"a", 2, 1500}, 500, false}, {held, Claim{"a", 3, 1500}, 500, true}, {held, Claim{"a", 4, 1500}, 500, true}} {
		if holder, granted := Grant(c.held, c.asked, c.now); granted != c.granted || granted && holder != c.asked || !granted && holder != *c.held {
			t.Errorf("%+v: %v, %+v", c, granted, holder)
		}
	}
	if Release(held, "b", 9) || Release(held, "a", 2) || !Release(held, "a", 3) || Release(nil, "a", 3) {
		t.Error("given back by whom it does not belong to")
	}
}

// BenchmarkDecide is one look at 300 gatherers in three zones.
func BenchmarkDecide(b *testing.B) {
	f := newFleet(300, func(p *Plan) { p.MaxUnavailable, p.MaxUnavailablePerZone = 15, 8 })
	f.play(60)
	b.ResetTimer()
	for b.Loop() {
		f.look()
	}
}
