package rollout_test

import (
	"context"
	"errors"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"yokeroute/internal/control/rollout"
	"yokeroute/internal/rulecheck"
	"yokeroute/internal/testbed/processtest"
	logic "yokeroute/logic/rollout"
)

// TestGoodProgramReachesEveryGatherer rolls a good program out to twelve processes in stages under load, while two
// servers slow down, a gatherer is killed and another can't be reached. All have to end with the new program, the
// rollout must not change more gatherers at once than allowed, and no non-idempotent query may run twice because of a
// replacement.
func TestGoodProgramReachesEveryGatherer(t *testing.T) {
	s := startFixture(t, 12, 150, "")
	file := s.plan("good", programStages)
	c := s.startController("run", file, "--output", "json")
	folder := filepath.Join(s.folder, "good")
	s.waitUntil(c, "the second stage starts", func() bool {
		st, err := rollout.ReadStatus(folder)
		return err == nil && st.Phase == logic.Updating && st.Stage == "some"
	})
	// Faults of the fleet during a stage, which the rollout does not cause.
	for _, name := range []string{"s1", "s4"} {
		s.fleet.Servers[name].SetSlowdown(6)
	}
	g := s.fleet.Gatherers[11]
	link, err := s.fleet.ReportLink(s.fleet.Gatherers[7])
	if err != nil {
		t.Fatal(err)
	}
	link.Change(func(w *processtest.Weather) { w.Silent = [2]bool{true, true} })
	if p := g.Process(); p.Alive() && g.Serves() {
		p.Kill()
		if err := g.Start(s.ctx); err != nil && g.Process().Alive() {
			t.Fatal(err)
		}
	}
	for _, name := range []string{"s1", "s4"} {
		s.fleet.Servers[name].SetSlowdown(1)
	}
	if err := link.Mend(); err != nil {
		t.Fatal(err)
	}
	if code, st := s.waitExit(c); code != 0 || st.Phase != logic.Completed {
		t.Fatalf("exit status %d, phase %s, want 0 and the rollout completed: %s", code, st.Phase, c.Log())
	}
	if v := s.countVersions(); v["2"] != 12 {
		t.Errorf("gatherers by version: %v, want 12 of version 2", v)
	}
	if _, maxConcurrent := s.steps.All(); maxConcurrent > 2 {
		t.Errorf("%d gatherers were changed at once, want at most 2", maxConcurrent)
	}
	page, err := rollout.HTMLReport(folder)
	if err != nil || !strings.Contains(string(page), "<svg") || !strings.Contains(string(page), "making g") {
		t.Errorf("HTML report lacks charts or steps: error %v: %.300s", err, page)
	}
	if j := s.finish(); j.Queries < 500 || j.FinalAnswers[rulecheck.QueryServed] < 400 {
		t.Errorf("got %d queries, want at least 500, of which 400 served: %v", j.Queries, j.FinalAnswers)
	}
}

// harmfulOperatorFile is an operator's file that makes a gatherer perform worse. It requests segment maps from an
// address where nobody listens, so that keys have no known owners and queries are rejected. The platform's settings
// stay unchanged.
const harmfulOperatorFile = "segments from 127.0.0.1:1\n"

// TestHarmfulSettingsAreRolledBack checks that harmful new settings are found in the first or second stage, while at
// most 3 gatherers have them, and that all gatherers are rolled back although one of the new ones can't be reached for
// a time during the rollback.
func TestHarmfulSettingsAreRolledBack(t *testing.T) {
	s := startFixture(t, 8, 150, harmfulOperatorFile)
	s.newProgram = s.oldProgram // only the settings differ
	file := s.plan("bad", strings.Replace(s.operatorFilePlan(""), "judged 100%", "judged 10%", 1))
	c := s.startController("run", file, "--output", "json")
	folder := filepath.Join(s.folder, "bad")
	s.waitUntil(c, "the rollback starts", func() bool {
		st, err := rollout.ReadStatus(folder)
		return err == nil && st.Phase == logic.RollingBack
	})
	st, err := rollout.ReadStatus(folder)
	if err != nil {
		t.Fatal(err)
	}
	var newGatherers []string
	for _, g := range st.Gatherers {
		if g.Variant == "new" {
			newGatherers = append(newGatherers, g.Name)
		}
	}
	if len(newGatherers) > 3 || !strings.Contains(st.Reason, "than the old") {
		t.Errorf("new gatherers at the rollback: %v, want at most 3; reason %q, want one about the old", newGatherers, st.Reason)
	}
	if len(newGatherers) > 0 { // a second fault during the rollback
		g := s.fleet.Gatherer(newGatherers[0])
		link, err := s.fleet.ReportLink(g)
		if err != nil {
			t.Fatal(err)
		}
		if err := link.Cut(true); err != nil {
			t.Fatal(err)
		}
		s.waitUntil(c, "the status shows that a gatherer can't be reached", func() bool {
			st, err := rollout.ReadStatus(folder)
			if err != nil {
				return false
			}
			for _, one := range st.Gatherers {
				if one.Name == g.Name && one.Fault != "" {
					return true
				}
			}
			return st.Phase == logic.RolledBack // its step may have ended before the link was cut
		})
		if err := link.Mend(); err != nil {
			t.Fatal(err)
		}
	}
	code, last := s.waitExit(c)
	if code != 1 || last.Phase != logic.RolledBack {
		t.Fatalf("exit status %d, phase %s, want 1 and the rollout rolled back: %s", code, last.Phase, c.Log())
	}
	for _, g := range last.Gatherers {
		if g.Variant != "old" {
			t.Errorf("%s serves as %s, want old", g.Name, g.Variant)
		}
	}
	s.finish()
}

