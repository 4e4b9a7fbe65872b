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
	"yokeroute/logic/phases"
)

// Picker stands between the network and one decision module.
type Picker struct {
	settings *gather.Settings
	tick     float64
	most     int // lookups and parts held at once, 0 for no limit
	start    time.Time
	unix     float64        // of start, in milliseconds
	clock    func() float64 // in place of both, for rounds that are played
	log      *logrus.Logger
	asked    chan struct{}
	news     chan struct{}

	mu    sync.Mutex
	inbox inbox
	held  int
	ref   uint64

	// The rest belongs to the goroutine that calls Tick.
	spare     inbox
	seed      uint64
	module    gather.Module
	build     func(seed uint64, settings *gather.Settings) gather.Module
	ranAt     float64
	wakeAt    float64
	lookups   map[uint64]*Lookup
	parts     map[uint64]place
	ended     []*Lookup
	orders    Orders
	weights   [][]gather.Weight // in force, for a module that has to start anew
	twice     twice             // lookups in two phases
	ledger    Ledger            // nil where nothing outlasts the process
	owned     *owned            // nil where no map says who owns which keys
	refused   []uint64          // pieces refused since the last round
	governor  Governor          // nil where no policy is followed
	way       uint64            // in which lookups are decided now
	governed  uint64            // the governor's news that were taken over
	turned    bool              // it has some servers get fewer turns
	retries   *retryBudget
	traces    []Tracer
	witnesses []Witness
	servers   map[uint32]gather.Endpoint
	ids       []uint32 // of servers, in the order in which they were first told
}

// place is a part's lookup and its place in it.
type place struct {
	lk   *Lookup
	part int
}

// inbox is what has come in since the last round.
type inbox struct {
	gather.Round
	taken   []*Lookup
	ends    []ended
	speak   map[uint32]bool // servers that were found to answer first passes or not to
	views   []chan<- []gather.EndpointView
	maps    []mapNews
	names   map[uint32]string
	waiting bool
}

// ended is a call that has ended, with the value that came.
type ended struct {
	call    *Call
	outcome gather.Outcome
	waited  float64
	text    []byte
	summary phases.Summary
}

func build(seed uint64, settings *gather.Settings) gather.Module { return logic.New(seed, settings) }

// New starts a module that knows only its terms.
func New(seed uint64, settings *gather.Settings, log *logrus.Logger) *Picker {
	start := time.Now()
	return &Picker{build: build, retries: newRetryBudget(settings), settings: settings, tick: max(settings.Tick, 1), most: settings.MaxOpenRequests, start: start,
		unix: float64(start.UnixNano()) / 1e6, log: log, asked: make(chan struct{}, 1), news: make(chan struct{}, 1),
		seed: seed, module: build(seed, settings), wakeAt: math.Inf(1), lookups: map[uint64]*Lookup{},
		parts: map[uint64]place{}, servers: map[uint32]gather.Endpoint{}}
}

// Silence is for how long nothing may be heard on a connection with calls out before the next call gets another,
// in milliseconds: a decision, and so the module's.
func Silence(settings *gather.Settings) float64 {
	shortest := math.Inf(1)
	for _, index := range settings.ClassNames() {
		shortest = min(shortest, settings.Class(index).LatencyObjective)
	}
	return logic.ConnectionSilenceShare * shortest
}

// Now is the module's time: Unix milliseconds, so that it compares with the times of discovery, moved on by
// the monotonic clock, against one that is set while lookups are held.
func (p *Picker) Now() float64 {
	if p.clock != nil {
		return p.clock()
	}
	return p.unix + float64(time.Since(p.start))/1e6
}

// Asked tells when the module asks for the list.
func (p *Picker) Asked() <-chan struct{} { return p.asked }

// tell leaves something for the next round.
func (p *Picker) tell(put func(in *inbox)) {
	p.mu.Lock()
	put(&p.inbox)
	p.inbox.waiting = true
	p.mu.Unlock()
	select {
	case p.news <- struct{}{}:
	default: // the owner has been called already
	}
}

// Follow hands in news of the list.
func (p *Picker) Follow(list gather.EndpointList) {
	p.tell(func(in *inbox) { in.EndpointLists = append(in.EndpointLists, list) })
}

// Weigh hands in weights of turns by group; empty ones for plain turns. They belong to the module from then on.
func (p *Picker) Weigh(weights [][]gather.Weight) {
	p.tell(func(in *inbox) { in.Weights = weights })
}

