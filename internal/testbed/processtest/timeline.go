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
	begun := map[*Fault]chan struct{}{} // closed once a fault has begun
	var later sync.WaitGroup            // ends of faults that wait for processes
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
		if !s.end {
			begun[s.f] = make(chan struct{})
		}
		done := begun[s.f]
		later.Go(func() {
			if s.end {
				<-done // a fault may take longer to begin than it lasts
			} else {
				defer close(done)
			}
			f.fault(f.Do(ctx, s.f, s.end))
		})
	}
	later.Wait()
	load.Wait()
	return errors.Join(ctx.Err(), f.Faults())
}
