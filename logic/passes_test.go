package logic

import (
	"fmt"
	"hash/fnv"
	"runtime"
	"testing"

	"yokeroute/gather"
	"yokeroute/internal/pcg"
)

// passesDay plays a seeded day of what the simulator's wire does not bring: first and second passes, weights, settings
// that change, parts whose keys move to other parts, and lists of servers with the shards that each holds. It gives a
// hash of all that was written, and how many part calls were.
func passesDay(seed uint64) (hash uint64, sends int) {
	const servers, groups, settingsChanges = 15, 5, 4
	chance, sum := pcg.New(seed), fnv.New64a()
	g := New(seed, passesSettings(0))
	p := &player{to: map[string]uint32{}, sent: map[uint64]int{}}
	type pending struct {
		ending gather.AttemptResult
		at     float64
	}
	var outs []pending
	id, round := uint64(1), 0
	for now := 1e6; now < 1e6+20000; now += 5 + 10*chance.Float64() {
		in := gather.Round{Now: now}
		if round%1000 == 0 {
			in.EndpointLists = append(in.EndpointLists, passesList(chance, servers, groups))
		}
		if round%300 == 50 {
			in.Weights = passesWeights(chance, servers, groups)
		}
		if round%400 == 200 {
			in.Settings = passesSettings(round / 400 % settingsChanges)
		}
		round++
		if chance.Uint32()%2 == 0 {
			k := 2 + int(chance.Uint32()%6)
			lk := gather.Query{ID: id, Number: id, Class: []string{"any", "all", "once"}[chance.Uint32()%3],
				Deadline: now + 200 + 800*chance.Float64(), Pass: gather.Pass(chance.Uint32() % 3)}
			switch lk.Pass {
			case gather.FirstPass:
				lk.FullCallExtra = 30 * chance.Float64()
			case gather.SecondPass:
				lk.ArrivedAt, lk.ReceivedWeight = now-50, 0.5*chance.Float64()
			}
			in.Queries = append(in.Queries, lk)
			for i := range k {
				pt := gather.ShardRequest{ID: id + 1 + uint64(i), Number: id, Shard: int(chance.Uint32()%groups) + i,
					Weight: (1 - lk.ReceivedWeight) / float64(k), Cost: 20 * chance.Float64()}
				if lk.Pass == gather.SecondPass {
					pt.Retry, pt.OrderPenalty = chance.Uint32()%2 == 0, 5*chance.Float64()
				}
				in.Requests = append(in.Requests, pt)
			}
			if chance.Uint32()%20 == 0 {
				in.Superseded = append(in.Superseded, id+1)
			}
			if chance.Uint32()%20 == 0 {
				in.Abandoned = append(in.Abandoned, id)
			}
			id += uint64(k) + 1
		}
		rest := outs[:0]
		for _, o := range outs {
			if o.at > now {
				rest = append(rest, o)
			} else {
				in.Results = append(in.Results, o.ending)
			}
		}
		outs = rest
		p.wrote = p.wrote[:0]
		g.Round(&in, p)
		for _, line := range p.wrote {
			fmt.Fprintln(sum, now, g.RetryBudgetLeft(), line)
			var part uint64
			var server uint32
			if n, _ := fmt.Sscanf(line, "send %d %d", &part, &server); n != 2 {
				continue
			}
			sends++
			took, outcome := 10+60*chance.Float64()*float64(1+server%3), gather.Succeeded
			if chance.Uint32()%12 == 0 {
				outcome = gather.Outcome(chance.Uint32() % 8)
			}
			if chance.Uint32()%25 == 0 {
				took *= 30
			}
			outs = append(outs, pending{gather.AttemptResult{Request: part, Server: server, Attempt: p.sent[part] - 1, Outcome: outcome,
				Finished: outcome == gather.Succeeded}, now + took})
		}
		for _, v := range g.View() {
			if round%50 == 0 {
				fmt.Fprintln(sum, v)
			}
		}
	}
	return sum.Sum64(), sends
}

// passesSettings are the settings of a day, of which an operator changes some.
func passesSettings(change int) *gather.Settings {
	settings := &gather.Settings{
		ReplicaSets: 5, ReplicaSetsPerShard: 1, MaxAttempts: 3, CancelAllowed: change != 2,
		HedgingAllowed: change != 1, Tick: 5, Gatherers: 2, GathererIndex: 1, MaxRetryAfter: 800,
		WarmupTime: 4000, InitialCapacityShare: 0.2, OverloadWindow: 2000, OverloadMultiple: 3,
		Zone: "east", CallCost: float64(change % 2), RequestsPerCall: 8,
	}
	if change > 1 {
		settings.RetryBudgetWindow, settings.RetryBudgetFloor, settings.RetryBudgetRatio = 2000, 6, 0.1
	}
	for i, name := range []string{"any", "all", "once"} {
		settings.Classes = append(settings.Classes, gather.Class{
			Name: name, LatencyObjective: 300 + 50*float64(change), Deadline: 1500, LateValue: 0.1, PartialValue: 0.9,
			CompleteShare: 1, MinShare: 1,
			Effect: []gather.Effect{gather.Idempotent, gather.Idempotent, gather.NonIdempotent}[i],
		})
	}
	anyClass := settings.FindClass("any")
	anyClass.CompleteShare, anyClass.MinShare = 0.7, 0.5
	settings.FindClass("all").HedgingForbidden = change%2 == 1
	return settings
}

func passesList(chance *pcg.Source, servers, groups int) gather.EndpointList {
	list := gather.EndpointList{Full: true}
	for id := range servers {
		s := gather.Endpoint{ID: uint32(id), ReplicaSet: id % groups, Zone: []string{"east", "west"}[id/groups%2],
			AnswersFirstPass: chance.Uint32()%3 > 0}
		if chance.Uint32()%3 == 0 {
			s.ReplicaSets = []int{id % groups, (id + 1) % groups, groups + 2}
		}
		if chance.Uint32()%6 == 0 {
			s.StartedAt = 1e6 + 20000*chance.Float64()
		}
		list.Endpoints = append(list.Endpoints, s)
	}
	return list
}

func passesWeights(chance *pcg.Source, servers, groups int) [][]gather.Weight {
	weights := make([][]gather.Weight, groups)
	for id := range servers {
		if group := id % groups; group > 0 && chance.Uint32()%5 > 0 {
			weights[group] = append(weights[group], gather.Weight{Server: uint32(id), Share: float64(chance.Uint32() % 4)})
		}
	}
	return weights
}

// TestPassesAndWeightsDecideAsRecorded wants the decisions of days with passes, weights and changing settings, byte for
// byte as they were recorded.
func TestPassesAndWeightsDecideAsRecorded(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("others may fuse multiplications, and the hash was taken without")
	}
	sum, total := fnv.New64a(), 0
	for seed := range uint64(40) {
		hash, sends := passesDay(500 + seed)
		fmt.Fprintln(sum, hash)
		total += sends
	}
	if total < 40_000 {
		t.Errorf("%d part calls are too few to tell", total)
	}
	if got, want := sum.Sum64(), uint64(0x7e0557ad509dbf); got != want {
		t.Errorf("hash %#x, recorded was %#x", got, want)
	}
}
