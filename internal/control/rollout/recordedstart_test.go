package rollout

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"yokeroute/internal/process"
	"yokeroute/logic/rollout"
)

// unrecordedWait is for how long a command that must not run is given to run all the same.
const unrecordedWait = 300 * time.Millisecond

// dyingController is the environment variable that has this test be a controller which is killed between starting a
// command and recording it. Its value is the file that the command would write.
const dyingController = "YOKEROUTE_TEST_DYING_CONTROLLER"

// TestCommandOfKilledControllerNeverRuns guards against two steps of one gatherer at once: a controller that is killed
// before it has recorded a command leaves none that runs.
func TestCommandOfKilledControllerNeverRuns(t *testing.T) {
	if marker := os.Getenv(dyingController); marker != "" {
		_ = startRecorded(exec.Command("touch", marker), func(int) error {
			time.Sleep(unrecordedWait)
			return syscall.Kill(os.Getpid(), syscall.SIGKILL)
		})
		t.Fatal("still alive")
	}
	marker := filepath.Join(t.TempDir(), "ran")
	controller := exec.Command(os.Args[0], "-test.run", "^TestCommandOfKilledControllerNeverRuns$")
	controller.Env = append(os.Environ(), dyingController+"="+marker)
	var status *exec.ExitError
	if err := controller.Run(); !errors.As(err, &status) || status.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
		t.Fatalf("the controller ended with %v", err)
	}
	time.Sleep(unrecordedWait)
	if _, err := os.Stat(marker); err == nil {
		t.Error("the command ran")
	}
}

// TestCommandRunsOnceRecorded wants a command to begin after it is recorded, under the recorded process ID and with
// nothing of what held it back; and one that can't be recorded not to run at all.
func TestCommandRunsOnceRecorded(t *testing.T) {
	marker := filepath.Join(t.TempDir(), "ran")
	recorded := 0
	script := `{ echo $$ "$1"; [ ! -e /proc/$$/fd/3 ] || echo descriptor 3 is open; } > "$2"`
	cmd := exec.Command("sh", "-c", script, "sh", "an argument", marker)
	err := startRecorded(cmd, func(pid int) error {
		recorded = pid
		time.Sleep(unrecordedWait)
		if _, err := os.Stat(marker); err == nil {
			t.Error("it ran before it was recorded")
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(marker)
	if want := fmt.Sprintln(recorded, "an argument"); err != nil || string(text) != want {
		t.Errorf("%v, it wrote %q, want %q", err, text, want)
	}
	refused := errors.New("no room")
	other := filepath.Join(t.TempDir(), "ran")
	if err := startRecorded(exec.Command("touch", other), func(int) error { return refused }); !errors.Is(err, refused) {
		t.Errorf("%v", err)
	}
	if _, err := os.Stat(other); err == nil {
		t.Error("a command that could not be recorded ran")
	}
	if err := startRecorded(exec.Command("/nowhere/program"), func(int) error { return nil }); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a program that does not exist: %v", err)
	}
}

// TestStepEndsWithItsCommand guards against a step that fails, or lasts, because of a child that outlives its command
// and holds its output: a gatherer that a deploy script starts, say.
func TestStepEndsWithItsCommand(t *testing.T) {
	p := keptPlan(t.TempDir())
	p.Commands = map[rollout.Variant]StepCommand{
		rollout.New: {Args: []string{"sh", "-c", "sleep 20 & echo $! > " + filepath.Join(p.Folder, "child")}, Timeout: time.Minute},
	}
	startedAt := time.Now()
	err := commandStepper{p}.step(t.Context(), 0, rollout.New, fence{check: func() error { return nil }})
	if took := time.Since(startedAt); err != nil || took > 10*time.Second {
		t.Errorf("after %v: %v", took, err)
	}
	text, err := os.ReadFile(filepath.Join(p.Folder, "child"))
	if err != nil {
		t.Fatal(err)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil || process.StartTicks(pid) == "" {
		t.Errorf("%v: the child %q has ended", err, text)
	}
	sendSignal(pid, syscall.SIGKILL)
}
