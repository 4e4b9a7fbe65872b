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

// TestNonIdempotentGoesToWriter wants a non-idempotent shard request sent to its segment's writer alone, others to
// any owner.
func TestNonIdempotentGoesToWriter(t *testing.T) {
	p, _ := newOwnershipPicker(t, nil)
	to := map[uint32]bool{}
	for i := range 6 {
		_, attempts := submitAndRun(p, 1010+10*float64(i), "any", fmt.Sprint("a", i), 4)
		if len(attempts) != 4 {
			t.Fatalf("%d attempts", len(attempts))
		}
		for _, c := range attempts {
			to[c.Server] = true
		}
		answerAll(p, attempts)
		_, attempts = submitAndRun(p, 1015+10*float64(i), "all", fmt.Sprint("o", i), 4)
		for _, c := range attempts {
			if want := uint32(10 + c.Shard()/2*2); c.Server != want || !c.NonIdempotent() {
				t.Errorf("a non-idempotent shard request of shard %d goes to server %d", c.Shard(), c.Server)
			}
		}
		answerAll(p, attempts)
	}
	if len(to) != 4 {
		t.Errorf("others go to %v", to)
	}
}

// TestNonIdempotentIsNotRetriedAtNewOwner loses the answer to a non-idempotent shard request just before a move.
// It is never sent to the new owner, and its query fails; one that the old owner refused is sent there.
func TestNonIdempotentIsNotRetriedAtNewOwner(t *testing.T) {
	for _, refused := range []bool{false, true} {
		p, m := newOwnershipPicker(t, nil)
		query, attempts := submitAndRun(p, 1010, "all", "a", 1)
		if len(attempts) != 1 || attempts[0].Server != 10 {
			t.Fatalf("calls %v", attempts)
		}
		attempts[0].BeginWrite()
		attempts[0].EndWrite()
		c, err := m.MoveSegment("s0", []string{"h4"})
		applyChange(t, p, m, c, err)
		if o := p.runRound(1015); len(o.Send) > 0 {
			t.Fatal("sent again while an attempt is out")
		}
		if refused {
			p.Report(attempts[0], gather.NotOwner, nil)
		} else {
			p.Report(attempts[0], gather.ConnectionReset, nil)
		}
		var again []*Attempt
		for now := 1020.0; now < 1600; now += 5 {
			again = append(again, p.runRound(now).Send...)
			if refused && len(again) == 1 {
				answerAll(p, again)
			}
		}
		v, done := takeResult(query)
		switch {
		case !done:
			t.Errorf("refused %t: no answer", refused)
		case refused && (len(again) != 1 || again[0].Server != 14 || v.Kind != Served):
			t.Errorf("refused: %d attempts more, %+v", len(again), v)
		case !refused && (len(again) != 0 || v.Kind != Failed):
			t.Errorf("lost: %d attempts more, %+v", len(again), v)
		}
	}
}

// TestSplitSegmentCoversEachKeyOnce splits a segment between a query's admission and its sending, and between
// sending and answering. What is answered covers each key once.
func TestSplitSegmentCoversEachKeyOnce(t *testing.T) {
	for _, when := range []string{"before sending", "while out, refused", "while out, answered"} {
		p, m := newOwnershipPicker(t, nil)
		query := newQuery("any", 2, 3000)
		query.ID = "a"
		p.submit(query)
		at := ownership.ShardRange(0, 4).Lo + ownership.ShardRange(0, 4).Hi/4
		split, err := m.SplitSegment("s0", at, "l", "r")
		var attempts []*Attempt
		if when == "before sending" {
			m = applyChange(t, p, m, split, err)
			c, err := m.MoveSegment("r", []string{"h5"})
			applyChange(t, p, m, c, err)
			attempts = p.runRound(1010).Send
			if len(attempts) != 3 {
				t.Fatalf("%d attempts of two shard requests, one of which is split", len(attempts))
			}
		} else {
			attempts = p.runRound(1010).Send
			m = applyChange(t, p, m, split, err)
			c, err := m.MoveSegment("r", []string{"h5"})
			applyChange(t, p, m, c, err)
			if more := p.runRound(1015).Send; len(more) > 0 {
				t.Fatal("sent again while attempts are out")
			}
		}
		for _, c := range attempts {
			if when == "while out, refused" {
				p.Report(c, gather.NotOwner, nil)
			} else {
				p.Report(c, gather.Succeeded, []byte("x"))
			}
		}
		for now := 1020.0; now < 1100; now += 5 {
			for _, c := range p.runRound(now).Send {
				if keys, segment, since, _ := c.Ownership(); segment == "s0" || since != 2 && since != 3 {
					t.Errorf("%s: %s of %s since %d", when, keys.Text(), segment, since)
				}
				p.Report(c, gather.Succeeded, []byte("x"))
			}
		}
		v, done := takeResult(query)
		if !done || v.Kind != Served || !v.Complete {
			t.Fatalf("%s: %+v, %t", when, v, done)
		}
		if err := checkKeysCoveredOnce(query, v.Hits); err != nil {
			t.Errorf("%s: %v", when, err)
		}
	}
}

