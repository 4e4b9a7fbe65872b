package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"yokeroute/internal/suggest"
)

// maxClockDrift limits by how much the rates of two machines' clocks may differ. It is some forty times the
// tolerance of an ordinary quartz.
const maxClockDrift = 0.02

// Leader decides when a policy change commits. It runs on the raft leader only, and knows what gatherers
// have reported since that server was elected. All times are in milliseconds of the server's own monotonic
// clock.
type Leader struct {
	Record        *Record
	Lease         float64 // duration of the lease that each update grants
	ChangeTimeout float64 // time after which a change that is not prepared everywhere is abandoned

	electedAt     float64
	pendingNumber uint64     // the latest pending change that was seen
	pendingSince  float64    // when pendingNumber was first seen
	instances     []instance // ordered by name and incarnation
}

// instance is one incarnation of a gatherer. There can be two of the same name: one that hangs, and its
// replacement.
type instance struct {
	name        string
	incarnation string
	heartbeat   Heartbeat
	polledAt    float64
	// startedDuring is the change that was pending at the instance's first poll if it had no lease then, else
	// 0. Such an instance has never received an update without that change, so it applies the fallback policy
	// or the intersection.
	startedDuring uint64
}

// NewLeader returns a Leader for a server that was elected now.
func NewLeader(r *Record, lease, changeTimeout, now float64) *Leader {
	return &Leader{Record: r, Lease: lease, ChangeTimeout: changeTimeout, electedAt: now}
}

// MaxLeaseAge returns the longest time after its last poll for which a gatherer may hold a lease, allowing
// for clock drift. After that time the gatherer applies its fallback policy.
func (l *Leader) MaxLeaseAge() float64 { return l.Lease * (1 + maxClockDrift) }

// Handle processes a heartbeat and returns the update to answer it with. The caller must verify its
// leadership after the heartbeat has arrived, since a deposed leader must not grant a lease.
func (l *Leader) Handle(now float64, h Heartbeat) Update {
	update := l.Record.Update()
	polling := instance{name: h.Name, incarnation: h.Incarnation}
	i, found := slices.BinarySearchFunc(l.instances, polling, func(a, b instance) int {
		return cmp.Or(strings.Compare(a.name, b.name), strings.Compare(a.incarnation, b.incarnation))
	})
	if !found {
		if update.Pending != nil && h.Applied == (Revision{}) {
			polling.startedDuring = update.Pending.Number
		}
		l.instances = slices.Insert(l.instances, i, polling)
	}
	if l.Record.Registered(h.Member) {
		update.Lease = l.Lease
	}
	l.instances[i].heartbeat = h
	l.instances[i].polledAt = now
	return update
}

// hasPrepared reports whether an instance is certain not to do what a pending change forbids.
func (in *instance) hasPrepared(number uint64) bool {
	if in.startedDuring == number {
		return true
	}
	return in.heartbeat.Applied.Pending == number && in.heartbeat.Drained
}

// live returns the instances that may hold a lease, ordered by name. It removes those whose last poll is
// longer ago than the longest lease and ChangeTimeout together.
func (l *Leader) live(now float64) []instance {
	l.instances = slices.DeleteFunc(l.instances, func(in instance) bool {
		return now > in.polledAt+l.MaxLeaseAge()+l.ChangeTimeout
	})
	var live []instance
	for _, in := range l.instances {
		if now <= in.polledAt+l.MaxLeaseAge() {
			live = append(live, in)
		}
	}
	return live
}

// Decide returns the command that commits or abandons the pending change. While the change has to wait, the
// command is nil and waitingFor describes for operators what it waits for.
func (l *Leader) Decide(now float64) (c *Command, waitingFor string) {
	change := l.Record.Pending
	if change == nil {
		return nil, ""
	}
	if l.pendingNumber != change.Number {
		l.pendingNumber = change.Number
		l.pendingSince = now
	}
	var missing []string
	for _, in := range l.live(now) {
		switch {
		case in.heartbeat.RefusedChange == change.Number:
			reason := fmt.Sprintf("%s refuses it: %s", in.name, in.heartbeat.RefusalReason)
			return &Command{Abandon: change.Number, Reason: reason}, ""
		case !in.hasPrepared(change.Number):
			missing = append(missing, in.name)
		}
	}
	missing = slices.Compact(missing)
	// A gatherer that has not polled this leader may hold a lease that the previous leader granted.
	earlierLeasesEnd := l.electedAt + l.MaxLeaseAge()
	switch {
	case len(missing) == 0 && now > earlierLeasesEnd:
		return &Command{Commit: change.Number}, ""
	case now > l.pendingSince+l.ChangeTimeout:
		return &Command{Abandon: change.Number, Reason: l.timeoutReason(missing)}, ""
	case len(missing) > 0:
		return nil, "not prepared yet: " + suggest.Join(missing)
	}
	return nil, fmt.Sprintf("a new leader waits for %.0f s, "+
		"as leases of the previous leader may still be valid", math.Ceil((earlierLeasesEnd-now)/1000))
}

// timeoutReason describes why a change was not prepared in time.
func (l *Leader) timeoutReason(missing []string) string {
	if len(missing) == 0 {
		return "leadership changed too often"
	}
	return fmt.Sprintf("not prepared within %.0f s: %s", l.ChangeTimeout/1000, suggest.Join(missing))
}
