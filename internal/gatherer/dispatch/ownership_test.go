package dispatch

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"yokeroute/gather"
	"yokeroute/internal/pcg"
	"yokeroute/logic/ownership"
)

// TestNonIdempotentRequestGoesToWriter checks that non-idempotent shard requests are sent only to their segment's
// writer, and others to all owners.
func TestNonIdempotentRequestGoesToWriter(t *testing.T) {
	p, _ := newOwnershipPicker(t, nil)
	servers := map[uint32]bool{}
	for i := range 6 {
		_, attempts := submitAndRun(p, 1010+10*float64(i), "any", fmt.Sprint("a", i), 4)
		if len(attempts) != 4 {
			t.Fatalf("%d attempts, want 4", len(attempts))
		}
		for _, attempt := range attempts {
			servers[attempt.Server] = true
		}
		answerAll(p, attempts)
		_, attempts = submitAndRun(p, 1015+10*float64(i), "all", fmt.Sprint("o", i), 4)
		for _, attempt := range attempts {
			if want := uint32(10 + attempt.Shard()/2*2); attempt.Server != want || !attempt.NonIdempotent() {
				t.Errorf("non-idempotent request for shard %d sent to server %d, want its segment's writer",
					attempt.Shard(), attempt.Server)
			}
		}
		answerAll(p, attempts)
	}
	if len(servers) != 4 {
		t.Errorf("idempotent requests sent to servers %v, want all 4 owners", servers)
	}
}

// TestNonIdempotentRequestIsNotRetriedAtNewOwner guards against executing a non-idempotent shard request twice when its
// segment moves while the request is in flight. If the answer is lost, the request must not be sent to the new owner
// and its query fails. If the old owner rejected it as not its own, it is sent to the new owner.
func TestNonIdempotentRequestIsNotRetriedAtNewOwner(t *testing.T) {
	for _, notOwner := range []bool{false, true} {
		p, m := newOwnershipPicker(t, nil)
		query, attempts := submitAndRun(p, 1010, "all", "a", 1)
		if len(attempts) != 1 || attempts[0].Server != 10 {
			t.Fatalf("attempts %v, want one to server 10", attempts)
		}
		attempts[0].BeginWrite()
		attempts[0].EndWrite()
		change, err := m.MoveSegment("s0", []string{"h4"})
		applyChange(t, p, m, change, err)
		if actions := p.runRound(1015); len(actions.Send) > 0 {
			t.Fatal("sent again while an attempt is in flight")
		}
		if notOwner {
			p.Report(attempts[0], gather.NotOwner, nil)
		} else {
			p.Report(attempts[0], gather.ConnectionReset, nil)
		}
		var again []*Attempt
		for now := 1020.0; now < 1600; now += 5 {
			again = append(again, p.runRound(now).Send...)
			if notOwner && len(again) == 1 {
				answerAll(p, again)
			}
		}
		result, done := pollResult(query)
		switch {
		case !done:
			t.Errorf("rejected %t: no result", notOwner)
		case notOwner && (len(again) != 1 || again[0].Server != 14 || result.Kind != Served):
			t.Errorf("rejected: %d more attempts, result %+v, want one to server 14 and Served", len(again), result)
		case !notOwner && (len(again) != 0 || result.Kind != Failed):
			t.Errorf("lost: %d more attempts, result %+v, want none and Failed", len(again), result)
		}
	}
}

