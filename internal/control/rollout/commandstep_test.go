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

// stoppedController is the environment variable that has this test be the controller which is stopped. Its
// value is the folder of the rollout.
const stoppedController = "YOKEROUTE_TEST_STOPPED_CONTROLLER"

// waitsText is what the stopped controller prints before it makes its step.
const waitsText = "waits for the step before"

// runUntilFinish is a step's script that runs until there is a file finish, half a minute at most.
const runUntilFinish = `touch began; n=0; while [ ! -e finish ] && [ $n -lt 1500 ]; do n=$((n + 1)); sleep 0.02; done`

// readTime is for how long the stopped controller is given to read the record of the step before.
const readTime = time.Second

// commandPlan is a plan whose step to the new is a shell's script in the rollout's folder.
func commandPlan(folder, script string) *Plan {
	p := keptPlan(folder)
	p.File = filepath.Join(folder, "plan.conf")
	p.Commands = map[rollout.Variant]StepCommand{
		rollout.New: {Args: []string{"sh", "-c", script}, Timeout: time.Minute},
	}
	return p
}

// makeStep makes the first gatherer's step as the controller that holds a folder.
func makeStep(ctx context.Context, own *runfolder.Folder, p *Plan) error {
	return commandStepper{p}.step(ctx, 0, rollout.New, fence{token: own.FencingToken, check: own.CheckSuperseded})
}

// makeStepUntilStopped is the process of the controller that is stopped: its step waits for the one before.
func makeStepUntilStopped(folder string) error {
	own, err := runfolder.Open(folder, false)
	if err != nil {
		return err
	}
	fmt.Println(waitsText)
	return makeStep(context.Background(), own, commandPlan(folder, "touch ran"))
}

// takeOver opens a rollout's folder as the next controller does, which does not need the lock.
func takeOver(t *testing.T, folder string) *runfolder.Folder {
	t.Helper()
	own, err := runfolder.Open(folder, true)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(own.Close)
	return own
}

// startEarlierStep runs a command and records it for the first gatherer, as a controller does that is gone.
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

// startStoppedController starts a controller whose step waits for an earlier one, and stops it there.
func startStoppedController(t *testing.T, folder string) *process.Process {
	t.Helper()
	args := []string{"-test.run", "^" + t.Name() + "$"}
	controller, err := process.Start("controller 1", os.Args[0], args, []string{stoppedController + "=" + folder})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(controller.Kill)
	awaitText(t, controller, waitsText)
	time.Sleep(readTime)
	if err := controller.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	return controller
}

// TestSupersededControllerDoesNotHideRunningStep guards against two steps of one gatherer at once: a
// controller that is stopped while it waits for an earlier step, and goes on after another one has taken over
// and begun a step, must not keep a third one from waiting for that step.
func TestSupersededControllerDoesNotHideRunningStep(t *testing.T) {
	if folder := os.Getenv(stoppedController); folder != "" {
		fmt.Println("refused:", makeStepUntilStopped(folder))
		return
	}
	folder := t.TempDir()
	earlier := startEarlierStep(t, folder)
	first := startStoppedController(t, folder)
	second := takeOver(t, folder)
	earlier.Kill()
	began, finish := filepath.Join(folder, "began"), filepath.Join(folder, "finish")
	secondEnded := make(chan error, 1)
	go func() {
		secondEnded <- makeStep(context.Background(), second, commandPlan(folder, runUntilFinish))
	}()
	await(t, "the second controller's step runs", func() bool { return exists(began) })
	if err := first.Continue(); err != nil {
		t.Fatal(err)
	}
	awaitText(t, first, runfolder.ErrSuperseded.Error())
	third := takeOver(t, folder)
	brief, cancel := context.WithTimeout(t.Context(), unrecordedWait)
	defer cancel()
	err := makeStep(brief, third, commandPlan(folder, "touch ran"))
	if !errors.Is(err, context.DeadlineExceeded) || exists(filepath.Join(folder, "ran")) {
		t.Errorf("the third controller does not wait for the second one's step: %v", err)
	}
	if err := os.WriteFile(finish, nil, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := <-secondEnded; err != nil {
		t.Error(err)
	}
	if err := makeStep(t.Context(), third, commandPlan(folder, "touch ran")); err != nil || !exists(filepath.Join(folder, "ran")) {
		t.Errorf("the third controller's step after the second one's: %v", err)
	}
}

func exists(file string) bool {
	_, err := os.Stat(file)
	return err == nil
}

// await waits for what a process is to bring about.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	if err := process.WaitUntil(ctx, what, holds); err != nil {
		t.Fatal(err)
	}
}

// awaitText waits until a process has written a text.
func awaitText(t *testing.T, p *process.Process, text string) {
	t.Helper()
	await(t, p.Name+": "+text, func() bool { return strings.Contains(p.Log(), text) })
}
