package rollout

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"yokeroute/logic/rollout"
)

const (
	// processPollInterval is the interval at which awaitEnd checks whether a process has ended. The process may be that
	// of an earlier controller's step, and so not a child of this one.
	processPollInterval = 20 * time.Millisecond

	// outputWait limits how long a command's output is read after its end, in case a child of it holds the pipe open.
	outputWait = time.Second

	// maxOutputBytes limits how much of a command's output an error contains.
	maxOutputBytes = 400
)

// commandStepper makes steps by running the operator's commands.
type commandStepper struct{ plan *Plan }

func (s commandStepper) step(ctx context.Context, g int, to rollout.Variant, f fence) error {
	command := s.plan.Commands[to]
	if err := s.awaitPrevious(ctx, g, command.Timeout); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, command.Timeout)
	defer cancel()
	var output bytes.Buffer
	cmd := s.buildCommand(ctx, g, to, f.token)
	cmd.Stdout = &output
	cmd.Stderr = &output
	err := startRecorded(cmd, func(pid int) error {
		return cmp.Or(s.recordProcess(g, pid), s.recordControllerProcess(f.token, g, pid), f.check())
	})
	if err == nil {
		err = cmd.Wait()
	}
	name := s.plan.Gatherers[g].Name
	switch {
	// ErrWaitDelay means that the command succeeded, but that a child of it holds its output open.
	case err == nil, errors.Is(err, exec.ErrWaitDelay):
		return nil
	case ctx.Err() != nil:
		return fmt.Errorf("step of %s: command did not end within %.0f s: %s", name, command.Timeout.Seconds(),
			outputTail(output.Bytes()))
	}
	return fmt.Errorf("step of %s: %w: %s", name, err, outputTail(output.Bytes()))
}

// buildCommand returns the command of a step. It runs in a process group of its own, so that it can be killed together
// with all processes that it has started.
func (s commandStepper) buildCommand(ctx context.Context, g int, to rollout.Variant, fencingToken uint64) *exec.Cmd {
	token := strconv.FormatUint(fencingToken, 10)
	placeholders := strings.NewReplacer("{to}", to.String(), "{fence}", token)
	template := s.plan.Commands[to].Args
	args := make([]string, len(template))
	for i, arg := range template {
		args[i] = placeholders.Replace(s.plan.expand(arg, g))
	}
	cmd := exec.CommandContext(ctx, args[0], args[1:]...)
	cmd.Dir = filepath.Dir(s.plan.File)
	cmd.Env = append(os.Environ(),
		"YOKEROUTE_GATHERER="+s.plan.Gatherers[g].Name,
		"YOKEROUTE_TO="+to.String(),
		"YOKEROUTE_FENCE="+token,
	)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	cmd.WaitDelay = outputWait
	return cmd
}

// processFile returns the path of the file that records the last command started for a gatherer, by any controller.
// Controllers of earlier versions read no other file.
func (s commandStepper) processFile(g int) string {
	return filepath.Join(s.plan.Folder, "run", s.plan.Gatherers[g].Name+".step")
}

// stepsFolder returns the path of the folder that has a subfolder for each controller, named by its fencing token.
func (s commandStepper) stepsFolder() string { return filepath.Join(s.plan.Folder, "run", "steps") }

// controllerProcessFile returns the path of the file that records the last command that one controller, identified by
// its fencing token, started for a gatherer.
func (s commandStepper) controllerProcessFile(controller string, g int) string {
	return filepath.Join(s.stepsFolder(), controller, s.plan.Gatherers[g].Name+".step")
}

// recordProcess records the process of a gatherer's step in the file that controllers of earlier versions read, for
// the case that one of them continues the rollout.
func (s commandStepper) recordProcess(g, pid int) error {
	return writeProcessRecord(s.processFile(g), recordOf(pid))
}

// recordControllerProcess records the process of a gatherer's step for later controllers. Each controller writes only
// to its own folder: a superseded controller notices that it was superseded only after it has written its record, and
// in a shared file would overwrite the record of its successor.
func (s commandStepper) recordControllerProcess(fencingToken uint64, g, pid int) error {
	return writeProcessRecord(s.controllerProcessFile(strconv.FormatUint(fencingToken, 10), g), recordOf(pid))
}

// recordedProcesses returns the processes that all controllers have recorded for a gatherer's steps.
func (s commandStepper) recordedProcesses(g int) ([]processRecord, error) {
	files := []string{s.processFile(g)}
	controllers, err := os.ReadDir(s.stepsFolder())
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	for _, controller := range controllers {
		files = append(files, s.controllerProcessFile(controller.Name(), g))
	}
	var records []processRecord
	for _, file := range files {
		if record, ok := readProcessRecord(file); ok {
			records = append(records, record)
		}
	}
	return records, nil
}

// awaitPrevious waits until the commands that earlier controllers started for the gatherer have ended, since two
// concurrent commands would interfere with each other. A command that exceeds the timeout is killed.
func (s commandStepper) awaitPrevious(ctx context.Context, g int, timeout time.Duration) error {
	records, err := s.recordedProcesses(g)
	if err != nil {
		return err
	}
	for _, previous := range records {
		kill := func() { sendSignal(-previous.pid, syscall.SIGKILL) }
		if err := awaitEnd(ctx, previous.running, timeout, kill); err != nil {
			return err
		}
	}
	return nil
}

// awaitEnd waits until a process no longer runs, and kills it after the timeout.
func awaitEnd(ctx context.Context, running func() bool, timeout time.Duration, kill func()) error {
	expired := time.NewTimer(timeout)
	defer expired.Stop()
	poll := time.NewTicker(processPollInterval)
	defer poll.Stop()
	for running() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-expired.C:
			kill()
		case <-poll.C:
		}
	}
	return nil
}

// sendSignal sends a signal to a process or, if the ID is negative, to a process group. Errors are ignored, since a
// process that has ended needs no signal.
func sendSignal(pid int, s syscall.Signal) { _ = syscall.Kill(pid, s) }

// outputTail returns the end of a command's output, at most maxOutputBytes of it.
func outputTail(output []byte) string {
	text := strings.TrimSpace(string(output))
	if len(text) > maxOutputBytes {
		text = "..." + text[len(text)-maxOutputBytes:]
	}
	return text
}
