package logic

import (
	"fmt"
	"hash/fnv"
	"testing"

	"yokeroute/gather"
)

const (
	trafficServers     = 18
	trafficReplicaSets = 6
	trafficLengthMS    = 30_000
)

// trafficSettings returns settings with classes of every effect, a retry budget, slow start and a call cost.
func trafficSettings() *gather.Settings {
	class := gather.Class{LatencyObjective: 400, LateValue: 0.1, CompleteShare: 1, MinShare: 1}
	anyClass, all, nonIdempotent, keyed := class, class, class, class
	anyClass.Name, anyClass.Effect = "any", gather.Idempotent
	anyClass.CompleteShare, anyClass.MinShare = 0.75, 0.5
	all.Name, all.Effect = "all", gather.Idempotent
	nonIdempotent.Name, nonIdempotent.Effect = "non-idempotent", gather.NonIdempotent
	keyed.Name, keyed.Effect = "keyed", gather.IdempotencyKeyed
	keyed.IdempotencyWindow = 900
	return &gather.Settings{
		ReplicaSets: trafficReplicaSets, ReplicaSetsPerShard: 2, MaxAttempts: 3, CancelAllowed: true,
		HedgingAllowed: true, Tick: 5, Gatherers: 3, GathererIndex: 1, MaxRetryAfter: 1000,
		WarmupTime: 8000, InitialCapacityShare: 0.2, OverloadWindow: 2000, OverloadMultiple: 3,
		RetryBudgetWindow: 2000, RetryBudgetFloor: 10, RetryBudgetRatio: 0.05,
		RequestsPerCall: 16, CallCost: 1, Classes: []gather.Class{anyClass, all, nonIdempotent, keyed},
	}
}

// simulateTraffic runs seeded random traffic: queries, results of all outcomes, clients that disconnect, and
// servers that drain, are removed and restart. It returns a hash of the decisions and the number of attempts.
// changeFirst may change the first round.
func simulateTraffic(seed uint64, changeFirst func(in *gather.Round)) (hash uint64, attempts int) {
	sim := newSimulation(trafficSettings(), seed, seed+1)
	end := sim.now + trafficLengthMS
	for first := true; sim.now < end; first = false {
		in := gather.Round{Now: sim.now}
		if first {
			in.EndpointLists = append(in.EndpointLists, trafficEndpointList())
			changeFirst(&in)
		}
		for range int(sim.random.Float64() * 2.2) {
			sim.addTrafficQuery(&in)
		}
		sim.addDueResults(&in)
		if sim.oneIn(150) {
			in.EndpointLists = append(in.EndpointLists, sim.randomEndpointChange())
		}
		sim.run(&in, sim.trafficOutcome, func() []any { return []any{sim.now} })
		sim.now += 5 + 5*sim.random.Float64()
	}
	return sim.hash.Sum64(), sim.attempts
}

func trafficEndpointList() gather.EndpointList {
	list := gather.EndpointList{Full: true}
	for id := range uint32(trafficServers) {
		list.Endpoints = append(list.Endpoints, gather.Endpoint{ID: id, ReplicaSet: int(id % trafficReplicaSets)})
	}
	return list
}

// randomEndpointChange returns a delta in which one server drains, is removed or restarts.
func (sim *simulation) randomEndpointChange() gather.EndpointList {
	id := sim.random.Uint32() % trafficServers
	return gather.EndpointList{Endpoints: []gather.Endpoint{{
		ID:         id,
		ReplicaSet: int(id % trafficReplicaSets),
		State:      gather.State(sim.random.Uint32() % 3),
		StartedAt:  sim.now,
	}}}
}

func (sim *simulation) addTrafficQuery(in *gather.Round) {
	count := 1 + int(sim.random.Uint32()%6)
	classes := trafficSettings().ClassNames()
	q := gather.Query{ID: sim.nextID, Number: sim.nextID}
	q.Class = classes[sim.random.Uint32()%4]
	q.Deadline = sim.now + 300 + 900*sim.random.Float64()
	q.Retry = sim.oneIn(5)
	in.Queries = append(in.Queries, q)
	for i := range count {
		r := gather.ShardRequest{ID: q.ID + 1 + uint64(i), Number: q.Number, Weight: 1 / float64(count)}
		r.Shard = int(sim.random.Uint32()%7) + i
		r.Cost = 20 * sim.random.Float64()
		in.Requests = append(in.Requests, r)
	}
	if sim.oneIn(40) {
		in.Abandoned = append(in.Abandoned, q.ID)
	}
	sim.nextID += uint64(count) + 1
}

func (sim *simulation) trafficOutcome(server uint32) (after float64, outcome gather.Outcome) {
	after = 10 + 60*sim.random.Float64()*sim.random.Float64()*float64(1+server%4)
	outcome = gather.Succeeded
	switch sim.random.Uint32() % 30 {
	case 0:
		outcome = gather.Outcome(1 + sim.random.Uint32()%7)
	case 1:
		after = 2000
	}
	return after, outcome
}

// fusedFactor is a variable, so that the compiler does not evaluate multiplyAdd: its square is 1 + 2^-29 + 2^-60, and
// the last term is lost if the product is rounded before the addition.
var fusedFactor = 1 + 0x1p-30

//go:noinline
func multiplyAdd(x, y, z float64) float64 { return x*y + z }

// skipIfMultiplyAddIsFused skips a test of recorded hashes if the compiler of this test fuses multiplications and
// additions, which leads to other results in the last bit.
func skipIfMultiplyAddIsFused(t *testing.T) {
	t.Helper()
	if multiplyAdd(fusedFactor, fusedFactor, -(1+0x1p-29)) != 0 {
		t.Skip("the hashes were recorded without fused multiplications and additions, which this build uses")
	}
}

// TestTrafficDecisionsMatchRecordedHashes checks that the decisions without weights are the recorded ones,
// byte for byte, and that empty weights lead to the same decisions. A change that is meant to alter decisions
// replaces the recorded hashes by its own.
func TestTrafficDecisionsMatchRecordedHashes(t *testing.T) {
	skipIfMultiplyAddIsFused(t)
	for seed, want := range []uint64{0x2cceab36132a77cf, 0xb75f63f485c5cf03, 0xa3ccb6f265f8f2a8} {
		got, attempts := simulateTraffic(uint64(seed), func(*gather.Round) {})
		if attempts < 1500 {
			t.Errorf("seed %d: %d attempts sent, want at least 1500", seed, attempts)
		}
		if got != want {
			t.Errorf("seed %d: hash of the decisions = %#x, want %#x as recorded", seed, got, want)
		}
		emptyWeights := func(in *gather.Round) { in.Weights = [][]gather.Weight{} }
		if again, _ := simulateTraffic(uint64(seed), emptyWeights); again != got {
			t.Errorf("seed %d: empty weights lead to other decisions than no weights", seed)
		}
	}
}

// TestTrafficDecisionsOfManySeedsMatchRecordedHash checks one recorded hash over the decisions of 60 seeds.
func TestTrafficDecisionsOfManySeedsMatchRecordedHash(t *testing.T) {
	skipIfMultiplyAddIsFused(t)
	sum := fnv.New64a()
	for seed := range uint64(60) {
		hash, _ := simulateTraffic(1000+seed, func(*gather.Round) {})
		fmt.Fprintln(sum, hash)
	}
	if got, want := sum.Sum64(), uint64(0xd4aeaec7fbfef26f); got != want {
		t.Errorf("hash of the decisions = %#x, want %#x as recorded", got, want)
	}
}
