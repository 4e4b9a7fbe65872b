package policyclient_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"yokeroute/internal/config/policyfile"
	"yokeroute/internal/control/policyapi"
	"yokeroute/internal/control/policyclient"
	"yokeroute/internal/process"
	"yokeroute/internal/testbed/processtest"
	"yokeroute/logic/policy"
)

func TestMain(m *testing.M) {
	status := m.Run()
	processtest.Unbuild()
	os.Exit(status)
}

const (
	testTimeout   = 280 * time.Second
	statusTimeout = 10 * time.Second
)

const scenarioText = `hall north
hall south
kind box cores 4 queue 100
layout sets 2 shards 12
servers 8 kind box
index any share 70%% parts 4 need 75%% work 4ms spread 0.5 soft 500ms hard 1.5s
index once share 30%% parts 2 work 4ms soft 500ms hard 1.5s late 0%% effect once-only
clients retries 2 wait 50ms notice 300ms rate %d/s
discovery lag 100ms
budget free 6 share 5%% in 1s
cold from 20%% warms 5s falls 3 in 2s
time length 10min warm-up 0s
gatherers %d
seed 5
`

// Policies of the tests, which close one of two hosts. The fallback policy closes both, so a detached gatherer sends to
// neither.
const (
	fallbackText = "close zone north host s1\nclose zone south host s3\nclose zone west host s7\nno-copies\n"
	closeS1Text  = "close zone north host s1\n"
	closeS3Text  = "close zone south host s3\n"
)

// threeServers configures three policy servers with intervals that are long enough for a machine busy with other tests.
var threeServers = processtest.PolicyConfig{
	Servers:       3,
	Lease:         3 * time.Second,
	ChangeTimeout: time.Minute,
	Heartbeat:     50 * time.Millisecond,
}

// fleetTest runs a fleet of processes with policy servers under load.
type fleetTest struct {
	*testing.T
	fleet     *processtest.Fleet
	ctx       context.Context
	stopLoad  func()
	checkFrom float64 // check ignores sends before this time, in Unix milliseconds
}

