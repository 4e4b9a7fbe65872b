package policyclient_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"yokeroute/internal/control/policyclient"
	"yokeroute/internal/process"
	"yokeroute/logic/policy"
)

const (
	operationTimeout = 12 * time.Second
	checkTimeout     = 60 * time.Second
	minChanges       = 4

	minOperationsPerFault = 12
)

// input is an operation on the record: a read of the highest number that was assigned to a change, or a proposal.
type input struct {
	read bool
	id   string
}

// output is an operation's result.
type output struct {
	number  uint64 // number that was read or that the proposal was assigned; 0 for a rejected proposal
	unknown bool   // whether it is unknown if the proposal took effect
}

// operationLog records the operations of several clients.
type operationLog struct {
	*fleetTest
	startedAt time.Time

	mu         sync.Mutex
	operations []porcupine.Operation
}

// run executes operations of one client until ctx is done.
func (l *operationLog) run(ctx context.Context, client int) {
	for n := 0; ctx.Err() == nil; n++ {
		if n%2 == 0 {
			l.read(ctx, client)
		} else {
			l.proposeChange(ctx, client, fmt.Sprintf("%d-%d", client, n))
		}
	}
}

// read reads the record. A read that fails has no effect and no result, so it is not logged.
func (l *operationLog) read(ctx context.Context, client int) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	call := l.now()
	s, err := l.fleet.PolicyClient().Status(ctx)
	if err != nil {
		return
	}
	out := output{number: s.Record.LastEnded}
	if s.Record.Pending != nil {
		out.number++
	}
	l.add(client, input{read: true}, out, call, l.now())
}

// proposeChange reads the epoch of the record and proposes a change that is based on it.
func (l *operationLog) proposeChange(ctx context.Context, client int, id string) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	s, err := l.fleet.PolicyClient().Status(ctx)
	if err != nil {
		return
	}
	call := l.now()
	p := policy.Policy{{Kind: policy.HostWeight, Subject: id, Value: 0.5}}
	c, err := l.fleet.PolicyClient().Propose(ctx, policyclient.Proposal{ID: id, Base: s.Record.Epoch, Policy: p})
	out := output{}
	end := l.now()
	var rejected policy.RejectedError
	switch {
	case err == nil:
		out.number = c.Number
	case !errors.As(err, &rejected): // the proposal may have taken effect, or may still do so
		out.unknown = true
		end = int64(time.Hour)
	}
	l.add(client, input{id: id}, out, call, end)
}

func (l *operationLog) now() int64 { return time.Since(l.startedAt).Nanoseconds() }

func (l *operationLog) add(client int, in input, out output, call, end int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: end}
	l.operations = append(l.operations, o)
}

func (l *operationLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.operations)
}

// changes returns the number of proposals that are known to have been accepted.
func (l *operationLog) changes() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.operations {
		if !o.Input.(input).read && o.Output.(output).number > 0 {
			n++
		}
	}
	return n
}

// disturb kills, suspends or isolates the leader, waits until the other servers have served minOperationsPerFault
// operations, and undoes the fault.
func (l *operationLog) disturb(i int) {
	l.Helper()
	leader := l.fleet.Leader(l.ctx)
	if leader == nil {
		leader = l.fleet.PolicyServers[i%3]
	}
	before := l.count()
	inject := []func() error{
		func() error { leader.Process().Kill(); return nil },
		func() error { return leader.Process().Stop(l.ctx) },
		func() error { return leader.Isolate(true) },
	}
	undo := []func() error{
		leader.Start,
		func() error { leader.Process().Continue(); return nil },
		l.fleet.MendPolicyServers,
	}
	if err := inject[i%3](); err != nil {
		l.Fatal(err)
	}
	othersContinue := func() bool { return l.count() >= before+minOperationsPerFault }
	if err := process.WaitUntil(l.ctx, "the other policy servers serve operations", othersContinue); err != nil {
		l.Fatal(err)
	}
	if err := undo[i%3](); err != nil {
		l.Fatal(err)
	}
	if err := l.fleet.AwaitLeader(l.ctx); err != nil {
		l.Fatal(err)
	}
}

// TestRecordIsLinearizable checks that concurrent proposals and reads of several operators are linearizable while
// policy servers are killed, suspended and isolated.
func TestRecordIsLinearizable(t *testing.T) {
	t.Parallel()
	servers := threeServers
	servers.ChangeTimeout = 5 * time.Second
	l := &operationLog{fleetTest: startFleet(t, 2, 10, servers), startedAt: time.Now()}
	ctx, stop := context.WithCancel(l.ctx)
	var wait sync.WaitGroup
	defer wait.Wait()
	defer stop()
	for client := range 3 {
		wait.Go(func() { l.run(ctx, client) })
	}
	for i := range 4 {
		l.disturb(i)
	}
	enoughChanges := func() bool { return l.changes() >= minChanges }
	if err := process.WaitUntil(l.ctx, "enough changes are accepted", enoughChanges); err != nil {
		t.Fatal(err)
	}
	stop()
	wait.Wait()
	known := slices.DeleteFunc(slices.Clone(l.operations), func(o porcupine.Operation) bool {
		return o.Output.(output).unknown
	})
	unknown := len(l.operations) - len(known)
	result, _ := porcupine.CheckOperationsVerbose(recordModel(uint64(unknown)), known, checkTimeout)
	if result != porcupine.Ok {
		t.Errorf("history of %d operations, %d with an unknown result: check result %v, want %v",
			len(l.operations), unknown, result, porcupine.Ok)
	}
	t.Logf("%d operations, %d changes, %d with an unknown result", len(l.operations), l.changes(), unknown)
	l.check()
}

// recordModel returns a model of the record as a register that holds the highest number that was assigned to a change.
// A number is assigned once, and a read returns a number that is not lower than those assigned before. Proposals with
// an unknown result are not in the history, but each of them may have been assigned a number at any time.
func recordModel(unknown uint64) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, in, out any) (bool, any) {
			last, o := state.(uint64), out.(output)
			switch {
			case in.(input).read:
				return o.number >= last && o.number <= last+unknown, max(o.number, last)
			case o.number == 0:
				return true, last
			}
			return o.number > last && o.number <= last+1+unknown, o.number
		},
	}
}
