// Package worker runs a function on a goroutine that exists only while there is something to do.
package worker

import (
	"context"
	"sync"
)

// Worker runs a function whenever it is woken, one run at a time, on a goroutine of its own. What the function works on
// belongs to its owner, which puts it where the function finds it and then calls Wake.
type Worker struct {
	run func()

	mu    sync.Mutex
	woken bool          // since the last run began
	idle  chan struct{} // closed once the present goroutine ends, nil while there is none
}

// New returns a worker that runs run.
func New(run func()) *Worker { return &Worker{run: run} }

// Wake has the function run soon, and once more where it is running.
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
	for w.begin() {
		w.run()
	}
}

// begin reports whether another run is wanted. Where none is, the goroutine has to end.
func (w *Worker) begin() bool {
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

// WaitIdle blocks until nothing runs and nothing is wanted any more. It reports false where ctx ends before that.
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
