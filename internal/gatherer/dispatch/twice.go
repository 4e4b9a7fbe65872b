package dispatch

import (
	"yokeroute/gather"
	"yokeroute/logic"
	"yokeroute/logic/twopass"
)

// pass is what makes a lookup a pass of another one.
type pass struct {
	parent           *Query // nil where it is none
	kind             gather.Pass
	parentAdmittedAt float64
	completedWeight  float64
	lead             float64
	parentIndexes    []int                    // of the lookup that it is a pass of, by their places there
	requests         []twopass.PlannedRequest // of a second pass
}

// root is the lookup as its client asked for it.
func (lk *Query) root() *Query {
	if lk.parent != nil {
		return lk.parent
	}
	return lk
}

// passProgress is where a lookup in two phases stands.
type passProgress struct {
	choice   twopass.Decision
	current  *Query // the pass that the module holds, or is about to be handed
	outcomes []twopass.FirstPassOutcome
}

// twoPassState is what the facade knows of lookups in two phases.
type twoPassState struct {
	decider          *twopass.Decider // nil where no index is marked
	answersFirstPass map[uint32]bool
	queries          map[uint64]*Query // lookups in two phases
	pending          []*Query          // second passes for the next round
	firstPassShards  []bool            // groups of which some replica answers first passes
	running          int               // servers that run
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
func (p *Picker) ObserveWire(w WireObserver) { p.wireObservers = append(p.wireObservers, w) }

// EnableTwoPass lets lookups of marked indexes go in two phases. It has to be called before the first Tick.
func (p *Picker) EnableTwoPass(marked map[string]twopass.Settings) {
	p.twoPass.decider = twopass.New(p.seed+1, marked)
	p.twoPass.answersFirstPass, p.twoPass.queries = map[uint32]bool{}, map[uint64]*Query{}
}

// ObserveDecisions has one more tracer hear what becomes of lookups. It has to be called before the first Tick.
func (p *Picker) ObserveDecisions(t DecisionObserver) {
	p.decisionObservers = append(p.decisionObservers, t)
}

// SetAnswersFirstPass tells whether a server was found to answer first passes.
func (p *Picker) SetAnswersFirstPass(server uint32, yes bool) {
	p.enqueue(func(in *inbox) {
		if in.answersFirstPass == nil {
			in.answersFirstPass = map[uint32]bool{}
		}
		in.answersFirstPass[server] = yes
	})
}

// applyFirstPassServers puts into the lists which servers answer first passes. One that has started anew has to be found again.
func (p *Picker) applyFirstPassServers(in *inbox) {
	t := &p.twoPass
	if t.decider == nil || len(in.EndpointLists) == 0 && len(in.answersFirstPass) == 0 {
		return
	}
	var news gather.EndpointList
	for _, id := range p.endpointOrder { // in their order, not the map's
		if yes, found := in.answersFirstPass[id]; found && yes != t.answersFirstPass[id] {
			t.answersFirstPass[id] = yes
			news.Endpoints = append(news.Endpoints, p.endpoints[id])
		}
	}
	if len(news.Endpoints) > 0 {
		in.EndpointLists = append(in.EndpointLists, news)
	}
	for i := range in.EndpointLists {
		l := &in.EndpointLists[i]
		servers := make([]gather.Endpoint, len(l.Endpoints)) // a list may be another's as well
		for j, s := range l.Endpoints {
			s.AnswersFirstPass = t.answersFirstPass[s.ID]
			servers[j] = s
		}
		l.Endpoints = servers
	}
	groups, row := max(p.settings.ReplicaSets, 1), max(p.settings.ReplicaSetsPerShard, 1)
	for id := range t.answersFirstPass {
		if _, listed := p.endpoints[id]; !listed {
			delete(t.answersFirstPass, id)
		}
	}
	t.firstPassShards, t.running = make([]bool, groups), 0
	for _, id := range p.endpointOrder {
		s := p.endpoints[id]
		if s.State != gather.Running {
			continue
		}
		t.running++
		for j := 0; j < row && t.answersFirstPass[id] && s.ReplicaSet >= 0 && s.ReplicaSet < groups; j++ {
			t.firstPassShards[((s.ReplicaSet-j)%groups+groups)%groups] = true
		}
	}
}

// startQuery hands a lookup to the module, or its first pass.
func (p *Picker) startQuery(in *gather.Round, lk *Query, now float64) {
	t := &p.twoPass
	lk.admittedAt, lk.generation = now, p.generation
	if p.failIfMayHaveRun(lk, now) {
		return
	}
	if t.decider == nil || p.ownership != nil || !t.decider.Enabled(lk.Class) { // pieces go in one phase
		for _, t := range p.decisionObservers {
			t.QueryAdmitted(lk, nil, now)
		}
		p.addToRound(in, lk)
		return
	}
	first := &Query{ID: lk.ID, Class: lk.Class, Tenant: lk.Tenant, RouteKey: lk.RouteKey, Retried: lk.Retried, Payload: lk.Payload,
		pass: pass{parent: lk, kind: gather.FirstPass}}
	for i, pt := range lk.ShardRequests {
		if len(t.firstPassShards) > 0 && t.firstPassShards[pt.Shard%len(t.firstPassShards)] {
			first.ShardRequests = append(first.ShardRequests, pt)
			first.parentIndexes = append(first.parentIndexes, i)
		} else {
			first.completedWeight += pt.Weight // as if it were in: the first pass does not wait for it
		}
	}
	choice := t.decider.Decide(now, twopass.Query{Class: lk.Class, ShardRequests: len(lk.ShardRequests), FirstPassRequests: len(first.ShardRequests), Deadline: lk.Deadline,
		RunningServers: t.running, RetryBudgetLeft: p.module.RetryBudgetLeft() - logic.Reserve*newFirstPassRequests(in)})
	for _, t := range p.decisionObservers {
		t.QueryAdmitted(lk, &choice, now)
	}
	if !choice.TwoPass {
		p.addToRound(in, lk)
		return
	}
	lk.twoPass = &passProgress{choice: choice, current: first, outcomes: make([]twopass.FirstPassOutcome, len(lk.ShardRequests))}
	for i, pt := range lk.ShardRequests {
		lk.twoPass.outcomes[i].Weight = pt.Weight
	}
	first.Deadline = min(choice.FirstPassDeadline+3*p.roundInterval, lk.Deadline) // the module ends what it holds three ticks before its time
	first.lead = choice.FullCallExtra
	p.admitPass(first)
	t.queries[lk.id] = lk
	p.addToRound(in, first)
}

// newFirstPassRequests counts the parts of first passes that this round hands in, which the module's room does not know yet.
func newFirstPassRequests(in *gather.Round) (n float64) {
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
	lk.assignIDs(&p.nextID)
	p.mu.Unlock()
}

// addSecondPasses hands in the second passes that wait.
func (p *Picker) addSecondPasses(in *gather.Round) {
	for _, lk := range p.twoPass.pending {
		p.addToRound(in, lk)
	}
	clear(p.twoPass.pending)
	p.twoPass.pending = p.twoPass.pending[:0]
}

// recordDecided notes a call that the module has decided on.
func (p *Picker) recordDecided(c *Attempt) {
	if p.twoPass.decider != nil {
		p.twoPass.decider.RecordSent(p.lastRoundAt, c.FirstPass())
	}
	for _, t := range p.decisionObservers {
		t.AttemptDecided(c, p.lastRoundAt)
	}
}

// recordEnd keeps what a call brought.
func (p *Picker) recordEnd(now float64, e *attemptEnd) {
	lk, answered := e.attempt.query, e.outcome == gather.Succeeded
	if p.twoPass.decider != nil {
		p.twoPass.decider.RecordEnded(now, lk.Class, e.attempt.FirstPass(), answered, e.summary.Empty, e.waited)
	}
	for _, t := range p.decisionObservers {
		t.AttemptEnded(e.attempt, e.outcome, e.waited, &e.summary)
	}
	if lk.pieces != nil {
		p.recordPieceEnd(e)
	}
	switch {
	case !answered:
	case e.attempt.FirstPass():
		if root := lk.parent; root.twoPass.current == lk { // what comes later proves nothing any more
			pt := &root.twoPass.outcomes[lk.pass.parentIndexes[e.attempt.index]]
			pt.Answered, pt.ProvedEmpty, pt.Likelihood = true, e.summary.Empty, e.summary.Likelihood
		}
	default:
		lk.values[e.attempt.index] = e.value
	}
}

// finishPass goes on after a pass has ended.
func (p *Picker) finishPass(lk *Query, v Result) {
	root, t := lk.parent, &p.twoPass
	if v.Kind == InternalError || v.Kind == Abandoned || lk.kind == gather.SecondPass {
		v.EmptyShards = root.emptyShards()
		p.finishTwoPass(root, v)
		return
	}
	ph := root.twoPass
	for i, place := range lk.pass.parentIndexes {
		ph.outcomes[place].Attempted = len(lk.attempts[i]) > 0
	}
	next := t.decider.PlanSecondPass(root.Class, ph.outcomes)
	for _, t := range p.decisionObservers {
		t.FirstPassEnded(root, &next, p.lastRoundAt)
	}
	if next.Done {
		p.finishTwoPass(root, Result{Kind: Served, Complete: next.Complete, EmptyShards: root.emptyShards()})
		return
	}
	second := &Query{ID: root.ID, Class: root.Class, Tenant: root.Tenant, RouteKey: root.RouteKey, Retried: root.Retried, Payload: root.Payload,
		Deadline: root.Deadline, pass: pass{parent: root, kind: gather.SecondPass, parentAdmittedAt: root.admittedAt, completedWeight: next.ProvedWeight, requests: next.Requests}}
	for _, a := range next.Requests {
		second.ShardRequests = append(second.ShardRequests, root.ShardRequests[a.Index])
		second.pass.parentIndexes = append(second.pass.parentIndexes, a.Index)
		second.Cost += root.ShardRequests[a.Index].Cost
	}
	p.admitPass(second)
	ph.current = second
	t.pending = append(t.pending, second)
	p.enqueue(func(*inbox) {}) // the next round is due
}

// emptyShards are the shards whose parts proved to hold nothing.
func (lk *Query) emptyShards() (shards []int) {
	for i, pt := range lk.twoPass.outcomes {
		if pt.Answered && pt.ProvedEmpty {
			shards = append(shards, lk.ShardRequests[i].Shard)
		}
	}
	return shards
}

// finishTwoPass ends a lookup in two phases.
func (p *Picker) finishTwoPass(root *Query, v Result) {
	delete(p.twoPass.queries, root.id)
	root.twoPass.current = nil
	p.finished = append(p.finished, root)
	p.deliver(root, v)
}
