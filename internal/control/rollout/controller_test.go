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

// TestControllerContinuesAfterKills: the process that carries a rollout out is killed before each step and after it,
// again and again; each time another goes on. Nothing is left out, and nothing is done twice but steps of whose end
// nothing was known.
func TestControllerContinuesAfterKills(t *testing.T) {
	t.Parallel()
	s := startScene(t, 4, 40, "")
	file := s.plan("killed", programStages)
	var mu sync.Mutex
	var c *process.Process
	orders, kills := map[string]int{}, 0
	tear := func(order processtest.Step) error {
		mu.Lock()
		defer mu.Unlock()
		orders[order.Gatherer]++
		if order.To == "new" && kills < 6 && c != nil && c.Alive() { // once before each step, and once while it is made
			kills++
			c.Kill()
			if kills%2 == 0 {
				return fmt.Errorf("killed before it was done")
			}
		}
		return nil
	}
	s.beforeStep.Store(&tear)
	for range 12 {
		mu.Lock()
		c = s.startController("run", file, "--output", "json")
		now := c
		mu.Unlock()
		code, last := s.waitEnd(now)
		if code == 0 && last.Phase == logic.Completed {
			if kills < 6 {
				t.Errorf("killed %d times", kills)
			}
			if v := s.countVersions(); v["2"] != 4 {
				t.Errorf("serving: %v", v)
			}
			total := 0
			for _, n := range orders {
				total += n
			}
			if len(orders) != 4 || total > 4+kills {
				t.Errorf("steps by gatherer: %v, %d kills", orders, kills)
			}
			s.finish()
			return
		}
		if code > 0 {
			t.Fatalf("status %d: %s", code, now.Log())
		}
	}
	t.Fatalf("not ended after 12 controllers: %v", orders)
}

// TestSecondControllerIsRefusedUnlessItTakesOver: while one controller carries a rollout out, a second one is refused
// and names it; where the first was stopped and the second takes over, the first does nothing any more when it goes
// on. A rollout of another folder over the same gatherers is refused as well.
func TestSecondControllerIsRefusedUnlessItTakesOver(t *testing.T) {
	t.Parallel()
	s := startScene(t, 4, 40, "")
	file := s.plan("one", programStages)
	first := s.startController("run", file, "--output", "json")
	s.waitUntil(first, "it has begun", func() bool {
		st, err := rollout.ReadStatus(filepath.Join(s.folder, "one"))
		return err == nil && len(st.Gatherers) == 4 && st.Gatherers[3].LastReportAt > 0
	})
	second := s.startController("run", file)
	if code, _ := s.waitEnd(second); code != 2 || !strings.Contains(second.Log(), fmt.Sprint("process ", first.PID())) {
		t.Errorf("status %d: %s", code, second.Log())
	}
	other := s.startController("run", s.plan("other", programStages))
	if code, _ := s.waitEnd(other); code != 2 || !strings.Contains(other.Log(), "is being changed by another run: one in ") {
		t.Errorf("status %d: %s", code, other.Log())
	}
	if err := first.Stop(s.ctx); err != nil {
		t.Fatal(err)
	}
	third := s.startController("run", file, "--take-over", "--output", "json")
	s.waitUntil(third, "the third has begun", func() bool {
		st, err := rollout.ReadStatus(filepath.Join(s.folder, "one"))
		return err == nil && st.PID == third.PID()
	})
	if err := first.Continue(); err != nil {
		t.Fatal(err)
	}
	if code, _ := s.waitEnd(first); code != 2 || !strings.Contains(first.Log(), "another controller has taken this over") {
		t.Errorf("the first: status %d: %s", code, first.Log())
	}
	if code, last := s.waitEnd(third); code != 0 || last.Phase != logic.Completed {
		t.Errorf("the third: status %d: %s", code, third.Log())
	}
	steps, most := s.steps.All()
	seen := map[string]int{}
	for _, one := range steps {
		if one.To == "new" {
			seen[one.Gatherer]++
		}
	}
	if len(seen) != 4 || len(steps) > 5 || most > 2 { // one that the first had begun may be made again
		t.Errorf("%v, %d at once", steps, most)
	}
	s.finish()
}

// TestOperatorStopsResumesAndRollsBack: stop holds a rollout where it is, also when its controller is started again;
// resume goes on; back makes all old again.
func TestOperatorStopsResumesAndRollsBack(t *testing.T) {
	t.Parallel()
	s := startScene(t, 4, 100, "")
	file := s.plan("words",
		strings.Replace(programStages, "stage some share 34% least 1s", "stage some share 34% least 80s", 1))
	folder := filepath.Join(s.folder, "words")
	first := s.startController("run", file, "--output", "json")
	judging := func() bool {
		st, err := rollout.ReadStatus(folder)
		return err == nil && st.Stage == "some" && st.Phase == logic.Evaluating
	}
	s.waitUntil(first, "the second stage is watched", judging)
	say := func(word string) {
		t.Helper()
		p := s.startController(word, file)
		if code, _ := s.waitEnd(p); code != 0 {
			t.Fatalf("%s: status %d: %s", word, code, p.Log())
		}
	}
	say("stop")
	if code, last := s.waitEnd(first); code != 1 || last.Phase != logic.Stopped {
		t.Errorf("status %d, %+v", code, last)
	}
	code, last := s.waitEnd(s.startController("run", file, "--output", "json"))
	if code != 1 || last.Phase != logic.Stopped || s.countVersions()["2"] != 2 {
		t.Errorf("status %d, %s, %v", code, last.Phase, s.countVersions())
	}
	again := s.startController("resume", file, "--output", "json")
	s.waitUntil(again, "it goes on", judging)
	say("back")
	if code, last := s.waitEnd(again); code != 1 || last.Phase != logic.RolledBack || s.countVersions()["1"] != 4 {
		t.Errorf("status %d, %s, %v", code, last.Phase, s.countVersions())
	}
	// A plan that was changed by hand meanwhile is not gone on with.
	text, _ := os.ReadFile(file)
	os.WriteFile(file, append(text, "\n# changed\n"...), 0o644)
	if p := s.startController("run", file); true {
		if code, _ := s.waitEnd(p); code != 2 || !strings.Contains(p.Log(), "has changed since this rollout began") {
			t.Errorf("status %d: %s", code, p.Log())
		}
	}
	s.finish()
}
