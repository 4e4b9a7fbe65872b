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

// fixtureSettings are a platform's, with lists that are pushed.
const fixtureSettings = `{"tick":5000,"balancers":1,"myNumber":0,"zone":"a","discovery":"pushed",
 "classes":[{"name":"any","effect":"pure","goalTime":300000,"hardLimit":1000000,"lateValue":0.1},
  {"name":"once","effect":"side_effect","goalTime":300000,"hardLimit":1000000}],
 "domain":{"cells":2,"inARow":1,"shards":12,"partsACall":16,"completeFrom":[0.75,1],"classFloor":[0.75,1]},
 "limits":{"cancel":true,"connectTimeout":250000,"idleClose":15000000,"streamsPerConn":100,"attemptsCap":3,
  "secondCopies":true,"retryAfter":true,"maxRetryAfter":1000000},
 "rules":{"budgetShare":0.05,"extraFloor":6,"resendSpan":1000000,"drainGrace":250000,"answerSlack":5000000,
  "cold":5000000,"coldShare":0.2,"fall":2000000,"fallMultiple":3}}`

// configJSON is a gatherer's configuration.
func configJSON(listen, discovery, settings string) string {
	return fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"1","settings":%s}`, listen, discovery, settings)
}

// startGatherer runs a gatherer before a fleet of six, by a configuration that the caller may turn into another; end
// ends it as a planned restart does.
func startGatherer(
	t *testing.T, own *operator.File, machine func(i int) experiment.Machine, turned func(text string) string,
) (fleet *experiment.Fleet, address string, end func()) {
	t.Helper()
	fleet, s, l := assembleGatherer(t, own, machine, turned)
	return fleet, l.Addr().String(), runGatherer(t, s, l)
}

// runGatherer runs a gatherer; end ends it as a planned restart does.
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

// assembleGatherer assembles a gatherer before a fleet of six, which does not run yet.
func assembleGatherer(
	t *testing.T, own *operator.File, machine func(i int) experiment.Machine, turned func(text string) string,
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
	configured := turned(configJSON(l.Addr().String(), fleet.Discovery.Address(), fixtureSettings))
	c, err := platform.Parse([]byte(configured), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err = New(c, own, log)
	if err != nil {
		t.Fatal(err)
	}
	return fleet, s, l
}

// reportSchedulingOnFailure has a test that fails tell whether its process got too little time: the gatherer, the
// servers and the load share it.
func reportSchedulingOnFailure(t *testing.T) {
	waitedBefore := process.SchedulerWait(os.Getpid())
	usedBefore := process.UsageOf(os.Getpid()).CPU
	startedAt := time.Now()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("in %v this process ran for %.2f s and waited %v for a processor", time.Since(startedAt),
				process.UsageOf(os.Getpid()).CPU-usedBefore, process.SchedulerWait(os.Getpid())-waitedBefore)
		}
	})
}

// serveUnderLoad runs a gatherer with an operator's file before a fleet of six, under a load, through whatever the
// caller does to it, and ends it as a planned restart does.
func serveUnderLoad(t *testing.T, own *operator.File, during func(f *experiment.Fleet)) *experiment.Outcome {
	t.Helper()
	fleet, address, end := startGatherer(t, own, func(i int) experiment.Machine {
		return experiment.Machine{Name: fmt.Sprint("m", i), Zone: "a", Kind: "k", ReplicaSet: i % 2, Config: shardserver.Config{
			Cores: 2, MeanWork: 8, WorkVariation: 0.5, QueueLimit: 40, FirstPassWork: 1, Seed: uint64(i),
		}}
	}, func(text string) string { return text })
	outs := make(chan *experiment.Outcome, 2)
	playing, enough := context.WithCancel(t.Context())
	for _, load := range []experiment.Load{
		{Origin: "any", Class: "any", Rate: 120, ShardRequests: 4, Seed: 0},
		{Origin: "once", Class: "once", Rate: 40, ShardRequests: 2, Seed: 1},
	} {
		load.Address = address
		load.Shards = 12
		load.Deadline = 500 * time.Millisecond
		go func() { outs <- experiment.Play(playing, load, 2500*time.Millisecond, 300*time.Millisecond) }()
	}
	during(fleet)
	all := experiment.NewOutcome()
	for range 2 {
		all.Add(<-outs)
	}
	enough()
	end()
	return all
}

// plainMachine is a machine that answers fast.
func plainMachine(i int) experiment.Machine {
	return experiment.Machine{Name: fmt.Sprint("m", i), Zone: "a", Kind: "k", ReplicaSet: i % 2, Config: shardserver.Config{
		Cores: 2, MeanWork: 2, QueueLimit: 40, Seed: uint64(i),
	}}
}
