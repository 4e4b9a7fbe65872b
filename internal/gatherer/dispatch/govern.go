package dispatch

import (
	"slices"

	"yokeroute/gather"
)

// PolicyCheck is a part call about to be written, or an answer about to be given, as a policy sees it.
type PolicyCheck struct {
	Generation      uint64 // in which its lookup was decided
	Class           string
	Server          uint32
	Repeated        bool // its part was called before
	Hedge           bool // another call of its part is out
	UsesRetryBudget bool // the budget counts it
}

// PolicyGate says by what lookups are decided while the operators' policy changes under the fleet; package policy has
// one. Its ways are numbered: what is decided in one is decided by one set of terms.
type PolicyGate interface {
	// Effective is asked at each round's beginning: the way and its terms, which stay the same for as long as the way does.
	Effective(now float64) (way uint64, settings *gather.Settings)
	// Blocked reports whether nothing new may go to a server; News tells when that may have changed without a way's.
	Blocked(server uint32) bool
	BlockedRevision() uint64
	// Weight is the part of its plain turns that a server gets.
	Weight(server uint32) float64
	// Permits is asked at a call's first byte, from the goroutine that writes it.
	Permits(a PolicyCheck, now float64) bool
	// ReviewResult is asked before a verdict is given: whether what was decided in an earlier way may still be said.
	ReviewResult(a PolicyCheck, v Result, share float64, ran bool, now float64) Result
	// MarkDrained tells that no lookup is in hand that was decided before a way; Settled whether that was told of the newest.
	MarkDrained(way uint64)
	Drained() bool
}

// SetPolicyGate has lookups decided by what a governor says. It has to be called before the first Tick.
func (p *Picker) SetPolicyGate(g PolicyGate) { p.gate = g }

// Wake has a round run soon, for a governor that has news while no lookup comes.
func (p *Picker) Wake() { p.enqueue(func(*inbox) {}) }

// applyPolicy takes over, at a round's beginning, what is acted by: terms, servers that are closed, turns.
func (p *Picker) applyPolicy(in *gather.Round, now float64) {
	way, settings := p.gate.Effective(now)
	news := p.gate.BlockedRevision()
	switch {
	case way != p.generation:
		p.generation = way
		p.settings, in.Settings = settings, settings
		p.retryBudget.update(settings)
	case news != p.blockedRevision:
	default:
		p.drainBlocked(in.EndpointLists)
		return
	}
	p.blockedRevision = news
	// All servers are told anew, as they are to be taken from now on.
	if all := p.fullEndpointList(); len(all.Endpoints) > 0 {
		in.EndpointLists = append(in.EndpointLists, all)
	}
	p.drainBlocked(in.EndpointLists)
	p.applyWeights(in)
}

// drainBlocked has servers that are closed look as if they drained: nothing new is sent there, what is out is waited for.
func (p *Picker) drainBlocked(lists []gather.EndpointList) {
	for i := range lists {
		copied := false
		for j, e := range lists[i].Endpoints {
			if e.State == gather.Running && p.gate.Blocked(e.ID) {
				if !copied { // the list belongs to who told it
					lists[i].Endpoints, copied = slices.Clone(lists[i].Endpoints), true
				}
				lists[i].Endpoints[j].State = gather.Draining
			}
		}
	}
}

// applyWeights hands in weights for groups in which a server gets fewer turns than the others.
func (p *Picker) applyWeights(in *gather.Round) {
	groups := max(p.settings.ReplicaSets, 1)
	weights := make([][]gather.Weight, groups)
	some := false
	for _, id := range p.endpointOrder {
		e := p.endpoints[id]
		if e.ReplicaSet < 0 || e.ReplicaSet >= groups {
			continue
		}
		share := p.gate.Weight(id)
		some = some || share != 1
		weights[e.ReplicaSet] = append(weights[e.ReplicaSet], gather.Weight{Server: id, Share: share})
	}
	if some || p.weighted {
		p.weighted = some
		if !some {
			weights = make([][]gather.Weight, groups)
		}
		in.Weights = weights
		p.weights = weights
	}
}

// reportDrained tells the governor how far the lookups in hand have come.
func (p *Picker) reportDrained() {
	if p.gate.Drained() {
		return
	}
	oldest := p.generation
	for _, lk := range p.queries { // the least of all, in whatever order
		oldest = min(oldest, lk.root().generation)
	}
	for _, lk := range p.twoPass.queries {
		oldest = min(oldest, lk.generation)
	}
	p.gate.MarkDrained(oldest)
}

// permitted asks the governor about a call at its first byte.
func (c *Attempt) permitted(now float64) bool {
	g := c.picker.gate
	return g == nil || g.Permits(PolicyCheck{Generation: c.query.root().generation, Class: c.query.Class, Server: c.Server, Repeated: c.number > 0, Hedge: !c.onlyInFlight, UsesRetryBudget: c.usesRetryBudget}, now)
}

// reviewResult asks the governor about a verdict before it is given.
func (p *Picker) reviewResult(lk *Query, v Result) Result {
	if p.gate == nil || v.Kind != Served && v.Kind != Rejected {
		return v
	}
	share := 0.0
	for _, pt := range lk.ShardRequests {
		if slices.Contains(v.EmptyShards, pt.Shard) || slices.ContainsFunc(v.Hits, func(h Hit) bool { return h.Shard == pt.Shard }) {
			share += pt.Weight
		}
	}
	return p.gate.ReviewResult(PolicyCheck{Generation: lk.generation, Class: lk.Class}, v, share, lk.mayHaveRun.Load(), p.Now())
}
