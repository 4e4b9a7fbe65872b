// Package emulated plays changes of policy over a fleet in virtual time, through the real decisions of logic/policy:
// thousands of seeded histories with crashes, stops, cuts, messages that are late or lost, leads that move and clocks
// that run at rates of their own; and large fleets, for times and messages. In each moment in which a gatherer does
// something it is checked that the policy in force allows it.
//
// It models messages and what gatherers do, not how: a lookup of an index lasts for a while and may make second copies,
// which policies forbid by index. The stewards are one record, and a lead that is there or is not; that they agree is
// the library's business, and shown by processes.
package emulated

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math"

	wire "yokeroute/internal/control/policyclient"
	"yokeroute/internal/pcg"
	"yokeroute/logic/policy"
)

// Terms are a fleet and its troubles. Times are milliseconds.
type Terms struct {
	Gatherers int
	Length    float64
	Changes   int     // proposed, evenly over the middle of the time
	Lease     float64 // 10 s unless told
	Limit     float64 // 60 s unless told
	Away      float64 // share of the gatherers that is never there after the start
	Flapping  int     // gatherers that start anew each second
	Restarts  float64 // a day over the fleet: killed, and back some seconds later with its disk
	Troubles  float64 // of each gatherer, on average over the time
	Leads     int     // times that the lead moves
	Lookups   float64 // a second, of each gatherer
	Seed      uint64
	Variant   string // a piece left out: "no wire", "no settle", "no wait"; empty for none
}

// Outcome is what a history came to.
type Outcome struct {
	Wrong     string    // the first moment at which a gatherer did what was forbidden
	Proposed  int       // changes
	Decided   int       // and how they ended
	GivenUp   int       //
	Open      int       // neither, at the end
	ToDecide  []float64 // milliseconds from proposing until it was decided
	ToAll     []float64 // and until all that were there and heard acted by it
	Asked     int       // questions that came to the stewards
	RestRate  float64   // of them a second while no change was under way
	BusyRate  float64   // and while one was
	RestBytes float64   // of questions and answers a second
	BusyBytes float64
	Copies    int // that were made
	Forbidden int // that were not made since they were forbidden by then
}

const indexes = 6

func name(i int) string { return fmt.Sprint("x", i) }

// floor forbids copies of every index that any policy may.
func floor() policy.Policy {
	var p policy.Policy
	for i := range indexes {
		p = append(p, policy.Entry{Kind: policy.NoHedging, Subject: name(i)})
	}
	return p
}

// lookup is one in hand.
type lookup struct {
	way   uint64
	by    policy.Policy
	index string
	ends  float64
}

// gatherer is one of the model.
type gatherer struct {
	name     string
	floor    policy.Policy
	h        *policy.LeaseHolder
	disk     policy.Revision
	process  int
	rate     float64 // of its clock
	offset   float64
	up       bool
	stopped  float64 // until then it stands still
	cut      [2]float64
	late     float64 // until then its messages take long
	held     []*lookup
	question int // number of the one under way
}

