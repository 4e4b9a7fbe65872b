// Package rollout decides how a fleet of gatherers goes from an old version or old settings to new ones in
// stages: which gatherer is changed next, whether the new do worse than the old, and when to proceed, wait,
// stop or roll back.
//
// It decides from a plan and from what was observed of each gatherer in each interval, by name and zone. It
// performs no I/O. It may never have more gatherers unavailable at once than the plan allows, those that
// failed by themselves included; never pass a stage for want of evidence; never take an unreachable gatherer
// for a good or a bad one; and never blame the new for what strikes the old alike. docs/design/rollout.md
// has the reasons and the options weighed.
package rollout

import (
	"math"
	"slices"

	"yokeroute/internal/pcg"
)

// Gatherer is one of the fleet.
type Gatherer struct{ Name, Zone string }

// Stage is a step of the rollout towards the whole fleet. One of Count, Share and Zone is set; each stage
// includes the gatherers of those before it.
type Stage struct {
	Name           string
	Count          int     // gatherers changed
	Share          float64 // of all gatherers
	Zone           string  // all gatherers of it
	MinObservation float64 // milliseconds, from when all of it serve as new
}

// Plan is what an operator wants. Times are milliseconds. Defaults replaces zero values.
type Plan struct {
	Name      string
	Gatherers []Gatherer
	Stages    []Stage
	Classes   []string // request classes
	Seed      uint64   // of the order in which gatherers are changed

	MaxUnavailable        int // gatherers, for whatever reason
	MaxUnavailablePerZone int

	BaselineTime   float64 // of observation before the first change
	WarmUp         float64 // after its start, for which a gatherer is evaluated apart
	StepTimeout    float64 // within which a changed gatherer has to serve as its new variant
	StageLimit     float64 // that a stage may last
	MaxDisturbance float64 // that the old may do worse before it is taken for the new version's doing
	OnStageLimit   Verdict // RollBack or Stop

	Harm          float64 // loss of value, a share of what queries could earn, that has to be found
	WarmUpHarm    float64 // the same, that is tolerated of a gatherer that warms up
	ExtraCost     float64 // attempts, connections or memory beyond the old ones', a share
	FalseStopRate float64 // probability that a rollout of a version as good as the old is stopped
	FalsePassRate float64 // probability that a stage passes a version that does the harm
	MinQueries    float64 // of each evaluated class at new gatherers, in a stage
	MinClassShare float64 // of the fleet's queries, from which a class is evaluated by itself
	MaxAttempts   int     // to change one gatherer
}

// Defaults replaces zero values. The defaults are meant for queries of a second or so and gatherers that are
// observed every few seconds.
func (p Plan) Defaults() Plan {
	set := func(field *float64, value float64) {
		if *field == 0 {
			*field = value
		}
	}
	set(&p.BaselineTime, 30_000)
	set(&p.WarmUp, 15_000)
	set(&p.StepTimeout, 30_000)
	set(&p.StageLimit, 30*60_000)
	set(&p.MaxDisturbance, 120_000)
	set(&p.Harm, 0.05)
	set(&p.WarmUpHarm, 0.3)
	set(&p.ExtraCost, 0.25)
	set(&p.FalseStopRate, 0.01)
	set(&p.FalsePassRate, 0.05)
	set(&p.MinQueries, 100)
	set(&p.MinClassShare, 0.02)
	if p.MaxUnavailable == 0 {
		p.MaxUnavailable = 1
	}
	if p.MaxUnavailablePerZone == 0 {
		p.MaxUnavailablePerZone = p.MaxUnavailable
	}
	if p.MaxAttempts == 0 {
		p.MaxAttempts = 2
	}
	if p.OnStageLimit == Wait {
		p.OnStageLimit = RollBack
	}
	for i := range p.Stages {
		set(&p.Stages[i].MinObservation, 60_000)
	}
	return p
}

// Zones returns the gatherers' zones, in the order in which they are first named.
func (p *Plan) Zones() (zones []string) {
	for _, g := range p.Gatherers {
		if !slices.Contains(zones, g.Zone) {
			zones = append(zones, g.Zone)
		}
	}
	return zones
}

// Order returns the order in which gatherers are changed: shuffled by the seed, and taking turns between
// zones, so that each stage has some of each zone and nobody picks the quiet ones.
func (p *Plan) Order() []int {
	random := pcg.New(p.Seed)
	zones := p.Zones()
	queues := make([][]int, len(zones))
	for i, g := range p.Gatherers {
		z := slices.Index(zones, g.Zone)
		queues[z] = append(queues[z], i)
	}
	for _, q := range queues {
		for i := len(q) - 1; i > 0; i-- {
			j := int(random.Float64() * float64(i+1))
			q[i], q[j] = q[j], q[i]
		}
	}
	first := 0
	if len(zones) > 0 {
		first = int(random.Float64() * float64(len(zones)))
	}
	var order []int
	for len(order) < len(p.Gatherers) {
		for z := range zones {
			if q := &queues[(z+first)%len(zones)]; len(*q) > 0 {
				order = append(order, (*q)[0])
				*q = (*q)[1:]
			}
		}
	}
	return order
}

// Targets returns the gatherers of a stage and of all before it, in the order in which they are changed.
func (p *Plan) Targets(stage int) []int {
	const rounding = 1e-9 // so that a share that comes to a whole number is not rounded up
	order := p.Order()
	var targets []int
	for _, s := range p.Stages[:stage+1] {
		size := s.Count
		if s.Share > 0 {
			size = int(math.Ceil(s.Share*float64(len(order)) - rounding))
		}
		for _, g := range order {
			if slices.Contains(targets, g) {
				continue
			}
			if s.Zone != "" && p.Gatherers[g].Zone == s.Zone || s.Zone == "" && len(targets) < size {
				targets = append(targets, g)
			}
		}
	}
	return targets
}
