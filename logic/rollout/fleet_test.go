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

// fleet fakes gatherers: loss rates by variant, and steps that succeed after a time. Slices and maps are by gatherer.
type fleet struct {
	plan          Plan
	decider       *Decider
	now           float64
	random        *pcg.Source
	variant       []Variant
	uptime        []float64
	unreachable   map[int]bool
	exits         func(g int) bool // whether its process ends by itself now
	restartMillis float64          // until such a process is up again
	restartEnds   map[int]float64
	stepEnds      map[int]float64
	stepTo        map[int]Variant
	failsToStart  map[int]bool // as new
	lossRate      func(g int, v Variant, class int) float64
	attempts      func(v Variant) float64 // for a shard request
	tailRate      func(v Variant) float64
	queries       float64 // of the first class, in an interval
	maxInProgress int     // steps at once, so far
	last          Decision
}

// newFleet makes a fleet of n gatherers in two zones; change may change its plan.
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
		exits: func(int) bool { return false }, restartEnds: map[int]float64{},
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

// runInterval runs one interval, and starts the steps that are decided on.
func (f *fleet) runInterval() Decision {
	f.now += intervalMillis
	o := Observation{Now: f.now, Gatherers: make([]GathererSample, len(f.variant))}
	inProgress := 0
	for g := range f.variant {
		f.endStep(g)
		if _, is := f.stepEnds[g]; is {
			o.Gatherers[g].Step = Running
			inProgress++
		} else if !f.unreachable[g] && !f.restarts(g) {
			o.Gatherers[g] = f.sample(g)
		}
	}
	f.maxInProgress = max(f.maxInProgress, inProgress)
	f.last = f.decider.Decide(o)
	for _, s := range f.last.Steps {
		f.stepEnds[s.Gatherer] = f.now + stepMillis
		f.stepTo[s.Gatherer] = s.To
	}
	return f.last
}

// endStep ends a gatherer's step whose time has come.
func (f *fleet) endStep(g int) {
	f.uptime[g] += intervalMillis
	if end, is := f.stepEnds[g]; !is || f.now < end {
		return
	}
	delete(f.stepEnds, g)
	if !f.failsToStart[g] || f.stepTo[g] != New {
		f.variant[g] = f.stepTo[g]
	}
	f.uptime[g] = 0
}

// restarts reports whether a gatherer's process has ended by itself and is not up again.
func (f *fleet) restarts(g int) bool {
	if end, is := f.restartEnds[g]; is {
		if f.now < end {
			return true
		}
		delete(f.restartEnds, g)
		f.uptime[g] = 0
		return false
	}
	if !f.exits(g) {
		return false
	}
	f.restartEnds[g] = f.now + f.restartMillis
	return true
}

// sample draws a gatherer's counts of an interval.
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

// draw draws how many of n come out by a rate.
func (f *fleet) draw(n, rate float64) (count float64) {
	for range int(n) {
		if f.random.Float64() < rate {
			count++
		}
	}
	return count
}

// runUntil runs until one of the phases, or for so many intervals.
func (f *fleet) runUntil(intervals int, phases ...Phase) Decision {
	for range intervals {
		if d := f.runInterval(); slices.Contains(phases, d.Phase) {
			return d
		}
	}
	return f.last
}

func (f *fleet) countNew() (n int) {
	for _, v := range f.variant {
		if v == New {
			n++
		}
	}
	return n
}
