// Package emulated plays changes of policy over a fleet in virtual time, through the real decisions of logic/policy:
// thousands of seeded histories with crashes, stops, cuts, messages that are late or lost, leads that move and clocks
// that run at rates of their own; and large fleets, for times and messages. In each moment in which a gatherer does
// something it is checked that the policy in force allows it.
//
// It models messages and what gatherers do, not how: a lookup of an index lasts for a while and may make second copies,
// which policies forbid by index. The stewards are one record, and a lead that is there or is not; that they agree is
// the library's business, and shown by processes.
package policyfleet

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math"

	"yokeroute/internal/control/policyapi"
	"yokeroute/internal/pcg"
	"yokeroute/logic/policy"
)

// Config are a fleet and its troubles. Times are milliseconds.
type Config struct {
	Gatherers        int
	Duration         float64
	Changes          int     // proposed, evenly over the middle of the time
	Lease            float64 // 10 s unless told
	ChangeTimeout    float64 // 60 s unless told
	AwayShare        float64 // share of the gatherers that is never there after the start
	Flapping         int     // gatherers that start anew each second
	RestartsPerDay   float64 // a day over the fleet: killed, and back some seconds later with its disk
	Faults           float64 // of each gatherer, on average over the time
	Elections        int     // times that the lead moves
	QueriesPerSecond float64 // a second, of each gatherer
	Seed             uint64
	Without          string // a piece left out: "no wire", "no settle", "no wait"; empty for none
}

// Result is what a history came to.
type Result struct {
	Violation      string    // the first moment at which a gatherer did what was forbidden
	Proposed       int       // changes
	Committed      int       // and how they ended
	Abandoned      int       //
	Pending        int       // neither, at the end
	CommitTimes    []float64 // milliseconds from proposing until it was decided
	ApplyTimes     []float64 // and until all that were there and heard acted by it
	Polls          int       // questions that came to the stewards
	IdlePollRate   float64   // of them a second while no change was under way
	ChangePollRate float64   // and while one was
	IdleByteRate   float64   // of questions and answers a second
	ChangeByteRate float64
	Hedges         int // that were made
	Suppressed     int // that were not made since they were forbidden by then
}

const classCount = 6

func className(i int) string { return fmt.Sprint("x", i) }

// fallbackPolicy forbids copies of every index that any policy may.
func fallbackPolicy() policy.Policy {
	var p policy.Policy
	for i := range classCount {
		p = append(p, policy.Entry{Kind: policy.NoHedging, Subject: className(i)})
	}
	return p
}

// query is one in hand.
type query struct {
	generation uint64
	policy     policy.Policy
	class      string
	endsAt     float64
}

// gatherer is one of the model.
type gatherer struct {
	name           string
	fallback       policy.Policy
	holder         *policy.LeaseHolder
	stored         policy.Revision
	incarnation    int
	clockRate      float64 // of its clock
	clockOffset    float64
	up             bool
	suspendedUntil float64 // until then it stands still
	cutUntil       [2]float64
	slowUntil      float64 // until then its messages take long
	inFlight       []*query
	poll           int // number of the one under way
}

