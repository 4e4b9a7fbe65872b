package processtest

import (
	"errors"
	"fmt"
	"os/exec"
	"syscall"
	"time"

	"yokeroute/internal/millis"
	"yokeroute/internal/process"
)

const (
	// A planned restart kills a process no sooner than the longest deadline, which counts as maxKillDeadline at
	// most, and killMargin after SIGTERM.
	maxKillDeadline = 3 * time.Second
	killMargin      = 700 * time.Millisecond
)

// killDelay is the time from SIGTERM to SIGKILL at a planned restart.
func (s *Scenario) killDelay() time.Duration {
	longest := time.Duration(0)
	for i := range s.Indexes {
		longest = max(longest, millis.Duration(s.Indexes[i].Hard))
	}
	return min(longest, maxKillDeadline) + killMargin
}

// plannedRestart ends a process as the platform does at a planned restart. One that has to be killed although nothing
// held it up, or that ends with another status than 0, has a fault.
func (g *Gatherer) plannedRestart(p *process.Process) error {
	if p.Sent(syscall.SIGTERM) {
		return ignoreEnded(p, p.Signal(syscall.SIGTERM)) // a second one is to change nothing
	}
	delay := g.fleet.Scenario.killDelay()
	if err := ignoreEnded(p, p.Signal(syscall.SIGTERM)); err != nil {
		return err
	}
	select {
	case <-p.Exited():
	case <-time.After(delay):
		if !p.HasEnded() {
			return killAfter(p, delay)
		}
		<-p.Exited()
	}
	if err := p.Err(); err != nil && !p.Sent(syscall.SIGKILL) && !EndedBeforeItBegan(p) {
		return fmt.Errorf("%s ended after SIGTERM with %w: %.2000s", p.Name, err, p.Log())
	}
	return nil
}

// killAfter kills a process that has not ended in time. Unless it was held up that is its fault.
func killAfter(p *process.Process, delay time.Duration) error {
	defer p.Kill()
	if p.Sent(syscall.SIGSTOP) {
		return nil
	}
	return fmt.Errorf("%s has not ended %v after SIGTERM; %s", p.Name, delay, p.DescribeHang())
}

// EndedBeforeItBegan reports whether SIGTERM ended a process by its default action, as the process had not run far
// enough to catch it. Such a one has opened nothing, and logged nothing.
func EndedBeforeItBegan(p *process.Process) bool {
	var exit *exec.ExitError
	if !errors.As(p.Err(), &exit) || p.Log() != "" {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM
}

// hangup has a process read its files again, once it serves.
func (g *Gatherer) hangup(p *process.Process) error {
	if !g.answers() {
		return nil
	}
	if err := g.WriteFiles(); err != nil {
		return err
	}
	return ignoreEnded(p, p.Signal(syscall.SIGHUP))
}
