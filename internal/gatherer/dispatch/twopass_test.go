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

// TestSecondPassRequestsShardsNotProvedEmpty checks which shards the second pass requests after a first pass that
// proved all, none or some shards empty, or received malformed summaries.
func TestSecondPassRequestsShardsNotProvedEmpty(t *testing.T) {
	for name, c := range map[string]struct {
		summaries []string
		second    int // shard requests wanted in the second pass
		empty     int // shards wanted in EmptyShards
	}{
		"all proved empty":  {[]string{"none v1", "none v1", "none v1", "none v1"}, 0, 4},
		"none proved empty": {[]string{"some 1 1 v1", "some 1 1 v1", "some 2 0.5 v1", "some 1 1 v1"}, 4, 0},
		"some proved empty": {[]string{"some 1 1 v1", "none v1", "some 1 1 v1", "none v1"}, 2, 2},
		"malformed":         {[]string{"none v1", "none", "some -4 1 v1", "none v1"}, 2, 2},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTwoPassPicker(t, nil)
			query, actions := submitTwoPass(p, 1010, "a", 4)
			if countFirstPass(actions) != 4 || len(actions.Send) != 4 {
				t.Fatalf("%d attempts, %d in the first pass, want 4", len(actions.Send), countFirstPass(actions))
			}
			if id := actions.Send[0].ID(); !strings.HasSuffix(id, "~") {
				t.Errorf("first-pass shard request has ID %s, want suffix ~", id)
			}
			for i, attempt := range actions.Send {
				p.Report(attempt, gather.Succeeded, []byte(c.summaries[i]))
			}
			now, attempts := 1015.0, []*Attempt(nil)
			for ; now < 1400 && len(attempts) == 0; now += 5 {
				attempts = nil
				for _, attempt := range p.runRound(now).Send {
					if attempt.FirstPass() { // a retry within the first pass, at another server
						p.Report(attempt, gather.Succeeded, []byte("malformed again"))
					} else {
						attempts = append(attempts, attempt)
					}
				}
				if result, done := pollResult(query); done {
					if c.second > 0 || result.Kind != Served || !result.Complete || len(result.Hits) != 0 ||
						len(result.EmptyShards) != c.empty {
						t.Errorf("result %+v after the first pass, want a second pass or a complete result without hits", result)
					}
					return
				}
			}
			if len(attempts) != c.second || slices.ContainsFunc(attempts, (*Attempt).FirstPass) {
				t.Fatalf("%d attempts in the second pass, want one for each shard not proved empty", len(attempts))
			}
			for _, attempt := range attempts {
				if attempt.ID() != fmt.Sprint("a.", attempt.Shard()) {
					t.Errorf("second-pass shard request has ID %s, want the query's ID and the shard", attempt.ID())
				}
				p.Report(attempt, gather.Succeeded, fmt.Append(nil, attempt.Shard()))
			}
			p.runRound(now)
			result, done := pollResult(query)
			if !done || result.Kind != Served || !result.Complete || len(result.Hits) != c.second ||
				len(result.EmptyShards) != c.empty {
				t.Errorf("result %+v, done %t, want complete with a hit or a proof for each shard", result, done)
			}
			for _, h := range result.Hits {
				if slices.Contains(result.EmptyShards, h.Shard) || string(h.Value) != fmt.Sprint(h.Shard) {
					t.Errorf("hit %+v has a wrong value or is of an empty shard, empty are %v", h, result.EmptyShards)
				}
			}
			if p.intake.openRequests != 0 || len(p.queries.byID)+len(p.queries.requests)+len(p.twoPass.queries) != 0 {
				t.Errorf("left over: %d open requests, %d queries, %d shard requests, %d two-pass queries",
					p.intake.openRequests, len(p.queries.byID), len(p.queries.requests), len(p.twoPass.queries))
			}
		})
	}
}

