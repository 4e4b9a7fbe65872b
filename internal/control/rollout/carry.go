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

// operatorSum is the fingerprint of an operator's file with all that it includes, as a gatherer tells it. A faulty file
// is an error: no gatherer would take it.
func operatorSum(file string) (string, error) {
	own, err := operator.Read(file)
	if err != nil {
		return "", err
	}
	return own.Checksum, nil
}

// CheckFiles reads all files of a side as gatherers would, before any is changed.
func (p *Plan) CheckFiles() error {
	var all []error
	for _, s := range []Side{p.Old, p.New} {
		for g := range p.Gatherers {
			f := p.of(s, g)
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

// carrier makes steps.
type carrier interface {
	// step makes a gatherer what it is to be. It may be called again for a step that was begun before; fence is the
	// controller's number. An error says why it could not.
	step(ctx context.Context, g int, to rollout.Kind, fence uint64) error
}

// commands carries steps out by the operator's own.
type commands struct{ p *Plan }

func (c commands) step(ctx context.Context, g int, to rollout.Kind, fence uint64) error {
	own := c.p.Steps[to]
	if err := c.alone(ctx, g, own.Limit); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(own.Limit*1e6))
	defer cancel()
	words := make([]string, len(own.Words))
	for i, w := range own.Words {
		words[i] = strings.NewReplacer("{to}", to.String(), "{fence}", strconv.FormatUint(fence, 10)).Replace(c.p.filled(w, g))
	}
	cmd := exec.CommandContext(ctx, words[0], words[1:]...)
	cmd.Dir = filepath.Dir(c.p.File)
	cmd.Env = append(os.Environ(), "YOKEROUTE_GATHERER="+c.p.Gatherers[g].Name, "YOKEROUTE_TO="+to.String(), "YOKEROUTE_FENCE="+strconv.FormatUint(fence, 10))
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) } // with all that it has started
	cmd.WaitDelay = time.Second
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Start()
	if err == nil {
		if noted := c.note(g, cmd.Process.Pid); noted != nil {
			cmd.Cancel()
			cmd.Wait()
			return noted
		}
		err = cmd.Wait()
	}
	if err != nil {
		if ctx.Err() != nil {
			return fmt.Errorf("step of %s: not done after %.0f s: %s", c.p.Gatherers[g].Name, own.Limit/1000, last(out.Bytes()))
		}
		return fmt.Errorf("step of %s: %w: %s", c.p.Gatherers[g].Name, err, last(out.Bytes()))
	}
	return nil
}

func (c commands) noteFile(g int) string {
	return filepath.Join(c.p.Folder, "run", c.p.Gatherers[g].Name+".step")
}

// note writes down which process makes a gatherer's step, for a controller after this one.
func (c commands) note(g, pid int) error {
	if err := os.MkdirAll(filepath.Dir(c.noteFile(g)), 0o755); err != nil {
		return err
	}
	return statedir.WriteFileAtomic(c.noteFile(g), fmt.Appendf(nil, "%d %s\n", pid, process.StartTicks(pid)))
}

// alone waits until the command that a controller before this one has started for the gatherer has ended, since two at
// once would be in each other's way; one that runs longer than its limit is ended.
func (c commands) alone(ctx context.Context, g int, limit float64) error {
	text, err := os.ReadFile(c.noteFile(g))
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

// last is the end of what a command has said.
func last(out []byte) string {
	text := strings.TrimSpace(string(out))
	if len(text) > 400 {
		text = "..." + text[len(text)-400:]
	}
	return text
}

// runner is the built-in one: gatherers are processes on this machine, started apart from this one, so that they
// outlive it. Who they are stands in files, with the kernel's word of when each started, against a number that has gone
// to another process meanwhile.
type runner struct{ p *Plan }

func (r runner) pidFile(g int) string {
	return filepath.Join(r.p.Folder, "run", r.p.Gatherers[g].Name+".pid")
}

// process reads who a gatherer's process is; 0 for none that runs.
func (r runner) process(g int) int {
	text, err := os.ReadFile(r.pidFile(g))
	if err == nil {
		var pid int
		var began string
		if n, _ := fmt.Sscan(string(text), &pid, &began); n == 2 && process.StartTicks(pid) == began {
			return pid
		}
	}
	return r.find(r.p.Machines[g].Config)
}

// find looks for a process that serves by a configuration file: one that was started by hand, or by a process that was
// killed before it had written down whom it had started.
func (r runner) find(config string) int {
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
func (r runner) adopt(g, pid int) error {
	began := process.StartTicks(pid)
	if began == "" {
		return fmt.Errorf("gatherer %s: no process %d", r.p.Gatherers[g].Name, pid)
	}
	if err := os.MkdirAll(filepath.Dir(r.pidFile(g)), 0o755); err != nil {
		return err
	}
	return statedir.WriteFileAtomic(r.pidFile(g), fmt.Appendf(nil, "%d %s\n", pid, began))
}

// install puts a side's files in the place of those that a gatherer reads.
func (r runner) install(s Side, m Machine) error {
	for from, to := range map[string]string{s.Config: m.Config, s.Operator: m.Operator} {
		if from == "" || to == "" || from == to {
			continue
		}
		text, err := os.ReadFile(from)
		if err != nil {
			return err
		}
		if err := statedir.WriteFileAtomic(to, text); err != nil {
			return err
		}
	}
	return nil
}

func (r runner) step(ctx context.Context, g int, to rollout.Kind, _ uint64) error {
	s, m := r.p.of(r.p.New, g), r.p.Machines[g]
	if to == rollout.Old {
		s = r.p.of(r.p.Old, g)
	}
	if err := r.install(s, m); err != nil {
		return err
	}
	pid := r.process(g)
	if r.p.Hangup {
		if pid == 0 {
			return fmt.Errorf("gatherer %s: no process to tell by SIGHUP", r.p.Gatherers[g].Name)
		}
		return syscall.Kill(pid, syscall.SIGHUP)
	}
	if err := r.end(ctx, g, pid); err != nil {
		return err
	}
	return r.start(g, s, m)
}

// longestDrain is how long a process may take to answer what it holds before it is ended by force: longer than any
// hard deadline of a lookup should be.
const longestDrain = 30 * time.Second

// end ends a process as a planned restart does. Its successor starts when it has ended: they share an address and a
// state folder.
func (r runner) end(ctx context.Context, g, pid int) error {
	if pid == 0 {
		return nil
	}
	syscall.Kill(pid, syscall.SIGTERM)
	syscall.Kill(pid, syscall.SIGCONT) // one that was stopped can't end
	force := time.NewTimer(longestDrain)
	defer force.Stop()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for r.process(g) == pid {
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
func (r runner) start(g int, s Side, m Machine) error {
	if err := os.MkdirAll(filepath.Dir(r.pidFile(g)), 0o755); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.p.Folder, "run", r.p.Gatherers[g].Name+".log"), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	args := []string{"serve", "--config", m.Config}
	if m.Operator != "" {
		if _, err := os.Stat(m.Operator); !errors.Is(err, fs.ErrNotExist) {
			args = append(args, "--operator", m.Operator)
		}
	}
	cmd := exec.Command(s.Program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("gatherer %s: %w", r.p.Gatherers[g].Name, err)
	}
	go cmd.Wait() // against a dead one that is never buried while this process lives
	return r.adopt(g, cmd.Process.Pid)
}
