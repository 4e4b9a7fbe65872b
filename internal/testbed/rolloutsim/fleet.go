package rolloutsim

import (
	"math"

	"yokeroute/internal/pcg"
	"yokeroute/logic/rollout"
)

// gatherer is one of the model.
type gatherer struct {
	zone          int
	queryRate     float64 // a second
	lossFactor    float64 // of its own, for good
	latencyFactor float64 // the same

	variant     rollout.Variant
	startedAt   float64
	incarnation int
	memory      float64
	inFlight    [3]float64 // queries of each class, when the last interval ended

	downUntil        float64 // does not serve
	unreachableUntil float64 // serves, but does not report
	lossyUntil       float64 // has a link that loses

	stepState rollout.StepState
	stepTo    rollout.Variant
	stepEnd   float64
}

// fleet is the model.
type fleet struct {
	scenario  Scenario
	effect    Effect // of the new version
	random    *pcg.Source
	now       float64
	gatherers []gatherer
	faults    []fault
	dayPhase  float64 // of the traffic's wave

	spareNormal    float64
	hasSpareNormal bool

	Harmed float64 // queries of the new that came out worse than they would have
}

const (
	steadyMemory  = 18.0 // MB of a process that has served for a while
	initialMemory = 12.0 // MB
)

func newFleet(s Scenario) *fleet {
	f := &fleet{scenario: s, random: pcg.New(s.Seed*7919 + 13), effect: HarmfulVersions[s.Version]}
	if s.CustomEffect != nil {
		f.effect = *s.CustomEffect
	}
	f.effect.scale(s.EffectScale)
	f.dayPhase = f.random.Float64() * 2 * math.Pi
	for i := range s.Gatherers {
		f.gatherers = append(f.gatherers, gatherer{
			zone:          i % s.Zones,
			queryRate:     s.QueryRate * math.Exp(0.6*f.gauss()-0.18),
			lossFactor:    math.Exp(0.25 * f.gauss()),
			latencyFactor: math.Exp(0.08 * f.gauss()),
			variant:       rollout.Old,
			startedAt:     -60 * millisPerMinute,
			memory:        steadyMemory * math.Exp(0.1*f.gauss()),
		})
	}
	f.drawFaults()
	return f
}

// runInterval runs one interval: steps end, faults begin and end, and all gatherers report.
func (f *fleet) runInterval() rollout.Observation {
	before := f.now
	f.now += f.scenario.Interval
	zones, traffic := f.applyFaults(before)
	for z := range zones {
		f.applyLoad(&zones[z], z, traffic)
	}
	o := rollout.Observation{Now: f.now, Gatherers: make([]rollout.GathererSample, len(f.gatherers))}
	for i := range f.gatherers {
		g := &f.gatherers[i]
		o.Gatherers[i] = f.sample(g, &zones[g.zone], traffic)
	}
	return o
}

// applyLoad adds what the load of a zone's servers does. What the new cost them falls on all who send there.
func (f *fleet) applyLoad(c *conditions, zone int, traffic float64) {
	attempts, usual := 0.0, 0.0
	for i := range f.gatherers {
		g := &f.gatherers[i]
		if g.zone == zone && f.now >= g.downUntil {
			usual += g.queryRate
			attempts += g.queryRate * f.attemptFactor(g)
		}
	}
	c.load *= traffic * attempts / max(usual, 1e-9)
	c.latency *= 0.5 / max(1-min(c.load, 0.95), 0.05)
	c.loss += 0.5 * max(c.load-0.8, 0)
}

// attemptFactor is a gatherer's attempts compared with an old one's.
func (f *fleet) attemptFactor(g *gatherer) float64 {
	if f.affects(g, -1) {
		return max(f.effect.Attempts, 1) * (1 + f.effect.ExtraAttempts)
	}
	return 1
}

// affects reports whether the new version's effect shows at a gatherer now, in a class; -1 for what is of no class.
func (f *fleet) affects(g *gatherer, class int) bool {
	e := &f.effect
	uptime := f.now - g.startedAt
	return g.variant == rollout.New &&
		(e.Zone == 0 || e.Zone == g.zone+1) &&
		(class < 0 || e.Class == 0 || e.Class == class+1) &&
		uptime >= e.After && (e.Until == 0 || uptime < e.Until)
}

// crash ends a gatherer's process, which starts again after a time.
func (f *fleet) crash(g *gatherer, downtime float64) {
	g.downUntil = f.now + downtime
	g.startedAt = g.downUntil
	g.incarnation++
}

// startSteps starts steps.
func (f *fleet) startSteps(steps []rollout.Step) {
	for _, s := range steps {
		g := &f.gatherers[s.Gatherer]
		g.stepState = rollout.Running
		g.stepTo = s.To
		g.stepEnd = f.now + 1500 + 4500*f.random.Float64()
		g.downUntil = g.stepEnd
	}
}

// countNew counts the gatherers that serve as new.
func (f *fleet) countNew() (n int) {
	for i := range f.gatherers {
		if f.gatherers[i].variant == rollout.New {
			n++
		}
	}
	return n
}

// countSteps counts the steps in progress.
func (f *fleet) countSteps() (n int) {
	for i := range f.gatherers {
		if f.gatherers[i].stepState == rollout.Running {
			n++
		}
	}
	return n
}
