// Package rollout decides how a fleet of gatherers goes from an old version or old settings to new ones in
// stages: which gatherer is changed next, whether the new do worse than the old, and when to go on, wait,
// stop or go back.
//
// It decides from a plan and from what was heard of each gatherer in each interval, by name and zone; it
// starts and asks nothing itself. It may never have more gatherers out at once than the plan allows, those
// that died by themselves counted; never pass a stage for want of evidence; never hold what it could not
// reach for good or for bad; and never blame the new for what strikes the old alike. Why each rule is so,
// with the options weighed: docs/design/rollout.md.
package rollout

import (
	"fmt"
	"math"
	"slices"

	"yokeroute/internal/pcg"
)

// Gatherer is one of the fleet.
type Gatherer struct{ Name, Zone string }

// Stage is how far the change has come once it is passed. One of Count, Share and Zone is set; each stage
// holds all that were changed before it.
type Stage struct {
	Name           string
	Count          int     // gatherers changed
	Share          float64 // of all gatherers
	Zone           string  // all of it
	MinObservation float64 // milliseconds for which it is watched once all of it serves
}

// Plan is what an operator wants. Times are milliseconds. Zero values take what Defaults gives.
type Plan struct {
	Name      string
	Gatherers []Gatherer
	Stages    []Stage
	Classes   []string
	Seed      uint64 // of the order in which gatherers are changed

	MaxUnavailable        int // gatherers that may be out at once, for whatever reason
	MaxUnavailablePerZone int // the same in each zone

	BaselineTime   float64 // watched before the first change
	WarmUp         float64 // after its start for which a gatherer is judged apart, while it learns
	StepTimeout    float64 // within which a changed one has to serve as what it was made
	StageLimit     float64 // that a stage may last
	MaxDisturbance float64 // that the old may do worse, since a stage began, before it is taken for the new's doing
	OnStageLimit   Verdict // Back or Stop

	Harm          float64 // loss of value, a share of what lookups could earn, that has to be found
	WarmUpHarm    float64 // loss that is borne of a gatherer that has just started
	ExtraCost     float64 // by how much more part calls, connections or memory than the old ones' are found, a share
	FalseStopRate float64 // chance that a whole rollout of a version as good as the old is stopped
	FalsePassRate float64 // chance that a stage passes one that does worse by the harm
	MinQueries    float64 // lookups of an index in a stage, at the least
	MinClassShare float64 // share of the lookups from which an index is judged by itself
	MaxAttempts   int     // to change one gatherer
}