// TestUnownedKeysLeaveAnswerIncomplete leaves a range without an owner: a query that needs everything is not
// complete, one that may be partial is answered with what there is; both go on when the range is owned again.
func TestUnownedKeysLeaveAnswerIncomplete(t *testing.T) {
	for _, back := range []bool{false, true} {
		p, m := newOwnershipPicker(t, func(s *gather.Settings) {
			s.FindClass("any").MinShare = 0.4
			s.FindClass("any").PartialValue = 0.8
		})
		c, err := m.MoveSegment("s1", nil)
		m = applyChange(t, p, m, c, err)
		query, attempts := submitAndRun(p, 1010, "any", "a", 4)
		if len(attempts) != 2 {
			t.Fatalf("%d attempts, the keys of two shard requests are unowned", len(attempts))
		}
		answerAll(p, attempts)
		if back {
			p.runRound(1020)
			c, err := m.MoveSegment("s1", []string{"h4"})
			applyChange(t, p, m, c, err)
		}
		for now := 1025.0; now < 1600; now += 5 {
			answerAll(p, p.runRound(now).Send)
		}
		v, done := takeResult(query)
		if !done || v.Kind != Served || v.Complete != back || len(v.Hits) != 2+2*map[bool]int{true: 1}[back] {
			t.Errorf("owned again %t: %+v, %t", back, v, done)
		}
	}
	p, m := newOwnershipPicker(t, nil)
	c, err := m.MoveSegment("s1", nil)
	applyChange(t, p, m, c, err)
	query, attempts := submitAndRun(p, 1010, "any", "a", 4)
	answerAll(p, attempts)
	for now := 1015.0; now < 1600; now += 5 {
		p.runRound(now)
	}
	if v, done := takeResult(query); !done || v.Kind == Served {
		t.Errorf("a query that needs all shards: %+v, %t", v, done)
	}
}

// TestMergedSegmentsCountOnce merges segments under a query in progress that is complete with a share of the
// weight: the share is of keys, each of which counts once.
func TestMergedSegmentsCountOnce(t *testing.T) {
	p, m := newOwnershipPicker(t, func(s *gather.Settings) {
		s.FindClass("any").CompleteShare = 0.75
		s.FindClass("any").MinShare = 0.75
	})
	split, err := m.SplitSegment("s0", ownership.ShardRange(1, 4).Lo, "l", "r")
	m = applyChange(t, p, m, split, err)
	p.runRound(1005)
	query, attempts := submitAndRun(p, 1010, "any", "a", 4)
	if len(attempts) < 3 {
		t.Fatalf("%d attempts", len(attempts))
	}
	merge, err := m.MergeSegments("l", "r", "s2")
	applyChange(t, p, m, merge, err)
	p.runRound(1015)
	for i, c := range attempts {
		if i == 0 {
			p.Report(c, gather.NotOwner, nil) // its host has merged already
		} else {
			p.Report(c, gather.Succeeded, []byte("x"))
		}
	}
	for now := 1020.0; now < 1200; now += 5 {
		answerAll(p, p.runRound(now).Send)
	}
	v, done := takeResult(query)
	if !done || v.Kind != Served || !v.Complete || len(v.Hits) < 3 {
		t.Fatalf("%+v, %t", v, done)
	}
	seen := map[int]bool{}
	for _, h := range v.Hits {
		if seen[h.Shard] {
			t.Errorf("shard %d counts twice", h.Shard)
		}
		seen[h.Shard] = true
	}
}

// TestRefusedAttemptsUseRetryBudget counts attempts that go again after a refusal as retries: no window holds more
// than the budget allows.
func TestRefusedAttemptsUseRetryBudget(t *testing.T) {
	p, m := newOwnershipPicker(t, func(s *gather.Settings) {
		s.RetryBudgetFloor = 3.0
		s.RetryBudgetRatio = 0.0
	})
	var queries []*Query
	var attempts []*Attempt
	for i := range 6 {
		query, some := submitAndRun(p, 1010+5*float64(i), "any", fmt.Sprint("a", i), 1)
		some[0].BeginWrite()
		some[0].EndWrite()
		queries, attempts = append(queries, query), append(attempts, some...)
	}
	c, err := m.MoveSegment("s0", []string{"h4"})
	applyChange(t, p, m, c, err)
	for _, c := range attempts {
		p.Report(c, gather.NotOwner, nil)
	}
	retries := 0
	for now := 1045.0; now < 1400; now += 5 {
		for _, c := range p.runRound(now).Send {
			if c.BeginWrite() {
				retries++
				c.EndWrite()
				p.Report(c, gather.Succeeded, []byte("x"))
			} else {
				p.Report(c, gather.NotSent, nil)
			}
		}
	}
	if retries != 3 {
		t.Errorf("%d attempts after a refusal within a window that allows 3", retries)
	}
	satisfied := 0
	for _, query := range queries {
		if v, done := takeResult(query); done && v.Kind == Served {
			satisfied++
		}
	}
	if satisfied != 3 {
		t.Errorf("%d satisfied", satisfied)
	}
}

