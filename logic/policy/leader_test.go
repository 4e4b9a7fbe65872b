package policy

import (
	"fmt"
	"strings"
	"testing"
)

// leaderTest sends heartbeats to a leader and checks its decisions.
type leaderTest struct {
	*testing.T
	*Leader
}

// poll sends a heartbeat of a gatherer.
func (t leaderTest) poll(now float64, name, incarnation string, h Heartbeat) Update {
	h.Member = Member{Name: name, Fallback: bothClosed, KnownKinds: Kinds()}
	h.Incarnation = incarnation
	h.RefusalReason = "no such index"
	return t.Handle(now, h)
}

// checkDecision checks the leader's decision: the number of the change that it commits or abandons, 0 for
// neither, and a part of the reason.
func (t leaderTest) checkDecision(now float64, commit, abandon uint64, reason string) {
	t.Helper()
	command, waitingFor := t.Decide(now)
	got := Command{}
	if command != nil {
		got = *command
		waitingFor += command.Reason
	}
	if got.Commit != commit || got.Abandon != abandon || !strings.Contains(waitingFor, reason) {
		t.Errorf("at %g: command %+v, reason %q, want commit %d, abandon %d, reason with %q", now, got, waitingFor,
			commit, abandon, reason)
	}
}

// newLeaderTest returns a leader with a lease of 1 second, a change timeout of 5 seconds, and three members.
func newLeaderTest(t *testing.T) leaderTest {
	record := &Record{Epoch: 1, LastEnded: 1, Policy: oldPolicy}
	for _, name := range []string{"g1", "g2", "g3"} {
		if err := record.register(Member{Name: name, Fallback: bothClosed, KnownKinds: Kinds()}); err != nil {
			t.Fatal(err)
		}
	}
	return leaderTest{t, NewLeader(record, 1000, 5000, 0)}
}

// TestLeaderCommitsOrAbandonsThePendingChange tests that a leader waits for all gatherers that may hold a
// lease, names those that it waits for, and abandons a change that a gatherer refuses or that is not prepared
// in time.
func TestLeaderCommitsOrAbandonsThePendingChange(test *testing.T) {
	t := newLeaderTest(test)
	t.checkDecision(0, 0, 0, "")
	applied := Heartbeat{Applied: Revision{Epoch: 1, LastEnded: 1}, Drained: true}
	for _, g := range []string{"g1", "g2", "g3"} {
		if u := t.poll(10, g, "a", applied); u.Lease != 1000 {
			t.Errorf("%s received %+v, want a lease of 1000", g, u)
		}
	}
	unregistered := Heartbeat{Member: Member{Name: "stranger", KnownKinds: Kinds()}, Incarnation: "a"}
	if u := t.Handle(10, unregistered); u.Lease != 0 {
		t.Errorf("a gatherer that is not registered got a lease: %+v", u)
	}
	if _, err := t.Record.Apply(Command{Propose: &Change{Base: 1, ID: "x", Policy: newPolicy}}); err != nil {
		t.Fatal(err)
	}
	number := t.Record.Pending.Number
	prepared := Heartbeat{Applied: Revision{Epoch: 1, LastEnded: 1, Pending: number}, Drained: true}
	undrained := Heartbeat{Applied: prepared.Applied}
	t.checkDecision(20, 0, 0, "not prepared yet: g1, g2, g3, stranger")
	t.poll(30, "g1", "a", prepared)
	t.poll(30, "g2", "a", undrained)
	t.checkDecision(40, 0, 0, "not prepared yet: g2, g3, stranger")
	t.poll(50, "g2", "a", prepared)
	// A new incarnation has received no update without the change; the previous one may still hold a lease.
	t.poll(50, "g3", "b", Heartbeat{Drained: true})
	t.checkDecision(60, 0, 0, "not prepared yet: g3, stranger")
	t.checkDecision(1025, 0, 0, "not prepared yet: g3") // the leader's clock may be fast
	t.poll(1026, "g1", "a", prepared)
	t.checkDecision(1031, number, 0, "")
	statuses := t.MemberStatuses(1031)
	if len(statuses) != 3 || statuses[0].State != StatePrepared || statuses[2].State != StatePrepared {
		t.Errorf("statuses %+v, want three of which the first and the last are prepared", statuses)
	}

	refusing := prepared
	refusing.RefusedChange = number
	t.poll(1040, "g1", "a", refusing)
	t.checkDecision(1050, 0, number, "g1 refuses it: no such index")
	t.poll(1060, "g1", "a", applied)
	t.checkDecision(5019, number, 0, "") // all leases have expired by then
	t.poll(5019, "g1", "a", applied)
	t.checkDecision(5021, 0, number, "not prepared within 5 s: g1")
	if _, err := t.Record.Apply(Command{Abandon: number}); err != nil {
		t.Fatal(err)
	}
	t.checkStatuses(number)
}

// checkStatuses checks the gatherers' statuses after the change was abandoned.
func (t leaderTest) checkStatuses(number uint64) {
	t.Helper()
	if everywhere, missing := t.AppliedEverywhere(5022, t.MemberStatuses(5022)); everywhere || len(missing) != 1 {
		t.Errorf("applied everywhere: %v, missing %v, want one missing", everywhere, missing)
	}
	t.poll(5023, "g1", "a", Heartbeat{Applied: Revision{Epoch: 1, LastEnded: number}, Drained: true})
	if everywhere, missing := t.AppliedEverywhere(5024, t.MemberStatuses(5024)); !everywhere {
		t.Errorf("missing %v, want none", missing)
	}
	statuses := t.MemberStatuses(5024)
	if statuses[0].State != StateApplied || statuses[1].State != StateDetached || statuses[1].SinceLastPoll < 4900 {
		t.Errorf("statuses %+v, want the first applied, the second detached for at least 4900 ms", statuses)
	}
	t.poll(5030, "g2", "c", Heartbeat{Drained: true}) // a gatherer that restarts every second is not missing
	if everywhere, missing := t.AppliedEverywhere(5031, t.MemberStatuses(5031)); !everywhere {
		t.Errorf("missing %v, want none", missing)
	}
	newLeader := NewLeader(t.Record, 1000, 5000, 6000)
	everywhere, missing := newLeader.AppliedEverywhere(6500, newLeader.MemberStatuses(6500))
	if everywhere || !strings.Contains(fmt.Sprint(missing), "polled the previous leader") {
		t.Errorf("a new leader: applied everywhere %v, missing %v", everywhere, missing)
	}
}

// BenchmarkLeaderDecide measures the review of a pending change with 3,000 gatherers.
func BenchmarkLeaderDecide(b *testing.B) {
	record := &Record{}
	l := NewLeader(record, 10_000, 60_000, 0)
	for i := range 3000 {
		m := Member{Name: fmt.Sprintf("g%04d", i), Fallback: bothClosed, KnownKinds: Kinds()}
		record.Members = append(record.Members, m)
		l.Handle(1, Heartbeat{Member: m, Incarnation: "a"})
	}
	record.Apply(Command{Propose: &Change{Policy: newPolicy}})
	for b.Loop() {
		l.Decide(2)
	}
}
