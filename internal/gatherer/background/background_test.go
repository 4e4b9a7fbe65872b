package background

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"

	"yokeroute/logic/jobs"
)

// newScheduler returns a running scheduler; stop ends it and waits for Run to return.
func newScheduler(t *testing.T, share float64) (s *Scheduler, stop func()) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s = New(share, log)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		s.Run(ctx)
		close(done)
	}()
	return s, func() {
		cancel()
		<-done
	}
}

// burnCPU uses enough CPU between calls of pause that time slices run out, and returns when pause fails.
func burnCPU(pause func() error, iterations int) error {
	x := 0
	for range iterations {
		for i := range 1_000_000 {
			x += i * x
		}
		if err := pause(); err != nil {
			return err
		}
	}
	return nil
}

// TestHigherClassJobRunsBetweenTimeSlices checks that a job of a higher class that is submitted while another job runs
// completes before that one, and that both complete.
func TestHigherClassJobRunsBetweenTimeSlices(t *testing.T) {
	s, stop := newScheduler(t, 1)
	defer stop()
	var mu sync.Mutex
	var order []string
	record := func(name string) {
		mu.Lock()
		order = append(order, name)
		mu.Unlock()
	}
	var running sync.WaitGroup
	running.Add(2)
	s.Submit("long", jobs.Low, func(pause func() error) error {
		defer running.Done()
		s.Submit("short", jobs.High, func(func() error) error {
			defer running.Done()
			record("short")
			return nil
		})
		if err := burnCPU(pause, 30); err != nil {
			t.Error(err)
		}
		record("long")
		return nil
	})
	running.Wait()
	if !slices.Equal(order, []string{"short", "long"}) {
		t.Errorf("jobs completed in order %v, want [short long]", order)
	}
}

// TestLatestResubmissionRunsAfterRunningJob submits two jobs under the name of a running job. Only the later one runs,
// once, after the running job.
func TestLatestResubmissionRunsAfterRunningJob(t *testing.T) {
	s, stop := newScheduler(t, 1)
	defer stop()
	ran := make(chan int, 10)
	job := func(n int) Job {
		return func(func() error) error {
			ran <- n
			return nil
		}
	}
	s.Submit("plan", jobs.Normal, func(func() error) error {
		s.Submit("plan", jobs.Normal, job(1))
		s.Submit("plan", jobs.Normal, job(2))
		ran <- 0
		return nil
	})
	if a, b := <-ran, <-ran; a != 0 || b != 2 {
		t.Errorf("ran jobs %d, %d, want 0, 2", a, b)
	}
	s.Submit("last", jobs.Low, job(3))
	if n := <-ran; n != 3 {
		t.Errorf("ran job %d, want 3", n)
	}
}

// TestJobEndsOnCancelPanicAndShutdown checks that pause returns ErrCancelled in a cancelled job, that a panic ends only
// its own job, and that the scheduler cancels and awaits the running job when it stops.
func TestJobEndsOnCancelPanicAndShutdown(t *testing.T) {
	s, stop := newScheduler(t, 0.5)
	started, result := make(chan bool), make(chan error, 1)
	s.Submit("a", jobs.Normal, func(pause func() error) error {
		close(started)
		err := burnCPU(pause, 1<<30)
		result <- err
		return err
	})
	<-started
	s.Cancel("a")
	if err := <-result; !errors.Is(err, ErrCancelled) {
		t.Errorf("pause returned %v, want ErrCancelled", err)
	}
	s.Submit("b", jobs.Normal, func(func() error) error { panic("a fault") })
	started = make(chan bool)
	s.Submit("c", jobs.Normal, func(pause func() error) error {
		close(started)
		err := burnCPU(pause, 1<<30)
		result <- err
		return err
	})
	<-started
	stop()
	select {
	case err := <-result:
		if !errors.Is(err, ErrCancelled) {
			t.Errorf("pause returned %v, want ErrCancelled", err)
		}
	default:
		t.Error("the scheduler stopped while a job was running")
	}
}
