package process

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Process is a child process, from its start to its end.
type Process struct {
	Name string

	cmd       *exec.Cmd
	startedAt time.Time
	exited    chan struct{}

	log Output

	mu           sync.Mutex
	err          error // of its end
	exitExpected bool  // its end was asked for
	stopped      bool
	signals      []sentSignal
}

// sentSignal is a signal that was sent to a process.
type sentSignal struct {
	signal syscall.Signal
	at     time.Time
}

// spawner starts all processes on one thread that lives as long as this process: the kernel kills a child whose
// parent-death signal is set when the thread that forked it ends, and the runtime ends threads as it likes.
var spawner = sync.OnceValue(func() chan<- func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for do := range work {
			do()
		}
	}()
	return work
})

// Start starts a program and keeps its output. The kernel kills it when this process ends, and Kill ends what it started
// itself with it. A data race found by the race detector ends it at once. Files become its descriptors from 3 on.
func Start(name, binary string, args, env []string, files ...*os.File) (*Process, error) {
	p := &Process{Name: name, exited: make(chan struct{}), startedAt: time.Now()}
	p.cmd = exec.Command(binary, args...)
	p.cmd.Env = append(append(os.Environ(), "GORACE=halt_on_error=1 exitcode=66 atexit_sleep_ms=0"), env...)
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	p.cmd.ExtraFiles = files
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	started := make(chan error)
	spawner() <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	go func() {
		err := p.cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(p.exited)
	}()
	return p, nil
}

// Log returns what it has written so far.
func (p *Process) Log() string { return p.log.String() }

// PID returns its number.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Exited is closed when it has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Alive reports whether it has not ended.
func (p *Process) Alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// HasEnded reports whether it has ended for the kernel, which is before it is not Alive.
func (p *Process) HasEnded() bool { return !p.Alive() || State(p.PID()) == 'Z' }

// Err returns how it ended, nil for status 0 and while it runs.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Failure returns what went wrong in it by itself: a data race, a panic, an exit that was not expected. It is nil where
// nothing did.
func (p *Process) Failure() error {
	log := p.Log()
	for _, mark := range []string{"WARNING: DATA RACE", "panic: ", "fatal error: ", "decision module: "} {
		if at := strings.Index(log, mark); at >= 0 {
			return fmt.Errorf("%s: %.4000s", p.Name, log[at:])
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		if !p.exitExpected {
			//nolint:errorlint // the error is nil where it ended with status 0
			return fmt.Errorf("%s ended by itself: %v: %.2000s", p.Name, p.err, log)
		}
	default:
	}
	return nil
}

// Signal sends a signal. An exit that follows from it is expected.
func (p *Process) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	p.signals = append(p.signals, sentSignal{sig, time.Now()})
	switch sig {
	case syscall.SIGKILL, syscall.SIGTERM, syscall.SIGINT:
		p.exitExpected = true
	case syscall.SIGSTOP:
		p.stopped = true
	case syscall.SIGCONT:
		p.stopped = false
	}
	p.mu.Unlock()
	if !p.Alive() {
		return os.ErrProcessDone
	}
	return p.cmd.Process.Signal(sig)
}

// Sent reports whether it was sent a signal.
func (p *Process) Sent(sig syscall.Signal) bool { return !p.SentAt(sig).IsZero() }

// SentAt returns when it was first sent a signal, the zero time where it was not.
func (p *Process) SentAt(sig syscall.Signal) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.signals {
		if s.signal == sig {
			return s.at
		}
	}
	return time.Time{}
}

// Stopped reports whether it was stopped by SIGSTOP and not let go on.
func (p *Process) Stopped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

// Stop sends SIGSTOP and waits until the kernel has stopped the process.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return WaitUntil(ctx, p.Name+" stands still", func() bool { return State(p.PID()) == 'T' || !p.Alive() })
}

// Continue sends SIGCONT.
func (p *Process) Continue() error { return p.Signal(syscall.SIGCONT) }

// Kill ends it and all that it started, and waits for its end.
func (p *Process) Kill() {
	// Both fail where the process or its group has ended, which is what is wanted.
	_ = p.Signal(syscall.SIGKILL)
	_ = syscall.Kill(-p.PID(), syscall.SIGKILL)
	<-p.exited
}

// Wait waits for its end.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.exited:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%s has not ended: %w", p.Name, ctx.Err())
	}
}

// Terminate sends SIGTERM and waits for the process's end. Where it does not end in time, the error describes it, with
// its goroutines, for which it is ended by SIGQUIT.
func (p *Process) Terminate(ctx context.Context) error {
	if p.Stopped() {
		if err := p.Continue(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			return err
		}
	}
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	if err := p.Wait(ctx); err != nil {
		return fmt.Errorf("%w; %s", err, p.DescribeHang())
	}
	return nil
}

// Bounds of the description of a process that does not end.
const (
	stackDumpTimeout = 5 * time.Second
	maxStackDump     = 64 << 10
)

// DescribeHang returns what tells why a process does not end: its state, the signals that it was sent and its
// goroutines. It ends the process by SIGQUIT.
func (p *Process) DescribeHang() string {
	var text strings.Builder
	fmt.Fprintf(&text, "state %q, signals", State(p.PID()))
	p.mu.Lock()
	for _, s := range p.signals {
		fmt.Fprintf(&text, " %s (%.2f s ago)", unix.SignalName(s.signal), time.Since(s.at).Seconds())
	}
	p.mu.Unlock()
	logged := len(p.Log())
	if err := p.Signal(syscall.SIGQUIT); err != nil {
		return text.String() + "; it has ended since"
	}
	select {
	case <-p.exited:
	case <-time.After(stackDumpTimeout):
		text.WriteString("; SIGQUIT does not end it either")
	}
	dump := p.Log()[logged:]
	return text.String() + "; " + dump[:min(len(dump), maxStackDump)]
}

// Usage returns what it has used, the zero Usage once it has ended.
func (p *Process) Usage() Usage { return UsageOf(p.PID()) }

// ExpectExit notes that the process may end by itself.
func (p *Process) ExpectExit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitExpected = true
}

// ExitExpected reports whether its end would be expected.
func (p *Process) ExitExpected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitExpected
}

// RefuseWrites keeps the files of the process from growing, or lets them grow again. Its output goes to pipes and is not
// affected.
func (p *Process) RefuseWrites(on bool) error {
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if on {
		limit.Cur = 0
	}
	return unix.Prlimit(p.PID(), unix.RLIMIT_FSIZE, &limit, nil)
}

// pollInterval is how often WaitUntil looks.
const pollInterval = 5 * time.Millisecond

// WaitUntil polls a condition until it holds. The error names the condition that never did.
func WaitUntil(ctx context.Context, what string, holds func() bool) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("never came: %s: %w", what, ctx.Err())
		case <-tick.C:
		}
	}
	return nil
}
