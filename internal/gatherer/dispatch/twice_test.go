package dispatch

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"yokeroute/gather"
	"yokeroute/internal/pcg"
	"yokeroute/logic/phases"
)

// newTwice is a picker whose index any may go in two phases, and always does as far as time and budget allow.
func newTwice(t *testing.T, change func(s *gather.Settings)) *Picker {
	p := newPicker(t, func(s *gather.Settings) {
		anyClass := s.FindClass("any")
		anyClass.CompleteShare, anyClass.MinShare, anyClass.LatencyObjective = 1, 1, 400
		s.RetryBudgetWindow, s.RetryBudgetFloor, s.RetryBudgetRatio, s.CancelAllowed = 2000, 20, 0.05, true
		if change != nil {
			change(s)
		}
	})
	whole, least := p.settings.Class("any").CompleteShare, p.settings.Class("any").MinShare
	p.Phases(map[string]phases.Terms{"any": {Soft: 400, Whole: whole, Least: least, First: 0.3, Trials: 0.5}})
	p.clock = func() float64 { return p.ranAt + 4 } // what is reported before a round came just before it
	p.round(1000)
	for id := uint32(10); id < 16; id++ {
		p.Speaks(id, true)
	}
	p.round(1005)
	return p
}

// land hands a lookup in and gives it with its first calls.
func land(p *Picker, now float64, id string, parts int) (*Lookup, Orders) {
	lk := lookup("any", parts, now+2000)
	lk.ID = id
	p.admit(lk)
	return lk, p.round(now)
}

func told(lk *Lookup) (Verdict, bool) {
	select {
	case v := <-lk.done:
		return v, true
	default:
		return Verdict{}, false
	}
}

func firsts(o Orders) (n int) {
	for _, c := range o.Calls {
		if c.First() {
			n++
		}
	}
	return n
}

// TestTwoPasses goes through what a first pass can bring: everything proved empty, nothing, some, and answers that
// cannot be read.
func TestTwoPasses(t *testing.T) {
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
			p := newTwice(t, nil)
			lk, o := land(p, 1010, "a", 4)
			if firsts(o) != 4 || len(o.Calls) != 4 {
				t.Fatalf("%d calls, %d of a first pass", len(o.Calls), firsts(o))
			}
			if id := o.Calls[0].ID(); !strings.HasSuffix(id, "~") {
				t.Errorf("a first pass's part is called %s", id)
			}
			for i, call := range o.Calls {
				p.Report(call, gather.Succeeded, []byte(c.summaries[i]))
			}
			now, calls := 1015.0, []*Call(nil)
			for ; now < 1400 && len(calls) == 0; now += 5 {
				calls = nil
				for _, call := range p.round(now).Calls {
					if call.First() { // sent again elsewhere, within the first pass
						p.Report(call, gather.Succeeded, []byte("garbled again"))
					} else {
						calls = append(calls, call)
					}
				}
				if v, done := told(lk); done {
					if c.second > 0 || v.Kind != Satisfied || !v.Whole || len(v.Hits) != 0 || len(v.Empty) != c.empty {
						t.Errorf("%+v", v)
					}
					return
				}
			}
			if len(calls) != c.second || slices.ContainsFunc(calls, (*Call).First) {
				t.Fatalf("%d calls in the second pass", len(calls))
			}
			for _, call := range calls {
				if call.ID() != fmt.Sprint("a.", call.Shard()) {
					t.Errorf("a part in full is called %s", call.ID())
				}
				p.Report(call, gather.Succeeded, fmt.Append(nil, call.Shard()))
			}
			p.round(now)
			v, done := told(lk)
			if !done || v.Kind != Satisfied || !v.Whole || len(v.Hits) != c.second || len(v.Empty) != c.empty {
				t.Errorf("%+v, %t", v, done)
			}
			for _, h := range v.Hits {
				if slices.Contains(v.Empty, h.Shard) || string(h.Value) != fmt.Sprint(h.Shard) {
					t.Errorf("hit %+v, empty %v", h, v.Empty)
				}
			}
			if p.held != 0 || len(p.lookups)+len(p.parts)+len(p.twice.roots) != 0 {
				t.Errorf("%d held, %d lookups, %d parts, %d in two phases", p.held, len(p.lookups), len(p.parts), len(p.twice.roots))
			}
		})
	}
}