// TestDrainDuringHandover drains the new owner during a handover: nothing goes to it, and what the old owner
// refuses waits for a map that names another.
func TestDrainDuringHandover(t *testing.T) {
	p, m := newOwnershipPicker(t, nil)
	query, attempts := submitAndRun(p, 1010, "any", "a", 1)
	p.UpdateEndpoints(gather.EndpointList{Endpoints: []gather.Endpoint{{ID: 14, State: gather.Draining}}})
	c, err := m.MoveSegment("s0", []string{"h4"})
	m = applyChange(t, p, m, c, err)
	p.Report(attempts[0], gather.NotOwner, nil)
	for now := 1015.0; now < 1100; now += 5 {
		if o := p.runRound(now); len(o.Send) > 0 {
			t.Fatalf("an attempt to server %d, which drains", o.Send[0].Server)
		}
	}
	c, err = m.MoveSegment("s0", []string{"h5"})
	applyChange(t, p, m, c, err)
	again := p.runRound(1105).Send
	if len(again) != 1 || again[0].Server != 15 {
		t.Fatalf("calls %v", again)
	}
	answerAll(p, again)
	p.runRound(1110)
	if v, done := takeResult(query); !done || !v.Complete {
		t.Errorf("%+v, %t", v, done)
	}
}

// TestContradictingMapsHoldBackNonIdempotent has two sources contradict each other: non-idempotent queries wait
// until a later map, others do not.
func TestContradictingMapsHoldBackNonIdempotent(t *testing.T) {
	p, m := newOwnershipPicker(t, nil)
	one, err := m.MoveSegment("s0", []string{"h4"})
	mustChange(t, one, err)
	other, err := m.MoveSegment("s0", []string{"h5"})
	next := applyChange(t, p, m, one, nil)
	applyChange(t, p, m, other, err)
	p.runRound(1005)
	select {
	case <-p.MapRequested():
	default:
		t.Error("the full map is not asked for")
	}
	once, attempts := submitAndRun(p, 1010, "all", "a", 1)
	if len(attempts) > 0 {
		t.Fatal("a non-idempotent shard request is sent though two owners may believe it theirs")
	}
	_, attempts = submitAndRun(p, 1015, "any", "b", 1)
	if len(attempts) != 1 || attempts[0].Server != 14 {
		t.Errorf("an idempotent shard request: %v", attempts)
	}
	answerAll(p, attempts)
	c, err := next.MoveSegment("s1", []string{"h2"})
	after, _ := next.Apply(mustChange(t, c, err))
	p.SetMap(after)
	attempts = p.runRound(1100).Send
	if len(attempts) != 1 || attempts[0].Server != 14 {
		t.Fatalf("with a later map: %v", attempts)
	}
	answerAll(p, attempts)
	p.runRound(1105)
	if v, done := takeResult(once); !done || v.Kind != Served {
		t.Errorf("%+v, %t", v, done)
	}
}

