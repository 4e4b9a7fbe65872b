// Package pick is the decision module in blocking style, for network code that knows nothing of rounds.
//
// Pick hands a lookup in and blocks until its final answer is decided. Tick blocks until a round is due,
// runs it and gives back the part calls that it decided on. Report tells how a part call ended. One
// goroutine, the one that calls Tick, owns the module; the others only leave what they have to say for it.
package dispatch

import (
	"context"
	"math"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/logic"
	"yokeroute/logic/twopass"
)

// Picker stands between the network and one decision module.
type Picker struct {
	settings      *gather.Settings
	roundInterval float64
	maxHeld       int // lookups and parts held at once, 0 for no limit
	startedAt     time.Time
	startedAtUnix float64        // of start, in milliseconds
	clock         func() float64 // in place of both, for rounds that are played
	log           *logrus.Logger
	listRequested chan struct{}
	wake          chan struct{}

	mu     sync.Mutex
	inbox  inbox
	held   int
	nextID uint64

	// The rest belongs to the goroutine that calls Tick.
	spareInbox        inbox
	seed              uint64
	module            gather.Module
	newModule         func(seed uint64, settings *gather.Settings) gather.Module
	lastRoundAt       float64
	wakeAt            float64
	queries           map[uint64]*Query
	shardRequests     map[uint64]shardRequestRef
	finished          []*Query
	actions           Actions
	weights           [][]gather.Weight  // in force, for a module that has to start anew
	twoPass           twoPassState       // lookups in two phases
	store             NonIdempotentStore // nil where nothing outlasts the process
	ownership         *ownershipState    // nil where no map says who owns which keys
	refusedPieces     []uint64           // pieces refused since the last round
	gate              PolicyGate         // nil where no policy is followed
	generation        uint64             // in which lookups are decided now
	blockedRevision   uint64             // the governor's news that were taken over
	weighted          bool               // it has some servers get fewer turns
	retryBudget       *retryBudget
	decisionObservers []DecisionObserver
	wireObservers     []WireObserver
	endpoints         map[uint32]gather.Endpoint
	endpointOrder     []uint32 // of servers, in the order in which they were first told
}

// shardRequestRef is a part's lookup and its place in it.
type shardRequestRef struct {
	query *Query
	index int
}

// inbox is what has come in since the last round.
type inbox struct {
	gather.Round
	admitted         []*Query
	attemptEnds      []attemptEnd
	answersFirstPass map[uint32]bool // servers that were found to answer first passes or not to
	viewRequests     []chan<- []gather.EndpointView
	mapUpdates       []mapUpdate
	serverNames      map[uint32]string
	waiting          bool
}

// attemptEnd is a call that has ended, with the value that came.
type attemptEnd struct {
	attempt *Attempt
	outcome gather.Outcome
	waited  float64
	value   []byte
	summary twopass.Summary
}

func build(seed uint64, settings *gather.Settings) gather.Module { return logic.New(seed, settings) }

// New starts a module that knows only its terms.
func New(seed uint64, settings *gather.Settings, log *logrus.Logger) *Picker {
	start := time.Now()
	return &Picker{newModule: build, retryBudget: newRetryBudget(settings), settings: settings, roundInterval: max(settings.Tick, 1), maxHeld: settings.MaxOpenRequests, startedAt: start,
		startedAtUnix: float64(start.UnixNano()) / 1e6, log: log, listRequested: make(chan struct{}, 1), wake: make(chan struct{}, 1),
		seed: seed, module: build(seed, settings), wakeAt: math.Inf(1), queries: map[uint64]*Query{},
		shardRequests: map[uint64]shardRequestRef{}, endpoints: map[uint32]gather.Endpoint{}}
}

// SilenceTimeout is for how long nothing may be heard on a connection with calls out before the next call gets another,
// in milliseconds: a decision, and so the module's.
func SilenceTimeout(settings *gather.Settings) float64 {
	shortest := math.Inf(1)
	for _, index := range settings.ClassNames() {
		shortest = min(shortest, settings.Class(index).LatencyObjective)
	}
	return logic.Silence * shortest
}

