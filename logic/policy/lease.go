package policy

// LeaseHolder decides which policy is in effect in one gatherer. All times are in milliseconds of the
// gatherer's own monotonic clock.
type LeaseHolder struct {
	fallback Policy
	validate func(Policy) error // checks a policy against the platform's settings; nil accepts every policy

	revision  Revision
	effective Policy // the committed policy, its intersection with the pending one, or the fallback policy
	leased    bool
	expiresAt float64 // when the lease expires; never decreases, as polls are sequential

	generation      uint64 // incremented with each policy that takes effect
	oldestPermitted uint64 // the oldest generation whose decisions may still be carried out

	refusedChange   uint64
	refusalReason   string
	expiredLeases   uint64
	rejectedUpdates uint64
}

// NewLeaseHolder returns a holder without a lease. revision is the one that an earlier incarnation has
// stored.
func NewLeaseHolder(fallback Policy, revision Revision, validate func(Policy) error) *LeaseHolder {
	return &LeaseHolder{
		fallback:        fallback,
		validate:        validate,
		revision:        revision,
		effective:       fallback,
		generation:      1,
		oldestPermitted: 1,
	}
}

// Handle processes the answer to a poll that was sent at sentAt. It returns the current revision, which the
// caller stores if it has advanced, and whether the update was accepted. An update that is older than the
// revision is not accepted, and neither is one whose committed policy cannot be applied.
func (h *LeaseHolder) Handle(sentAt, now float64, u Update) (revision Revision, advanced, accepted bool) {
	h.expire(now)
	if h.revision.newerThan(&u) {
		h.rejectedUpdates++
		return h.revision, false, false
	}
	next := u.Revision()
	// A committed policy that contradicts the platform's settings or has an unknown kind cannot be applied.
	// The fallback policy takes its place, as it is at least as tight.
	if err := h.check(u.Policy); err != nil {
		h.refusedChange = u.Epoch
		h.refusalReason = err.Error()
		h.fallBack()
		return h.revision, false, false
	}
	effective := h.prepare(&u)
	// If a change was committed that this gatherer never prepared, the leader did not wait for it: its lease
	// must have expired by the leader's clock.
	if h.leased && next.Epoch > h.revision.Epoch && h.revision.Pending != next.Epoch {
		h.expiredLeases++
		h.fallBack()
	}
	advanced = next != h.revision
	h.revision = next
	refused := h.refusedChange > 0 && h.refusedChange == next.Pending
	// An update that arrives after its own lease has expired has no effect. Neither has an update whose
	// pending change cannot be applied, if no lease is held.
	if sentAt+u.Lease <= now || refused && !h.leased {
		return h.revision, advanced, true
	}
	h.renew(sentAt+u.Lease, effective, advanced && !refused)
	return h.revision, advanced, true
}

// prepare returns the policy that an update puts into effect, and records whether its pending change is
// refused.
func (h *LeaseHolder) prepare(u *Update) Policy {
	h.refusedChange = 0
	h.refusalReason = ""
	if u.Pending == nil {
		return u.Policy
	}
	if err := h.check(u.Pending.Policy); err != nil {
		h.refusedChange = u.Pending.Number
		h.refusalReason = err.Error()
	}
	return Intersect(u.Policy, u.Pending.Policy)
}

// renew extends the lease. It puts the policy into effect if the policy has changed or no lease was held.
func (h *LeaseHolder) renew(expiresAt float64, effective Policy, changed bool) {
	acquired := !h.leased
	h.leased = true
	h.expiresAt = expiresAt
	if acquired || changed {
		h.effective = effective
		h.generation++
	}
	if acquired { // no draining is needed, as every policy permits what the fallback policy permits
		h.oldestPermitted = h.generation
	}
}

// check returns an error if this gatherer cannot apply a policy.
func (h *LeaseHolder) check(p Policy) error {
	if unknown := p.UnknownKinds(); len(unknown) > 0 {
		return reject("the kind %s is not known to this version", unknown[0])
	}
	if h.validate == nil {
		return nil
	}
	return h.validate(p)
}

// expire ends the lease if its time is over.
func (h *LeaseHolder) expire(now float64) {
	if h.leased && now >= h.expiresAt {
		h.expiredLeases++
		h.fallBack()
	}
}

// fallBack ends the lease and puts the fallback policy into effect. Decisions of earlier generations are no
// longer permitted.
func (h *LeaseHolder) fallBack() {
	h.leased = false
	h.effective = h.fallback
	h.generation++
	h.oldestPermitted = h.generation
}

// Effective returns the policy that applies to queries that arrive now, and its generation.
func (h *LeaseHolder) Effective(now float64) (p Policy, generation uint64) {
	h.expire(now)
	return h.effective, h.generation
}

// Permits reports whether what was decided in a generation may still be carried out. If not, the caller
// checks it against the policy in effect.
func (h *LeaseHolder) Permits(generation uint64, now float64) bool {
	h.expire(now)
	return generation >= h.oldestPermitted
}

// MarkDrained records that no query is in flight that was decided by a policy before a generation.
func (h *LeaseHolder) MarkDrained(generation uint64) {
	h.oldestPermitted = max(h.oldestPermitted, min(generation, h.generation))
}

// Drained reports whether all queries in flight were decided by the policy in effect.
func (h *LeaseHolder) Drained() bool { return h.oldestPermitted == h.generation }

// ExpiresAt returns when the lease expires, 0 without a lease.
func (h *LeaseHolder) ExpiresAt() float64 {
	if !h.leased {
		return 0
	}
	return h.expiresAt
}

// Heartbeat returns the holder's part of the heartbeat to send now. The caller adds the gatherer's identity.
func (h *LeaseHolder) Heartbeat(now float64) Heartbeat {
	h.expire(now)
	heartbeat := Heartbeat{
		Drained:         h.Drained(),
		RefusedChange:   h.refusedChange,
		RefusalReason:   h.refusalReason,
		ExpiredLeases:   h.expiredLeases,
		RejectedUpdates: h.rejectedUpdates,
	}
	if h.leased {
		heartbeat.Applied = h.revision
	}
	if h.refusedChange > 0 && h.refusedChange == heartbeat.Applied.Pending {
		heartbeat.Applied.Pending = 0
	}
	return heartbeat
}
