package logic

import (
	"testing"

	"yokeroute/gather"
)

const testTickMS = 5.0

// TestRetryBudgetFollowsItsWindow: arrivals leave it a tick early and retries a tick late, so that it is kept
// whatever is rounded to ticks.
func TestRetryBudgetFollowsItsWindow(t *testing.T) {
	settings := &gather.Settings{RetryBudgetWindow: 1000, RetryBudgetFloor: 2, RetryBudgetRatio: 0.1}
	var budget retryBudget
	budget.countRetry(100)
	for range 10 {
		budget.countArrival(100)
	}
	for _, c := range []struct {
		now, limit float64
		left       float64
	}{
		{100, 3, 2},
		{1095, 3, 2},
		{1096, 2, 1},
		{1105, 2, 1},
		{1106, 2, 2},
	} {
		budget.update(c.now, testTickMS, settings)
		if budget.limit != c.limit || budget.left() != c.left {
			t.Errorf("at %v: a limit of %v with %v left, want %v with %v", c.now, budget.limit, budget.left(), c.limit, c.left)
		}
	}
}

func TestRetryBudgetAllowsUpToItsLimit(t *testing.T) {
	settings := &gather.Settings{RetryBudgetWindow: 1000, RetryBudgetFloor: 2}
	var budget retryBudget
	budget.update(0, testTickMS, settings)
	if !budget.allows() || !budget.allowsHedge() {
		t.Error("an unused budget of two allows no retry or no hedge")
	}
	budget.countRetry(0)
	if !budget.allows() || budget.allowsHedge() {
		t.Error("the second of two retries is not allowed, or may be a hedge")
	}
	budget.countRetry(0)
	if budget.allows() {
		t.Error("a third retry is allowed")
	}
	budget.update(0, testTickMS, settings)
	budget.reserve(0.25)
	if got := budget.left(); got != -0.25 {
		t.Errorf("%v retries are left, want -0.25", got)
	}
}

// TestDefaultRetryBudgetWithAndWithoutHedging: it is wider where a retry takes the place of a cancelled attempt.
func TestDefaultRetryBudgetWithAndWithoutHedging(t *testing.T) {
	for hedging, want := range map[bool]float64{true: defaultBudgetFloor, false: defaultBudgetFloor * cancelledMultiple} {
		var budget retryBudget
		budget.update(0, testTickMS, &gather.Settings{HedgingAllowed: hedging})
		if budget.limit != want {
			t.Errorf("hedging allowed %v: a limit of %v, want %v", hedging, budget.limit, want)
		}
	}
}
