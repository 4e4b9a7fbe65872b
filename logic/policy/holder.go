package policy

// Update is what a steward that leads tells a gatherer: the record, as far as it is the gatherer's business.
type Update struct {
	Epoch     uint64  `json:"epoch"`
	Policy    Policy  `json:"policy,omitempty"`
	LastEnded uint64  `json:"last"`
	Pending   *Change `json:"change,omitempty"`
	// Lease is for how many milliseconds after it sent its question the gatherer may go by this word; 0 for one
	// that is not taken in, and Refused says why.
	Lease         float64 `json:"lease"`
	RefusalReason string  `json:"refused,omitempty"`
}

// Revision is how far who has heard a word has come.
func (w *Update) Revision() Revision {
	f := Revision{Epoch: w.Epoch, LastEnded: w.LastEnded}
	if w.Pending != nil {
		f.Pending = w.Pending.Number
	}
	return f
}

// IsNewTo reports whether a word holds what a gatherer has not come to yet. A change that it refuses is none: it
// would ask again at once.
func (w *Update) IsNewTo(h Heartbeat) bool {
	now := w.Revision()
	refused := h.RefusedChange > 0 && h.RefusedChange == now.Pending
	return now != h.Applied && !refused
}

// Revision is how far a gatherer has come: what it may never go back behind. It outlasts the process where
// there is a disk; without one a gatherer that starts anew begins at its floor, which needs none.
type Revision struct {
	Epoch     uint64 `json:"epoch"`
	LastEnded uint64 `json:"last"`
	Pending   uint64 `json:"change,omitempty"` // being prepared
}

// newerThan reports whether a word is older than the fence: a record only grows.
func (f Revision) newerThan(w *Update) bool {
	told := w.Revision()
	return told.Epoch < f.Epoch || told.LastEnded < f.LastEnded || told.LastEnded == f.LastEnded && told.Pending < f.Pending
}

// Heartbeat is what a gatherer tells a steward, with each question.
type Heartbeat struct {
	Member
	Incarnation     string   `json:"process"`            // another one with each start
	Applied         Revision `json:"holds"`              // what it acts by; nothing where it acts within its floor
	Drained         bool     `json:"settled"`            // no lookup is in hand that was decided by anything else
	RefusedChange   uint64   `json:"refuses,omitempty"`  // a change that it can't act by
	RefusalReason   string   `json:"why,omitempty"`      // and why
	Version         string   `json:"version,omitempty"`  // of its program
	ExpiredLeases   uint64   `json:"lapses,omitempty"`   // leases that ran out
	RejectedUpdates uint64   `json:"rejected,omitempty"` // words that would have gone back
}

// LeaseHolder is what one gatherer goes by. Times are milliseconds of its own monotonic clock.
type LeaseHolder struct {
	fallback Policy
	validate func(Policy) error // what the platform's settings say to a policy

	revision        Revision
	effective       Policy // in force, or its intersection with the one that is being prepared, or the floor
	leased          bool
	expiresAt       float64 // of the lease; questions are asked one after the other, so that it only grows
	generation      uint64  // counts what it has acted by, one after the other
	oldestInFlight  uint64  // the way from which the lookups in hand may still be: what is older has lost its right
	refusedChange   uint64
	refusalReason   string
	expiredLeases   uint64
	rejectedUpdates uint64
}

// NewLeaseHolder begins within its floor, at a fence that an earlier process left.
func NewLeaseHolder(floor Policy, fence Revision, fit func(Policy) error) *LeaseHolder {
	return &LeaseHolder{fallback: floor, validate: fit, revision: fence, effective: floor, generation: 1, oldestInFlight: 1}
}

