package service

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
	"yokeroute/internal/process"
	"yokeroute/internal/testbed/experiment"
	"yokeroute/internal/testbed/standin/shardserver"
)

// fixtureSettings are platform settings with endpoint lists that are pushed.
const fixtureSettings = `{"tick":5000,"balancers":1,"myNumber":0,"zone":"a","discovery":"pushed",
 "classes":[{"name":"any","effect":"pure","goalTime":300000,"hardLimit":1000000,"lateValue":0.1},
  {"name":"once","effect":"side_effect","goalTime":300000,"hardLimit":1000000}],
 "domain":{"cells":2,"inARow":1,"shards":12,"partsACall":16,"completeFrom":[0.75,1],"classFloor":[0.75,1]},
 "limits":{"cancel":true,"connectTimeout":250000,"idleClose":15000000,"streamsPerConn":100,"attemptsCap":3,
  "secondCopies":true,"retryAfter":true,"maxRetryAfter":1000000},
 "rules":{"budgetShare":0.05,"extraFloor":6,"resendSpan":1000000,"drainGrace":250000,"answerSlack":5000000,
  "cold":5000000,"coldShare":0.2,"fall":2000000,"fallMultiple":3}}`

// configJSON returns a gatherer's platform configuration.
func configJSON(listen, discovery, settings string) string {
	return fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"1","settings":%s}`, listen, discovery, settings)
}

// startGatherer runs a gatherer in front of a fleet of six servers, with the configuration that rewriteConfig returns;
// end shuts it down gracefully.
func startGatherer(
	t *testing.T, operatorFile *operator.File, machine func(i int) experiment.Machine,
	rewriteConfig func(text string) string,
) (fleet *experiment.Fleet, address string, end func()) {
	t.Helper()
	fleet, s, l := assembleGatherer(t, operatorFile, machine, rewriteConfig)
	return fleet, l.Addr().String(), runGatherer(t, s, l)
}

// runGatherer runs an assembled gatherer; end shuts it down gracefully.
func runGatherer(t *testing.T, s *Service, l net.Listener) (end func()) {
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, l) }()
	return func() {
		stop()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
}

// assembleGatherer assembles a gatherer in front of a fleet of six servers, without running it.
func assembleGatherer(
	t *testing.T, operatorFile *operator.File, machine func(i int) experiment.Machine,
	rewriteConfig func(text string) string,
) (fleet *experiment.Fleet, s *Service, l net.Listener) {
	t.Helper()
	var machines []experiment.Machine
	for i := range 6 {
		machines = append(machines, machine(i))
	}
	fleet, err := experiment.StartFleet(machines)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	reportSchedulingOnFailure(t)
	l, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	config := rewriteConfig(configJSON(l.Addr().String(), fleet.Discovery.Address(), fixtureSettings))
	c, err := platform.Parse([]byte(config), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err = New(c, operatorFile, log)
	if err != nil {
		t.Fatal(err)
	}
	return fleet, s, l
}

// reportSchedulingOnFailure logs, if the test fails, how long its process ran and waited for a CPU: the gatherer, the
// servers and the load generators share the process.
func reportSchedulingOnFailure(t *testing.T) {
	waitedBefore := process.SchedulerWait(os.Getpid())
	usedBefore := process.UsageOf(os.Getpid()).CPU
	startedAt := time.Now()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("in %v this process ran for %.2f s and waited %v for a CPU", time.Since(startedAt),
				process.UsageOf(os.Getpid()).CPU-usedBefore, process.SchedulerWait(os.Getpid())-waitedBefore)
		}
	})
}

// serveUnderLoad runs a gatherer with an operator's file in front of a fleet of six servers under load, calls disturb
// meanwhile, and shuts the gatherer down gracefully. It returns the outcome of the load.
func serveUnderLoad(t *testing.T, operatorFile *operator.File, disturb func(f *experiment.Fleet)) *experiment.Outcome {
	t.Helper()
	fleet, address, end := startGatherer(t, operatorFile, func(i int) experiment.Machine {
		return experiment.Machine{Name: fmt.Sprint("m", i), Zone: "a", Kind: "k", ReplicaSet: i % 2, Config: shardserver.Config{
			Cores: 2, MeanWork: 8, WorkVariation: 0.5, QueueLimit: 40, FirstPassWork: 1, Seed: uint64(i),
		}}
	}, func(text string) string { return text })
	outcomes := make(chan *experiment.Outcome, 2)
	loadCtx, stopLoad := context.WithCancel(t.Context())
	for _, load := range []experiment.Load{
		{Origin: "any", Class: "any", Rate: 120, ShardRequests: 4, Seed: 0},
		{Origin: "once", Class: "once", Rate: 40, ShardRequests: 2, Seed: 1},
	} {
		load.Address = address
		load.Shards = 12
		load.Deadline = 500 * time.Millisecond
		go func() { outcomes <- experiment.Play(loadCtx, load, 2500*time.Millisecond, 300*time.Millisecond) }()
	}
	disturb(fleet)
	total := experiment.NewOutcome()
	for range 2 {
		total.Add(<-outcomes)
	}
	stopLoad()
	end()
	return total
}

// plainMachine returns a machine that answers fast.
func plainMachine(i int) experiment.Machine {
	return experiment.Machine{Name: fmt.Sprint("m", i), Zone: "a", Kind: "k", ReplicaSet: i % 2, Config: shardserver.Config{
		Cores: 2, MeanWork: 2, QueueLimit: 40, Seed: uint64(i),
	}}
}
