package worker

import (
	"context"
	"sync/atomic"
	"testing"
)

// TestWakeDuringRunCausesOneMoreRun guards against work that is added during a run and never processed. Several calls
// of Wake during a run share the next run, and runs do not overlap.
func TestWakeDuringRunCausesOneMoreRun(t *testing.T) {
	started, release := make(chan struct{}, 10), make(chan struct{})
	var running, runs atomic.Int32
	w := New(func() {
		if running.Add(1) > 1 {
			t.Error("two runs overlap, want one at a time")
		}
		runs.Add(1)
		started <- struct{}{}
		<-release
		running.Add(-1)
	})
	if !w.WaitIdle(t.Context()) || runs.Load() != 0 {
		t.Errorf("%d runs before the first Wake, want idle and 0", runs.Load())
	}
	w.Wake()
	<-started
	w.Wake()
	w.Wake() // shares the run that the previous Wake scheduled
	canceledCtx, cancel := context.WithCancel(t.Context())
	cancel()
	if w.WaitIdle(canceledCtx) {
		t.Error("WaitIdle returned true during a run, want false")
	}
	close(release)
	if !w.WaitIdle(t.Context()) || runs.Load() != 2 {
		t.Errorf("%d runs after Wake during a run, want 2", runs.Load())
	}
	w.Wake()
	if !w.WaitIdle(t.Context()) || runs.Load() != 3 {
		t.Errorf("%d runs after Wake of an idle worker, want 3", runs.Load())
	}
}
