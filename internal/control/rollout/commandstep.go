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
	// processPollInterval is how often the end of a process is looked for that is not this one's child.
	processPollInterval = 20 * time.Millisecond

	// outputWait is for how long a command's output is read after its end, if a child of it holds the pipe.
	outputWait = time.Second

	maxOutput = 400 // bytes of a command's output in an error
)

// commandStepper makes steps by the operator's commands.
type commandStepper struct{ plan *Plan }

func (s commandStepper) step(ctx context.Context, g int, to rollout.Variant, f fence) error {
	command := s.plan.Commands[to]
	if err := s.awaitPrevious(ctx, g, command.Timeout); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, command.Timeout)
	defer cancel()
	var output bytes.Buffer
	cmd := s.build(ctx, g, to, f.token)
	cmd.Stdout = &output
	cmd.Stderr = &output
	err := startRecorded(cmd, func(pid int) error {
		return cmp.Or(s.recordProcess(g, pid), s.recordProcessOf(f.token, g, pid), f.check())
	})
	if err == nil {
		err = cmd.Wait()
	}
	name := s.plan.Gatherers[g].Name
	switch {
	case err == nil, errors.Is(err, exec.ErrWaitDelay): // a child holds the output; the command has succeeded
		return nil
	case ctx.Err() != nil:
		return fmt.Errorf("step of %s: not done after %.0f s: %s", name, command.Timeout.Seconds(),
			outputTail(output.Bytes()))
	}
	return fmt.Errorf("step of %s: %w: %s", name, err, outputTail(output.Bytes()))
}

// build makes the command of a step. It has a process group of its own, so that it can be ended with all that it has
// started.
func (s commandStepper) build(ctx context.Context, g int, to rollout.Variant, fencingToken uint64) *exec.Cmd {
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

// processFile names the command that was started last for a gatherer, by any controller. Controllers of
// earlier versions read it alone.
func (s commandStepper) processFile(g int) string {
	return filepath.Join(s.plan.Folder, "run", s.plan.Gatherers[g].Name+".step")
}

// stepsFolder holds a folder for each controller, by its fencing token.
func (s commandStepper) stepsFolder() string { return filepath.Join(s.plan.Folder, "run", "steps") }

// processFileOf names the command that the controller with a fencing token started last for a gatherer.
func (s commandStepper) processFileOf(controller string, g int) string {
	return filepath.Join(s.stepsFolder(), controller, s.plan.Gatherers[g].Name+".step")
}

// recordProcess records the process of a gatherer's step for a later controller of an earlier version.
func (s commandStepper) recordProcess(g, pid int) error {
	return writeProcessRecord(s.processFile(g), recordOf(pid))
}

// recordProcessOf records the process of a gatherer's step for later controllers. No other controller writes
// there: one that has been taken over from notices only after its record, and would replace that of its
// successor.
func (s commandStepper) recordProcessOf(fencingToken uint64, g, pid int) error {
	return writeProcessRecord(s.processFileOf(strconv.FormatUint(fencingToken, 10), g), recordOf(pid))
}

// recordedProcesses returns the processes that controllers have recorded for a gatherer's steps.
func (s commandStepper) recordedProcesses(g int) ([]processRecord, error) {
	files := []string{s.processFile(g)}
	controllers, err := os.ReadDir(s.stepsFolder())
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	for _, controller := range controllers {
		files = append(files, s.processFileOf(controller.Name(), g))
	}
	var records []processRecord
	for _, file := range files {
		if record, ok := readProcessRecord(file); ok {
			records = append(records, record)
		}
	}
	return records, nil
}

// awaitPrevious waits for the end of commands that earlier controllers have started for the gatherer, since
// two at once would disturb each other. One that exceeds its time is killed.
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

// awaitEnd waits until a process no longer runs, and kills it after a time.
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

// sendSignal sends a signal to a process or, by a negative ID, to its group. One that has ended needs none.
func sendSignal(pid int, s syscall.Signal) { _ = syscall.Kill(pid, s) }

// outputTail is the end of a command's output.
func outputTail(output []byte) string {
	text := strings.TrimSpace(string(output))
	if len(text) > maxOutput {
		text = "..." + text[len(text)-maxOutput:]
	}
	return text
}
