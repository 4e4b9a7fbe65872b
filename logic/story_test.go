package logic

import (
	"fmt"
	"hash/fnv"
	"runtime"
	"testing"

	"yokeroute/gather"
	"yokeroute/internal/pcg"
)

// story plays a seeded day of all that a round may bring and gives a hash of all that was written. What is asked
// for through change comes in with the first round.
func story(seed uint64, change func(in *gather.Round)) (hash uint64, sends int) {
	settings := &gather.Settings{
		ReplicaSets: 6, ReplicaSetsPerShard: 2, MaxAttempts: 3, CancelAllowed: true,
		HedgingAllowed: true, Tick: 5.0, Gatherers: 3, GathererIndex: 1, MaxRetryAfter: 1000.0,
		WarmupTime: 8000.0, InitialCapacityShare: 0.2, OverloadWindow: 2000.0, OverloadMultiple: 3.0,
		RetryBudgetWindow: 2000.0, RetryBudgetFloor: 10.0, RetryBudgetRatio: 0.05,
		RequestsPerCall: 16, CallCost: 1.0,
	}
	for i, name := range []string{"any", "all", "once", "marked"} {
		settings.Classes = append(settings.Classes, gather.Class{Name: name, LatencyObjective: 400, LateValue: 0.1,
			CompleteShare: 1, MinShare: 1,
			Effect: []gather.Effect{gather.Idempotent, gather.Idempotent, gather.NonIdempotent, gather.IdempotencyKeyed}[i]})
	}
	anyClass := settings.FindClass("any")
	anyClass.CompleteShare, anyClass.MinShare = 0.75, 0.5
	settings.FindClass("marked").IdempotencyWindow = 900
	g, chance := New(seed, settings), pcg.New(seed+1)
	sum := fnv.New64a()
	p := &player{to: map[string]uint32{}, sent: map[uint64]int{}}
	type out struct {
		part uint64
		call int
		shd  uint32
		at   float64
		end  gather.Outcome
	}
	var outs []out
	started := map[uint32]float64{}
	list := gather.EndpointList{Full: true}
	for id := range uint32(18) {
		list.Endpoints = append(list.Endpoints, gather.Endpoint{ID: id, ReplicaSet: int(id % 6)})
	}
	id := uint64(1)
	for now := 1e6; now < 1e6+30000; now += 5 + 5*chance.Float64() {
		in := gather.Round{Now: now}
		if list.Endpoints != nil {
			in.EndpointLists, list.Endpoints = append(in.EndpointLists, list), nil
			change(&in)
		}
		for range int(chance.Float64() * 2.2) {
			k := 1 + int(chance.Uint32()%6)
			lk := gather.Query{ID: id, Number: id, Class: settings.ClassNames()[chance.Uint32()%4], Deadline: now + 300 + 900*chance.Float64(),
				Retry: chance.Uint32()%5 == 0}
			in.Queries = append(in.Queries, lk)
			for i := range k {
				in.Requests = append(in.Requests, gather.ShardRequest{ID: id + 1 + uint64(i), Number: id, Shard: int(chance.Uint32()%7) + i, Weight: 1 / float64(k), Cost: 20 * chance.Float64()})
			}
			if chance.Uint32()%40 == 0 {
				in.Abandoned = append(in.Abandoned, id)
			}
			id += uint64(k) + 1
		}
		rest := outs[:0]
		for _, o := range outs {
			if o.at > now {
				rest = append(rest, o)
				continue
			}
			in.Results = append(in.Results, gather.AttemptResult{Request: o.part, Server: o.shd, Attempt: o.call, Outcome: o.end, Finished: o.end == gather.Succeeded})
		}
		outs = rest
		if chance.Uint32()%150 == 0 { // one server drains, has gone or starts again
			shd := chance.Uint32() % 18
			started[shd] = now
			in.EndpointLists = append(in.EndpointLists, gather.EndpointList{Endpoints: []gather.Endpoint{{ID: shd, ReplicaSet: int(shd % 6), State: gather.State(chance.Uint32() % 3), StartedAt: started[shd]}}})
		}
		p.wrote = p.wrote[:0]
		g.Round(&in, p)
		for _, line := range p.wrote {
			fmt.Fprintln(sum, now, line)
			var part uint64
			var shd uint32
			if n, _ := fmt.Sscanf(line, "send %d %d", &part, &shd); n == 2 {
				sends++
				took, end := 10+60*chance.Float64()*chance.Float64()*float64(1+shd%4), gather.Succeeded
				switch chance.Uint32() % 30 {
				case 0:
					end = gather.Outcome(1 + chance.Uint32()%7)
				case 1:
					took = 2000
				}
				outs = append(outs, out{part, p.sent[part] - 1, shd, now + took, end})
			}
		}
	}
	return sum.Sum64(), sends
}

// TestNoPlan wants the decisions of the module before it knew of weights, byte for byte, where none are given. A
// change to the module that is meant to decide otherwise takes over the hashes that it comes to.
func TestNoPlan(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("others may fuse multiplications, and the hashes were taken without")
	}
	for seed, want := range []uint64{0x395035e96001ca12, 0x7b81cca1e023f91c, 0xff6dba7d26ec98de} {
		got, sends := story(uint64(seed), func(*gather.Round) {})
		if sends < 1500 {
			t.Errorf("seed %d: %d sends are too few to tell", seed, sends)
		}
		if got != want {
			t.Errorf("seed %d: hash %#x, before it was %#x", seed, got, want)
		}
		if again, _ := story(uint64(seed), func(in *gather.Round) { in.Weights = [][]gather.Weight{} }); again != got {
			t.Errorf("seed %d: weights that are empty change the decisions", seed)
		}
	}
}

// TestManyStories wants the decisions of the module before its figures were brought up to date by what changed, over
// more seeds than TestNoPlan: restarts, ends, cold servers, lost and late parts, and records that run out.
func TestManyStories(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("others may fuse multiplications, and the hash was taken without")
	}
	sum := fnv.New64a()
	for seed := range uint64(60) {
		hash, _ := story(1000+seed, func(*gather.Round) {})
		fmt.Fprintln(sum, hash)
	}
	if got, want := sum.Sum64(), uint64(0x64fc84e982a8d873); got != want {
		t.Errorf("hash %#x, before it was %#x", got, want)
	}
}