// TestMovingSegmentsKeepTheRules plays seeded days on which segments are split, merged, moved and left unowned all
// the time, hosts refuse what they no longer own, attempts are lost and answers come late. Complete answers cover
// each key once; a non-idempotent shard request is never sent again where an earlier attempt may have run, nor its
// query rejected; each query has one result.
func TestMovingSegmentsKeepTheRules(t *testing.T) {
	const lostShare, rejectedShare = 0.04, 0.04 // of attempts
	for seed := range uint64(8) {
		p, m := newOwnershipPicker(t, func(s *gather.Settings) { s.RetryBudgetFloor = 1000.0 })
		chance := pcg.New(seed)
		draw := func(n int) int { return int(chance.Uint32() % uint32(n)) }
		type out struct {
			c  *Attempt
			at float64
		}
		type asked struct {
			keys   ownership.Range
			mayRun bool
		}
		var outs []out
		held := map[*Query][]*asked{}
		truth := m // what hosts go by
		var updates []ownership.Change
		admitted, ends, complete, moves, name := 0, 0, 0, 0, 0
		for now := 1010.0; now < 13000; now += 5 {
			if chance.Float64() < 0.12 && now < 11000 {
				i := draw(len(truth.Segments))
				for j := range truth.Segments { // what is unowned soon has an owner again
					if len(truth.Segments[j].Owners) == 0 && chance.Float64() < 0.7 {
						i = j
					}
				}
				s := truth.Segments[i]
				var c ownership.Change
				err := errors.New("none")
				name++
				kind := draw(4)
				if len(s.Owners) == 0 {
					kind = 2
				}
				switch kind {
				case 0:
					if s.Hi-s.Lo > 1000 && len(truth.Segments) < 14 {
						c, err = truth.SplitSegment(s.Name, s.Lo+(s.Hi-s.Lo)/uint64(2+draw(5)), fmt.Sprint("n", name, "a"), fmt.Sprint("n", name, "b"))
					}
				case 1:
					if i+1 < len(truth.Segments) {
						c, err = truth.MergeSegments(s.Name, truth.Segments[i+1].Name, fmt.Sprint("n", name))
					}
				case 2:
					c, err = truth.MoveSegment(s.Name, []string{fmt.Sprint("h", draw(6))})
				default:
					if chance.Float64() < 0.3 {
						c, err = truth.MoveSegment(s.Name, nil)
					}
				}
				if err == nil {
					truth, _ = truth.Apply(c)
					updates = append(updates, c)
					moves++
				}
			}
			if chance.Float64() < 0.3 || now > 11000 { // news comes late, one at a time, sometimes twice
				if len(updates) > 0 {
					p.ApplyMapChange(updates[0])
					if chance.Float64() < 0.2 {
						p.ApplyMapChange(updates[0])
					}
					updates = updates[1:]
				}
			}
			if chance.Float64() < 0.3 && now < 11500 {
				query := newQuery([]string{"any", "all"}[draw(2)], 1+draw(4), now+900)
				query.ID = fmt.Sprint("l", admitted)
				admitted++
				p.submit(query)
				held[query] = nil
			}
			rest := outs[:0]
			for _, o := range outs {
				if o.at > now {
					rest = append(rest, o)
					continue
				}
				keys, segment, since, _ := o.c.Ownership()
				a := func() *asked {
					for _, a := range held[o.c.Query()] {
						if a.keys == keys && a.mayRun {
							return a
						}
					}
					return &asked{}
				}()
				i := truth.Find(segment)
				owns := i >= 0 && truth.Segments[i].OwnedSince == since && slices.Contains(truth.Segments[i].Owners, fmt.Sprint("h", o.c.Server-10))
				switch {
				case !owns:
					a.mayRun = false
					p.Report(o.c, gather.NotOwner, nil)
				case chance.Float64() < lostShare:
					p.Report(o.c, []gather.Outcome{gather.ConnectionReset, gather.Failed, gather.TimedOut}[draw(3)], nil)
				case chance.Float64() < rejectedShare:
					a.mayRun = false
					p.Report(o.c, gather.Rejected, nil)
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
				if !c.BeginWrite() {
					p.Report(c, gather.NotSent, nil)
					continue
				}
				c.EndWrite()
				query := c.Query()
				past, isHeld := held[query]
				if !isHeld {
					t.Fatalf("seed %d at %g: an attempt after the answer", seed, now)
				}
				keys, _, _, _ := c.Ownership()
				for _, a := range past {
					if query.Class == "all" && a.mayRun && a.keys.Overlaps(keys) {
						t.Fatalf("seed %d at %g: non-idempotent keys %s are asked for again, %s may have run", seed, now, keys.Text(), a.keys.Text())
					}
				}
				held[query] = append(past, &asked{keys, true})
				outs = append(outs, out{c, now + 5 + 30*chance.Float64()})
			}
			for query, past := range held {
				v, done := takeResult(query)
				if !done {
					continue
				}
				ends++
				delete(held, query)
				if v.Kind == Served && v.Complete {
					complete++
					if err := checkKeysCoveredOnce(query, v.Hits); err != nil {
						t.Fatalf("seed %d at %g: %s: %v", seed, now, query.ID, err)
					}
				}
				for _, a := range past {
					if v.Kind == Rejected && query.Class == "all" && a.mayRun {
						t.Fatalf("seed %d at %g: a non-idempotent query is rejected and may have run", seed, now)
					}
				}
				if now > query.Deadline+20 {
					t.Errorf("seed %d: answered late", seed)
				}
			}
		}
		if ends != admitted || admitted < 400 || complete < admitted/3 || moves < 80 {
			t.Errorf("seed %d: %d of %d queries answered, %d complete, %d moves", seed, ends, admitted, complete, moves)
		}
		if p.intake.open != 0 || len(p.queries.byID)+len(p.queries.requests) != 0 {
			t.Errorf("seed %d: %d open, %d queries, %d shard requests", seed, p.intake.open, len(p.queries.byID), len(p.queries.requests))
		}
	}
}
