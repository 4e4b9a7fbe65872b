// Package baselines implements textbook strategies for choosing a replica, for comparison with the decisions
// of this project.
//
// A baseline makes the decisions of package logic, from the same rounds. It sends as many requests as a
// complete answer needs, each to a replica chosen by its strategy, retries a failed one on another replica
// while the retry budget lasts, and sheds no load. It follows the rules of the service in the simplest way:
// no requests are sent to draining servers, a server that is warming up gets one request at a time and only
// if there is no other replica, and no non-idempotent request is repeated or rejected without proof that it
// had no effect. Baselines are never used in production.
package baselines

import (
	"yokeroute/gather"
	"yokeroute/internal/pcg"
)

// Strategy holds the properties in which baselines differ.
type Strategy struct {
	Name          string
	Choose        Choose
	HedgeQuantile float64 // quantile of latencies after which an attempt is hedged; 0 disables hedging
}

// Choose returns the index of the chosen server. turn is the round-robin position of the replica set.
// inFlight holds the number of this gatherer's attempts in flight at each of the servers.
type Choose func(random *pcg.Source, turn *int, servers []uint32, inFlight []int) int

// Random chooses a replica at random.
func Random(random *pcg.Source, _ *int, servers []uint32, _ []int) int {
	return int(random.Uint32() % uint32(len(servers)))
}

// RoundRobin chooses the replicas in turn.
func RoundRobin(_ *pcg.Source, turn *int, servers []uint32, _ []int) int {
	*turn++
	return *turn % len(servers)
}

// LeastInFlight chooses the replica with the fewest attempts of this gatherer in flight. Ties are broken at
// random.
func LeastInFlight(random *pcg.Source, _ *int, servers []uint32, inFlight []int) int {
	best, ties := 0, uint32(0)
	for i := range servers {
		switch {
		case i == 0 || inFlight[i] < inFlight[best]:
			best = i
			ties = 1
		case inFlight[i] == inFlight[best]:
			ties++
			if random.Uint32()%ties == 0 {
				best = i
			}
		}
	}
	return best
}

// TwoChoices draws two replicas at random and chooses the one with fewer attempts in flight (M. Mitzenmacher,
// 2001).
func TwoChoices(random *pcg.Source, _ *int, servers []uint32, inFlight []int) int {
	first := Random(random, nil, servers, nil)
	second := Random(random, nil, servers, nil)
	if inFlight[second] < inFlight[first] {
		return second
	}
	return first
}

// Strategies lists the baselines. Stored results refer to them by name. The last one hedges at the 95th
// percentile of latencies (J. Dean and L. Barroso, The Tail at Scale, 2013).
var Strategies = []Strategy{
	{Name: "random", Choose: Random},
	{Name: "turns", Choose: RoundRobin},
	{Name: "least-out", Choose: LeastInFlight},
	{Name: "two-choices", Choose: TwoChoices},
	{Name: "hedge-95", Choose: TwoChoices, HedgeQuantile: 0.95},
}

// wakeTicks is the number of ticks between rounds while queries are open.
const wakeTicks = 2

// Module is a gather.Module that follows a strategy.
type Module struct {
	settings *gather.Settings
	strategy Strategy
	random   *pcg.Source
	now      float64
	writer   gather.Writer // writer of the current round

	servers  map[uint32]*server
	replicas [][]uint32 // IDs of running servers, by replica set
	turns    []int      // round-robin positions, by replica set

	open     []*query
	byNumber map[uint64]*query
	requests map[uint64]*shardRequest

	arrivals   []float64 // arrival times of queries and shard requests
	retries    []float64 // times at which retries and hedged requests were sent
	latencies  latencyRing
	nextWakeAt float64
}

// New returns a module that does not know any servers yet.
func New(seed uint64, settings *gather.Settings, strategy Strategy) *Module {
	m := &Module{
		settings: settings,
		strategy: strategy,
		random:   pcg.New(seed),
		servers:  map[uint32]*server{},
		byNumber: map[uint64]*query{},
		requests: map[uint64]*shardRequest{},
		turns:    make([]int, max(settings.ReplicaSets, 1)),
	}
	for i := range m.turns {
		m.turns[i] = int(m.random.Uint32() >> 8)
	}
	return m
}

// Round processes the events since the last round and makes the decisions that follow.
func (m *Module) Round(in *gather.Round, w gather.Writer) {
	m.now = in.Now
	m.writer = w
	for i := range in.EndpointLists {
		m.applyEndpointList(&in.EndpointLists[i])
	}
	for i := range in.Results {
		m.recordResult(&in.Results[i])
	}
	m.accept(in)
	m.finishAbandoned(in.Abandoned)
	m.updateRetryBudget()
	for _, q := range m.open {
		if !q.finished {
			m.advance(q)
		}
	}
	m.removeFinished()
	if m.now >= m.nextWakeAt && len(m.open) > 0 {
		m.nextWakeAt = m.now + wakeTicks*m.tick()
		w.Wake(wakeTicks * m.tick())
	}
}

// tick returns the shortest time between two rounds.
func (m *Module) tick() float64 { return max(m.settings.Tick, 1) }
