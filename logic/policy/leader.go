package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"yokeroute/internal/suggest"
)

// maxClockDrift is by how much two machines' clocks may differ in how fast they run: forty times what is allowed
// to an ordinary quartz.
const maxClockDrift = 0.02

// Leader is what a steward that leads decides by: the record, and what it has heard from gatherers since
// its lead began. Times are milliseconds of its own monotonic clock.
type Leader struct {
	Record        *Record
	Lease         float64 // that it gives
	ChangeTimeout float64 // after which a change that is not everywhere prepared is given up

	electedAt     float64
	pendingSince  float64    // when the change that is being prepared was first seen by this one
	pendingNumber uint64     // that change's
	instances     []instance // in the order of names and processes
}

// instance is one process of a gatherer. Two may bear one name: one that was stopped, and the one in its
// place.
type instance struct {
	name, incarnation string
	heartbeat         Heartbeat
	polledAt          float64 // when it last asked
	// startedDuring is the change that was being prepared when it first asked, holding nothing: it has never heard a
	// word without it, and acts within its floor or within both.
	startedDuring uint64
}

// NewLeader begins a steward's lead.
func NewLeader(r *Record, lease, limit, now float64) *Leader {
	return &Leader{Record: r, Lease: lease, ChangeTimeout: limit, electedAt: now}
}

// MaxLeaseAge is for how long after its last question a gatherer may still act by a lease: beyond it, by any
// clock, it acts within its floor.
func (d *Leader) MaxLeaseAge() float64 { return d.Lease * (1 + maxClockDrift) }

// Handle takes a gatherer's question and gives its answer. It has to be asked for at the moment at which
// the steward is known to lead, by others' word, so that a steward that was stopped and overtaken gives
// no lease.
func (d *Leader) Handle(now float64, o Heartbeat) Update {
	w := d.Record.Update()
	in := instance{name: o.Name, incarnation: o.Incarnation}
	i, found := slices.BinarySearchFunc(d.instances, in, func(a, b instance) int {
		return cmp.Or(strings.Compare(a.name, b.name), strings.Compare(a.incarnation, b.incarnation))
	})
	if !found {
		if w.Pending != nil && o.Applied == (Revision{}) {
			in.startedDuring = w.Pending.Number
		}
		d.instances = slices.Insert(d.instances, i, in)
	}
	if d.Record.Registered(o.Member) {
		w.Lease = d.Lease
	}
	d.instances[i].heartbeat, d.instances[i].polledAt = o, now
	return w
}

// hasPrepared reports whether a process of a gatherer can't do any more what a change forbids.
func (in *instance) hasPrepared(number uint64) bool {
	return in.startedDuring == number || in.heartbeat.Applied.Pending == number && in.heartbeat.Drained
}

// live are the processes that may still act by a lease, in the order of their names.
func (d *Leader) live(now float64) []instance {
	d.instances = slices.DeleteFunc(d.instances, func(in instance) bool { return now > in.polledAt+d.MaxLeaseAge()+d.ChangeTimeout })
	var all []instance
	for _, in := range d.instances {
		if now <= in.polledAt+d.MaxLeaseAge() {
			all = append(all, in)
		}
	}
	return all
}

// Decide says whether the change that is being prepared is to be decided or given up now, nothing where
// neither; and for people what is waited for.
func (d *Leader) Decide(now float64) (c *Command, waits string) {
	change := d.Record.Pending
	if change == nil {
		return nil, ""
	}
	if d.pendingNumber != change.Number {
		d.pendingNumber, d.pendingSince = change.Number, now
	}
	var missing []string
	for _, in := range d.live(now) {
		switch {
		case in.heartbeat.RefusedChange == change.Number:
			return &Command{Abandon: change.Number, Reason: fmt.Sprintf("%s refuses it: %s", in.name, in.heartbeat.RefusalReason)}, ""
		case !in.hasPrepared(change.Number):
			missing = append(missing, in.name)
		}
	}
	switch {
	case len(missing) == 0 && now > d.electedAt+d.MaxLeaseAge():
		return &Command{Commit: change.Number}, ""
	case now > d.pendingSince+d.ChangeTimeout:
		word := "the stewards' lead went from one to another too often"
		if len(missing) > 0 {
			word = fmt.Sprintf("not prepared within %.0f s: %s", d.ChangeTimeout/1000, suggest.List(slices.Compact(missing)))
		}
		return &Command{Abandon: change.Number, Reason: word}, ""
	case len(missing) > 0:
		return nil, "not prepared yet: " + suggest.List(slices.Compact(missing))
	}
	return nil, fmt.Sprintf("a steward that has just begun to lead waits for %.0f s, "+
		"since who asked the one before it may act by its word", math.Ceil((d.electedAt+d.MaxLeaseAge()-now)/1000))
}

