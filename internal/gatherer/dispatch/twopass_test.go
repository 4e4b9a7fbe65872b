package dispatch

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"yokeroute/gather"
	"yokeroute/internal/pcg"
)

// TestFirstPassDecidesSecondPass goes through what a first pass can bring: all shards proved empty, none, some,
// and summaries that cannot be read.
func TestFirstPassDecidesSecondPass(t *testing.T) {
	for name, c := range map[string]struct {
		summaries []string
		second    int
		empty     int
	}{
		"everything pruned": {[]string{"none v1", "none v1", "none v1", "none v1"}, 0, 4},
		"nothing pruned":    {[]string{"some 1 1 v1", "some 1 1 v1", "some 2 0.5 v1", "some 1 1 v1"}, 4, 0},
		"some pruned":       {[]string{"some 1 1 v1", "none v1", "some 1 1 v1", "none v1"}, 2, 2},
		"garbled":           {[]string{"none v1", "none", "some -4 1 v1", "none v1"}, 2, 2},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTwoPassPicker(t, nil)
			query, o := submitTwoPass(p, 1010, "a", 4)
			if countFirstPass(o) != 4 || len(o.Send) != 4 {
				t.Fatalf("%d attempts, %d of a first pass", len(o.Send), countFirstPass(o))
			}
			if id := o.Send[0].ID(); !strings.HasSuffix(id, "~") {
				t.Errorf("a first pass's shard request is called %s", id)
			}
			for i, attempt := range o.Send {
				p.Report(attempt, gather.Succeeded, []byte(c.summaries[i]))
			}
			now, attempts := 1015.0, []*Attempt(nil)
			for ; now < 1400 && len(attempts) == 0; now += 5 {
				attempts = nil
				for _, attempt := range p.runRound(now).Send {
					if attempt.FirstPass() { // sent again elsewhere, within the first pass
						p.Report(attempt, gather.Succeeded, []byte("garbled again"))
					} else {
						attempts = append(attempts, attempt)
					}
				}
				if v, done := takeResult(query); done {
					if c.second > 0 || v.Kind != Served || !v.Complete || len(v.Hits) != 0 || len(v.EmptyShards) != c.empty {
						t.Errorf("%+v", v)
					}
					return
				}
			}
			if len(attempts) != c.second || slices.ContainsFunc(attempts, (*Attempt).FirstPass) {
				t.Fatalf("%d attempts in the second pass", len(attempts))
			}
			for _, attempt := range attempts {
				if attempt.ID() != fmt.Sprint("a.", attempt.Shard()) {
					t.Errorf("a shard request in full is called %s", attempt.ID())
				}
				p.Report(attempt, gather.Succeeded, fmt.Append(nil, attempt.Shard()))
			}
			p.runRound(now)
			v, done := takeResult(query)
			if !done || v.Kind != Served || !v.Complete || len(v.Hits) != c.second || len(v.EmptyShards) != c.empty {
				t.Errorf("%+v, %t", v, done)
			}
			for _, h := range v.Hits {
				if slices.Contains(v.EmptyShards, h.Shard) || string(h.Value) != fmt.Sprint(h.Shard) {
					t.Errorf("hit %+v, empty %v", h, v.EmptyShards)
				}
			}
			if p.intake.open != 0 || len(p.queries.byID)+len(p.queries.requests)+len(p.twoPass.queries) != 0 {
				t.Errorf("%d open, %d queries, %d shard requests, %d in two passes", p.intake.open, len(p.queries.byID), len(p.queries.requests), len(p.twoPass.queries))
			}
		})
	}
}

