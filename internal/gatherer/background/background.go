// Package background runs low-priority jobs alongside queries, one at a time and within a CPU time budget. Package
// logic/jobs decides which job runs and for how long. Each job runs on its own goroutine and calls pause between pieces
// of its work; pause blocks while other jobs run or the budget is used up.
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

	"yokeroute/internal/millis"
	"yokeroute/logic/jobs"
)

// ErrCancelled is returned by pause when the job was cancelled or its scheduler has stopped.
var ErrCancelled = errors.New("background job cancelled")

// Job is a unit of background work. It must call pause about once per millisecond, and return the error of pause when
// pause fails.
type Job func(pause func() error) error

// Scheduler runs submitted jobs one at a time within a CPU budget.
type Scheduler struct {
	log     *logrus.Logger
	now     func() float64 // milliseconds
	wakeups chan struct{}

	mu           sync.Mutex
	queue        *jobs.Queue
	tasks        map[uint64]*task
	replacements map[string]Job // by name; each runs after the started task of that name
}

// task is a submitted job. Its goroutine and the scheduler alternate: the scheduler sends it a time slice on slices, and
// the goroutine reports the end of the slice on yielded.
type task struct {
	name    string
	job     Job
	slices  chan float64 // receives each time slice, in milliseconds of CPU time; closed to cancel the job
	yielded chan bool    // receives at the end of each time slice whether the job is done
	started bool
	cpuUsed float64 // milliseconds of CPU time used in the current time slice
}

func newTask(name string, job Job) *task {
	return &task{name: name, job: job, slices: make(chan float64), yielded: make(chan bool)}
}

const (
	sliceLength = 1  // CPU time of one time slice, in milliseconds
	burstLength = 20 // budget that may accumulate while no job is due, in milliseconds of CPU time
)

// New returns a scheduler whose jobs may use the given share of one core.
func New(share float64, log *logrus.Logger) *Scheduler {
	start := time.Now()
	return &Scheduler{
		log:          log,
		now:          func() float64 { return millis.Of(time.Since(start)) },
		wakeups:      make(chan struct{}, 1),
		queue:        jobs.New(0, jobs.Budget{Share: share, Burst: burstLength, Slice: sliceLength}),
		tasks:        map[uint64]*task{},
		replacements: map[string]Job{},
	}
}

// Submit queues a job under a name. It replaces a job of that name that has not started; if one has started, the new
// job runs after it.
func (s *Scheduler) Submit(name string, class jobs.Class, job Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, added := s.queue.Add(name, class)
	if t := s.tasks[id]; added || !t.started {
		s.tasks[id] = newTask(name, job)
	} else {
		s.replacements[name] = job
	}
	s.wake()
}

// Cancel cancels the job that was submitted under a name.
func (s *Scheduler) Cancel(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Cancel(name)
	delete(s.replacements, name)
	for id, t := range s.tasks {
		if t.name == name && !t.started {
			delete(s.tasks, id)
		}
	}
	s.wake()
}

func (s *Scheduler) wake() {
	select {
	case s.wakeups <- struct{}{}:
	default: // a wake-up is pending
	}
}

// maxIdle limits how long the scheduler sleeps when no job is due.
const maxIdle = time.Minute

// Run runs jobs until ctx ends, then cancels the jobs that have started and waits for them to return.
func (s *Scheduler) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		id, task, slice, wait := s.next()
		if task != nil {
			s.runSlice(id, task, slice)
			continue
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
		case <-s.wakeups:
		case <-timer.C:
		}
	}
	s.cancelStarted()
}

// slice describes one time slice of a task.
type slice struct {
	milliseconds float64
	cancelled    bool
}

// next returns the task to run and its time slice, or a nil task and how long to wait if none is due.
func (s *Scheduler) next() (id uint64, next *task, timeSlice slice, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, length, idle := s.queue.Next(s.now())
	if next = s.tasks[id]; next != nil {
		s.start(next)
		return id, next, slice{length, s.queue.IsCancelled(id)}, 0
	}
	if idle < 0 {
		return 0, nil, slice{}, maxIdle
	}
	return 0, nil, slice{}, millis.Duration(idle)
}

// cancelStarted cancels the tasks that have started and waits for them to return.
func (s *Scheduler) cancelStarted() {
	s.mu.Lock()
	var started []*task
	for _, t := range s.tasks {
		if t.started {
			started = append(started, t)
		}
	}
	s.mu.Unlock()
	for _, t := range started {
		close(t.slices)
		t.waitDone()
	}
}

// waitDone waits until a cancelled task is done. A job that ignores the error of pause may yield several times before.
func (t *task) waitDone() {
	for done := false; !done; {
		done = <-t.yielded
	}
}

// runSlice runs a task for one time slice, or cancels it, and records the CPU time it used.
func (s *Scheduler) runSlice(id uint64, t *task, timeSlice slice) {
	done := true
	if timeSlice.cancelled {
		close(t.slices)
		t.waitDone()
	} else {
		t.slices <- timeSlice.milliseconds
		done = <-t.yielded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.queue.RecordUsage(s.now(), id, t.cpuUsed, done)
	if !done {
		return
	}
	delete(s.tasks, id)
	if next != 0 {
		s.tasks[next] = newTask(t.name, s.replacements[t.name])
		delete(s.replacements, t.name)
	}
}

// start starts a task's goroutine, which waits for its first time slice.
func (s *Scheduler) start(t *task) {
	if t.started {
		return
	}
	t.started = true
	go s.run(t)
}

// run runs a task's job in time slices. The goroutine is locked to its thread because CPU time is measured per thread.
func (s *Scheduler) run(t *task) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	length, running := <-t.slices
	startCPU := threadCPU()
	pause := func() error {
		if !running {
			return ErrCancelled
		}
		t.cpuUsed = threadCPU() - startCPU
		if t.cpuUsed < length {
			return nil
		}
		t.yielded <- false
		length, running = <-t.slices
		startCPU = threadCPU()
		if !running {
			return ErrCancelled
		}
		return nil
	}
	var err error
	if running {
		err = s.runRecovered(t, pause)
	}
	t.cpuUsed = threadCPU() - startCPU
	if err != nil && !errors.Is(err, ErrCancelled) {
		s.log.WithError(err).WithField("job", t.name).Warn("background: job failed")
	}
	t.yielded <- true
}

// runRecovered runs a job and converts a panic into an error, so that it does not end the process.
func (s *Scheduler) runRecovered(t *task, pause func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			s.log.WithField("stack", string(debug.Stack())).WithField("job", t.name).Errorf("background: job panicked: %v", cause)
			err = fmt.Errorf("panic: %v", cause)
		}
	}()
	return t.job(pause)
}

// threadCPU returns the CPU time used by the calling thread, in milliseconds, or 0 if it cannot be read.
func threadCPU() float64 {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_THREAD, &usage) != nil {
		return 0
	}
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e6
}
