package dispatch

import (
	"slices"

	"yokeroute/gather"
)

// PolicyGate provides the settings for deciding queries while the operators' policy changes across the fleet. It also
// checks whether attempts and results decided before a change may still be sent. Each change starts a new generation.
// A query is decided by the generation in which it is admitted.
type PolicyGate interface {
	// Effective returns the generation in effect and its settings. It is called at the beginning of each round.
	Effective(now float64) (generation uint64, settings *gather.Settings)
	// Blocked reports whether new attempts to a server are forbidden.
	Blocked(server uint32) bool
	// BlockedRevision returns a number that changes whenever Blocked may have changed for a server without a new
	// generation.
	BlockedRevision() uint64
	// Weight returns the fraction of a server's plain round-robin share that the server is to receive.
	Weight(server uint32) float64
	// Permits reports whether an attempt may be written. The goroutine that writes the attempt calls it before the
	// first byte.
	Permits(attempt PolicyCheck, now float64) bool
	// ReviewResult returns the result to deliver in place of a decided one, because a result of an earlier generation
	// may be invalid under the current one. Share is the weight received; mayHaveRun is true if a byte of an attempt
	// was written.
	ReviewResult(query PolicyCheck, result Result, share float64, mayHaveRun bool, now float64) Result
	// MarkDrained reports that every open query belongs to the given generation or a later one.
	MarkDrained(generation uint64)
	// Drained reports whether MarkDrained was called for the newest generation.
	Drained() bool
}

// PolicyCheck describes, for a policy, an attempt that is about to be written or a query whose result is about to be
// delivered.
type PolicyCheck struct {
	Generation uint64 // generation that the query is decided by
	Class      string

	// The fields below are set for an attempt only.
	Server          uint32
	Repeated        bool // true if the shard request has had an earlier attempt
	Hedge           bool // true if another attempt of the shard request was in flight at the decision
	UsesRetryBudget bool
}

// policyState holds the parts of the policy that the picker has applied.
type policyState struct {
	generation      uint64
	blockedRevision uint64
	weighted        bool // true if some server's weight differs from plain round robin
}

// SetPolicyGate makes queries subject to a policy.
func (p *Picker) SetPolicyGate(gate PolicyGate) { p.gate = gate }

// applyPolicy applies the policy in effect at the beginning of a round: settings, blocked servers and weights.
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
	if listed := p.endpoints.list(); len(listed) > 0 {
		in.EndpointLists = append(in.EndpointLists, gather.EndpointList{Full: true, Endpoints: listed})
	}
	p.drainBlocked(in.EndpointLists)
	p.applyWeights(in)
}

// drainBlocked marks blocked servers as draining in the endpoint lists, so that they get no new attempts while those in
// flight may finish.
func (p *Picker) drainBlocked(lists []gather.EndpointList) {
	blocked := func(e gather.Endpoint) bool { return e.State == gather.Running && p.gate.Blocked(e.ID) }
	for i := range lists {
		copied := false
		for j, e := range lists[i].Endpoints {
			if !blocked(e) {
				continue
			}
			if !copied { // the endpoints may be shared
				lists[i].Endpoints = slices.Clone(lists[i].Endpoints)
				copied = true
			}
			lists[i].Endpoints[j].State = gather.Draining
		}
	}
}

// applyWeights passes weights to the module while some server's weight differs from 1, and restores plain round robin
// once none does.
func (p *Picker) applyWeights(in *gather.Round) {
	replicaSets := max(p.settings.ReplicaSets, 1)
	weights := make([][]gather.Weight, replicaSets)
	weighted := false
	for _, id := range p.endpoints.order {
		set := p.endpoints.byID[id].ReplicaSet
		if set < 0 || set >= replicaSets {
			continue
		}
		weight := p.gate.Weight(id)
		weighted = weighted || weight != 1
		weights[set] = append(weights[set], gather.Weight{Server: id, Share: weight})
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

// reportDrained reports the generation of the oldest open query to the policy gate.
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

// permittedByPolicy reports whether the policy still permits an attempt whose first byte is about to be written.
func (a *Attempt) permittedByPolicy(now float64) bool {
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

// reviewResult returns the result that the policy permits in place of a decided one.
func (p *Picker) reviewResult(query *Query, result Result) Result {
	if p.gate == nil || result.Kind != Served && result.Kind != Rejected {
		return result
	}
	receivedWeight := 0.0
	for _, r := range query.ShardRequests {
		hit := slices.ContainsFunc(result.Hits, func(h Hit) bool { return h.Shard == r.Shard })
		if hit || slices.Contains(result.EmptyShards, r.Shard) {
			receivedWeight += r.Weight
		}
	}
	check := PolicyCheck{Generation: query.generation, Class: query.Class}
	return p.gate.ReviewResult(check, result, receivedWeight, query.mayHaveRun.Load(), p.Now())
}
