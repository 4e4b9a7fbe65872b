package logic

import (
	"fmt"
	"hash/fnv"
	"testing"

	"yokeroute/gather"
)

const (
	passesServers         = 15
	passesReplicaSets     = 5
	passesSettingsChanges = 4
	passesLengthMS        = 20_000
)

// simulatePasses runs seeded random events that the simulator's wire protocol does not carry: first and
// second passes, weights, changed settings, superseded requests, and servers that list the replica sets whose
// shards they hold. Each list passes through changeList first. It returns a hash of the decisions and the number of
// attempts.
func simulatePasses(seed uint64, changeList func(*gather.EndpointList)) (hash uint64, attempts int) {
	sim := newSimulation(passesSettings(0), seed, seed)
	end := sim.now + passesLengthMS
	for round := 0; sim.now < end; round++ {
		in := gather.Round{Now: sim.now}
		if round%1000 == 0 {
			list := sim.passesEndpointList()
			changeList(&list)
			in.EndpointLists = append(in.EndpointLists, list)
		}
		if round%300 == 50 {
			in.Weights = sim.passesWeights()
		}
		if round%400 == 200 {
			in.Settings = passesSettings(round / 400 % passesSettingsChanges)
		}
		if sim.oneIn(2) {
			sim.addPass(&in)
		}
		sim.addDueResults(&in)
		sim.run(&in, sim.passesOutcome, func() []any { return []any{sim.now, sim.gatherer.RetryBudgetLeft()} })
		if (round+1)%50 == 0 {
			for _, view := range sim.gatherer.View() {
				fmt.Fprintln(sim.hash, view)
			}
		}
		sim.now += 5 + 10*sim.random.Float64()
	}
	return sim.hash.Sum64(), sim.attempts
}

// passesSettings returns the settings after one of the operator's changes; 0 is before the first change.
func passesSettings(change int) *gather.Settings {
	settings := &gather.Settings{
		ReplicaSets: passesReplicaSets, ReplicaSetsPerShard: 1, MaxAttempts: 3, CancelAllowed: change != 2,
		HedgingAllowed: change != 1, Tick: 5, Gatherers: 2, GathererIndex: 1, MaxRetryAfter: 800,
		WarmupTime: 4000, InitialCapacityShare: 0.2, OverloadWindow: 2000, OverloadMultiple: 3, Zone: "east",
		CallCost: float64(change % 2), RequestsPerCall: 8,
	}
	if change > 1 {
		settings.RetryBudgetWindow = 2000
		settings.RetryBudgetFloor = 6
		settings.RetryBudgetRatio = 0.1
	}
	for _, name := range []string{"any", "all", "non-idempotent"} {
		settings.Classes = append(settings.Classes, gather.Class{Name: name, Effect: gather.Idempotent,
			LatencyObjective: 300 + 50*float64(change), Deadline: 1500, LateValue: 0.1, PartialValue: 0.9,
			CompleteShare: 1, MinShare: 1})
	}
	settings.Classes[0].CompleteShare = 0.7
	settings.Classes[0].MinShare = 0.5
	settings.Classes[1].HedgingForbidden = change%2 == 1
	settings.Classes[2].Effect = gather.NonIdempotent
	return settings
}

func (sim *simulation) passesEndpointList() gather.EndpointList {
	list := gather.EndpointList{Full: true}
	for id := range passesServers {
		set := id % passesReplicaSets
		e := gather.Endpoint{ID: uint32(id), ReplicaSet: set, Zone: []string{"east", "west"}[id/passesReplicaSets%2]}
		e.AnswersFirstPass = !sim.oneIn(3)
		if sim.oneIn(3) {
			e.ReplicaSets = []int{set, (id + 1) % passesReplicaSets, passesReplicaSets + 2}
		}
		if sim.oneIn(6) {
			e.StartedAt = 1e6 + 20000*sim.random.Float64()
		}
		list.Endpoints = append(list.Endpoints, e)
	}
	return list
}

// passesWeights returns random weights that leave out the first replica set and some servers.
func (sim *simulation) passesWeights() [][]gather.Weight {
	weights := make([][]gather.Weight, passesReplicaSets)
	for id := range passesServers {
		set := id % passesReplicaSets
		if set == 0 || sim.oneIn(5) {
			continue
		}
		weight := gather.Weight{Server: uint32(id), Share: float64(sim.random.Uint32() % 4)}
		weights[set] = append(weights[set], weight)
	}
	return weights
}

