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

// maxDrainTime is how long a process may take to answer what it holds before it is killed: longer than any deadline of
// a query should be.
const maxDrainTime = 30 * time.Second

// processStepper is the built-in stepper. Gatherers are processes on this machine, started in sessions of their own so
// that they outlive the controller. Files record which process is whose.
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
			return fmt.Errorf("gatherer %s: no process to tell by SIGHUP", s.plan.Gatherers[g].Name)
		}
		return syscall.Kill(pid, syscall.SIGHUP)
	}
	if err := s.terminate(ctx, g, pid); err != nil {
		return err
	}
	return s.start(g, release, target, f)
}

// install replaces the files that a gatherer's process reads by those of a release.
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

// runningPID is the ID of a gatherer's process, 0 where none runs.
func (s processStepper) runningPID(g int) int {
	if recorded, ok := readProcessRecord(s.pidFile(g)); ok && recorded.running() {
		return recorded.pid
	}
	return findProcess(s.plan.Processes[g].ConfigFile)
}

// findProcess finds a process that serves by a configuration file: one that was started by hand, or by a controller
// that was killed before it had recorded it. It returns 0 for none.
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
		if servesBy(args, configFile) && process.StartTicks(pid) != "" {
			return pid
		}
	}
	return 0
}

// servesBy reports whether a command line is that of a gatherer with a configuration file.
func servesBy(args []string, configFile string) bool {
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

// adopt records a process that serves already.
func (s processStepper) adopt(g, pid int) error {
	record := recordOf(pid)
	if record.startTicks == "" {
		return fmt.Errorf("gatherer %s: no process %d", s.plan.Gatherers[g].Name, pid)
	}
	return writeProcessRecord(s.pidFile(g), record)
}

// terminate ends a process as a planned restart does, and waits for its end: it shares an address and a state folder
// with its successor.
func (s processStepper) terminate(ctx context.Context, g, pid int) error {
	if pid == 0 {
		return nil
	}
	sendSignal(pid, syscall.SIGTERM)
	sendSignal(pid, syscall.SIGCONT) // a stopped process can't end
	running := func() bool { return s.runningPID(g) == pid }
	return awaitEnd(ctx, running, maxDrainTime, func() { sendSignal(pid, syscall.SIGKILL) })
}

// start starts a process in a session of its own, so that neither the controller's end nor its terminal reaches it.
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
	// The process outlives the controller by design, and nobody waits for its end here. While the controller runs
	// it is the parent, and has to collect the exit status for the process to be gone.
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
