// Package policylease applies the operators' policy in a gatherer. A Lease holds the policy in effect and gives the
// dispatcher the settings that follow from it; a Poller keeps the lease renewed by polling the policy servers. What
// is decided is decided by logic/policy.
package policylease

import (
	"math"
	"sync"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/logic/policy"
)

// Lease holds the policy in effect. It is shared by the dispatcher, the connections to shard servers and the poller.
type Lease struct {
	platform *gather.Settings
	clock    func() float64 // milliseconds
	drained  chan struct{}  // signalled once no query is in flight under an earlier policy
	onChange func()         // called after the policy in effect has changed

	mu         sync.Mutex
	holder     *policy.LeaseHolder
	generation uint64 // of the policy that the fields below follow from
	effective  policy.Policy
	settings   *gather.Settings
	locations  map[uint32]location // of shard servers, by ID
	closed     map[uint32]bool
	closedRev  uint64 // counts changes of closed
}

var _ dispatch.PolicyGate = (*Lease)(nil)

// Config configures a Lease.
type Config struct {
	Platform *gather.Settings // the platform's settings
	Fallback policy.Policy    // in effect without a lease
	Revision policy.Revision  // stored by an earlier incarnation
	Clock    func() float64   // the dispatcher's clock, in milliseconds
	OnChange func()           // makes the dispatcher run a round
}

// New returns a lease that is not held yet: the fallback policy is in effect.
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

// refresh derives settings and closed servers from the policy in effect, where it has changed. The lock is held.
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

// Effective returns the settings for queries that arrive now, and their generation.
func (l *Lease) Effective(now float64) (uint64, *gather.Settings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	return l.generation, l.settings
}

// MarkDrained records that no query is in flight from before a generation.
func (l *Lease) MarkDrained(generation uint64) {
	l.mu.Lock()
	before := l.holder.Drained()
	l.holder.MarkDrained(generation)
	after := l.holder.Drained()
	l.mu.Unlock()
	if !after || before {
		return
	}
	select {
	case l.drained <- struct{}{}:
	default:
	}
}

// Drained reports whether all queries in flight were decided by the policy in effect.
func (l *Lease) Drained() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Drained()
}

// heartbeat returns the lease's part of the next heartbeat.
func (l *Lease) heartbeat() policy.Heartbeat {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Heartbeat(l.clock())
}

// handle processes an update that answers a poll sent at sentAt. See policy.LeaseHolder.Handle for its results.
func (l *Lease) handle(sentAt float64, u policy.Update) (revision policy.Revision, advanced, accepted bool) {
	l.mu.Lock()
	now := l.clock()
	before := l.generation
	revision, advanced, accepted = l.holder.Handle(sentAt, now, u)
	l.refresh(now)
	changed := l.generation != before
	l.mu.Unlock()
	if changed {
		l.onChange()
	}
	return revision, advanced, accepted
}

// Hold puts a policy of the gatherer's own file in effect, without policy servers. Number counts its readings.
func (l *Lease) Hold(p policy.Policy, number uint64) error {
	l.mu.Lock()
	err := l.validate(p)
	l.mu.Unlock()
	if err != nil {
		return err
	}
	l.handle(l.clock(), policy.Update{Epoch: number, LastEnded: number, Policy: p, Lease: math.Inf(1)})
	return nil
}
