package service

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/internal/rulecheck"
	"yokeroute/internal/testbed/experiment"
)

// TestRecordUnderFaultsPassesRuleCheck: a gatherer that records through troubles of all kinds leaves a trace that is whole
// and on which every rule that it can show is kept; what it cannot show is said.
func TestRecordUnderFaultsPassesRuleCheck(t *testing.T) {
	file := filepath.Join(t.TempDir(), "day.trace")
	own := &operator.File{Record: file, RecordMaxBytes: 64 << 20, BackgroundShare: 0.05,
		TwoPhase: []operator.TwoPhaseClass{{Class: "any", FirstPassShare: 0.3, TrialShare: 0.5}}}
	all := serveUnderLoad(t, own, func(f *experiment.Fleet) {
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

// TestEndpointUpdateIsRecordedBeforeCallsThatDependOnIt guards against a record that accuses a gatherer of calls to a
// draining server, as it holds them before the news that the server is in service again. All of its replica set drain
// until then, so that queries need it at once.
func TestEndpointUpdateIsRecordedBeforeCallsThatDependOnIt(t *testing.T) {
	const pause = 400 * time.Millisecond // more than the grace of a drain
	file := filepath.Join(t.TempDir(), "day.trace")
	own := &operator.File{Record: file, RecordMaxBytes: 64 << 20, BackgroundShare: 0.05}
	fleet, s, l := assembleGatherer(t, own, plainMachine, func(text string) string { return text })
	for i, update := range s.hooks.endpoints {
		s.hooks.endpoints[i] = func(event gather.EndpointList, addresses []shardcall.Address) {
			update(event, addresses)
			if !event.Full && event.Endpoints[0].State == gather.Running {
				time.Sleep(pause)
			}
		}
	}
	end := runGatherer(t, s, l)
	load := experiment.Load{Origin: "any", Class: "any", Address: l.Addr().String(), Rate: 120, ShardRequests: 4, Shards: 12,
		Deadline: 500 * time.Millisecond}
	played := make(chan *experiment.Outcome, 1)
	go func() { played <- experiment.Play(t.Context(), load, 4*time.Second, 300*time.Millisecond) }()
	time.Sleep(pause)
	fleet.SetPhase("terminating", "m0", "m2", "m4")
	time.Sleep(2 * pause)
	before := fleet.Servers["m2"].Counts().Requests
	fleet.SetPhase("in_service", "m2")
	<-played
	end()
	if fleet.Servers["m2"].Counts().Requests == before {
		t.Error("nothing was sent to the server that is in service again")
	}
	if r := checkFile(t, file); !r.Passed() {
		t.Errorf("%v %s", r.Violations, r.Incomplete)
	}
}

// TestRecordReportsSizeLimitReached: a record that reaches its bound says so and does not pass; one that cannot be
// written is told before anything is served.
func TestRecordReportsSizeLimitReached(t *testing.T) {
	file := filepath.Join(t.TempDir(), "day.trace")
	serveUnderLoad(t, &operator.File{Record: file, RecordMaxBytes: 8192, BackgroundShare: 0.05}, func(*experiment.Fleet) {})
	if r := checkFile(t, file); r.Passed() || !strings.Contains(r.Incomplete, "8192 bytes") {
		t.Errorf("%+v", r)
	}
	if info, err := os.Stat(file); err != nil || info.Size() > 10_000 {
		t.Errorf("%v, %v", info.Size(), err)
	}
	c, err := platform.Parse([]byte(configJSON("127.0.0.1:1", "127.0.0.1:1", fixtureSettings)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	_, err = New(c, &operator.File{Record: filepath.Join(file, "nowhere")}, logrus.New())
	if err == nil || !strings.Contains(err.Error(), "record: ") {
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
