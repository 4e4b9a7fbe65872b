package policy

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func must(t interface{ Fatal(...any) }, entries ...Entry) Policy {
	p, err := Order(entries)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func drawPolicy(t *rapid.T, name string) Policy {
	var entries []Entry
	for _, k := range Kinds() {
		tr := traits[k]
		for _, of := range map[string][]string{"": {""}, "index": {"find", "claim"}, "place": {"north/", "north/s1", "south/s2"}, "host": {"s1", "s2"}}[tr.subject] {
			if rapid.IntRange(0, 2).Draw(t, name) == 0 {
				e := Entry{Kind: k, Of: of}
				if !tr.mark {
					e.Value = tr.most * float64(rapid.IntRange(0, 4).Draw(t, name)) / 4
				}
				entries = append(entries, e)
			}
		}
	}
	return must(t, entries...)
}

// TestIntersect: an intersection is within both, is the loosest that is, and goes by no order; what is within two is within it.
func TestIntersect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, q, r := drawPolicy(t, "p"), drawPolicy(t, "q"), drawPolicy(t, "r")
		m := Intersect(p, q)
		if !reflect.DeepEqual(m, Intersect(q, p)) || !reflect.DeepEqual(append(Policy{}, p...), append(Policy{}, Intersect(p, p)...)) {
			t.Fatalf("%v, %v: %v", p, q, m)
		}
		if ordered, err := Order(m); err != nil || !reflect.DeepEqual(append(Policy{}, ordered...), append(Policy{}, m...)) {
			t.Fatalf("%v is out of order: %v", m, err)
		}
		if w := append(Within(m, p), Within(m, q)...); len(w) > 0 {
			t.Fatalf("the intersection of %v and %v does what one forbids: %v", p, q, w)
		}
		if len(Within(r, p))+len(Within(r, q)) == 0 && len(Within(r, m)) > 0 {
			t.Fatalf("%v is within both and not within their intersection %v", r, m)
		}
		if !reflect.DeepEqual(Intersect(Intersect(p, q), r), Intersect(p, Intersect(q, r))) {
			t.Fatalf("%v, %v, %v: the order counts", p, q, r)
		}
		for _, host := range []string{"s1", "s2"} {
			for _, zone := range []string{"north", "south"} {
				if m.Closes(zone, host) != (p.Closes(zone, host) || q.Closes(zone, host)) {
					t.Fatalf("%s/%s: %v, %v", zone, host, p, q)
				}
			}
		}
		if len(Diff(p, p)) > 0 || (len(Diff(p, q)) == 0) != slices.Equal(p, q) || len(Diff(p, q)) != len(Diff(q, p)) {
			t.Fatalf("%v, %v: %v", p, q, Diff(p, q))
		}
	})
}

// TestDiff tells what operators read of a change.
func TestDiff(t *testing.T) {
	from := must(t, Entry{Kind: Least, Of: "find", Value: 0.5}, Entry{Kind: Share, Value: 0.04}, Entry{Kind: Closed, Of: "north/s1"}, Entry{Kind: Turns, Of: "s9", Value: 1})
	to := must(t, Entry{Kind: Least, Of: "find", Value: 0.8}, Entry{Kind: Share, Value: 0.05}, Entry{Kind: Closed, Of: "south/"}, Entry{Kind: NoCopies, Of: "resolve"}, Entry{Kind: OnceOnly, Of: "claim"},
		Entry{Kind: Turns, Of: "s9", Value: 0.5}, Entry{Kind: "newer", Of: "x"})
	var got []string
	for _, l := range Diff(from, to) {
		got = append(got, fmt.Sprintf("%v %s", l.Tightens, l.Text))
	}
	want := []string{"false budget of further calls raised from 0.04 to 0.05", "false host north/s1: open again", "true zone south: closed", "true index find: least share raised from 0.5 to 0.8", "true newer x 0: of a kind that is not known here",
		"true index resolve: second copies no longer allowed", "true index claim: is once-only now", "true host s9: gets fewer turns from 1 to 0.5"}
	slices.Sort(got)
	slices.Sort(want)
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%q", got)
	}
}

