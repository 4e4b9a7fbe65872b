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

// TestGoodProgramReachesEveryGatherer: twelve processes go from one program to another in stages under load, while a
// hall's servers slow down, a gatherer is killed and another can't be reached. It ends with all new; no more are out
// by its doing than allowed; no non-idempotent query ran twice through any of the replacements.
func TestGoodProgramReachesEveryGatherer(t *testing.T) {
	s := startScene(t, 12, 150, "")
	file := s.plan("good", programStages)
	c := s.startController("run", file, "--output", "json")
	folder := filepath.Join(s.folder, "good")
	s.waitUntil(c, "the second stage begins", func() bool {
		st, err := rollout.ReadStatus(folder)
		return err == nil && st.Phase == logic.Updating && st.Stage == "some"
	})
	// In the midst of a stage: troubles of the fleet's own.
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
	if code, st := s.waitEnd(c); code != 0 || st.Phase != logic.Completed {
		t.Fatalf("status %d, %s: %s", code, st.Phase, c.Log())
	}
	if v := s.countVersions(); v["2"] != 12 {
		t.Errorf("serving: %v", v)
	}
	if _, most := s.steps.All(); most > 2 {
		t.Errorf("%d gatherers were out at once", most)
	}
	page, err := rollout.HTMLReport(folder)
	if err != nil || !strings.Contains(string(page), "<svg") || !strings.Contains(string(page), "making g") {
		t.Errorf("%v: %.300s", err, page)
	}
	if j := s.finish(); j.Queries < 500 || j.FinalAnswers[rulecheck.QueryServed] < 400 {
		t.Errorf("%d lookups, %v", j.Queries, j.FinalAnswers)
	}
}

// harmful is an operator's file by which a gatherer does worse: it looks for the owners of keys that nobody has, so
// that its lookups find none and are nacked. The platform's settings stay as they are.
const harmful = "segments from 127.0.0.1:1\n"

// TestHarmfulSettingsAreRolledBack: new settings that harm are found at the first stage or the second, and all
// gatherers are made old again, though one of the new can't be reached while it goes back and another is killed. Few
// lookups were harmed.
func TestHarmfulSettingsAreRolledBack(t *testing.T) {
	s := startScene(t, 8, 150, harmful)
	s.newProgram = s.oldProgram // settings alone
	file := s.plan("bad", strings.Replace(s.settingsOnly(""), "judged 100%", "judged 10%", 1))
	c := s.startController("run", file, "--output", "json")
	folder := filepath.Join(s.folder, "bad")
	s.waitUntil(c, "it goes back", func() bool {
		st, err := rollout.ReadStatus(folder)
		return err == nil && st.Phase == logic.RollingBack
	})
	st, err := rollout.ReadStatus(folder)
	if err != nil {
		t.Fatal(err)
	}
	var news []string
	for _, g := range st.Gatherers {
		if g.Variant == "new" {
			news = append(news, g.Name)
		}
	}
	if len(news) > 3 || !strings.Contains(st.Reason, "than the old") {
		t.Errorf("found at %v: %s", news, st.Reason)
	}
	if len(news) > 0 { // a second fault while it goes back
		g := s.fleet.Gatherer(news[0])
		link, err := s.fleet.ReportLink(g)
		if err != nil {
			t.Fatal(err)
		}
		if err := link.Cut(true); err != nil {
			t.Fatal(err)
		}
		s.waitUntil(c, "it is seen that one can't be reached", func() bool {
			st, err := rollout.ReadStatus(folder)
			if err != nil {
				return false
			}
			for _, one := range st.Gatherers {
				if one.Name == g.Name && one.Fault != "" {
					return true
				}
			}
			return st.Phase == logic.RolledBack // its step was made before the cut
		})
		if err := link.Mend(); err != nil {
			t.Fatal(err)
		}
	}
	code, last := s.waitEnd(c)
	if code != 1 || last.Phase != logic.RolledBack {
		t.Fatalf("status %d, %s: %s", code, last.Phase, c.Log())
	}
	for _, g := range last.Gatherers {
		if g.Variant != "old" {
			t.Errorf("%s serves as %s", g.Name, g.Variant)
		}
	}
	s.finish()
}

// TestProgramsThatDieOrLeakAreRolledBack: a new program that comes up well and dies again and again, and one that
// takes more and more memory, are found while few gatherers have them, and all are made old again. A platform's
// supervisor starts what has died.
func TestProgramsThatDieOrLeakAreRolledBack(t *testing.T) {
	t.Parallel()
	for fault, words := range map[string]string{
		"dies":  "processes end by themselves more often",
		"leaks": "takes more memory",
	} {
		worse, err := processtest.BuildWorse(fault, "2", true)
		if err != nil {
			t.Fatal(err)
		}
		s := startScene(t, 6, 60, "")
		s.worse.Store(&worse)
		watched, enough := context.WithCancel(s.ctx)
		var supervisors sync.WaitGroup
		for _, g := range s.fleet.Gatherers {
			supervisors.Go(func() { s.supervise(watched, g) })
		}
		// Memory takes its time to show.
		file := s.plan(fault, strings.NewReplacer(
			"stage one count 1 least 1s", "stage one count 1 least 30s",
			"cost 100%", "cost 50%",
		).Replace(programStages))
		c := s.startController("run", file, "--output", "json")
		code, last := s.waitEnd(c)
		enough()
		supervisors.Wait()
		if code != 1 || last.Phase != logic.RolledBack || !strings.Contains(last.Reason, words) {
			t.Errorf("%s: status %d, %s: %s; %s", fault, code, last.Phase, last.Reason, c.Log())
		}
		if v := s.countVersions(); v["2"] > 0 {
			t.Errorf("%s: serving: %v", fault, v)
		}
		s.finish()
	}
}

// TestProgramThatDoesNotComeUpIsRolledBack: a new program that does not come up, one that comes up as the old, and a
// command that hangs are each found at the first gatherers, with no more out than may be.
func TestProgramThatDoesNotComeUpIsRolledBack(t *testing.T) {
	t.Parallel()
	s := startScene(t, 4, 40, "")
	for name, fails := range map[string]func(order processtest.Step) error{
		"fails":    func(processtest.Step) error { return errors.New("no such image") },
		"the same": nil,
	} {
		s.newProgram = s.oldProgram
		s.beforeStep.Store(nil)
		if fails != nil {
			tear := func(order processtest.Step) error {
				if order.To == "new" {
					return fails(order)
				}
				return nil
			}
			s.beforeStep.Store(&tear)
		}
		plan := strings.NewReplacer("settle 90s", "settle 4s").Replace(programStages)
		file := s.plan(strings.ReplaceAll(name, " ", "-"), plan)
		c := s.startControllerOf(s.fleet.Gatherers[0].Binary, "run", file, "--output", "json")
		code, last := s.waitEnd(c)
		if code != 1 || last.Phase != logic.RolledBack || !strings.Contains(last.Reason, "does not come up") {
			t.Errorf("%s: status %d, %s: %s", name, code, last.Phase, last.Reason)
		}
		if v := s.countVersions(); v["1"] != 4 {
			t.Errorf("%s: serving %v", name, v)
		}
	}
	if _, most := s.steps.All(); most > 2 {
		t.Errorf("%d at once", most)
	}
	s.finish()
}
