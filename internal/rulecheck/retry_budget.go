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

// retryTally holds the times of what a retry budget counts, in its window.
type retryTally struct {
	admitted []float64 // queries and shard requests
	retries  []float64 // and hedges
}

// addQuery counts a query with its shard requests.
func (t *retryTally) addQuery(e *Event) {
	for range 1 + len(e.ShardRequests) {
		t.admitted = append(t.admitted, e.At)
	}
}

// addRetry counts a retry or hedge.
func (t *retryTally) addRetry(at float64) { t.retries = append(t.retries, at) }

// use returns how many retries and hedges were made in the window that ends now, and how many may be made.
func (t *retryTally) use(b *Budget, now float64) (retries, allowed float64) {
	inWindow := func(times []float64) []float64 {
		return times[sort.SearchFloat64s(times, now-b.Window-epsilon):]
	}
	t.admitted = inWindow(t.admitted)
	t.retries = inWindow(t.retries)
	return float64(len(t.retries)), b.FreeRetries + b.Ratio*float64(len(t.admitted))
}

// checkRetryBudget checks rule 6 in the window that ends with a retry or hedge, this one counted.
func (c *Checker) checkRetryBudget(e *Event) {
	b, g := c.header.Budget, c.gatherer(e.Gatherer)
	g.tally.addRetry(e.At)
	g.tallyAcrossRestarts.addRetry(e.At)
	retries, allowed := g.tally.use(b, e.At)
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
