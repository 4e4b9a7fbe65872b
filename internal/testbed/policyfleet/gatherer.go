package policyfleet

import (
	"fmt"

	"yokeroute/logic/policy"
)

const (
	// Clocks differ in rate by this share of a second either way, and in their readings by up to maxClockOffset.
	clockRateError = 0.008
	maxClockOffset = 1e6 // milliseconds

	meanStartTime = 20.0   // milliseconds until the first poll
	pollWait      = 2000.0 // milliseconds for which a poll without news is delayed
	pollTimeout   = 3000.0 // milliseconds after which a poll counts as lost
)

// Directions of messages between a gatherer and the policy servers.
const (
	toServers = iota
	toGatherer
	directions
)

// gatherer is one gatherer, through all its incarnations.
type gatherer struct {
	name        string
	fallback    policy.Policy
	holder      *policy.LeaseHolder
	stored      policy.Revision // on its disk
	incarnation int
	clockRate   float64
	clockOffset float64
	inFlight    []*query
	pollNumber  int // of the latest poll

	up             bool
	suspendedUntil float64
	cutUntil       [directions]float64
	slowUntil      float64 // its messages take long
}

// poll is a poll that has arrived at the leader.
type poll struct {
	gatherer    *gatherer
	incarnation int
	number      int
	sentAt      float64 // by the gatherer's clock
	heartbeat   policy.Heartbeat
	lease       float64 // granted with the answer
}

// clock returns the time by a gatherer's clock.
func (g *gatherer) clock(now float64) float64 { return g.clockOffset + g.clockRate*now }

// start starts an incarnation of a gatherer with a revision on its disk.
func (f *fleet) start(g *gatherer, stored policy.Revision) {
	g.incarnation++
	g.up = true
	g.suspendedUntil = 0
	g.inFlight = nil
	g.stored = stored
	g.holder = policy.NewLeaseHolder(g.fallback, stored, nil)
	f.schedule(f.exponential(meanStartTime), func() { f.sendPoll(g, g.incarnation) })
}

// stop kills a gatherer.
func (g *gatherer) stop() {
	g.up = false
	g.incarnation++
}

// whenRunning does something in a gatherer's process: at once, or once it is resumed. It does nothing where that process
// has ended by then.
func (f *fleet) whenRunning(g *gatherer, do func()) {
	incarnation := g.incarnation
	switch {
	case !g.up:
	case f.now < g.suspendedUntil:
		f.schedule(g.suspendedUntil-f.now, func() {
			if g.incarnation == incarnation {
				f.whenRunning(g, do)
			}
		})
	default:
		do()
	}
}

// sendPoll sends a gatherer's next poll.
func (f *fleet) sendPoll(g *gatherer, incarnation int) {
	if g.incarnation != incarnation {
		return
	}
	f.whenRunning(g, func() {
		g.pollNumber++
		p := &poll{gatherer: g, number: g.pollNumber, sentAt: g.clock(f.now)}
		p.heartbeat = f.heartbeat(g, incarnation, p.sentAt)
		if delay, arrives := f.delay(g, toServers); arrives {
			f.schedule(delay, func() { f.handlePoll(p) })
		}
		f.schedule(pollTimeout, func() {
			if g.pollNumber == p.number {
				f.sendPoll(g, incarnation)
			}
		})
	})
}

func (f *fleet) heartbeat(g *gatherer, incarnation int, sentAt float64) policy.Heartbeat {
	heartbeat := g.holder.Heartbeat(sentAt)
	heartbeat.Name = g.name
	heartbeat.Incarnation = fmt.Sprint(incarnation)
	heartbeat.Fallback = g.fallback
	heartbeat.KnownKinds = policy.Kinds()
	if f.config.Without == WithoutDraining {
		heartbeat.Drained = true
	}
	return heartbeat
}

// handleUpdate processes the answer to a poll, and sends the next poll.
func (f *fleet) handleUpdate(p *poll, u policy.Update) {
	g := p.gatherer
	if g.pollNumber != p.number { // the poll has timed out
		return
	}
	revision, _, accepted := g.holder.Handle(p.sentAt, g.clock(f.now), u)
	if accepted {
		g.stored = revision
	}
	f.markDrained(g)
	f.sendPoll(g, p.incarnation)
}

// markDrained updates what a gatherer has drained. One that has just drained polls at once.
func (f *fleet) markDrained(g *gatherer) {
	if g.holder.Drained() {
		return
	}
	_, oldest := g.holder.Effective(g.clock(f.now))
	for _, q := range g.inFlight {
		oldest = min(oldest, q.generation)
	}
	g.holder.MarkDrained(oldest)
	if g.holder.Drained() {
		incarnation := g.incarnation
		f.schedule(0, func() { f.sendPoll(g, incarnation) })
	}
}
