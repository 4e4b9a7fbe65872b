package service

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
	"yokeroute/internal/rulecheck"
	"yokeroute/internal/testbed/experiment"
	"yokeroute/internal/testbed/standin/shardserver"
)

const settings = `{"tick":5000,"balancers":1,"myNumber":0,"zone":"a","discovery":"pushed",
 "classes":[{"name":"any","effect":"pure","goalTime":300000,"hardLimit":1000000,"lateValue":0.1},{"name":"once","effect":"side_effect","goalTime":300000,"hardLimit":1000000}],
 "domain":{"cells":2,"inARow":1,"shards":12,"partsACall":16,"completeFrom":[0.75,1],"classFloor":[0.75,1]},
 "limits":{"cancel":true,"connectTimeout":250000,"idleClose":15000000,"streamsPerConn":100,"attemptsCap":3,"secondCopies":true,"retryAfter":true,"maxRetryAfter":1000000},
 "rules":{"budgetShare":0.05,"extraFloor":6,"resendSpan":1000000,"drainGrace":250000,"answerSlack":5000000,"cold":5000000,"coldShare":0.2,"fall":2000000,"fallMultiple":3}}`

// text is a gatherer's configuration.
func text(listen, discovery, settings string) string {
	return fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"1","settings":%s}`, listen, discovery, settings)
}

// start runs a gatherer before a fleet of six, by a configuration that the caller may turn into another; end ends it
// as a planned restart does.
func start(t *testing.T, own *operator.File, machine func(i int) experiment.Machine, turned func(text string) string) (fleet *experiment.Fleet, address string, end func()) {
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
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c, err := platform.Parse([]byte(turned(text(l.Addr().String(), fleet.Discovery.Address(), settings))), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := New(c, own, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, l) }()
	return fleet, l.Addr().String(), func() {
		stop()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
}

// serve runs a gatherer with an operator's file before a fleet of six, under a load, through whatever the caller
// does to it, and ends it as a planned restart does.
func serve(t *testing.T, own *operator.File, trouble func(f *experiment.Fleet)) *experiment.Outcome {
	t.Helper()
	fleet, address, end := start(t, own, func(i int) experiment.Machine {
		return experiment.Machine{Name: fmt.Sprint("m", i), Zone: "a", Kind: "k", ReplicaSet: i % 2, Config: shardserver.Config{Cores: 2, MeanWork: 8, WorkVariation: 0.5, QueueLimit: 40, FirstPassWork: 1, Seed: uint64(i)}}
	}, func(text string) string { return text })
	outs := make(chan *experiment.Outcome, 2)
	playing, enough := context.WithCancel(t.Context())
	for i, index := range []string{"any", "once"} {
		go func() {
			outs <- experiment.Play(playing, experiment.Load{Origin: index, Address: address, Class: index, Rate: []float64{120, 40}[i], ShardRequests: []int{4, 2}[i], Shards: 12, Deadline: 500 * time.Millisecond, Seed: uint64(i)},
				2500*time.Millisecond, 300*time.Millisecond)
		}()
	}
	trouble(fleet)
	all := experiment.NewOutcome()
	for range 2 {
		all.Add(<-outs)
	}
	enough()
	end()
	return all
}

// TestRecord: a gatherer that records through troubles of all kinds leaves a trace that is whole and on which every
// rule that it can show is kept; what it cannot show is said.
func TestRecord(t *testing.T) {
	file := filepath.Join(t.TempDir(), "day.trace")
	own := &operator.File{Record: file, RecordMaxBytes: 64 << 20, BackgroundShare: 0.05, TwoPhase: []operator.TwoPhaseClass{{Class: "any", FirstPassShare: 0.3, TrialShare: 0.5}}}
	all := serve(t, own, func(f *experiment.Fleet) {
		wait := func() { time.Sleep(250 * time.Millisecond) } // what happens in between is load, not a condition waited for
		wait()
		f.Servers["m0"].Kill()
		f.Servers["m1"].SetHung(true)
		wait()
		f.SetPhase("terminating", "m2")
		f.Servers["m3"].SetFailureShare(0.5)
		wait()
		if err := f.Servers["m0"].Restart(); err != nil {
			t.Error(err)
		}
		f.AnnounceRestart("m0")
		f.Servers["m5"].SetSlowdown(10)
		wait()
		f.SetPhase("terminated", "m2")
		f.Servers["m1"].SetHung(false)
	})
	r := checkFile(t, file)
	if !r.Passed() {
		t.Errorf("%v %s", r.Violations, r.Incomplete)
	}
	if r.Queries < all.Sent*9/10 || r.Attempts < 2*all.Sent || r.FinalAnswers[rulecheck.QueryServed] == 0 {
		t.Errorf("%d lookups sent, %d recorded with %d calls, %v", all.Sent, r.Queries, r.Attempts, r.FinalAnswers)
	}
	if len(r.Unchecked) != 1 || r.Unchecked[4] == "" {
		t.Errorf("not checked: %v", r.Unchecked)
	}
}

// TestRecordEnds: a record that reaches its bound says so and does not pass; one that cannot be written is told
// before anything is served.
func TestRecordEnds(t *testing.T) {
	file := filepath.Join(t.TempDir(), "day.trace")
	serve(t, &operator.File{Record: file, RecordMaxBytes: 8192, BackgroundShare: 0.05}, func(*experiment.Fleet) {})
	if r := checkFile(t, file); r.Passed() || !strings.Contains(r.Incomplete, "8192 bytes") {
		t.Errorf("%+v", r)
	}
	if info, err := os.Stat(file); err != nil || info.Size() > 10_000 {
		t.Errorf("%v, %v", info.Size(), err)
	}
	c, err := platform.Parse([]byte(`{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","seed":"1","settings":`+settings+`}`), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	if _, err := New(c, &operator.File{Record: filepath.Join(file, "nowhere")}, logrus.New()); err == nil || !strings.Contains(err.Error(), "record: ") {
		t.Errorf("%v", err)
	}
}

func checkFile(t *testing.T, file string) *rulecheck.Report {
	t.Helper()
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	r, err := rulecheck.Check(f)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestNewUndoesWhatItBeganOnFailure: when a part can't be assembled, what the parts before it hold is given back: the
// address of the reports can be listened on, and the folder of the state opened, again.
func TestNewUndoesWhatItBeganOnFailure(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	c, err := platform.Parse([]byte(text("127.0.0.1:1", "127.0.0.1:1", settings)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	folder := t.TempDir()
	own := &operator.File{
		State: filepath.Join(folder, "state"), NameRetention: 60_000, JournalMaxBytes: 1 << 20,
		ReportAddress: address, Record: filepath.Join(folder, "nowhere", "day.trace"),
	}
	for range 2 {
		_, err := New(c, own, log)
		if !errors.Is(err, os.ErrNotExist) || !strings.HasPrefix(err.Error(), "record: ") {
			t.Fatalf("%v", err)
		}
	}
	listener, err = net.Listen("tcp", address)
	if err != nil {
		t.Fatalf("the address of reports is still taken: %v", err)
	}
	listener.Close()
}
