package logic

import (
	"cmp"
	"slices"
)

const (
	// A query's slowest request is expected to take some share of the time left to the latency objective.
	// From shedFromShare on, queries are shed at random with rising probability; from shedAllShare on, all
	// are.
	shedFromShare = 0.35
	shedAllShare  = 0.8

	// reportedLatencyShare is the factor applied here to latencies expected by load reports. Load reports
	// show a queue without the delay with which ended attempts do, and without the factor too many queries
	// would be shed.
	reportedLatencyShare = 0.5

	// trialIntervalMS is the least time between two queries that are admitted for lack of recent records.
	trialIntervalMS = 100.0
)

// shouldShed decides whether a query that has arrived is shed: a query whose slowest request would take most
// of the time left only delays other queries. Nothing of it was sent yet, so queries of any class may be
// rejected.
func (g *Gatherer) shouldShed(q *query) bool {
	if !g.latencies.hasMeasurements() {
		return false
	}
	objectiveAt := q.arrivedAt + q.class.LatencyObjective
	// A client whose deadline is before the latency objective disconnects at the deadline and retries.
	timeLeft := max(min(objectiveAt, q.Deadline)-g.now, 1)
	draw := g.random.Float64()
	sheds := func(latency float64) bool {
		return (latency/timeLeft-shedFromShare)/(shedAllShare-shedFromShare) > draw
	}
	requests := g.expectedRequests(q)
	return sheds(slowestLatency(q, requests)) && !g.admitsTrial(q, requests, sheds)
}

// admitsTrial reports whether a query that would be shed is admitted as a trial, as by a half-open circuit
// breaker: only records older than the window justify shedding it, and no attempt is in flight that would
// bring newer records. Trials are few, so that they do not delay other queries if the servers are still slow.
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

// expectedRequest holds the expected latency of a request that would be sent.
type expectedRequest struct {
	weight        float64
	latency       float64
	recentLatency float64 // expected by the records within the window alone, 0 if there are none
}

// expectedRequests returns the requests of a query that would be sent. Requests to servers that do not answer
// health checks are left out: a server that only this gatherer cannot reach is no sign of overload.
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

// slowestLatency returns the latency of the slowest request among the fastest ones that make a complete
// answer. It sorts the requests by latency.
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