// event is something that happens.
type event struct {
	at    float64
	order int // against two at one time in an order of chance
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is the heap's.
func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

// Pop is the heap's.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// pendingPoll is a question that the stewards have not answered yet.
type pendingPoll struct {
	gatherer  *gatherer
	poll      int
	heartbeat policy.Heartbeat
	lease     float64

	incarnation int
	sentAt      float64
}

type fleet struct {
	config    Config
	random    *pcg.Source
	now       float64
	events    eventQueue
	scheduled int
	record    *policy.Record
	leader    *policy.Leader // nil while nobody leads
	gatherers []*gatherer
	waiting   []*pendingPoll
	result    Result

	proposedAt    float64 // when the change under way was
	committedAt   float64 // 0 before
	pendingChange uint64
	changeTime    float64 // time with a change under way
	phaseStart    float64
	polls         [2]int
	pollBytes     [2]float64
}

// Play plays one history.
func Play(t Config) Result {
	if t.Lease == 0 {
		t.Lease = 10_000
	}
	if t.ChangeTimeout == 0 {
		t.ChangeTimeout = 60_000
	}
	f := &fleet{config: t, random: pcg.New(t.Seed*104_729 + 7), record: &policy.Record{}}
	f.leader = policy.NewLeader(f.record, t.Lease, t.ChangeTimeout, -2*t.Lease)
	for i := range t.Gatherers {
		g := &gatherer{name: fmt.Sprintf("g%04d", i), fallback: fallbackPolicy(), clockRate: 1 + 0.008*(2*f.random.Float64()-1), clockOffset: 1e6 * f.random.Float64(), cutUntil: [2]float64{}}
		f.gatherers = append(f.gatherers, g)
		f.start(g, policy.Revision{})
		f.scheduleFaults(g, i)
		if t.QueriesPerSecond > 0 {
			f.schedule(f.exponential(1000/t.QueriesPerSecond), func() { f.startQuery(g) })
		}
	}
	for i := range t.Changes {
		f.schedule(t.Duration*(0.15+0.6*float64(i)/float64(max(t.Changes, 1))), f.propose)
	}
	for range t.Elections {
		f.schedule(t.Duration*f.random.Float64(), f.loseLeader)
	}
	if t.RestartsPerDay > 0 {
		f.schedule(f.exponential(millisecondsADay/t.RestartsPerDay), f.restart)
	}
	f.schedule(0, f.review)
	for len(f.events) > 0 && f.result.Violation == "" {
		e := heap.Pop(&f.events).(event)
		if e.at > t.Duration {
			break
		}
		f.now = e.at
		e.run()
	}
	if f.pendingChange > 0 {
		f.result.Pending++
	}
	f.endPhase()
	rest := f.now - f.changeTime
	f.result.Polls = f.polls[0] + f.polls[1]
	f.result.IdlePollRate, f.result.IdleByteRate = 1000*float64(f.polls[0])/max(rest, 1), 1000*f.pollBytes[0]/max(rest, 1)
	f.result.ChangePollRate, f.result.ChangeByteRate = 1000*float64(f.polls[1])/max(f.changeTime, 1), 1000*f.pollBytes[1]/max(f.changeTime, 1)
	return f.result
}

func (f *fleet) schedule(after float64, do func()) {
	f.scheduled++
	heap.Push(&f.events, event{f.now + after, f.scheduled, do})
}

func (f *fleet) exponential(mean float64) float64 { return -mean * math.Log(1-f.random.Float64()) }

// clock is a gatherer's.
func (g *gatherer) clock(now float64) float64 { return g.clockOffset + g.clockRate*now }

// whenUp does something of a process at once, or once it goes on; not if it has ended by then.
func (f *fleet) whenUp(g *gatherer, do func()) {
	process := g.incarnation
	switch {
	case !g.up:
	case f.now < g.suspendedUntil:
		f.schedule(g.suspendedUntil-f.now, func() {
			if g.incarnation == process {
				f.whenUp(g, do)
			}
		})
	default:
		do()
	}
}

// start starts a process of a gatherer.
func (f *fleet) start(g *gatherer, disk policy.Revision) {
	g.incarnation++
	g.up, g.suspendedUntil, g.inFlight, g.stored = true, 0, nil, disk
	g.holder = policy.NewLeaseHolder(g.fallback, disk, nil)
	f.schedule(f.exponential(20), func() { f.sendPoll(g, g.incarnation) })
}

// scheduleFaults draws what befalls a gatherer.
func (f *fleet) scheduleFaults(g *gatherer, i int) {
	if float64(i) < f.config.AwayShare*float64(f.config.Gatherers) {
		f.schedule(f.config.Duration*0.1*f.random.Float64(), func() { g.up = false; g.incarnation++ })
		return
	}
	if i >= f.config.Gatherers-f.config.Flapping {
		var flap func()
		flap = func() {
			f.start(g, g.stored)
			f.schedule(700+600*f.random.Float64(), flap)
		}
		f.schedule(1000, flap)
	}
	for at := f.exponential(f.config.Duration / max(f.config.Faults, 1e-9)); at < f.config.Duration; at += f.exponential(f.config.Duration / max(f.config.Faults, 1e-9)) {
		kind, long := f.random.Uint32()%6, 100+15_000*f.random.Float64()*f.random.Float64()
		f.schedule(at, func() {
			switch kind {
			case 0, 1: // killed, and back with its disk kept or gone
				if !g.up {
					return
				}
				g.up = false
				g.incarnation++
				disk := policy.Revision{}
				if f.random.Uint32()%3 == 0 {
					disk = g.stored
				}
				f.schedule(long/3, func() {
					if !g.up {
						f.start(g, disk)
					}
				})
			case 2:
				g.suspendedUntil = max(g.suspendedUntil, f.now+long)
			case 3: // cut off, both ways or one
				g.cutUntil = [2]float64{f.now + long, f.now + long}
				if side := f.random.Uint32() % 3; side < 2 {
					g.cutUntil[side] = 0
				}
			default:
				g.slowUntil = f.now + long
			}
		})
	}
}

const (
	millisecondsADay = 86_400_000.0
	minDowntime      = 1000.0 // of a gatherer that restarts,
	downtimeRange    = 4000.0 // and up to so much longer
)

// restart has one gatherer of the fleet killed and started again, and draws the next one.
func (f *fleet) restart() {
	f.schedule(f.exponential(millisecondsADay/f.config.RestartsPerDay), f.restart)
	g := f.gatherers[int(f.random.Uint32()>>1)%len(f.gatherers)]
	if !g.up {
		return
	}
	g.up = false
	g.incarnation++
	f.schedule(minDowntime+downtimeRange*f.random.Float64(), func() {
		if !g.up {
			f.start(g, g.stored)
		}
	})
}

// delay is how long a message takes; false where it is lost.
func (f *fleet) delay(g *gatherer, side int) (float64, bool) {
	if f.now < g.cutUntil[side] || f.random.Float64() < 0.002 {
		return 0, false
	}
	if f.now < g.slowUntil {
		return 4000 * f.random.Float64(), true
	}
	return 0.3 + f.exponential(1.5), true
}

const (
	pollWait    = 2000.0
	pollTimeout = 3000.0 // after which a question counts as lost
)

// sendPoll puts a gatherer's question.
func (f *fleet) sendPoll(g *gatherer, process int) {
	if g.incarnation != process {
		return
	}
	f.whenUp(g, func() {
		g.poll++
		number, asked := g.poll, g.clock(f.now)
		hello := g.holder.Heartbeat(asked)
		hello.Name, hello.Incarnation, hello.Fallback, hello.KnownKinds = g.name, fmt.Sprint(process), g.fallback, policy.Kinds()
		if f.config.Without == "no settle" {
			hello.Drained = true
		}
		if after, comes := f.delay(g, 0); comes {
			f.schedule(after, func() { f.handlePoll(g, number, asked, hello) })
		}
		f.schedule(pollTimeout, func() {
			if g.poll == number {
				f.sendPoll(g, process)
			}
		})
	})
}

// handlePoll has a question come to the stewards.
func (f *fleet) handlePoll(g *gatherer, number int, asked float64, hello policy.Heartbeat) {
	if f.leader == nil {
		return
	}
	if !f.record.Registered(hello.Member) {
		f.commit(policy.Command{Register: &hello.Member})
	}
	f.countPoll(hello)
	w := &pendingPoll{gatherer: g, poll: number, heartbeat: hello, incarnation: g.incarnation, sentAt: asked}
	w.lease = f.leader.Handle(f.now, hello).Lease
	f.decide()
	if told := f.record.Update(); told.IsNewTo(hello) {
		f.sendUpdate(w)
		return
	}
	f.waiting = append(f.waiting, w)
	f.schedule(pollWait, func() {
		for i, o := range f.waiting {
			if o == w {
				f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
				f.sendUpdate(w)
				return
			}
		}
	})
}

// countPoll books a message.
func (f *fleet) countPoll(hello policy.Heartbeat) {
	i := 0
	if f.pendingChange > 0 {
		i = 1
	}
	f.polls[i]++
	if f.polls[i]%16 == 1 { // the length of one stands for sixteen
		text, _ := json.Marshal(policyapi.PollRequest{Format: policyapi.Format, Heartbeat: hello, WaitMillis: pollWait})
		f.pollBytes[i] += 16 * float64(len(text)+220) // and what HTTP puts around question and answer
	}
}

// sendUpdate has the stewards' word go back.
func (f *fleet) sendUpdate(w *pendingPoll) {
	g, word := w.gatherer, f.record.Update()
	word.Lease = w.lease
	after, comes := f.delay(g, 1)
	if !comes {
		return
	}
	f.schedule(after, func() {
		if g.incarnation != w.incarnation {
			return
		}
		f.whenUp(g, func() {
			if g.poll != w.poll { // given up meanwhile
				return
			}
			fence, _, taken := g.holder.Handle(w.sentAt, g.clock(f.now), word)
			if taken {
				g.stored = fence
			}
			f.markDrained(g)
			f.sendPoll(g, w.incarnation)
		})
	})
}

// markDrained tells how far lookups in hand have come; a gatherer that has just settled tells the stewards at once.
func (f *fleet) markDrained(g *gatherer) {
	if g.holder.Drained() {
		return
	}
	_, oldest := g.holder.Effective(g.clock(f.now))
	for _, l := range g.inFlight {
		oldest = min(oldest, l.generation)
	}
	g.holder.MarkDrained(oldest)
	if g.holder.Drained() {
		process := g.incarnation
		f.schedule(0, func() { f.sendPoll(g, process) })
	}
}

// startQuery has a lookup come, and the next one after it.
func (f *fleet) startQuery(g *gatherer) {
	f.schedule(f.exponential(1000/f.config.QueriesPerSecond), func() { f.startQuery(g) })
	if !g.up || f.now < g.suspendedUntil {
		return
	}
	acts, way := g.holder.Effective(g.clock(f.now))
	l := &query{generation: way, policy: acts, class: className(int(f.random.Uint32()) % classCount), endsAt: f.now + 50 + 1450*f.random.Float64()*f.random.Float64()}
	g.inFlight = append(g.inFlight, l)
	process := g.incarnation
	for range 2 {
		f.schedule((l.endsAt-f.now)*f.random.Float64(), func() {
			if g.incarnation == process {
				f.whenUp(g, func() { f.hedge(g, l) })
			}
		})
	}
	f.schedule(l.endsAt-f.now, func() {
		if g.incarnation != process {
			return
		}
		f.whenUp(g, func() {
			for i, o := range g.inFlight {
				if o == l {
					g.inFlight = append(g.inFlight[:i], g.inFlight[i+1:]...)
					break
				}
			}
			f.markDrained(g)
		})
	})
}

// hedge makes a second copy where it may be made, as the check at the wire has it, and checks that it may.
func (f *fleet) hedge(g *gatherer, l *query) {
	if l.policy.Has(policy.NoHedging, l.class) {
		return
	}
	now := g.clock(f.now)
	acts, _ := g.holder.Effective(now)
	if f.config.Without != "no wire" && !g.holder.Permits(l.generation, now) && acts.Has(policy.NoHedging, l.class) {
		f.result.Suppressed++
		return
	}
	f.result.Hedges++
	if f.record.Policy.Has(policy.NoHedging, l.class) {
		f.result.Violation = fmt.Sprintf("at %.1f s %s made a copy for %s, which epoch %d forbids", f.now/1000, g.name, l.class, f.record.Epoch)
	}
}

// commit puts a command into the record, which others hold as it was.
func (f *fleet) commit(c policy.Command) *policy.Change {
	next := *f.record
	change, err := next.Apply(c)
	if err != nil {
		return nil
	}
	f.record = &next
	if f.leader != nil {
		f.leader.Record = f.record
	}
	return change
}

// answerAll answers all who wait for news.
func (f *fleet) answerAll() {
	polls := f.waiting
	f.waiting = nil
	for _, w := range polls {
		f.sendUpdate(w)
	}
}

// propose puts a policy forward: each index's copies forbidden or not, by chance.
func (f *fleet) propose() {
	if f.pendingChange > 0 || f.leader == nil {
		f.schedule(500, f.propose)
		return
	}
	var p policy.Policy
	for i := range classCount {
		if f.random.Float64() < 0.5 {
			p = append(p, policy.Entry{Kind: policy.NoHedging, Subject: className(i)})
		}
	}
	c := f.commit(policy.Command{Propose: &policy.Change{Base: f.record.Epoch, ID: fmt.Sprint(f.now), Policy: p}})
	if c == nil {
		return
	}
	f.endPhase()
	f.result.Proposed++
	f.proposedAt, f.committedAt, f.pendingChange = f.now, 0, c.Number
	f.answerAll()
	f.decide()
}

// endPhase books the time with a change under way or without.
func (f *fleet) endPhase() {
	if f.pendingChange > 0 {
		f.changeTime += f.now - f.phaseStart
	}
	f.phaseStart = f.now
}

// decide has the stewards decide, where they lead.
func (f *fleet) decide() {
	if f.leader == nil || f.record.Pending == nil {
		return
	}
	f.leader.Record = f.record
	now := f.now
	c, _ := f.leader.Decide(now)
	if c == nil {
		return
	}
	f.commit(*c)
	if c.Commit > 0 {
		f.result.Committed++
		f.committedAt = f.now
		f.result.CommitTimes = append(f.result.CommitTimes, f.now-f.proposedAt)
	} else {
		f.result.Abandoned++
		f.endPhase()
		f.pendingChange = 0
	}
	f.answerAll()
}

// review is the stewards' regular look, and the model's own at who holds what.
func (f *fleet) review() {
	f.schedule(50, f.review)
	f.decide()
	if f.pendingChange == 0 || f.committedAt == 0 {
		return
	}
	for _, g := range f.gatherers {
		if !g.up || f.now < g.suspendedUntil || f.now < g.cutUntil[0] || f.now < g.cutUntil[1] || f.now < g.slowUntil {
			continue
		}
		if o := g.holder.Heartbeat(g.clock(f.now)); o.Applied.Epoch != f.pendingChange && o.Applied != (policy.Revision{}) {
			return
		}
	}
	f.result.ApplyTimes = append(f.result.ApplyTimes, f.now-f.proposedAt)
	f.endPhase()
	f.pendingChange = 0
}

// loseLeader has the lead go, and another take it some time after.
func (f *fleet) loseLeader() {
	f.leader, f.waiting = nil, nil
	f.schedule(200+3000*f.random.Float64()*f.random.Float64(), func() {
		began := f.now
		if f.config.Without == "no wait" {
			began = -1e9
		}
		if f.leader == nil {
			f.leader = policy.NewLeader(f.record, f.config.Lease, f.config.ChangeTimeout, began)
		}
	})
}