// TestFirstPassEndsInItsTime has a first pass run long. What has not answered is cancelled and requested in full,
// and what it says afterwards proves nothing.
func TestFirstPassEndsInItsTime(t *testing.T) {
	p := newTwoPassPicker(t, nil)
	query, o := submitTwoPass(p, 1010, "a", 4)
	p.Report(o.Send[0], gather.Succeeded, []byte("none v1"))
	late := o.Send[1:]
	now, off := 1015.0, 0
	var second []*Attempt
	for ; len(second) == 0; now += 5 {
		o := p.runRound(now)
		off += len(o.Cancel)
		second = o.Send
		if now > 1010+0.3*400+30 {
			t.Fatal("the first pass took more than its share")
		}
	}
	if len(second) != 3 || off != 3 {
		t.Fatalf("%d attempts in full, %d cancelled", len(second), off)
	}
	for _, c := range late {
		if c.BeginWrite() {
			t.Error("an attempt of the first pass may still be written")
		}
		p.Report(c, gather.Succeeded, []byte("none v1"))
	}
	p.runRound(now)
	if _, done := takeResult(query); done {
		t.Error("answered by a proof that came too late")
	}
	for _, c := range second {
		p.Report(c, gather.Succeeded, []byte("x"))
	}
	p.runRound(now + 5)
	if v, done := takeResult(query); !done || len(v.Hits) != 3 || len(v.EmptyShards) != 1 {
		t.Errorf("%+v, %t", v, done)
	}
}

// TestAbandonedTwoPassQueryEndsBothPasses has a client go in the first pass, between the passes and in the second.
// Nothing of its query may be written any more.
func TestAbandonedTwoPassQueryEndsBothPasses(t *testing.T) {
	for when := range 3 {
		p := newTwoPassPicker(t, nil)
		query, o := submitTwoPass(p, 1010, "a", 4)
		attempts, now := o.Send, 1015.0
		if when > 0 {
			for _, c := range o.Send {
				p.Report(c, gather.Succeeded, []byte("some 1 1 v1"))
			}
			attempts = nil
			if o := p.runRound(now); len(o.Send) > 0 {
				t.Fatal("the second pass begins in the round that ends the first")
			}
			now += 5
		}
		if when > 1 {
			attempts = p.runRound(now).Send
			now += 5
		}
		p.intake.enqueue(func(in *inbox) { in.Abandoned = append(in.Abandoned, query.id) })
		query.seal() // as Pick does
		o = p.runRound(now)
		if v, done := takeResult(query); !done || v.Kind != Abandoned {
			t.Errorf("%d: %+v, %t", when, v, done)
		}
		for _, c := range append(attempts, o.Send...) {
			if c.BeginWrite() {
				t.Errorf("%d: an attempt may still be written", when)
			}
		}
		for _, c := range attempts {
			p.Report(c, gather.Cancelled, nil)
		}
		if o := p.runRound(now + 5); len(o.Send) > 0 || len(p.queries.byID)+len(p.twoPass.queries)+p.intake.open != 0 {
			t.Errorf("%d: %d attempts after the end, %d queries open", when, len(o.Send), len(p.queries.byID))
		}
	}
}

// TestServersWithoutFirstPassAreAskedInFull requests shards in full at once where no server answers first passes,
// in one pass where none does at all; a server that has restarted has to be found again.
func TestServersWithoutFirstPassAreAskedInFull(t *testing.T) {
	p := newTwoPassPicker(t, nil)
	for _, id := range []uint32{11, 13, 15} { // the second group
		p.SetAnswersFirstPass(id, false)
	}
	p.runRound(1008)
	_, o := submitTwoPass(p, 1013, "a", 4)
	if countFirstPass(o) != 2 || len(o.Send) != 2 {
		t.Fatalf("%d attempts, %d of a first pass", len(o.Send), countFirstPass(o))
	}
	for _, c := range o.Send {
		if c.Server%2 == 1 {
			t.Errorf("a first pass asks server %d", c.Server)
		}
		p.Report(c, gather.Succeeded, []byte("none v1"))
	}
	p.runRound(1018)
	if o := p.runRound(1023); len(o.Send) != 2 || countFirstPass(o) != 0 || o.Send[0].Server%2 == 0 {
		t.Errorf("second pass %+v", o.Send)
	}
	var again gather.EndpointList
	for id := uint32(10); id < 16; id += 2 {
		again.Endpoints = append(again.Endpoints, gather.Endpoint{ID: id, ReplicaSet: 0, StartedAt: 1020})
	}
	p.UpdateEndpoints(again)
	p.runRound(1028)
	if _, o := submitTwoPass(p, 1033, "b", 4); countFirstPass(o) != 0 || len(o.Send) != 4 {
		t.Errorf("%d attempts, %d of a first pass, of processes that were never asked", len(o.Send), countFirstPass(o))
	}
}

