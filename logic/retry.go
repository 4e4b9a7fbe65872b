package logic

import (
	"slices"

	"yokeroute/gather"
	"yokeroute/internal/stats"
)

// FirstPassRetryReserve is the share of a retry that is reserved for each first-pass request in flight: it is
// retried in the second pass if no response arrives.
const FirstPassRetryReserve = 0.25

const (
	// The default budget applies if the deployment sets none, so that retries cannot amplify an overload.
	defaultBudgetWindowMS = 5000.0
	defaultBudgetFloor    = 3.0
	defaultBudgetRatio    = 0.1
	// noHedgingMultiple multiplies the default budget where hedging is not allowed and each retry replaces a
	// cancelled attempt.
	noHedgingMultiple = 10.0

	// hedgeBudgetShare is the share of the budget that hedged requests may use up. The remainder is reserved
	// for requests whose attempts have failed.
	hedgeBudgetShare = 0.6
	// hedgeMaxLatencyShare limits hedged requests under load: they are allowed while the median latency times
	// the missing share of the answer is at most this share of the latency objective.
	hedgeMaxLatencyShare = 0.3
	// overdueMultiple is the multiple of an attempt's usual latency after which its response is no longer
	// expected.
	overdueMultiple = 4.0
)

// retryBudget limits the number of retries and hedged requests by the number of arrivals in a window.
type retryBudget struct {
	arrivals []float64 // times at which queries and shard requests arrived
	retries  []float64 // times at which retries and hedged requests were sent
	limit    float64
}

func (b *retryBudget) countArrival(now float64) { b.arrivals = append(b.arrivals, now) }

func (b *retryBudget) countRetry(now float64) { b.retries = append(b.retries, now) }

// left returns how many more retries the budget allows, negative if it is overdrawn.
func (b *retryBudget) left() float64 { return b.limit - float64(len(b.retries)) }

// countWithOneMore returns the number of retries in the window after one more.
func (b *retryBudget) countWithOneMore() float64 { return float64(len(b.retries) + 1) }

func (b *retryBudget) allows() bool { return b.countWithOneMore() <= b.limit }

func (b *retryBudget) allowsHedge() bool { return b.countWithOneMore() <= hedgeBudgetShare*b.limit }

// update advances the window. Arrivals are counted over one tick less than the window and retries over one
// tick more, since times are rounded to ticks elsewhere.
func (b *retryBudget) update(now, tick float64, settings *gather.Settings) {
	window, floor, ratio := settings.RetryBudgetWindow, settings.RetryBudgetFloor, settings.RetryBudgetRatio
	if window == 0 {
		window, floor, ratio = defaultBudgetWindowMS, defaultBudgetFloor, defaultBudgetRatio
		if !settings.HedgingAllowed {
			floor *= noHedgingMultiple
			ratio *= noHedgingMultiple
		}
	}
	b.arrivals = stats.SortedFrom(b.arrivals, now-(window-tick))
	b.retries = stats.SortedFrom(b.retries, now-(window+tick))
	b.limit = floor + ratio*float64(len(b.arrivals))
}

// reserve lowers the limit by a share of a retry until the next update.
func (b *retryBudget) reserve(share float64) { b.limit -= share }

// updateRetryBudget advances the window and reserves retries for the first passes in flight.
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

// mayRepeat reports whether a request may have a further attempt: it is open, has not used up its attempts,
// and its class allows a repetition of those that may have been executed.
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

// retryNow reports whether a request may have a further attempt now: a retry if its attempts have ended, or a
// hedged request beside a late attempt. Where hedging is not allowed, it cancels the late attempt, which is
// retried when its end is reported. The argument missing is the share of the needed answer that is missing: a
// hedged request for the last missing responses is worth more, since the work of the others is lost without
// them.
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
	addsToOverload := g.latencies.currentMedian*missing > hedgeMaxLatencyShare*class.LatencyObjective
	return !addsToOverload && g.retries.allowsHedge()
}

// cancelLateAttempt cancels a request's last attempt, unless another attempt is expected to take at least as
// long as this one has taken so far.
func (g *Gatherer) cancelLateAttempt(r *shardRequest) {
	number := len(r.attempts) - 1
	lateAttempt := r.attempts[number]
	if !g.settings.CancelAllowed || lateAttempt.cancelled {
		return
	}
	replica := g.replicas.next(r, g.now)
	if replica == noReplica ||
		g.latencies.expectedLatency(replica, g.now) >= g.latencies.age(lateAttempt, g.now) {
		return
	}
	lateAttempt.cancelled = true
	g.writer.Cancel(r.ID, number)
}