// TestFirstPassEndsAtItsDeadline guards against a first pass that waits longer than its share of the latency objective.
// Shards that have not answered by then are cancelled and requested in the second pass, and their late summaries are
// ignored.
func TestFirstPassEndsAtItsDeadline(t *testing.T) {
	p := newTwoPassPicker(t, nil)
	query, actions := submitTwoPass(p, 1010, "a", 4)
	p.Report(actions.Send[0], gather.Succeeded, []byte("none v1"))
	unanswered := actions.Send[1:]
	now, cancelled := 1015.0, 0
	var second []*Attempt
	for ; len(second) == 0; now += 5 {
		actions := p.runRound(now)
		cancelled += len(actions.Cancel)
		second = actions.Send
		if now > 1010+0.3*400+30 {
			t.Fatal("the first pass exceeds its share of the latency objective by more than 30 ms")
		}
	}
	if len(second) != 3 || cancelled != 3 {
		t.Fatalf("%d attempts in the second pass, %d cancelled, want 3 and 3", len(second), cancelled)
	}
	for _, attempt := range unanswered {
		if attempt.BeginWrite() {
			t.Error("BeginWrite permits a first-pass attempt after the first pass")
		}
		p.Report(attempt, gather.Succeeded, []byte("none v1"))
	}
	p.runRound(now)
	if _, done := pollResult(query); done {
		t.Error("the query ended because of first-pass summaries that arrived after the first pass")
	}
	for _, attempt := range second {
		p.Report(attempt, gather.Succeeded, []byte("x"))
	}
	p.runRound(now + 5)
	if result, done := pollResult(query); !done || len(result.Hits) != 3 || len(result.EmptyShards) != 1 {
		t.Errorf("result %+v, done %t, want 3 hits and 1 empty shard", result, done)
	}
}

// TestAbandonedTwoPassQueryWritesNothingMore guards against writing attempts of a two-pass query whose client has
// disconnected. The client disconnects in the first pass (stage 0), between the passes (1) or in the second pass (2).
func TestAbandonedTwoPassQueryWritesNothingMore(t *testing.T) {
	for stage := range 3 {
		p := newTwoPassPicker(t, nil)
		query, actions := submitTwoPass(p, 1010, "a", 4)
		attempts, now := actions.Send, 1015.0
		if stage > 0 {
			for _, attempt := range actions.Send {
				p.Report(attempt, gather.Succeeded, []byte("some 1 1 v1"))
			}
			attempts = nil
			if actions := p.runRound(now); len(actions.Send) > 0 {
				t.Fatal("the second pass starts in the round that ends the first")
			}
			now += 5
		}
		if stage > 1 {
			attempts = p.runRound(now).Send
			now += 5
		}
		p.intake.enqueue(func(in *inbox) { in.Abandoned = append(in.Abandoned, query.id) })
		query.seal() // as Pick does
		actions = p.runRound(now)
		if result, done := pollResult(query); !done || result.Kind != Abandoned {
			t.Errorf("stage %d: result %+v, done %t, want Abandoned", stage, result, done)
		}
		for _, attempt := range append(attempts, actions.Send...) {
			if attempt.BeginWrite() {
				t.Errorf("stage %d: BeginWrite permits an attempt after the client disconnected", stage)
			}
		}
		for _, attempt := range attempts {
			p.Report(attempt, gather.Cancelled, nil)
		}
		if actions := p.runRound(now + 5); len(actions.Send) > 0 ||
			len(p.queries.byID)+len(p.twoPass.queries)+p.intake.openRequests != 0 {
			t.Errorf("stage %d: %d attempts sent after the end, %d queries left over",
				stage, len(actions.Send), len(p.queries.byID))
		}
	}
}

// TestShardsWithoutFirstPassServersGetFullRequests guards against sending first passes to servers that do not answer
// them. Shards without a server that does are left to the second pass; if no shard has one, the query runs in one pass.
// A server that has restarted counts as not answering first passes until a new check finds that it does.
func TestShardsWithoutFirstPassServersGetFullRequests(t *testing.T) {
	p := newTwoPassPicker(t, nil)
	for _, id := range []uint32{11, 13, 15} { // the second replica set
		p.SetAnswersFirstPass(id, false)
	}
	p.runRound(1008)
	_, actions := submitTwoPass(p, 1013, "a", 4)
	if countFirstPass(actions) != 2 || len(actions.Send) != 2 {
		t.Fatalf("%d attempts, %d in the first pass, want 2", len(actions.Send), countFirstPass(actions))
	}
	for _, attempt := range actions.Send {
		if attempt.Server%2 == 1 {
			t.Errorf("first-pass attempt sent to server %d, which does not answer first passes", attempt.Server)
		}
		p.Report(attempt, gather.Succeeded, []byte("none v1"))
	}
	p.runRound(1018)
	if actions := p.runRound(1023); len(actions.Send) != 2 || countFirstPass(actions) != 0 ||
		actions.Send[0].Server%2 == 0 {
		t.Errorf("second pass sent %+v, want 2 attempts to the second replica set", actions.Send)
	}
	var restarted gather.EndpointList
	for id := uint32(10); id < 16; id += 2 {
		restarted.Endpoints = append(restarted.Endpoints, gather.Endpoint{ID: id, ReplicaSet: 0, StartedAt: 1020})
	}
	p.UpdateEndpoints(restarted)
	p.runRound(1028)
	if _, actions := submitTwoPass(p, 1033, "b", 4); countFirstPass(actions) != 0 || len(actions.Send) != 4 {
		t.Errorf("after restarts: %d attempts, %d in a first pass, want 4 in one pass",
			len(actions.Send), countFirstPass(actions))
	}
}