// TestLate: a first pass that runs long ends in its time, what has not answered is given up and asked in full, and
// what it says after that proves nothing.
func TestLate(t *testing.T) {
	p := newTwice(t, nil)
	lk, o := land(p, 1010, "a", 4)
	p.Report(o.Calls[0], gather.Succeeded, []byte("none v1"))
	late := o.Calls[1:]
	now, off := 1015.0, 0
	var second []*Call
	for ; len(second) == 0; now += 5 {
		o := p.round(now)
		off += len(o.Off)
		second = o.Calls
		if now > 1010+0.3*400+30 {
			t.Fatal("the first pass took more than its share")
		}
	}
	if len(second) != 3 || off != 3 {
		t.Fatalf("%d calls in full, %d given up", len(second), off)
	}
	for _, c := range late {
		if c.Begin() {
			t.Error("a call of the first pass may still be written")
		}
		p.Report(c, gather.Succeeded, []byte("none v1"))
	}
	p.round(now)
	if _, done := told(lk); done {
		t.Error("answered by a proof that came too late")
	}
	for _, c := range second {
		p.Report(c, gather.Succeeded, []byte("x"))
	}
	p.round(now + 5)
	if v, done := told(lk); !done || len(v.Hits) != 3 || len(v.Empty) != 1 {
		t.Errorf("%+v, %t", v, done)
	}
}

// TestLeaves: a client that leaves in the first pass, between the passes or in the second ends both, and nothing of
// its lookup may be written any more.
func TestLeaves(t *testing.T) {
	for when := range 3 {
		p := newTwice(t, nil)
		lk, o := land(p, 1010, "a", 4)
		calls, now := o.Calls, 1015.0
		if when > 0 {
			for _, c := range o.Calls {
				p.Report(c, gather.Succeeded, []byte("some 1 1 v1"))
			}
			calls = nil
			if o := p.round(now); len(o.Calls) > 0 {
				t.Fatal("the second pass begins in the round that ends the first")
			}
			now += 5
		}
		if when > 1 {
			calls = p.round(now).Calls
			now += 5
		}
		p.tell(func(in *inbox) { in.Abandoned = append(in.Abandoned, lk.ref) })
		lk.seal() // as Pick does
		o = p.round(now)
		if v, done := told(lk); !done || v.Kind != Left {
			t.Errorf("%d: %+v, %t", when, v, done)
		}
		for _, c := range append(calls, o.Calls...) {
			if c.Begin() {
				t.Errorf("%d: a call may still be written", when)
			}
		}
		for _, c := range calls {
			p.Report(c, gather.Cancelled, nil)
		}
		if o := p.round(now + 5); len(o.Calls) > 0 || len(p.lookups)+len(p.twice.roots)+p.held != 0 {
			t.Errorf("%d: %d calls after the end, %d lookups held", when, len(o.Calls), len(p.lookups))
		}
	}
}

