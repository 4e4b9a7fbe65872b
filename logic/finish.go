package logic

import "yokeroute/gather"

// minRetryAfterMS is the shortest Retry-After of a query rejected before its latency objective, unless the
// settings allow only a shorter one.
const minRetryAfterMS = 400.0

// answer ends a query or its first step. After the first step of a class with a second step, the query stays
// open and waits for the requests of the second step.
func (g *Gatherer) answer(q *query, complete bool) {
	g.writer.Answer(q.ID, complete)
	g.finish(q)
	if q.secondStep || q.class.FollowUpRequests <= 0 {
		return
	}
	g.queries.add(&query{
		Query:         q.Query,
		class:         q.class,
		arrivedAt:     q.arrivedAt,
		modeChosen:    true,
		secondStep:    true,
		firstComplete: complete,
	})
}

// rejectOrFail ends a query without an answer. The query is rejected, so that the client may retry it, if it
// had no effect or is idempotent. Otherwise it fails.
func (g *Gatherer) rejectOrFail(q *query) {
	if q.class.Effect == gather.Idempotent || !q.secondStep && !q.mayHaveExecuted() {
		g.writer.Reject(q.ID, g.retryAfter(q))
	} else {
		g.writer.Fail(q.ID)
	}
	g.finish(q)
}

// retryAfter returns the Retry-After of a rejected query. After the latency objective a retry earns nothing,
// and the client is told to wait longer.
func (g *Gatherer) retryAfter(q *query) float64 {
	if g.now >= q.arrivedAt+q.class.LatencyObjective {
		return LateRetryAfter(g.settings, &q.class.Class)
	}
	return min(max(minRetryAfterMS, g.latencies.windowMedian), g.settings.MaxRetryAfter)
}

// LateRetryAfter returns the Retry-After of a rejected query whose retry can earn nothing any more: the
// deadline of its class, up to MaxRetryAfter.
func LateRetryAfter(settings *gather.Settings, class *gather.Class) float64 {
	return min(class.Deadline, settings.MaxRetryAfter)
}

// finish ends a query and its requests: unsent requests are dropped, and attempts in flight are cancelled
// where the settings allow it.
func (g *Gatherer) finish(q *query) {
	q.finished = true
	delete(g.queries.byNumber, q.Number)
	for _, r := range q.requests {
		if r.wanted && r.extra && len(r.attempts) == 0 {
			g.extras.dropped++
		}
		if g.settings.CancelAllowed {
			g.cancelInFlight(r)
		}
		g.queries.removeIfDone(r)
	}
}

func (g *Gatherer) cancelInFlight(r *shardRequest) {
	for number, a := range r.attempts {
		if !a.ended {
			g.writer.Cancel(r.ID, number)
		}
	}
}
