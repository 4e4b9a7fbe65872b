package logic

import (
	"cmp"
	"slices"
)

const (
	// The expected latency of a query's slowest request, as a share of the time left to its latency
	// objective, from which queries are shed at random, and from which all are.
	shedFromShare = 0.35
	shedAllShare  = 0.8

	// reportedLatencyShare is the share of a latency expected by load reports that counts here. They are
	// not late, as the ends of attempts are, and would shed too much.
	reportedLatencyShare = 0.5

	// trialIntervalMS is the least time between two queries that are admitted for want of recent records.
	trialIntervalMS = 100.0
)

// shouldShed decides whether a query that has arrived is shed: one whose slowest request would take most of
// its time only delays others. Nothing of it was sent yet, so that any class may be rejected.
func (g *Gatherer) shouldShed(q *query) bool {
	if !g.latencies.hasMeasurements() {
		return false
	}
	objectiveAt := q.arrivedAt + q.class.LatencyObjective
	// Clients that wait less than that leave before their answer, and come again.
	timeLeft := max(min(objectiveAt, q.Deadline)-g.now, 1)
	draw := g.random.Float64()
	sheds := func(latency float64) bool {
		return (latency/timeLeft-shedFromShare)/(shedAllShare-shedFromShare) > draw
	}
	requests := g.expectedRequests(q)
	return sheds(slowestLatency(q, requests)) && !g.admitsTrial(q, requests, sheds)
}

// admitsTrial reports whether a query that would be shed is admitted all the same, as by a half-open circuit
// breaker: only records older than the window speak for shedding it, and nothing is in flight that would
// bring newer ones. Such queries are few, so that they delay nobody where the servers are as slow as they
// were.
func (g *Gatherer) admitsTrial(q *query, requests []expectedRequest, sheds func(latency float64) bool) bool {
	if len(g.servers.busy) > 0 || g.now-g.lastTrialAt < trialIntervalMS {
		return false
	}
	for i := range requests {
		requests[i].latency = requests[i].recentLatency
	}
	if sheds(slowestLatency(q, requests)) {
		return false
	}
	g.lastTrialAt = g.now
	return true
}

// expectedRequest is what is expected of a request of a query that has arrived.
type expectedRequest struct {
	weight        float64
	latency       float64
	recentLatency float64 // by the records within the window alone, 0 where there are none
}

// expectedRequests are those of a query that would be sent. Servers that only this gatherer cannot reach do
// not count: that is no overload.
func (g *Gatherer) expectedRequests(q *query) (requests []expectedRequest) {
	latencyFactor := 1.0
	if g.loads.enabled {
		latencyFactor = reportedLatencyShare
	}
	for _, r := range q.requests {
		if !r.wanted || r.replica == noReplica {
			continue
		}
		latency := g.latencies.expectedLatency(r.replica, g.now)
		if latency >= unresponsiveLatency {
			continue
		}
		requests = append(requests, expectedRequest{
			weight:        r.Weight,
			latency:       latencyFactor * latency,
			recentLatency: latencyFactor * g.latencies.expectedRecentLatency(r.replica, g.now),
		})
	}
	return requests
}

// slowestLatency is that of the slowest request among the fastest that make a complete answer.
func slowestLatency(q *query, requests []expectedRequest) float64 {
	slices.SortFunc(requests, func(a, b expectedRequest) int { return cmp.Compare(a.latency, b.latency) })
	slowest := 0.0
	weight := q.ReceivedWeight
	for _, e := range requests {
		if weight >= q.class.CompleteShare-shareTolerance {
			break
		}
		slowest = e.latency
		weight += e.weight
	}
	return slowest
}
