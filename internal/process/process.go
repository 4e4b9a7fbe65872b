package process

import (
	"bytes"
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

// Process is one process of the program, or of another, from its start to its end.
type Process struct {
	Name string

	cmd   *exec.Cmd
	began time.Time
	ended chan struct{}

	mu      sync.Mutex
	log     bytes.Buffer
	err     error // of its end
	expect  bool  // its end was asked for
	stopped bool
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

// Start starts a program. Its output is kept; it dies with this process, however that ends, and what it starts itself
// is ended with it. A race that the race detector finds in it ends it at once.
// Files are handed on as descriptors from 3 on.
func Start(name, binary string, args, env []string, files ...*os.File) (*Process, error) {
	p := &Process{Name: name, ended: make(chan struct{}), began: time.Now()}
	p.cmd = exec.Command(binary, args...)
	p.cmd.Env = append(append(os.Environ(), "GORACE=halt_on_error=1 exitcode=66 atexit_sleep_ms=0"), env...)
	p.cmd.Stdout, p.cmd.Stderr = logged{p}, logged{p}
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
		close(p.ended)
	}()
	return p, nil
}

// logged takes what a process writes.
type logged struct{ p *Process }

// mostLog bounds what is kept of one process, against a loop that fills the memory.
const mostLog = 4 << 20

func (l logged) Write(b []byte) (int, error) {
	l.p.mu.Lock()
	defer l.p.mu.Unlock()
	if l.p.log.Len() < mostLog {
		l.p.log.Write(b)
	}
	return len(b), nil
}

// Log is what it wrote so far.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// PID is its number.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Ended is closed at its end.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Alive reports whether it has not ended.
func (p *Process) Alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Err is how it ended; nil for status 0, and while it runs.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Fault says what went wrong with it beside what was done to it: a race, a panic, an end that nobody asked for. It is
// nil where nothing did.
func (p *Process) Fault() error {
	log := p.Log()
	for _, mark := range []string{"WARNING: DATA RACE", "panic: ", "fatal error: ", "decision module: "} {
		if at := strings.Index(log, mark); at >= 0 {
			return fmt.Errorf("%s: %.4000s", p.Name, log[at:])
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.ended:
		if !p.expect {
			return fmt.Errorf("%s ended by itself: %v: %.2000s", p.Name, p.err, log)
		}
	default:
	}
	return nil
}

// Signal sends a signal. An end that follows from it is expected.
func (p *Process) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	switch sig {
	case syscall.SIGKILL, syscall.SIGTERM, syscall.SIGINT:
		p.expect = true
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

// Stopped reports whether it was stopped by SIGSTOP and not let go on.
func (p *Process) Stopped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

// Stop stops it and waits until the kernel has: what it sends after that was sent before.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return Until(ctx, p.Name+" stands still", func() bool { return State(p.PID()) == 'T' || !p.Alive() })
}

// Continue lets it go on.
func (p *Process) Continue() error { return p.Signal(syscall.SIGCONT) }

// Kill ends it with no warning, and all that it started.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	syscall.Kill(-p.PID(), syscall.SIGKILL)
	<-p.ended
}

// Wait waits for its end.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.ended:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%s has not ended: %w", p.Name, ctx.Err())
	}
}

// Term asks it to end, as a planned restart does, and waits for that.
func (p *Process) Term(ctx context.Context) error {
	if p.Stopped() {
		p.Continue()
	}
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return p.Wait(ctx)
}

// Use is what it has used; nothing once it has ended.
func (p *Process) Use() Use { return Of(p.PID()) }

// Expect tells that the process may end by itself.
func (p *Process) Expect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expect = true
}

// Expected reports whether its end, should it come, was asked for.
func (p *Process) Expected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.expect
}

// RefuseWrites lets no file of the process grow any more, or lets all grow again: what it appends fails, what is there
// stays readable. Its output goes on, which is no file.
func (p *Process) RefuseWrites(on bool) error {
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if on {
		limit.Cur = 0
	}
	return unix.Prlimit(p.PID(), unix.RLIMIT_FSIZE, &limit, nil)
}

// Until waits for a condition, looking every few milliseconds. The error says which one did not come.
func Until(ctx context.Context, what string, holds func() bool) error {
	tick := time.NewTicker(5 * time.Millisecond)
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
