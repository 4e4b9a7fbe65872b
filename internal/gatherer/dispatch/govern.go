package dispatch

import (
	"slices"

	"yokeroute/gather"
)

// Act is a part call about to be written, or an answer about to be given, as a policy sees it.
type Act struct {
	Way     uint64 // in which its lookup was decided
	Index   string
	Server  uint32
	Again   bool // its part was called before
	Copy    bool // another call of its part is out
	Further bool // the budget counts it
}

// Governor says by what lookups are decided while the operators' policy changes under the fleet; package policy has
// one. Its ways are numbered: what is decided in one is decided by one set of terms.
type Governor interface {
	// Acts is asked at each round's beginning: the way and its terms, which stay the same for as long as the way does.
	Acts(now float64) (way uint64, settings *gather.Settings)
	// Closed reports whether nothing new may go to a server; News tells when that may have changed without a way's.
	Closed(server uint32) bool
	News() uint64
	// Turns is the part of its plain turns that a server gets.
	Turns(server uint32) float64
	// May is asked at a call's first byte, from the goroutine that writes it.
	May(a Act, now float64) bool
	// Answer is asked before a verdict is given: whether what was decided in an earlier way may still be said.
	Answer(a Act, v Verdict, share float64, ran bool, now float64) Verdict
	// Settle tells that no lookup is in hand that was decided before a way; Settled whether that was told of the newest.
	Settle(way uint64)
	Settled() bool
}

// Govern has lookups decided by what a governor says. It has to be called before the first Tick.
func (p *Picker) Govern(g Governor) { p.governor = g }

// Stir has a round run soon, for a governor that has news while no lookup comes.
func (p *Picker) Stir() { p.tell(func(*inbox) {}) }

// govern takes over, at a round's beginning, what is acted by: terms, servers that are closed, turns.
func (p *Picker) govern(in *gather.Round, now float64) {
	way, settings := p.governor.Acts(now)
	news := p.governor.News()
	switch {
	case way != p.way:
		p.way = way
		p.settings, in.Settings = settings, settings
		p.retries.set(settings)
	case news != p.governed:
	default:
		p.shut(in.EndpointLists)
		return
	}
	p.governed = news
	// All servers are told anew, as they are to be taken from now on.
	if all := p.whole(); len(all.Endpoints) > 0 {
		in.EndpointLists = append(in.EndpointLists, all)
	}
	p.shut(in.EndpointLists)
	p.turn(in)
}

// shut has servers that are closed look as if they drained: nothing new is sent there, what is out is waited for.
func (p *Picker) shut(lists []gather.EndpointList) {
	for i := range lists {
		copied := false
		for j, e := range lists[i].Endpoints {
			if e.State == gather.Running && p.governor.Closed(e.ID) {
				if !copied { // the list belongs to who told it
					lists[i].Endpoints, copied = slices.Clone(lists[i].Endpoints), true
				}
				lists[i].Endpoints[j].State = gather.Draining
			}
		}
	}
}

// turn hands in weights for groups in which a server gets fewer turns than the others.
func (p *Picker) turn(in *gather.Round) {
	groups := max(p.settings.ReplicaSets, 1)
	weights := make([][]gather.Weight, groups)
	some := false
	for _, id := range p.ids {
		e := p.servers[id]
		if e.ReplicaSet < 0 || e.ReplicaSet >= groups {
			continue
		}
		share := p.governor.Turns(id)
		some = some || share != 1
		weights[e.ReplicaSet] = append(weights[e.ReplicaSet], gather.Weight{Server: id, Share: share})
	}
	if some || p.turned {
		p.turned = some
		if !some {
			weights = make([][]gather.Weight, groups)
		}
		in.Weights = weights
		p.weights = weights
	}
}

// settle tells the governor how far the lookups in hand have come.
func (p *Picker) settle() {
	if p.governor.Settled() {
		return
	}
	oldest := p.way
	for _, lk := range p.lookups { // the least of all, in whatever order
		oldest = min(oldest, lk.root().way)
	}
	for _, lk := range p.twice.roots {
		oldest = min(oldest, lk.way)
	}
	p.governor.Settle(oldest)
}

// allows asks the governor about a call at its first byte.
func (c *Call) allows(now float64) bool {
	g := c.p.governor
	return g == nil || g.May(Act{Way: c.lk.root().way, Index: c.lk.Index, Server: c.Server, Again: c.number > 0, Copy: !c.alone, Further: c.further}, now)
}

// said asks the governor about a verdict before it is given.
func (p *Picker) said(lk *Lookup, v Verdict) Verdict {
	if p.governor == nil || v.Kind != Satisfied && v.Kind != Nacked {
		return v
	}
	share := 0.0
	for _, pt := range lk.Parts {
		if slices.Contains(v.Empty, pt.Shard) || slices.ContainsFunc(v.Hits, func(h Hit) bool { return h.Shard == pt.Shard }) {
			share += pt.Weight
		}
	}
	return p.governor.Answer(Act{Way: lk.way, Index: lk.Index}, v, share, lk.ran.Load(), p.Now())
}
