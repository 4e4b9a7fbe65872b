// Package policylease applies the operators' policy in a gatherer. A Lease holds the policy in effect and gives the
// dispatcher the settings that result from it. A Poller renews the lease by polling the policy servers. All decisions
// are made by package logic/policy.
package policylease

import (
	"math"
	"sync"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/logic/policy"
)

// Lease holds the policy in effect. The dispatcher, the connections to shard servers and the poller share it.
type Lease struct {
	platform *gather.Settings
	clock    func() float64 // milliseconds
	drained  chan struct{}  // receives a value once no query is in flight under an earlier policy
	onChange func()         // called after the policy in effect has changed

	mu             sync.Mutex
	holder         *policy.LeaseHolder
	generation     uint64 // generation of effective, from which settings and closed are derived
	effective      policy.Policy
	settings       *gather.Settings
	locations      map[uint32]location // locations of the shard servers, by ID
	closed         map[uint32]bool
	closedRevision uint64 // incremented whenever closed changes
}

var _ dispatch.PolicyGate = (*Lease)(nil)

// Config configures a Lease.
type Config struct {
	Platform *gather.Settings // the platform's settings
	Fallback policy.Policy    // policy in effect while no lease is held
	Revision policy.Revision  // revision that an earlier incarnation stored
	Clock    func() float64   // the dispatcher's clock, in milliseconds
	OnChange func()           // makes the dispatcher run a round
}

// New returns a lease that is not held yet, so that the fallback policy is in effect.
func New(c Config) *Lease {
	l := &Lease{
		platform:  c.Platform,
		clock:     c.Clock,
		onChange:  c.OnChange,
		drained:   make(chan struct{}, 1),
		locations: map[uint32]location{},
		closed:    map[uint32]bool{},
	}
	l.holder = policy.NewLeaseHolder(c.Fallback, c.Revision, l.validate)
	return l
}

// refresh derives the settings and the closed servers from the policy in effect if it has changed. The caller holds
// the lock.
func (l *Lease) refresh(now float64) {
	effective, generation := l.holder.Effective(now)
	if generation == l.generation {
		return
	}
	l.generation = generation
	l.effective = effective
	l.settings = Apply(l.platform, effective)
	l.updateClosed()
}

// Effective returns the generation in effect and its settings, which apply to queries that arrive now.
func (l *Lease) Effective(now float64) (uint64, *gather.Settings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	return l.generation, l.settings
}

// MarkDrained records that no query of a generation before the given one is in flight.
func (l *Lease) MarkDrained(generation uint64) {
	l.mu.Lock()
	wasDrained := l.holder.Drained()
	l.holder.MarkDrained(generation)
	isDrained := l.holder.Drained()
	l.mu.Unlock()
	if !isDrained || wasDrained {
		return
	}
	select {
	case l.drained <- struct{}{}:
	default:
	}
}

// Drained reports whether all queries in flight are decided by the policy in effect.
func (l *Lease) Drained() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Drained()
}

// heartbeat returns a heartbeat with the fields that the lease knows. Poller.heartbeat sets the others.
func (l *Lease) heartbeat() policy.Heartbeat {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Heartbeat(l.clock())
}

// handle processes an update that answers a poll sent at sentAt. policy.LeaseHolder.Handle documents the results.
func (l *Lease) handle(sentAt float64, u policy.Update) (revision policy.Revision, advanced, accepted bool) {
	l.mu.Lock()
	now := l.clock()
	previousGeneration := l.generation
	revision, advanced, accepted = l.holder.Handle(sentAt, now, u)
	l.refresh(now)
	changed := l.generation != previousGeneration
	l.mu.Unlock()
	if changed {
		l.onChange()
	}
	return revision, advanced, accepted
}

// ApplyLocal puts a policy from the gatherer's local file in effect, without policy servers and without expiry. The
// epoch is readings, the number of times that the file has been read.
func (l *Lease) ApplyLocal(p policy.Policy, readings uint64) error {
	l.mu.Lock()
	err := l.validate(p)
	l.mu.Unlock()
	if err != nil {
		return err
	}
	l.handle(l.clock(), policy.Update{Epoch: readings, LastEnded: readings, Policy: p, Lease: math.Inf(1)})
	return nil
}
