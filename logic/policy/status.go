package policy

import (
	"slices"
	"strings"
)

// MemberStatus describes for operators how far one gatherer has applied the policy.
type MemberStatus struct {
	Name          string      `json:"name"`
	Zone          string      `json:"zone,omitempty"`
	Applied       Revision    `json:"holds"`
	State         MemberState `json:"state"`
	SinceLastPoll float64     `json:"since"` // milliseconds; -1 if it has never polled this leader
	Version       string      `json:"version,omitempty"`
	Detail        string      `json:"word,omitempty"`
}

// MemberState summarizes a gatherer's status. Its values are those of the protocol.
type MemberState string

// The states of a gatherer. One is not admitted if its fallback policy permits too much, or if its version is
// too old to know all kinds of entries.
const (
	StateApplied     MemberState = "holds"        // it applies the committed policy
	StatePrepared    MemberState = "prepared"     // it has prepared the pending change
	StateStale       MemberState = "behind"       // it or its queries in flight apply an older revision
	StateDetached    MemberState = "alone"        // it has no lease and applies its fallback policy
	StateRefusing    MemberState = "refuses"      // it cannot apply the policy or the pending change
	StateNotAdmitted MemberState = "not taken in" // it is not registered with its fallback policy and kinds
)

// severity lists the states in increasing order of severity. If several incarnations of a gatherer are live,
// the most severe of their states is shown.
var severity = []MemberState{
	StateApplied,
	StatePrepared,
	StateDetached,
	StateStale,
	StateNotAdmitted,
	StateRefusing,
}

func moreSevere(a, b MemberState) bool {
	return slices.Index(severity, a) > slices.Index(severity, b)
}

// MemberStatuses returns the status of each gatherer that is registered or has polled, ordered by name.
func (l *Leader) MemberStatuses(now float64) []MemberStatus {
	statuses := l.liveStatuses(now)
	live := len(statuses)
	for _, m := range l.Record.Members {
		if !containsName(statuses[:live], m.Name) {
			statuses = append(statuses, l.detachedStatus(m, now))
		}
	}
	slices.SortFunc(statuses, func(a, b MemberStatus) int { return strings.Compare(a.Name, b.Name) })
	return statuses
}

// containsName reports whether statuses, which are ordered by name, contain one of the given name.
func containsName(statuses []MemberStatus, name string) bool {
	_, found := slices.BinarySearchFunc(statuses, name, func(s MemberStatus, name string) int {
		return strings.Compare(s.Name, name)
	})
	return found
}

// liveStatuses returns the status of each gatherer that may hold a lease, ordered by name.
func (l *Leader) liveStatuses(now float64) (statuses []MemberStatus) {
	for _, in := range l.live(now) { // ordered by name
		status := l.instanceStatus(&in, now)
		last := len(statuses) - 1
		switch {
		case last < 0 || statuses[last].Name != status.Name:
			statuses = append(statuses, status)
		case moreSevere(status.State, statuses[last].State):
			statuses[last] = status
		}
	}
	return statuses
}

// instanceStatus returns the status of one incarnation of a gatherer.
func (l *Leader) instanceStatus(in *instance, now float64) MemberStatus {
	heartbeat := &in.heartbeat
	status := MemberStatus{
		Name:          in.name,
		Zone:          heartbeat.Zone,
		Applied:       heartbeat.Applied,
		SinceLastPoll: now - in.polledAt,
		Version:       heartbeat.Version,
	}
	status.State, status.Detail = l.instanceState(in)
	return status
}

func (l *Leader) instanceState(in *instance) (state MemberState, detail string) {
	heartbeat := &in.heartbeat
	pending := l.Record.Pending
	switch {
	case !l.Record.Registered(heartbeat.Member):
		return StateNotAdmitted, "its floor allows what is forbidden, or it does not know a kind"
	case heartbeat.RefusedChange > 0:
		return StateRefusing, heartbeat.RefusalReason
	case pending != nil && in.hasPrepared(pending.Number):
		return StatePrepared, ""
	case heartbeat.Applied == (Revision{}): // it has just started, or its lease had expired when it polled
		return StateDetached, ""
	case pending == nil && l.appliesRecord(heartbeat):
		return StateApplied, ""
	}
	return StateStale, ""
}

// appliesRecord reports whether a gatherer applies the committed policy, to all queries in flight too.
func (l *Leader) appliesRecord(h *Heartbeat) bool {
	return h.Applied.Epoch == l.Record.Epoch && h.Applied.LastEnded == l.Record.LastEnded && h.Drained
}

// detachedStatus returns the status of a registered gatherer that cannot hold a lease any more.
func (l *Leader) detachedStatus(m Member, now float64) MemberStatus {
	status := MemberStatus{Name: m.Name, Zone: m.Zone, State: StateDetached, SinceLastPoll: -1}
	for _, in := range l.instances {
		if in.name != m.Name {
			continue
		}
		if since := now - in.polledAt; status.SinceLastPoll < 0 || since < status.SinceLastPoll {
			status.SinceLastPoll = since
			status.Applied = in.heartbeat.Applied
			status.Version = in.heartbeat.Version
		}
	}
	return status
}

// AppliedEverywhere reports whether no change is pending and every gatherer that is not detached applies the
// committed policy only. missing names the gatherers that do not. statuses must be the result of
// MemberStatuses for the same now.
func (l *Leader) AppliedEverywhere(now float64, statuses []MemberStatus) (everywhere bool, missing []string) {
	if now <= l.electedAt+l.MaxLeaseAge() { // some may hold a lease of the previous leader
		missing = append(missing, "gatherers that polled the previous leader")
	}
	for _, s := range statuses {
		if s.State == StateStale || s.State == StateRefusing {
			missing = append(missing, s.Name)
		}
	}
	return len(missing) == 0 && l.Record.Pending == nil, missing
}
