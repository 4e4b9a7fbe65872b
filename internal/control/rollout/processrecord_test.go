package rollout

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"yokeroute/internal/process"
	"yokeroute/logic/rollout"
)

// TestProcessRecordFromEarlierBootIsIgnored guards against a controller that, after a reboot, waits for and then kills
// an unrelated process that happens to have the process ID and the start time of a recorded step's process.
func TestProcessRecordFromEarlierBootIsIgnored(t *testing.T) {
	const otherBoot = "00000000-0000-4000-8000-000000000000"
	for name, c := range map[string]struct {
		bootID     string
		wantKilled bool
	}{
		"another boot":    {otherBoot, false},
		"this boot":       {process.BootID(), true},
		"earlier version": {"", true},
	} {
		t.Run(name, func(t *testing.T) {
			other := exec.Command("sleep", "60")
			other.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
			if err := other.Start(); err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() { ended <- other.Wait() }()
			t.Cleanup(func() { other.Process.Kill() })
			pid := other.Process.Pid
			s := commandStepper{&Plan{Folder: t.TempDir()}}
			s.plan.Gatherers = []rollout.Gatherer{{Name: "g1"}}
			if err := os.MkdirAll(filepath.Dir(s.processFile(0)), 0o755); err != nil {
				t.Fatal(err)
			}
			text := fmt.Sprintln(pid, process.StartTicks(pid), c.bootID)
			if err := os.WriteFile(s.processFile(0), []byte(text), 0o644); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			if err := s.awaitPrevious(ctx, 0, 200*time.Millisecond); err != nil {
				t.Fatal(err)
			}
			select {
			case <-ended:
				if !c.wantKilled {
					t.Error("an unrelated process was killed")
				}
			case <-time.After(500 * time.Millisecond):
				if c.wantKilled {
					t.Error("the step's process still runs after its timeout, want it killed")
				}
			}
		})
	}
}
