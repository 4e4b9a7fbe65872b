package rollout

import (
	"bytes"
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

	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
	"yokeroute/internal/process"
	"yokeroute/internal/storage/statedir"
	"yokeroute/logic/rollout"
)

// operatorFingerprint is the fingerprint of an operator's file with all that it includes, as a gatherer tells it. A faulty file
// is an error: no gatherer would take it.
func operatorFingerprint(file string) (string, error) {
	own, err := operator.Read(file)
	if err != nil {
		return "", err
	}
	return own.Checksum, nil
}

// CheckFiles reads all files of a side as gatherers would, before any is changed.
func (p *Plan) CheckFiles() error {
	var all []error
	for _, s := range []Release{p.Old, p.New} {
		for g := range p.Gatherers {
			f := p.releaseFor(s, g)
			if f.Program != "" {
				if info, err := os.Stat(f.Program); err != nil {
					all = append(all, fmt.Errorf("gatherer %s: %w", p.Gatherers[g].Name, err))
				} else if info.Mode()&0o111 == 0 || info.IsDir() {
					all = append(all, fmt.Errorf("gatherer %s: %s is no program", p.Gatherers[g].Name, f.Program))
				}
			}
			if f.Config != "" {
				if _, err := platform.Load(f.Config, func(string) string { return "" }); err != nil {
					all = append(all, fmt.Errorf("gatherer %s: %w", p.Gatherers[g].Name, err))
				}
			}
			if f.Operator != "" {
				if _, err := operator.Read(f.Operator); err != nil {
					all = append(all, fmt.Errorf("gatherer %s: %w", p.Gatherers[g].Name, err))
				}
			}
			if len(all) > 20 {
				return errors.Join(append(all, errors.New("and more"))...)
			}
		}
	}
	return errors.Join(all...)
}

// stepper makes steps.
type stepper interface {
	// step makes a gatherer what it is to be. It may be called again for a step that was begun before; fence is the
	// controller's number. An error says why it could not.
	step(ctx context.Context, g int, to rollout.Variant, fence uint64) error
}

// commandStepper carries steps out by the operator's own.
type commandStepper struct{ plan *Plan }

func (c commandStepper) step(ctx context.Context, g int, to rollout.Variant, fence uint64) error {
	own := c.plan.Commands[to]
	if err := c.awaitPrevious(ctx, g, own.Timeout); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(own.Timeout*1e6))
	defer cancel()
	words := make([]string, len(own.Args))
	for i, w := range own.Args {
		words[i] = strings.NewReplacer("{to}", to.String(), "{fence}", strconv.FormatUint(fence, 10)).Replace(c.plan.expand(w, g))
	}
	cmd := exec.CommandContext(ctx, words[0], words[1:]...)
	cmd.Dir = filepath.Dir(c.plan.File)
	cmd.Env = append(os.Environ(), "YOKEROUTE_GATHERER="+c.plan.Gatherers[g].Name, "YOKEROUTE_TO="+to.String(), "YOKEROUTE_FENCE="+strconv.FormatUint(fence, 10))
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) } // with all that it has started
	cmd.WaitDelay = time.Second
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Start()
	if err == nil {
		if noted := c.recordProcess(g, cmd.Process.Pid); noted != nil {
			cmd.Cancel()
			cmd.Wait()
			return noted
		}
		err = cmd.Wait()
	}
	if err != nil {
		if ctx.Err() != nil {
			return fmt.Errorf("step of %s: not done after %.0f s: %s", c.plan.Gatherers[g].Name, own.Timeout/1000, outputTail(out.Bytes()))
		}
		return fmt.Errorf("step of %s: %w: %s", c.plan.Gatherers[g].Name, err, outputTail(out.Bytes()))
	}
	return nil
}

func (c commandStepper) processFile(g int) string {
	return filepath.Join(c.plan.Folder, "run", c.plan.Gatherers[g].Name+".step")
}

// recordProcess writes down which process makes a gatherer's step, for a controller after this one.
func (c commandStepper) recordProcess(g, pid int) error {
	if err := os.MkdirAll(filepath.Dir(c.processFile(g)), 0o755); err != nil {
		return err
	}
	return statedir.Replace(c.processFile(g), fmt.Appendf(nil, "%d %s\n", pid, process.StartTicks(pid)))
}

// awaitPrevious waits until the command that a controller before this one has started for the gatherer has ended, since two at
// once would be in each other's way; one that runs longer than its limit is ended.
func (c commandStepper) awaitPrevious(ctx context.Context, g int, limit float64) error {
	text, err := os.ReadFile(c.processFile(g))
	if err != nil {
		return nil // there is none
	}
	var pid int
	var began string
	if n, _ := fmt.Sscan(string(text), &pid, &began); n < 2 {
		return nil
	}
	force := time.NewTimer(time.Duration(limit * 1e6))
	defer force.Stop()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for process.StartTicks(pid) == began {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-force.C:
			syscall.Kill(-pid, syscall.SIGKILL)
		case <-tick.C:
		}
	}
	return nil
}

// outputTail is the end of what a command has said.
func outputTail(out []byte) string {
	text := strings.TrimSpace(string(out))
	if len(text) > 400 {
		text = "..." + text[len(text)-400:]
	}
	return text
}