// Handle takes a word that answers a question sent at asked. It gives the fence to be kept before anything
// is acted by, and whether it has moved; and whether the word was taken at all: one that would go back is
// not.
func (h *LeaseHolder) Handle(asked, now float64, w Update) (fence Revision, moved, taken bool) {
	h.expire(now)
	if h.revision.newerThan(&w) {
		h.rejectedUpdates++
		return h.revision, false, false
	}
	next := w.Revision()
	// What the platform contradicts, or what is not known here, can't be acted by: the floor is within it.
	if err := h.check(w.Policy); err != nil {
		h.refusedChange, h.refusalReason = w.Epoch, err.Error()
		h.fallBack()
		return h.revision, false, false
	}
	h.refusedChange, h.refusalReason = 0, ""
	acts := w.Policy
	if w.Pending != nil {
		if err := h.check(w.Pending.Policy); err != nil {
			h.refusedChange, h.refusalReason = w.Pending.Number, err.Error()
		}
		acts = Intersect(w.Policy, w.Pending.Policy)
	}
	// A change that was decided and never prepared here was not waited for: this gatherer counts as cut off.
	if next.Epoch > h.revision.Epoch && h.revision.Pending != next.Epoch && h.leased {
		h.expiredLeases++
		h.fallBack()
	}
	moved = next != h.revision
	fresh := !h.leased
	h.revision = next
	refused := h.refusedChange > 0 && h.refusedChange == next.Pending
	if asked+w.Lease <= now || refused && fresh {
		// Too late already; or a change that is refused here, so that the intersection can't be acted by.
		return h.revision, moved, true
	}
	h.leased = true
	h.expiresAt = asked + w.Lease
	if fresh || moved && !refused { // one that is refused is not acted by until it has been given up
		h.effective = acts
		h.generation++
	}
	if fresh { // what the floor allowed every policy allows
		h.oldestInFlight = h.generation
	}
	return h.revision, moved, true
}

func (h *LeaseHolder) check(p Policy) error {
	if unknown := p.UnknownKinds(); len(unknown) > 0 {
		return reject("the kind %s is not known to this version", unknown[0])
	}
	if h.validate == nil {
		return nil
	}
	return h.validate(p)
}

// expire ends a lease that has run out.
func (h *LeaseHolder) expire(now float64) {
	if h.leased && now >= h.expiresAt {
		h.expiredLeases++
		h.fallBack()
	}
}

// fallBack goes to the floor: all that was decided by anything else loses its right.
func (h *LeaseHolder) fallBack() {
	h.leased, h.effective = false, h.fallback
	h.generation++
	h.oldestInFlight = h.generation
}

// Effective is what lookups that land now are decided by, and the number of that way.
func (h *LeaseHolder) Effective(now float64) (Policy, uint64) {
	h.expire(now)
	return h.effective, h.generation
}

// Permits reports whether what was decided in an earlier way may still be done. Where not, it may only as far
// as what is acted by now allows it.
func (h *LeaseHolder) Permits(way uint64, now float64) bool {
	h.expire(now)
	return way >= h.oldestInFlight
}

// MarkDrained tells that no lookup is in hand that was decided in a way before this one.
func (h *LeaseHolder) MarkDrained(way uint64) {
	h.oldestInFlight = max(h.oldestInFlight, min(way, h.generation))
}

// Drained reports whether all in hand is by what is acted by now.
func (h *LeaseHolder) Drained() bool { return h.oldestInFlight == h.generation }

// ExpiresAt is when the lease ends, 0 where there is none.
func (h *LeaseHolder) ExpiresAt() float64 {
	if !h.leased {
		return 0
	}
	return h.expiresAt
}

// Heartbeat is what to tell a steward now.
func (h *LeaseHolder) Heartbeat(now float64) Heartbeat {
	h.expire(now)
	o := Heartbeat{Drained: h.Drained(), RefusedChange: h.refusedChange, RefusalReason: h.refusalReason, ExpiredLeases: h.expiredLeases, RejectedUpdates: h.rejectedUpdates}
	if h.leased {
		o.Applied = h.revision
	}
	if h.refusedChange > 0 && h.refusedChange == o.Applied.Pending {
		o.Applied.Pending = 0
	}
	return o
}
