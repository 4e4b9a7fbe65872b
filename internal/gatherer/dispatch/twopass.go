package dispatch

import (
	"yokeroute/gather"
	"yokeroute/logic"
	"yokeroute/logic/twopass"
)

// deadlineRounds is how many rounds before a query's deadline it is ended; a first pass gets them on top.
const deadlineRounds = 3

// pass makes a query a pass of another one. The module decides on the pass in place of its parent.
type pass struct {
	parent           *Query // nil for a client's query
	kind             gather.Pass
	parentAdmittedAt float64
	receivedWeight   float64                  // of the parent's shard requests that are not part of the pass
	fullCallExtra    float64                  // of a first pass
	parentIndexes    []int                    // of its shard requests, in the parent
	requests         []twopass.PlannedRequest // of a second pass
}

// newPass returns a pass of a query without shard requests.
func (q *Query) newPass(kind gather.Pass) *Query {
	return &Query{
		ID:       q.ID,
		Class:    q.Class,
		Tenant:   q.Tenant,
		RouteKey: q.RouteKey,
		Deadline: q.Deadline,
		Retried:  q.Retried,
		Payload:  q.Payload,
		pass:     pass{parent: q, kind: kind},
	}
}

// addFromParent adds a shard request of the parent.
func (q *Query) addFromParent(index int) {
	q.ShardRequests = append(q.ShardRequests, q.pass.parent.ShardRequests[index])
	q.pass.parentIndexes = append(q.pass.parentIndexes, index)
}

// root is the client's query.
func (q *Query) root() *Query {
	if q.pass.parent != nil {
		return q.pass.parent
	}
	return q
}

// passProgress is how far a two-pass query has come.
type passProgress struct {
	current  *Query // the pass that the module decides on, or is about to get
	outcomes []twopass.FirstPassOutcome
}

// twoPassState is what the picker keeps for two-pass queries.
type twoPassState struct {
	decider          *twopass.Decider // nil where no class is enabled
	answersFirstPass map[uint32]bool  // by server
	queries          map[uint64]*Query
	pending          []*Query // second passes for the next round
	firstPassShards  []bool   // by shard modulo their number: some replica answers first passes
	runningServers   int
}

// EnableTwoPass has queries of some classes decided in one pass or in two.
func (p *Picker) EnableTwoPass(classes map[string]twopass.Settings) {
	p.twoPass.decider = twopass.New(p.module.seed+1, classes)
	p.twoPass.answersFirstPass = map[uint32]bool{}
	p.twoPass.queries = map[uint64]*Query{}
}

// SetAnswersFirstPass hands in whether a server was found to answer first passes.
func (p *Picker) SetAnswersFirstPass(server uint32, answers bool) {
	p.intake.enqueue(func(in *inbox) {
		if in.answersFirstPass == nil {
			in.answersFirstPass = map[uint32]bool{}
		}
		in.answersFirstPass[server] = answers
	})
}

// applyFirstPassServers marks in the endpoint lists which servers answer first passes. A server that has restarted
// counts as one that does not until it is found to again.
func (p *Picker) applyFirstPassServers(in *inbox) {
	t := &p.twoPass
	if t.decider == nil || len(in.EndpointLists) == 0 && len(in.answersFirstPass) == 0 {
		return
	}
	var changed gather.EndpointList
	for _, id := range p.endpoints.order {
		if answers, found := in.answersFirstPass[id]; found && answers != t.answersFirstPass[id] {
			t.answersFirstPass[id] = answers
			changed.Endpoints = append(changed.Endpoints, p.endpoints.byID[id])
		}
	}
	if len(changed.Endpoints) > 0 {
		in.EndpointLists = append(in.EndpointLists, changed)
	}
	rewriteEndpoints(in.EndpointLists, func(e *gather.Endpoint) { e.AnswersFirstPass = t.answersFirstPass[e.ID] })
	for id := range t.answersFirstPass {
		if _, listed := p.endpoints.byID[id]; !listed {
			delete(t.answersFirstPass, id)
		}
	}
	t.countServers(&p.endpoints, p.settings)
}

// countServers counts the running servers and finds the shards of which some replica answers first passes.
func (t *twoPassState) countServers(endpoints *endpointTable, settings *gather.Settings) {
	replicaSets := max(settings.ReplicaSets, 1)
	perShard := max(settings.ReplicaSetsPerShard, 1)
	t.firstPassShards = make([]bool, replicaSets)
	t.runningServers = 0
	for _, id := range endpoints.order {
		e := endpoints.byID[id]
		if e.State != gather.Running {
			continue
		}
		t.runningServers++
		if !t.answersFirstPass[id] || e.ReplicaSet < 0 || e.ReplicaSet >= replicaSets {
			continue
		}
		for offset := range perShard {
			shard := ((e.ReplicaSet-offset)%replicaSets + replicaSets) % replicaSets
			t.firstPassShards[shard] = true
		}
	}
}

// answersShard reports whether some replica of a shard answers first passes.
func (t *twoPassState) answersShard(shard int) bool {
	return len(t.firstPassShards) > 0 && t.firstPassShards[shard%len(t.firstPassShards)]
}

