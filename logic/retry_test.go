package logic

import (
	"testing"

	"yokeroute/gather"
)

const testTickMS = 5.0

// TestRetryBudgetIsNotExceededByRoundingToTicks checks that arrivals leave the window a tick early and
// retries a tick late, so that the budget is not exceeded when times are rounded to ticks.
func TestRetryBudgetIsNotExceededByRoundingToTicks(t *testing.T) {
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
			t.Errorf("at %v: the limit is %v with %v left, want %v with %v left", c.now, budget.limit, budget.left(),
				c.limit, c.left)
		}
	}
}

func TestRetryBudgetAllowsUpToItsLimit(t *testing.T) {
	settings := &gather.Settings{RetryBudgetWindow: 1000, RetryBudgetFloor: 2}
	var budget retryBudget
	budget.update(0, testTickMS, settings)
	if !budget.allows() || !budget.allowsHedge() {
		t.Error("an unused budget of 2 does not allow both a retry and a hedged request")
	}
	budget.countRetry(0)
	if !budget.allows() || budget.allowsHedge() {
		t.Error("with 1 of 2 retries used, a retry is not allowed or a hedged request is allowed")
	}
	budget.countRetry(0)
	if budget.allows() {
		t.Error("a third retry is allowed by a budget of 2")
	}
	budget.update(0, testTickMS, settings)
	budget.reserve(0.25)
	if got := budget.left(); got != -0.25 {
		t.Errorf("with a used-up budget and 0.25 reserved, %v retries are left, want -0.25", got)
	}
}

// TestDefaultRetryBudgetIsLargerWithoutHedging checks that the default budget is larger without hedging,
// where a retry replaces a cancelled attempt.
func TestDefaultRetryBudgetIsLargerWithoutHedging(t *testing.T) {
	for hedging, want := range map[bool]float64{
		true:  defaultBudgetFloor,
		false: defaultBudgetFloor * noHedgingMultiple,
	} {
		var budget retryBudget
		budget.update(0, testTickMS, &gather.Settings{HedgingAllowed: hedging})
		if budget.limit != want {
			t.Errorf("with hedging allowed %v, the default limit is %v, want %v", hedging, budget.limit, want)
		}
	}
}