// TestBad: what no gatherer could keep is no policy, and is told with its entry.
func TestBad(t *testing.T) {
	for want, entries := range map[string][]Entry{
		"said twice":              {{Kind: OnceOnly, Of: "a"}, {Kind: OnceOnly, Of: "a"}},
		"lacks its index":         {{Kind: OnceOnly}},
		"is of all":               {{Kind: Share, Of: "a", Value: 0.1}},
		"not within 0 and 1":      {{Kind: Least, Of: "a", Value: 1.5}},
		"wants a zone":            {{Kind: Closed, Of: "s1"}},
		"has no value":            {{Kind: Closed, Of: "north/", Value: 1}},
		"least a -1 is not":       {{Kind: Least, Of: "a", Value: -1}},
		"wants a zone and maybe ": {{Kind: Closed, Of: "/s1"}},
	} {
		if _, err := Order(entries); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", want, err)
		}
	}
}

// TestRecord tells a record's story: what is refused and why, and that a command sent twice counts once.
func TestRecord(t *testing.T) {
	r := &Record{}
	floor := must(t, Entry{Kind: Closed, Of: "south/"}, Entry{Kind: NoCopies})
	do := func(c Command, want string) *Change {
		t.Helper()
		before := fmt.Sprintf("%+v", *r)
		got, err := r.Apply(c)
		switch {
		case (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want):
			t.Errorf("%+v: %v", c, err)
		case err != nil && before != fmt.Sprintf("%+v", *r):
			t.Errorf("%+v: was refused and changed the record", c)
		}
		return got
	}
	propose := func(base uint64, id string, entries ...Entry) Command {
		return Command{Propose: &Change{Base: base, ID: id, Policy: must(t, entries...)}}
	}
	do(Command{Register: &Member{Name: "g2", Floor: floor, Knows: Kinds()}}, "")
	do(Command{Register: &Member{Name: "g1", Floor: floor, Knows: []Kind{Closed, NoCopies}}}, "")
	do(propose(0, "a", Entry{Kind: Closed, Of: "north/s1"}), "g1, cut off, would do what this forbids: closed north/s1")
	do(propose(0, "a", Entry{Kind: OnceOnly, Of: "x"}), "g1, cut off, would do")
	do(propose(0, "a"), "changes nothing")
	one := do(propose(0, "a", Entry{Kind: Closed, Of: "south/s1"}, Entry{Kind: NoCopies, Of: "find"}), "")
	if again := do(propose(0, "a", Entry{Kind: Closed, Of: "south/s1"}, Entry{Kind: NoCopies, Of: "find"}), ""); again != one || one.Number != 1 {
		t.Errorf("%+v, %+v", one, again)
	}
	do(propose(0, "b", Entry{Kind: NoCopies}), "change 1 is being prepared")
	do(Command{Register: &Member{Name: "g3", Knows: Kinds()}}, "its floor allows what is forbidden: closed south/s1")
	do(Command{Decide: 2}, "change 2 is not being prepared")
	do(Command{Decide: 1}, "")
	do(Command{Decide: 1}, "")
	do(Command{GiveUp: 1}, "change 1 is not being prepared")
	do(propose(0, "c", Entry{Kind: NoCopies}), "epoch 1 is in force")
	do(propose(1, "c", Entry{Kind: Turns, Of: "s1", Value: 0.5}, Entry{Kind: NoCopies}), "g1 does not know the kind turns")
	do(Command{Forget: "g1"}, "")
	do(Command{Forget: "g1"}, "no gatherer g1")
	do(propose(1, "c", Entry{Kind: Turns, Of: "s1", Value: 0.5}, Entry{Kind: NoCopies}), "")
	do(Command{Register: &Member{Name: "g1", Floor: floor, Knows: []Kind{Closed, NoCopies}}}, "does not know the kind turns")
	do(Command{GiveUp: 2, Word: "g2 refuses it"}, "")
	do(Command{}, "an empty command")
	if r.Epoch != 1 || r.Last != 2 || len(r.History) != 2 || r.History[1].End != GivenUp || r.History[1].Word == "" || len(r.Members) != 1 {
		t.Errorf("%+v", r)
	}
	for n := range uint64(2*kept + 50) {
		do(propose(r.Epoch, fmt.Sprint("n", n), Entry{Kind: Cold, Value: float64(n%2+1) / 2}), map[bool]string{true: "", false: "would do"}[len(r.Members) == 0])
		if n == 0 {
			do(Command{Forget: "g2"}, "")
			do(propose(r.Epoch, "n0", Entry{Kind: Cold, Value: 0.5}), "")
		}
		do(Command{Decide: r.Last + 1}, "")
	}
	if len(r.History) < kept || len(r.History) > kept*5/4 || r.Earlier+uint64(len(r.History)) != 2*kept+52 || r.Find("n2049") == nil || r.Find("a") != nil {
		t.Errorf("%d kept, %d before", len(r.History), r.Earlier)
	}
}

