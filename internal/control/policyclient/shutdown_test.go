package policyclient_test

import (
	"context"
	"strings"
	"syscall"
	"testing"
	"time"

	"yokeroute/internal/control/policyapi"
	"yokeroute/internal/control/policyclient"
	"yokeroute/internal/process"
	"yokeroute/internal/testbed/processtest"
)

// endTimeout is within which a policy server has to end after SIGTERM.
const endTimeout = 10 * time.Second

// terminate ends a policy server's process by SIGTERM and wants status 0.
func (f *fleetTest) terminate(s *processtest.PolicyServer) {
	f.Helper()
	ctx, cancel := context.WithTimeout(f.ctx, endTimeout)
	defer cancel()
	p := s.Process()
	if err := p.Terminate(ctx); err != nil {
		f.Errorf("%.8000v", err)
		p.Kill()
		return
	}
	if err := p.Err(); err != nil && !strings.Contains(p.Log(), "file too large") {
		f.Errorf("%s: %v: %s", s.Name, err, p.Log())
	}
}

// followers are the policy servers beside the leader.
func (f *fleetTest) followers(leader *processtest.PolicyServer) (followers []*processtest.PolicyServer) {
	for _, s := range f.fleet.PolicyServers {
		if s != leader {
			followers = append(followers, s)
		}
	}
	return followers
}

// awaitLeader waits for a leader and returns it.
func (f *fleetTest) awaitLeader() (leader *processtest.PolicyServer) {
	f.Helper()
	if err := f.fleet.AwaitLeader(f.ctx); err != nil {
		f.Fatal(err)
	}
	for leader == nil && f.ctx.Err() == nil {
		leader = f.fleet.Leader(f.ctx)
	}
	if leader == nil {
		f.Fatal("no leader")
	}
	return leader
}

// TestLeaderEndsWithEntryThatIsNotCommitted guards against a policy server that does not end on SIGTERM: its followers
// answer heartbeats and can't write, so that what it decides is never committed.
func TestLeaderEndsWithEntryThatIsNotCommitted(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 10, threeServers)
	leader := f.awaitLeader()
	gatherer := f.fleet.Gatherers[0].Process()
	if err := gatherer.Stop(f.ctx); err != nil { // so that the change stays pending
		t.Fatal(err)
	}
	f.propose(closeS1Text)
	for _, s := range f.followers(leader) {
		if err := s.Process().RefuseWrites(true); err != nil {
			t.Fatal(err)
		}
	}
	gatherer.Continue()
	f.awaitStatus("the change is to be committed", func(s *policyapi.Status) bool { return s.WaitingFor == "" && s.Record.Pending != nil })
	time.Sleep(time.Second) // for a review or more, of which nothing tells
	f.terminate(leader)
	for _, s := range f.followers(leader) {
		f.terminate(s)
	}
}

// TestPolicyServersEndAtAnyMoment guards against policy servers that do not end on SIGTERM: just after they went on,
// twice, cut off with a proposal or a membership change that can't be committed, without a log that can be written,
// and while they wait for a peer at their start.
func TestPolicyServersEndAtAnyMoment(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 10, threeServers)
	propose := func(s *processtest.PolicyServer) {
		ctx, cancel := context.WithTimeout(f.ctx, time.Second)
		defer cancel()
		f.proposeTo(ctx, s)
	}
	for _, moment := range []struct {
		name string
		come func(s *processtest.PolicyServer) error
	}{
		{"just after it went on", func(s *processtest.PolicyServer) error {
			if err := s.Process().Stop(f.ctx); err != nil {
				return err
			}
			time.Sleep(time.Second) // another one leads then, or not yet
			return s.Process().Continue()
		}},
		{"cut off with a proposal", func(s *processtest.PolicyServer) error {
			err := s.Isolate(true)
			propose(s)
			return err
		}},
		{"while a membership change is under way", func(s *processtest.PolicyServer) error {
			err := s.Isolate(true)
			ctx, cancel := context.WithTimeout(f.ctx, time.Second)
			defer cancel()
			client := policyclient.Client{Servers: []string{s.HTTP}}
			f.Logf("removed from %s: %v", s.Name, client.RemoveServer(ctx, "w9")) // never a member: nothing changes
			return err
		}},
		{"without a log that can be written", func(s *processtest.PolicyServer) error {
			s.Process().ExpectExit() // raft panics where it can't save its term
			err := s.Process().RefuseWrites(true)
			propose(s)
			return err
		}},
		{"a second time", func(s *processtest.PolicyServer) error { return s.Process().Signal(syscall.SIGTERM) }},
	} {
		leader := f.awaitLeader()
		t.Logf("%s: %s", moment.name, leader.Name)
		if err := moment.come(leader); err != nil {
			t.Fatal(err)
		}
		f.terminate(leader)
		if err := f.fleet.MendPolicyServers(); err != nil {
			t.Fatal(err)
		}
		if err := leader.Start(); err != nil {
			t.Fatal(err)
		}
	}
	f.awaitLeader()
	for _, s := range f.fleet.PolicyServers {
		f.terminate(s)
	}
	alone := f.fleet.PolicyServers[0]
	if err := alone.Start(); err != nil {
		t.Fatal(err)
	}
	if err := process.WaitUntil(f.ctx, "it waits for a peer", func() bool {
		return strings.Contains(alone.Process().Log(), "waiting for another policy server")
	}); err != nil {
		t.Fatal(err)
	}
	f.terminate(alone)
}

// proposeTo proposes a change to one policy server, whatever becomes of it.
func (f *fleetTest) proposeTo(ctx context.Context, s *processtest.PolicyServer) {
	client := policyclient.Client{Servers: []string{s.HTTP}}
	_, err := client.Propose(ctx, policyclient.Proposal{ID: "p" + s.Name, Policy: f.parse(closeS1Text)})
	f.Logf("proposed to %s: %v", s.Name, err)
}