// TestDrainingServerGetsNoSecondPass guards against second-pass attempts to a server that drains between the passes,
// and against taking a shard whose first-pass attempts are lost for empty.
func TestDrainingServerGetsNoSecondPass(t *testing.T) {
	p := newTwoPassPicker(t, nil)
	query, actions := submitTwoPass(p, 1010, "a", 2)
	p.Report(actions.Send[0], gather.Succeeded, []byte("some 1 1 v1"))
	p.Report(actions.Send[1], gather.ConnectionReset, nil)
	p.runRound(1015)
	p.UpdateEndpoints(gather.EndpointList{Endpoints: []gather.Endpoint{
		{ID: actions.Send[0].Server, ReplicaSet: int(actions.Send[0].Server % 2), State: gather.Draining},
	}})
	for now := 1020.0; now < 1200; now += 5 {
		for _, attempt := range p.runRound(now).Send {
			if attempt.Server == actions.Send[0].Server {
				t.Errorf("attempt sent to the draining server, first pass %t", attempt.FirstPass())
			}
			if attempt.FirstPass() {
				p.Report(attempt, gather.ConnectionReset, nil) // a retry within the first pass, at another server, is lost too
			} else {
				p.Report(attempt, gather.Succeeded, []byte("x"))
			}
		}
	}
	if result, done := pollResult(query); !done || result.Kind != Served || len(result.Hits) != 2 {
		t.Errorf("result %+v, done %t, want Served with 2 hits", result, done)
	}
}

