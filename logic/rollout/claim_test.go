package rollout

import (
	"testing"
)

// TestGrantPrefersTheHolderAndItsNewestController: one rollout holds a gatherer at a time, and of its controllers the
// newest.
func TestGrantPrefersTheHolderAndItsNewestController(t *testing.T) {
	held := &Claim{"a", 3, 1000}
	for _, c := range []struct {
		held      *Claim
		requested Claim
		now       float64
		granted   bool
	}{
		{nil, Claim{"b", 1, 500}, 0, true},
		{held, Claim{"b", 9, 1500}, 999, false},
		{held, Claim{"b", 9, 1500}, 1000, true},
		{held, Claim{"a", 2, 1500}, 500, false},
		{held, Claim{"a", 3, 1500}, 500, true},
		{held, Claim{"a", 4, 1500}, 500, true},
	} {
		holder, granted := Grant(c.held, c.requested, c.now)
		if granted != c.granted || granted && holder != c.requested || !granted && holder != *c.held {
			t.Errorf("%+v: %v, %+v", c, granted, holder)
		}
	}
	if Release(held, "b", 9) || Release(held, "a", 2) || !Release(held, "a", 3) || Release(nil, "a", 3) {
		t.Error("given back by whom it does not belong to")
	}
}
