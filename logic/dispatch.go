package logic

import "yokeroute/gather"

// busyInFlight is the number of attempts in flight from which a server is too busy for an extra request,
// which then waits. The paper's host-side queue starts at two.
const busyInFlight = 1

// minAttemptWeight is the least weight of an attempt's record, so that a first-pass attempt never has a
// weight of 0.
const minAttemptWeight = 5e-5

// sendFirstAttempt sends the first attempt of a request if there is a replica for it. An extra request waits
// while its replica is busy, and is dropped unsent if the query ends before. The first attempt of a second
// pass may be a retry of a request of the first pass, and then counts as one.
func (g *Gatherer) sendFirstAttempt(r *shardRequest) {
	replica := g.replicas.next(r, g.now)
	if replica == noReplica || r.extra && g.servers.inFlight(replica) >= busyInFlight {
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

// sendRetry sends a retry or a hedged request, and reports whether there was a replica for it.
func (g *Gatherer) sendRetry(r *shardRequest) bool {
	replica := g.replicas.next(r, g.now)
	if replica == noReplica {
		return false
	}
	g.retries.countRetry(g.now)
	g.dispatch(r, replica)
	return true
}

// dispatch sends an attempt. A first-pass attempt takes less time than the full calls that it is compared
// with, so its start time is set earlier by the time saved, and its record has less weight.
func (g *Gatherer) dispatch(r *shardRequest, replica int) {
	g.replicas.recordChoice(g.servers.replicaSet(r.Shard), replica, g.now, g.settings)
	savedTime := r.query.FullRequestExtra
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

// recordResult records the result of an attempt. It ignores the result of an attempt that has ended already
// and of an unknown request.
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
	r.closed = r.closed || result.NoFurtherAttempts
	r.succeeded = r.succeeded || result.Outcome == gather.Succeeded
	g.servers.removeInFlight(a)
	g.latencies.record(a, result.Outcome, g.now)
	g.queries.removeIfDone(r)
}