// TestHolder tells a gatherer's story: it begins within its floor, prepares, is stopped past its lease, and never goes
// back.
func TestHolder(t *testing.T) {
	floor, old, next := bothShut, oldPolicy, newPolicy
	fit := func(p Policy) error {
		if p.Has(OnceOnly, "nowhere") {
			return fmt.Errorf("no index nowhere")
		}
		return nil
	}
	h := NewHolder(floor, Fence{Epoch: 3, Last: 3}, fit)
	acts := func(now float64, want Policy, leased bool) uint64 {
		t.Helper()
		p, way := h.Acts(now)
		if !slices.Equal(p, want) || (h.Until() > 0) != leased {
			t.Errorf("at %g: acts by %v, lease until %g", now, p, h.Until())
		}
		return way
	}
	acts(0, floor, false)
	if _, _, taken := h.Hear(0, 1, Word{Epoch: 2, Last: 2, Policy: old, Lease: 100}); taken {
		t.Error("went back behind what an earlier process had heard")
	}
	h.Hear(1, 5, Word{Epoch: 3, Last: 3, Policy: old, Lease: 100})
	first := acts(5, old, true)
	h.Hear(10, 20, Word{Epoch: 3, Last: 3, Policy: old, Change: &Change{Number: 4, Policy: next}, Lease: 100})
	acts(20, bothShut, true)
	if o := h.Hello(20); o.Settled || o.Holds.Change != 4 || !h.May(first, 20) {
		t.Errorf("%+v: lookups in hand may go on", o)
	}
	if _, _, taken := h.Hear(15, 21, Word{Epoch: 3, Last: 3, Policy: old, Lease: 100}); taken {
		t.Error("a word without the change came later and was taken")
	}
	_, now := h.Acts(22)
	h.Settle(now)
	if o := h.Hello(22); !o.Settled || h.May(first, 22) {
		t.Errorf("%+v", o)
	}
	acts(109, bothShut, true)
	acts(110, floor, false) // the lease counts from the question
	if o := h.Hello(111); o.Holds != (Fence{}) || o.Lapses != 1 || !o.Settled {
		t.Errorf("%+v", o)
	}
	h.Hear(50, 200, Word{Epoch: 4, Last: 4, Policy: next, Lease: 100}) // an answer that was long under way
	acts(200, floor, false)
	h.Hear(200, 201, Word{Epoch: 4, Last: 4, Policy: next, Lease: 100})
	last := acts(201, next, true)
	h.Hear(202, 203, Word{Epoch: 4, Last: 4, Policy: next, Change: &Change{Number: 5, Policy: must(t, Entry{Kind: OnceOnly, Of: "nowhere"})}, Lease: 100})
	acts(203, next, true) // what is refused is not acted by
	if o := h.Hello(204); o.Refuses != 5 || o.Holds.Change != 0 || !strings.Contains(o.Why, "no index nowhere") || !h.May(last, 204) {
		t.Errorf("%+v", o)
	}
	h.Hear(205, 206, Word{Epoch: 4, Last: 4, Policy: next, Change: &Change{Number: 5, Policy: Policy{{Kind: "newer"}}}, Lease: 100})
	if o := h.Hello(207); o.Refuses != 5 || !strings.Contains(o.Why, "newer is not known") {
		t.Errorf("%+v", o)
	}
	h.Hear(208, 209, Word{Epoch: 4, Last: 5, Policy: next, Lease: 100})
	acts(209, next, true)
	h.Hear(210, 211, Word{Epoch: 6, Last: 6, Policy: old, Lease: 100}) // decided, and never prepared here
	acts(211, old, true)
	if h.May(last, 211) || h.lapses != 2 {
		t.Errorf("what was decided before a change that was never prepared here may still go; %d lapses", h.lapses)
	}
	h.Hear(212, 213, Word{Epoch: 7, Last: 7, Policy: must(t, Entry{Kind: OnceOnly, Of: "nowhere"}), Lease: 100})
	acts(213, floor, false)
}