// TestSplitSegmentCoversEachKeyOnce guards against missing or duplicate keys in the result of a query during which a
// segment is split: between its admission and its first attempts, or while attempts are in flight.
func TestSplitSegmentCoversEachKeyOnce(t *testing.T) {
	for _, timing := range []string{"before sending", "in flight, rejected", "in flight, answered"} {
		p, m := newOwnershipPicker(t, nil)
		query := newQuery("any", 2, 3000)
		query.ID = "a"
		p.submit(query)
		splitKey := ownership.ShardRange(0, 4).Lo + ownership.ShardRange(0, 4).Hi/4
		split, err := m.SplitSegment("s0", splitKey, "l", "r")
		var attempts []*Attempt
		if timing == "before sending" {
			m = applyChange(t, p, m, split, err)
			change, err := m.MoveSegment("r", []string{"h5"})
			applyChange(t, p, m, change, err)
			attempts = p.runRound(1010).Send
			if len(attempts) != 3 {
				t.Fatalf("%d attempts for two shard requests, one of which is split, want 3", len(attempts))
			}
		} else {
			attempts = p.runRound(1010).Send
			m = applyChange(t, p, m, split, err)
			change, err := m.MoveSegment("r", []string{"h5"})
			applyChange(t, p, m, change, err)
			if more := p.runRound(1015).Send; len(more) > 0 {
				t.Fatal("sent again while attempts are in flight")
			}
		}
		for _, attempt := range attempts {
			if timing == "in flight, rejected" {
				p.Report(attempt, gather.NotOwner, nil)
			} else {
				p.Report(attempt, gather.Succeeded, []byte("x"))
			}
		}
		for now := 1020.0; now < 1100; now += 5 {
			for _, attempt := range p.runRound(now).Send {
				if keys, segment, since, _ := attempt.Ownership(); segment == "s0" || since != 2 && since != 3 {
					t.Errorf("%s: attempt for keys %s of segment %s, owned since %d, want a segment of the split, since 2 or 3",
						timing, keys.Text(), segment, since)
				}
				p.Report(attempt, gather.Succeeded, []byte("x"))
			}
		}
		result, done := pollResult(query)
		if !done || result.Kind != Served || !result.Complete {
			t.Fatalf("%s: result %+v, done %t, want Served and complete", timing, result, done)
		}
		if err := checkKeysCoveredOnce(query, result.Hits); err != nil {
			t.Errorf("%s: %v", timing, err)
		}
	}
}

// TestUnownedKeysMakeAnswerIncomplete checks queries on a key range that has no owner. A query that may be partial is
// answered with the keys that are owned, and is complete if the range gets an owner in time. A query that needs all
// keys is not served.
func TestUnownedKeysMakeAnswerIncomplete(t *testing.T) {
	for _, ownedAgain := range []bool{false, true} {
		p, m := newOwnershipPicker(t, func(s *gather.Settings) {
			s.FindClass("any").MinShare = 0.4
			s.FindClass("any").PartialValue = 0.8
		})
		change, err := m.MoveSegment("s1", nil)
		m = applyChange(t, p, m, change, err)
		query, attempts := submitAndRun(p, 1010, "any", "a", 4)
		if len(attempts) != 2 {
			t.Fatalf("%d attempts, want 2: the keys of the other two shard requests are unowned", len(attempts))
		}
		answerAll(p, attempts)
		if ownedAgain {
			p.runRound(1020)
			change, err := m.MoveSegment("s1", []string{"h4"})
			applyChange(t, p, m, change, err)
		}
		for now := 1025.0; now < 1600; now += 5 {
			answerAll(p, p.runRound(now).Send)
		}
		result, done := pollResult(query)
		if !done || result.Kind != Served || result.Complete != ownedAgain ||
			len(result.Hits) != 2+2*map[bool]int{true: 1}[ownedAgain] {
			t.Errorf("owned again %t: result %+v, done %t, want Served, complete only if owned again", ownedAgain, result, done)
		}
	}
	p, m := newOwnershipPicker(t, nil)
	change, err := m.MoveSegment("s1", nil)
	applyChange(t, p, m, change, err)
	query, attempts := submitAndRun(p, 1010, "any", "a", 4)
	answerAll(p, attempts)
	for now := 1015.0; now < 1600; now += 5 {
		p.runRound(now)
	}
	if result, done := pollResult(query); !done || result.Kind == Served {
		t.Errorf("query that needs all shards: result %+v, done %t, want it ended and not Served", result, done)
	}
}

