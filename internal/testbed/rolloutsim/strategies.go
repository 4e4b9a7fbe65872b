package rolloutsim

import (
	"math"
	"slices"

	"yokeroute/logic/rollout"
)

// insensitive is a plan that finds nothing and asks for no evidence. What it leaves are the steps and the bounds on
// unavailability.
func insensitive(p rollout.Plan) rollout.Plan {
	p.Harm = 1
	p.ExtraCost = math.Inf(1)
	p.WarmUpHarm = 2
	p.FalsePassRate = 1
	p.FalseStopRate = 1e-300
	p.MinQueries = 0
	p.MinClassShare = 2 // of all queries: no class is evaluated
	return p
}

// AllAtOnce is the baseline strategy without stages: everything is changed, as fast as the bounds on unavailability
// allow.
func AllAtOnce(p rollout.Plan) rollout.Strategy {
	p = insensitive(p)
	p.Stages = []rollout.Stage{{Name: "all", Share: 1, MinObservation: 1}}
	p.BaselineTime = 1
	return rollout.NewDecider(p, rollout.Position{})
}

// variantTotals are the counts of one side in a stage.
type variantTotals struct{ queries, lost, slow, served, attempts, requests float64 }

func (t *variantTotals) add(c *rollout.ClassCounts) {
	t.queries += c.Queries
	t.lost += c.Queries - c.EarnedValue
	t.slow += c.OverLimit[1]
	t.served += c.Served
	t.attempts += c.Attempts
	t.requests += c.ShardRequests
}

// fixedThresholds is the baseline strategy of fixed times and thresholds: a stage is observed for its time, then the
// totals of old and new are compared.
type fixedThresholds struct {
	plan                 rollout.Plan
	stepper              *rollout.Decider // for its steps and bounds alone
	oldTotals, newTotals variantTotals
}

// FixedThresholds returns that strategy.
func FixedThresholds(p rollout.Plan) rollout.Strategy {
	stepping := insensitive(p)
	stepping.MaxDisturbance = math.Inf(1)
	return &fixedThresholds{plan: p, stepper: rollout.NewDecider(stepping, rollout.Position{})}
}

// Position implements rollout.Strategy.
func (s *fixedThresholds) Position() rollout.Position { return s.stepper.Position() }

// Command implements rollout.Strategy.
func (s *fixedThresholds) Command(v rollout.Verdict, reason string) { s.stepper.Command(v, reason) }

// Decide implements rollout.Strategy. Totals are compared when a stage is passed.
func (s *fixedThresholds) Decide(o rollout.Observation) rollout.Decision {
	s.count(&o)
	before := s.stepper.Position()
	d := s.stepper.Decide(withoutExits(o))
	after := s.stepper.Position()
	inStage := before.Phase == rollout.Evaluating || before.Phase == rollout.Updating
	completed := after.Phase == rollout.Completed && before.Phase != rollout.Completed
	if !inStage || after.Stage == before.Stage && !completed {
		return d
	}
	if reason := s.harm(); reason != "" {
		s.stepper.Command(rollout.RollBack, reason)
		d.Phase = rollout.RollingBack
		d.Reason = reason
		d.Steps = nil
	}
	s.oldTotals = variantTotals{}
	s.newTotals = variantTotals{}
	return d
}

// withoutExits is an observation that doesn't tell of processes that have ended, by which a Decider prolongs a stage.
func withoutExits(o rollout.Observation) rollout.Observation {
	o.Gatherers = slices.Clone(o.Gatherers)
	for g := range o.Gatherers {
		o.Gatherers[g].Incarnation = ""
	}
	return o
}

func (s *fixedThresholds) count(o *rollout.Observation) {
	for g := range o.Gatherers {
		sample := &o.Gatherers[g]
		if !sample.Reachable || sample.Variant != rollout.Old && sample.Variant != rollout.New {
			continue
		}
		side := &s.oldTotals
		if sample.Variant == rollout.New {
			side = &s.newTotals
		}
		for class := range sample.Classes {
			side.add(&sample.Classes[class])
		}
	}
}

// harm returns what the new do worse, empty for nothing: they lose more of the value by the plan's harm, have twice as
// many queries in the latency tail, or send more attempts by the plan's cost.
func (s *fixedThresholds) harm() string {
	n, o := &s.newTotals, &s.oldTotals
	switch {
	case n.queries == 0 || o.queries == 0:
		return ""
	case n.lost/n.queries > o.lost/o.queries+s.plan.Harm:
		return "loses more"
	case n.slow/max(n.served, 1) > 2*o.slow/max(o.served, 1):
		return "twice as many in the tail"
	case n.attempts/max(n.requests, 1) > (1+s.plan.ExtraCost)*o.attempts/max(o.requests, 1):
		return "more calls"
	}
	return ""
}