// MemberStatus is how far a gatherer is.
type MemberStatus struct {
	Name          string      `json:"name"`
	Zone          string      `json:"zone,omitempty"`
	Applied       Revision    `json:"holds"`
	State         MemberState `json:"state"`
	SinceLastPoll float64     `json:"since"` // milliseconds since it was last heard; -1 for never by this steward
	Version       string      `json:"version,omitempty"`
	Detail        string      `json:"word,omitempty"`
}

// MemberState is a gatherer's, in a word.
type MemberState string

// The states.
const (
	StateApplied     MemberState = "holds"    // the policy in force
	StatePrepared    MemberState = "prepared" // for the change
	StateStale       MemberState = "behind"   // it acts by an older word, or has lookups in hand that do
	StateDetached    MemberState = "alone"    // it has not been heard, and acts within its floor
	StateRefusing    MemberState = "refuses"
	StateNotAdmitted MemberState = "not taken in" // it acts within a floor that allows what is forbidden, or is too old
)

// MemberStatuses are all gatherers that are known or were heard, by name; of one with several processes the
// one that is the furthest behind.
func (d *Leader) MemberStatuses(now float64) (all []MemberStatus) {
	number := uint64(0)
	if d.Record.Pending != nil {
		number = d.Record.Pending.Number
	}
	rank := []MemberState{StateApplied, StatePrepared, StateDetached, StateStale, StateNotAdmitted, StateRefusing}
	put := func(s MemberStatus) { // names come in their order
		last := len(all) - 1
		switch {
		case last < 0 || all[last].Name != s.Name:
			all = append(all, s)
		case slices.Index(rank, s.State) > slices.Index(rank, all[last].State):
			all[last] = s
		}
	}
	for _, in := range d.live(now) {
		o := in.heartbeat
		s := MemberStatus{Name: in.name, Zone: o.Zone, Applied: o.Applied, State: StateStale, SinceLastPoll: now - in.polledAt,
			Version: o.Version}
		switch {
		case !d.Record.Registered(o.Member):
			s.State, s.Detail = StateNotAdmitted, "its floor allows what is forbidden, or it does not know a kind"
		case o.RefusedChange > 0:
			s.State, s.Detail = StateRefusing, o.RefusalReason
		case number > 0 && in.hasPrepared(number):
			s.State = StatePrepared
		case o.Applied == (Revision{}): // it has just started, or had not been answered for a lease, when it asked
			s.State = StateDetached
		case number == 0 && o.Applied.Epoch == d.Record.Epoch && o.Applied.LastEnded == d.Record.LastEnded && o.Drained:
			s.State = StateApplied
		}
		put(s)
	}
	byName := func(s MemberStatus, name string) int { return strings.Compare(s.Name, name) }
	heard := all
	for _, m := range d.Record.Members {
		if _, found := slices.BinarySearchFunc(heard, m.Name, byName); found {
			continue
		}
		s := MemberStatus{Name: m.Name, Zone: m.Zone, State: StateDetached, SinceLastPoll: -1}
		for _, in := range d.instances {
			if in.name == m.Name && (s.SinceLastPoll < 0 || now-in.polledAt < s.SinceLastPoll) {
				s.SinceLastPoll, s.Applied, s.Version = now-in.polledAt, in.heartbeat.Applied, in.heartbeat.Version
			}
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b MemberStatus) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// AppliedEverywhere reports whether the policy in force is all that any gatherer acts by, but for those that are
// alone, and names those that lack; standings are those of the same moment.
func (d *Leader) AppliedEverywhere(now float64, standings []MemberStatus) (holds bool, missing []string) {
	if now <= d.electedAt+d.MaxLeaseAge() { // somebody may act by the word of the steward before this one
		missing = append(missing, "who asked the steward that led before")
	}
	for _, s := range standings {
		if s.State == StateStale || s.State == StateRefusing {
			missing = append(missing, s.Name)
		}
	}
	return len(missing) == 0 && d.Record.Pending == nil, missing
}
