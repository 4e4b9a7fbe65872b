package dispatch

import (
	"yokeroute/gather"
	"yokeroute/logic"
	"yokeroute/logic/twopass"
)

// pass is what makes a lookup a pass of another one.
type pass struct {
	of    *Query // nil where it is none
	kind  gather.Pass
	since float64
	in    float64
	lead  float64
	parts []int                    // of the lookup that it is a pass of, by their places there
	asks  []twopass.PlannedRequest // of a second pass
}

// root is the lookup as its client asked for it.
func (lk *Query) root() *Query {
	if lk.of != nil {
		return lk.of
	}
	return lk
}

// phased is where a lookup in two phases stands.
type phased struct {
	choice twopass.Decision
	now    *Query // the pass that the module holds, or is about to be handed
	parts  []twopass.FirstPassOutcome
}

// twice is what the facade knows of lookups in two phases.
type twice struct {
	phases *twopass.Decider // nil where no index is marked
	brief  map[uint32]bool
	roots  map[uint64]*Query // lookups in two phases
	wait   []*Query          // second passes for the next round
	spoken []bool            // groups of which some replica answers first passes
	count  int               // servers that run
}

// DecisionObserver hears what becomes of lookups, on the goroutine that calls Tick; it must not block.
type DecisionObserver interface {
	QueryAdmitted(lk *Query, choice *twopass.Decision, at float64) // choice is nil for indexes in one phase
	AttemptDecided(c *Attempt, at float64)
	AttemptEnded(c *Attempt, outcome gather.Outcome, waited float64, summary *twopass.Summary)
	FirstPassEnded(lk *Query, next *twopass.Plan, at float64)
	QueryDecided(lk *Query, v Result, at float64)
}

// WireObserver hears what goes over the wire, at the moment at which it does: on the goroutines that write calls and that
// answer clients.
type WireObserver interface {
	AttemptWritten(c *Attempt, at float64)         // its first byte is about to go
	QueryAnswered(lk *Query, v Result, at float64) // no byte of a call of it goes any more
}

// ObserveWire has one more witness hear what goes over the wire. It has to be called before the first Tick.
func (p *Picker) ObserveWire(w WireObserver) { p.witnesses = append(p.witnesses, w) }

// EnableTwoPass lets lookups of marked indexes go in two phases. It has to be called before the first Tick.
func (p *Picker) EnableTwoPass(marked map[string]twopass.Settings) {
	p.twice.phases = twopass.New(p.seed+1, marked)
	p.twice.brief, p.twice.roots = map[uint32]bool{}, map[uint64]*Query{}
}

// ObserveDecisions has one more tracer hear what becomes of lookups. It has to be called before the first Tick.
func (p *Picker) ObserveDecisions(t DecisionObserver) { p.traces = append(p.traces, t) }