// TestOldBuilds: parts none of whose servers answer first passes are asked in full at once, by one phase where
// none does; a server that has started anew has to be found again.
func TestOldBuilds(t *testing.T) {
	p := newTwice(t, nil)
	for _, id := range []uint32{11, 13, 15} { // the second group
		p.Speaks(id, false)
	}
	p.round(1008)
	_, o := land(p, 1013, "a", 4)
	if firsts(o) != 2 || len(o.Calls) != 2 {
		t.Fatalf("%d calls, %d of a first pass", len(o.Calls), firsts(o))
	}
	for _, c := range o.Calls {
		if c.Server%2 == 1 {
			t.Errorf("a first pass asks server %d", c.Server)
		}
		p.Report(c, gather.Succeeded, []byte("none v1"))
	}
	p.round(1018)
	if o := p.round(1023); len(o.Calls) != 2 || firsts(o) != 0 || o.Calls[0].Server%2 == 0 {
		t.Errorf("second pass %+v", o.Calls)
	}
	var again gather.EndpointList
	for id := uint32(10); id < 16; id += 2 {
		again.Endpoints = append(again.Endpoints, gather.Endpoint{ID: id, ReplicaSet: 0, StartedAt: 1020})
	}
	p.Follow(again)
	p.round(1028)
	if _, o := land(p, 1033, "b", 4); firsts(o) != 0 || len(o.Calls) != 4 {
		t.Errorf("%d calls, %d of a first pass, of processes that were never asked", len(o.Calls), firsts(o))
	}
}

// TestDrainsBetween: a server that drains between the passes gets nothing of the second, and one that has gone in
// the first pass proves nothing.
func TestDrainsBetween(t *testing.T) {
	p := newTwice(t, nil)
	lk, o := land(p, 1010, "a", 2)
	p.Report(o.Calls[0], gather.Succeeded, []byte("some 1 1 v1"))
	p.Report(o.Calls[1], gather.ConnectionReset, nil)
	p.round(1015)
	p.Follow(gather.EndpointList{Endpoints: []gather.Endpoint{{ID: o.Calls[0].Server, ReplicaSet: int(o.Calls[0].Server % 2), State: gather.Draining}}})
	for now := 1020.0; now < 1200; now += 5 {
		for _, c := range p.round(now).Calls {
			if c.Server == o.Calls[0].Server {
				t.Errorf("a call to the server that drains, of the first pass %t", c.First())
			}
			if c.First() {
				p.Report(c, gather.ConnectionReset, nil) // sent again elsewhere within the first pass, and lost again
			} else {
				p.Report(c, gather.Succeeded, []byte("x"))
			}
		}
	}
	if v, done := told(lk); !done || v.Kind != Satisfied || len(v.Hits) != 2 {
		t.Errorf("%+v, %t", v, done)
	}
}

