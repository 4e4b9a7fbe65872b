package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"yokeroute/internal/control/policyapi"
	"yokeroute/internal/control/policyclient"
	"yokeroute/internal/pcg"
	"yokeroute/internal/process"
	"yokeroute/internal/testbed/processtest"
	"yokeroute/logic/policy"
)

// policyConfig is that of the policy servers, with times that a busy machine can keep.
var policyConfig = processtest.PolicyConfig{
	Servers:       3,
	Fallback:      "no-copies\n",
	Lease:         3 * time.Second,
	ChangeTimeout: 5 * time.Second,
	Heartbeat:     50 * time.Millisecond,
}

const (
	policyFaultPause   = 300 * time.Millisecond // between two faults
	minPolicyFaultTime = 100 * time.Millisecond
	maxPolicyFaultTime = 1500 * time.Millisecond
	policyEndTimeout   = 10 * time.Second // of a policy server after SIGTERM
	proposalInterval   = 300 * time.Millisecond
	proposalTimeout    = time.Second
	policyRecoveryTime = 40 * time.Second // until all gatherers apply a change that is made after the last fault
)

// policyFault is something that is done to a policy server for a while.
type policyFault struct {
	name  string
	begin func(ctx context.Context, s *processtest.PolicyServer) error
	end   func(f *processtest.Fleet, s *processtest.PolicyServer) error
}

func startAgain(_ *processtest.Fleet, s *processtest.PolicyServer) error { return s.Start() }

var policyFaults = []policyFault{
	{"kill", func(_ context.Context, s *processtest.PolicyServer) error {
		s.Process().Kill()
		return nil
	}, startAgain},
	{"term", endPolicyServer, startAgain},
	{"stop", func(ctx context.Context, s *processtest.PolicyServer) error { return s.Process().Stop(ctx) },
		func(_ *processtest.Fleet, s *processtest.PolicyServer) error { return s.Process().Continue() }},
	{"stop and term", func(ctx context.Context, s *processtest.PolicyServer) error {
		if err := s.Process().Stop(ctx); err != nil {
			return err
		}
		if err := s.Process().Signal(syscall.SIGTERM); err != nil {
			return err
		}
		return endPolicyServer(ctx, s)
	}, startAgain},
	{"isolate", func(_ context.Context, s *processtest.PolicyServer) error { return s.Isolate(true) },
		func(f *processtest.Fleet, _ *processtest.PolicyServer) error { return f.MendPolicyServers() }},
	{"isolate and term", func(ctx context.Context, s *processtest.PolicyServer) error {
		if err := s.Isolate(true); err != nil {
			return err
		}
		return endPolicyServer(ctx, s)
	}, func(f *processtest.Fleet, s *processtest.PolicyServer) error {
		if err := f.MendPolicyServers(); err != nil {
			return err
		}
		return s.Start()
	}},
}

// endPolicyServer ends a policy server by SIGTERM and wants status 0.
func endPolicyServer(ctx context.Context, s *processtest.PolicyServer) error {
	ctx, cancel := context.WithTimeout(ctx, policyEndTimeout)
	defer cancel()
	p := s.Process()
	if err := p.Terminate(ctx); err != nil {
		return err
	}
	if err := p.Err(); err != nil && !processtest.EndedBeforeItBegan(p) {
		return fmt.Errorf("%s ended after SIGTERM with %w: %.2000s", p.Name, err, p.Log())
	}
	return nil
}

// disturbPolicyServers strikes one policy server after another until ctx ends.
func disturbPolicyServers(ctx context.Context, f *processtest.Fleet, seed uint64) error {
	random := pcg.New(seed ^ 0x9011c7)
	for ctx.Err() == nil {
		fault := policyFaults[random.Uint32()%uint32(len(policyFaults))]
		server := f.PolicyServers[random.Uint32()%uint32(len(f.PolicyServers))]
		took := minPolicyFaultTime + time.Duration(random.Float64()*float64(maxPolicyFaultTime-minPolicyFaultTime))
		f.Say("policy server %s: %s for %v", server.Name, fault.name, took.Round(time.Millisecond))
		if err := fault.begin(context.WithoutCancel(ctx), server); err != nil {
			return fmt.Errorf("%s: %s: %w", server.Name, fault.name, err)
		}
		wait(ctx, took)
		if err := fault.end(f, server); err != nil {
			return fmt.Errorf("%s: end of %s: %w", server.Name, fault.name, err)
		}
		wait(ctx, policyFaultPause)
	}
	return nil
}

// proposer proposes the n-th change of a day.
type proposer func(ctx context.Context, f *processtest.Fleet, n int) (*policy.Change, error)

// proposeChanges proposes one change after another until ctx ends, whatever becomes of them.
func proposeChanges(ctx context.Context, f *processtest.Fleet, propose proposer) error {
	for n := 1; ctx.Err() == nil; n++ {
		_, _ = propose(ctx, f, n) // there may be no leader
		wait(ctx, proposalInterval)
	}
	return nil
}

// propose proposes a change of a server's weight.
func propose(ctx context.Context, f *processtest.Fleet, n int) (*policy.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	status, err := f.PolicyClient().Status(ctx)
	if err != nil {
		return nil, err
	}
	weight := 0.5 + 0.01*float64(n%50)
	return f.PolicyClient().Propose(ctx, policyclient.Proposal{
		ID:     fmt.Sprint("change-", n),
		Base:   status.Record.Epoch,
		Policy: policy.Policy{{Kind: policy.HostWeight, Subject: "s1", Value: weight}},
	})
}

// awaitChange makes a change and waits until all gatherers apply it.
func awaitChange(ctx context.Context, f *processtest.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, policyRecoveryTime)
	defer cancel()
	if err := f.AwaitLeader(ctx); err != nil {
		return err
	}
	var change *policy.Change
	var last error
	err := process.WaitUntil(ctx, "a change is taken after the last fault", func() bool {
		change, last = propose(ctx, f, 1_000_000)
		return last == nil
	})
	if err != nil {
		return fmt.Errorf("%w: %w", err, last)
	}
	return awaitApplied(ctx, f, change)
}

// awaitApplied waits until all gatherers apply a change, or a later one.
func awaitApplied(ctx context.Context, f *processtest.Fleet, change *policy.Change) error {
	var last error
	var status *policyapi.Status
	err := process.WaitUntil(ctx, "all gatherers apply the change", func() bool {
		status, last = f.PolicyClient().Status(ctx)
		return last == nil && status.AppliedEverywhere && status.Record.Epoch >= change.Number
	})
	if err != nil {
		return fmt.Errorf("%w: change %d, %+v, %w", err, change.Number, status, last)
	}
	return nil
}

// wait waits for a while or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
