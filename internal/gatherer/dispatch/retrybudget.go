package dispatch

import (
	"sync"

	"yokeroute/gather"
	"yokeroute/internal/stats"
)

// clockTolerance is by how many milliseconds others may time an event differently.
const clockTolerance = 1.0

// retryBudget counts retries and hedged requests when their first byte is written. The module counts them when it
// decides on them, which is earlier by what a new connection takes: attempts that waited together would go together,
// in a window in which fewer requests were admitted than when they were decided on.
//
// A nil retryBudget allows everything.
type retryBudget struct {
	window float64 // milliseconds

	mu       sync.Mutex
	floor    float64   // retries that are always allowed in a window
	ratio    float64   // more of them for each request admitted in it
	admitted []float64 // times of queries and shard requests, in the window
	charged  []float64 // times of retries, likewise
}

// newRetryBudget returns nil where the settings have no budget: the module keeps one of its own, which is no rule.
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

// update takes over a new floor and ratio; what has been counted stays counted.
func (b *retryBudget) update(settings *gather.Settings) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.floor = settings.RetryBudgetFloor
	b.ratio = settings.RetryBudgetRatio
}

// admit counts a query with its shard requests.
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

// charge reports whether one more retry may be written now, and counts it if so.
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
