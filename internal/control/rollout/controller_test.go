package rollout_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"yokeroute/internal/control/rollout"
	"yokeroute/internal/process"
	"yokeroute/internal/testbed/processtest"
	logic "yokeroute/logic/rollout"
)

// TestControllerContinuesAfterKills kills the controller repeatedly, before and after steps, and starts another each
// time. The rollout has to complete without omitting a step, and only steps whose end was not recorded may be
// repeated.
func TestControllerContinuesAfterKills(t *testing.T) {
	t.Parallel()
	s := startFixture(t, 4, 40, "")
	file := s.plan("killed", programStages)
	var mu sync.Mutex
	var c *process.Process
	attempts, kills := map[string]int{}, 0
	killController := func(order processtest.Step) error {
		mu.Lock()
		defer mu.Unlock()
		attempts[order.Gatherer]++
		if order.To == "new" && kills < 6 && c != nil && c.Alive() { // alternately during and before a step
			kills++
			c.Kill()
			if kills%2 == 0 {
				return fmt.Errorf("controller killed before the step was made")
			}
		}
		return nil
	}
	s.beforeStep.Store(&killController)
	for range 12 {
		mu.Lock()
		c = s.startController("run", file, "--output", "json")
		current := c
		mu.Unlock()
		code, last := s.waitExit(current)
		if code == 0 && last.Phase == logic.Completed {
			if kills < 6 {
				t.Errorf("the controller was killed %d times, want 6", kills)
			}
			if v := s.countVersions(); v["2"] != 4 {
				t.Errorf("gatherers by version: %v, want 4 of version 2", v)
			}
			total := 0
			for _, n := range attempts {
				total += n
			}
			if len(attempts) != 4 || total > 4+kills {
				t.Errorf("steps by gatherer: %v with %d kills, want 4 gatherers and at most one more step for each kill", attempts, kills)
			}
			s.finish()
			return
		}
		if code > 0 {
			t.Fatalf("exit status %d: %s", code, current.Log())
		}
	}
	t.Fatalf("the rollout has not ended after 12 controllers; steps by gatherer: %v", attempts)
}

// TestSecondControllerIsRejectedUnlessItTakesOver checks that a second controller of a running rollout is rejected
// with an error that names the first one's process, and that a rollout in another folder over the same gatherers is
// rejected too. If the first controller is stopped and another takes over, the first must make no further steps once
// it is continued.
func TestSecondControllerIsRejectedUnlessItTakesOver(t *testing.T) {
	t.Parallel()
	s := startFixture(t, 4, 40, "")
	file := s.plan("one", programStages)
	first := s.startController("run", file, "--output", "json")
	s.waitUntil(first, "the first controller has started", func() bool {
		st, err := rollout.ReadStatus(filepath.Join(s.folder, "one"))
		return err == nil && len(st.Gatherers) == 4 && st.Gatherers[3].LastReportAt > 0
	})
	second := s.startController("run", file)
	if code, _ := s.waitExit(second); code != 2 || !strings.Contains(second.Log(), fmt.Sprint("process ", first.PID())) {
		t.Errorf("second controller: exit status %d, want 2: %s", code, second.Log())
	}
	other := s.startController("run", s.plan("other", programStages))
	if code, _ := s.waitExit(other); code != 2 || !strings.Contains(other.Log(), "is being changed by another run: one in ") {
		t.Errorf("controller of another rollout: exit status %d, want 2: %s", code, other.Log())
	}
	if err := first.Stop(s.ctx); err != nil {
		t.Fatal(err)
	}
	third := s.startController("run", file, "--take-over", "--output", "json")
	s.waitUntil(third, "the third controller has started", func() bool {
		st, err := rollout.ReadStatus(filepath.Join(s.folder, "one"))
		return err == nil && st.PID == third.PID()
	})
	if err := first.Continue(); err != nil {
		t.Fatal(err)
	}
	if code, _ := s.waitExit(first); code != 2 || !strings.Contains(first.Log(), "another controller has taken this over") {
		t.Errorf("first controller: exit status %d, want 2: %s", code, first.Log())
	}
	if code, last := s.waitExit(third); code != 0 || last.Phase != logic.Completed {
		t.Errorf("third controller: exit status %d, want 0: %s", code, third.Log())
	}
	steps, maxConcurrent := s.steps.All()
	newSteps := map[string]int{}
	for _, one := range steps {
		if one.To == "new" {
			newSteps[one.Gatherer]++
		}
	}
	if len(newSteps) != 4 || len(steps) > 5 || maxConcurrent > 2 { // the first controller's last step may be repeated
		t.Errorf("got steps %v, %d at once; want 4 gatherers, 5 steps and 2 at once at most", steps, maxConcurrent)
	}
	s.finish()
}

// TestOperatorStopsResumesAndRollsBack checks the operator's commands: stop keeps a rollout at its position, also
// after its controller is started again; resume continues it; back rolls all gatherers back.
func TestOperatorStopsResumesAndRollsBack(t *testing.T) {
	t.Parallel()
	s := startFixture(t, 4, 100, "")
	file := s.plan("words",
		strings.Replace(programStages, "stage some share 34% least 1s", "stage some share 34% least 80s", 1))
	folder := filepath.Join(s.folder, "words")
	first := s.startController("run", file, "--output", "json")
	evaluatingSecondStage := func() bool {
		st, err := rollout.ReadStatus(folder)
		return err == nil && st.Stage == "some" && st.Phase == logic.Evaluating
	}
	s.waitUntil(first, "the second stage is observed", evaluatingSecondStage)
	sendCommand := func(command string) {
		t.Helper()
		p := s.startController(command, file)
		if code, _ := s.waitExit(p); code != 0 {
			t.Fatalf("command %s: exit status %d: %s", command, code, p.Log())
		}
	}
	sendCommand("stop")
	if code, last := s.waitExit(first); code != 1 || last.Phase != logic.Stopped {
		t.Errorf("after stop: exit status %d, want 1 and the rollout stopped: %+v", code, last)
	}
	code, last := s.waitExit(s.startController("run", file, "--output", "json"))
	if code != 1 || last.Phase != logic.Stopped || s.countVersions()["2"] != 2 {
		t.Errorf("started again after stop: exit status %d, phase %s, gatherers by version %v", code, last.Phase, s.countVersions())
	}
	again := s.startController("resume", file, "--output", "json")
	s.waitUntil(again, "the rollout continues", evaluatingSecondStage)
	sendCommand("back")
	if code, last := s.waitExit(again); code != 1 || last.Phase != logic.RolledBack || s.countVersions()["1"] != 4 {
		t.Errorf("after back: exit status %d, phase %s, gatherers by version %v", code, last.Phase, s.countVersions())
	}
	// The rollout is not continued if the plan's file has changed since it started.
	text, _ := os.ReadFile(file)
	os.WriteFile(file, append(text, "\n# changed\n"...), 0o644)
	if p := s.startController("run", file); true {
		if code, _ := s.waitExit(p); code != 2 || !strings.Contains(p.Log(), "has changed since this rollout began") {
			t.Errorf("changed plan: exit status %d, want 2: %s", code, p.Log())
		}
	}
	s.finish()
}