// TestDrainBetweenPasses has a server drain between the passes: it gets nothing of the second. One that is lost in
// the first pass proves nothing.
func TestDrainBetweenPasses(t *testing.T) {
	p := newTwoPassPicker(t, nil)
	query, o := submitTwoPass(p, 1010, "a", 2)
	p.Report(o.Send[0], gather.Succeeded, []byte("some 1 1 v1"))
	p.Report(o.Send[1], gather.ConnectionReset, nil)
	p.runRound(1015)
	p.UpdateEndpoints(gather.EndpointList{Endpoints: []gather.Endpoint{{ID: o.Send[0].Server, ReplicaSet: int(o.Send[0].Server % 2), State: gather.Draining}}})
	for now := 1020.0; now < 1200; now += 5 {
		for _, c := range p.runRound(now).Send {
			if c.Server == o.Send[0].Server {
				t.Errorf("an attempt to the server that drains, of the first pass %t", c.FirstPass())
			}
			if c.FirstPass() {
				p.Report(c, gather.ConnectionReset, nil) // sent again elsewhere within the first pass, and lost again
			} else {
				p.Report(c, gather.Succeeded, []byte("x"))
			}
		}
	}
	if v, done := takeResult(query); !done || v.Kind != Served || len(v.Hits) != 2 {
		t.Errorf("%+v, %t", v, done)
	}
}