// Report tells how a part call ended, with the value that came. Only the first report of a call counts: one
// that was given up may still be answered.
func (p *Picker) Report(c *Call, outcome gather.Outcome, text []byte) {
	if !c.told.CompareAndSwap(false, true) {
		return
	}
	c.unrun.Store(outcome.NeverExecuted())
	e := ended{call: c, outcome: outcome, waited: p.Now() - c.at, text: text}
	if c.First() && outcome == gather.Succeeded {
		var err error
		if e.summary, err = phases.ParseSummary(text); err != nil {
			p.log.WithError(err).WithField("server", c.Server).Warn("first pass: an answer that proves nothing")
			e.outcome = gather.Failed
		}
	}
	ending := gather.AttemptResult{Request: c.ref, Server: c.Server, Attempt: c.number,
		Elapsed: e.waited, Outcome: e.outcome, Finished: e.outcome == gather.Succeeded}
	if e.outcome == gather.NotOwner { // no fault of the server's: it is as if nothing had been sent
		ending.Outcome = gather.NotSent
	}
	p.tell(func(in *inbox) {
		in.Results = append(in.Results, ending)
		in.ends = append(in.ends, e)
	})
}

// Sample tells what came of a probe.
func (p *Picker) Sample(s gather.HealthCheckResult) {
	p.tell(func(in *inbox) { in.HealthChecks = append(in.HealthChecks, s) })
}

// Pick hands a lookup in and blocks until its final answer is decided, or until ctx ends because its client
// has gone. When it returns, no part call of the lookup is being written or will be.
func (p *Picker) Pick(ctx context.Context, lk *Lookup) Verdict {
	if !p.admit(lk) { // the platform's own limit, which the simulator keeps in front of the module
		return Verdict{Kind: Nacked}
	}
	v := Verdict{Kind: Broken} // where the request panics here, it is answered as failed
	defer func() {
		lk.seal()
		for _, w := range p.witnesses {
			w.Answered(lk, v, p.Now())
		}
	}()
	select {
	case v = <-lk.done:
		v = p.said(lk, v)
	case <-ctx.Done():
		v.Kind = Left
		p.tell(func(in *inbox) { in.Abandoned = append(in.Abandoned, lk.ref) })
	}
	return v
}

// admit leaves a lookup for the next round, unless too much is held already.
func (p *Picker) admit(lk *Lookup) bool {
	size := 1 + len(lk.Parts)
	p.mu.Lock()
	full := p.most > 0 && p.held+size > p.most
	if !full {
		p.held += size
		lk.name(&p.ref)
	}
	p.mu.Unlock()
	if full {
		return false
	}
	lk.done = make(chan Verdict, 1)
	p.retries.take(p.Now(), size)
	p.tell(func(in *inbox) { in.taken = append(in.taken, lk) })
	return true
}

// name gives a lookup its ref, and its parts theirs behind it.
func (lk *Lookup) name(next *uint64) {
	lk.ref = *next
	*next += uint64(1 + len(lk.Parts))
	lk.values, lk.calls = make([][]byte, len(lk.Parts)), make([][]*Call, len(lk.Parts))
}

// hand gives a lookup, or a pass of one, to the module with the round.
func (p *Picker) hand(in *gather.Round, lk *Lookup) {
	p.lookups[lk.ref] = lk
	in.Queries = append(in.Queries, gather.Query{ID: lk.ref, Number: lk.ref, Class: lk.Index, Tenant: lk.Customer,
		Cost: lk.Cost, Key: lk.Key, Deadline: lk.GiveUpAt, Retry: lk.Retry, Pass: lk.kind, ArrivedAt: lk.since, ReceivedWeight: lk.in, FullCallExtra: lk.lead})
	if p.owned != nil {
		p.cut(in, lk)
		return
	}
	for i, pt := range lk.Parts {
		ref := lk.ref + 1 + uint64(i)
		p.parts[ref] = place{lk, i}
		part := gather.ShardRequest{ID: ref, Number: lk.ref, Shard: pt.Shard, Weight: pt.Weight, Cost: pt.Cost, Key: pt.Key}
		if lk.asks != nil {
			part.Retry, part.OrderPenalty = lk.asks[i].Again, lk.asks[i].Later
		}
		in.Requests = append(in.Requests, part)
	}
}

// Tick blocks until a round is due, runs it and gives its orders. Rounds are a tick apart at least, as the
// module's terms have it; all that came in meanwhile goes into one.
func (p *Picker) Tick(ctx context.Context) (Orders, error) {
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
		at = max(at, p.ranAt+p.tick)
		if now >= at {
			return p.round(now), nil
		}
		var due <-chan time.Time
		if !math.IsInf(at, 1) {
			timer.Reset(time.Duration((at-now)*1e6) + 1)
			due = timer.C
		}
		select {
		case <-ctx.Done():
			return Orders{}, ctx.Err()
		case <-p.news:
		case <-due:
		}
	}
}

