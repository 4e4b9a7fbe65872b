package processtest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"yokeroute/internal/process"
)

// activeFaults counts the faults that are in effect, as those of one kind may overlap on one target: what the first one
// does is undone by the end of the last one.
type activeFaults struct {
	mu    sync.Mutex
	count map[faultTarget]int
}

// faultTarget is a kind of faults with the process, link or server that it strikes.
type faultTarget struct{ kind, name string }

// begin notes a fault, and reports whether it is the only one of its kind on its target.
func (a *activeFaults) begin(kind, name string) (first bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.count == nil {
		a.count = map[faultTarget]int{}
	}
	target := faultTarget{kind, name}
	a.count[target]++
	return a.count[target] == 1
}

// end notes a fault's end, and reports whether none of its kind is left on its target.
func (a *activeFaults) end(kind, name string) (last bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	target := faultTarget{kind, name}
	a.count[target]--
	return a.count[target] == 0
}

// Do begins a fault, or ends it.
func (f *Fleet) Do(ctx context.Context, ft *Fault, end bool) error {
	kind := faultKindOf(ft.Kind)
	var names []string
	for _, pattern := range ft.On {
		for _, name := range matching(pattern, f.Scenario.names(kind.on)) {
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	var all []error
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, name := range names {
		wait.Go(func() {
			err := f.doOne(ctx, ft, kind.on, name, end)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, err)
		})
	}
	wait.Wait()
	return errors.Join(all...)
}

// doOne begins a fault on one target, or ends it.
func (f *Fleet) doOne(ctx context.Context, ft *Fault, on, name string, end bool) error {
	if on == "gatherers" {
		g := f.Gatherer(name)
		if end {
			return g.endFault(ctx, ft)
		}
		return g.beginFault(ctx, ft)
	}
	first := !end && f.active.begin(ft.Kind, name)
	if end && !f.active.end(ft.Kind, name) {
		return nil
	}
	switch on {
	case "links":
		return f.doLink(name, ft, end)
	case "servers":
		if ft.Kind == "server-kill" && !end && !first {
			return nil
		}
		f.doServer(name, ft, end)
	case "discovery":
		f.Discovery.SetSilent(!end)
	}
	return nil
}

func (f *Fleet) doLink(name string, ft *Fault, end bool) error {
	k := f.Link(name)
	if k == nil {
		return nil // the gatherer has never heard of that server: there is no way between them
	}
	on := !end
	switch ft.Kind {
	case "cut":
		return k.Cut(on)
	case "reset":
		if on {
			k.Reset()
		}
		return nil
	case "garble":
		if on {
			k.Garble(Back)
		}
		return nil
	}
	k.Change(func(w *Weather) {
		switch ft.Kind {
		case "silent":
			w.Silent = [2]bool{on, on}
		case "silent-there":
			w.Silent[There] = on
		case "silent-back":
			w.Silent[Back] = on
		case "mute":
			w.Mute = on
		case "delay":
			w.Delay = time.Duration(onlyIf(on, ft.Delay) * 1e6)
		case "jitter":
			w.Jitter = time.Duration(onlyIf(on, ft.Delay) * 1e6)
		case "throttle":
			w.Throttle = onlyIf(on, ft.Rate)
		}
	})
	return nil
}

func onlyIf(on bool, v float64) float64 {
	if on {
		return v
	}
	return 0
}

func (f *Fleet) doServer(name string, ft *Fault, end bool) {
	s := f.Servers[name]
	switch ft.Kind {
	case "server-kill":
		lag := time.Duration(f.Scenario.Discovery.Lag * 1e6)
		if !end {
			s.Kill()
			time.Sleep(lag) // discovery is late, as in life
			f.SetPhase("terminated", name)
			return
		}
		if err := s.Restart(); err != nil {
			f.fault(err)
			return
		}
		time.Sleep(lag)
		f.AnnounceRestart(name)
	case "hang":
		s.SetHung(!end)
	case "slow":
		s.SetSlowdown(1 + onlyIf(!end, ft.Times-1))
	case "fail":
		s.SetFailureShare(onlyIf(!end, ft.Share))
	case "drain":
		if end {
			f.SetPhase("in_service", name)
			return
		}
		f.SetPhase("terminating", name)
	}
}

// beginFault begins a fault on a gatherer's process. It does nothing if the process is not running.
func (g *Gatherer) beginFault(ctx context.Context, ft *Fault) error {
	p := g.Process()
	if !p.Alive() {
		return nil
	}
	if ft.Kind == "port-taken" {
		return g.startOnTakenPort(ctx, ft)
	}
	g.noteStrike(ft, p)
	g.fleet.active.begin(ft.Kind, p.Name)
	switch ft.Kind {
	case "kill":
		p.Kill()
	case "term":
		return p.Terminate(ctx)
	case "restart":
		return g.plannedRestart(p)
	case "hangup":
		return g.hangup(p)
	case "stop":
		if err := p.Stop(ctx); !errors.Is(err, os.ErrProcessDone) {
			return err
		}
	case "refuse-writes":
		return ignoreEnded(p, p.RefuseWrites(true))
	}
	return nil
}

// endFault ends a fault on the process that it struck, whatever runs by now.
func (g *Gatherer) endFault(ctx context.Context, ft *Fault) error {
	p := g.struckBy(ft)
	if p == nil {
		return nil
	}
	if ft.Kind == "port-taken" {
		g.Free()
		return g.restartAfter(ctx, p, "kept")
	}
	last := g.fleet.active.end(ft.Kind, p.Name)
	switch ft.Kind {
	case "kill", "term", "restart":
		if err := p.Wait(ctx); err != nil {
			return err
		}
		return g.restartAfter(ctx, p, ft.State)
	case "stop":
		if last && p.Alive() && p.Stopped() {
			return ignoreEnded(p, p.Continue())
		}
	case "refuse-writes":
		if last && p.Alive() {
			return ignoreEnded(p, p.RefuseWrites(false))
		}
	}
	return nil
}

// ignoreEnded drops the error of what was done to a process that has ended meanwhile. The kernel knows of its end
// before the process counts as not alive.
func ignoreEnded(p *process.Process, err error) error {
	if !p.Alive() || errors.Is(err, os.ErrProcessDone) || errors.Is(err, syscall.ESRCH) {
		return nil
	}
	return err
}

// noteStrike notes the process that a fault strikes.
func (g *Gatherer) noteStrike(ft *Fault, p *process.Process) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.struck == nil {
		g.struck = map[*Fault]*process.Process{}
	}
	g.struck[ft] = p
	g.lastStrike = strike{ft.Kind, time.Now()}
}

