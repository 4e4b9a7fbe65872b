package twopass

import (
	"cmp"
	"slices"
)

const (
	weightTolerance = 5e-5 // by which sums of weights may miss a share

	// unlikelyPenalty is by how much cost a shard that surely holds nothing is ordered behind one that
	// surely holds something.
	unlikelyPenalty = 1000.0
)

// FirstPassOutcome is what a first pass brought for a shard request.
type FirstPassOutcome struct {
	Weight      float64
	Attempted   bool
	Answered    bool    // in time
	ProvedEmpty bool    // the shard holds no match
	Likelihood  float64 // that the shard holds a match, as its server estimates it
}

// Plan is what follows a first pass.
type Plan struct {
	Done         bool // the query can be answered now, from what is proved
	Complete     bool
	ProvedWeight float64
	Requests     []PlannedRequest // of the second pass, unless Done
	LeftOut      []int            // shard requests left out as unlikely
}

// PlannedRequest is a shard request of the second pass.
type PlannedRequest struct {
	Index        int
	Retry        bool // its attempt is a retry: that of the first pass was lost
	OrderPenalty float64
}

// PlanSecondPass plans what follows a first pass. A shard that was not heard of proves nothing and is asked
// in full. Unlikely shards are left out only as far as the answer stays complete without them, or where the
// class allows partial answers, reaches its minimum share; they never count as received.
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

// leaveOutUnlikely leaves the least likely shards out while the reachable weight suffices without them.
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
