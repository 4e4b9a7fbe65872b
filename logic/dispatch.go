package logic

import "yokeroute/gather"

// maxInFlightForExtra is how many attempts in flight at a server hold an extra request back. The paper's
// host-side queue starts at two.
const maxInFlightForExtra = 1

// minAttemptWeight keeps the attempts of a first pass from having no weight at all.
const minAttemptWeight = 5e-5

// sendFirstAttempt sends a request unless there is no replica for it. An extra request waits while its
// replica is busy, and may be dropped unsent. A second pass's first attempt may be a retry of one of its
// first pass.
func (g *Gatherer) sendFirstAttempt(r *shardRequest) {
	replica := g.replicas.next(r, g.now)
	if replica == noReplica || r.extra && g.servers.inFlight(replica) >= maxInFlightForExtra {
		return
	}
	switch {
	case r.Retry:
		g.retries.countRetry(g.now)
	case r.extra:
		g.extras.sent++
	}
	g.dispatch(r, replica)
}

// sendRetry sends a retry or a hedge, and reports whether there was a replica for it.
func (g *Gatherer) sendRetry(r *shardRequest) bool {
	replica := g.replicas.next(r, g.now)
	if replica == noReplica {
		return false
	}
	g.retries.countRetry(g.now)
	g.dispatch(r, replica)
	return true
}

// dispatch begins an attempt. One of a first pass is put down as if it were a call in full, to which the
// records compare it: as started earlier, and with less weight.
func (g *Gatherer) dispatch(r *shardRequest, replica int) {
	g.replicas.recordChoice(g.servers.replicaSet(r.Shard), replica, g.now, g.settings)
	savedTime := r.query.FullCallExtra
	a := &attempt{
		request:          r,
		server:           replica,
		startedAt:        g.now - savedTime,
		totalStallAtSend: g.latencies.totalStall,
		weight:           max(1-savedTime/max(g.latencies.latency(replica), 1), minAttemptWeight),
	}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	g.servers.addInFlight(a)
	g.slowStart.Spend(replica, r.relativeCost())
	g.writer.Send(r.ID, g.servers.id(replica), r.query.Deadline-g.now)
}

// recordResult notes how an attempt ended. The result of an attempt that has ended already, or of a request
// that is not known any more, is ignored.
func (g *Gatherer) recordResult(result *gather.AttemptResult) {
	r := g.queries.requests[result.Request]
	if r == nil || result.Attempt < 0 || result.Attempt >= len(r.attempts) {
		return
	}
	a := r.attempts[result.Attempt]
	if a.ended {
		return
	}
	a.ended = true
	a.neverExecuted = result.Outcome.NeverExecuted()
	r.inFlight--
	r.closed = r.closed || result.Finished
	r.succeeded = r.succeeded || result.Outcome == gather.Succeeded
	g.servers.removeInFlight(a)
	g.latencies.record(a, result.Outcome, g.now)
	g.queries.removeIfDone(r)
}
