// Package baselines has textbook strategies of choosing a replica, to compare the project's decisions with.
//
// A baseline decides what package logic decides, from the same rounds. It sends as many requests as make a
// complete answer, each to a replica of its strategy's choice, retries a failed one elsewhere while the
// budget lasts, and sheds no load. It keeps the service's rules in the plainest way: nothing is sent to
// servers that drain, a warming one gets one request at a time and only where there is no other replica,
// and nothing is repeated or rejected without proof that it had no effect. It is never used in service.
package baselines

import (
	"yokeroute/gather"
	"yokeroute/internal/pcg"
)

// Strategy is what makes one baseline differ from another.
type Strategy struct {
	Name          string
	Choose        Choose
	HedgeQuantile float64 // of latencies, after which an attempt is hedged; 0 for no hedging
}

// Choose returns the place of one of the candidates; inFlight are the attempts of this gatherer at each.
type Choose func(random *pcg.Source, turn *int, servers []uint32, inFlight []int) int

// Random chooses any replica.
func Random(random *pcg.Source, _ *int, servers []uint32, _ []int) int {
	return int(random.Uint32() % uint32(len(servers)))
}

// RoundRobin chooses replicas one after the other.
func RoundRobin(_ *pcg.Source, turn *int, servers []uint32, _ []int) int {
	*turn++
	return *turn % len(servers)
}

// LeastInFlight chooses a replica with the fewest attempts of this gatherer, at random among equals.
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

// TwoChoices chooses the one with fewer attempts out of two random ones (M. Mitzenmacher, 2001).
func TwoChoices(random *pcg.Source, _ *int, servers []uint32, inFlight []int) int {
	first := Random(random, nil, servers, nil)
	second := Random(random, nil, servers, nil)
	if inFlight[second] < inFlight[first] {
		return second
	}
	return first
}

// Strategies are the baselines. Their names stand in stored results. The last one hedges at the 95th
// percentile of latencies (J. Dean and L. Barroso, The Tail at Scale, 2013).
var Strategies = []Strategy{
	{Name: "random", Choose: Random},
	{Name: "turns", Choose: RoundRobin},
	{Name: "least-out", Choose: LeastInFlight},
	{Name: "two-choices", Choose: TwoChoices},
	{Name: "hedge-95", Choose: TwoChoices, HedgeQuantile: 0.95},
}

// wakeTicks is how many ticks apart rounds are while queries are open.
const wakeTicks = 2

// Module is a gatherer that follows a strategy. It is a gather.Module.
type Module struct {
	settings *gather.Settings
	strategy Strategy
	random   *pcg.Source
	now      float64
	writer   gather.Writer // of the current round

	servers  map[uint32]*server
	replicas [][]uint32 // running ones, by replica set
	turns    []int      // by replica set

	open     []*query
	byNumber map[uint64]*query
	requests map[uint64]*shardRequest

	arrivals   []float64 // times of queries and requests
	retries    []float64 // times of retries and hedges
	latencies  latencyRing
	nextWakeAt float64
}

// New returns a gatherer that knows its settings and nothing of the servers.
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

// Round takes what was observed since the last round, and decides.
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

// tick is the shortest time between two rounds.
func (m *Module) tick() float64 { return max(m.settings.Tick, 1) }