// TestBudgetOfPasses plays a day on which first passes are lost by the dozen and counts, at each call, the calls
// beyond each part's first by the words of rule 6: an answered first pass and the call in full that follows it are
// two firsts, one that heard nothing makes the next a further one. Each lookup has one answer, and no call after it.
func TestBudgetOfPasses(t *testing.T) {
	for seed := range uint64(6) {
		p := newTwice(t, func(s *gather.Settings) { s.RetryBudgetFloor = 6.0 })
		chance := pcg.New(seed)
		type out struct {
			c    *Call
			at   float64
			lost bool
		}
		type key struct {
			lk    *Lookup
			shard int
			first bool
		}
		var outs []out
		var takenAt, furtherAt []float64
		calls, answered := map[key]int{}, map[key]bool{}
		held := map[*Lookup]bool{}
		landed, ends, further, two := 0, 0, 0, 0
		for now := 1010.0; now < 20000; now += 5 {
			troubled := math.Mod(now, 6000) < 2000
			if chance.Float64() < 0.25 && now < 17000 {
				lk := lookup("any", 1+int(chance.Uint32()%6), now+300+500*chance.Float64())
				lk.ID = fmt.Sprint("l", landed)
				landed++
				p.admit(lk)
				held[lk] = true
				for range 1 + len(lk.Parts) {
					takenAt = append(takenAt, now)
				}
			}
			rest := outs[:0]
			for _, o := range outs {
				switch {
				case o.at > now:
					rest = append(rest, o)
				case o.lost:
					p.Report(o.c, gather.TimedOut, nil)
				case o.c.First():
					p.Report(o.c, gather.Succeeded, []byte([]string{"none v1", "some 1 1 v1", "some"}[chance.Uint32()%3]))
					answered[key{o.c.Lookup(), o.c.Shard(), true}] = true
				default:
					p.Report(o.c, gather.Succeeded, []byte("x"))
				}
			}
			outs = rest
			o := p.round(now)
			for _, c := range o.Off {
				p.Report(c, gather.Cancelled, nil)
			}
			for _, c := range o.Calls {
				lk := c.Lookup()
				if !held[lk] {
					t.Fatalf("seed %d at %g: a call after the final answer", seed, now)
				}
				k, other := key{lk, c.Shard(), c.First()}, key{lk, c.Shard(), true}
				if calls[k] > 0 || !c.First() && calls[other] > 0 && !answered[other] {
					further++
					furtherAt = append(furtherAt, now)
					in, taken := 0, 0
					for _, at := range furtherAt {
						if at >= now-2000 {
							in++
						}
					}
					for _, at := range takenAt {
						if at >= now-2000 {
							taken++
						}
					}
					if most := 6 + 0.05*float64(taken); float64(in) > most {
						t.Fatalf("seed %d at %g: %d further calls in 2 s, %g allowed", seed, now, in, most)
					}
				}
				calls[k]++
				took, lost := 5+20*chance.Float64(), chance.Float64() < 0.02
				if c.First() {
					took /= 5
				}
				if troubled && c.First() {
					lost = chance.Float64() < 0.6
				}
				if lost {
					took = c.Timeout
				}
				outs = append(outs, out{c, now + took, lost})
			}
			for lk := range held {
				if v, done := told(lk); done {
					ends++
					delete(held, lk)
					if lk.phased != nil {
						two++
					}
					if v.Kind == Satisfied && v.Whole && len(v.Hits)+len(v.Empty) != len(lk.Parts) {
						t.Fatalf("seed %d: whole with %d hits and %d empty of %d parts", seed, len(v.Hits), len(v.Empty), len(lk.Parts))
					}
					if now > lk.GiveUpAt+20 {
						t.Errorf("seed %d: answered %g ms after its time", seed, now-lk.GiveUpAt)
					}
				}
			}
		}
		if ends != landed || landed < 500 || two < 100 || further < 10 {
			t.Errorf("seed %d: %d of %d lookups answered, %d in two phases, %d further calls", seed, ends, landed, two, further)
		}
		if p.held != 0 || len(p.lookups)+len(p.parts)+len(p.twice.roots) != 0 {
			t.Errorf("seed %d: %d held, %d lookups, %d parts", seed, p.held, len(p.lookups), len(p.parts))
		}
	}
}

// TestAnyN: n is of all parts, by weight: those proved empty count towards it.
func TestAnyN(t *testing.T) {
	p := newTwice(t, func(s *gather.Settings) {
		s.FindClass("any").CompleteShare = 0.75
		s.FindClass("any").MinShare = 0.75
	})
	lk, o := land(p, 1010, "a", 8)
	if n := firsts(o); n < 6 {
		t.Fatalf("%d parts of the first pass", n)
	}
	for i, c := range o.Calls {
		if i < 4 {
			p.Report(c, gather.Succeeded, []byte("none v1"))
		} else {
			p.Report(c, gather.Succeeded, []byte("some 1 1 v1"))
		}
	}
	p.round(1015)
	second := p.round(1020).Calls
	if len(second) != 2 {
		t.Fatalf("%d calls in full, of 8 parts 4 are proved empty and 6 make a whole answer", len(second))
	}
	for _, c := range second {
		p.Report(c, gather.Succeeded, []byte("x"))
	}
	p.round(1025)
	if v, done := told(lk); !done || !v.Whole || len(v.Hits) != 2 || len(v.Empty) != 4 {
		t.Errorf("%+v, %t", v, done)
	}
}