// startFleet starts a fleet and waits until all gatherers apply the policy.
func startFleet(t *testing.T, gatherers, rate int, servers processtest.PolicyConfig) *fleetTest {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	f := &fleetTest{T: t, ctx: ctx}
	binary, err := processtest.Build("yokeroute")
	if err != nil {
		t.Fatal(err)
	}
	scenario, err := processtest.Parse(t.Name(), fmt.Sprintf(scenarioText, rate, gatherers), 0)
	if err != nil {
		t.Fatal(err)
	}
	if servers.Fallback == "" {
		servers.Fallback = fallbackText
	}
	f.fleet, err = processtest.StartFleet(ctx, scenario, processtest.Terms{
		Binary: binary,
		Folder: filepath.Join(t.TempDir(), "fleet"),
		State:  true,
		Policy: servers,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.fleet.Close)
	f.stopLoad = f.fleet.Load(ctx)
	t.Cleanup(f.stopLoad)
	f.awaitStatus("all gatherers apply the policy", func(s *policyapi.Status) bool {
		return s.AppliedEverywhere && len(s.Members) == gatherers
	})
	return f
}

// status returns the leader's status, or nil if no leader responds.
func (f *fleetTest) status() *policyapi.Status {
	ctx, cancel := context.WithTimeout(f.ctx, statusTimeout)
	defer cancel()
	s, err := f.fleet.PolicyClient().Status(ctx)
	if err != nil {
		return nil
	}
	return s
}

// awaitStatus waits until the leader's status fulfils a condition, which what describes.
func (f *fleetTest) awaitStatus(what string, condition func(s *policyapi.Status) bool) {
	f.Helper()
	var last *policyapi.Status
	err := process.WaitUntil(f.ctx, what, func() bool {
		last = f.status()
		return last != nil && condition(last)
	})
	if err != nil {
		f.Fatalf("%v: last status %+v; faults %v", err, last, f.fleet.Faults())
	}
}

// parse parses a policy.
func (f *fleetTest) parse(text string) policy.Policy {
	f.Helper()
	p, err := policyfile.Parse(f.Name(), text)
	if err != nil {
		f.Fatal(err)
	}
	return p
}

// propose proposes a policy that is based on the committed epoch.
func (f *fleetTest) propose(text string) *policy.Change {
	f.Helper()
	p := f.parse(text)
	s := f.status()
	if s == nil {
		f.Fatal("no policy server is the leader")
	}
	proposal := policyclient.Proposal{Base: s.Record.Epoch, Policy: p, Reason: f.Name()}
	c, err := f.fleet.PolicyClient().Propose(f.ctx, proposal)
	if err != nil {
		f.Fatal(err)
	}
	return c
}

// awaitApplied waits until a change is committed and applied everywhere.
func (f *fleetTest) awaitApplied(c *policy.Change) {
	f.Helper()
	onProgress := func(line string) { f.Logf("change %d: %s", c.Number, line) }
	ended, err := f.fleet.PolicyClient().Await(f.ctx, c.Number, onProgress)
	if err != nil || ended.Outcome != policy.Committed {
		f.Fatalf("change %d: %+v, %v; want it committed", c.Number, ended, err)
	}
}

// awaitServed waits until n more queries are served.
func (f *fleetTest) awaitServed(n int) {
	f.Helper()
	served := func() int { return f.fleet.Front.Total().Endings[processtest.Satisfied] }
	before := served()
	err := process.WaitUntil(f.ctx, "queries are served", func() bool { return served() >= before+n })
	if err != nil {
		f.Fatal(err)
	}
}

// awaitRequestsAt waits until a server has received one more request.
func (f *fleetTest) awaitRequestsAt(server string) {
	f.Helper()
	received := func() int { return f.fleet.Servers[server].Counts().Requests }
	before := received()
	err := process.WaitUntil(f.ctx, server+" receives a request", func() bool { return received() > before })
	if err != nil {
		f.Fatal(err)
	}
}

// check stops the load and checks the rules on the traces of all processes. It also checks that no gatherer did what
// the policy of another gatherer forbade. Each pair consists of a host that a change closed and a host that the same
// change opened: all sends to the first must come before all sends to the second.
func (f *fleetTest) check(pairs ...[2]string) {
	f.Helper()
	for _, pair := range pairs {
		f.awaitRequestsAt(pair[1])
	}
	f.stopLoad()
	if _, err := f.fleet.Verdict(); err != nil {
		f.Error(err)
	}
	sends, err := f.fleet.Sends()
	if err != nil {
		f.Fatal(err)
	}
	sends = slices.DeleteFunc(sends, func(s processtest.Send) bool { return s.At < f.checkFrom })
	counts := map[string]int{}
	for _, s := range sends {
		counts[s.Server]++
	}
	for _, pair := range pairs {
		var last, first processtest.Send
		for _, s := range sends {
			if s.Server == pair[0] {
				last = s
			}
		}
		for _, s := range slices.Backward(sends) {
			if s.Server == pair[1] {
				first = s
			}
		}
		if last.At == 0 || first.At == 0 {
			f.Errorf("no sends to at least one server of %v; sends by server: %v", pair, counts)
		}
		if last.At >= first.At {
			f.Errorf("%s sent to the closed server %s %.1f ms after %s had sent to the opened server %s",
				last.Gatherer, last.Server, last.At-first.At, first.Gatherer, first.Server)
		}
	}
}

// allApply returns a condition that holds if the given number of gatherers apply a change.
func allApply(gatherers int, c *policy.Change) func(s *policyapi.Status) bool {
	return func(s *policyapi.Status) bool {
		applying := 0
		for _, m := range s.Members {
			if m.State == policy.StateApplied && m.Applied.Epoch == c.Number {
				applying++
			}
		}
		return applying == gatherers
	}
}

func unixMilliseconds() float64 { return float64(time.Now().UnixMilli()) }