// TestRetryBudgetCountsAcrossPasses guards against exceeding the retry budget with attempts of both passes. It
// simulates periods in which many first-pass attempts are lost, and checks the budget at each retry as rule 6 defines
// it: after an answered first-pass attempt, the shard's second-pass attempt counts as a first attempt; after a lost
// one, it counts as a retry. Each query must also have exactly one result, and no attempt after it.
func TestRetryBudgetCountsAcrossPasses(t *testing.T) {
	for seed := range uint64(6) {
		p := newTwoPassPicker(t, func(s *gather.Settings) { s.RetryBudgetFloor = 6.0 })
		random := pcg.New(seed)
		type pendingAttempt struct {
			attempt *Attempt
			endsAt  float64
			lost    bool
		}
		type requestKey struct {
			query     *Query
			shard     int
			firstPass bool
		}
		var pending []pendingAttempt
		var admittedAt, retriedAt []float64
		attempts, answered := map[requestKey]int{}, map[requestKey]bool{}
		open := map[*Query]bool{}
		admitted, ended, retries, twoPass := 0, 0, 0, 0
		for now := 1010.0; now < 20000; now += 5 {
			lossy := math.Mod(now, 6000) < 2000
			if random.Float64() < 0.25 && now < 17000 {
				query := newQuery("any", 1+int(random.Uint32()%6), now+300+500*random.Float64())
				query.ID = fmt.Sprint("l", admitted)
				admitted++
				p.submit(query)
				open[query] = true
				for range 1 + len(query.ShardRequests) {
					admittedAt = append(admittedAt, now)
				}
			}
			remaining := pending[:0]
			for _, ending := range pending {
				switch {
				case ending.endsAt > now:
					remaining = append(remaining, ending)
				case ending.lost:
					p.Report(ending.attempt, gather.TimedOut, nil)
				case ending.attempt.FirstPass():
					p.Report(ending.attempt, gather.Succeeded, []byte([]string{"none v1", "some 1 1 v1", "some"}[random.Uint32()%3]))
					answered[requestKey{ending.attempt.Query(), ending.attempt.Shard(), true}] = true
				default:
					p.Report(ending.attempt, gather.Succeeded, []byte("x"))
				}
			}
			pending = remaining
			actions := p.runRound(now)
			for _, attempt := range actions.Cancel {
				p.Report(attempt, gather.Cancelled, nil)
			}
			for _, attempt := range actions.Send {
				query := attempt.Query()
				if !open[query] {
					t.Fatalf("seed %d at %g ms: attempt sent after the query's result", seed, now)
				}
				key, firstPassKey := requestKey{query, attempt.Shard(), attempt.FirstPass()},
					requestKey{query, attempt.Shard(), true}
				if attempts[key] > 0 || !attempt.FirstPass() && attempts[firstPassKey] > 0 && !answered[firstPassKey] {
					retries++
					retriedAt = append(retriedAt, now)
					retriesInWindow, admittedInWindow := 0, 0
					for _, at := range retriedAt {
						if at >= now-2000 {
							retriesInWindow++
						}
					}
					for _, at := range admittedAt {
						if at >= now-2000 {
							admittedInWindow++
						}
					}
					if allowed := 6 + 0.05*float64(admittedInWindow); float64(retriesInWindow) > allowed {
						t.Fatalf("seed %d at %g ms: %d retries within 2 s, want at most %g", seed, now, retriesInWindow, allowed)
					}
				}
				attempts[key]++
				latency, lost := 5+20*random.Float64(), random.Float64() < 0.02
				if attempt.FirstPass() {
					latency /= 5
				}
				if lossy && attempt.FirstPass() {
					lost = random.Float64() < 0.6
				}
				if lost {
					latency = attempt.Timeout
				}
				pending = append(pending, pendingAttempt{attempt, now + latency, lost})
			}
			for query := range open {
				if result, done := pollResult(query); done {
					ended++
					delete(open, query)
					if query.twoPass != nil {
						twoPass++
					}
					if result.Kind == Served && result.Complete &&
						len(result.Hits)+len(result.EmptyShards) != len(query.ShardRequests) {
						t.Fatalf("seed %d: complete result with %d hits and %d empty shards for %d shard requests",
							seed, len(result.Hits), len(result.EmptyShards), len(query.ShardRequests))
					}
					if now > query.Deadline+20 {
						t.Errorf("seed %d: query ended %g ms after its deadline, want at most 20 ms", seed, now-query.Deadline)
					}
				}
			}
		}
		if ended != admitted || admitted < 500 || twoPass < 100 || retries < 10 {
			t.Errorf("seed %d: %d of %d queries ended (want all, >= 500), %d two-pass (want >= 100), %d retries (want >= 10)",
				seed, ended, admitted, twoPass, retries)
		}
		if p.intake.openRequests != 0 || len(p.queries.byID)+len(p.queries.requests)+len(p.twoPass.queries) != 0 {
			t.Errorf("seed %d: left over: %d open requests, %d queries, %d shard requests",
				seed, p.intake.openRequests, len(p.queries.byID), len(p.queries.requests))
		}
	}
}

// TestProvedEmptyShardsCountTowardsCompleteShare checks that shards proved empty count towards the share of the weight
// that makes a result complete.
func TestProvedEmptyShardsCountTowardsCompleteShare(t *testing.T) {
	p := newTwoPassPicker(t, func(s *gather.Settings) {
		s.FindClass("any").CompleteShare = 0.75
		s.FindClass("any").MinShare = 0.75
	})
	query, actions := submitTwoPass(p, 1010, "a", 8)
	if n := countFirstPass(actions); n < 6 {
		t.Fatalf("%d shard requests in the first pass, want at least 6", n)
	}
	for i, attempt := range actions.Send {
		if i < 4 {
			p.Report(attempt, gather.Succeeded, []byte("none v1"))
		} else {
			p.Report(attempt, gather.Succeeded, []byte("some 1 1 v1"))
		}
	}
	p.runRound(1015)
	second := p.runRound(1020).Send
	if len(second) != 2 {
		t.Fatalf("%d attempts in the second pass, want 2: of 8 shards, 4 are proved empty and 6 make the result complete",
			len(second))
	}
	for _, attempt := range second {
		p.Report(attempt, gather.Succeeded, []byte("x"))
	}
	p.runRound(1025)
	if result, done := pollResult(query); !done || !result.Complete || len(result.Hits) != 2 ||
		len(result.EmptyShards) != 4 {
		t.Errorf("result %+v, done %t, want complete with 2 hits and 4 empty shards", result, done)
	}
}
