package dispatch

import (
	"slices"

	"yokeroute/gather"
)

// PolicyGate says which settings queries are decided by while the operators' policy changes across the fleet, and
// what may still go out that was decided before a change. Each change begins a generation, by which all queries are
// decided that are admitted in it.
type PolicyGate interface {
	// Effective returns the generation in effect and its settings. It is called at the beginning of each round.
	Effective(now float64) (generation uint64, settings *gather.Settings)
	// Blocked reports whether nothing new may go to a server.
	Blocked(server uint32) bool
	// BlockedRevision changes whenever Blocked may have changed for a server without a new generation.
	BlockedRevision() uint64
	// Weight is a server's share of the requests that it would get by plain round robin.
	Weight(server uint32) float64
	// Permits reports whether an attempt may be written. It is called before its first byte, by the goroutine that
	// writes it.
	Permits(attempt PolicyCheck, now float64) bool
	// ReviewResult returns the result to give in place of one that was decided: an earlier generation's may not hold
	// any more. Share is the weight received, mayHaveRun whether a byte of an attempt was written.
	ReviewResult(query PolicyCheck, result Result, share float64, mayHaveRun bool, now float64) Result
	// MarkDrained says that every open query belongs to a generation or a later one.
	MarkDrained(generation uint64)
	// Drained reports whether MarkDrained was called for the newest generation.
	Drained() bool
}

// PolicyCheck is an attempt that is about to be written, or a query whose result is about to be given, as a policy
// sees it.
type PolicyCheck struct {
	Generation uint64 // that its query was decided by
	Class      string

	// Of an attempt.
	Server          uint32
	Repeated        bool // its shard request has had an attempt before
	Hedge           bool // another attempt of its shard request is in flight
	UsesRetryBudget bool
}

// policyState is what of the policy has been taken over.
type policyState struct {
	generation      uint64
	blockedRevision uint64
	weighted        bool // some server gets less than its share by plain round robin
}

// SetPolicyGate has queries decided by a policy.
func (p *Picker) SetPolicyGate(gate PolicyGate) { p.gate = gate }

// applyPolicy takes over the policy in effect at the beginning of a round: settings, blocked servers and weights.
func (p *Picker) applyPolicy(in *gather.Round, now float64) {
	generation, settings := p.gate.Effective(now)
	blockedRevision := p.gate.BlockedRevision()
	if generation == p.policy.generation && blockedRevision == p.policy.blockedRevision {
		p.drainBlocked(in.EndpointLists)
		return
	}
	if generation != p.policy.generation {
		p.policy.generation = generation
		p.settings = settings
		in.Settings = settings
		p.retryBudget.update(settings)
	}
	p.policy.blockedRevision = blockedRevision
	if all := p.endpoints.all(); len(all) > 0 {
		in.EndpointLists = append(in.EndpointLists, gather.EndpointList{Full: true, Endpoints: all})
	}
	p.drainBlocked(in.EndpointLists)
	p.applyWeights(in)
}

// drainBlocked lists blocked servers as draining: nothing new is sent there, and what is in flight is waited for.
func (p *Picker) drainBlocked(lists []gather.EndpointList) {
	blocked := func(e gather.Endpoint) bool { return e.State == gather.Running && p.gate.Blocked(e.ID) }
	for i := range lists {
		copied := false
		for j, e := range lists[i].Endpoints {
			if !blocked(e) {
				continue
			}
			if !copied { // the list may be shared with others
				lists[i].Endpoints = slices.Clone(lists[i].Endpoints)
				copied = true
			}
			lists[i].Endpoints[j].State = gather.Draining
		}
	}
}

// applyWeights hands weights to the module where some server's differs from the others', and plain round robin once
// none does any more.
func (p *Picker) applyWeights(in *gather.Round) {
	replicaSets := max(p.settings.ReplicaSets, 1)
	weights := make([][]gather.Weight, replicaSets)
	weighted := false
	for _, id := range p.endpoints.order {
		set := p.endpoints.byID[id].ReplicaSet
		if set < 0 || set >= replicaSets {
			continue
		}
		share := p.gate.Weight(id)
		weighted = weighted || share != 1
		weights[set] = append(weights[set], gather.Weight{Server: id, Share: share})
	}
	if !weighted && !p.policy.weighted {
		return
	}
	p.policy.weighted = weighted
	if !weighted {
		weights = make([][]gather.Weight, replicaSets)
	}
	in.Weights = weights
	p.module.weights = weights
}

// reportDrained says which generation the oldest open query belongs to.
func (p *Picker) reportDrained() {
	if p.gate.Drained() {
		return
	}
	oldest := p.policy.generation
	for _, query := range p.queries.byID {
		oldest = min(oldest, query.root().generation)
	}
	for _, query := range p.twoPass.queries {
		oldest = min(oldest, query.generation)
	}
	p.gate.MarkDrained(oldest)
}

// permitted reports whether the policy allows an attempt at its first byte.
func (a *Attempt) permitted(now float64) bool {
	if a.picker.gate == nil {
		return true
	}
	return a.picker.gate.Permits(PolicyCheck{
		Generation:      a.query.root().generation,
		Class:           a.query.Class,
		Server:          a.Server,
		Repeated:        a.number > 0,
		Hedge:           !a.onlyInFlight,
		UsesRetryBudget: a.usesRetryBudget,
	}, now)
}

// reviewResult has the policy review a result before it is given.
func (p *Picker) reviewResult(query *Query, result Result) Result {
	if p.gate == nil || result.Kind != Served && result.Kind != Rejected {
		return result
	}
	share := 0.0
	for _, r := range query.ShardRequests {
		hit := slices.ContainsFunc(result.Hits, func(h Hit) bool { return h.Shard == r.Shard })
		if hit || slices.Contains(result.EmptyShards, r.Shard) {
			share += r.Weight
		}
	}
	check := PolicyCheck{Generation: query.generation, Class: query.Class}
	return p.gate.ReviewResult(check, result, share, query.mayHaveRun.Load(), p.Now())
}
