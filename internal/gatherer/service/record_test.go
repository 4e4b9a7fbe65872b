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

// TestRecordUnderFaultsPassesRuleCheck records a gatherer through faults of many kinds. The trace is complete and
// violates none of the rules that a trace can show, and the report names the rule that was not checked.
func TestRecordUnderFaultsPassesRuleCheck(t *testing.T) {
	file := filepath.Join(t.TempDir(), "day.trace")
	operatorFile := &operator.File{Record: file, RecordMaxBytes: 64 << 20, BackgroundShare: 0.05,
		TwoPhase: []operator.TwoPhaseClass{{Class: "any", FirstPassShare: 0.3, TrialShare: 0.5}}}
	all := serveUnderLoad(t, operatorFile, func(f *experiment.Fleet) {
		wait := func() { time.Sleep(250 * time.Millisecond) } // lets load run; there is no condition to wait for
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
		t.Errorf("rule check failed: violations %v, incomplete %q", r.Violations, r.Incomplete)
	}
	if r.Queries < all.Sent*9/10 || r.Attempts < 2*all.Sent || r.FinalAnswers[rulecheck.QueryServed] == 0 {
		t.Errorf("%d queries sent, %d recorded with %d attempts, final answers %v",
			all.Sent, r.Queries, r.Attempts, r.FinalAnswers)
	}
	if len(r.Unchecked) != 1 || r.Unchecked[4] == "" {
		t.Errorf("rules not checked: %v, want only rule 4", r.Unchecked)
	}
}

// TestEndpointUpdateIsRecordedBeforeCallsThatDependOnIt guards against a record that lists calls to a server before the
// update that the server is in service again, so that the check reports calls to a draining server. All servers of its
// replica set drain until then, so that queries need it at once.
func TestEndpointUpdateIsRecordedBeforeCallsThatDependOnIt(t *testing.T) {
	const pause = 400 * time.Millisecond // longer than the drain grace period
	file := filepath.Join(t.TempDir(), "day.trace")
	operatorFile := &operator.File{Record: file, RecordMaxBytes: 64 << 20, BackgroundShare: 0.05}
	fleet, s, l := assembleGatherer(t, operatorFile, plainMachine, func(text string) string { return text })
	for i, update := range s.hooks.endpoints { // delay each hook after it has seen a server back in service
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
	requestsBefore := fleet.Servers["m2"].Counts().Requests
	fleet.SetPhase("in_service", "m2")
	<-played
	end()
	if fleet.Servers["m2"].Counts().Requests == requestsBefore {
		t.Error("no request was sent to the server after it was back in service")
	}
	if r := checkFile(t, file); !r.Passed() {
		t.Errorf("rule check failed: violations %v, incomplete %q", r.Violations, r.Incomplete)
	}
}

// TestRecordReportsSizeLimitReached checks that a record that reaches its size limit says so and does not pass the
// check, and that New fails if the record cannot be created.
func TestRecordReportsSizeLimitReached(t *testing.T) {
	file := filepath.Join(t.TempDir(), "day.trace")
	serveUnderLoad(t, &operator.File{Record: file, RecordMaxBytes: 8192, BackgroundShare: 0.05}, func(*experiment.Fleet) {})
	if r := checkFile(t, file); r.Passed() || !strings.Contains(r.Incomplete, "8192 bytes") {
		t.Errorf("the report does not name the limit of 8192 bytes: %+v", r)
	}
	if info, err := os.Stat(file); err != nil || info.Size() > 10_000 {
		t.Errorf("the record has %v bytes, want at most 10000: %v", info.Size(), err)
	}
	c, err := platform.Parse([]byte(configJSON("127.0.0.1:1", "127.0.0.1:1", fixtureSettings)),
		func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	_, err = New(c, &operator.File{Record: filepath.Join(file, "nowhere")}, logrus.New())
	if err == nil || !strings.Contains(err.Error(), "record: ") {
		t.Errorf("New returned %v, want a record error", err)
	}
}

// checkFile checks the rules on a recorded trace.
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
