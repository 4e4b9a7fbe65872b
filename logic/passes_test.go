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
	g := New(seed, passesTerms(0))
	p := &player{to: map[string]uint32{}, sent: map[uint64]int{}}
	type pending struct {
		ending gather.Ending
		at     float64
	}
	var outs []pending
	id, round := uint64(1), 0
	for now := 1e6; now < 1e6+20000; now += 5 + 10*chance.Float64() {
		in := gather.Round{Now: now}
		if round%1000 == 0 {
			in.Lists = append(in.Lists, passesList(chance, servers, groups))
		}
		if round%300 == 50 {
			in.Weights = passesWeights(chance, servers, groups)
		}
		if round%400 == 200 {
			in.Terms = passesTerms(round / 400 % settingsChanges)
		}
		round++
		if chance.Uint32()%2 == 0 {
			k := 2 + int(chance.Uint32()%6)
			lk := gather.Lookup{ID: id, Number: id, Index: []string{"any", "all", "once"}[chance.Uint32()%3],
				GiveUpAt: now + 200 + 800*chance.Float64(), Pass: gather.Pass(chance.Uint32() % 3)}
			switch lk.Pass {
			case gather.First:
				lk.Lead = 30 * chance.Float64()
			case gather.Second:
				lk.Since, lk.In = now-50, 0.5*chance.Float64()
			}
			in.Lookups = append(in.Lookups, lk)
			for i := range k {
				pt := gather.Part{ID: id + 1 + uint64(i), Number: id, Shard: int(chance.Uint32()%groups) + i,
					Weight: (1 - lk.In) / float64(k), Cost: 20 * chance.Float64()}
				if lk.Pass == gather.Second {
					pt.Again, pt.Later = chance.Uint32()%2 == 0, 5*chance.Float64()
				}
				in.Parts = append(in.Parts, pt)
			}
			if chance.Uint32()%20 == 0 {
				in.Retired = append(in.Retired, id+1)
			}
			if chance.Uint32()%20 == 0 {
				in.Left = append(in.Left, id)
			}
			id += uint64(k) + 1
		}
		rest := outs[:0]
		for _, o := range outs {
			if o.at > now {
				rest = append(rest, o)
			} else {
				in.Endings = append(in.Endings, o.ending)
			}
		}
		outs = rest
		p.wrote = p.wrote[:0]
		g.Round(&in, p)
		for _, line := range p.wrote {
			fmt.Fprintln(sum, now, g.Room(), line)
			var part uint64
			var server uint32
			if n, _ := fmt.Sscanf(line, "send %d %d", &part, &server); n != 2 {
				continue
			}
			sends++
			took, outcome := 10+60*chance.Float64()*float64(1+server%3), gather.Answered
			if chance.Uint32()%12 == 0 {
				outcome = gather.Outcome(chance.Uint32() % 8)
			}
			if chance.Uint32()%25 == 0 {
				took *= 30
			}
			outs = append(outs, pending{gather.Ending{Part: part, Server: server, Call: p.sent[part] - 1, Outcome: outcome,
				Over: outcome == gather.Answered}, now + took})
		}
		for _, v := range g.View() {
			if round%50 == 0 {
				fmt.Fprintln(sum, v)
			}
		}
	}
	return sum.Sum64(), sends
}

// passesTerms are the settings of a day, of which an operator changes some.
func passesTerms(change int) gather.Terms {
	terms := gather.Terms{"indexes": []string{"any", "all", "once"}, "groups": 5.0, "groups in a row": 1.0,
		"most calls": 3.0, "call off": change != 2, "second copies": change != 1, "tick": 5.0, "gatherers": 2.0,
		"own number": 1.0, "longest come back": 800.0, "cold time": 4000.0, "cold share": 0.2, "fall time": 2000.0,
		"fall multiple": 3.0, "zone": "east", "call cost": float64(change % 2), "parts a call": 8.0}
	if change > 1 {
		terms["budget span"], terms["budget free"], terms["budget share"] = 2000.0, 6.0, 0.1
	}
	for i, index := range terms.Names("indexes") {
		terms[index+"/soft deadline"], terms[index+"/hard deadline"] = 300.0+50*float64(change), 1500.0
		terms[index+"/late share"], terms[index+"/partial earns"] = 0.1, 0.9
		terms[index+"/whole from"], terms[index+"/least share"] = 1.0, 1.0
		terms[index+"/effect"] = []string{"idempotent", "idempotent", "once-only"}[i]
	}
	terms["any/whole from"], terms["any/least share"] = 0.7, 0.5
	terms["all/alone"] = float64(change % 2)
	return terms
}

func passesList(chance *pcg.Source, servers, groups int) gather.List {
	list := gather.List{Full: true}
	for id := range servers {
		s := gather.Server{ID: uint32(id), Group: id % groups, Zone: []string{"east", "west"}[id/groups%2],
			Brief: chance.Uint32()%3 > 0}
		if chance.Uint32()%3 == 0 {
			s.Holds = []int{id % groups, (id + 1) % groups, groups + 2}
		}
		if chance.Uint32()%6 == 0 {
			s.Started = 1e6 + 20000*chance.Float64()
		}
		list.Servers = append(list.Servers, s)
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
