package service

import (
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
)

// TestRecordOfFaultsKeepsTheRules: a gatherer that records through troubles of all kinds leaves a trace that is whole
// and on which every rule that it can show is kept; what it cannot show is said.
func TestRecordOfFaultsKeepsTheRules(t *testing.T) {
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

// TestRecordSaysThatItsBoundIsReached: a record that reaches its bound says so and does not pass; one that cannot be
// written is told before anything is served.
func TestRecordSaysThatItsBoundIsReached(t *testing.T) {
	file := filepath.Join(t.TempDir(), "day.trace")
	serveUnderLoad(t, &operator.File{Record: file, RecordMaxBytes: 8192, BackgroundShare: 0.05}, func(*experiment.Fleet) {})
	if r := checkFile(t, file); r.Passed() || !strings.Contains(r.Incomplete, "8192 bytes") {
		t.Errorf("%+v", r)
	}
	if info, err := os.Stat(file); err != nil || info.Size() > 10_000 {
		t.Errorf("%v, %v", info.Size(), err)
	}
	c, err := platform.Parse([]byte(text("127.0.0.1:1", "127.0.0.1:1", settings)), func(string) string { return "" })
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
