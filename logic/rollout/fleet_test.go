package rollout

import (
	"fmt"
	"math"
	"slices"

	"yokeroute/internal/pcg"
)

const (
	intervalMillis = 1000
	stepMillis     = 3000
)

// fleet simulates gatherers with loss rates by variant, and steps that end after stepMillis. Slices and maps
// are indexed by gatherer.
type fleet struct {
	plan               Plan
	decider            *Decider
	now                float64
	random             *pcg.Source
	variant            []Variant
	uptime             []float64
	unreachable        map[int]bool
	exitsNow           func(g int) bool                          // reports whether a gatherer's process exits on its own now
	restartMillis      float64                                   // time until a process that exited on its own runs again
	restartEnds        map[int]float64                           // when a process that exited on its own runs again
	stepEnds           map[int]float64                           // when the step in progress ends
	stepTo             map[int]Variant                           // target variant of the latest step
	failsToStart       map[int]bool                              // gatherers that fail to start as new
	lossRate           func(g int, v Variant, class int) float64 // share of queries that are lost
	attempts           func(v Variant) float64                   // attempts per shard request
	tailRate           func(v Variant) float64                   // share of served queries in the latency tail
	queries            float64                                   // queries of the first class per interval
	maxStepsInProgress int                                       // greatest number of steps at once so far
	lastDecision       Decision
}

// newFleet returns a fleet of n gatherers in two zones. change, if not nil, modifies its plan.
func newFleet(n int, change func(p *Plan)) *fleet {
	p := Plan{
		Name: "t", Classes: []string{"find", "rare"}, Harm: 0.1, MinQueries: 20,
		MaxUnavailable: 2, MaxUnavailablePerZone: 1,
		Stages: []Stage{
			{Name: "one", Count: 1, MinObservation: 10_000},
			{Name: "half", Share: 0.5, MinObservation: 10_000},
			{Name: "all", Share: 1, MinObservation: 10_000},
		},
	}
	for i := range n {
		p.Gatherers = append(p.Gatherers, Gatherer{fmt.Sprint("g", i), []string{"a", "b"}[i%2]})
	}
	if change != nil {
		change(&p)
	}
	p = p.Defaults()
	f := &fleet{
		plan: p, decider: NewDecider(p, Position{}), random: pcg.New(5), queries: 40,
		variant: make([]Variant, n), uptime: make([]float64, n),
		unreachable: map[int]bool{}, failsToStart: map[int]bool{},
		exitsNow: func(int) bool { return false }, restartEnds: map[int]float64{},
		stepEnds: map[int]float64{}, stepTo: map[int]Variant{},
		lossRate: func(int, Variant, int) float64 { return 0.02 },
		attempts: func(Variant) float64 { return 1 },
		tailRate: func(Variant) float64 { return 0.05 },
	}
	for g := range f.variant {
		f.variant[g] = Old
		f.uptime[g] = 1e6
	}
	return f
}

// runInterval simulates one interval, and starts the steps of the decision.
func (f *fleet) runInterval() Decision {
	f.now += intervalMillis
	o := Observation{Now: f.now, Gatherers: make([]GathererSample, len(f.variant))}
	inProgress := 0
	for g := range f.variant {
		f.endStep(g)
		if _, running := f.stepEnds[g]; running {
			o.Gatherers[g].Step = Running
			inProgress++
		} else if !f.unreachable[g] && !f.restarting(g) {
			o.Gatherers[g] = f.sample(g)
		}
	}
	f.maxStepsInProgress = max(f.maxStepsInProgress, inProgress)
	f.lastDecision = f.decider.Decide(o)
	for _, s := range f.lastDecision.Steps {
		f.stepEnds[s.Gatherer] = f.now + stepMillis
		f.stepTo[s.Gatherer] = s.To
	}
	return f.lastDecision
}

// endStep advances a gatherer's uptime, and ends its step if the step's time is over.
func (f *fleet) endStep(g int) {
	f.uptime[g] += intervalMillis
	if end, running := f.stepEnds[g]; !running || f.now < end {
		return
	}
	delete(f.stepEnds, g)
	if !f.failsToStart[g] || f.stepTo[g] != New {
		f.variant[g] = f.stepTo[g]
	}
	f.uptime[g] = 0
}

// restarting reports whether a gatherer's process has exited on its own and is not running again yet.
func (f *fleet) restarting(g int) bool {
	if end, restarting := f.restartEnds[g]; restarting {
		if f.now < end {
			return true
		}
		delete(f.restartEnds, g)
		f.uptime[g] = 0
		return false
	}
	if !f.exitsNow(g) {
		return false
	}
	f.restartEnds[g] = f.now + f.restartMillis
	return true
}

// sample returns a gatherer's sample of an interval, with counts drawn at random.
func (f *fleet) sample(g int) GathererSample {
	v := f.variant[g]
	s := GathererSample{
		Reachable: true, Variant: v, Ready: true, Incarnation: fmt.Sprint(g, f.now-f.uptime[g]), Uptime: f.uptime[g],
		Connections: 10, Memory: 1e7,
	}
	for class, queries := range []float64{f.queries, math.Floor(f.queries / 13)} {
		lost := f.draw(queries, f.lossRate(g, v, class))
		served := queries - lost
		s.Classes = append(s.Classes, ClassCounts{
			Queries: queries, EarnedValue: served, Rejected: lost,
			ShardRequests: 4 * queries, Attempts: 4 * queries * f.attempts(v), ExtraAttempts: 0.02 * 4 * queries,
			Served: served, OverLimit: [2]float64{f.draw(served, 0.5), f.draw(served, f.tailRate(v))},
		})
	}
	return s
}

// draw returns how many of n events occur at a rate.
func (f *fleet) draw(n, rate float64) (count float64) {
	for range int(n) {
		if f.random.Float64() < rate {
			count++
		}
	}
	return count
}

// runUntil runs intervals until a decision is in one of the phases, at most the given number of them.
func (f *fleet) runUntil(intervals int, phases ...Phase) Decision {
	for range intervals {
		if d := f.runInterval(); slices.Contains(phases, d.Phase) {
			return d
		}
	}
	return f.lastDecision
}

func (f *fleet) countNew() (n int) {
	for _, v := range f.variant {
		if v == New {
			n++
		}
	}
	return n
}
