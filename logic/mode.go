package logic

import (
	"cmp"
	"slices"
)

// minExtraCount is the least divisor of droppedShare, which avoids a division by zero before there are any
// extra requests.
const minExtraCount = 5e-5

// extraRequests counts the extra requests of the assisted mode that were sent, and those that were dropped
// unsent. The counts decay over the measuring window.
type extraRequests struct {
	sent    float64
	dropped float64
}

func (e *extraRequests) decay(factor float64) {
	e.sent *= factor
	e.dropped *= factor
}

// droppedShare returns the share of extra requests that never reach a server, which is c in the gain formula
// at chooseMode.
func (e *extraRequests) droppedShare() float64 {
	return e.dropped / max(e.dropped+e.sent, minExtraCount)
}

// modeCandidate is a request with the values by which it is ordered.
type modeCandidate struct {
	request      *shardRequest
	failureShare float64 // failure share of the request's next replica, 1 if there is none
	cost         float64 // includes a random number below 1, so that equal costs are ordered at random
}

// chooseMode decides which requests of a query are sent. In normal mode these are the n requests with the
// lowest f that make a complete answer. In system-assisted mode all k requests are sent, and the first n
// responses make the answer. The mode is assisted if the net gain is positive (equations 1 and 4 in section
// III of the paper): the sum of E·(f·r + c·s) over the n normal requests, less the sum of E·(1-c)·s over
// the extra ones.
func (g *Gatherer) chooseMode(q *query) {
	q.modeChosen = true
	droppedShare := g.extras.droppedShare()
	weight := q.ReceivedWeight
	netGain := 0.0
	anyFailures := false
	for _, candidate := range g.modeCandidates(q) {
		r := candidate.request
		r.extra = weight >= q.class.CompleteShare-shareTolerance
		r.wanted = !r.extra
		weight += r.Weight
		if r.replica == noReplica {
			continue
		}
		affected := g.latencies.affectedAttempts(r.replica)
		latency := g.latencies.latency(r.replica)
		if r.extra {
			netGain -= affected * (1 - droppedShare) * latency
			continue
		}
		estimate := &g.servers.get(r.replica).estimate
		netGain += affected * (estimate.failureShare*estimate.extraLatency + droppedShare*latency)
		anyFailures = anyFailures || estimate.failureShare > 0
	}
	if netGain > 0 && anyFailures {
		for _, r := range q.requests {
			r.wanted = true
		}
	}
}

// modeCandidates returns a query's requests in the order in which they are sent: by f, then by cost.
func (g *Gatherer) modeCandidates(q *query) []modeCandidate {
	candidates := make([]modeCandidate, len(q.requests))
	for i, r := range q.requests {
		r.replica = g.replicas.next(r, g.now)
		candidates[i] = modeCandidate{
			request:      r,
			failureShare: 1,
			cost:         r.Cost + r.OrderPenalty + g.random.Float64(),
		}
		if r.replica != noReplica {
			candidates[i].failureShare = g.servers.get(r.replica).estimate.failureShare
		}
	}
	slices.SortStableFunc(candidates, func(a, b modeCandidate) int {
		return cmp.Or(cmp.Compare(a.failureShare, b.failureShare), cmp.Compare(a.cost, b.cost))
	})
	return candidates
}
