package logic

import (
	"math"
	"slices"

	"yokeroute/gather"
)

const (
	// deadlineTicks is the number of ticks before its deadline by which a query has to end.
	deadlineTicks = 3
	// objectiveTicks is the number of ticks before its latency objective from which a query may be answered
	// partially.
	objectiveTicks = 2
)

// progress sums up the state of a query's requests. Weights are shares of the complete answer.
type progress struct {
	needed   float64 // weight that makes an answer complete
	received float64 // weight of the responses received
	possible float64 // weight that was received or may still be received
	expected float64 // weight that was received or is expected without a further attempt

	// waitingExtra is the part of expected that belongs to extra requests waiting for a busy replica.
	waitingExtra float64
	// waitingExtraLoad is the number of attempts in flight at the least busy of these replicas.
	waitingExtraLoad int

	succeeded       int     // number of requests that succeeded
	inFlight        int     // number of attempts in flight
	objectiveLeft   float64 // time left to the latency objective, negative after it
	deadlineReached bool    // the deadline is so near that the query has to end now
}

// progressOf adds up the progress of a query.
func (g *Gatherer) progressOf(q *query) progress {
	p := progress{
		needed:          q.class.CompleteShare,
		received:        q.ReceivedWeight,
		possible:        q.ReceivedWeight,
		expected:        q.ReceivedWeight,
		objectiveLeft:   q.arrivedAt + q.class.LatencyObjective - g.now,
		deadlineReached: q.Deadline-g.now <= deadlineTicks*g.tick(),
	}
	if q.secondStep {
		p.needed = 1
	}
	for _, r := range q.requests {
		p.inFlight += r.inFlight
		if r.succeeded {
			p.received += r.Weight
			p.succeeded++
		}
		if r.succeeded || r.inFlight > 0 || len(r.attempts) == 0 || g.mayRepeat(r) {
			p.possible += r.Weight
		}
		if g.responseExpected(r) {
			p.expected += r.Weight
		}
		if r.wanted && r.extra && len(r.attempts) == 0 {
			p.addWaitingExtra(r, g.leastInFlight(r))
		}
	}
	return p
}

// addWaitingExtra counts an extra request that waits for a replica; load is the number of attempts in flight
// at that replica.
func (p *progress) addWaitingExtra(r *shardRequest, load int) {
	if p.waitingExtra == 0 || load < p.waitingExtraLoad {
		p.waitingExtraLoad = load
	}
	p.waitingExtra += r.Weight
}

// complete reports whether the responses received make a complete answer. One request may weigh less than
// shareTolerance, so where all requests are needed their number is compared as well.
func (p *progress) complete(q *query) bool {
	return p.received >= p.needed-shareTolerance &&
		(p.needed < 1-shareTolerance || p.succeeded == len(q.requests))
}

// partialAnswerDue reports whether a partial answer is given now: because no further response can be
// received, because the deadline is reached, or because the latency objective is reached and the partial
// answer is worth more now than a complete one later.
func (p *progress) partialAnswerDue(q *query, tick float64) bool {
	if p.received <= 0 || p.received < q.class.MinShare-shareTolerance {
		return false
	}
	worthMoreNow := q.class.PartialValue*p.received/p.needed > q.class.LateValue
	if p.deadlineReached || p.objectiveLeft <= objectiveTicks*tick && worthMoreNow {
		return true
	}
	return p.possible < p.needed-shareTolerance && p.received >= p.possible-shareTolerance
}

// shouldGiveUp reports whether the query ends without an answer: because it can no longer reach the minimum
// share, because the deadline is reached, or because the latency objective has passed and an answer is worth
// nothing after it or no attempt is in flight.
func (p *progress) shouldGiveUp(q *query) bool {
	if p.deadlineReached || p.possible < q.class.MinShare-shareTolerance {
		return true
	}
	return p.objectiveLeft <= 0 && (q.class.LateValue == 0 || p.inFlight == 0)
}

// advance makes all decisions about a query that are due in this round: it ends the query, or sends the
// attempts that it needs.
func (g *Gatherer) advance(q *query) {
	if q.finished || !q.modeChosen && !g.startQuery(q) {
		return
	}
	p := g.progressOf(q)
	complete := p.complete(q)
	switch {
	case len(q.requests) == 0 && !p.deadlineReached:
		// The requests of the second step arrive in a later round.
	case complete, p.partialAnswerDue(q, g.tick()):
		g.answer(q, complete && (!q.secondStep || q.firstComplete))
	case p.shouldGiveUp(q):
		g.rejectOrFail(q)
	default:
		g.sendWanted(q, &p)
		g.retryLostRequests(q, &p)
	}
}

// startQuery chooses the mode of a query that has arrived. It returns false if the query waits for load
// reports or was shed. A first pass is never shed: it is short, and its second pass can be shed instead.
func (g *Gatherer) startQuery(q *query) bool {
	if g.loads.request(q, g.now, g.writer) {
		return false
	}
	g.chooseMode(q)
	if q.Pass != gather.FirstPass && g.shouldShed(q) {
		g.rejectOrFail(q)
		return false
	}
	return true
}

// sendWanted sends the first attempts of the wanted requests. If lost and late requests leave too little
// weight expected, it adds requests that were not wanted before: unlike a retry, a first attempt costs no
// retry budget.
func (g *Gatherer) sendWanted(q *query, p *progress) {
	for _, r := range q.requests {
		if !r.wanted && p.expected < p.needed-shareTolerance {
			r.wanted = true
			r.extra = false
			p.expected += r.Weight
		}
		if r.wanted && len(r.attempts) == 0 && (!r.Retry || g.retries.allows()) {
			g.sendFirstAttempt(r)
		}
	}
}

// retryLostRequests sends a further attempt of requests whose response is no longer expected, as far as the
// query needs them. A lost request with a replica less busy than those that the extra requests wait for is
// retried without waiting for the extra requests.
func (g *Gatherer) retryLostRequests(q *query, p *progress) {
	missing := (p.needed - p.received) / p.needed
	for _, r := range q.requests {
		expected := p.expected
		lost := len(r.attempts) > 0 && r.inFlight == 0
		if lost && p.waitingExtra > 0 && g.leastInFlight(r) < p.waitingExtraLoad {
			expected -= p.waitingExtra
		}
		if expected >= p.needed-shareTolerance {
			continue
		}
		if !g.responseExpected(r) && g.retryNow(r, missing) && g.sendRetry(r) {
			p.expected += r.Weight
		}
	}
}

// leastInFlight returns the number of attempts in flight at the least busy replica of a request.
func (g *Gatherer) leastInFlight(r *shardRequest) int {
	least := math.MaxInt
	for _, server := range g.servers.replicas[g.servers.replicaSet(r.Shard)] {
		least = min(least, g.servers.inFlight(server))
	}
	return least
}

// responseExpected reports whether a request has succeeded or is expected to succeed without a further
// attempt: its first attempt is about to be sent, or one is in flight and not overdue.
func (g *Gatherer) responseExpected(r *shardRequest) bool {
	if r.succeeded || r.wanted && len(r.attempts) == 0 {
		return true
	}
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		return !a.ended && g.latencies.age(a, g.now) <= overdueMultiple*g.latencies.attemptLatency(a)
	})
}