// SetAnswersFirstPass tells whether a server was found to answer first passes.
func (p *Picker) SetAnswersFirstPass(server uint32, yes bool) {
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
func (p *Picker) open(in *gather.Round, lk *Query, now float64) {
	t := &p.twice
	lk.landed, lk.way = now, p.way
	if p.refuseRun(lk, now) {
		return
	}
	if t.phases == nil || p.owned != nil || !t.phases.Enabled(lk.Class) { // pieces go in one phase
		for _, t := range p.traces {
			t.QueryAdmitted(lk, nil, now)
		}
		p.hand(in, lk)
		return
	}
	first := &Query{ID: lk.ID, Class: lk.Class, Tenant: lk.Tenant, RouteKey: lk.RouteKey, Retried: lk.Retried, Payload: lk.Payload,
		pass: pass{of: lk, kind: gather.FirstPass}}
	for i, pt := range lk.ShardRequests {
		if len(t.spoken) > 0 && t.spoken[pt.Shard%len(t.spoken)] {
			first.ShardRequests = append(first.ShardRequests, pt)
			first.parts = append(first.parts, i)
		} else {
			first.in += pt.Weight // as if it were in: the first pass does not wait for it
		}
	}
	choice := t.phases.Decide(now, twopass.Query{Class: lk.Class, ShardRequests: len(lk.ShardRequests), FirstPassRequests: len(first.ShardRequests), Deadline: lk.Deadline,
		RunningServers: t.count, RetryBudgetLeft: p.module.RetryBudgetLeft() - logic.Reserve*begun(in)})
	for _, t := range p.traces {
		t.QueryAdmitted(lk, &choice, now)
	}
	if !choice.TwoPass {
		p.hand(in, lk)
		return
	}
	lk.phased = &phased{choice: choice, now: first, parts: make([]twopass.FirstPassOutcome, len(lk.ShardRequests))}
	for i, pt := range lk.ShardRequests {
		lk.phased.parts[i].Weight = pt.Weight
	}
	first.Deadline = min(choice.FirstPassDeadline+3*p.tick, lk.Deadline) // the module ends what it holds three ticks before its time
	first.lead = choice.FullCallExtra
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

func (p *Picker) admitPass(lk *Query) {
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
func (p *Picker) sent(c *Attempt) {
	if p.twice.phases != nil {
		p.twice.phases.RecordSent(p.ranAt, c.FirstPass())
	}
	for _, t := range p.traces {
		t.AttemptDecided(c, p.ranAt)
	}
}

// heard keeps what a call brought.
func (p *Picker) heard(now float64, e *ended) {
	lk, answered := e.call.lk, e.outcome == gather.Succeeded
	if p.twice.phases != nil {
		p.twice.phases.RecordEnded(now, lk.Class, e.call.FirstPass(), answered, e.summary.Empty, e.waited)
	}
	for _, t := range p.traces {
		t.AttemptEnded(e.call, e.outcome, e.waited, &e.summary)
	}
	if lk.pieces != nil {
		p.heardPiece(e)
	}
	switch {
	case !answered:
	case e.call.FirstPass():
		if root := lk.of; root.phased.now == lk { // what comes later proves nothing any more
			pt := &root.phased.parts[lk.pass.parts[e.call.part]]
			pt.Answered, pt.ProvedEmpty, pt.Likelihood = true, e.summary.Empty, e.summary.Likelihood
		}
	default:
		lk.values[e.call.part] = e.text
	}
}

// passed goes on after a pass has ended.
func (p *Picker) passed(lk *Query, v Result) {
	root, t := lk.of, &p.twice
	if v.Kind == InternalError || v.Kind == Abandoned || lk.kind == gather.SecondPass {
		v.EmptyShards = root.empty()
		p.over(root, v)
		return
	}
	ph := root.phased
	for i, place := range lk.pass.parts {
		ph.parts[place].Attempted = len(lk.calls[i]) > 0
	}
	next := t.phases.PlanSecondPass(root.Class, ph.parts)
	for _, t := range p.traces {
		t.FirstPassEnded(root, &next, p.ranAt)
	}
	if next.Done {
		p.over(root, Result{Kind: Served, Complete: next.Complete, EmptyShards: root.empty()})
		return
	}
	second := &Query{ID: root.ID, Class: root.Class, Tenant: root.Tenant, RouteKey: root.RouteKey, Retried: root.Retried, Payload: root.Payload,
		Deadline: root.Deadline, pass: pass{of: root, kind: gather.SecondPass, since: root.landed, in: next.ProvedWeight, asks: next.Requests}}
	for _, a := range next.Requests {
		second.ShardRequests = append(second.ShardRequests, root.ShardRequests[a.Index])
		second.pass.parts = append(second.pass.parts, a.Index)
		second.Cost += root.ShardRequests[a.Index].Cost
	}
	p.admitPass(second)
	ph.now = second
	t.wait = append(t.wait, second)
	p.tell(func(*inbox) {}) // the next round is due
}

// empty are the shards whose parts proved to hold nothing.
func (lk *Query) empty() (shards []int) {
	for i, pt := range lk.phased.parts {
		if pt.Answered && pt.ProvedEmpty {
			shards = append(shards, lk.ShardRequests[i].Shard)
		}
	}
	return shards
}

// over ends a lookup in two phases.
func (p *Picker) over(root *Query, v Result) {
	delete(p.twice.roots, root.ref)
	root.phased.now = nil
	p.ended = append(p.ended, root)
	p.answer(root, v)
}
