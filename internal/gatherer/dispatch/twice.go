package dispatch

import (
	"yokeroute/gather"
	"yokeroute/logic"
	"yokeroute/logic/phases"
)

// pass is what makes a lookup a pass of another one.
type pass struct {
	of    *Lookup // nil where it is none
	kind  gather.Pass
	since float64
	in    float64
	lead  float64
	parts []int        // of the lookup that it is a pass of, by their places there
	asks  []phases.Ask // of a second pass
}

// root is the lookup as its client asked for it.
func (lk *Lookup) root() *Lookup {
	if lk.of != nil {
		return lk.of
	}
	return lk
}

// phased is where a lookup in two phases stands.
type phased struct {
	choice phases.Choice
	now    *Lookup // the pass that the module holds, or is about to be handed
	parts  []phases.Part
}

// twice is what the facade knows of lookups in two phases.
type twice struct {
	phases *phases.Phases // nil where no index is marked
	brief  map[uint32]bool
	roots  map[uint64]*Lookup // lookups in two phases
	wait   []*Lookup          // second passes for the next round
	spoken []bool             // groups of which some replica answers first passes
	count  int                // servers that run
}

// Tracer hears what becomes of lookups, on the goroutine that calls Tick; it must not block.
type Tracer interface {
	Opened(lk *Lookup, choice *phases.Choice, at float64) // choice is nil for indexes in one phase
	Sent(c *Call, at float64)
	Heard(c *Call, outcome gather.Outcome, waited float64, summary *phases.Summary)
	Closed(lk *Lookup, next *phases.Next, at float64)
	Ended(lk *Lookup, v Verdict, at float64)
}

// Witness hears what goes over the wire, at the moment at which it does: on the goroutines that write calls and that
// answer clients.
type Witness interface {
	Written(c *Call, at float64)                // its first byte is about to go
	Answered(lk *Lookup, v Verdict, at float64) // no byte of a call of it goes any more
}

// Watch has one more witness hear what goes over the wire. It has to be called before the first Tick.
func (p *Picker) Watch(w Witness) { p.witnesses = append(p.witnesses, w) }

// Phases lets lookups of marked indexes go in two phases. It has to be called before the first Tick.
func (p *Picker) Phases(marked map[string]phases.Terms) {
	p.twice.phases = phases.New(p.seed+1, marked)
	p.twice.brief, p.twice.roots = map[uint32]bool{}, map[uint64]*Lookup{}
}

// Trace has one more tracer hear what becomes of lookups. It has to be called before the first Tick.
func (p *Picker) Trace(t Tracer) { p.traces = append(p.traces, t) }

// Speaks tells whether a server was found to answer first passes.
func (p *Picker) Speaks(server uint32, yes bool) {
	p.tell(func(in *inbox) {
		if in.speak == nil {
			in.speak = map[uint32]bool{}
		}
		in.speak[server] = yes
	})
}

// listen puts into the lists which servers answer first passes. One that has started anew has to be found again.
func (p *Picker) listen(in *inbox) {
	t := &p.twice
	if t.phases == nil || len(in.EndpointLists) == 0 && len(in.speak) == 0 {
		return
	}
	var news gather.EndpointList
	for _, id := range p.ids { // in their order, not the map's
		if yes, found := in.speak[id]; found && yes != t.brief[id] {
			t.brief[id] = yes
			news.Endpoints = append(news.Endpoints, p.servers[id])
		}
	}
	if len(news.Endpoints) > 0 {
		in.EndpointLists = append(in.EndpointLists, news)
	}
	for i := range in.EndpointLists {
		l := &in.EndpointLists[i]
		servers := make([]gather.Endpoint, len(l.Endpoints)) // a list may be another's as well
		for j, s := range l.Endpoints {
			s.AnswersFirstPass = t.brief[s.ID]
			servers[j] = s
		}
		l.Endpoints = servers
	}
	groups, row := max(p.settings.ReplicaSets, 1), max(p.settings.ReplicaSetsPerShard, 1)
	for id := range t.brief {
		if _, listed := p.servers[id]; !listed {
			delete(t.brief, id)
		}
	}
	t.spoken, t.count = make([]bool, groups), 0
	for _, id := range p.ids {
		s := p.servers[id]
		if s.State != gather.Running {
			continue
		}
		t.count++
		for j := 0; j < row && t.brief[id] && s.ReplicaSet >= 0 && s.ReplicaSet < groups; j++ {
			t.spoken[((s.ReplicaSet-j)%groups+groups)%groups] = true
		}
	}
}