// Now is the module's time: Unix milliseconds, so that it compares with the times of discovery, moved on by
// the monotonic clock, against one that is set while lookups are held.
func (p *Picker) Now() float64 {
	if p.clock != nil {
		return p.clock()
	}
	return p.startedAtUnix + float64(time.Since(p.startedAt))/1e6
}

// EndpointListRequested tells when the module asks for the list.
func (p *Picker) EndpointListRequested() <-chan struct{} { return p.listRequested }

// enqueue leaves something for the next round.
func (p *Picker) enqueue(put func(in *inbox)) {
	p.mu.Lock()
	put(&p.inbox)
	p.inbox.waiting = true
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default: // the owner has been called already
	}
}

// UpdateEndpoints hands in news of the list.
func (p *Picker) UpdateEndpoints(list gather.EndpointList) {
	p.enqueue(func(in *inbox) { in.EndpointLists = append(in.EndpointLists, list) })
}

// SetWeights hands in weights of turns by group; empty ones for plain turns. They belong to the module from then on.
func (p *Picker) SetWeights(weights [][]gather.Weight) {
	p.enqueue(func(in *inbox) { in.Weights = weights })
}

// Report tells how a part call ended, with the value that came. Only the first report of a call counts: one
// that was given up may still be answered.
func (p *Picker) Report(c *Attempt, outcome gather.Outcome, text []byte) {
	if !c.ended.CompareAndSwap(false, true) {
		return
	}
	c.provedNotRun.Store(outcome.NeverExecuted())
	e := attemptEnd{attempt: c, outcome: outcome, waited: p.Now() - c.decidedAt, value: text}
	if c.FirstPass() && outcome == gather.Succeeded {
		var err error
		if e.summary, err = twopass.ParseSummary(text); err != nil {
			p.log.WithError(err).WithField("server", c.Server).Warn("first pass: an answer that proves nothing")
			e.outcome = gather.Failed
		}
	}
	ending := gather.AttemptResult{Request: c.moduleID, Server: c.Server, Attempt: c.number,
		Elapsed: e.waited, Outcome: e.outcome, Finished: e.outcome == gather.Succeeded}
	if e.outcome == gather.NotOwner { // no fault of the server's: it is as if nothing had been sent
		ending.Outcome = gather.NotSent
	}
	p.enqueue(func(in *inbox) {
		in.Results = append(in.Results, ending)
		in.attemptEnds = append(in.attemptEnds, e)
	})
}

// ReportHealthCheck tells what came of a probe.
func (p *Picker) ReportHealthCheck(s gather.HealthCheckResult) {
	p.enqueue(func(in *inbox) { in.HealthChecks = append(in.HealthChecks, s) })
}

// Pick hands a lookup in and blocks until its final answer is decided, or until ctx ends because its client
// has gone. When it returns, no part call of the lookup is being written or will be.
func (p *Picker) Pick(ctx context.Context, lk *Query) Result {
	if !p.admit(lk) { // the platform's own limit, which the simulator keeps in front of the module
		return Result{Kind: Rejected}
	}
	v := Result{Kind: InternalError} // where the request panics here, it is answered as failed
	defer func() {
		lk.seal()
		for _, w := range p.wireObservers {
			w.QueryAnswered(lk, v, p.Now())
		}
	}()
	select {
	case v = <-lk.result:
		v = p.reviewResult(lk, v)
	case <-ctx.Done():
		v.Kind = Abandoned
		p.enqueue(func(in *inbox) { in.Abandoned = append(in.Abandoned, lk.id) })
	}
	return v
}

// admit leaves a lookup for the next round, unless too much is held already.
func (p *Picker) admit(lk *Query) bool {
	size := 1 + len(lk.ShardRequests)
	p.mu.Lock()
	full := p.maxHeld > 0 && p.held+size > p.maxHeld
	if !full {
		p.held += size
		lk.assignIDs(&p.nextID)
	}
	p.mu.Unlock()
	if full {
		return false
	}
	lk.result = make(chan Result, 1)
	p.retryBudget.admit(p.Now(), size)
	p.enqueue(func(in *inbox) { in.admitted = append(in.admitted, lk) })
	return true
}

