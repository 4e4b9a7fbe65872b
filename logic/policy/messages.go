package policy

// Update is the leader's answer to a heartbeat: the part of the record that gatherers apply, and a lease.
type Update struct {
	Epoch     uint64  `json:"epoch"`
	Policy    Policy  `json:"policy,omitempty"`
	LastEnded uint64  `json:"last"`             // the highest number of an ended change
	Pending   *Change `json:"change,omitempty"` // the change that is being prepared
	// Lease is the time in milliseconds, counted from the sending of the heartbeat, for which the
	// gatherer may apply this update. It is 0 for a gatherer that is not registered; RefusalReason then
	// gives the reason.
	Lease         float64 `json:"lease"`
	RefusalReason string  `json:"refused,omitempty"`
}

// Revision returns the revision of the record that the update carries.
func (u *Update) Revision() Revision {
	revision := Revision{Epoch: u.Epoch, LastEnded: u.LastEnded}
	if u.Pending != nil {
		revision.Pending = u.Pending.Number
	}
	return revision
}

// IsNewTo reports whether the update carries a revision that the sender of a heartbeat has not applied. A
// pending change that the gatherer refuses does not count, since the gatherer would otherwise poll again
// at once.
func (u *Update) IsNewTo(h Heartbeat) bool {
	revision := u.Revision()
	refused := h.RefusedChange > 0 && h.RefusedChange == revision.Pending
	return revision != h.Applied && !refused
}

// Revision identifies a state of the record. A gatherer never goes back to an earlier revision; it stores its
// revision so that this holds across restarts. A gatherer without a disk restarts with its fallback policy,
// which needs no revision.
type Revision struct {
	Epoch     uint64 `json:"epoch"`
	LastEnded uint64 `json:"last"`
	Pending   uint64 `json:"change,omitempty"`
}

// newerThan reports whether the revision is newer than that of an update. Epoch and LastEnded never decrease,
// and neither does Pending as long as LastEnded is the same.
func (r Revision) newerThan(u *Update) bool {
	other := u.Revision()
	switch {
	case other.Epoch < r.Epoch, other.LastEnded < r.LastEnded:
		return true
	}
	return other.LastEnded == r.LastEnded && other.Pending < r.Pending
}

// Heartbeat is the state that a gatherer reports with each poll.
type Heartbeat struct {
	Member
	Incarnation     string   `json:"process"`            // differs for each start of the process
	Applied         Revision `json:"holds"`              // zero while the fallback policy is in effect
	Drained         bool     `json:"settled"`            // no query is in flight under an earlier policy
	RefusedChange   uint64   `json:"refuses,omitempty"`  // number of a change that the gatherer cannot apply
	RefusalReason   string   `json:"why,omitempty"`      // why the gatherer cannot apply RefusedChange
	Version         string   `json:"version,omitempty"`  // version of the gatherer's program
	ExpiredLeases   uint64   `json:"lapses,omitempty"`   // leases that expired since the start
	RejectedUpdates uint64   `json:"rejected,omitempty"` // updates older than its revision since the start
}
