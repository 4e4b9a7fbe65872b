package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// leaseTest sends updates to a lease holder.
type leaseTest struct {
	*testing.T
	*LeaseHolder
}

// update returns an update with a lease of 100 milliseconds.
func update(epoch uint64, p Policy, pending *Change) Update {
	return Update{Epoch: epoch, Policy: p, LastEnded: epoch, Pending: pending, Lease: 100}
}

// effective checks the policy in effect and whether a lease is held, and returns the generation.
func (t leaseTest) effective(now float64, want Policy, leased bool) (generation uint64) {
	t.Helper()
	p, generation := t.Effective(now)
	if !slices.Equal(p, want) || (t.ExpiresAt() > 0) != leased {
		t.Errorf("at %g: %v is in effect, lease until %g", now, p, t.ExpiresAt())
	}
	return generation
}

// newLeaseTest returns a holder of revision 3 that refuses the class nowhere.
func newLeaseTest(t *testing.T) leaseTest {
	validate := func(p Policy) error {
		if p.Has(NonIdempotent, "nowhere") {
			return fmt.Errorf("no index nowhere")
		}
		return nil
	}
	return leaseTest{t, NewLeaseHolder(bothClosed, Revision{Epoch: 3, LastEnded: 3}, validate)}
}

// TestLeaseHolder follows a gatherer: it starts with its fallback policy, prepares a change, is suspended
// beyond its lease, refuses changes, and never goes back to an earlier revision.
func TestLeaseHolder(test *testing.T) {
	t := newLeaseTest(test)
	t.effective(0, bothClosed, false)
	if _, _, accepted := t.Handle(0, 1, update(2, oldPolicy, nil)); accepted {
		t.Error("accepted an update older than the revision of an earlier process")
	}
	t.Handle(1, 5, update(3, oldPolicy, nil))
	first := t.effective(5, oldPolicy, true)
	t.Handle(10, 20, update(3, oldPolicy, &Change{Number: 4, Policy: newPolicy}))
	t.effective(20, bothClosed, true)
	if h := t.Heartbeat(20); h.Drained || h.Applied.Pending != 4 || !t.Permits(first, 20) {
		t.Errorf("%+v: queries in flight may go on", h)
	}
	if _, _, accepted := t.Handle(15, 21, update(3, oldPolicy, nil)); accepted {
		t.Error("accepted an update without the change after one with it")
	}
	_, generation := t.Effective(22)
	t.MarkDrained(generation)
	if h := t.Heartbeat(22); !h.Drained || t.Permits(first, 22) {
		t.Errorf("%+v", h)
	}

	t.effective(109, bothClosed, true)
	t.effective(110, bothClosed, false) // the lease counts from the poll
	if h := t.Heartbeat(111); h.Applied != (Revision{}) || h.ExpiredLeases != 1 || !h.Drained {
		t.Errorf("%+v", h)
	}
	t.Handle(50, 200, update(4, newPolicy, nil)) // an answer that was late
	t.effective(200, bothClosed, false)
	t.Handle(200, 201, update(4, newPolicy, nil))
	t.refusesChanges()
}

// refusesChanges goes on with changes that the gatherer cannot apply.
func (t leaseTest) refusesChanges() {
	t.Helper()
	last := t.effective(201, newPolicy, true)
	nowhere := mustNew(t, Entry{Kind: NonIdempotent, Subject: "nowhere"})
	t.Handle(202, 203, update(4, newPolicy, &Change{Number: 5, Policy: nowhere}))
	t.effective(203, newPolicy, true) // a refused change is not applied
	h := t.Heartbeat(204)
	if h.RefusedChange != 5 || h.Applied.Pending != 0 || !strings.Contains(h.RefusalReason, "no index nowhere") {
		t.Errorf("%+v", h)
	}
	if !t.Permits(last, 204) {
		t.Error("a refused change ends what was permitted")
	}
	t.Handle(205, 206, update(4, newPolicy, &Change{Number: 5, Policy: Policy{{Kind: "newer"}}}))
	if h := t.Heartbeat(207); h.RefusedChange != 5 || !strings.Contains(h.RefusalReason, "newer is not known") {
		t.Errorf("%+v", h)
	}
	t.Handle(208, 209, Update{Epoch: 4, LastEnded: 5, Policy: newPolicy, Lease: 100})
	t.effective(209, newPolicy, true)
	t.Handle(210, 211, update(6, oldPolicy, nil)) // committed, and never prepared here
	t.effective(211, oldPolicy, true)
	if t.Permits(last, 211) || t.expiredLeases != 2 {
		t.Errorf("what was decided before a change that was never prepared here is permitted; %d leases expired",
			t.expiredLeases)
	}
	t.Handle(212, 213, update(7, nowhere, nil))
	t.effective(213, bothClosed, false)
}
