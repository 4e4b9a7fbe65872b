// Package logic decides what a gatherer does with its queries: which requests of a query are sent, to which
// replica, which are retried or hedged, when a query is answered, and which queries are rejected under
// overload.
//
// A Gatherer is one instance; it shares nothing with others. An adapter hands it, round by round, what was
// observed (gather.Round), and it writes its decisions to a gather.Writer. It is deterministic: the time is
// the round's, the random numbers come from the seed, and no decision depends on the iteration order of a
// map. It does no I/O and starts no goroutine.
//
// It has to keep the rules of the service whatever it decides: each query gets one final answer in time; a
// request that may have had an effect is repeated only as far as its class allows; nothing is sent to a
// server that drains; a warming server is sent only what it can bear; an answer counts only what was
// received; retries stay within their budget.
//
// The decisions follow Hao et al., "Mitigate HDD Fail-Slow by Pro-actively Utilizing System-level Data
// Redundancy with Enhanced HDD Controllability and Observability", called the paper here: a drive there is
// a shard server here, a sub-request an attempt. Its symbols are s, the mean latency of a server; f, the
// share of its attempts that fail; r, the extra latency of a failed attempt; q, its queue; and L, the rate
// startRound which it is sent attempts. docs/design.md says what departs from the paper, and why.
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
	// wakeTicks is how many ticks apart rounds are while there is something to wait for.
	wakeTicks = 2
	// stallTicks is by how much a round has to be late for the process to count as held up.
	stallTicks = 4
)

// Gatherer holds all state of one instance.
type Gatherer struct {
	settings *gather.Settings
	random   *pcg.Source
	now      float64
	writer   gather.Writer // of the current round

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
	lastTrialAt float64 // when a query was last admitted for want of recent records
}

// New returns a gatherer that knows its settings and nothing of the servers.
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

// Round takes what was observed since the last round, and decides.
func (g *Gatherer) Round(in *gather.Round, w gather.Writer) {
	elapsed, decay := g.startRound(in.Now, w)
	if in.HeldUp > stallTicks*g.tick() {
		g.latencies.totalStall += in.HeldUp
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

// startRound moves the clock on. It returns the time since the last round, at most the measuring window,
// and the factor by which counts have decayed in it.
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

// applySettings replaces the settings. Queries that have arrived are decided by the settings at their
// arrival.
func (g *Gatherer) applySettings(settings *gather.Settings) {
	g.settings = settings
	g.classes.configure(settings)
	g.slowStart.Configure(settings)
	g.slowStart.FindWarming(g.now, g.servers.running)
}

// tick is the shortest time between two rounds.
func (g *Gatherer) tick() float64 { return max(g.settings.Tick, 1) }

// scheduleWake requests the next round while there is something to wait for.
func (g *Gatherer) scheduleWake() {
	if g.now < g.nextWakeAt || len(g.queries.open) == 0 && !g.needsSubscription() {
		return
	}
	g.nextWakeAt = g.now + wakeTicks*g.tick()
	g.writer.Wake(wakeTicks * g.tick())
}

// finishAbandoned ends the queries whose clients have disconnected, some in the round in which they
// arrived.
func (g *Gatherer) finishAbandoned(queries []uint64) {
	for _, q := range g.queries.open {
		if slices.Contains(queries, q.ID) {
			g.finish(q)
		}
	}
}

// RetryBudgetLeft is how many more retries the budget allowed at the end of the last round.
func (g *Gatherer) RetryBudgetLeft() float64 { return g.retries.left() }
