package logic

import (
	"slices"

	"yokeroute/gather"
	"yokeroute/internal/stats"
)

// FirstPassRetryReserve is the share of a retry that is reserved for each first-pass attempt in flight,
// whose request is retried in the second pass if nothing comes back.
const FirstPassRetryReserve = 0.25

const (
	// The budget where the deployment sets none, so that retries cannot feed an overload.
	defaultBudgetWindowMS = 5000.0
	defaultBudgetFloor    = 3.0
	defaultBudgetRatio    = 0.1
	// cancelledMultiple widens it where each retry takes the place of a cancelled attempt.
	cancelledMultiple = 10.0

	hedgeBudgetShare = 0.6 // of the budget; the rest is kept for requests whose attempts have failed
	hedgeMaxLatency  = 0.3 // of a usual attempt, as a share of the latency objective
	overdueMultiple  = 4.0 // of an attempt's usual latency, after which its response is no longer expected
)

// retryBudget bounds the retries and hedges by what has arrived in a window.
type retryBudget struct {
	arrivals []float64 // times of queries and shard requests
	retries  []float64 // times of retries and hedges
	limit    float64
}

func (b *retryBudget) countArrival(now float64) { b.arrivals = append(b.arrivals, now) }

func (b *retryBudget) countRetry(now float64) { b.retries = append(b.retries, now) }

// left is how many more retries the budget allows.
func (b *retryBudget) left() float64 { return b.limit - float64(len(b.retries)) }

// countWithOneMore is how many retries there would be with one more.
func (b *retryBudget) countWithOneMore() float64 { return float64(len(b.retries) + 1) }

func (b *retryBudget) allows() bool { return b.countWithOneMore() <= b.limit }

func (b *retryBudget) allowsHedge() bool { return b.countWithOneMore() <= hedgeBudgetShare*b.limit }

// update moves the window on. Arrivals are counted over a tick less and retries over a tick more, since
// times are rounded to ticks elsewhere.
func (b *retryBudget) update(now, tick float64, settings *gather.Settings) {
	window, floor, ratio := settings.RetryBudgetWindow, settings.RetryBudgetFloor, settings.RetryBudgetRatio
	if window == 0 {
		window, floor, ratio = defaultBudgetWindowMS, defaultBudgetFloor, defaultBudgetRatio
		if !settings.HedgingAllowed {
			floor *= cancelledMultiple
			ratio *= cancelledMultiple
		}
	}
	b.arrivals = stats.SortedFrom(b.arrivals, now-(window-tick))
	b.retries = stats.SortedFrom(b.retries, now-(window+tick))
	b.limit = floor + ratio*float64(len(b.arrivals))
}

// reserve holds back a share of a retry.
func (b *retryBudget) reserve(share float64) { b.limit -= share }

// updateRetryBudget moves the window on, and reserves what first passes in flight may need.
func (g *Gatherer) updateRetryBudget() {
	g.retries.update(g.now, g.tick(), g.settings)
	for _, q := range g.queries.open {
		if q.Pass != gather.FirstPass {
			continue
		}
		for _, r := range q.requests {
			if r.inFlight > 0 {
				g.retries.reserve(FirstPassRetryReserve)
			}
		}
	}
}

// mayRepeat reports whether a further attempt cannot cause a second effect that the request's class
// forbids.
func (g *Gatherer) mayRepeat(r *shardRequest) bool {
	if r.closed || len(r.attempts) >= g.settings.MaxAttempts {
		return false
	}
	class := r.query.class
	return !slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		if a.neverExecuted {
			return false
		}
		expired := g.now > a.startedAt+class.IdempotencyWindow-g.tick()
		return class.Effect == gather.NonIdempotent || class.Effect == gather.IdempotencyKeyed && expired
	})
}

// retryNow reports whether a request may have a further attempt now: a retry if its attempts have ended, or
// a hedge beside a late one. Where none may be in flight beside it, the late attempt is cancelled to be
// retried later. Missing is the share of the needed answer that is missing: a hedge for the last requests
// is worth more, since the others' work is lost without them.
func (g *Gatherer) retryNow(r *shardRequest, missing float64) bool {
	if r.inFlight > 1 || !g.mayRepeat(r) || !g.retries.allows() {
		return false
	}
	if r.inFlight == 0 {
		return true
	}
	class := r.query.class
	if class.HedgingForbidden || !g.settings.HedgingAllowed {
		g.cancelLateAttempt(r)
		return false
	}
	feedsOverload := g.latencies.currentMedian*missing > hedgeMaxLatency*class.LatencyObjective
	return !feedsOverload && g.retries.allowsHedge()
}

// cancelLateAttempt cancels a request's attempt, unless another would take longer than it has taken so far.
func (g *Gatherer) cancelLateAttempt(r *shardRequest) {
	number := len(r.attempts) - 1
	lateAttempt := r.attempts[number]
	if !g.settings.CancelAllowed || lateAttempt.cancelled {
		return
	}
	replica := g.replicas.next(r, g.now)
	if replica == noReplica || g.latencies.expectedLatency(replica, g.now) >= g.latencies.age(lateAttempt, g.now) {
		return
	}
	lateAttempt.cancelled = true
	g.writer.Cancel(r.ID, number)
}