// strike is a fault that has struck a gatherer.
type strike struct {
	kind string
	at   time.Time
}

// LastFault says which fault has struck the gatherer last, and how long ago.
func (g *Gatherer) LastFault() string {
	kind, since := g.lastFault()
	if kind == "" {
		return "no fault before"
	}
	return fmt.Sprintf("%.2f s after %s", since.Seconds(), kind)
}

// lastFault returns the kind of the last fault that has struck the gatherer, and how long ago; no kind for none.
func (g *Gatherer) lastFault() (kind string, since time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lastStrike.kind == "" {
		return "", 0
	}
	return g.lastStrike.kind, time.Since(g.lastStrike.at)
}

// struckBy returns the process that a fault has struck, nil for none.
func (g *Gatherer) struckBy(ft *Fault) *process.Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.struck[ft]
}

// restartAfter starts the successor of a process that has ended, unless another fault has done so, or will once the
// port is free.
func (g *Gatherer) restartAfter(ctx context.Context, p *process.Process, state string) error {
	g.restarts.Lock()
	defer g.restarts.Unlock()
	if g.Process() != p || ctx.Err() != nil || g.portTaken() {
		return nil
	}
	if err := g.Age(state); err != nil {
		return err
	}
	return g.Start(ctx)
}

// startOnTakenPort kills the process and starts one whose port is taken, and which is to end at once.
func (g *Gatherer) startOnTakenPort(ctx context.Context, ft *Fault) error {
	g.restarts.Lock()
	defer g.restarts.Unlock()
	g.Kill()
	if err := g.Occupy(); err != nil {
		return err
	}
	p, err := g.Launch()
	if err != nil {
		return err
	}
	g.noteStrike(ft, p)
	p.ExpectExit()
	return p.Wait(ctx)
}
