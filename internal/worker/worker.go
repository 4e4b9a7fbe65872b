// Package worker runs a function on a goroutine that exists only while there is something to do.
package worker

import (
	"context"
	"sync"
)

// Worker runs a function whenever Wake is called, one run at a time, on a goroutine of its own. The function takes no
// arguments: the caller stores the work where the function finds it and then calls Wake.
type Worker struct {
	run func()

	mu    sync.Mutex
	woken bool          // Wake was called since the last run began
	idle  chan struct{} // closed when the current goroutine ends; nil while there is none
}

// New returns a Worker that calls run. No goroutine exists until the first Wake.
func New(run func()) *Worker { return &Worker{run: run} }

// Wake schedules a run of the function. A Wake during a run causes one more run after it.
func (w *Worker) Wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.woken = true
	if w.idle == nil {
		w.idle = make(chan struct{})
		go w.loop()
	}
}

func (w *Worker) loop() {
	for w.beginRun() {
		w.run()
	}
}

// beginRun reports whether another run is due. If none is, it marks the worker as idle and the goroutine must end.
func (w *Worker) beginRun() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.woken {
		close(w.idle)
		w.idle = nil
		return false
	}
	w.woken = false
	return true
}

// WaitIdle blocks until no run is in progress or due. It returns false if ctx ends first.
func (w *Worker) WaitIdle(ctx context.Context) bool {
	w.mu.Lock()
	idle := w.idle
	w.mu.Unlock()
	if idle == nil {
		return true
	}
	select {
	case <-idle:
		return true
	case <-ctx.Done():
		return false
	}
}
