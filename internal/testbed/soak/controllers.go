package soak

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"yokeroute/internal/control/rollout"
	"yokeroute/internal/process"
	logic "yokeroute/logic/rollout"
)

// supersededTimeout is how long a controller takes to end that goes on after another one has taken over.
const supersededTimeout = 10 * time.Second

// runControllers runs one controller after the other until the rollout is completed, and returns how many of them were
// killed, stopped or taken over from.
func (d *rolloutDay) runControllers(ctx context.Context) (disturbed int, err error) {
	defer func() {
		if d.running != nil {
			d.running.Kill()
		}
	}()
	for ; ; disturbed++ {
		ended, err := d.runController(ctx, disturbed)
		if ended || err != nil {
			return disturbed, err
		}
	}
}

// runController runs a controller, which is killed or stopped unless it is the last one. It reports whether the rollout
// has been completed.
func (d *rolloutDay) runController(ctx context.Context, number int) (ended bool, err error) {
	p := d.running
	d.running = nil
	if p == nil {
		if p, err = d.startController(number); err != nil {
			return false, err
		}
	}
	defer p.Kill()
	if number < maxControllerFaults {
		gone, err := d.disturbController(ctx, p, number)
		if gone || err != nil {
			return false, err
		}
	}
	if err := p.Wait(ctx); err != nil {
		return false, fmt.Errorf("%w: %.4000s", err, p.Log())
	}
	if p.Err() != nil {
		return false, fmt.Errorf("%s ended with %w: %.4000s", p.Name, p.Err(), p.Log())
	}
	status, err := rollout.ReadStatus(d.statusFolder())
	if err == nil && status.Phase != logic.Completed {
		err = fmt.Errorf("the rollout has ended as %s: %s", status.Phase, status.Reason)
	}
	return true, err
}

func (d *rolloutDay) statusFolder() string { return filepath.Join(d.folder, rolloutName) }

func (d *rolloutDay) startController(number int, flags ...string) (*process.Process, error) {
	args := append([]string{"rollout", "run", d.plan}, flags...)
	p, err := process.Start(fmt.Sprint("controller.", number+1), d.program, args, nil)
	if err == nil {
		p.ExpectExit()
		d.controllers = append(d.controllers, p)
	}
	return p, err
}

// disturbController kills a controller or stops it after a while. It reports whether another one has to go on; one that
// had ended by then has completed the rollout.
func (d *rolloutDay) disturbController(ctx context.Context, p *process.Process, number int) (gone bool, err error) {
	wait(ctx, minControllerRun+time.Duration(d.random.Float64()*float64(maxControllerRun-minControllerRun)))
	if d.random.Uint32()%2 == 0 && p.Alive() {
		d.fleet.Say("controller %d: kill", number+1)
		p.Kill()
		return true, nil
	}
	if err := p.Stop(ctx); err == nil && !p.HasEnded() {
		if d.supersessions.Uint32()%2 == 0 {
			return true, d.supersede(ctx, p, number)
		}
		d.fleet.Say("controller %d: stop for %v", number+1, controllerStopTime)
		wait(ctx, controllerStopTime)
		_ = p.Continue() // it may have ended
	}
	wait(ctx, controllerStopTime)
	if !p.Alive() {
		return false, nil
	}
	p.Kill()
	return true, nil
}

// supersede has another controller take over from a stopped one, which then goes on: it has to end.
func (d *rolloutDay) supersede(ctx context.Context, stopped *process.Process, number int) error {
	d.fleet.Say("controller %d: stop, and controller %d takes over", number+1, number+2)
	next, err := d.startController(number+1, "--take-over")
	if err != nil {
		return err
	}
	d.running = next
	err = process.WaitUntil(ctx, next.Name+" takes over", func() bool {
		status, err := rollout.ReadStatus(d.statusFolder())
		return err == nil && status.PID == next.PID() || !next.Alive()
	})
	if err != nil {
		return fmt.Errorf("%w: %.4000s", err, next.Log())
	}
	d.fleet.Say("controller %d: goes on", number+1)
	_ = stopped.Continue() // it may have ended
	ctx, cancel := context.WithTimeout(ctx, supersededTimeout)
	defer cancel()
	if err := stopped.Wait(ctx); err != nil {
		return fmt.Errorf("after %s has taken over: %w: %.4000s", next.Name, err, stopped.Log())
	}
	return nil
}
