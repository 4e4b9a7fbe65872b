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

func newScheduler(t *testing.T, share float64) (s *Scheduler, end func()) {
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

// burnCPU uses CPU until pause gives the baton away, so that a turn certainly ends.
func burnCPU(pause func() error, turns int) error {
	x := 0
	for range turns {
		for i := range 1_000_000 {
			x += i * x
		}
		if err := pause(); err != nil {
			return err
		}
	}
	return nil
}

// TestHigherClassJobRunsBetweenTurns wants a job that asks while another runs to get its turns before that one is done, and all to end.
func TestHigherClassJobRunsBetweenTurns(t *testing.T) {
	s, end := newScheduler(t, 1)
	defer end()
	var mu sync.Mutex
	var order []string
	note := func(what string) {
		mu.Lock()
		order = append(order, what)
		mu.Unlock()
	}
	var wait sync.WaitGroup
	wait.Add(2)
	s.Submit("long", jobs.Low, func(pause func() error) error {
		defer wait.Done()
		s.Submit("short", jobs.High, func(func() error) error {
			defer wait.Done()
			note("short")
			return nil
		})
		if err := burnCPU(pause, 30); err != nil {
			t.Error(err)
		}
		note("long")
		return nil
	})
	wait.Wait()
	if !slices.Equal(order, []string{"short", "long"}) {
		t.Errorf("order %v", order)
	}
}

// TestLatestResubmissionRunsAfterRunningJob wants what was asked for while a job ran to run once after it, and the last that was asked for.
func TestLatestResubmissionRunsAfterRunningJob(t *testing.T) {
	s, end := newScheduler(t, 1)
	defer end()
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
		t.Errorf("ran %d, %d", a, b)
	}
	s.Submit("last", jobs.Low, job(3))
	if n := <-ran; n != 3 {
		t.Errorf("ran %d", n)
	}
}

// TestCancelPanicAndShutdownEndJobs wants a job that was called off to be told so, one that panics to end alone, and the scheduler to wait
// for what runs when it ends.
func TestCancelPanicAndShutdownEndJobs(t *testing.T) {
	s, end := newScheduler(t, 0.5)
	begun, told := make(chan bool), make(chan error, 1)
	s.Submit("a", jobs.Normal, func(pause func() error) error {
		close(begun)
		err := burnCPU(pause, 1<<30)
		told <- err
		return err
	})
	<-begun
	s.Cancel("a")
	if err := <-told; !errors.Is(err, ErrCancelled) {
		t.Errorf("error %v", err)
	}
	s.Submit("b", jobs.Normal, func(func() error) error { panic("a fault") })
	begun = make(chan bool)
	s.Submit("c", jobs.Normal, func(pause func() error) error {
		close(begun)
		err := burnCPU(pause, 1<<30)
		told <- err
		return err
	})
	<-begun
	end()
	select {
	case err := <-told:
		if !errors.Is(err, ErrCancelled) {
			t.Errorf("error %v", err)
		}
	default:
		t.Error("the scheduler ended while a job ran")
	}
}