// TestMergedSegmentsCountEachKeyOnce guards against counting keys twice towards the share that makes a result complete,
// when segments are merged while a query is open.
func TestMergedSegmentsCountEachKeyOnce(t *testing.T) {
	p, m := newOwnershipPicker(t, func(s *gather.Settings) {
		s.FindClass("any").CompleteShare = 0.75
		s.FindClass("any").MinShare = 0.75
	})
	split, err := m.SplitSegment("s0", ownership.ShardRange(1, 4).Lo, "l", "r")
	m = applyChange(t, p, m, split, err)
	p.runRound(1005)
	query, attempts := submitAndRun(p, 1010, "any", "a", 4)
	if len(attempts) < 3 {
		t.Fatalf("%d attempts, want at least 3", len(attempts))
	}
	merge, err := m.MergeSegments("l", "r", "s2")
	applyChange(t, p, m, merge, err)
	p.runRound(1015)
	for i, attempt := range attempts {
		if i == 0 {
			p.Report(attempt, gather.NotOwner, nil) // its host has already applied the merge
		} else {
			p.Report(attempt, gather.Succeeded, []byte("x"))
		}
	}
	for now := 1020.0; now < 1200; now += 5 {
		answerAll(p, p.runRound(now).Send)
	}
	result, done := pollResult(query)
	if !done || result.Kind != Served || !result.Complete || len(result.Hits) < 3 {
		t.Fatalf("result %+v, done %t, want complete with at least 3 hits", result, done)
	}
	seen := map[int]bool{}
	for _, h := range result.Hits {
		if seen[h.Shard] {
			t.Errorf("shard %d has more than one hit", h.Shard)
		}
		seen[h.Shard] = true
	}
}

// TestRetryAfterNotOwnerAnswerCountsAgainstRetryBudget guards against attempts that bypass the retry budget because
// they follow a rejection by a server that does not own the keys. They count as retries.
func TestRetryAfterNotOwnerAnswerCountsAgainstRetryBudget(t *testing.T) {
	p, m := newOwnershipPicker(t, func(s *gather.Settings) {
		s.RetryBudgetFloor = 3.0
		s.RetryBudgetRatio = 0.0
	})
	var queries []*Query
	var attempts []*Attempt
	for i := range 6 {
		query, sent := submitAndRun(p, 1010+5*float64(i), "any", fmt.Sprint("a", i), 1)
		sent[0].BeginWrite()
		sent[0].EndWrite()
		queries, attempts = append(queries, query), append(attempts, sent...)
	}
	change, err := m.MoveSegment("s0", []string{"h4"})
	applyChange(t, p, m, change, err)
	for _, attempt := range attempts {
		p.Report(attempt, gather.NotOwner, nil)
	}
	retries := 0
	for now := 1045.0; now < 1400; now += 5 {
		for _, attempt := range p.runRound(now).Send {
			if attempt.BeginWrite() {
				retries++
				attempt.EndWrite()
				p.Report(attempt, gather.Succeeded, []byte("x"))
			} else {
				p.Report(attempt, gather.NotSent, nil)
			}
		}
	}
	if retries != 3 {
		t.Errorf("%d attempts written after rejections, want 3: the retry budget of the window", retries)
	}
	served := 0
	for _, query := range queries {
		if result, done := pollResult(query); done && result.Kind == Served {
			served++
		}
	}
	if served != 3 {
		t.Errorf("%d queries served, want 3", served)
	}
}

// TestDrainingNewOwnerGetsNoRequests guards against attempts to a new owner that drains during the handover of a
// segment. Requests that the old owner rejects wait for a map with another owner.
func TestDrainingNewOwnerGetsNoRequests(t *testing.T) {
	p, m := newOwnershipPicker(t, nil)
	query, attempts := submitAndRun(p, 1010, "any", "a", 1)
	p.UpdateEndpoints(gather.EndpointList{Endpoints: []gather.Endpoint{{ID: 14, State: gather.Draining}}})
	change, err := m.MoveSegment("s0", []string{"h4"})
	m = applyChange(t, p, m, change, err)
	p.Report(attempts[0], gather.NotOwner, nil)
	for now := 1015.0; now < 1100; now += 5 {
		if actions := p.runRound(now); len(actions.Send) > 0 {
			t.Fatalf("attempt sent to server %d while the new owner is draining", actions.Send[0].Server)
		}
	}
	change, err = m.MoveSegment("s0", []string{"h5"})
	applyChange(t, p, m, change, err)
	again := p.runRound(1105).Send
	if len(again) != 1 || again[0].Server != 15 {
		t.Fatalf("attempts %v, want one to server 15", again)
	}
	answerAll(p, again)
	p.runRound(1110)
	if result, done := pollResult(query); !done || !result.Complete {
		t.Errorf("result %+v, done %t, want complete", result, done)
	}
}

