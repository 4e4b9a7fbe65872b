package dispatch

import (
	"yokeroute/gather"
	"yokeroute/logic"
	"yokeroute/logic/twopass"
)

// deadlineMarginRounds is the number of round intervals before its deadline at which a query ends. The deadline of a
// first pass is extended by as many, so that the first pass itself ends on time.
const deadlineMarginRounds = 3

// pass describes one pass of a client's query. The module decides on the pass, which is a Query of its own, in place
// of the parent.
type pass struct {
	parent           *Query // nil for a client's query
	kind             gather.Pass
	parentAdmittedAt float64
	receivedWeight   float64                  // weight of the parent's shard requests that the pass leaves out
	fullCallExtra    float64                  // first pass only: how much longer a full request takes
	parentIndexes    []int                    // for each shard request of the pass, its index in the parent
	requests         []twopass.PlannedRequest // second pass only: the plan for each shard request
}

// newPass returns a new pass of q that has no shard requests yet.
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

// addFromParent adds the parent's shard request at index to the pass.
func (q *Query) addFromParent(index int) {
	q.ShardRequests = append(q.ShardRequests, q.pass.parent.ShardRequests[index])
	q.pass.parentIndexes = append(q.pass.parentIndexes, index)
}

// root returns the client's query: the parent of a pass, else q itself.
func (q *Query) root() *Query {
	if q.pass.parent != nil {
		return q.pass.parent
	}
	return q
}

// passProgress tracks the passes of a two-pass query.
type passProgress struct {
	current  *Query                     // the pass that the module decides on, or that waits for the next round
	outcomes []twopass.FirstPassOutcome // indexed by shard request of the client's query
}

// twoPassState holds the picker's state for two-pass queries.
type twoPassState struct {
	decider          *twopass.Decider  // nil if two-pass decisions are disabled
	answersFirstPass map[uint32]bool   // keyed by server
	queries          map[uint64]*Query // open two-pass queries, keyed by module ID
	pending          []*Query          // second passes that wait for the next round
	firstPassShards  []bool            // indexed by shard modulo length: true if some replica answers first passes
	runningServers   int
}

// EnableTwoPass lets queries of the given classes run in one pass or in two, as twopass.Decider decides.
func (p *Picker) EnableTwoPass(classes map[string]twopass.Settings) {
	p.twoPass.decider = twopass.New(p.module.seed+1, classes)
	p.twoPass.answersFirstPass = map[uint32]bool{}
	p.twoPass.queries = map[uint64]*Query{}
}

// SetAnswersFirstPass queues the result of a check whether a server answers first passes.
func (p *Picker) SetAnswersFirstPass(server uint32, answers bool) {
	p.intake.enqueue(func(in *inbox) {
		if in.answersFirstPass == nil {
			in.answersFirstPass = map[uint32]bool{}
		}
		in.answersFirstPass[server] = answers
	})
}

