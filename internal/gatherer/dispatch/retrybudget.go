package dispatch

import (
	"sync"

	"yokeroute/gather"
	"yokeroute/internal/stats"
)

// clockTolerance is the maximum difference, in milliseconds, assumed between the times that this process and another
// one record for the same event.
const clockTolerance = 1.0

// retryBudget limits retries and hedged requests. It counts them when their first byte is written. The module counts
// them when it decides on them, which is earlier by the time that a new connection takes. With the module's count
// alone, attempts that waited for the same connection would be sent together, in a window in which fewer requests were
// admitted than in the one in which they were decided on.
//
// A nil retryBudget allows every retry.
type retryBudget struct {
	window float64 // length in milliseconds

	mu       sync.Mutex
	floor    float64   // number of retries allowed in any window
	ratio    float64   // additional retries per request admitted in the window
	admitted []float64 // admission times of queries and shard requests in the window
	charged  []float64 // times of the retries written in the window
}

// newRetryBudget returns nil if the settings define no retry budget. The module then applies a budget of its own, which
// need not be enforced on the wire.
func newRetryBudget(settings *gather.Settings) *retryBudget {
	if settings.RetryBudgetWindow == 0 {
		return nil
	}
	return &retryBudget{
		window: settings.RetryBudgetWindow,
		floor:  settings.RetryBudgetFloor,
		ratio:  settings.RetryBudgetRatio,
	}
}

// update sets a new floor and ratio. The counts are kept.
func (b *retryBudget) update(settings *gather.Settings) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.floor = settings.RetryBudgetFloor
	b.ratio = settings.RetryBudgetRatio
}

// admit counts size admitted requests: a query and its shard requests.
func (b *retryBudget) admit(now float64, size int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.admitted = stats.SortedFrom(b.admitted, now-b.window)
	for range size {
		b.admitted = append(b.admitted, now)
	}
}

// charge reports whether one more retry may be written now, and counts it if it may.
func (b *retryBudget) charge(now float64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.charged = stats.SortedFrom(b.charged, now-b.window-clockTolerance)
	admitted := stats.SortedFrom(b.admitted, now-b.window+clockTolerance)
	if float64(len(b.charged)+1) > b.floor+b.ratio*float64(len(admitted)) {
		return false
	}
	b.charged = append(b.charged, now)
	return true
}
