package logic

import (
	"math"
	"slices"

	"yokeroute/gather"
)

const (
	deadlineTicks  = 3 // offset its deadline a query has to end
	objectiveTicks = 2 // offset its latency objective a partial answer may be given
)

// progress is how far a query has come. Weights are shares of the complete answer.
type progress struct {
	needed   float64 // for a complete answer
	received float64
	possible float64 // received, or may still be
	expected float64 // received, or expected to be without a further attempt

	waitingExtra     float64 // of expected: extra requests that wait for a busy replica
	waitingExtraLoad int     // attempts in flight at the least busy of these replicas

	succeeded       int // requests
	inFlight        int // attempts
	objectiveLeft   float64
	deadlineReached bool // it has to end now
}

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

// addWaitingExtra counts an extra request that waits for a replica with so many attempts in flight.
func (p *progress) addWaitingExtra(r *shardRequest, load int) {
	if p.waitingExtra == 0 || load < p.waitingExtraLoad {
		p.waitingExtraLoad = load
	}
	p.waitingExtra += r.Weight
}

// complete reports whether the answer received is complete. A request may weigh less than the tolerance:
// where all are needed they are counted.
func (p *progress) complete(q *query) bool {
	return p.received >= p.needed-shareTolerance &&
		(p.needed < 1-shareTolerance || p.succeeded == len(q.requests))
}

// partialAnswerDue reports whether a partial answer is given now: nothing more can be received, the time is
// up, or the latency objective is and the answer is worth more now than a complete one later.
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

// shouldGiveUp reports whether the query can earn nothing any more, or found no server before its latency
// objective.
func (p *progress) shouldGiveUp(q *query) bool {
	if p.deadlineReached || p.possible < q.class.MinShare-shareTolerance {
		return true
	}
	return p.objectiveLeft <= 0 && (q.class.LateValue == 0 || p.inFlight == 0)
}

// advance takes a query as far as it can go in this round: it ends it, or sends what it needs.
func (g *Gatherer) advance(q *query) {
	if q.finished || !q.modeChosen && !g.startQuery(q) {
		return
	}
	p := g.progressOf(q)
	complete := p.complete(q)
	switch {
	case len(q.requests) == 0 && !p.deadlineReached:
		// The requests of its second step come with the next round.
	case complete, p.partialAnswerDue(q, g.tick()):
		g.answer(q, complete && (!q.secondStep || q.firstComplete))
	case p.shouldGiveUp(q):
		g.rejectOrFail(q)
	default:
		g.sendWanted(q, &p)
		g.retryLostRequests(q, &p)
	}
}

// startQuery chooses the mode of a query that has arrived. It reports whether the query goes on in this round:
// it may wait for load reports, or be shed. A first pass is never shed: it is short, and its second pass
// may be.
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

// sendWanted sends the first attempts. Requests that were not wanted make up for lost and late ones: a
// first attempt costs no retry budget.
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

// retryLostRequests sends a further attempt of requests whose response is not expected any more, as far as
// the query needs them. A lost request that has a replica less busy than those of the extra requests does not
// wait for these.
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

// leastInFlight is how many attempts are in flight at the least busy replica of a request.
func (g *Gatherer) leastInFlight(r *shardRequest) int {
	least := math.MaxInt
	for _, server := range g.servers.replicas[g.servers.replicaSet(r.Shard)] {
		least = min(least, g.servers.inFlight(server))
	}
	return least
}

// responseExpected reports whether a request needs no further attempt.
func (g *Gatherer) responseExpected(r *shardRequest) bool {
	if r.succeeded || r.wanted && len(r.attempts) == 0 {
		return true
	}
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		return !a.ended && g.latencies.age(a, g.now) <= overdueMultiple*g.latencies.attemptLatency(a)
	})
}