// assignIDs gives a lookup its ref, and its parts theirs behind it.
func (lk *Query) assignIDs(next *uint64) {
	lk.id = *next
	*next += uint64(1 + len(lk.ShardRequests))
	lk.values, lk.attempts = make([][]byte, len(lk.ShardRequests)), make([][]*Attempt, len(lk.ShardRequests))
}

// addToRound gives a lookup, or a pass of one, to the module with the round.
func (p *Picker) addToRound(in *gather.Round, lk *Query) {
	p.queries[lk.id] = lk
	in.Queries = append(in.Queries, gather.Query{ID: lk.id, Number: lk.id, Class: lk.Class, Tenant: lk.Tenant,
		Cost: lk.Cost, Key: lk.RouteKey, Deadline: lk.Deadline, Retry: lk.Retried, Pass: lk.kind, ArrivedAt: lk.parentAdmittedAt, ReceivedWeight: lk.completedWeight, FullCallExtra: lk.lead})
	if p.ownership != nil {
		p.splitByOwner(in, lk)
		return
	}
	for i, pt := range lk.ShardRequests {
		ref := lk.id + 1 + uint64(i)
		p.shardRequests[ref] = shardRequestRef{lk, i}
		part := gather.ShardRequest{ID: ref, Number: lk.id, Shard: pt.Shard, Weight: pt.Weight, Cost: pt.Cost, Key: pt.Key}
		if lk.requests != nil {
			part.Retry, part.OrderPenalty = lk.requests[i].Retry, lk.requests[i].OrderPenalty
		}
		in.Requests = append(in.Requests, part)
	}
}

// RunRound blocks until a round is due, runs it and gives its orders. Rounds are a tick apart at least, as the
// module's terms have it; all that came in meanwhile goes into one.
func (p *Picker) RunRound(ctx context.Context) (Actions, error) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		p.mu.Lock()
		waiting := p.inbox.waiting
		p.mu.Unlock()
		at, now := p.wakeAt, p.Now()
		if waiting {
			at = min(at, now)
		}
		at = max(at, p.lastRoundAt+p.roundInterval)
		if now >= at {
			return p.runRound(now), nil
		}
		var due <-chan time.Time
		if !math.IsInf(at, 1) {
			timer.Reset(time.Duration((at-now)*1e6) + 1)
			due = timer.C
		}
		select {
		case <-ctx.Done():
			return Actions{}, ctx.Err()
		case <-p.wake:
		case <-due:
		}
	}
}

// runRound runs the module once on all that waits.
func (p *Picker) runRound(now float64) Actions {
	p.mu.Lock()
	in := p.inbox
	p.inbox = p.spareInbox
	p.mu.Unlock()
	p.lastRoundAt, p.actions = now, Actions{}
	if p.wakeAt <= now {
		p.wakeAt = math.Inf(1)
	}
	for i := range in.EndpointLists {
		p.applyEndpointList(&in.EndpointLists[i])
	}
	if in.Weights != nil {
		p.weights = in.Weights
	}
	if p.gate != nil {
		p.applyPolicy(&in.Round, now)
	}
	p.applyFirstPassServers(&in)
	news := p.ownership != nil && p.applyMapUpdates(&in)
	for _, e := range in.attemptEnds {
		p.recordEnd(now, &e)
	}
	if p.ownership != nil {
		p.reassignPieces(&in.Round, news, now)
	}
	p.addSecondPasses(&in.Round)
	for _, lk := range in.admitted {
		p.startQuery(&in.Round, lk, now)
	}
	for i, ref := range in.Abandoned { // the module holds a pass in the place of a lookup in two phases
		if lk := p.twoPass.queries[ref]; lk != nil && lk.twoPass.current != nil {
			in.Abandoned[i] = lk.twoPass.current.id
		}
	}
	in.Now = now
	p.runModule(&in.Round)
	p.recordNonIdempotent(now)
	if p.gate != nil {
		p.reportDrained()
	}
	for _, to := range in.viewRequests {
		if m, can := p.module.(interface{ View() []gather.EndpointView }); can {
			to <- m.View()
		}
		close(to)
	}
	for _, ref := range in.Abandoned {
		p.finish(p.queries[ref], Result{Kind: Abandoned})
	}
	p.releaseFinished()
	r := in.Round
	clear(in.admitted)
	clear(in.attemptEnds)
	p.spareInbox = inbox{Round: gather.Round{EndpointLists: r.EndpointLists[:0], Queries: r.Queries[:0], Requests: r.Requests[:0],
		Results: r.Results[:0], HealthChecks: r.HealthChecks[:0], Abandoned: r.Abandoned[:0]}, admitted: in.admitted[:0], attemptEnds: in.attemptEnds[:0]}
	return p.actions
}