// TestRetryBudgetCountsAcrossPasses plays days on which first passes are lost by the dozen and counts, at each
// attempt, the attempts beyond each shard request's first by the words of rule 6: an answered first pass and the
// attempt in full that follows it are two firsts; one that was lost makes the next a retry. Each query has one
// result, and no attempt after it.
func TestRetryBudgetCountsAcrossPasses(t *testing.T) {
	for seed := range uint64(6) {
		p := newTwoPassPicker(t, func(s *gather.Settings) { s.RetryBudgetFloor = 6.0 })
		chance := pcg.New(seed)
		type out struct {
			c    *Attempt
			at   float64
			lost bool
		}
		type key struct {
			query *Query
			shard int
			first bool
		}
		var outs []out
		var admittedAt, retriedAt []float64
		attempts, answered := map[key]int{}, map[key]bool{}
		held := map[*Query]bool{}
		admitted, ends, retries, two := 0, 0, 0, 0
		for now := 1010.0; now < 20000; now += 5 {
			troubled := math.Mod(now, 6000) < 2000
			if chance.Float64() < 0.25 && now < 17000 {
				query := newQuery("any", 1+int(chance.Uint32()%6), now+300+500*chance.Float64())
				query.ID = fmt.Sprint("l", admitted)
				admitted++
				p.submit(query)
				held[query] = true
				for range 1 + len(query.ShardRequests) {
					admittedAt = append(admittedAt, now)
				}
			}
			rest := outs[:0]
			for _, o := range outs {
				switch {
				case o.at > now:
					rest = append(rest, o)
				case o.lost:
					p.Report(o.c, gather.TimedOut, nil)
				case o.c.FirstPass():
					p.Report(o.c, gather.Succeeded, []byte([]string{"none v1", "some 1 1 v1", "some"}[chance.Uint32()%3]))
					answered[key{o.c.Query(), o.c.Shard(), true}] = true
				default:
					p.Report(o.c, gather.Succeeded, []byte("x"))
				}
			}
			outs = rest
			o := p.runRound(now)
			for _, c := range o.Cancel {
				p.Report(c, gather.Cancelled, nil)
			}
			for _, c := range o.Send {
				query := c.Query()
				if !held[query] {
					t.Fatalf("seed %d at %g: an attempt after the final answer", seed, now)
				}
				k, other := key{query, c.Shard(), c.FirstPass()}, key{query, c.Shard(), true}
				if attempts[k] > 0 || !c.FirstPass() && attempts[other] > 0 && !answered[other] {
					retries++
					retriedAt = append(retriedAt, now)
					in, queued := 0, 0
					for _, at := range retriedAt {
						if at >= now-2000 {
							in++
						}
					}
					for _, at := range admittedAt {
						if at >= now-2000 {
							queued++
						}
					}
					if most := 6 + 0.05*float64(queued); float64(in) > most {
						t.Fatalf("seed %d at %g: %d retries in 2 s, %g allowed", seed, now, in, most)
					}
				}
				attempts[k]++
				took, lost := 5+20*chance.Float64(), chance.Float64() < 0.02
				if c.FirstPass() {
					took /= 5
				}
				if troubled && c.FirstPass() {
					lost = chance.Float64() < 0.6
				}
				if lost {
					took = c.Timeout
				}
				outs = append(outs, out{c, now + took, lost})
			}
			for query := range held {
				if v, done := takeResult(query); done {
					ends++
					delete(held, query)
					if query.twoPass != nil {
						two++
					}
					if v.Kind == Served && v.Complete && len(v.Hits)+len(v.EmptyShards) != len(query.ShardRequests) {
						t.Fatalf("seed %d: complete with %d hits and %d empty of %d shard requests", seed, len(v.Hits), len(v.EmptyShards), len(query.ShardRequests))
					}
					if now > query.Deadline+20 {
						t.Errorf("seed %d: answered %g ms after its time", seed, now-query.Deadline)
					}
				}
			}
		}
		if ends != admitted || admitted < 500 || two < 100 || retries < 10 {
			t.Errorf("seed %d: %d of %d queries answered, %d in two passes, %d retries", seed, ends, admitted, two, retries)
		}
		if p.intake.open != 0 || len(p.queries.byID)+len(p.queries.requests)+len(p.twoPass.queries) != 0 {
			t.Errorf("seed %d: %d open, %d queries, %d shard requests", seed, p.intake.open, len(p.queries.byID), len(p.queries.requests))
		}
	}
}

// TestProvedEmptyShardsCountTowardsCompleteShare has a class that is complete with a share of the weight: shards
// proved empty count towards it.
func TestProvedEmptyShardsCountTowardsCompleteShare(t *testing.T) {
	p := newTwoPassPicker(t, func(s *gather.Settings) {
		s.FindClass("any").CompleteShare = 0.75
		s.FindClass("any").MinShare = 0.75
	})
	query, o := submitTwoPass(p, 1010, "a", 8)
	if n := countFirstPass(o); n < 6 {
		t.Fatalf("%d shard requests of the first pass", n)
	}
	for i, c := range o.Send {
		if i < 4 {
			p.Report(c, gather.Succeeded, []byte("none v1"))
		} else {
			p.Report(c, gather.Succeeded, []byte("some 1 1 v1"))
		}
	}
	p.runRound(1015)
	second := p.runRound(1020).Send
	if len(second) != 2 {
		t.Fatalf("%d attempts in full, of 8 shards 4 are proved empty and 6 make a complete one", len(second))
	}
	for _, c := range second {
		p.Report(c, gather.Succeeded, []byte("x"))
	}
	p.runRound(1025)
	if v, done := takeResult(query); !done || !v.Complete || len(v.Hits) != 2 || len(v.EmptyShards) != 4 {
		t.Errorf("%+v, %t", v, done)
	}
}