// applyFirstPassServers marks in the endpoint lists which servers answer first passes. A server that has restarted
// counts as not answering them until a new check finds that it does.
func (p *Picker) applyFirstPassServers(in *inbox) {
	t := &p.twoPass
	if t.decider == nil || len(in.EndpointLists) == 0 && len(in.answersFirstPass) == 0 {
		return
	}
	var changed gather.EndpointList
	for _, id := range p.endpoints.order {
		if answers, found := in.answersFirstPass[id]; found && answers != t.answersFirstPass[id] {
			t.answersFirstPass[id] = answers
			changed.Endpoints = append(changed.Endpoints, p.endpoints.byID[id].Endpoint)
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

// countServers counts the running servers and determines the shards with a replica that answers first passes.
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

// shardAnswersFirstPass reports whether some replica of the shard answers first passes.
func (t *twoPassState) shardAnswersFirstPass(shard int) bool {
	return len(t.firstPassShards) > 0 && t.firstPassShards[shard%len(t.firstPassShards)]
}

// startQuery passes an admitted query, or its first pass, to the module.
func (p *Picker) startQuery(in *gather.Round, query *Query, now float64) {
	query.admittedAt = now
	query.generation = p.policy.generation
	if p.rejectUnrecorded(query) {
		return
	}
	t := &p.twoPass
	if t.decider == nil || p.ownership != nil || !t.decider.Enabled(query.Class) {
		// Queries that are split into pieces by owner run in one pass too.
		p.observeAdmitted(query, nil, now)
		p.addToRound(in, query)
		return
	}
	firstPass := p.firstPassOf(query)
	decision := t.decider.Decide(now, twopass.Query{
		Class:             query.Class,
		ShardRequests:     len(query.ShardRequests),
		FirstPassRequests: len(firstPass.ShardRequests),
		Deadline:          query.Deadline,
		RunningServers:    t.runningServers,
		RetryBudgetLeft:   p.module.RetryBudgetLeft() - logic.FirstPassRetryReserve*firstPassRequestsIn(in),
	})
	p.observeAdmitted(query, &decision, now)
	if !decision.TwoPass {
		p.addToRound(in, query)
		return
	}
	query.twoPass = &passProgress{current: firstPass, outcomes: make([]twopass.FirstPassOutcome, len(query.ShardRequests))}
	for i, r := range query.ShardRequests {
		query.twoPass.outcomes[i].Weight = r.Weight
	}
	firstPass.Deadline = min(decision.FirstPassDeadline+deadlineMarginRounds*p.schedule.interval, query.Deadline)
	firstPass.pass.fullCallExtra = decision.FullRequestExtra
	firstPass.assignID(p.intake.allocate(firstPass.size()))
	t.queries[query.id] = query
	p.addToRound(in, firstPass)
}

func (p *Picker) observeAdmitted(query *Query, decision *twopass.Decision, now float64) {
	for _, o := range p.observers.decisions {
		o.QueryAdmitted(query, decision, now)
	}
}

// firstPassOf returns a first pass over those shards of a query that answer first passes. The weight of the others
// counts as received, because the first pass does not wait for them.
func (p *Picker) firstPassOf(query *Query) *Query {
	firstPass := query.newPass(gather.FirstPass)
	for i, r := range query.ShardRequests {
		if p.twoPass.shardAnswersFirstPass(r.Shard) {
			firstPass.addFromParent(i)
		} else {
			firstPass.pass.receivedWeight += r.Weight
		}
	}
	return firstPass
}

// firstPassRequestsIn counts the shard requests of first passes in a round that the module has not run yet. The module
// has therefore not yet reserved any of its retry budget for them.
func firstPassRequestsIn(in *gather.Round) (n float64) {
	isFirstPass := map[uint64]bool{}
	for _, query := range in.Queries {
		isFirstPass[query.Number] = query.Pass == gather.FirstPass
	}
	for _, request := range in.Requests {
		if isFirstPass[request.Number] {
			n++
		}
	}
	return n
}

// addSecondPasses passes the pending second passes to the module.
func (p *Picker) addSecondPasses(in *gather.Round) {
	for _, second := range p.twoPass.pending {
		p.addToRound(in, second)
	}
	clear(p.twoPass.pending)
	p.twoPass.pending = p.twoPass.pending[:0]
}

// replaceAbandonedIDs replaces the IDs of abandoned two-pass queries by those of their current passes, because the
// module knows only the passes.
func (t *twoPassState) replaceAbandonedIDs(ids []uint64) {
	for i, id := range ids {
		if query := t.queries[id]; query != nil && query.twoPass.current != nil {
			ids[i] = query.twoPass.current.id
		}
	}
}

// recordSummary stores a shard's summary from a first pass. It ignores a summary that arrives after the pass has
// ended.
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

// finishPass continues a two-pass query after one of its passes has ended: it delivers the query's result or starts
// the second pass.
func (p *Picker) finishPass(endedPass *Query, result Result) {
	query := endedPass.pass.parent
	if result.Kind == InternalError || result.Kind == Abandoned || endedPass.pass.kind == gather.SecondPass {
		result.EmptyShards = query.emptyShards()
		p.finishTwoPass(query, result)
		return
	}
	outcomes := query.twoPass.outcomes
	for i, index := range endedPass.pass.parentIndexes {
		outcomes[index].Attempted = len(endedPass.attempts[i]) > 0
	}
	plan := p.twoPass.decider.PlanSecondPass(query.Class, outcomes)
	for _, o := range p.observers.decisions {
		o.FirstPassEnded(query, &plan, p.schedule.lastRoundAt)
	}
	if plan.Done {
		p.finishTwoPass(query, Result{Kind: Served, Complete: plan.Complete, EmptyShards: query.emptyShards()})
		return
	}
	p.startSecondPass(query, &plan)
}

// startSecondPass queues a query's second pass for the next round.
func (p *Picker) startSecondPass(query *Query, plan *twopass.Plan) {
	secondPass := query.newPass(gather.SecondPass)
	secondPass.pass.parentAdmittedAt = query.admittedAt
	secondPass.pass.receivedWeight = plan.ProvedWeight
	secondPass.pass.requests = plan.Requests
	for _, planned := range plan.Requests {
		secondPass.addFromParent(planned.Index)
		secondPass.Cost += query.ShardRequests[planned.Index].Cost
	}
	secondPass.assignID(p.intake.allocate(secondPass.size()))
	query.twoPass.current = secondPass
	p.twoPass.pending = append(p.twoPass.pending, secondPass)
	p.Wake()
}

// emptyShards returns the shards that the first pass proved to hold no match.
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