// runModule keeps a panic of the module from ending the process: what the module held is answered as failed, and
// a new one goes on from the list, as after a restart.
func (p *Picker) runModule(in *gather.Round) {
	defer func() {
		if fault := recover(); fault != nil {
			p.log.WithField("stack", string(debug.Stack())).Errorf("decision module: %v; starting it anew", fault)
			p.actions = Actions{}
			for _, lk := range p.queries {
				p.finish(lk, Result{Kind: InternalError})
				for _, calls := range lk.attempts {
					for _, c := range calls {
						p.cancelAttempt(c)
					}
				}
			}
			p.seed++
			p.module, p.wakeAt = p.newModule(p.seed, p.settings), math.Inf(1)
			p.UpdateEndpoints(p.fullEndpointList())
			if p.weights != nil {
				p.SetWeights(p.weights)
			}
		}
	}()
	p.module.Round(in, writer{p})
}

// applyEndpointList keeps the list for a module that has to start anew.
func (p *Picker) applyEndpointList(l *gather.EndpointList) {
	if l.Full {
		clear(p.endpoints)
		p.endpointOrder = p.endpointOrder[:0]
	}
	for _, e := range l.Endpoints {
		_, known := p.endpoints[e.ID]
		switch {
		case e.State == gather.Removed: // against keeping all servers that there ever were
			delete(p.endpoints, e.ID)
			p.endpointOrder = slices.DeleteFunc(p.endpointOrder, func(id uint32) bool { return id == e.ID })
			continue
		case !known:
			p.endpointOrder = append(p.endpointOrder, e.ID)
		case p.endpoints[e.ID].StartedAt != e.StartedAt: // another process, which may be of another build
			delete(p.twoPass.answersFirstPass, e.ID)
		}
		p.endpoints[e.ID] = e
	}
}

// fullEndpointList is the list as it stands.
func (p *Picker) fullEndpointList() gather.EndpointList {
	all := gather.EndpointList{Full: true}
	for _, id := range p.endpointOrder {
		all.Endpoints = append(all.Endpoints, p.endpoints[id])
	}
	return all
}

func (p *Picker) cancelAttempt(c *Attempt) {
	c.cancelled.Store(true)
	if !c.ended.Load() {
		p.actions.Cancel = append(p.actions.Cancel, c)
	}
}

// finish hands a lookup its verdict, once.
func (p *Picker) finish(lk *Query, v Result) {
	if lk == nil || p.queries[lk.id] == nil {
		return
	}
	delete(p.queries, lk.id)
	p.finished = append(p.finished, lk)
	for _, calls := range lk.attempts {
		for _, c := range calls {
			if !c.ended.Load() {
				p.actions.StopWriting = append(p.actions.StopWriting, c)
			}
		}
	}
	if lk.parent != nil {
		p.finishPass(lk, v)
		return
	}
	p.deliver(lk, v)
}

// deliver hands a client its verdict.
func (p *Picker) deliver(lk *Query, v Result) {
	p.recordNotRun(lk, v)
	for _, t := range p.decisionObservers {
		t.QueryDecided(lk, v, p.lastRoundAt)
	}
	lk.result <- v
}

// releaseFinished lets go of the lookups that the round has ended; until then their calls can be given up by name.
func (p *Picker) releaseFinished() {
	freed := 0
	for _, lk := range p.finished {
		for i := range lk.attempts {
			delete(p.shardRequests, lk.moduleID(i))
		}
		if lk.parent == nil { // a pass is held in the place of its lookup
			freed += 1 + len(lk.ShardRequests)
		}
	}
	clear(p.finished)
	p.finished = p.finished[:0]
	p.mu.Lock()
	p.held -= freed
	p.mu.Unlock()
}
