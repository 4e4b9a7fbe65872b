package twopass

import (
	"math"
)

const (
	loadWindow     = 5000.0 // decay time, in milliseconds, of the number of sent attempts
	maxUtilization = 0.9    // limit of the estimated utilization, since the delay is unbounded towards 1

	// Until attempts have ended, their latency is assumed to be the latency objective divided by one of these.
	assumedFull          = 10
	assumedFirstPass     = 20
	assumedFirstPassWork = 40

	median = 0.5
	// unqueuedQuantile selects the latency of attempts that do not queue, which is about the server's processing
	// time.
	unqueuedQuantile = 0.1
	lateQuantile     = 0.95 // selects the usual latency of the last attempt of a first pass
)

// estimate holds the expected latencies and gains of a query. Times are in milliseconds.
type estimate struct {
	typical       float64 // median latency of an attempt of a full request
	fullWork      float64 // server time for a full request
	firstPassWork float64 // server time for a first-pass request
	emptyShare    float64 // fraction of the shards expected to be proved empty

	onePass    float64 // latency of the query in one pass
	firstPass  float64 // latency of the first of two passes
	secondPass float64 // latency of the second of two passes

	savedElsewhere float64 // latency saved for other queries by full requests that are not sent
	firstPassCost  float64 // latency that the first pass adds to other queries
}

// estimate returns the estimate for a query, by the cost model in docs/design/phases.md.
func (d *Decider) estimate(now float64, class *classStats, query Query) estimate {
	objective := class.settings.LatencyObjective
	full, first := &class.fullLatency, &class.firstPassLatency
	e := estimate{
		typical:       full.quantile(median, objective/assumedFull),
		fullWork:      full.quantile(unqueuedQuantile, objective/assumedFull),
		firstPassWork: first.quantile(unqueuedQuantile, objective/assumedFirstPassWork),
		emptyShare:    class.emptyShare * class.answeredShare,
	}
	needed := math.Ceil(class.settings.CompleteShare * float64(query.ShardRequests))
	neededInFull := needed * (1 - e.emptyShare)
	assumedSlowest := 2 * objective / assumedFull
	e.onePass = full.meanLargest(needed, assumedSlowest)
	e.firstPass = first.meanLargest(float64(query.FirstPassRequests), objective/assumedFirstPass)
	notAllEmpty := 1 - math.Pow(e.emptyShare, needed)
	e.secondPass = notAllEmpty * full.meanLargest(max(neededInFull, 1), assumedSlowest)

	delayed := d.load.delayedRequests(now, e.typical, query.RunningServers)
	firstPassRequests := float64(query.FirstPassRequests)
	shardRequests := float64(max(query.ShardRequests, 1))
	e.savedElsewhere = needed * e.emptyShare * firstPassRequests / shardRequests * delayed * e.fullWork
	e.firstPassCost = firstPassRequests * delayed * e.firstPassWork
	return e
}

// load measures the load that this gatherer's full requests put on the servers.
type load struct {
	sent      float64 // number of full requests sent, decaying over loadWindow
	inFlight  float64
	decayedAt float64
}

// delayedRequests returns the number of requests that one more attempt delays on the average server.
func (l *load) delayedRequests(now, latency float64, servers int) float64 {
	l.decay(now)
	n := float64(max(servers, 1))
	utilization := min(l.sent/loadWindow/n*latency, maxUtilization)
	return utilization * (l.inFlight/n + 1) / (1 - utilization)
}

func (l *load) decay(now float64) {
	if now > l.decayedAt {
		l.sent *= math.Exp((l.decayedAt - now) / loadWindow)
		l.decayedAt = now
	}
}
