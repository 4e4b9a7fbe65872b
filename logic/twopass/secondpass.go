package twopass

import (
	"cmp"
	"slices"
)

const (
	weightTolerance = 5e-5 // allowed error in comparisons of a sum of weights to a share

	// unlikelyPenalty is the difference in ordering cost between a shard with a likelihood of 0 and one with a
	// likelihood of 1.
	unlikelyPenalty = 1000.0
)

// FirstPassOutcome is the outcome of a first pass for one shard request.
type FirstPassOutcome struct {
	Weight      float64
	Attempted   bool
	Answered    bool    // the answer arrived in time
	ProvedEmpty bool    // the shard holds no match
	Likelihood  float64 // probability that the shard holds a match, as estimated by its server
}

// Plan describes how a query continues after its first pass.
type Plan struct {
	Done         bool // the query can be answered now, without a second pass
	Complete     bool
	ProvedWeight float64          // weight of the shards that are proved empty
	Requests     []PlannedRequest // requests of the second pass, unless Done
	LeftOut      []int            // indexes of shard requests that are left out as unlikely to hold a match
}

// PlannedRequest is a shard request of the second pass.
type PlannedRequest struct {
	Index        int
	Retry        bool // the attempt counts as a retry, since that of the first pass was lost
	OrderPenalty float64
}

// PlanSecondPass plans how a query continues after its first pass. A shard that did not answer proves nothing
// and is sent the full request. Unlikely shards are left out only as long as the answer can be complete
// without them or, if the class allows partial answers, can reach the minimum share. They never count as
// received.
func (d *Decider) PlanSecondPass(class string, outcomes []FirstPassOutcome) Plan {
	settings := &d.classes[class].settings
	var plan Plan
	reachable := 0.0
	for i, o := range outcomes {
		reachable += o.Weight
		if o.Answered && o.ProvedEmpty {
			plan.ProvedWeight += o.Weight
			continue
		}
		planned := PlannedRequest{Index: i, Retry: o.Attempted && !o.Answered}
		if o.Answered {
			planned.OrderPenalty = (1 - o.Likelihood) * unlikelyPenalty
		}
		plan.Requests = append(plan.Requests, planned)
	}
	if settings.MinLikelihood > 0 {
		plan.leaveOutUnlikely(outcomes, settings, reachable)
	}
	plan.Complete = plan.ProvedWeight >= settings.CompleteShare-weightTolerance
	answerable := plan.ProvedWeight > 0 && plan.ProvedWeight >= settings.MinShare-weightTolerance
	plan.Done = plan.Complete || len(plan.Requests) == 0 && answerable
	return plan
}

// leaveOutUnlikely removes unlikely shards from the plan, the least likely first, as long as the remaining
// reachable weight suffices.
func (p *Plan) leaveOutUnlikely(outcomes []FirstPassOutcome, settings *Settings, reachable float64) {
	needed := settings.CompleteShare
	if settings.AllowPartial {
		needed = settings.MinShare
	}
	byLikelihood := slices.Clone(p.Requests)
	slices.SortStableFunc(byLikelihood, func(a, b PlannedRequest) int {
		likelihood := cmp.Compare(outcomes[a.Index].Likelihood, outcomes[b.Index].Likelihood)
		return cmp.Or(likelihood, cmp.Compare(a.Index, b.Index))
	})
	for _, planned := range byLikelihood {
		o := &outcomes[planned.Index]
		unlikely := o.Answered && o.Likelihood < settings.MinLikelihood
		if unlikely && reachable-o.Weight >= needed-weightTolerance {
			reachable -= o.Weight
			p.LeftOut = append(p.LeftOut, planned.Index)
		}
	}
	p.Requests = slices.DeleteFunc(p.Requests, func(planned PlannedRequest) bool {
		return slices.Contains(p.LeftOut, planned.Index)
	})
}
