package policy

// Update is the leader's answer to a heartbeat: the part of the record that concerns a gatherer, and its
// lease.
type Update struct {
	Epoch     uint64  `json:"epoch"`
	Policy    Policy  `json:"policy,omitempty"`
	LastEnded uint64  `json:"last"`             // the highest number of a change that was committed or abandoned
	Pending   *Change `json:"change,omitempty"` // the change that is being prepared
	// Lease is the time in milliseconds, counted from the sending of the heartbeat, for which the
	// gatherer may apply this update. It is 0 for a gatherer that is not registered; RefusalReason then
	// says why.
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
// pending change that the gatherer refuses does not count, as it would poll again at once.
func (u *Update) IsNewTo(h Heartbeat) bool {
	revision := u.Revision()
	refused := h.RefusedChange > 0 && h.RefusedChange == revision.Pending
	return revision != h.Applied && !refused
}

// Revision identifies a state of the record. A gatherer never goes back to an earlier one; it stores its
// revision so that this holds across restarts. Without a disk it restarts with its fallback policy, which
// needs no revision.
type Revision struct {
	Epoch     uint64 `json:"epoch"`
	LastEnded uint64 `json:"last"`
	Pending   uint64 `json:"change,omitempty"`
}

// newerThan reports whether an update is older than the revision. Each of a revision's numbers only
// grows.
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
	Incarnation     string   `json:"process"`            // differs after each start
	Applied         Revision `json:"holds"`              // zero while the fallback policy is in effect
	Drained         bool     `json:"settled"`            // no query is in flight under an earlier policy
	RefusedChange   uint64   `json:"refuses,omitempty"`  // a change that it cannot apply
	RefusalReason   string   `json:"why,omitempty"`      // why it cannot
	Version         string   `json:"version,omitempty"`  // of its program
	ExpiredLeases   uint64   `json:"lapses,omitempty"`   // since its start
	RejectedUpdates uint64   `json:"rejected,omitempty"` // updates older than its revision, since its start
}
