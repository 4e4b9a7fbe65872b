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

// unrecordedWait is the time that tests wait to see that a command does not run.
const unrecordedWait = 300 * time.Millisecond

// dyingController names the environment variable that makes this test's process act as a controller that is killed
// between starting a command and recording it. Its value is the file that the command would create.
const dyingController = "YOKEROUTE_TEST_DYING_CONTROLLER"

// TestCommandOfKilledControllerNeverRuns guards against two concurrent steps of one gatherer: a command must not run
// if the controller is killed before it has recorded the command's process.
func TestCommandOfKilledControllerNeverRuns(t *testing.T) {
	if marker := os.Getenv(dyingController); marker != "" {
		_ = startRecorded(exec.Command("touch", marker), func(int) error {
			time.Sleep(unrecordedWait)
			return syscall.Kill(os.Getpid(), syscall.SIGKILL)
		})
		t.Fatal("the controller survived SIGKILL")
	}
	marker := filepath.Join(t.TempDir(), "ran")
	controller := exec.Command(os.Args[0], "-test.run", "^TestCommandOfKilledControllerNeverRuns$")
	controller.Env = append(os.Environ(), dyingController+"="+marker)
	var exitError *exec.ExitError
	if err := controller.Run(); !errors.As(err, &exitError) || exitError.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
		t.Fatalf("the controller ended with %v, want it killed by SIGKILL", err)
	}
	time.Sleep(unrecordedWait)
	if _, err := os.Stat(marker); err == nil {
		t.Error("the command ran, though it was not recorded")
	}
}

// TestCommandRunsOnlyAfterItIsRecorded checks that a command runs only after it is recorded, under the recorded process
// ID and without the pipe's descriptor, and that a command that can't be recorded does not run at all.
func TestCommandRunsOnlyAfterItIsRecorded(t *testing.T) {
	marker := filepath.Join(t.TempDir(), "ran")
	recordedPID := 0
	script := `{ echo $$ "$1"; [ ! -e /proc/$$/fd/3 ] || echo descriptor 3 is open; } > "$2"`
	cmd := exec.Command("sh", "-c", script, "sh", "an argument", marker)
	err := startRecorded(cmd, func(pid int) error {
		recordedPID = pid
		time.Sleep(unrecordedWait)
		if _, err := os.Stat(marker); err == nil {
			t.Error("the command ran before it was recorded")
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
	if want := fmt.Sprintln(recordedPID, "an argument"); err != nil || string(text) != want {
		t.Errorf("error %v, the command wrote %q, want %q", err, text, want)
	}
	recordError := errors.New("no room")
	unrecordedMarker := filepath.Join(t.TempDir(), "ran")
	if err := startRecorded(exec.Command("touch", unrecordedMarker), func(int) error { return recordError }); !errors.Is(err, recordError) {
		t.Errorf("record failed: got %v, want its error", err)
	}
	if _, err := os.Stat(unrecordedMarker); err == nil {
		t.Error("a command that could not be recorded ran")
	}
	if err := startRecorded(exec.Command("/nowhere/program"), func(int) error { return nil }); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("program that does not exist: got %v, want os.ErrNotExist", err)
	}
}

// TestStepEndsWithCommandDespiteChildHoldingOutput guards against a step that fails or does not end because a child
// outlives the command and holds its output open, for example a gatherer that a deploy script starts.
func TestStepEndsWithCommandDespiteChildHoldingOutput(t *testing.T) {
	p := keptPlan(t.TempDir())
	p.Commands = map[rollout.Variant]StepCommand{
		rollout.New: {Args: []string{"sh", "-c", "sleep 20 & echo $! > " + filepath.Join(p.Folder, "child")}, Timeout: time.Minute},
	}
	startedAt := time.Now()
	err := commandStepper{p}.step(t.Context(), 0, rollout.New, fence{check: func() error { return nil }})
	if took := time.Since(startedAt); err != nil || took > 10*time.Second {
		t.Errorf("the step ended after %v with %v, want success within 10 s", took, err)
	}
	text, err := os.ReadFile(filepath.Join(p.Folder, "child"))
	if err != nil {
		t.Fatal(err)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil || process.StartTicks(pid) == "" {
		t.Errorf("error %v: the child process %q has ended, want it running", err, text)
	}
	sendSignal(pid, syscall.SIGKILL)
}
