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
)

// overloaded decides whether a query that has arrived is shed: one whose slowest request would take most of
// its time only delays others. Nothing of it was sent yet, so that any class may be rejected.
func (g *Gatherer) overloaded(q *query) bool {
	if !g.latencies.measured() {
		return false
	}
	objectiveAt := q.arrivedAt + q.class.LatencyObjective
	// Clients that wait less than that leave before their answer, and come again.
	timeLeft := max(min(objectiveAt, q.Deadline)-g.now, 1)
	load := g.slowestLatency(q) / timeLeft
	return (load-shedFromShare)/(shedAllShare-shedFromShare) > g.random.Float64()
}

// slowestLatency is the expected latency of the slowest request among the fastest that make a complete
// answer. Servers that only this gatherer cannot reach do not count: that is no overload.
func (g *Gatherer) slowestLatency(q *query) float64 {
	type expected struct{ latency, weight float64 }
	var requests []expected
	counted := 1.0
	if g.loads.enabled {
		counted = reportedLatencyShare
	}
	for _, r := range q.requests {
		if !r.wanted || r.replica == noReplica {
			continue
		}
		if latency := g.latencies.expectedLatency(r.replica, g.now); latency < unresponsiveLatency {
			requests = append(requests, expected{counted * latency, r.Weight})
		}
	}
	slices.SortFunc(requests, func(a, b expected) int { return cmp.Compare(a.latency, b.latency) })
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
