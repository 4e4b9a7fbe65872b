// Package logic decides what a gatherer does with its queries: which shard requests of a query are sent, to
// which replica, which are retried or hedged, when a query is answered, and which queries are rejected under
// overload.
//
// A Gatherer is one instance and shares no state with others. In each round an adapter passes it the events
// observed since the last one (gather.Round), and it writes its decisions to a gather.Writer. It is
// deterministic: the time is taken from the round, the random numbers come from the seed, and no decision
// depends on the iteration order of a map. It does no I/O and starts no goroutine.
//
// Every decision has to keep the rules of the service: each query gets exactly one final answer before its
// deadline; a request that may have had an effect is repeated only as far as its class allows; nothing is
// sent to a draining server; a server that is warming up is sent no more than it has capacity for; an answer
// counts only responses that were received; retries stay within their budget.
//
// The decisions follow Hao et al., "Mitigate HDD Fail-Slow by Pro-actively Utilizing System-level Data
// Redundancy with Enhanced HDD Controllability and Observability", called the paper here. A drive in the
// paper is a shard server here, and a sub-request is an attempt. The paper's symbols are s, the mean latency
// of a server; f, the share of its attempts that fail; r, the extra latency of a failed attempt; q, its
// queue; and L, the rate at which it is sent attempts. docs/design.md lists the differences from the paper
// and their reasons.
//
// Times are milliseconds.
package logic

import (
	"math"
	"slices"

	"yokeroute/gather"
	"yokeroute/internal/pcg"
	"yokeroute/logic/slowstart"
)

const (
	// wakeTicks is the number of ticks between rounds while queries are open or a subscription is needed.
	wakeTicks = 2
	// stallTicks is the delay of a round, in ticks, above which the process counts as stalled.
	stallTicks = 4
)

// Gatherer holds the state of one gatherer instance. It is not safe for concurrent use.
type Gatherer struct {
	settings *gather.Settings
	random   *pcg.Source
	now      float64
	writer   gather.Writer // writer of the current round

	classes   classTable
	servers   serverTable
	slowStart slowstart.Table
	latencies latencyEstimator
	loads     loadProbe
	replicas  replicaPicker
	retries   retryBudget
	extras    extraRequests
	discovery subscription
	queries   queryTable

	nextWakeAt  float64
	lastTrialAt float64 // when a query was last admitted as a trial, for lack of recent records
}

// New returns a gatherer with the given settings and no servers; endpoint lists add them.
func New(seed uint64, settings *gather.Settings) *Gatherer {
	g := &Gatherer{
		settings: settings,
		random:   pcg.New(seed),
		servers:  newServerTable(max(settings.ReplicaSets, 1)),
		queries:  newQueryTable(),
	}
	g.classes.configure(settings)
	g.slowStart.Configure(settings)
	g.latencies = newLatencyEstimator(&g.servers, &g.slowStart, g.classes.shortestObjective())
	g.loads = newLoadProbe(&g.servers, settings)
	g.replicas = newReplicaPicker(&g.servers, &g.latencies, &g.slowStart, g.random, g.loads.enabled)
	return g
}

// Round applies the events observed since the last round and writes the decisions.
func (g *Gatherer) Round(in *gather.Round, w gather.Writer) {
	elapsed, decay := g.startRound(in.Now, w)
	if in.WakeDelay > stallTicks*g.tick() {
		g.latencies.totalStall += in.WakeDelay
	}
	if in.Settings != nil {
		g.applySettings(in.Settings)
	}
	for i := range in.EndpointLists {
		g.applyEndpointList(&in.EndpointLists[i])
	}
	if in.Weights != nil {
		g.replicas.setWeights(in.Weights)
	}
	g.subscribe()
	for i := range in.Results {
		g.recordResult(&in.Results[i])
	}
	for _, id := range in.Superseded {
		g.queries.removeRequest(id)
	}
	for i := range in.HealthChecks {
		g.loads.recordHealthCheck(&in.HealthChecks[i], g.now)
	}
	g.acceptQueries(in.Queries)
	g.acceptRequests(in.Requests)
	g.finishAbandoned(in.Abandoned)

	g.updateRetryBudget()
	g.latencies.update(g.now, elapsed, decay)
	for _, q := range g.queries.open {
		g.advance(q)
	}
	g.queries.removeFinished()
	g.scheduleWake()
}

// startRound advances the clock. It returns the time since the last round, at most the measuring window, and
// the factor by which counts have decayed in that time.
func (g *Gatherer) startRound(now float64, w gather.Writer) (elapsed, decay float64) {
	decay = math.Exp((g.now - now) / measuringWindowMS)
	g.extras.decay(decay)
	if g.now > 0 {
		elapsed = min(now-g.now, measuringWindowMS)
	}
	g.now = now
	g.writer = w
	g.replicas.startRound()
	return elapsed, decay
}

// applySettings replaces the settings. Open queries keep the class settings from the time of their arrival.
func (g *Gatherer) applySettings(settings *gather.Settings) {
	g.settings = settings
	g.classes.configure(settings)
	g.slowStart.Configure(settings)
	g.slowStart.FindWarming(g.now, g.servers.running)
}

// tick returns the shortest time between two rounds, at least 1 ms.
func (g *Gatherer) tick() float64 { return max(g.settings.Tick, 1) }

// scheduleWake requests the next round while queries are open or a subscription is needed.
func (g *Gatherer) scheduleWake() {
	if g.now < g.nextWakeAt || len(g.queries.open) == 0 && !g.needsSubscription() {
		return
	}
	g.nextWakeAt = g.now + wakeTicks*g.tick()
	g.writer.Wake(wakeTicks * g.tick())
}

// finishAbandoned ends the queries whose clients have disconnected. A client may disconnect in the round in
// which its query arrived.
func (g *Gatherer) finishAbandoned(queries []uint64) {
	for _, q := range g.queries.open {
		if slices.Contains(queries, q.ID) {
			g.finish(q)
		}
	}
}

// RetryBudgetLeft returns how many more retries the budget allowed at the end of the last round.
func (g *Gatherer) RetryBudgetLeft() float64 { return g.retries.left() }