// TestConflictingMapsDelayNonIdempotentQueries guards against sending non-idempotent queries while the sources of
// segment maps contradict each other, because two hosts may each believe that they own the keys. They wait for a full
// map of a later epoch; idempotent queries do not wait.
func TestConflictingMapsDelayNonIdempotentQueries(t *testing.T) {
	p, m := newOwnershipPicker(t, nil)
	firstChange, err := m.MoveSegment("s0", []string{"h4"})
	requireChange(t, firstChange, err)
	secondChange, err := m.MoveSegment("s0", []string{"h5"})
	next := applyChange(t, p, m, firstChange, nil)
	applyChange(t, p, m, secondChange, err)
	p.runRound(1005)
	select {
	case <-p.MapRequested():
	default:
		t.Error("the full map is not requested after a conflict")
	}
	nonIdempotent, attempts := submitAndRun(p, 1010, "all", "a", 1)
	if len(attempts) > 0 {
		t.Fatal("non-idempotent shard request sent during a conflict")
	}
	_, attempts = submitAndRun(p, 1015, "any", "b", 1)
	if len(attempts) != 1 || attempts[0].Server != 14 {
		t.Errorf("idempotent shard request during a conflict: attempts %v, want one to server 14", attempts)
	}
	answerAll(p, attempts)
	change, err := next.MoveSegment("s1", []string{"h2"})
	later, _ := next.Apply(requireChange(t, change, err))
	p.SetMap(later)
	attempts = p.runRound(1100).Send
	if len(attempts) != 1 || attempts[0].Server != 14 {
		t.Fatalf("after a full map of a later epoch: attempts %v, want one to server 14", attempts)
	}
	answerAll(p, attempts)
	p.runRound(1105)
	if result, done := pollResult(nonIdempotent); !done || result.Kind != Served {
		t.Errorf("result %+v, done %t, want Served", result, done)
	}
}