// startQuery hands an admitted query to the module, or its first pass.
func (p *Picker) startQuery(in *gather.Round, query *Query, now float64) {
	query.admittedAt = now
	query.generation = p.policy.generation
	if p.rejectUnrecorded(query) {
		return
	}
	t := &p.twoPass
	if t.decider == nil || p.ownership != nil || !t.decider.Enabled(query.Class) { // pieces go in one pass
		p.observeAdmitted(query, nil, now)
		p.addToRound(in, query)
		return
	}
	first := p.firstPassOf(query)
	decision := t.decider.Decide(now, twopass.Query{
		Class:             query.Class,
		ShardRequests:     len(query.ShardRequests),
		FirstPassRequests: len(first.ShardRequests),
		Deadline:          query.Deadline,
		RunningServers:    t.runningServers,
		RetryBudgetLeft:   p.module.RetryBudgetLeft() - logic.FirstPassRetryReserve*firstPassRequestsIn(in),
	})
	p.observeAdmitted(query, &decision, now)
	if !decision.TwoPass {
		p.addToRound(in, query)
		return
	}
	query.twoPass = &passProgress{current: first, outcomes: make([]twopass.FirstPassOutcome, len(query.ShardRequests))}
	for i, r := range query.ShardRequests {
		query.twoPass.outcomes[i].Weight = r.Weight
	}
	first.Deadline = min(decision.FirstPassDeadline+deadlineRounds*p.schedule.interval, query.Deadline)
	first.pass.fullCallExtra = decision.FullCallExtra
	first.assignID(p.intake.allocate(first.size()))
	t.queries[query.id] = query
	p.addToRound(in, first)
}

func (p *Picker) observeAdmitted(query *Query, decision *twopass.Decision, at float64) {
	for _, o := range p.observers.decisions {
		o.QueryAdmitted(query, decision, at)
	}
}

// firstPassOf returns a first pass over the shards that answer one. The others count as received: the first pass does
// not wait for them.
func (p *Picker) firstPassOf(query *Query) *Query {
	first := query.newPass(gather.FirstPass)
	for i, r := range query.ShardRequests {
		if p.twoPass.answersShard(r.Shard) {
			first.addFromParent(i)
		} else {
			first.pass.receivedWeight += r.Weight
		}
	}
	return first
}

// firstPassRequestsIn counts the shard requests of first passes in a round, for which the module has not held back
// any retries yet.
func firstPassRequestsIn(in *gather.Round) (n float64) {
	first := map[uint64]bool{}
	for _, query := range in.Queries {
		first[query.Number] = query.Pass == gather.FirstPass
	}
	for _, request := range in.Requests {
		if first[request.Number] {
			n++
		}
	}
	return n
}

// addSecondPasses hands the pending second passes to the module.
func (p *Picker) addSecondPasses(in *gather.Round) {
	for _, second := range p.twoPass.pending {
		p.addToRound(in, second)
	}
	clear(p.twoPass.pending)
	p.twoPass.pending = p.twoPass.pending[:0]
}

// abandonPasses replaces the IDs of two-pass queries by those of the passes that the module decides on.
func (t *twoPassState) abandonPasses(ids []uint64) {
	for i, id := range ids {
		if query := t.queries[id]; query != nil && query.twoPass.current != nil {
			ids[i] = query.twoPass.current.id
		}
	}
}

// recordSummary keeps a summary of a first pass. One that comes after the pass has ended proves nothing.
func (q *Query) recordSummary(index int, summary *twopass.Summary) {
	progress := q.pass.parent.twoPass
	if progress.current != q {
		return
	}
	outcome := &progress.outcomes[q.pass.parentIndexes[index]]
	outcome.Answered = true
	outcome.ProvedEmpty = summary.Empty
	outcome.Likelihood = summary.Likelihood
}

// finishPass goes on after a pass has ended: with its parent's result or with the second pass.
func (p *Picker) finishPass(ended *Query, result Result) {
	query := ended.pass.parent
	if result.Kind == InternalError || result.Kind == Abandoned || ended.pass.kind == gather.SecondPass {
		result.EmptyShards = query.emptyShards()
		p.finishTwoPass(query, result)
		return
	}
	outcomes := query.twoPass.outcomes
	for i, index := range ended.pass.parentIndexes {
		outcomes[index].Attempted = len(ended.attempts[i]) > 0
	}
	plan := p.twoPass.decider.PlanSecondPass(query.Class, outcomes)
	for _, o := range p.observers.decisions {
		o.FirstPassEnded(query, &plan, p.schedule.lastAt)
	}
	if plan.Done {
		p.finishTwoPass(query, Result{Kind: Served, Complete: plan.Complete, EmptyShards: query.emptyShards()})
		return
	}
	p.startSecondPass(query, &plan)
}

// startSecondPass leaves a second pass for the next round.
func (p *Picker) startSecondPass(query *Query, plan *twopass.Plan) {
	second := query.newPass(gather.SecondPass)
	second.pass.parentAdmittedAt = query.admittedAt
	second.pass.receivedWeight = plan.ProvedWeight
	second.pass.requests = plan.Requests
	for _, planned := range plan.Requests {
		second.addFromParent(planned.Index)
		second.Cost += query.ShardRequests[planned.Index].Cost
	}
	second.assignID(p.intake.allocate(second.size()))
	query.twoPass.current = second
	p.twoPass.pending = append(p.twoPass.pending, second)
	p.Wake()
}

// emptyShards are the shards that a first pass proved to hold nothing.
func (q *Query) emptyShards() (shards []int) {
	for i, outcome := range q.twoPass.outcomes {
		if outcome.Answered && outcome.ProvedEmpty {
			shards = append(shards, q.ShardRequests[i].Shard)
		}
	}
	return shards
}

func (p *Picker) finishTwoPass(query *Query, result Result) {
	delete(p.twoPass.queries, query.id)
	query.twoPass.current = nil
	p.queries.finished = append(p.queries.finished, query)
	p.deliver(query, result)
}
