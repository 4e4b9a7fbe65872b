package twopass

import (
	"math"
)

const (
	loadWindow     = 5000.0 // milliseconds over which attempts count as load
	maxUtilization = 0.9

	// Until an attempt has ended, latencies are assumed to be the latency objective over these.
	assumedFull          = 10
	assumedFirstPass     = 20
	assumedFirstPassWork = 40

	median           = 0.5
	unqueuedQuantile = 0.1 // attempts that wait for nothing: their latency is about the server's work
	lateQuantile     = 0.95
)

// estimate is what is expected of a query, in milliseconds.
type estimate struct {
	typical       float64 // latency of an attempt in full
	fullWork      float64 // of a server, for an attempt in full
	firstPassWork float64 // and for one of the first pass
	emptyShare    float64

	onePass    float64 // latency of the query in one pass
	firstPass  float64 // and of either pass in two
	secondPass float64

	savedElsewhere float64
	firstPassCost  float64
}

// estimate follows the cost model in docs/design/phases.md.
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

// load is the load that this gatherer's attempts in full put on the servers.
type load struct {
	sent      float64 // decaying over loadWindow
	inFlight  float64
	decayedAt float64
}

// delayedRequests is how many requests one more attempt delays at the mean server.
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
