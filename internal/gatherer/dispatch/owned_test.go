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

// Hosts h0 to h5 are the servers 10 to 15. There are four shards; at first segment s0 has shards 0 and 1, s1 the rest.
func newOwned(t *testing.T, change func(s *gather.Settings)) (*Picker, *ownership.Map) {
	p := newPicker(t, func(s *gather.Settings) {
		for _, name := range []string{"any", "all"} {
			class := s.FindClass(name)
			class.CompleteShare, class.MinShare, class.LatencyObjective = 1, 1, 400
		}
		s.RetryBudgetWindow, s.RetryBudgetFloor, s.RetryBudgetRatio, s.CancelAllowed = 2000, 20, 0.05, true
		if change != nil {
			change(s)
		}
		*s = *OwnedTerms(s, 16)
	})
	p.Segments(16, 4)
	p.module = p.build(5, p.settings)
	p.clock = func() float64 { return p.ranAt + 4 }
	names := map[uint32]string{}
	for i := range uint32(6) {
		names[10+i] = fmt.Sprint("h", i)
	}
	p.Names(names)
	half := uint64(1) << 63
	m, err := ownership.First(1, []ownership.Segment{{Name: "s0", Range: ownership.Range{Lo: 0, Hi: half - 1}, Owners: []string{"h0", "h1"}},
		{Name: "s1", Range: ownership.Range{Lo: half, Hi: ^uint64(0)}, Owners: []string{"h2", "h3"}}})
	if err != nil {
		t.Fatal(err)
	}
	p.SetMap(m)
	p.round(1000)
	return p, m
}

// take hands a lookup in and gives it with its first calls.
func take(p *Picker, now float64, index, id string, parts int) (*Lookup, []*Call) {
	lk := lookup(index, parts, now+2000)
	lk.ID = id
	p.admit(lk)
	return lk, p.round(now).Calls
}