// Defaults fills in what a plan leaves out. The figures are for lookups of a second or so and gatherers that
// are asked every few seconds; measured in docs/results.md.
func (p Plan) Defaults() Plan {
	set := func(v *float64, otherwise float64) {
		if *v == 0 {
			*v = otherwise
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
		if p.Stages[i].MinObservation == 0 {
			p.Stages[i].MinObservation = 60_000
		}
	}
	return p
}

// PlanFault is a mistake in a plan: what it is about, and which stage or gatherer where it is about one.
type PlanFault struct {
	Directive string // stages, gatherers, out, harm and so on: the directive that says it
	Index     int    // which one, from 0; -1 for the whole
	Message   string
}

func (w PlanFault) Error() string { return w.Message }

// Check says what cannot be meant, all of it. It wants a plan with its defaults.
func (p *Plan) Check() (all []PlanFault) {
	wrong := func(what string, place int, format string, args ...any) {
		all = append(all, PlanFault{what, place, fmt.Sprintf(format, args...)})
	}
	if len(p.Gatherers) < 2 {
		wrong("gatherer", -1, "names %d gatherers; a rollout in stages wants two at least", len(p.Gatherers))
	}
	seen := map[string]bool{}
	for i, g := range p.Gatherers {
		if seen[g.Name] {
			wrong("gatherer", i, "gatherer %s is named twice", g.Name)
		}
		seen[g.Name] = true
	}
	if len(p.Stages) == 0 {
		wrong("stage", -1, "has no stages; write stage NAME count 1, then wider ones")
	}
	zones := p.Zones()
	before := 0
	for i, s := range p.Stages {
		given := 0
		for _, is := range []bool{s.Count > 0, s.Share > 0, s.Zone != ""} {
			if is {
				given++
			}
		}
		switch {
		case given != 1:
			wrong("stage", i, "stage %s wants one of count, share and zone", s.Name)
			continue
		case s.Zone != "" && !slices.Contains(zones, s.Zone):
			wrong("stage", i, "stage %s: no gatherer is in the zone %s; there are %v", s.Name, s.Zone, zones)
			continue
		case s.Count > len(p.Gatherers):
			wrong("stage", i, "stage %s changes %d gatherers, there are %d", s.Name, s.Count, len(p.Gatherers))
			continue
		}
		n := len(p.Targets(i))
		if n <= before {
			wrong("stage", i, "stage %s comes to %d gatherers, the one before it to %d already: stages have to grow",
				s.Name, n, before)
		}
		before = n
	}
	if len(p.Gatherers) > 1 && p.MaxUnavailable >= len(p.Gatherers) {
		wrong("out", -1, "%d gatherers may be out at once, and there are %d: somebody has to serve", p.MaxUnavailable,
			len(p.Gatherers))
	}
	for _, z := range zones {
		n := 0
		for _, g := range p.Gatherers {
			if g.Zone == z {
				n++
			}
		}
		if n > 1 && p.MaxUnavailablePerZone >= n {
			wrong("out", -1, "%d gatherers of a zone may be out at once, and %s has %d", p.MaxUnavailablePerZone, z, n)
		}
	}
	for _, s := range p.Stages {
		if s.MinObservation > p.StageLimit {
			wrong("limit", -1, "a stage may last %.0f ms, and %s is watched for %.0f", p.StageLimit, s.Name, s.MinObservation)
		}
	}
	if p.StepTimeout > p.StageLimit {
		wrong("limit", -1, "a stage may last %.0f ms, and a gatherer may take %.0f to come up", p.StageLimit, p.StepTimeout)
	}
	if p.WarmUpHarm < p.Harm {
		wrong("harm", -1, "a fresh gatherer may lose %.3f of the value, "+
			"less than the %.3f that a warm one is stopped for", p.WarmUpHarm, p.Harm)
	}
	return all
}

// Zones are those of the gatherers, in the order in which they are first named.
func (p *Plan) Zones() (zones []string) {
	for _, g := range p.Gatherers {
		if !slices.Contains(zones, g.Zone) {
			zones = append(zones, g.Zone)
		}
	}
	return zones
}

// Order is the order in which gatherers are changed: drawn by the seed, a zone after the other in turns, so
// that each stage has some of each zone and nobody picks the quiet ones.
func (p *Plan) Order() []int {
	chance := pcg.New(p.Seed)
	zones := p.Zones()
	queues := make([][]int, len(zones))
	for i, g := range p.Gatherers {
		z := slices.Index(zones, g.Zone)
		queues[z] = append(queues[z], i)
	}
	for _, q := range queues {
		for i := len(q) - 1; i > 0; i-- {
			j := int(chance.Float64() * float64(i+1))
			q[i], q[j] = q[j], q[i]
		}
	}
	first := 0
	if len(zones) > 0 {
		first = int(chance.Float64() * float64(len(zones)))
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

// Targets are the gatherers of a stage and of all before it, in the order in which they are changed.
func (p *Plan) Targets(stage int) []int {
	order := p.Order()
	var in []int
	for _, s := range p.Stages[:stage+1] {
		n := s.Count
		if s.Share > 0 {
			n = int(math.Ceil(s.Share*float64(len(order)) - 1e-9))
		}
		for _, g := range order {
			if slices.Contains(in, g) {
				continue
			}
			if s.Zone != "" && p.Gatherers[g].Zone == s.Zone || s.Zone == "" && len(in) < n {
				in = append(in, g)
			}
		}
	}
	return in
}
