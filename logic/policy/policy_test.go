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
	p, err := New(entries)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func drawPolicy(t *rapid.T, name string) Policy {
	var entries []Entry
	for _, k := range Kinds() {
		tr := traits[k]
		for _, of := range map[subjectKind][]string{"": {""}, "index": {"find", "claim"}, "place": {"north/", "north/s1", "south/s2"}, "host": {"s1", "s2"}}[tr.subject] {
			if rapid.IntRange(0, 2).Draw(t, name) == 0 {
				e := Entry{Kind: k, Subject: of}
				if !tr.flag {
					e.Value = tr.maxValue * float64(rapid.IntRange(0, 4).Draw(t, name)) / 4
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
		if ordered, err := New(m); err != nil || !reflect.DeepEqual(append(Policy{}, ordered...), append(Policy{}, m...)) {
			t.Fatalf("%v is out of order: %v", m, err)
		}
		if w := append(Violations(m, p), Violations(m, q)...); len(w) > 0 {
			t.Fatalf("the intersection of %v and %v does what one forbids: %v", p, q, w)
		}
		if len(Violations(r, p))+len(Violations(r, q)) == 0 && len(Violations(r, m)) > 0 {
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
	from := must(t, Entry{Kind: MinShare, Subject: "find", Value: 0.5}, Entry{Kind: RetryShare, Value: 0.04}, Entry{Kind: Closed, Subject: "north/s1"}, Entry{Kind: HostWeight, Subject: "s9", Value: 1})
	to := must(t, Entry{Kind: MinShare, Subject: "find", Value: 0.8}, Entry{Kind: RetryShare, Value: 0.05}, Entry{Kind: Closed, Subject: "south/"}, Entry{Kind: NoHedging, Subject: "resolve"}, Entry{Kind: NonIdempotent, Subject: "claim"},
		Entry{Kind: HostWeight, Subject: "s9", Value: 0.5}, Entry{Kind: "newer", Subject: "x"})
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
		"said twice":              {{Kind: NonIdempotent, Subject: "a"}, {Kind: NonIdempotent, Subject: "a"}},
		"lacks its index":         {{Kind: NonIdempotent}},
		"is of all":               {{Kind: RetryShare, Subject: "a", Value: 0.1}},
		"not within 0 and 1":      {{Kind: MinShare, Subject: "a", Value: 1.5}},
		"wants a zone":            {{Kind: Closed, Subject: "s1"}},
		"has no value":            {{Kind: Closed, Subject: "north/", Value: 1}},
		"least a -1 is not":       {{Kind: MinShare, Subject: "a", Value: -1}},
		"wants a zone and maybe ": {{Kind: Closed, Subject: "/s1"}},
	} {
		if _, err := New(entries); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", want, err)
		}
	}
}

// TestRecord tells a record's story: what is refused and why, and that a command sent twice counts once.
func TestRecord(t *testing.T) {
	r := &Record{}
	floor := must(t, Entry{Kind: Closed, Subject: "south/"}, Entry{Kind: NoHedging})
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
	do(Command{Register: &Member{Name: "g2", Fallback: floor, KnownKinds: Kinds()}}, "")
	do(Command{Register: &Member{Name: "g1", Fallback: floor, KnownKinds: []Kind{Closed, NoHedging}}}, "")
	do(propose(0, "a", Entry{Kind: Closed, Subject: "north/s1"}), "g1, cut off, would do what this forbids: closed north/s1")
	do(propose(0, "a", Entry{Kind: NonIdempotent, Subject: "x"}), "g1, cut off, would do")
	do(propose(0, "a"), "changes nothing")
	one := do(propose(0, "a", Entry{Kind: Closed, Subject: "south/s1"}, Entry{Kind: NoHedging, Subject: "find"}), "")
	if again := do(propose(0, "a", Entry{Kind: Closed, Subject: "south/s1"}, Entry{Kind: NoHedging, Subject: "find"}), ""); again != one || one.Number != 1 {
		t.Errorf("%+v, %+v", one, again)
	}
	do(propose(0, "b", Entry{Kind: NoHedging}), "change 1 is being prepared")
	do(Command{Register: &Member{Name: "g3", KnownKinds: Kinds()}}, "its floor allows what is forbidden: closed south/s1")
	do(Command{Commit: 2}, "change 2 is not being prepared")
	do(Command{Commit: 1}, "")
	do(Command{Commit: 1}, "")
	do(Command{Abandon: 1}, "change 1 is not being prepared")
	do(propose(0, "c", Entry{Kind: NoHedging}), "epoch 1 is in force")
	do(propose(1, "c", Entry{Kind: HostWeight, Subject: "s1", Value: 0.5}, Entry{Kind: NoHedging}), "g1 does not know the kind turns")
	do(Command{Forget: "g1"}, "")
	do(Command{Forget: "g1"}, "no gatherer g1")
	do(propose(1, "c", Entry{Kind: HostWeight, Subject: "s1", Value: 0.5}, Entry{Kind: NoHedging}), "")
	do(Command{Register: &Member{Name: "g1", Fallback: floor, KnownKinds: []Kind{Closed, NoHedging}}}, "does not know the kind turns")
	do(Command{Abandon: 2, Reason: "g2 refuses it"}, "")
	do(Command{}, "an empty command")
	if r.Epoch != 1 || r.LastEnded != 2 || len(r.History) != 2 || r.History[1].Outcome != Abandoned || r.History[1].OutcomeReason == "" || len(r.Members) != 1 {
		t.Errorf("%+v", r)
	}
	for n := range uint64(2*maxHistory + 50) {
		do(propose(r.Epoch, fmt.Sprint("n", n), Entry{Kind: WarmUpShare, Value: float64(n%2+1) / 2}), map[bool]string{true: "", false: "would do"}[len(r.Members) == 0])
		if n == 0 {
			do(Command{Forget: "g2"}, "")
			do(propose(r.Epoch, "n0", Entry{Kind: WarmUpShare, Value: 0.5}), "")
		}
		do(Command{Commit: r.LastEnded + 1}, "")
	}
	if len(r.History) < maxHistory || len(r.History) > maxHistory*5/4 || r.TrimmedChanges+uint64(len(r.History)) != 2*maxHistory+52 || r.Find("n2049") == nil || r.Find("a") != nil {
		t.Errorf("%d kept, %d before", len(r.History), r.TrimmedChanges)
	}
}

// TestHolder tells a gatherer's story: it begins within its floor, prepares, is stopped past its lease, and never goes
// back.
func TestHolder(t *testing.T) {
	floor, old, next := bothShut, oldPolicy, newPolicy
	fit := func(p Policy) error {
		if p.Has(NonIdempotent, "nowhere") {
			return fmt.Errorf("no index nowhere")
		}
		return nil
	}
	h := NewLeaseHolder(floor, Revision{Epoch: 3, LastEnded: 3}, fit)
	acts := func(now float64, want Policy, leased bool) uint64 {
		t.Helper()
		p, way := h.Effective(now)
		if !slices.Equal(p, want) || (h.ExpiresAt() > 0) != leased {
			t.Errorf("at %g: acts by %v, lease until %g", now, p, h.ExpiresAt())
		}
		return way
	}
	acts(0, floor, false)
	if _, _, taken := h.Handle(0, 1, Update{Epoch: 2, LastEnded: 2, Policy: old, Lease: 100}); taken {
		t.Error("went back behind what an earlier process had heard")
	}
	h.Handle(1, 5, Update{Epoch: 3, LastEnded: 3, Policy: old, Lease: 100})
	first := acts(5, old, true)
	h.Handle(10, 20, Update{Epoch: 3, LastEnded: 3, Policy: old, Pending: &Change{Number: 4, Policy: next}, Lease: 100})
	acts(20, bothShut, true)
	if o := h.Heartbeat(20); o.Drained || o.Applied.Pending != 4 || !h.Permits(first, 20) {
		t.Errorf("%+v: lookups in hand may go on", o)
	}
	if _, _, taken := h.Handle(15, 21, Update{Epoch: 3, LastEnded: 3, Policy: old, Lease: 100}); taken {
		t.Error("a word without the change came later and was taken")
	}
	_, now := h.Effective(22)
	h.MarkDrained(now)
	if o := h.Heartbeat(22); !o.Drained || h.Permits(first, 22) {
		t.Errorf("%+v", o)
	}
	acts(109, bothShut, true)
	acts(110, floor, false) // the lease counts from the question
	if o := h.Heartbeat(111); o.Applied != (Revision{}) || o.ExpiredLeases != 1 || !o.Drained {
		t.Errorf("%+v", o)
	}
	h.Handle(50, 200, Update{Epoch: 4, LastEnded: 4, Policy: next, Lease: 100}) // an answer that was long under way
	acts(200, floor, false)
	h.Handle(200, 201, Update{Epoch: 4, LastEnded: 4, Policy: next, Lease: 100})
	last := acts(201, next, true)
	h.Handle(202, 203, Update{Epoch: 4, LastEnded: 4, Policy: next, Pending: &Change{Number: 5, Policy: must(t, Entry{Kind: NonIdempotent, Subject: "nowhere"})}, Lease: 100})
	acts(203, next, true) // what is refused is not acted by
	if o := h.Heartbeat(204); o.RefusedChange != 5 || o.Applied.Pending != 0 || !strings.Contains(o.RefusalReason, "no index nowhere") || !h.Permits(last, 204) {
		t.Errorf("%+v", o)
	}
	h.Handle(205, 206, Update{Epoch: 4, LastEnded: 4, Policy: next, Pending: &Change{Number: 5, Policy: Policy{{Kind: "newer"}}}, Lease: 100})
	if o := h.Heartbeat(207); o.RefusedChange != 5 || !strings.Contains(o.RefusalReason, "newer is not known") {
		t.Errorf("%+v", o)
	}
	h.Handle(208, 209, Update{Epoch: 4, LastEnded: 5, Policy: next, Lease: 100})
	acts(209, next, true)
	h.Handle(210, 211, Update{Epoch: 6, LastEnded: 6, Policy: old, Lease: 100}) // decided, and never prepared here
	acts(211, old, true)
	if h.Permits(last, 211) || h.expiredLeases != 2 {
		t.Errorf("what was decided before a change that was never prepared here may still go; %d lapses", h.expiredLeases)
	}
	h.Handle(212, 213, Update{Epoch: 7, LastEnded: 7, Policy: must(t, Entry{Kind: NonIdempotent, Subject: "nowhere"}), Lease: 100})
	acts(213, floor, false)
}

// TestDesk tells what a steward decides: it waits for all that may act by a lease, gives up for one that refuses, and
// names who lacks.
func TestDesk(t *testing.T) {
	r := &Record{Epoch: 1, LastEnded: 1, Policy: oldPolicy}
	for _, name := range []string{"g1", "g2", "g3"} {
		if err := r.register(Member{Name: name, Fallback: bothShut, KnownKinds: Kinds()}); err != nil {
			t.Fatal(err)
		}
	}
	d := NewLeader(r, 1000, 5000, 0)
	say := func(now float64, name, process string, holds Revision, settled bool, refuses uint64) Update {
		return d.Handle(now, Heartbeat{Member: Member{Name: name, Fallback: bothShut, KnownKinds: Kinds()}, Incarnation: process, Applied: holds, Drained: settled, RefusedChange: refuses, RefusalReason: "no such index"})
	}
	decide := func(now float64, decided, givenUp uint64, words string) {
		t.Helper()
		c, waits := d.Decide(now)
		got := Command{}
		if c != nil {
			got, waits = *c, waits+c.Reason
		}
		if got.Commit != decided || got.Abandon != givenUp || !strings.Contains(waits, words) {
			t.Errorf("at %g: %+v, %q", now, got, waits)
		}
	}
	decide(0, 0, 0, "")
	held := Revision{Epoch: 1, LastEnded: 1}
	for _, g := range []string{"g1", "g2", "g3"} {
		if w := say(10, g, "a", held, true, 0); w.Lease != 1000 {
			t.Errorf("%+v", w)
		}
	}
	if w := d.Handle(10, Heartbeat{Member: Member{Name: "stranger", KnownKinds: Kinds()}, Incarnation: "a"}); w.Lease != 0 {
		t.Errorf("a lease for one that is not known: %+v", w)
	}
	if _, err := r.Apply(Command{Propose: &Change{Base: 1, ID: "x", Policy: newPolicy}}); err != nil {
		t.Fatal(err)
	}
	number := r.Pending.Number
	both := Revision{Epoch: 1, LastEnded: 1, Pending: number}
	decide(20, 0, 0, "not prepared yet: g1, g2, g3, stranger")
	say(30, "g1", "a", both, true, 0)
	say(30, "g2", "a", both, false, 0)
	decide(40, 0, 0, "not prepared yet: g2, g3, stranger")
	say(50, "g2", "a", both, true, 0)
	say(50, "g3", "b", Revision{}, true, 0) // a new process, that has heard nothing but the change; the one before may still act
	decide(60, 0, 0, "not prepared yet: g3, stranger")
	decide(1025, 0, 0, "not prepared yet: g3") // a clock may run fast
	say(1026, "g1", "a", both, true, 0)
	decide(1031, number, 0, "")
	if got := d.MemberStatuses(1031); len(got) != 3 || got[0].State != StatePrepared || got[2].State != StatePrepared {
		t.Errorf("%+v", got)
	}
	say(1040, "g1", "a", both, true, number)
	decide(1050, 0, number, "g1 refuses it: no such index")
	say(1060, "g1", "a", held, true, 0)
	decide(5019, number, 0, "") // all are alone by then
	say(5019, "g1", "a", held, true, 0)
	decide(5021, 0, number, "not prepared within 5 s: g1")
	if _, err := r.Apply(Command{Abandon: number}); err != nil {
		t.Fatal(err)
	}
	if all, missing := d.AppliedEverywhere(5022, d.MemberStatuses(5022)); all || len(missing) != 1 {
		t.Errorf("%v, %v", all, missing)
	}
	say(5023, "g1", "a", Revision{Epoch: 1, LastEnded: number}, true, 0)
	if all, missing := d.AppliedEverywhere(5024, d.MemberStatuses(5024)); !all {
		t.Errorf("%v", missing)
	}
	if got := d.MemberStatuses(5024); got[0].State != StateApplied || got[1].State != StateDetached || got[1].SinceLastPoll < 4900 {
		t.Errorf("%+v", got)
	}
	say(5030, "g2", "c", Revision{}, true, 0) // one that starts anew each second lacks nowhere
	if all, missing := d.AppliedEverywhere(5031, d.MemberStatuses(5031)); !all {
		t.Errorf("%v", missing)
	}
	later := NewLeader(r, 1000, 5000, 6000)
	if all, missing := later.AppliedEverywhere(6500, later.MemberStatuses(6500)); all || !strings.Contains(fmt.Sprint(missing), "steward that led before") {
		t.Errorf("%v, %v", all, missing)
	}
}

// BenchmarkMeet is what a gatherer works out when a change of some forty lines is prepared.
func BenchmarkMeet(b *testing.B) {
	var p, q Policy
	for i := range 40 {
		p = append(p, Entry{Kind: Closed, Subject: fmt.Sprintf("north/s%02d", i)})
		q = append(q, Entry{Kind: Closed, Subject: fmt.Sprintf("north/s%02d", i+20)})
	}
	for b.Loop() {
		Intersect(p, q)
	}
}

// BenchmarkDesk is a steward's look at 3,000 gatherers while a change is prepared.
func BenchmarkDesk(b *testing.B) {
	r := &Record{}
	d := NewLeader(r, 10_000, 60_000, 0)
	for i := range 3000 {
		m := Member{Name: fmt.Sprintf("g%04d", i), Fallback: bothShut, KnownKinds: Kinds()}
		r.Members = append(r.Members, m)
		d.Handle(1, Heartbeat{Member: m, Incarnation: "a"})
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
		word  Update
		hello Heartbeat
		want  bool
	}{
		"nothing":            {Update{Epoch: 7, LastEnded: 7}, Heartbeat{Applied: Revision{Epoch: 7, LastEnded: 7}}, false},
		"proposed":           {Update{Epoch: 7, LastEnded: 7, Pending: change}, Heartbeat{Applied: Revision{Epoch: 7, LastEnded: 7}}, true},
		"prepared":           {Update{Epoch: 7, LastEnded: 7, Pending: change}, Heartbeat{Applied: Revision{Epoch: 7, LastEnded: 7, Pending: 8}}, false},
		"decided":            {Update{Epoch: 8, LastEnded: 8}, Heartbeat{Applied: Revision{Epoch: 7, LastEnded: 7, Pending: 8}}, true},
		"given up":           {Update{Epoch: 7, LastEnded: 8}, Heartbeat{Applied: Revision{Epoch: 7, LastEnded: 7, Pending: 8}}, true},
		"refused":            {Update{Epoch: 7, LastEnded: 7, Pending: change}, Heartbeat{Applied: Revision{Epoch: 7, LastEnded: 7}, RefusedChange: 8}, false},
		"decided for others": {Update{Epoch: 8, LastEnded: 8}, Heartbeat{Applied: Revision{Epoch: 7, LastEnded: 7}, RefusedChange: 8}, true},
		"given up, refused":  {Update{Epoch: 7, LastEnded: 8}, Heartbeat{Applied: Revision{Epoch: 7, LastEnded: 7}, RefusedChange: 8}, true},
	} {
		if c.word.IsNewTo(c.hello) != c.want {
			t.Errorf("%s: news %v", name, !c.want)
		}
	}
}
