package rulecheck

import (
	"fmt"
	"sort"
)

// isRetry reports whether an attempt counts against the retry budget: a retry or a hedge. A full request after a
// first pass that was answered is none, as a summary cannot answer it; one after a first pass without an answer is a
// retry, as an attempt has failed.
func (r *shardRequest) isRetry(firstPass bool, keys *KeyRange) bool {
	samePass, summarized, repeated := false, false, false
	for _, before := range r.attempts {
		if !before.keys.overlaps(keys) {
			continue
		}
		samePass = samePass || before.firstPass == firstPass
		summarized = summarized || before.firstPass && before.answered
		repeated = true
	}
	return samePass || repeated && !summarized
}

// budgetUse returns how many retries and hedges a gatherer made in the window that ends now, and how many it may make.
func (g *gatherer) budgetUse(b *Budget, now float64) (retries, allowed float64) {
	inWindow := func(times []float64) []float64 {
		return times[sort.SearchFloat64s(times, now-b.Window-epsilon):]
	}
	g.admitted = inWindow(g.admitted)
	g.retries = inWindow(g.retries)
	return float64(len(g.retries)), b.FreeRetries + b.Ratio*float64(len(g.admitted))
}

// checkRetryBudget checks rule 6 in the window that ends with a retry or hedge, this one counted.
func (c *Checker) checkRetryBudget(e *Event) {
	b, g := c.header.Budget, c.gatherer(e.Gatherer)
	g.retries = append(g.retries, e.At)
	retries, allowed := g.budgetUse(b, e.At)
	if retries > allowed+epsilon {
		c.report.addViolation(ruleRetryBudget, e,
			"%g part calls beyond each part's first within %g ms, %.2f are allowed", retries, b.Window, allowed)
	}
	c.report.addLimitUse(ruleRetryBudget, retries/max(allowed, epsilon), e.At, func() string {
		return fmt.Sprintf("%g further part calls of %.2f in a window", retries, allowed)
	})
	if c.onRetry != nil {
		c.onRetry(e.At)
	}
}
