package rollout

import (
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

	"yokeroute/internal/process"
	"yokeroute/internal/storage/atomicfile"
	"yokeroute/logic/rollout"
)

// maxDrainTime is the time after which a process that is still draining is killed. It should exceed every query's
// deadline.
const maxDrainTime = 30 * time.Second

// processStepper is the built-in stepper. It runs gatherers as processes on this machine, in sessions of their own so
// that they outlive the controller. Files record the process of each gatherer.
type processStepper struct{ plan *Plan }

func (s processStepper) step(ctx context.Context, g int, to rollout.Variant, f fence) error {
	release := s.plan.release(g, to)
	target := s.plan.Processes[g]
	if err := install(release, target); err != nil {
		return err
	}
	pid := s.runningPID(g)
	if s.plan.ReloadOnly {
		if pid == 0 {
			return fmt.Errorf("gatherer %s: no running process to which SIGHUP can be sent", s.plan.Gatherers[g].Name)
		}
		return syscall.Kill(pid, syscall.SIGHUP)
	}
	if err := s.terminate(ctx, g, pid); err != nil {
		return err
	}
	return s.start(g, release, target, f)
}

// install replaces the files that a gatherer's process reads with those of a release.
func install(r Release, target GathererProcess) error {
	for _, file := range []struct{ from, to string }{
		{r.Config, target.ConfigFile},
		{r.Operator, target.OperatorFile},
	} {
		if file.from == "" || file.to == "" || file.from == file.to {
			continue
		}
		text, err := os.ReadFile(file.from)
		if err != nil {
			return err
		}
		if err := atomicfile.Write(file.to, text); err != nil {
			return err
		}
	}
	return nil
}

func (s processStepper) pidFile(g int) string {
	return filepath.Join(s.plan.Folder, "run", s.plan.Gatherers[g].Name+".pid")
}

// runningPID returns the ID of a gatherer's process, or 0 if none runs.
func (s processStepper) runningPID(g int) int {
	if recorded, ok := readProcessRecord(s.pidFile(g)); ok && recorded.running() {
		return recorded.pid
	}
	return findProcess(s.plan.Processes[g].ConfigFile)
}

// findProcess returns the ID of a gatherer process that uses a configuration file and has no record, because it was
// started by hand or by a controller that was killed before it had recorded it. It returns 0 if there is none.
func findProcess(configFile string) int {
	entries, err := os.ReadDir("/proc")
	if err != nil || configFile == "" {
		return 0
	}
	for _, entry := range entries {
		pid, err := strconv.Atoi(entry.Name())
		if err != nil || pid == os.Getpid() {
			continue
		}
		text, err := os.ReadFile(filepath.Join("/proc", entry.Name(), "cmdline"))
		if err != nil {
			continue
		}
		args := strings.Split(strings.TrimRight(string(text), "\x00"), "\x00")
		if isGathererCommand(args, configFile) && process.StartTicks(pid) != "" {
			return pid
		}
	}
	return 0
}

// isGathererCommand reports whether a command line is that of a gatherer that uses the configuration file.
func isGathererCommand(args []string, configFile string) bool {
	if len(args) < 2 || args[1] != "serve" {
		return false
	}
	for i, arg := range args {
		if arg == "--config" && i+1 < len(args) && args[i+1] == configFile || arg == "--config="+configFile {
			return true
		}
	}
	return false
}

// adopt records a running process as that of a gatherer.
func (s processStepper) adopt(g, pid int) error {
	record := recordOf(pid)
	if record.startTicks == "" {
		return fmt.Errorf("gatherer %s: process %d is not running", s.plan.Gatherers[g].Name, pid)
	}
	return writeProcessRecord(s.pidFile(g), record)
}

// terminate sends SIGTERM to a process, as in a planned restart, and waits for its end, since its successor uses the
// same address and state folder. A process that has not ended within maxDrainTime is killed.
func (s processStepper) terminate(ctx context.Context, g, pid int) error {
	if pid == 0 {
		return nil
	}
	sendSignal(pid, syscall.SIGTERM)
	sendSignal(pid, syscall.SIGCONT) // a process that is stopped handles SIGTERM only once it is continued
	running := func() bool { return s.runningPID(g) == pid }
	return awaitEnd(ctx, running, maxDrainTime, func() { sendSignal(pid, syscall.SIGKILL) })
}

// start starts a process in a session of its own, so that it receives no signals from the controller's terminal and is
// not ended with the controller.
func (s processStepper) start(g int, release Release, target GathererProcess, f fence) error {
	if err := os.MkdirAll(filepath.Dir(s.pidFile(g)), 0o755); err != nil {
		return err
	}
	name := s.plan.Gatherers[g].Name
	logFile := filepath.Join(s.plan.Folder, "run", name+".log")
	log, err := os.OpenFile(logFile, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(release.Program, serveArgs(target)...)
	cmd.Stdout = log
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := startRecorded(cmd, func(pid int) error { return cmp.Or(s.adopt(g, pid), f.check()) }); err != nil {
		return fmt.Errorf("gatherer %s: %w", name, err)
	}
	// The process is meant to outlive the controller, so its end is not awaited here. While the controller runs,
	// it is the parent and has to collect the exit status, or an ended process would remain as a zombie.
	go func() { _ = cmd.Wait() }()
	return nil
}

func serveArgs(target GathererProcess) []string {
	args := []string{"serve", "--config", target.ConfigFile}
	if target.OperatorFile == "" {
		return args
	}
	if _, err := os.Stat(target.OperatorFile); errors.Is(err, fs.ErrNotExist) {
		return args
	}
	return append(args, "--operator", target.OperatorFile)
}
