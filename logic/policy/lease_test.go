package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// leaseTest sends updates to a lease holder and checks the policy in effect.
type leaseTest struct {
	*testing.T
	*LeaseHolder
}

// update returns an update with a lease of 100 milliseconds.
func update(epoch uint64, p Policy, pending *Change) Update {
	return Update{Epoch: epoch, Policy: p, LastEnded: epoch, Pending: pending, Lease: 100}
}

// checkEffective checks the policy in effect and whether a lease is held, and returns the generation.
func (t leaseTest) checkEffective(now float64, want Policy, leased bool) (generation uint64) {
	t.Helper()
	p, generation := t.Effective(now)
	if !slices.Equal(p, want) || (t.ExpiresAt() > 0) != leased {
		t.Errorf("at %g: %v is in effect, lease until %g, want %v, leased %v", now, p, t.ExpiresAt(), want, leased)
	}
	return generation
}

// newLeaseTest returns a holder of revision 3 that refuses policies with an entry for the class nowhere.
func newLeaseTest(t *testing.T) leaseTest {
	validate := func(p Policy) error {
		if p.Has(NonIdempotent, "nowhere") {
			return fmt.Errorf("no index nowhere")
		}
		return nil
	}
	return leaseTest{t, NewLeaseHolder(bothClosed, Revision{Epoch: 3, LastEnded: 3}, validate)}
}

// TestLeaseHolderAppliesUpdatesAndFallsBack tests a gatherer that starts with its fallback policy, prepares a
// change, is suspended beyond its lease and refuses changes. It must never go back to an earlier revision.
func TestLeaseHolderAppliesUpdatesAndFallsBack(test *testing.T) {
	t := newLeaseTest(test)
	t.checkEffective(0, bothClosed, false)
	if _, _, accepted := t.Handle(0, 1, update(2, oldPolicy, nil)); accepted {
		t.Error("accepted an update older than the revision of an earlier process")
	}
	t.Handle(1, 5, update(3, oldPolicy, nil))
	firstGeneration := t.checkEffective(5, oldPolicy, true)
	t.Handle(10, 20, update(3, oldPolicy, &Change{Number: 4, Policy: newPolicy}))
	t.checkEffective(20, bothClosed, true)
	if h := t.Heartbeat(20); h.Drained || h.Applied.Pending != 4 || !t.Permits(firstGeneration, 20) {
		t.Errorf("queries in flight may not go on, or the change is not being prepared: %+v", h)
	}
	if _, _, accepted := t.Handle(15, 21, update(3, oldPolicy, nil)); accepted {
		t.Error("accepted an update without the change after one with it")
	}
	_, generation := t.Effective(22)
	t.MarkDrained(generation)
	if h := t.Heartbeat(22); !h.Drained || t.Permits(firstGeneration, 22) {
		t.Errorf("not drained, or decisions of the first generation are still permitted: %+v", h)
	}

	t.checkEffective(109, bothClosed, true)
	t.checkEffective(110, bothClosed, false) // the lease is counted from the sending of the poll
	if h := t.Heartbeat(111); h.Applied != (Revision{}) || h.ExpiredLeases != 1 || !h.Drained {
		t.Errorf("after the lease expired: %+v", h)
	}
	t.Handle(50, 200, update(4, newPolicy, nil)) // an answer that arrives after its lease has expired
	t.checkEffective(200, bothClosed, false)
	t.Handle(200, 201, update(4, newPolicy, nil))
	t.checkRefusedChanges()
}

// checkRefusedChanges sends changes that the gatherer cannot apply.
func (t leaseTest) checkRefusedChanges() {
	t.Helper()
	lastGeneration := t.checkEffective(201, newPolicy, true)
	nowhere := mustNew(t, Entry{Kind: NonIdempotent, Subject: "nowhere"})
	t.Handle(202, 203, update(4, newPolicy, &Change{Number: 5, Policy: nowhere}))
	t.checkEffective(203, newPolicy, true) // a refused change is not applied
	h := t.Heartbeat(204)
	if h.RefusedChange != 5 || h.Applied.Pending != 0 || !strings.Contains(h.RefusalReason, "no index nowhere") {
		t.Errorf("change 5 is not refused: %+v", h)
	}
	if !t.Permits(lastGeneration, 204) {
		t.Error("decisions of an earlier generation are not permitted after a refused change")
	}
	t.Handle(205, 206, update(4, newPolicy, &Change{Number: 5, Policy: Policy{{Kind: "newer"}}}))
	if h := t.Heartbeat(207); h.RefusedChange != 5 || !strings.Contains(h.RefusalReason, "newer is not known") {
		t.Errorf("change 5 with an unknown kind is not refused: %+v", h)
	}
	t.Handle(208, 209, Update{Epoch: 4, LastEnded: 5, Policy: newPolicy, Lease: 100})
	t.checkEffective(209, newPolicy, true)
	t.Handle(210, 211, update(6, oldPolicy, nil)) // a change that was committed without being prepared here
	t.checkEffective(211, oldPolicy, true)
	if t.Permits(lastGeneration, 211) || t.expiredLeases != 2 {
		t.Errorf("decisions before a change that was never prepared here are permitted; %d leases expired",
			t.expiredLeases)
	}
	t.Handle(212, 213, update(7, nowhere, nil))
	t.checkEffective(213, bothClosed, false)
}