func must(t *testing.T, c ownership.Change, err error) ownership.Change {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// follow applies a change to a map and hands it in.
func follow(t *testing.T, p *Picker, m *ownership.Map, c ownership.Change, err error) *ownership.Map {
	t.Helper()
	next, wrong := m.Apply(must(t, c, err))
	if wrong != nil {
		t.Fatal(wrong)
	}
	p.ChangeMap(c)
	return next
}

// covered reports whether hits cover all keys of a lookup's parts, none twice.
func covered(lk *Lookup, hits []Hit) error {
	for _, pt := range lk.Parts {
		var got []ownership.Range
		for _, h := range hits {
			if h.Shard != pt.Shard {
				continue
			}
			r := ownership.Slot(pt.Shard, 4)
			if h.Keys != nil {
				r = *h.Keys
			}
			got = append(got, r)
		}
		slices.SortFunc(got, func(a, b ownership.Range) int {
			if a.Lo < b.Lo {
				return -1
			}
			return 1
		})
		want := ownership.Slot(pt.Shard, 4)
		from := want.Lo
		for i, r := range got {
			if r.Lo != from {
				return fmt.Errorf("shard %d: keys %v, %s comes where %016x should", pt.Shard, got, r.Text(), from)
			}
			if from = r.Hi + 1; i == len(got)-1 && r.Hi != want.Hi {
				return fmt.Errorf("shard %d: keys %v end before %s", pt.Shard, got, want.Text())
			}
		}
		if len(got) == 0 {
			return fmt.Errorf("shard %d: no keys", pt.Shard)
		}
	}
	return nil
}

func answerAll(p *Picker, calls []*Call) {
	for _, c := range calls {
		p.Report(c, gather.Succeeded, []byte("x"))
	}
}

// TestWriters: a once-only part goes to its segment's writer alone, others to any owner.
func TestWriters(t *testing.T) {
	p, _ := newOwned(t, nil)
	to := map[uint32]bool{}
	for i := range 6 {
		_, calls := take(p, 1010+10*float64(i), "any", fmt.Sprint("a", i), 4)
		if len(calls) != 4 {
			t.Fatalf("%d calls", len(calls))
		}
		for _, c := range calls {
			to[c.Server] = true
		}
		answerAll(p, calls)
		_, calls = take(p, 1015+10*float64(i), "all", fmt.Sprint("o", i), 4)
		for _, c := range calls {
			if want := uint32(10 + c.Shard()/2*2); c.Server != want || !c.OnceOnly() {
				t.Errorf("a once-only part of shard %d goes to server %d", c.Shard(), c.Server)
			}
		}
		answerAll(p, calls)
	}
	if len(to) != 4 {
		t.Errorf("others go to %v", to)
	}
}

// TestOldOwner: a once-only part whose answer is lost just before a move is never sent to the new owner: its lookup is
// aborted, not nacked. One that the old owner refused is.
func TestOldOwner(t *testing.T) {
	for _, refused := range []bool{false, true} {
		p, m := newOwned(t, nil)
		lk, calls := take(p, 1010, "all", "a", 1)
		if len(calls) != 1 || calls[0].Server != 10 {
			t.Fatalf("calls %v", calls)
		}
		calls[0].Begin()
		calls[0].End()
		c, err := m.Move("s0", []string{"h4"})
		follow(t, p, m, c, err)
		if o := p.round(1015); len(o.Calls) > 0 {
			t.Fatal("sent again while a call is out")
		}
		if refused {
			p.Report(calls[0], gather.NotOwner, nil)
		} else {
			p.Report(calls[0], gather.ConnectionReset, nil)
		}
		var again []*Call
		for now := 1020.0; now < 1600; now += 5 {
			again = append(again, p.round(now).Calls...)
			if refused && len(again) == 1 {
				answerAll(p, again)
			}
		}
		v, done := told(lk)
		switch {
		case !done:
			t.Errorf("refused %t: no answer", refused)
		case refused && (len(again) != 1 || again[0].Server != 14 || v.Kind != Satisfied):
			t.Errorf("refused: %d calls more, %+v", len(again), v)
		case !refused && (len(again) != 0 || v.Kind != Aborted):
			t.Errorf("lost: %d calls more, %+v", len(again), v)
		}
	}
}

// TestSplits: a segment is split between a lookup's taking and its sending, and between sending and answering. What
// is answered covers each key once.
func TestSplits(t *testing.T) {
	for _, when := range []string{"before sending", "while out, refused", "while out, answered"} {
		p, m := newOwned(t, nil)
		lk := lookup("any", 2, 3000)
		lk.ID = "a"
		p.admit(lk)
		at := ownership.Slot(0, 4).Lo + ownership.Slot(0, 4).Hi/4
		split, err := m.Split("s0", at, "l", "r")
		var calls []*Call
		if when == "before sending" {
			m = follow(t, p, m, split, err)
			c, err := m.Move("r", []string{"h5"})
			follow(t, p, m, c, err)
			calls = p.round(1010).Calls
			if len(calls) != 3 {
				t.Fatalf("%d calls of two parts, one of which is split", len(calls))
			}
		} else {
			calls = p.round(1010).Calls
			m = follow(t, p, m, split, err)
			c, err := m.Move("r", []string{"h5"})
			follow(t, p, m, c, err)
			if more := p.round(1015).Calls; len(more) > 0 {
				t.Fatal("sent again while calls are out")
			}
		}
		for _, c := range calls {
			if when == "while out, refused" {
				p.Report(c, gather.NotOwner, nil)
			} else {
				p.Report(c, gather.Succeeded, []byte("x"))
			}
		}
		for now := 1020.0; now < 1100; now += 5 {
			for _, c := range p.round(now).Calls {
				if keys, segment, since, _ := c.Keys(); segment == "s0" || since != 2 && since != 3 {
					t.Errorf("%s: %s of %s since %d", when, keys.Text(), segment, since)
				}
				p.Report(c, gather.Succeeded, []byte("x"))
			}
		}
		v, done := told(lk)
		if !done || v.Kind != Satisfied || !v.Whole {
			t.Fatalf("%s: %+v, %t", when, v, done)
		}
		if err := covered(lk, v.Hits); err != nil {
			t.Errorf("%s: %v", when, err)
		}
	}
}

// TestUnowned: while a range is unowned a lookup that needs everything is not marked whole, one that may be answered
// in part is, with what is in; both go on when the range is owned again.
func TestUnowned(t *testing.T) {
	for _, back := range []bool{false, true} {
		p, m := newOwned(t, func(s *gather.Settings) {
			s.FindClass("any").MinShare = 0.4
			s.FindClass("any").PartialValue = 0.8
		})
		c, err := m.Move("s1", nil)
		m = follow(t, p, m, c, err)
		lk, calls := take(p, 1010, "any", "a", 4)
		if len(calls) != 2 {
			t.Fatalf("%d calls, the keys of two parts are unowned", len(calls))
		}
		answerAll(p, calls)
		if back {
			p.round(1020)
			c, err := m.Move("s1", []string{"h4"})
			follow(t, p, m, c, err)
		}
		for now := 1025.0; now < 1600; now += 5 {
			answerAll(p, p.round(now).Calls)
		}
		v, done := told(lk)
		if !done || v.Kind != Satisfied || v.Whole != back || len(v.Hits) != 2+2*map[bool]int{true: 1}[back] {
			t.Errorf("owned again %t: %+v, %t", back, v, done)
		}
	}
	p, m := newOwned(t, nil)
	c, err := m.Move("s1", nil)
	follow(t, p, m, c, err)
	lk, calls := take(p, 1010, "any", "a", 4)
	answerAll(p, calls)
	for now := 1015.0; now < 1600; now += 5 {
		p.round(now)
	}
	if v, done := told(lk); !done || v.Kind == Satisfied {
		t.Errorf("a lookup that needs all parts: %+v, %t", v, done)
	}
}

// TestMergeAnyN: segments merge under an any-n lookup that is under way; n goes by keys, each of which counts once.
func TestMergeAnyN(t *testing.T) {
	p, m := newOwned(t, func(s *gather.Settings) {
		s.FindClass("any").CompleteShare = 0.75
		s.FindClass("any").MinShare = 0.75
	})
	split, err := m.Split("s0", ownership.Slot(1, 4).Lo, "l", "r")
	m = follow(t, p, m, split, err)
	p.round(1005)
	lk, calls := take(p, 1010, "any", "a", 4)
	if len(calls) < 3 {
		t.Fatalf("%d calls", len(calls))
	}
	merge, err := m.Merge("l", "r", "s2")
	follow(t, p, m, merge, err)
	p.round(1015)
	for i, c := range calls {
		if i == 0 {
			p.Report(c, gather.NotOwner, nil) // its host has merged already
		} else {
			p.Report(c, gather.Succeeded, []byte("x"))
		}
	}
	for now := 1020.0; now < 1200; now += 5 {
		answerAll(p, p.round(now).Calls)
	}
	v, done := told(lk)
	if !done || v.Kind != Satisfied || !v.Whole || len(v.Hits) < 3 {
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

// TestRefusalsInBudget: calls that go again after a refusal are further ones, and no window holds more than allowed.
func TestRefusalsInBudget(t *testing.T) {
	p, m := newOwned(t, func(s *gather.Settings) {
		s.RetryBudgetFloor = 3.0
		s.RetryBudgetRatio = 0.0
	})
	var lks []*Lookup
	var calls []*Call
	for i := range 6 {
		lk, some := take(p, 1010+5*float64(i), "any", fmt.Sprint("a", i), 1)
		some[0].Begin()
		some[0].End()
		lks, calls = append(lks, lk), append(calls, some...)
	}
	c, err := m.Move("s0", []string{"h4"})
	follow(t, p, m, c, err)
	for _, c := range calls {
		p.Report(c, gather.NotOwner, nil)
	}
	further := 0
	for now := 1045.0; now < 1400; now += 5 {
		for _, c := range p.round(now).Calls {
			if c.Begin() {
				further++
				c.End()
				p.Report(c, gather.Succeeded, []byte("x"))
			} else {
				p.Report(c, gather.NotSent, nil)
			}
		}
	}
	if further != 3 {
		t.Errorf("%d calls after a refusal within a window that allows 3", further)
	}
	satisfied := 0
	for _, lk := range lks {
		if v, done := told(lk); done && v.Kind == Satisfied {
			satisfied++
		}
	}
	if satisfied != 3 {
		t.Errorf("%d satisfied", satisfied)
	}
}

// TestDrainInHandover: the new owner drains during the hand-over; nothing goes to it, and what the old owner refuses
// waits for a map that names another.
func TestDrainInHandover(t *testing.T) {
	p, m := newOwned(t, nil)
	lk, calls := take(p, 1010, "any", "a", 1)
	p.Follow(gather.EndpointList{Endpoints: []gather.Endpoint{{ID: 14, State: gather.Draining}}})
	c, err := m.Move("s0", []string{"h4"})
	m = follow(t, p, m, c, err)
	p.Report(calls[0], gather.NotOwner, nil)
	for now := 1015.0; now < 1100; now += 5 {
		if o := p.round(now); len(o.Calls) > 0 {
			t.Fatalf("a call to server %d, which drains", o.Calls[0].Server)
		}
	}
	c, err = m.Move("s0", []string{"h5"})
	follow(t, p, m, c, err)
	again := p.round(1105).Calls
	if len(again) != 1 || again[0].Server != 15 {
		t.Fatalf("calls %v", again)
	}
	answerAll(p, again)
	p.round(1110)
	if v, done := told(lk); !done || !v.Whole {
		t.Errorf("%+v, %t", v, done)
	}
}

// TestDoubt: sources that contradict each other stop once-only lookups, and no others, until a later map.
func TestDoubt(t *testing.T) {
	p, m := newOwned(t, nil)
	one, err := m.Move("s0", []string{"h4"})
	must(t, one, err)
	other, err := m.Move("s0", []string{"h5"})
	next := follow(t, p, m, one, nil)
	follow(t, p, m, other, err)
	p.round(1005)
	select {
	case <-p.Behind():
	default:
		t.Error("the whole map is not asked for")
	}
	once, calls := take(p, 1010, "all", "a", 1)
	if len(calls) > 0 {
		t.Fatal("a once-only part is sent though two owners may believe it theirs")
	}
	_, calls = take(p, 1015, "any", "b", 1)
	if len(calls) != 1 || calls[0].Server != 14 {
		t.Errorf("an idempotent part: %v", calls)
	}
	answerAll(p, calls)
	c, err := next.Move("s1", []string{"h2"})
	after, _ := next.Apply(must(t, c, err))
	p.SetMap(after)
	calls = p.round(1100).Calls
	if len(calls) != 1 || calls[0].Server != 14 {
		t.Fatalf("with a later map: %v", calls)
	}
	answerAll(p, calls)
	p.round(1105)
	if v, done := told(once); !done || v.Kind != Satisfied {
		t.Errorf("%+v, %t", v, done)
	}
}

// TestMovingMap plays seeded days on which segments are split, merged, moved and left unowned all the time, hosts refuse
// what they no longer own, calls are lost and answers come late. Whole answers cover each key once; a once-only part
// is never asked for again where an earlier call may have run, nor nacked; each lookup has one answer.
func TestMovingMap(t *testing.T) {
	for seed := range uint64(8) {
		p, m := newOwned(t, func(s *gather.Settings) { s.RetryBudgetFloor = 1000.0 })
		chance := pcg.New(seed)
		draw := func(n int) int { return int(chance.Uint32() % uint32(n)) }
		type out struct {
			c  *Call
			at float64
		}
		type asked struct {
			keys   ownership.Range
			mayRun bool
		}
		var outs []out
		held := map[*Lookup][]*asked{}
		truth := m // what hosts go by
		var told1 []ownership.Change
		landed, ends, whole, moves, name := 0, 0, 0, 0, 0
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
						c, err = truth.Split(s.Name, s.Lo+(s.Hi-s.Lo)/uint64(2+draw(5)), fmt.Sprint("n", name, "a"), fmt.Sprint("n", name, "b"))
					}
				case 1:
					if i+1 < len(truth.Segments) {
						c, err = truth.Merge(s.Name, truth.Segments[i+1].Name, fmt.Sprint("n", name))
					}
				case 2:
					c, err = truth.Move(s.Name, []string{fmt.Sprint("h", draw(6))})
				default:
					if chance.Float64() < 0.3 {
						c, err = truth.Move(s.Name, nil)
					}
				}
				if err == nil {
					truth, _ = truth.Apply(c)
					told1 = append(told1, c)
					moves++
				}
			}
			if chance.Float64() < 0.3 || now > 11000 { // news comes late, one at a time, sometimes twice
				if len(told1) > 0 {
					p.ChangeMap(told1[0])
					if chance.Float64() < 0.2 {
						p.ChangeMap(told1[0])
					}
					told1 = told1[1:]
				}
			}
			if chance.Float64() < 0.3 && now < 11500 {
				lk := lookup([]string{"any", "all"}[draw(2)], 1+draw(4), now+900)
				lk.ID = fmt.Sprint("l", landed)
				landed++
				p.admit(lk)
				held[lk] = nil
			}
			rest := outs[:0]
			for _, o := range outs {
				if o.at > now {
					rest = append(rest, o)
					continue
				}
				keys, segment, since, _ := o.c.Keys()
				a := func() *asked {
					for _, a := range held[o.c.Lookup()] {
						if a.keys == keys && a.mayRun {
							return a
						}
					}
					return &asked{}
				}()
				i := truth.Find(segment)
				owns := i >= 0 && truth.Segments[i].Since == since && slices.Contains(truth.Segments[i].Owners, fmt.Sprint("h", o.c.Server-10))
				switch {
				case !owns:
					a.mayRun = false
					p.Report(o.c, gather.NotOwner, nil)
				case chance.Float64() < 0.04:
					p.Report(o.c, []gather.Outcome{gather.ConnectionReset, gather.Failed, gather.TimedOut}[draw(3)], nil)
				case chance.Float64() < 0.04:
					a.mayRun = false
					p.Report(o.c, gather.Rejected, nil)
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
				if !c.Begin() {
					p.Report(c, gather.NotSent, nil)
					continue
				}
				c.End()
				lk := c.Lookup()
				past, isHeld := held[lk]
				if !isHeld {
					t.Fatalf("seed %d at %g: a call after the answer", seed, now)
				}
				keys, _, _, _ := c.Keys()
				for _, a := range past {
					if lk.Index == "all" && a.mayRun && a.keys.Overlaps(keys) {
						t.Fatalf("seed %d at %g: once-only keys %s are asked for again, %s may have run", seed, now, keys.Text(), a.keys.Text())
					}
				}
				held[lk] = append(past, &asked{keys, true})
				outs = append(outs, out{c, now + 5 + 30*chance.Float64()})
			}
			for lk, past := range held {
				v, done := told(lk)
				if !done {
					continue
				}
				ends++
				delete(held, lk)
				if v.Kind == Satisfied && v.Whole {
					whole++
					if err := covered(lk, v.Hits); err != nil {
						t.Fatalf("seed %d at %g: %s: %v", seed, now, lk.ID, err)
					}
				}
				for _, a := range past {
					if v.Kind == Nacked && lk.Index == "all" && a.mayRun {
						t.Fatalf("seed %d at %g: a once-only lookup is nacked and may have run", seed, now)
					}
				}
				if now > lk.GiveUpAt+20 {
					t.Errorf("seed %d: answered late", seed)
				}
			}
		}
		if ends != landed || landed < 400 || whole < landed/3 || moves < 80 {
			t.Errorf("seed %d: %d of %d lookups answered, %d whole, %d moves", seed, ends, landed, whole, moves)
		}
		if p.held != 0 || len(p.lookups)+len(p.parts) != 0 {
			t.Errorf("seed %d: %d held, %d lookups, %d parts", seed, p.held, len(p.lookups), len(p.parts))
		}
	}
}