// TestDesk tells what a steward decides: it waits for all that may act by a lease, gives up for one that refuses, and
// names who lacks.
func TestDesk(t *testing.T) {
	r := &Record{Epoch: 1, Last: 1, Policy: oldPolicy}
	for _, name := range []string{"g1", "g2", "g3"} {
		if err := r.register(Member{Name: name, Floor: bothShut, Knows: Kinds()}); err != nil {
			t.Fatal(err)
		}
	}
	d := Open(r, 1000, 5000, 0)
	say := func(now float64, name, process string, holds Fence, settled bool, refuses uint64) Word {
		return d.Hear(now, Hello{Member: Member{Name: name, Floor: bothShut, Knows: Kinds()}, Process: process, Holds: holds, Settled: settled, Refuses: refuses, Why: "no such index"})
	}
	decide := func(now float64, decided, givenUp uint64, words string) {
		t.Helper()
		c, waits := d.Decide(now)
		got := Command{}
		if c != nil {
			got, waits = *c, waits+c.Word
		}
		if got.Decide != decided || got.GiveUp != givenUp || !strings.Contains(waits, words) {
			t.Errorf("at %g: %+v, %q", now, got, waits)
		}
	}
	decide(0, 0, 0, "")
	held := Fence{Epoch: 1, Last: 1}
	for _, g := range []string{"g1", "g2", "g3"} {
		if w := say(10, g, "a", held, true, 0); w.Lease != 1000 {
			t.Errorf("%+v", w)
		}
	}
	if w := d.Hear(10, Hello{Member: Member{Name: "stranger", Knows: Kinds()}, Process: "a"}); w.Lease != 0 {
		t.Errorf("a lease for one that is not known: %+v", w)
	}
	if _, err := r.Apply(Command{Propose: &Change{Base: 1, ID: "x", Policy: newPolicy}}); err != nil {
		t.Fatal(err)
	}
	number := r.Change.Number
	both := Fence{Epoch: 1, Last: 1, Change: number}
	decide(20, 0, 0, "not prepared yet: g1, g2, g3, stranger")
	say(30, "g1", "a", both, true, 0)
	say(30, "g2", "a", both, false, 0)
	decide(40, 0, 0, "not prepared yet: g2, g3, stranger")
	say(50, "g2", "a", both, true, 0)
	say(50, "g3", "b", Fence{}, true, 0) // a new process, that has heard nothing but the change; the one before may still act
	decide(60, 0, 0, "not prepared yet: g3, stranger")
	decide(1025, 0, 0, "not prepared yet: g3") // a clock may run fast
	say(1026, "g1", "a", both, true, 0)
	decide(1031, number, 0, "")
	if got := d.Standings(1031); len(got) != 3 || got[0].State != Prepared || got[2].State != Prepared {
		t.Errorf("%+v", got)
	}
	say(1040, "g1", "a", both, true, number)
	decide(1050, 0, number, "g1 refuses it: no such index")
	say(1060, "g1", "a", held, true, 0)
	decide(5019, number, 0, "") // all are alone by then
	say(5019, "g1", "a", held, true, 0)
	decide(5021, 0, number, "not prepared within 5 s: g1")
	if _, err := r.Apply(Command{GiveUp: number}); err != nil {
		t.Fatal(err)
	}
	if all, missing := d.Everywhere(5022, d.Standings(5022)); all || len(missing) != 1 {
		t.Errorf("%v, %v", all, missing)
	}
	say(5023, "g1", "a", Fence{Epoch: 1, Last: number}, true, 0)
	if all, missing := d.Everywhere(5024, d.Standings(5024)); !all {
		t.Errorf("%v", missing)
	}
	if got := d.Standings(5024); got[0].State != Holding || got[1].State != Alone || got[1].Since < 4900 {
		t.Errorf("%+v", got)
	}
	say(5030, "g2", "c", Fence{}, true, 0) // one that starts anew each second lacks nowhere
	if all, missing := d.Everywhere(5031, d.Standings(5031)); !all {
		t.Errorf("%v", missing)
	}
	later := Open(r, 1000, 5000, 6000)
	if all, missing := later.Everywhere(6500, later.Standings(6500)); all || !strings.Contains(fmt.Sprint(missing), "steward that led before") {
		t.Errorf("%v, %v", all, missing)
	}
}

