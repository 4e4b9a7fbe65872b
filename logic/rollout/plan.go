// Package rollout decides how a fleet of gatherers moves in stages from an old version or old settings to new
// ones: which gatherer is changed next, whether new gatherers are worse than old ones, and when to proceed,
// wait, stop or roll back.
//
// It decides from a plan and from what was observed of each gatherer in each interval, by name and zone. It
// performs no I/O. It must never start a step that makes more gatherers unavailable at once than the plan
// allows, those that failed on their own included; never pass a stage for lack of evidence; never take an
// unreachable gatherer for a good or a bad one; and never attribute to the new version what affects old
// gatherers as well. docs/design/rollout.md discusses the reasons and the alternatives.
package rollout

import (
	"math"
	"slices"

	"yokeroute/internal/pcg"
)

// Gatherer is a gatherer of the fleet.
type Gatherer struct{ Name, Zone string }

// Stage is a stage of a rollout. Exactly one of Count, Share and Zone is set; each stage includes the
// gatherers of the stages before it.
type Stage struct {
	Name           string
	Count          int     // number of gatherers that are new after the stage
	Share          float64 // share of all gatherers that are new after the stage
	Zone           string  // zone of which all gatherers are new after the stage
	MinObservation float64 // milliseconds of observation after all of its gatherers serve as new
}

// Plan is an operator's plan of a rollout. Times are in milliseconds. Defaults replaces zero values.
type Plan struct {
	Name      string
	Gatherers []Gatherer
	Stages    []Stage
	Classes   []string // request classes
	Seed      uint64   // determines the order in which gatherers are changed

	MaxUnavailable        int // gatherers that may be unavailable at once, for any reason
	MaxUnavailablePerZone int // gatherers of one zone that may be unavailable at once

	BaselineTime   float64 // minimum time of observation before the first change
	WarmUp         float64 // time after its start for which a gatherer is evaluated separately
	StepTimeout    float64 // time within which a changed gatherer has to serve as its target variant
	StageLimit     float64 // longest time that a stage may last
	MaxDisturbance float64 // time after which a disturbance is attributed to the new version
	OnStageLimit   Verdict // RollBack or Stop: what ends a stage that exceeds StageLimit

	Harm          float64 // loss of value that has to be detected, as a share of what queries could earn
	WarmUpHarm    float64 // loss of value that is tolerated of a gatherer that is warming up, as a share too
	ExtraCost     float64 // increase of attempts, connections or memory that has to be detected, as a share
	FalseStopRate float64 // accepted probability that a version as good as the old one is stopped
	FalsePassRate float64 // accepted probability that a stage passes a version that does Harm
	MinQueries    float64 // queries of each evaluated class that new gatherers need in a stage
	MinClassShare float64 // a class is evaluated if it has at least this share of the fleet's queries
	MaxAttempts   int     // steps that may be tried to change one gatherer to new
}

// Defaults returns the plan with zero values replaced. The defaults are meant for queries of about a second
// and for gatherers that are observed every few seconds.
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

// Zones returns the gatherers' zones, in the order of their first gatherers.
func (p *Plan) Zones() (zones []string) {
	for _, g := range p.Gatherers {
		if !slices.Contains(zones, g.Zone) {
			zones = append(zones, g.Zone)
		}
	}
	return zones
}

// Order returns the order in which gatherers are changed. They are shuffled by the seed and taken from the
// zones in turn, so that each stage has gatherers of every zone and nobody picks those with little traffic.
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

// Targets returns the gatherers of a stage and of all stages before it, in the order in which they are
// changed.
func (p *Plan) Targets(stage int) []int {
	const rounding = 1e-9 // keeps a share that yields a whole number from being rounded up
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
