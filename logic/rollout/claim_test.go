package rollout

import (
	"testing"
)

// TestClaimIsGrantedToTheHolderAndItsNewestController tests that one rollout holds a gatherer at a time, and
// that only the newest of the rollout's controllers may renew or release the claim.
func TestClaimIsGrantedToTheHolderAndItsNewestController(t *testing.T) {
	current := &Claim{"a", 3, 1000}
	for _, c := range []struct {
		current     *Claim
		requested   Claim
		now         float64
		wantGranted bool
	}{
		{nil, Claim{"b", 1, 500}, 0, true},
		{current, Claim{"b", 9, 1500}, 999, false},
		{current, Claim{"b", 9, 1500}, 1000, true},
		{current, Claim{"a", 2, 1500}, 500, false},
		{current, Claim{"a", 3, 1500}, 500, true},
		{current, Claim{"a", 4, 1500}, 500, true},
	} {
		holder, granted := GrantClaim(c.current, c.requested, c.now)
		if granted != c.wantGranted || granted && holder != c.requested || !granted && holder != *c.current {
			t.Errorf("%+v: granted %v to holder %+v", c, granted, holder)
		}
	}
	if ReleaseClaim(current, "b", 9) || ReleaseClaim(current, "a", 2) || !ReleaseClaim(current, "a", 3) || ReleaseClaim(nil, "a", 3) {
		t.Error("a claim was released by a controller that does not hold it, or not by one that does")
	}
}
