package worker

import (
	"context"
	"sync/atomic"
	"testing"
)

// TestWakeDuringARunRunsOnceMore: what was put in while the function runs is not left behind, and runs do not overlap.
func TestWakeDuringARunRunsOnceMore(t *testing.T) {
	began, release := make(chan struct{}, 10), make(chan struct{})
	var running, runs atomic.Int32
	w := New(func() {
		if running.Add(1) > 1 {
			t.Error("two runs at once")
		}
		runs.Add(1)
		began <- struct{}{}
		<-release
		running.Add(-1)
	})
	if !w.WaitIdle(t.Context()) || runs.Load() != 0 {
		t.Errorf("%d runs before the first Wake", runs.Load())
	}
	w.Wake()
	<-began
	w.Wake()
	w.Wake() // shares the second run
	ended, stop := context.WithCancel(t.Context())
	stop()
	if w.WaitIdle(ended) {
		t.Error("idle while the function runs")
	}
	close(release)
	if !w.WaitIdle(t.Context()) || runs.Load() != 2 {
		t.Errorf("%d runs, 2 expected", runs.Load())
	}
	w.Wake()
	if !w.WaitIdle(t.Context()) || runs.Load() != 3 {
		t.Errorf("%d runs after an idle time, 3 expected", runs.Load())
	}
}
