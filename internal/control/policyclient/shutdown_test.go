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

// shutdownLimit is the time within which a policy server has to end after SIGTERM.
const shutdownLimit = 10 * time.Second

// terminate sends SIGTERM to a policy server's process and checks that it exits with status 0. Another status is
// accepted if the server could not write its log.
func (f *fleetTest) terminate(s *processtest.PolicyServer) {
	f.Helper()
	ctx, cancel := context.WithTimeout(f.ctx, shutdownLimit)
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

// followers returns the policy servers other than the leader.
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
		f.Fatal("no policy server is the leader")
	}
	return leader
}

// TestLeaderEndsWithUncommittedEntry guards against a leader that does not end on SIGTERM because its followers answer
// heartbeats but cannot write, so that its log entries are never committed.
func TestLeaderEndsWithUncommittedEntry(t *testing.T) {
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
	f.awaitStatus("the pending change is due to be committed", func(s *policyapi.Status) bool {
		return s.WaitingFor == "" && s.Record.Pending != nil
	})
	time.Sleep(time.Second) // time for at least one review of the change, which cannot be observed
	f.terminate(leader)
	for _, s := range f.followers(leader) {
		f.terminate(s)
	}
}

// TestPolicyServersEndOnSIGTERM guards against policy servers that do not end on SIGTERM: just after they were resumed,
// if they receive it twice, while they are isolated with a proposal or a membership change that cannot be committed, if
// their log cannot be written, and while they wait for a peer at their start.
func TestPolicyServersEndOnSIGTERM(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 10, threeServers)
	propose := func(s *processtest.PolicyServer) {
		ctx, cancel := context.WithTimeout(f.ctx, time.Second)
		defer cancel()
		f.proposeTo(ctx, s)
	}
	for _, testCase := range []struct {
		name    string
		prepare func(s *processtest.PolicyServer) error
	}{
		{"just after it was resumed", func(s *processtest.PolicyServer) error {
			if err := s.Process().Stop(f.ctx); err != nil {
				return err
			}
			time.Sleep(time.Second) // another server may have become the leader by then
			return s.Process().Continue()
		}},
		{"isolated with a proposal", func(s *processtest.PolicyServer) error {
			err := s.Isolate(true)
			propose(s)
			return err
		}},
		{"isolated with a membership change", func(s *processtest.PolicyServer) error {
			err := s.Isolate(true)
			ctx, cancel := context.WithTimeout(f.ctx, time.Second)
			defer cancel()
			client := policyclient.Client{Servers: []string{s.HTTP}}
			f.Logf("removed from %s: %v", s.Name, client.RemoveServer(ctx, "w9")) // not a member, so nothing changes
			return err
		}},
		{"with a log that cannot be written", func(s *processtest.PolicyServer) error {
			s.Process().ExpectExit() // raft panics if it cannot save its term
			err := s.Process().RefuseWrites(true)
			propose(s)
			return err
		}},
		{"with a second SIGTERM", func(s *processtest.PolicyServer) error { return s.Process().Signal(syscall.SIGTERM) }},
	} {
		leader := f.awaitLeader()
		t.Logf("%s: %s", testCase.name, leader.Name)
		if err := testCase.prepare(leader); err != nil {
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
	waiting := f.fleet.PolicyServers[0]
	if err := waiting.Start(); err != nil {
		t.Fatal(err)
	}
	if err := process.WaitUntil(f.ctx, "the policy server waits for a peer", func() bool {
		return strings.Contains(waiting.Process().Log(), "waiting for another policy server")
	}); err != nil {
		t.Fatal(err)
	}
	f.terminate(waiting)
}

// proposeTo proposes a change to one policy server, and ignores the result.
func (f *fleetTest) proposeTo(ctx context.Context, s *processtest.PolicyServer) {
	client := policyclient.Client{Servers: []string{s.HTTP}}
	_, err := client.Propose(ctx, policyclient.Proposal{ID: "p" + s.Name, Policy: f.parse(closeS1Text)})
	f.Logf("proposed to %s: %v", s.Name, err)
}
