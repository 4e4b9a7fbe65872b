// Package background runs jobs beside lookups, one at a time and within a budget of CPU. Which job goes on and for
// how long is decided by logic/jobs; this package carries it out: a job works on a goroutine of its own, asks at
// each pause whether it may go on, and waits there while others run or the budget is used up.
package background

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"yokeroute/logic/jobs"
)

// ErrOff ends a job that was called off, or whose scheduler has ended.
var ErrOff = errors.New("background job called off")

// Job is a piece of work. It calls pause between pieces of a millisecond or so and returns its error if there is
// one.
type Job func(pause func() error) error

// Scheduler runs jobs.
type Scheduler struct {
	log   *logrus.Logger
	now   func() float64 // milliseconds
	mu    sync.Mutex
	queue *jobs.Queue
	work  map[uint64]*work
	names map[string]Job
	news  chan struct{}
}

// work is a job that has been asked for. Baton passes between it and the scheduler.
type work struct {
	name  string
	job   Job
	baton chan float64 // the milliseconds for which it may run; closed when it is to end
	back  chan bool    // true when it is done
	begun bool
	used  float64 // milliseconds of CPU since it last got the baton
}

// New makes a scheduler that lets its jobs use a share of one core.
func New(share float64, log *logrus.Logger) *Scheduler {
	start := time.Now()
	s := &Scheduler{log: log, work: map[uint64]*work{}, names: map[string]Job{}, news: make(chan struct{}, 1),
		now: func() float64 { return float64(time.Since(start)) / 1e6 }}
	s.queue = jobs.New(0, jobs.Terms{Share: share, Burst: 20, Slice: 1})
	return s
}

// Submit asks for a job under a name. Where one of that name waits, the newer one takes its place; where one runs,
// the newer one runs after it.
func (s *Scheduler) Submit(name string, class jobs.Class, job Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, fresh := s.queue.Add(name, class)
	if w := s.work[id]; fresh || !w.begun {
		s.work[id] = &work{name: name, job: job, baton: make(chan float64), back: make(chan bool)}
	} else {
		s.names[name] = job
	}
	s.wake()
}

// Cancel calls off what was submitted under a name.
func (s *Scheduler) Cancel(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Cancel(name)
	delete(s.names, name)
	for id, w := range s.work {
		if w.name == name && !w.begun {
			delete(s.work, id)
		}
	}
	s.wake()
}

func (s *Scheduler) wake() {
	select {
	case s.news <- struct{}{}:
	default: // it has been woken already
	}
}

// Run runs jobs until ctx ends, and then waits for the one that runs to see it.
func (s *Scheduler) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		s.mu.Lock()
		id, slice, wait := s.queue.Next(s.now())
		w, off := s.work[id], s.queue.Off(id)
		if w != nil {
			s.start(w)
		}
		s.mu.Unlock()
		if w != nil {
			s.turn(id, w, slice, off)
			continue
		}
		if wait < 0 {
			wait = 60_000
		}
		timer.Reset(time.Duration(wait * 1e6))
		select {
		case <-ctx.Done():
		case <-s.news:
		case <-timer.C:
		}
	}
	s.mu.Lock()
	begun := []*work{}
	for _, w := range s.work {
		if w.begun {
			begun = append(begun, w)
		}
	}
	s.mu.Unlock()
	for _, w := range begun {
		close(w.baton)
		for !<-w.back {
		}
	}
}

// turn hands the baton to a job and takes it back.
func (s *Scheduler) turn(id uint64, w *work, slice float64, off bool) {
	if off {
		close(w.baton)
	} else {
		w.baton <- slice
	}
	done := <-w.back
	for off && !done { // it looks away from being called off; it gets no more time, but has to be waited for
		done = <-w.back
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.queue.Ran(s.now(), id, w.used, done)
	if done {
		delete(s.work, id)
		if next != 0 {
			s.work[next] = &work{name: w.name, job: s.names[w.name], baton: make(chan float64), back: make(chan bool)}
			delete(s.names, w.name)
		}
	}
}

// start begins a job's goroutine, which waits for the baton.
func (s *Scheduler) start(w *work) {
	if w.begun {
		return
	}
	w.begun = true
	go func() {
		// CPU is counted by thread, so that what others use meanwhile is not booked here.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		slice, going := <-w.baton
		from := cpu()
		pause := func() error {
			if !going {
				return ErrOff
			}
			if w.used = cpu() - from; w.used < slice {
				return nil
			}
			w.back <- false
			slice, going = <-w.baton
			if from = cpu(); !going {
				return ErrOff
			}
			return nil
		}
		var err error
		if going {
			err = s.guarded(w, pause)
		}
		w.used = cpu() - from
		if err != nil && !errors.Is(err, ErrOff) {
			s.log.WithError(err).WithField("job", w.name).Warn("background job failed")
		}
		w.back <- true
	}()
}

// guarded keeps a panic from going further than its job.
func (s *Scheduler) guarded(w *work, pause func() error) (err error) {
	defer func() {
		if fault := recover(); fault != nil {
			s.log.WithField("stack", string(debug.Stack())).Errorf("background job %s: %v", w.name, fault)
			err = fmt.Errorf("panic: %v", fault)
		}
	}()
	return w.job(pause)
}

// cpu is what the thread has used so far, in milliseconds.
func cpu() float64 {
	var use unix.Rusage
	if unix.Getrusage(unix.RUSAGE_THREAD, &use) != nil {
		return 0
	}
	return float64(use.Utime.Nano()+use.Stime.Nano()) / 1e6
}