// TestProgramsThatDieOrLeakAreRolledBack checks that a new program that starts well but crashes repeatedly, and one
// whose memory use grows, are found and that all gatherers are rolled back. A supervisor restarts gatherers that have
// crashed, as the platform would.
func TestProgramsThatDieOrLeakAreRolledBack(t *testing.T) {
	t.Parallel()
	for fault, wantReason := range map[string]string{
		"dies":  "processes end by themselves more often",
		"leaks": "takes more memory",
	} {
		faultyProgram, err := processtest.BuildWorse(fault, "2", true)
		if err != nil {
			t.Fatal(err)
		}
		s := startFixture(t, 6, 60, "")
		s.faultyProgram.Store(&faultyProgram)
		supervisorCtx, stopSupervisors := context.WithCancel(s.ctx)
		var supervisors sync.WaitGroup
		for _, g := range s.fleet.Gatherers {
			supervisors.Go(func() { s.supervise(supervisorCtx, g) })
		}
		// It takes some time until growing memory use is detected.
		file := s.plan(fault, strings.NewReplacer(
			"stage one count 1 least 1s", "stage one count 1 least 30s",
			"cost 100%", "cost 50%",
		).Replace(programStages))
		c := s.startController("run", file, "--output", "json")
		code, last := s.waitExit(c)
		stopSupervisors()
		supervisors.Wait()
		if code != 1 || last.Phase != logic.RolledBack || !strings.Contains(last.Reason, wantReason) {
			t.Errorf("%s: exit status %d, phase %s, reason %q; log: %s", fault, code, last.Phase, last.Reason, c.Log())
		}
		if v := s.countVersions(); v["2"] > 0 {
			t.Errorf("%s: gatherers by version: %v, want none of version 2", fault, v)
		}
		s.finish()
	}
}

// TestProgramThatFailsToStartIsRolledBack checks that a rollout whose steps to the new program fail, and one whose new
// program reports the old version, are rolled back with no more gatherers unavailable than allowed.
func TestProgramThatFailsToStartIsRolledBack(t *testing.T) {
	t.Parallel()
	s := startFixture(t, 4, 40, "")
	for name, fails := range map[string]func(order processtest.Step) error{
		"fails":    func(processtest.Step) error { return errors.New("no such image") },
		"the same": nil,
	} {
		s.newProgram = s.oldProgram
		s.beforeStep.Store(nil)
		if fails != nil {
			failNewSteps := func(order processtest.Step) error {
				if order.To == "new" {
					return fails(order)
				}
				return nil
			}
			s.beforeStep.Store(&failNewSteps)
		}
		plan := strings.NewReplacer("settle 90s", "settle 4s").Replace(programStages)
		file := s.plan(strings.ReplaceAll(name, " ", "-"), plan)
		c := s.startControllerProgram(s.fleet.Gatherers[0].Binary, "run", file, "--output", "json")
		code, last := s.waitExit(c)
		if code != 1 || last.Phase != logic.RolledBack || !strings.Contains(last.Reason, "does not come up") {
			t.Errorf("%s: exit status %d, phase %s, reason %q", name, code, last.Phase, last.Reason)
		}
		if v := s.countVersions(); v["1"] != 4 {
			t.Errorf("%s: gatherers by version: %v, want 4 of version 1", name, v)
		}
	}
	if _, maxConcurrent := s.steps.All(); maxConcurrent > 2 {
		t.Errorf("%d gatherers were changed at once, want at most 2", maxConcurrent)
	}
	s.finish()
}
