package processtest

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// step is one moment of a timeline: a fault's beginning or its end.
type step struct {
	at  float64
	end bool
	f   *Fault
}

// Steps are a scenario's faults in the order of their beginnings and ends.
func (s *Scenario) steps() (all []step) {
	for i := range s.Faults {
		f := &s.Faults[i]
		all = append(all, step{f.At, false, f})
		if f.For > 0 {
			all = append(all, step{f.At + f.For, true, f})
		}
	}
	slices.SortStableFunc(all, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return all
}

// Play plays the scenario: its load, and its faults at their times. It returns once all operations have ended and
// every fault that has an end has ended; processes that were to be started again serve by then.
func (f *Fleet) Play(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var load sync.WaitGroup
	load.Go(func() { f.Front.Play(ctx, time.Duration(f.Scenario.Length*1e6)) })
	began := time.Now()
	var later sync.WaitGroup // ends of faults that wait for processes
	for _, s := range f.Scenario.steps() {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(began.Add(time.Duration(s.at * 1e6)))):
		}
		if ctx.Err() != nil {
			break
		}
		if s.end {
			f.Say("over: %s", s.f.Line())
		} else {
			f.Say("%s", s.f.Line())
		}
		later.Go(func() { f.fault(f.Do(ctx, s.f, s.end)) })
	}
	later.Wait()
	load.Wait()
	return errors.Join(ctx.Err(), f.Faults())
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
			var err error
			switch kind.on {
			case "links":
				err = f.doLink(name, ft, end)
			case "gatherers":
				err = f.Gatherer(name).do(ctx, ft, end)
			case "servers":
				f.doServer(name, ft, end)
			case "discovery":
				f.Discovery.SetSilent(!end)
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, err)
		})
	}
	wait.Wait()
	return errors.Join(all...)
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

// do does something to a gatherer. Faults on one that does not run do nothing.
func (g *Gatherer) do(ctx context.Context, ft *Fault, end bool) error {
	p := g.Process()
	again := func() error {
		if q := g.Process(); q != p && q.Alive() || ctx.Err() != nil {
			return nil // another fault has started it already
		}
		if err := g.Age(ft.State); err != nil {
			return err
		}
		return g.Start(ctx)
	}
	switch {
	case ft.Kind == "kill" && !end:
		g.Kill()
	case ft.Kind == "kill" && !p.Alive():
		return again()
	case ft.Kind == "term" && !end:
		if p.Alive() {
			return p.Terminate(ctx)
		}
	case ft.Kind == "term":
		if err := p.Wait(ctx); err != nil {
			return err
		}
		return again()
	case ft.Kind == "stop" && !end:
		if p.Alive() {
			return p.Stop(ctx)
		}
	case ft.Kind == "stop":
		if p.Alive() && p.Stopped() {
			return p.Continue()
		}
	case ft.Kind == "refuse-writes":
		if p.Alive() {
			return p.RefuseWrites(!end)
		}
	case ft.Kind == "port-taken" && !end:
		g.Kill()
		if err := g.Occupy(); err != nil {
			return err
		}
		q, err := g.Launch()
		if err != nil {
			return err
		}
		q.ExpectExit() // to end at once
		return q.Wait(ctx)
	case ft.Kind == "port-taken":
		g.Free()
		return g.Start(ctx)
	}
	return nil
}
