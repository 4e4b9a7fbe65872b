// Package background runs jobs beside queries, one at a time and within a budget of processor time. Package logic/jobs
// decides which job runs and for how long. A job works on a goroutine of its own, calls pause between pieces of its work,
// and waits there while others run or the budget is used up.
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

// ErrCancelled ends a job that was cancelled, or whose scheduler has ended.
var ErrCancelled = errors.New("background job cancelled")

// Job is a piece of background work. It calls pause about once a millisecond, and returns when pause fails, with its
// error.
type Job func(pause func() error) error

// Scheduler runs jobs.
type Scheduler struct {
	log     *logrus.Logger
	now     func() float64 // milliseconds
	wakeups chan struct{}

	mu           sync.Mutex
	queue        *jobs.Queue
	tasks        map[uint64]*task
	replacements map[string]Job // by name, to run after the task that is running
}

// task is a submitted job. Turns pass between its goroutine and the scheduler.
type task struct {
	name    string
	job     Job
	slices  chan float64 // its turns, in milliseconds of processor time; closed to cancel it
	yielded chan bool    // the end of a turn, true when the job is done
	started bool
	cpuUsed float64 // milliseconds of processor time in its turn
}

func newTask(name string, job Job) *task {
	return &task{name: name, job: job, slices: make(chan float64), yielded: make(chan bool)}
}

// The processor time of one turn, and what may be saved up while no job is due, in milliseconds.
const (
	sliceLength = 1
	burstLength = 20
)

// New makes a scheduler that lets its jobs use a share of one core.
func New(share float64, log *logrus.Logger) *Scheduler {
	start := time.Now()
	return &Scheduler{
		log:          log,
		now:          func() float64 { return float64(time.Since(start)) / float64(time.Millisecond) },
		wakeups:      make(chan struct{}, 1),
		queue:        jobs.New(0, jobs.Budget{Share: share, Burst: burstLength, Slice: sliceLength}),
		tasks:        map[uint64]*task{},
		replacements: map[string]Job{},
	}
}

// Submit queues a job under a name. It replaces a waiting job of that name, and runs after one that is running.
func (s *Scheduler) Submit(name string, class jobs.Class, job Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, fresh := s.queue.Add(name, class)
	if t := s.tasks[id]; fresh || !t.started {
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

// maxIdle is how long the scheduler sleeps where no job is due.
const maxIdle = time.Minute

// Run runs jobs until ctx ends, and then waits for those that have started to return.
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

// slice is one turn of a task.
type slice struct {
	milliseconds float64
	cancelled    bool
}

// next returns the task whose turn it is, nil and how long to wait where there is none.
func (s *Scheduler) next() (id uint64, next *task, turn slice, wait time.Duration) {
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
	return 0, nil, slice{}, time.Duration(idle * float64(time.Millisecond))
}

// cancelStarted ends the tasks that have started and waits for them.
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

// waitDone waits until a cancelled task is done. One that does not look at pause's error yields first.
func (t *task) waitDone() {
	for done := false; !done; {
		done = <-t.yielded
	}
}

// runSlice lets a task run for its turn and books what it used.
func (s *Scheduler) runSlice(id uint64, t *task, turn slice) {
	done := true
	if turn.cancelled {
		close(t.slices)
		t.waitDone()
	} else {
		t.slices <- turn.milliseconds
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

// start begins a task's goroutine, which waits for its first turn.
func (s *Scheduler) start(t *task) {
	if t.started {
		return
	}
	t.started = true
	go s.run(t)
}

// run runs a task's job turn by turn. Processor time is counted by thread, so that it stays on one.
func (s *Scheduler) run(t *task) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	length, running := <-t.slices
	from := threadCPU()
	pause := func() error {
		if !running {
			return ErrCancelled
		}
		t.cpuUsed = threadCPU() - from
		if t.cpuUsed < length {
			return nil
		}
		t.yielded <- false
		length, running = <-t.slices
		from = threadCPU()
		if !running {
			return ErrCancelled
		}
		return nil
	}
	var err error
	if running {
		err = s.runRecovered(t, pause)
	}
	t.cpuUsed = threadCPU() - from
	if err != nil && !errors.Is(err, ErrCancelled) {
		s.log.WithError(err).WithField("job", t.name).Warn("background: job failed")
	}
	t.yielded <- true
}

// runRecovered keeps a panic from going further than its job.
func (s *Scheduler) runRecovered(t *task, pause func() error) (err error) {
	defer func() {
		if fault := recover(); fault != nil {
			s.log.WithField("stack", string(debug.Stack())).WithField("job", t.name).Errorf("background: job panicked: %v", fault)
			err = fmt.Errorf("panic: %v", fault)
		}
	}()
	return t.job(pause)
}

// threadCPU is the processor time that the thread has used, in milliseconds.
func threadCPU() float64 {
	var use unix.Rusage
	if unix.Getrusage(unix.RUSAGE_THREAD, &use) != nil {
		return 0
	}
	return float64(use.Utime.Nano()+use.Stime.Nano()) / 1e6
}