// open hands a lookup to the module, or its first pass.
func (p *Picker) open(in *gather.Round, lk *Lookup, now float64) {
	t := &p.twice
	lk.landed, lk.way = now, p.way
	if p.refuseRun(lk, now) {
		return
	}
	if t.phases == nil || p.owned != nil || !t.phases.Marked(lk.Index) { // pieces go in one phase
		for _, t := range p.traces {
			t.Opened(lk, nil, now)
		}
		p.hand(in, lk)
		return
	}
	first := &Lookup{ID: lk.ID, Index: lk.Index, Customer: lk.Customer, Key: lk.Key, Retry: lk.Retry, Text: lk.Text,
		pass: pass{of: lk, kind: gather.FirstPass}}
	for i, pt := range lk.Parts {
		if len(t.spoken) > 0 && t.spoken[pt.Shard%len(t.spoken)] {
			first.Parts = append(first.Parts, pt)
			first.parts = append(first.parts, i)
		} else {
			first.in += pt.Weight // as if it were in: the first pass does not wait for it
		}
	}
	choice := t.phases.Open(now, phases.Lookup{Index: lk.Index, Parts: len(lk.Parts), Spoken: len(first.Parts), GiveUpAt: lk.GiveUpAt,
		Servers: t.count, Room: p.module.RetryBudgetLeft() - logic.FirstPassRetryReserve*begun(in)})
	for _, t := range p.traces {
		t.Opened(lk, &choice, now)
	}
	if !choice.Two {
		p.hand(in, lk)
		return
	}
	lk.phased = &phased{choice: choice, now: first, parts: make([]phases.Part, len(lk.Parts))}
	for i, pt := range lk.Parts {
		lk.phased.parts[i].Weight = pt.Weight
	}
	first.GiveUpAt = min(choice.Until+3*p.tick, lk.GiveUpAt) // the module ends what it holds three ticks before its time
	first.lead = choice.Lead
	p.admitPass(first)
	t.roots[lk.ref] = lk
	p.hand(in, first)
}

// begun counts the parts of first passes that this round hands in, which the module's room does not know yet.
func begun(in *gather.Round) (n float64) {
	first := map[uint64]bool{}
	for _, lk := range in.Queries {
		first[lk.Number] = lk.Pass == gather.FirstPass
	}
	for _, pt := range in.Requests {
		if first[pt.Number] {
			n++
		}
	}
	return n
}

func (p *Picker) admitPass(lk *Lookup) {
	p.mu.Lock()
	lk.name(&p.ref)
	p.mu.Unlock()
}

// passes hands in the second passes that wait.
func (p *Picker) passes(in *gather.Round) {
	for _, lk := range p.twice.wait {
		p.hand(in, lk)
	}
	clear(p.twice.wait)
	p.twice.wait = p.twice.wait[:0]
}

// sent notes a call that the module has decided on.
func (p *Picker) sent(c *Call) {
	if p.twice.phases != nil {
		p.twice.phases.Sent(p.ranAt, c.First())
	}
	for _, t := range p.traces {
		t.Sent(c, p.ranAt)
	}
}

// heard keeps what a call brought.
func (p *Picker) heard(now float64, e *ended) {
	lk, answered := e.call.lk, e.outcome == gather.Succeeded
	if p.twice.phases != nil {
		p.twice.phases.Ended(now, lk.Index, e.call.First(), answered, e.summary.Empty, e.waited)
	}
	for _, t := range p.traces {
		t.Heard(e.call, e.outcome, e.waited, &e.summary)
	}
	if lk.pieces != nil {
		p.heardPiece(e)
	}
	switch {
	case !answered:
	case e.call.First():
		if root := lk.of; root.phased.now == lk { // what comes later proves nothing any more
			pt := &root.phased.parts[lk.pass.parts[e.call.part]]
			pt.Heard, pt.Empty, pt.Likely = true, e.summary.Empty, e.summary.Likely
		}
	default:
		lk.values[e.call.part] = e.text
	}
}

// passed goes on after a pass has ended.
func (p *Picker) passed(lk *Lookup, v Verdict) {
	root, t := lk.of, &p.twice
	if v.Kind == Broken || v.Kind == Left || lk.kind == gather.SecondPass {
		v.Empty = root.empty()
		p.over(root, v)
		return
	}
	ph := root.phased
	for i, place := range lk.pass.parts {
		ph.parts[place].Called = len(lk.calls[i]) > 0
	}
	next := t.phases.Close(root.Index, ph.parts)
	for _, t := range p.traces {
		t.Closed(root, &next, p.ranAt)
	}
	if next.Done {
		p.over(root, Verdict{Kind: Satisfied, Whole: next.Whole, Empty: root.empty()})
		return
	}
	second := &Lookup{ID: root.ID, Index: root.Index, Customer: root.Customer, Key: root.Key, Retry: root.Retry, Text: root.Text,
		GiveUpAt: root.GiveUpAt, pass: pass{of: root, kind: gather.SecondPass, since: root.landed, in: next.In, asks: next.Ask}}
	for _, a := range next.Ask {
		second.Parts = append(second.Parts, root.Parts[a.Part])
		second.pass.parts = append(second.pass.parts, a.Part)
		second.Cost += root.Parts[a.Part].Cost
	}
	p.admitPass(second)
	ph.now = second
	t.wait = append(t.wait, second)
	p.tell(func(*inbox) {}) // the next round is due
}

// empty are the shards whose parts proved to hold nothing.
func (lk *Lookup) empty() (shards []int) {
	for i, pt := range lk.phased.parts {
		if pt.Heard && pt.Empty {
			shards = append(shards, lk.Parts[i].Shard)
		}
	}
	return shards
}

// over ends a lookup in two phases.
func (p *Picker) over(root *Lookup, v Verdict) {
	delete(p.twice.roots, root.ref)
	root.phased.now = nil
	p.ended = append(p.ended, root)
	p.answer(root, v)
}
