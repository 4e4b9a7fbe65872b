// Package policyfleet emulates a fleet of gatherers whose policy changes, in virtual time and with the real decisions of
// logic/policy. It plays seeded histories with crashes, suspensions, network cuts, messages that are late or lost,
// leader elections and clocks that run at rates of their own, and large fleets for times and message rates. Whenever a
// gatherer hedges a request it is checked that the committed policy permits it.
//
// The model covers messages and what gatherers do: a query of a class lasts for a while and may be hedged, which
// policies forbid by class. The policy servers are one record and a leader that exists or not; that several servers
// agree on the record is left to tests with processes.
package policyfleet

import (
	"container/heap"
	"fmt"

	"yokeroute/internal/pcg"
	"yokeroute/logic/policy"
)

// Defaults of a Config.
const (
	defaultLease         = 10_000.0
	defaultChangeTimeout = 60_000.0
)

// Config describes a fleet and its faults. Times are milliseconds.
type Config struct {
	Gatherers        int
	Duration         float64
	Changes          int     // proposed, spread evenly over the middle of the duration
	Lease            float64 // 10 s where it is 0
	ChangeTimeout    float64 // 60 s where it is 0
	DownShare        float64 // share of the gatherers that is down but for the start
	Flapping         int     // gatherers that restart each second
	RestartsPerDay   float64 // of the fleet: killed, and back some seconds later with the disk
	Faults           float64 // mean number of each gatherer
	Elections        int     // of a leader
	QueriesPerSecond float64 // of each gatherer
	Seed             uint64
	Without          Variant
}

// Variant is the emulation with a safeguard left out, which the check has to detect.
type Variant = string

// The variants. Their texts are those of a command's flag.
const (
	WithoutPermitCheck  Variant = "no wire"   // hedges are not checked again before they are sent
	WithoutDraining     Variant = "no settle" // gatherers claim that they have drained
	WithoutElectionWait Variant = "no wait"   // a new leader does not wait for earlier leases to expire
)

// Result is the outcome of a history. Times are milliseconds.
type Result struct {
	Violation      string // the first hedge that was forbidden, empty for none
	Proposed       int    // changes
	Committed      int
	Abandoned      int
	Pending        int       // at the end
	CommitTimes    []float64 // from proposal to commit
	ApplyTimes     []float64 // from proposal until all reachable gatherers applied the change
	Polls          int       // that arrived
	IdlePollRate   float64   // a second, while no change was pending or being applied
	ChangePollRate float64   // a second, while one was
	IdleByteRate   float64   // of requests and responses
	ChangeByteRate float64
	Hedges         int // that were sent
	Suppressed     int // that were not sent, as they were forbidden by then
}

// fleet is a history that is being played.
type fleet struct {
	config    Config
	random    *pcg.Source
	now       float64
	events    eventQueue
	scheduled int
	record    *policy.Record
	leader    *policy.Leader // nil while no server leads
	gatherers []*gatherer
	waiting   []*poll
	phase     phase
	result    Result
}

// Play plays one history.
func Play(c Config) Result {
	if c.Lease == 0 {
		c.Lease = defaultLease
	}
	if c.ChangeTimeout == 0 {
		c.ChangeTimeout = defaultChangeTimeout
	}
	f := &fleet{config: c, random: pcg.New(c.Seed*104_729 + 7), record: &policy.Record{}}
	f.leader = policy.NewLeader(f.record, c.Lease, c.ChangeTimeout, -2*c.Lease)
	for i := range c.Gatherers {
		f.addGatherer(i)
	}
	for i := range c.Changes {
		f.schedule(c.Duration*(0.15+0.6*float64(i)/float64(max(c.Changes, 1))), f.propose)
	}
	for range c.Elections {
		f.schedule(c.Duration*f.random.Float64(), f.loseLeader)
	}
	if c.RestartsPerDay > 0 {
		f.schedule(f.exponential(millisecondsPerDay/c.RestartsPerDay), f.restartOne)
	}
	f.schedule(0, f.review)
	for len(f.events) > 0 && f.result.Violation == "" {
		e := heap.Pop(&f.events).(event)
		if e.at > c.Duration {
			break
		}
		f.now = e.at
		e.run()
	}
	return f.finish()
}

// addGatherer adds a gatherer with its faults and queries.
func (f *fleet) addGatherer(i int) {
	g := &gatherer{
		name:        fmt.Sprintf("g%04d", i),
		fallback:    fallbackPolicy(),
		clockRate:   1 + clockRateError*(2*f.random.Float64()-1),
		clockOffset: maxClockOffset * f.random.Float64(),
	}
	f.gatherers = append(f.gatherers, g)
	f.start(g, policy.Revision{})
	f.scheduleFaults(g, i)
	if f.config.QueriesPerSecond > 0 {
		f.schedule(f.exponential(1000/f.config.QueriesPerSecond), func() { f.startQuery(g) })
	}
}

// finish returns the result.
func (f *fleet) finish() Result {
	if f.phase.change > 0 {
		f.result.Pending++
	}
	f.phase.end(f.now)
	idleTime := f.now - f.phase.changeTime
	idle, change := &f.phase.idle, &f.phase.changing
	f.result.Polls = idle.polls + change.polls
	f.result.IdlePollRate = perSecond(float64(idle.polls), idleTime)
	f.result.IdleByteRate = perSecond(idle.bytes, idleTime)
	f.result.ChangePollRate = perSecond(float64(change.polls), f.phase.changeTime)
	f.result.ChangeByteRate = perSecond(change.bytes, f.phase.changeTime)
	return f.result
}

func perSecond(count, milliseconds float64) float64 { return 1000 * count / max(milliseconds, 1) }