// processStepper is the built-in one: gatherers are processes on this machine, started apart from this one, so that they
// outlive it. Who they are stands in files, with the kernel's word of when each started, against a number that has gone
// to another process meanwhile.
type processStepper struct{ plan *Plan }

func (r processStepper) pidFile(g int) string {
	return filepath.Join(r.plan.Folder, "run", r.plan.Gatherers[g].Name+".pid")
}

// runningPID reads who a gatherer's process is; 0 for none that runs.
func (r processStepper) runningPID(g int) int {
	text, err := os.ReadFile(r.pidFile(g))
	if err == nil {
		var pid int
		var began string
		if n, _ := fmt.Sscan(string(text), &pid, &began); n == 2 && process.StartTicks(pid) == began {
			return pid
		}
	}
	return r.findProcess(r.plan.Processes[g].ConfigFile)
}

// findProcess looks for a process that serves by a configuration file: one that was started by hand, or by a process that was
// killed before it had written down whom it had started.
func (r processStepper) findProcess(config string) int {
	entries, err := os.ReadDir("/proc")
	if err != nil || config == "" {
		return 0
	}
	for _, e := range entries {
		pid, err := strconv.Atoi(e.Name())
		if err != nil || pid == os.Getpid() {
			continue
		}
		text, err := os.ReadFile(filepath.Join("/proc", e.Name(), "cmdline"))
		if err != nil {
			continue
		}
		words := strings.Split(strings.TrimRight(string(text), "\x00"), "\x00")
		serves := len(words) > 1 && words[1] == "serve"
		for i, w := range words {
			if serves && (w == "--config" && i+1 < len(words) && words[i+1] == config || w == "--config="+config) && process.StartTicks(pid) != "" {
				return pid
			}
		}
	}
	return 0
}

// adopt tells the runner of a process that serves already.
func (r processStepper) adopt(g, pid int) error {
	began := process.StartTicks(pid)
	if began == "" {
		return fmt.Errorf("gatherer %s: no process %d", r.plan.Gatherers[g].Name, pid)
	}
	if err := os.MkdirAll(filepath.Dir(r.pidFile(g)), 0o755); err != nil {
		return err
	}
	return statedir.Replace(r.pidFile(g), fmt.Appendf(nil, "%d %s\n", pid, began))
}

// install puts a side's files in the place of those that a gatherer reads.
func (r processStepper) install(s Release, m GathererProcess) error {
	for from, to := range map[string]string{s.Config: m.ConfigFile, s.Operator: m.OperatorFile} {
		if from == "" || to == "" || from == to {
			continue
		}
		text, err := os.ReadFile(from)
		if err != nil {
			return err
		}
		if err := statedir.Replace(to, text); err != nil {
			return err
		}
	}
	return nil
}

func (r processStepper) step(ctx context.Context, g int, to rollout.Variant, _ uint64) error {
	s, m := r.plan.releaseFor(r.plan.New, g), r.plan.Processes[g]
	if to == rollout.Old {
		s = r.plan.releaseFor(r.plan.Old, g)
	}
	if err := r.install(s, m); err != nil {
		return err
	}
	pid := r.runningPID(g)
	if r.plan.ReloadOnly {
		if pid == 0 {
			return fmt.Errorf("gatherer %s: no process to tell by SIGHUP", r.plan.Gatherers[g].Name)
		}
		return syscall.Kill(pid, syscall.SIGHUP)
	}
	if err := r.terminate(ctx, g, pid); err != nil {
		return err
	}
	return r.start(g, s, m)
}

// maxDrainTime is how long a process may take to answer what it holds before it is ended by force: longer than any
// hard deadline of a lookup should be.
const maxDrainTime = 30 * time.Second

// terminate ends a process as a planned restart does. Its successor starts when it has ended: they share an address and a
// state folder.
func (r processStepper) terminate(ctx context.Context, g, pid int) error {
	if pid == 0 {
		return nil
	}
	syscall.Kill(pid, syscall.SIGTERM)
	syscall.Kill(pid, syscall.SIGCONT) // one that was stopped can't end
	force := time.NewTimer(maxDrainTime)
	defer force.Stop()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for r.runningPID(g) == pid {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-force.C:
			syscall.Kill(pid, syscall.SIGKILL)
		case <-tick.C:
		}
	}
	return nil
}

// start starts a process in a session of its own, so that neither this one's end nor its terminal reaches it.
func (r processStepper) start(g int, s Release, m GathererProcess) error {
	if err := os.MkdirAll(filepath.Dir(r.pidFile(g)), 0o755); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.plan.Folder, "run", r.plan.Gatherers[g].Name+".log"), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	args := []string{"serve", "--config", m.ConfigFile}
	if m.OperatorFile != "" {
		if _, err := os.Stat(m.OperatorFile); !errors.Is(err, fs.ErrNotExist) {
			args = append(args, "--operator", m.OperatorFile)
		}
	}
	cmd := exec.Command(s.Program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("gatherer %s: %w", r.plan.Gatherers[g].Name, err)
	}
	go cmd.Wait() // against a dead one that is never buried while this process lives
	return r.adopt(g, cmd.Process.Pid)
}
