package policy

import (
	"fmt"
	"strings"
	"testing"
)

// recordTest applies commands to a record.
type recordTest struct {
	*testing.T
	record *Record
}

// apply applies a command and checks that its error contains want, or that there is none if want is empty. A
// rejected command must not change the record.
func (t recordTest) apply(c Command, want string) *Change {
	t.Helper()
	before := fmt.Sprintf("%+v", *t.record)
	change, err := t.record.Apply(c)
	switch {
	case (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want):
		t.Errorf("%+v: error %v, want %q", c, err, want)
	case err != nil && before != fmt.Sprintf("%+v", *t.record):
		t.Errorf("%+v: the command was rejected but changed the record", c)
	}
	return change
}

// propose returns the command that proposes a policy.
func (t recordTest) propose(base uint64, id string, entries ...Entry) Command {
	return Command{Propose: &Change{Base: base, ID: id, Policy: mustNew(t, entries...)}}
}

// TestRecordAppliesCommands tests that changes are proposed, committed and abandoned and that members are
// registered and forgotten. A command that conflicts with the record is rejected with the reason, and a
// repeated command has no further effect.
func TestRecordAppliesCommands(test *testing.T) {
	t := recordTest{test, &Record{}}
	fallback := mustNew(t, Entry{Kind: Closed, Subject: "south/"}, Entry{Kind: NoHedging})
	oldMember := Member{Name: "g1", Fallback: fallback, KnownKinds: []Kind{Closed, NoHedging}}
	t.apply(Command{Register: &Member{Name: "g2", Fallback: fallback, KnownKinds: Kinds()}}, "")
	t.apply(Command{Register: &oldMember}, "")
	t.apply(t.propose(0, "a", Entry{Kind: Closed, Subject: "north/s1"}),
		"if g1 loses contact, its fallback policy permits what this change forbids: closed north/s1")
	t.apply(t.propose(0, "a", Entry{Kind: NonIdempotent, Subject: "x"}),
		"if g1 loses contact, its fallback policy permits what this change forbids")
	t.apply(t.propose(0, "a"), "changes nothing")

	first := t.propose(0, "a", Entry{Kind: Closed, Subject: "south/s1"}, Entry{Kind: NoHedging, Subject: "find"})
	proposed := t.apply(first, "")
	if repeated := t.apply(first, ""); repeated != proposed || proposed.Number != 1 {
		t.Errorf("proposed %+v, repeated %+v, want the same change with number 1", proposed, repeated)
	}
	t.apply(t.propose(0, "b", Entry{Kind: NoHedging}), "change 1 is being prepared")
	t.apply(Command{Register: &Member{Name: "g3", KnownKinds: Kinds()}},
		"its floor allows what is forbidden: closed south/s1")
	t.apply(Command{Commit: 2}, "change 2 is not being prepared")
	t.apply(Command{Commit: 1}, "")
	t.apply(Command{Commit: 1}, "")
	t.apply(Command{Abandon: 1}, "change 1 is not being prepared")

	t.apply(t.propose(0, "c", Entry{Kind: NoHedging}), "epoch 1 is in force")
	second := t.propose(1, "c", Entry{Kind: HostWeight, Subject: "s1", Value: 0.5}, Entry{Kind: NoHedging})
	t.apply(second, "g1 does not know the kind turns")
	t.apply(Command{Forget: "g1"}, "")
	t.apply(Command{Forget: "g1"}, "no gatherer g1")
	t.apply(second, "")
	t.apply(Command{Register: &oldMember}, "does not know the kind turns")
	t.apply(Command{Abandon: 2, Reason: "g2 refuses it"}, "")
	t.apply(Command{}, "the command is empty")
	r := t.record
	if r.Epoch != 1 || r.LastEnded != 2 || len(r.History) != 2 || len(r.Members) != 1 {
		t.Errorf("%+v, want epoch 1, 2 ended changes and 1 member", r)
	}
	if r.History[1].Outcome != Abandoned || r.History[1].OutcomeReason == "" {
		t.Errorf("%+v, want an abandoned change with a reason", r.History[1])
	}
	t.checkTrimmedHistory()
}

// checkTrimmedHistory applies some 2,000 more changes, of which the record keeps some 1,000.
func (t recordTest) checkTrimmedHistory() {
	t.Helper()
	r := t.record
	for n := range uint64(2*maxHistory + 50) {
		change := t.propose(r.Epoch, fmt.Sprint("n", n), Entry{Kind: WarmUpShare, Value: float64(n%2+1) / 2})
		if len(r.Members) == 0 {
			t.apply(change, "")
		} else {
			t.apply(change, "its fallback policy permits what this change forbids")
		}
		if n == 0 {
			t.apply(Command{Forget: "g2"}, "")
			t.apply(t.propose(r.Epoch, "n0", Entry{Kind: WarmUpShare, Value: 0.5}), "")
		}
		t.apply(Command{Commit: r.LastEnded + 1}, "")
	}
	kept := len(r.History)
	if kept < maxHistory || kept > maxHistory*5/4 || r.TrimmedChanges+uint64(kept) != 2*maxHistory+52 {
		t.Errorf("%d kept, %d trimmed, want %d in all", kept, r.TrimmedChanges, 2*maxHistory+52)
	}
	if r.Find("n2049") == nil || r.Find("a") != nil {
		t.Errorf("found %v for n2049 and %v for a, want only the former", r.Find("n2049"), r.Find("a"))
	}
}