// BenchmarkMeet is what a gatherer works out when a change of some forty lines is prepared.
func BenchmarkMeet(b *testing.B) {
	var p, q Policy
	for i := range 40 {
		p = append(p, Entry{Kind: Closed, Of: fmt.Sprintf("north/s%02d", i)})
		q = append(q, Entry{Kind: Closed, Of: fmt.Sprintf("north/s%02d", i+20)})
	}
	for b.Loop() {
		Intersect(p, q)
	}
}

// BenchmarkDesk is a steward's look at 3,000 gatherers while a change is prepared.
func BenchmarkDesk(b *testing.B) {
	r := &Record{}
	d := Open(r, 10_000, 60_000, 0)
	for i := range 3000 {
		m := Member{Name: fmt.Sprintf("g%04d", i), Floor: bothShut, Knows: Kinds()}
		r.Members = append(r.Members, m)
		d.Hear(1, Hello{Member: m, Process: "a"})
	}
	r.Apply(Command{Propose: &Change{Policy: newPolicy}})
	for b.Loop() {
		d.Decide(2)
	}
}

// TestNews: a question that waits is answered when a change is proposed, decided or given up, and not for a change that
// its gatherer refuses. One whose gatherer refuses nothing was not answered when no change was left.
func TestNews(t *testing.T) {
	change := &Change{Number: 8}
	for name, c := range map[string]struct {
		word  Word
		hello Hello
		want  bool
	}{
		"nothing":            {Word{Epoch: 7, Last: 7}, Hello{Holds: Fence{Epoch: 7, Last: 7}}, false},
		"proposed":           {Word{Epoch: 7, Last: 7, Change: change}, Hello{Holds: Fence{Epoch: 7, Last: 7}}, true},
		"prepared":           {Word{Epoch: 7, Last: 7, Change: change}, Hello{Holds: Fence{Epoch: 7, Last: 7, Change: 8}}, false},
		"decided":            {Word{Epoch: 8, Last: 8}, Hello{Holds: Fence{Epoch: 7, Last: 7, Change: 8}}, true},
		"given up":           {Word{Epoch: 7, Last: 8}, Hello{Holds: Fence{Epoch: 7, Last: 7, Change: 8}}, true},
		"refused":            {Word{Epoch: 7, Last: 7, Change: change}, Hello{Holds: Fence{Epoch: 7, Last: 7}, Refuses: 8}, false},
		"decided for others": {Word{Epoch: 8, Last: 8}, Hello{Holds: Fence{Epoch: 7, Last: 7}, Refuses: 8}, true},
		"given up, refused":  {Word{Epoch: 7, Last: 8}, Hello{Holds: Fence{Epoch: 7, Last: 7}, Refuses: 8}, true},
	} {
		if c.word.News(c.hello) != c.want {
			t.Errorf("%s: news %v", name, !c.want)
		}
	}
}
