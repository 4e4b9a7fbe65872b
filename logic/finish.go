package logic

import "yokeroute/gather"

// minRetryAfterMS is the shortest advice to a client whose query is rejected.
const minRetryAfterMS = 400.0

// answer ends a query, or its first step: the query then waits for the requests of its second.
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

// rejectOrFail ends a query without an answer. It is rejected if it had no effect, or may be repeated all
// the same, so that the client may come again.
func (g *Gatherer) rejectOrFail(q *query) {
	if q.class.Effect == gather.Idempotent || !q.secondStep && !q.mayHaveExecuted() {
		g.writer.Reject(q.ID, g.retryAfter(q))
	} else {
		g.writer.Fail(q.ID)
	}
	g.finish(q)
}

// retryAfter is the advice when to come again. After its latency objective a query earns nothing by that.
func (g *Gatherer) retryAfter(q *query) float64 {
	if g.now >= q.arrivedAt+q.class.LatencyObjective {
		return LateRetryAfter(g.settings, &q.class.Class)
	}
	return min(max(minRetryAfterMS, g.latencies.windowMedian), g.settings.MaxRetryAfter)
}

// LateRetryAfter is the advice for a query of a class that nothing can be earned by any more.
func LateRetryAfter(settings *gather.Settings, class *gather.Class) float64 {
	return min(class.Deadline, settings.MaxRetryAfter)
}

// finish ends a query's requests: what waits is dropped and what is in flight is cancelled.
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
