package policyclient_test

import (
	"context"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"yokeroute/internal/control/policyapi"
	"yokeroute/internal/process"
	"yokeroute/internal/testbed/processtest"
	"yokeroute/logic/policy"
)

// TestQueriesAreServedWithoutQuorum checks an outage of the policy servers. While two of three are down no change is
// committed and queries are served; a pending change is committed once they are back. While all are down for longer
// than a lease, gatherers apply their fallback policies and serve queries, including gatherers that restart meanwhile
// with a torn, stale or lost state. A policy server with a stale disk does not start.
func TestQueriesAreServedWithoutQuorum(t *testing.T) {
	f := startFleet(t, 4, 60, threeServers)
	servers := f.fleet.PolicyServers
	f.awaitApplied(f.propose(closeS1Text))
	f.checkFrom = unixMilliseconds()
	f.awaitServed(20)
	leader := f.fleet.Leader(f.ctx)
	if err := f.fleet.Gatherers[3].Process().Stop(f.ctx); err != nil { // so that the change stays pending
		t.Fatal(err)
	}
	second := f.propose(closeS3Text)
	var followers []*processtest.PolicyServer
	for _, s := range servers {
		if s != leader {
			followers = append(followers, s)
			s.Process().Kill()
		}
	}
	staleDisk := filepath.Join(t.TempDir(), "old")
	if err := followers[0].CopyState(staleDisk); err != nil {
		t.Fatal(err)
	}
	f.fleet.Gatherers[3].Process().Continue()
	ctx, cancel := context.WithTimeout(f.ctx, 6*time.Second)
	if _, err := f.fleet.PolicyClient().Status(ctx); err == nil {
		t.Error("one policy server of three reports a status as the leader while the other two are down")
	}
	cancel()
	f.awaitServed(20)
	leader.Process().Kill()
	f.restartWithStates("torn", "gone", "stale")
	f.awaitServed(50) // under the fallback policies
	for _, s := range servers {
		if err := s.Start(); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.fleet.AwaitLeader(f.ctx); err != nil {
		t.Fatal(err)
	}
	f.awaitApplied(second)
	f.awaitServed(20)
	f.checkStaleDisk(followers[0], staleDisk)
	f.awaitApplied(f.propose(closeS3Text + "no-copies\n")) // two of three servers form a quorum
	f.check([2]string{"s3", "s1"})
}

// restartWithStates kills one gatherer for each state, and restarts it with its state folder in that state.
func (f *fleetTest) restartWithStates(states ...string) {
	f.Helper()
	for i, state := range states {
		g := f.fleet.Gatherers[i]
		g.Kill()
		if err := g.Age(state); err != nil {
			f.Fatal(err)
		}
		if err := g.Start(f.ctx); err != nil {
			f.Fatal(err)
		}
	}
}

// checkStaleDisk restarts a policy server with an earlier copy of its disk, and checks that it exits: the other servers
// know that it has been started since the copy was made.
func (f *fleetTest) checkStaleDisk(s *processtest.PolicyServer, staleDisk string) {
	f.Helper()
	s.Process().Kill()
	if err := s.RestoreState(staleDisk); err != nil {
		f.Fatal(err)
	}
	if err := s.Start(); err != nil {
		f.Fatal(err)
	}
	p := s.Process()
	p.ExpectExit()
	if err := p.Wait(f.ctx); err != nil {
		f.Fatal(err)
	}
	if !strings.Contains(p.Log(), "the disk is older than this policy server") {
		f.Errorf("policy server with a stale disk ended with %v, log: %s", p.Err(), p.Log())
	}
}

// TestPartitionWithQuorumCommitsChange checks a network partition with the leader and two gatherers on one side, and
// two policy servers and the other gatherers on the other side. The side with the quorum commits a change. The
// gatherers on the other side apply their fallback policies, and the change once the partition has ended.
func TestPartitionWithQuorumCommitsChange(t *testing.T) {
	t.Parallel()
	const gatherers = 6
	f := startFleet(t, gatherers, 60, threeServers)
	f.awaitApplied(f.propose(closeS1Text))
	f.checkFrom = unixMilliseconds()
	f.awaitServed(20)
	leader := f.fleet.Leader(f.ctx)
	if err := leader.Isolate(false); err != nil {
		t.Fatal(err)
	}
	for _, s := range f.fleet.PolicyServers {
		for i, g := range f.fleet.Gatherers {
			if (s == leader) != (i < 2) {
				link := f.fleet.Link(g.Name + ":" + s.Name)
				// Both directions or only one of them fail: some gatherers can receive from a server that they
				// cannot reach.
				link.Change(func(w *processtest.Weather) { w.Silent = [2]bool{i%2 == 0, true} })
			}
		}
	}
	err := process.WaitUntil(f.ctx, "another policy server is the leader", func() bool {
		current := f.fleet.Leader(f.ctx)
		return current != nil && current != leader
	})
	if err != nil {
		t.Fatal(err)
	}
	second := f.propose(closeS3Text)
	f.awaitApplied(second)
	f.awaitServed(30)
	if err := f.fleet.MendPolicyServers(); err != nil {
		t.Fatal(err)
	}
	f.awaitStatus("all gatherers apply the second change", func(s *policyapi.Status) bool {
		for _, m := range s.Members {
			if m.State != policy.StateApplied || m.Applied.Epoch != second.Number {
				return false
			}
		}
		return len(s.Members) == gatherers
	})
	f.awaitServed(20)
	f.check([2]string{"s3", "s1"})
}