// event is something that happens.
type event struct {
	at float64
	n  int // against two at one time in an order of chance
	do func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is the heap's.
func (q *queue) Push(e any) { *q = append(*q, e.(event)) }

// Pop is the heap's.
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// waiting is a question that the stewards have not answered yet.
type waiting struct {
	g      *gatherer
	number int
	hello  policy.Heartbeat
	lease  float64

	process int
	asked   float64
}

type fleet struct {
	t      Terms
	chance *pcg.Source
	now    float64
	q      queue
	n      int
	record *policy.Record
	leader *policy.Leader // nil while nobody leads
	all    []*gatherer
	polls  []*waiting
	out    Outcome

	proposed float64 // when the change under way was
	decided  float64 // 0 before
	number   uint64
	busy     float64 // time with a change under way
	since    float64
	asked    [2]int
	bytes    [2]float64
}

// Play plays one history.
func Play(t Terms) Outcome {
	if t.Lease == 0 {
		t.Lease = 10_000
	}
	if t.Limit == 0 {
		t.Limit = 60_000
	}
	f := &fleet{t: t, chance: pcg.New(t.Seed*104_729 + 7), record: &policy.Record{}}
	f.leader = policy.NewLeader(f.record, t.Lease, t.Limit, -2*t.Lease)
	for i := range t.Gatherers {
		g := &gatherer{name: fmt.Sprintf("g%04d", i), floor: floor(), rate: 1 + 0.008*(2*f.chance.Float64()-1), offset: 1e6 * f.chance.Float64(), cut: [2]float64{}}
		f.all = append(f.all, g)
		f.start(g, policy.Revision{})
		f.troubles(g, i)
		if t.Lookups > 0 {
			f.in(f.gap(1000/t.Lookups), func() { f.land(g) })
		}
	}
	for i := range t.Changes {
		f.in(t.Length*(0.15+0.6*float64(i)/float64(max(t.Changes, 1))), f.propose)
	}
	for range t.Leads {
		f.in(t.Length*f.chance.Float64(), f.lose)
	}
	if t.Restarts > 0 {
		f.in(f.gap(millisecondsADay/t.Restarts), f.restart)
	}
	f.in(0, f.look)
	for len(f.q) > 0 && f.out.Wrong == "" {
		e := heap.Pop(&f.q).(event)
		if e.at > t.Length {
			break
		}
		f.now = e.at
		e.do()
	}
	if f.number > 0 {
		f.out.Open++
	}
	f.phase()
	rest := f.now - f.busy
	f.out.Asked = f.asked[0] + f.asked[1]
	f.out.RestRate, f.out.RestBytes = 1000*float64(f.asked[0])/max(rest, 1), 1000*f.bytes[0]/max(rest, 1)
	f.out.BusyRate, f.out.BusyBytes = 1000*float64(f.asked[1])/max(f.busy, 1), 1000*f.bytes[1]/max(f.busy, 1)
	return f.out
}

func (f *fleet) in(after float64, do func()) {
	f.n++
	heap.Push(&f.q, event{f.now + after, f.n, do})
}

func (f *fleet) gap(mean float64) float64 { return -mean * math.Log(1-f.chance.Float64()) }

// clock is a gatherer's.
func (g *gatherer) clock(now float64) float64 { return g.offset + g.rate*now }

// whenUp does something of a process at once, or once it goes on; not if it has ended by then.
func (f *fleet) whenUp(g *gatherer, do func()) {
	process := g.process
	switch {
	case !g.up:
	case f.now < g.stopped:
		f.in(g.stopped-f.now, func() {
			if g.process == process {
				f.whenUp(g, do)
			}
		})
	default:
		do()
	}
}

// start starts a process of a gatherer.
func (f *fleet) start(g *gatherer, disk policy.Revision) {
	g.process++
	g.up, g.stopped, g.held, g.disk = true, 0, nil, disk
	g.h = policy.NewLeaseHolder(g.floor, disk, nil)
	f.in(f.gap(20), func() { f.ask(g, g.process) })
}

// troubles draws what befalls a gatherer.
func (f *fleet) troubles(g *gatherer, i int) {
	if float64(i) < f.t.Away*float64(f.t.Gatherers) {
		f.in(f.t.Length*0.1*f.chance.Float64(), func() { g.up = false; g.process++ })
		return
	}
	if i >= f.t.Gatherers-f.t.Flapping {
		var flap func()
		flap = func() {
			f.start(g, g.disk)
			f.in(700+600*f.chance.Float64(), flap)
		}
		f.in(1000, flap)
	}
	for at := f.gap(f.t.Length / max(f.t.Troubles, 1e-9)); at < f.t.Length; at += f.gap(f.t.Length / max(f.t.Troubles, 1e-9)) {
		kind, long := f.chance.Uint32()%6, 100+15_000*f.chance.Float64()*f.chance.Float64()
		f.in(at, func() {
			switch kind {
			case 0, 1: // killed, and back with its disk kept or gone
				if !g.up {
					return
				}
				g.up = false
				g.process++
				disk := policy.Revision{}
				if f.chance.Uint32()%3 == 0 {
					disk = g.disk
				}
				f.in(long/3, func() {
					if !g.up {
						f.start(g, disk)
					}
				})
			case 2:
				g.stopped = max(g.stopped, f.now+long)
			case 3: // cut off, both ways or one
				g.cut = [2]float64{f.now + long, f.now + long}
				if side := f.chance.Uint32() % 3; side < 2 {
					g.cut[side] = 0
				}
			default:
				g.late = f.now + long
			}
		})
	}
}

const (
	millisecondsADay = 86_400_000.0
	leastAway        = 1000.0 // of a gatherer that restarts,
	awayRange        = 4000.0 // and up to so much longer
)

// restart has one gatherer of the fleet killed and started again, and draws the next one.
func (f *fleet) restart() {
	f.in(f.gap(millisecondsADay/f.t.Restarts), f.restart)
	g := f.all[int(f.chance.Uint32()>>1)%len(f.all)]
	if !g.up {
		return
	}
	g.up = false
	g.process++
	f.in(leastAway+awayRange*f.chance.Float64(), func() {
		if !g.up {
			f.start(g, g.disk)
		}
	})
}

// way is how long a message takes; false where it is lost.
func (f *fleet) way(g *gatherer, side int) (float64, bool) {
	if f.now < g.cut[side] || f.chance.Float64() < 0.002 {
		return 0, false
	}
	if f.now < g.late {
		return 4000 * f.chance.Float64(), true
	}
	return 0.3 + f.gap(1.5), true
}

const (
	askWait = 2000.0
	silent  = 3000.0 // after which a question counts as lost
)

// ask puts a gatherer's question.
func (f *fleet) ask(g *gatherer, process int) {
	if g.process != process {
		return
	}
	f.whenUp(g, func() {
		g.question++
		number, asked := g.question, g.clock(f.now)
		hello := g.h.Heartbeat(asked)
		hello.Name, hello.Incarnation, hello.Fallback, hello.KnownKinds = g.name, fmt.Sprint(process), g.floor, policy.Kinds()
		if f.t.Variant == "no settle" {
			hello.Drained = true
		}
		if after, comes := f.way(g, 0); comes {
			f.in(after, func() { f.hear(g, number, asked, hello) })
		}
		f.in(silent, func() {
			if g.question == number {
				f.ask(g, process)
			}
		})
	})
}

// hear has a question come to the stewards.
func (f *fleet) hear(g *gatherer, number int, asked float64, hello policy.Heartbeat) {
	if f.leader == nil {
		return
	}
	if !f.record.Registered(hello.Member) {
		f.commit(policy.Command{Register: &hello.Member})
	}
	f.count(hello)
	w := &waiting{g: g, number: number, hello: hello, process: g.process, asked: asked}
	w.lease = f.leader.Handle(f.now, hello).Lease
	f.decide()
	if told := f.record.Update(); told.IsNewTo(hello) {
		f.answer(w)
		return
	}
	f.polls = append(f.polls, w)
	f.in(askWait, func() {
		for i, o := range f.polls {
			if o == w {
				f.polls = append(f.polls[:i], f.polls[i+1:]...)
				f.answer(w)
				return
			}
		}
	})
}

// count books a message.
func (f *fleet) count(hello policy.Heartbeat) {
	i := 0
	if f.number > 0 {
		i = 1
	}
	f.asked[i]++
	if f.asked[i]%16 == 1 { // the length of one stands for sixteen
		text, _ := json.Marshal(wire.Ask{Form: wire.Form, Hello: hello, Wait: askWait})
		f.bytes[i] += 16 * float64(len(text)+220) // and what HTTP puts around question and answer
	}
}

// answer has the stewards' word go back.
func (f *fleet) answer(w *waiting) {
	g, word := w.g, f.record.Update()
	word.Lease = w.lease
	after, comes := f.way(g, 1)
	if !comes {
		return
	}
	f.in(after, func() {
		if g.process != w.process {
			return
		}
		f.whenUp(g, func() {
			if g.question != w.number { // given up meanwhile
				return
			}
			fence, _, taken := g.h.Handle(w.asked, g.clock(f.now), word)
			if taken {
				g.disk = fence
			}
			f.settle(g)
			f.ask(g, w.process)
		})
	})
}

// settle tells how far lookups in hand have come; a gatherer that has just settled tells the stewards at once.
func (f *fleet) settle(g *gatherer) {
	if g.h.Drained() {
		return
	}
	_, oldest := g.h.Effective(g.clock(f.now))
	for _, l := range g.held {
		oldest = min(oldest, l.way)
	}
	g.h.MarkDrained(oldest)
	if g.h.Drained() {
		process := g.process
		f.in(0, func() { f.ask(g, process) })
	}
}

// land has a lookup come, and the next one after it.
func (f *fleet) land(g *gatherer) {
	f.in(f.gap(1000/f.t.Lookups), func() { f.land(g) })
	if !g.up || f.now < g.stopped {
		return
	}
	acts, way := g.h.Effective(g.clock(f.now))
	l := &lookup{way: way, by: acts, index: name(int(f.chance.Uint32()) % indexes), ends: f.now + 50 + 1450*f.chance.Float64()*f.chance.Float64()}
	g.held = append(g.held, l)
	process := g.process
	for range 2 {
		f.in((l.ends-f.now)*f.chance.Float64(), func() {
			if g.process == process {
				f.whenUp(g, func() { f.copy(g, l) })
			}
		})
	}
	f.in(l.ends-f.now, func() {
		if g.process != process {
			return
		}
		f.whenUp(g, func() {
			for i, o := range g.held {
				if o == l {
					g.held = append(g.held[:i], g.held[i+1:]...)
					break
				}
			}
			f.settle(g)
		})
	})
}

// copy makes a second copy where it may be made, as the check at the wire has it, and checks that it may.
func (f *fleet) copy(g *gatherer, l *lookup) {
	if l.by.Has(policy.NoHedging, l.index) {
		return
	}
	now := g.clock(f.now)
	acts, _ := g.h.Effective(now)
	if f.t.Variant != "no wire" && !g.h.Permits(l.way, now) && acts.Has(policy.NoHedging, l.index) {
		f.out.Forbidden++
		return
	}
	f.out.Copies++
	if f.record.Policy.Has(policy.NoHedging, l.index) {
		f.out.Wrong = fmt.Sprintf("at %.1f s %s made a copy for %s, which epoch %d forbids", f.now/1000, g.name, l.index, f.record.Epoch)
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

// wake answers all who wait for news.
func (f *fleet) wake() {
	polls := f.polls
	f.polls = nil
	for _, w := range polls {
		f.answer(w)
	}
}

// propose puts a policy forward: each index's copies forbidden or not, by chance.
func (f *fleet) propose() {
	if f.number > 0 || f.leader == nil {
		f.in(500, f.propose)
		return
	}
	var p policy.Policy
	for i := range indexes {
		if f.chance.Float64() < 0.5 {
			p = append(p, policy.Entry{Kind: policy.NoHedging, Subject: name(i)})
		}
	}
	c := f.commit(policy.Command{Propose: &policy.Change{Base: f.record.Epoch, ID: fmt.Sprint(f.now), Policy: p}})
	if c == nil {
		return
	}
	f.phase()
	f.out.Proposed++
	f.proposed, f.decided, f.number = f.now, 0, c.Number
	f.wake()
	f.decide()
}

// phase books the time with a change under way or without.
func (f *fleet) phase() {
	if f.number > 0 {
		f.busy += f.now - f.since
	}
	f.since = f.now
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
		f.out.Decided++
		f.decided = f.now
		f.out.ToDecide = append(f.out.ToDecide, f.now-f.proposed)
	} else {
		f.out.GivenUp++
		f.phase()
		f.number = 0
	}
	f.wake()
}

// look is the stewards' regular look, and the model's own at who holds what.
func (f *fleet) look() {
	f.in(50, f.look)
	f.decide()
	if f.number == 0 || f.decided == 0 {
		return
	}
	for _, g := range f.all {
		if !g.up || f.now < g.stopped || f.now < g.cut[0] || f.now < g.cut[1] || f.now < g.late {
			continue
		}
		if o := g.h.Heartbeat(g.clock(f.now)); o.Applied.Epoch != f.number && o.Applied != (policy.Revision{}) {
			return
		}
	}
	f.out.ToAll = append(f.out.ToAll, f.now-f.proposed)
	f.phase()
	f.number = 0
}

// lose has the lead go, and another take it some time after.
func (f *fleet) lose() {
	f.leader, f.polls = nil, nil
	f.in(200+3000*f.chance.Float64()*f.chance.Float64(), func() {
		began := f.now
		if f.t.Variant == "no wait" {
			began = -1e9
		}
		if f.leader == nil {
			f.leader = policy.NewLeader(f.record, f.t.Lease, f.t.Limit, began)
		}
	})
}