// TestOwnershipInvariantsHoldWhileSegmentsChange runs seeded random simulations in which segments are continually
// split, merged, moved and left unowned, hosts reject requests for keys that they no longer own, attempts are lost and
// answers arrive late. These invariants must hold: a complete result covers each key once; a non-idempotent shard
// request is never sent again, nor its query rejected, if an earlier attempt may have run; and each query has one
// result.
func TestOwnershipInvariantsHoldWhileSegmentsChange(t *testing.T) {
	const lostShare, rejectedShare = 0.04, 0.04 // of attempts
	for seed := range uint64(8) {
		p, m := newOwnershipPicker(t, func(s *gather.Settings) { s.RetryBudgetFloor = 1000.0 })
		random := pcg.New(seed)
		draw := func(n int) int { return int(random.Uint32() % uint32(n)) }
		type pendingAttempt struct {
			attempt *Attempt
			endsAt  float64
		}
		type sentRange struct {
			keys       ownership.Range
			mayHaveRun bool
		}
		var pending []pendingAttempt
		open := map[*Query][]*sentRange{}
		authoritative := m // map that the hosts follow
		var updates []ownership.Change
		admitted, ended, complete, changes, nextName := 0, 0, 0, 0, 0
		for now := 1010.0; now < 13000; now += 5 {
			if random.Float64() < 0.12 && now < 11000 {
				i := draw(len(authoritative.Segments))
				for j := range authoritative.Segments { // prefer an unowned segment, so that it soon has an owner again
					if len(authoritative.Segments[j].Owners) == 0 && random.Float64() < 0.7 {
						i = j
					}
				}
				s := authoritative.Segments[i]
				var c ownership.Change
				err := errors.New("no change")
				nextName++
				kind := draw(4)
				if len(s.Owners) == 0 {
					kind = 2
				}
				switch kind {
				case 0: // split the segment
					if s.Hi-s.Lo > 1000 && len(authoritative.Segments) < 14 {
						c, err = authoritative.SplitSegment(s.Name, s.Lo+(s.Hi-s.Lo)/uint64(2+draw(5)),
							fmt.Sprint("n", nextName, "a"), fmt.Sprint("n", nextName, "b"))
					}
				case 1: // merge it with the next one
					if i+1 < len(authoritative.Segments) {
						c, err = authoritative.MergeSegments(s.Name, authoritative.Segments[i+1].Name, fmt.Sprint("n", nextName))
					}
				case 2: // move it to one owner
					c, err = authoritative.MoveSegment(s.Name, []string{fmt.Sprint("h", draw(6))})
				default: // leave it unowned
					if random.Float64() < 0.3 {
						c, err = authoritative.MoveSegment(s.Name, nil)
					}
				}
				if err == nil {
					authoritative, _ = authoritative.Apply(c)
					updates = append(updates, c)
					changes++
				}
			}
			if random.Float64() < 0.3 || now > 11000 { // the picker gets changes late, one at a time, some of them twice
				if len(updates) > 0 {
					p.ApplyMapChange(updates[0])
					if random.Float64() < 0.2 {
						p.ApplyMapChange(updates[0])
					}
					updates = updates[1:]
				}
			}
			if random.Float64() < 0.3 && now < 11500 {
				query := newQuery([]string{"any", "all"}[draw(2)], 1+draw(4), now+900)
				query.ID = fmt.Sprint("l", admitted)
				admitted++
				p.submit(query)
				open[query] = nil
			}
			remaining := pending[:0]
			for _, ending := range pending {
				if ending.endsAt > now {
					remaining = append(remaining, ending)
					continue
				}
				keys, segment, since, _ := ending.attempt.Ownership()
				sent := func() *sentRange {
					for _, sent := range open[ending.attempt.Query()] {
						if sent.keys == keys && sent.mayHaveRun {
							return sent
						}
					}
					return &sentRange{}
				}()
				i := authoritative.Find(segment)
				owns := i >= 0 && authoritative.Segments[i].OwnedSince == since &&
					slices.Contains(authoritative.Segments[i].Owners, fmt.Sprint("h", ending.attempt.Server-10))
				switch {
				case !owns:
					sent.mayHaveRun = false
					p.Report(ending.attempt, gather.NotOwner, nil)
				case random.Float64() < lostShare:
					p.Report(ending.attempt, []gather.Outcome{gather.ConnectionReset, gather.Failed, gather.TimedOut}[draw(3)], nil)
				case random.Float64() < rejectedShare:
					sent.mayHaveRun = false
					p.Report(ending.attempt, gather.Rejected, nil)
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
				if !attempt.BeginWrite() {
					p.Report(attempt, gather.NotSent, nil)
					continue
				}
				attempt.EndWrite()
				query := attempt.Query()
				earlier, isOpen := open[query]
				if !isOpen {
					t.Fatalf("seed %d at %g ms: attempt sent after the query's result", seed, now)
				}
				keys, _, _, _ := attempt.Ownership()
				for _, sent := range earlier {
					if query.Class == "all" && sent.mayHaveRun && sent.keys.Overlaps(keys) {
						t.Fatalf("seed %d at %g ms: non-idempotent request for keys %s sent again, the one for %s may have run",
							seed, now, keys.Text(), sent.keys.Text())
					}
				}
				open[query] = append(earlier, &sentRange{keys, true})
				pending = append(pending, pendingAttempt{attempt, now + 5 + 30*random.Float64()})
			}
			for query, earlier := range open {
				result, done := pollResult(query)
				if !done {
					continue
				}
				ended++
				delete(open, query)
				if result.Kind == Served && result.Complete {
					complete++
					if err := checkKeysCoveredOnce(query, result.Hits); err != nil {
						t.Fatalf("seed %d at %g ms: query %s: %v", seed, now, query.ID, err)
					}
				}
				for _, sent := range earlier {
					if result.Kind == Rejected && query.Class == "all" && sent.mayHaveRun {
						t.Fatalf("seed %d at %g ms: non-idempotent query rejected, but it may have run", seed, now)
					}
				}
				if now > query.Deadline+20 {
					t.Errorf("seed %d: query ended %g ms after its deadline, want at most 20 ms", seed, now-query.Deadline)
				}
			}
		}
		if ended != admitted || admitted < 400 || complete < admitted/3 || changes < 80 {
			t.Errorf("seed %d: %d of %d queries ended (want all, >= 400), %d complete (want >= 1/3), %d changes (want >= 80)",
				seed, ended, admitted, complete, changes)
		}
		if p.intake.openRequests != 0 || len(p.queries.byID)+len(p.queries.requests) != 0 {
			t.Errorf("seed %d: left over: %d open requests, %d queries, %d shard requests, want none",
				seed, p.intake.openRequests, len(p.queries.byID), len(p.queries.requests))
		}
	}
}