// round runs the module once on all that waits.
func (p *Picker) round(now float64) Orders {
	p.mu.Lock()
	in := p.inbox
	p.inbox = p.spare
	p.mu.Unlock()
	p.ranAt, p.orders = now, Orders{}
	if p.wakeAt <= now {
		p.wakeAt = math.Inf(1)
	}
	for i := range in.EndpointLists {
		p.learn(&in.EndpointLists[i])
	}
	if in.Weights != nil {
		p.weights = in.Weights
	}
	if p.governor != nil {
		p.govern(&in.Round, now)
	}
	p.listen(&in)
	news := p.owned != nil && p.hearMaps(&in)
	for _, e := range in.ends {
		p.heard(now, &e)
	}
	if p.owned != nil {
		p.rehome(&in.Round, news, now)
	}
	p.passes(&in.Round)
	for _, lk := range in.taken {
		p.open(&in.Round, lk, now)
	}
	for i, ref := range in.Abandoned { // the module holds a pass in the place of a lookup in two phases
		if lk := p.twice.roots[ref]; lk != nil && lk.phased.now != nil {
			in.Abandoned[i] = lk.phased.now.ref
		}
	}
	in.Now = now
	p.run(&in.Round)
	p.write(now)
	if p.governor != nil {
		p.settle()
	}
	for _, to := range in.views {
		if m, can := p.module.(interface{ View() []gather.EndpointView }); can {
			to <- m.View()
		}
		close(to)
	}
	for _, ref := range in.Abandoned {
		p.end(p.lookups[ref], Verdict{Kind: Left})
	}
	p.forget()
	r := in.Round
	clear(in.taken)
	clear(in.ends)
	p.spare = inbox{Round: gather.Round{EndpointLists: r.EndpointLists[:0], Queries: r.Queries[:0], Requests: r.Requests[:0],
		Results: r.Results[:0], HealthChecks: r.HealthChecks[:0], Abandoned: r.Abandoned[:0]}, taken: in.taken[:0], ends: in.ends[:0]}
	return p.orders
}

// run keeps a panic of the module from ending the process: what the module held is answered as failed, and
// a new one goes on from the list, as after a restart.
func (p *Picker) run(in *gather.Round) {
	defer func() {
		if fault := recover(); fault != nil {
			p.log.WithField("stack", string(debug.Stack())).Errorf("decision module: %v; starting it anew", fault)
			p.orders = Orders{}
			for _, lk := range p.lookups {
				p.end(lk, Verdict{Kind: Broken})
				for _, calls := range lk.calls {
					for _, c := range calls {
						p.giveUp(c)
					}
				}
			}
			p.seed++
			p.module, p.wakeAt = p.build(p.seed, p.settings), math.Inf(1)
			p.Follow(p.whole())
			if p.weights != nil {
				p.Weigh(p.weights)
			}
		}
	}()
	p.module.Round(in, writer{p})
}

// learn keeps the list for a module that has to start anew.
func (p *Picker) learn(l *gather.EndpointList) {
	if l.Full {
		clear(p.servers)
		p.ids = p.ids[:0]
	}
	for _, e := range l.Endpoints {
		_, known := p.servers[e.ID]
		switch {
		case e.State == gather.Removed: // against keeping all servers that there ever were
			delete(p.servers, e.ID)
			p.ids = slices.DeleteFunc(p.ids, func(id uint32) bool { return id == e.ID })
			continue
		case !known:
			p.ids = append(p.ids, e.ID)
		case p.servers[e.ID].StartedAt != e.StartedAt: // another process, which may be of another build
			delete(p.twice.brief, e.ID)
		}
		p.servers[e.ID] = e
	}
}

// whole is the list as it stands.
func (p *Picker) whole() gather.EndpointList {
	all := gather.EndpointList{Full: true}
	for _, id := range p.ids {
		all.Endpoints = append(all.Endpoints, p.servers[id])
	}
	return all
}

func (p *Picker) giveUp(c *Call) {
	c.off.Store(true)
	if !c.told.Load() {
		p.orders.Off = append(p.orders.Off, c)
	}
}

// end hands a lookup its verdict, once.
func (p *Picker) end(lk *Lookup, v Verdict) {
	if lk == nil || p.lookups[lk.ref] == nil {
		return
	}
	delete(p.lookups, lk.ref)
	p.ended = append(p.ended, lk)
	for _, calls := range lk.calls {
		for _, c := range calls {
			if !c.told.Load() {
				p.orders.Stop = append(p.orders.Stop, c)
			}
		}
	}
	if lk.of != nil {
		p.passed(lk, v)
		return
	}
	p.answer(lk, v)
}

// answer hands a client its verdict.
func (p *Picker) answer(lk *Lookup, v Verdict) {
	p.unrun(lk, v)
	for _, t := range p.traces {
		t.Ended(lk, v, p.ranAt)
	}
	lk.done <- v
}

// forget lets go of the lookups that the round has ended; until then their calls can be given up by name.
func (p *Picker) forget() {
	freed := 0
	for _, lk := range p.ended {
		for i := range lk.calls {
			delete(p.parts, lk.refOf(i))
		}
		if lk.of == nil { // a pass is held in the place of its lookup
			freed += 1 + len(lk.Parts)
		}
	}
	clear(p.ended)
	p.ended = p.ended[:0]
	p.mu.Lock()
	p.held -= freed
	p.mu.Unlock()
}
