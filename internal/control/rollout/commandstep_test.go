package rollout

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"yokeroute/internal/process"
	"yokeroute/internal/storage/runfolder"
	"yokeroute/logic/rollout"
)

// stoppedController names the environment variable that makes this test's process act as the controller that is
// stopped. Its value is the rollout's folder.
const stoppedController = "YOKEROUTE_TEST_STOPPED_CONTROLLER"

// waitingMessage is printed by the stopped controller before it makes its step.
const waitingMessage = "waits for the step before"

// runUntilFinishScript is a step's script that runs until the file finish exists, for half a minute at most.
const runUntilFinishScript = `touch began; n=0; while [ ! -e finish ] && [ $n -lt 1500 ]; do n=$((n + 1)); sleep 0.02; done`

// recordReadTime is the time given to the stopped controller to read the record of the earlier step.
const recordReadTime = time.Second

// commandPlan returns a plan whose step to the new variant is a shell script, run in the rollout's folder.
func commandPlan(folder, script string) *Plan {
	p := keptPlan(folder)
	p.File = filepath.Join(folder, "plan.conf")
	p.Commands = map[rollout.Variant]StepCommand{
		rollout.New: {Args: []string{"sh", "-c", script}, Timeout: time.Minute},
	}
	return p
}

// makeStep makes the first gatherer's step as the controller that has opened runFolder.
func makeStep(ctx context.Context, runFolder *runfolder.Folder, p *Plan) error {
	return commandStepper{p}.step(ctx, 0, rollout.New, fence{token: runFolder.FencingToken, check: runFolder.CheckSuperseded})
}

// makeStepUntilStopped runs in the process of the stopped controller. Its step waits for the earlier step.
func makeStepUntilStopped(folder string) error {
	runFolder, err := runfolder.Open(folder, false)
	if err != nil {
		return err
	}
	fmt.Println(waitingMessage)
	return makeStep(context.Background(), runFolder, commandPlan(folder, "touch ran"))
}

// takeOver opens a rollout's folder as a controller that takes over, which does not need the lock.
func takeOver(t *testing.T, folder string) *runfolder.Folder {
	t.Helper()
	runFolder, err := runfolder.Open(folder, true)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(runFolder.Close)
	return runFolder
}

// startEarlierStep starts a command and records it for the first gatherer, as a controller that no longer runs would
// have.
func startEarlierStep(t *testing.T, folder string) *process.Process {
	t.Helper()
	command, err := process.Start("earlier step", "/bin/sleep", []string{"60"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(command.Kill)
	if err := (commandStepper{keptPlan(folder)}).recordProcess(0, command.PID()); err != nil {
		t.Fatal(err)
	}
	return command
}

// startStoppedController starts a controller whose step waits for an earlier one, and stops (SIGSTOP) the process
// there.
func startStoppedController(t *testing.T, folder string) *process.Process {
	t.Helper()
	args := []string{"-test.run", "^" + t.Name() + "$"}
	controller, err := process.Start("controller 1", os.Args[0], args, []string{stoppedController + "=" + folder})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(controller.Kill)
	awaitText(t, controller, waitingMessage)
	time.Sleep(recordReadTime)
	if err := controller.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	return controller
}

// TestSupersededControllerDoesNotHideRunningStep guards against two concurrent steps of one gatherer. A first
// controller is stopped while it waits for an earlier step, a second one takes over and starts a step, and the first
// one continues. The record of the first must not hide the second's step from a third controller, which has to wait
// for that step.
func TestSupersededControllerDoesNotHideRunningStep(t *testing.T) {
	if folder := os.Getenv(stoppedController); folder != "" {
		fmt.Println("rejected:", makeStepUntilStopped(folder))
		return
	}
	folder := t.TempDir()
	earlier := startEarlierStep(t, folder)
	first := startStoppedController(t, folder)
	second := takeOver(t, folder)
	earlier.Kill()
	startedFile, finishFile := filepath.Join(folder, "began"), filepath.Join(folder, "finish")
	secondStep := make(chan error, 1)
	go func() {
		secondStep <- makeStep(context.Background(), second, commandPlan(folder, runUntilFinishScript))
	}()
	await(t, "the second controller's step runs", func() bool { return exists(startedFile) })
	if err := first.Continue(); err != nil {
		t.Fatal(err)
	}
	awaitText(t, first, runfolder.ErrSuperseded.Error())
	third := takeOver(t, folder)
	briefCtx, cancel := context.WithTimeout(t.Context(), unrecordedWait)
	defer cancel()
	err := makeStep(briefCtx, third, commandPlan(folder, "touch ran"))
	if !errors.Is(err, context.DeadlineExceeded) || exists(filepath.Join(folder, "ran")) {
		t.Errorf("the third controller did not wait for the second one's step: %v", err)
	}
	if err := os.WriteFile(finishFile, nil, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := <-secondStep; err != nil {
		t.Error(err)
	}
	if err := makeStep(t.Context(), third, commandPlan(folder, "touch ran")); err != nil || !exists(filepath.Join(folder, "ran")) {
		t.Errorf("the third controller's step failed after the second one's had ended: %v", err)
	}
}

func exists(file string) bool {
	_, err := os.Stat(file)
	return err == nil
}

// await waits until a condition holds that a process is to bring about.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	if err := process.WaitUntil(ctx, what, holds); err != nil {
		t.Fatal(err)
	}
}

// awaitText waits until the output of a process contains a text.
func awaitText(t *testing.T, p *process.Process, text string) {
	t.Helper()
	await(t, p.Name+": "+text, func() bool { return strings.Contains(p.Log(), text) })
}
