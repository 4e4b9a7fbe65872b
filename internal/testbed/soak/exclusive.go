package soak

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"yokeroute/internal/config/policyfile"
	"yokeroute/internal/control/policyclient"
	"yokeroute/internal/process"
	"yokeroute/internal/testbed/processtest"
	"yokeroute/logic/policy"
)

// Two policies of which each forbids what the other one allows: a gatherer sends to the server that is open by the one
// alone. Without a lease it sends to neither.
var exclusivePolicies = []exclusivePolicy{
	{open: "s4", text: "close zone north host s1\n"},
	{open: "s1", text: "close zone south host s4\n"},
}

const exclusiveFallback = "close zone north host s1\nclose zone south host s4\nno-copies\n"

type exclusivePolicy struct {
	open string // the server that the other one closes
	text string
}

// exclusiveDay is a day on which two policies that exclude each other are in force by turns.
type exclusiveDay struct {
	fleet       *processtest.Fleet
	from, until float64 // Unix milliseconds; before and after it neither server is closed
	opened      []string
}

// startExclusive puts the first of the policies in force.
func startExclusive(ctx context.Context, f *processtest.Fleet) (*exclusiveDay, error) {
	ctx, cancel := context.WithTimeout(ctx, policyRecoveryTime)
	defer cancel()
	var change *policy.Change
	var last error
	err := process.WaitUntil(ctx, "the first policy is taken", func() bool {
		change, last = proposeExclusive(ctx, f, 0)
		return last == nil
	})
	if err == nil {
		err = awaitApplied(ctx, f, change)
	}
	if err != nil {
		return nil, errors.Join(err, last)
	}
	return &exclusiveDay{fleet: f, from: unixMilliseconds()}, nil
}

// proposeExclusive proposes the n-th policy.
func proposeExclusive(ctx context.Context, f *processtest.Fleet, n int) (*policy.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	status, err := f.PolicyClient().Status(ctx)
	if err != nil {
		return nil, err
	}
	p, err := policyfile.Parse("soak", exclusivePolicies[n%len(exclusivePolicies)].text)
	if err != nil {
		return nil, err
	}
	return f.PolicyClient().Propose(ctx, policyclient.Proposal{
		ID:     fmt.Sprint("exclusive-", n),
		Base:   status.Record.Epoch,
		Policy: p,
	})
}

// end notes which of the policies have been in force. It has to be called before another one is proposed.
func (d *exclusiveDay) end(ctx context.Context) error {
	d.until = unixMilliseconds()
	ctx, cancel := context.WithTimeout(ctx, policyRecoveryTime)
	defer cancel()
	if err := d.fleet.AwaitLeader(ctx); err != nil {
		return err
	}
	status, err := d.fleet.PolicyClient().Status(ctx)
	if err != nil {
		return err
	}
	changes := status.Record.History
	if status.Record.Pending != nil { // it may be committed yet
		pending := *status.Record.Pending
		pending.Outcome = policy.Committed
		changes = append(slices.Clone(changes), pending)
	}
	for _, change := range changes {
		if change.Outcome == policy.Committed {
			d.opened = append(d.opened, openedBy(change.Policy))
		}
	}
	return nil
}

// openedBy returns the server that a policy leaves open and the other one closes.
func openedBy(p policy.Policy) string {
	for _, exclusive := range exclusivePolicies {
		parsed, err := policyfile.Parse("soak", exclusive.text)
		if err == nil && slices.Equal(parsed, p) {
			return exclusive.open
		}
	}
	return ""
}

// check checks what the gatherers have sent. The fleet has to be closed.
func (d *exclusiveDay) check() error {
	sends, err := d.fleet.Sends()
	if err != nil {
		return err
	}
	sends = slices.DeleteFunc(sends, func(s processtest.Send) bool {
		return s.At < d.from || s.At > d.until || !isExclusive(s.Server)
	})
	if len(sends) == 0 {
		return errors.New("nothing was sent by either of the policies that exclude each other")
	}
	return checkTurns(sends, d.opened)
}

// checkTurns wants servers to have been sent to in the order in which the policies in force opened them. A gatherer
// that acts by one policy while another acts by the other one shows as a server that is sent to out of its turn.
func checkTurns(sends []processtest.Send, opened []string) error {
	next := 0
	for i, send := range sends {
		if i > 0 && send.Server == sends[i-1].Server {
			continue
		}
		for next < len(opened) && opened[next] != send.Server {
			next++
		}
		if next == len(opened) {
			before := sends[max(i-1, 0)]
			return fmt.Errorf("%s sent to %s %.1f ms after %s had sent to %s, and no policy in force opened it between: "+
				"send %d, opened in turn: %v", send.Gatherer, send.Server, send.At-before.At, before.Gatherer,
				before.Server, i+1, opened)
		}
	}
	return nil
}

func isExclusive(server string) bool {
	return slices.ContainsFunc(exclusivePolicies, func(p exclusivePolicy) bool { return p.open == server })
}