// addPass adds a query that is sent in a single pass, or a first or second pass.
func (sim *simulation) addPass(in *gather.Round) {
	count := 2 + int(sim.random.Uint32()%6)
	q := gather.Query{ID: sim.nextID, Number: sim.nextID}
	q.Class = passesSettings(0).ClassNames()[sim.random.Uint32()%3]
	q.Deadline = sim.now + 200 + 800*sim.random.Float64()
	q.Pass = gather.Pass(sim.random.Uint32() % 3)
	switch q.Pass {
	case gather.FirstPass:
		q.FullRequestExtra = 30 * sim.random.Float64()
	case gather.SecondPass:
		q.ArrivedAt = sim.now - 50
		q.ReceivedWeight = 0.5 * sim.random.Float64()
	}
	in.Queries = append(in.Queries, q)
	for i := range count {
		r := gather.ShardRequest{ID: q.ID + 1 + uint64(i), Number: q.Number}
		r.Shard = int(sim.random.Uint32()%passesReplicaSets) + i
		r.Weight = (1 - q.ReceivedWeight) / float64(count)
		r.Cost = 20 * sim.random.Float64()
		if q.Pass == gather.SecondPass {
			r.Retry = sim.oneIn(2)
			r.OrderPenalty = 5 * sim.random.Float64()
		}
		in.Requests = append(in.Requests, r)
	}
	if sim.oneIn(20) {
		in.Superseded = append(in.Superseded, q.ID+1)
	}
	if sim.oneIn(20) {
		in.Abandoned = append(in.Abandoned, q.ID)
	}
	sim.nextID += uint64(count) + 1
}

func (sim *simulation) passesOutcome(server uint32) (after float64, outcome gather.Outcome) {
	after = 10 + 60*sim.random.Float64()*float64(1+server%3)
	outcome = gather.Succeeded
	if sim.oneIn(12) {
		outcome = gather.Outcome(sim.random.Uint32() % 8)
	}
	if sim.oneIn(25) {
		after *= 30
	}
	return after, outcome
}

const (
	passesSeeds = 40
	// passesHash is the recorded hash of the decisions of passesSeeds simulations.
	passesHash uint64 = 0x375f47a47199b660
)

// hashPasses returns one hash of the decisions of passesSeeds simulations, and the number of attempts in all of them.
// newChange returns what each list of one simulation passes through.
func hashPasses(newChange func() func(*gather.EndpointList)) (hash uint64, attempts int) {
	sum := fnv.New64a()
	for seed := range uint64(passesSeeds) {
		hash, sent := simulatePasses(500+seed, newChange())
		fmt.Fprintln(sum, hash)
		attempts += sent
	}
	return sum.Sum64(), attempts
}

// listsAsDrawn leaves all lists of a simulation as they are.
func listsAsDrawn() func(*gather.EndpointList) { return func(*gather.EndpointList) {} }

// TestPassesAndWeightsDecisionsMatchRecordedHash checks that the decisions in simulations with passes,
// weights and changing settings are the recorded ones, byte for byte.
func TestPassesAndWeightsDecisionsMatchRecordedHash(t *testing.T) {
	skipIfMultiplyAddIsFused(t)
	got, attempts := hashPasses(listsAsDrawn)
	if attempts < 40_000 {
		t.Errorf("%d attempts sent, want at least 40000", attempts)
	}
	if got != passesHash {
		t.Errorf("hash of the decisions = %#x, want %#x as recorded", got, passesHash)
	}
}

// TestStartListedAsLongAgoChangesNoDecision guards against a server that counts as restarted once its start is listed
// as long ago: lists that repeat the start instead must lead to the same decisions.
func TestStartListedAsLongAgoChangesNoDecision(t *testing.T) {
	want, _ := hashPasses(listsAsDrawn)
	replaced := 0
	got, _ := hashPasses(func() func(*gather.EndpointList) {
		starts := map[uint32]float64{}
		return func(list *gather.EndpointList) {
			for i := range list.Endpoints {
				e := &list.Endpoints[i]
				if e.StartedAt == 0 && starts[e.ID] != 0 {
					e.StartedAt = starts[e.ID]
					replaced++
				}
				starts[e.ID] = e.StartedAt
			}
		}
	})
	if replaced == 0 {
		t.Error("no list has a start as long ago that an earlier list has as a time")
	}
	if got != want {
		t.Errorf("hash of the decisions = %#x with lists that repeat starts, want %#x as without", got, want)
	}
}
