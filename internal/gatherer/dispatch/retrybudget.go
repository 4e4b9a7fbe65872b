package dispatch

import (
	"sync"

	"yokeroute/gather"
	"yokeroute/internal/stats"
)

// retryBudget keeps the budget of further part calls at the moment that counts. The module counts a call when it decides on
// it; the rule counts it when its bytes go, which is later by what a new connection takes. Calls that waited
// together would come together, in a window in which less was taken than when they were decided on.
type retryBudget struct {
	window, free, share float64

	mu                sync.Mutex
	admitted, charged []float64
}

// clockTolerance is by how many milliseconds others may see a moment otherwise than we do.
const clockTolerance = 1.0

// newRetryBudget is nil where the terms tell no budget: the module keeps one of its own then, which is no rule.
func newRetryBudget(settings *gather.Settings) *retryBudget {
	if settings.RetryBudgetWindow == 0 {
		return nil
	}
	return &retryBudget{window: settings.RetryBudgetWindow, free: settings.RetryBudgetFloor, share: settings.RetryBudgetRatio}
}

// update takes over other figures; what was booked stays booked.
func (g *retryBudget) update(settings *gather.Settings) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.free, g.share = settings.RetryBudgetFloor, settings.RetryBudgetRatio
}

// admit notes a lookup taken, with its parts.
func (g *retryBudget) admit(now float64, n int) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admitted = stats.SortedFrom(g.admitted, now-g.window)
	for range n {
		g.admitted = append(g.admitted, now)
	}
}

// charge reports whether one more further call may go now, and books it if so.
func (g *retryBudget) charge(now float64) bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.charged = stats.SortedFrom(g.charged, now-g.window-clockTolerance)
	if float64(len(g.charged)+1) > g.free+g.share*float64(len(stats.SortedFrom(g.admitted, now-g.window+clockTolerance))) {
		return false
	}
	g.charged = append(g.charged, now)
	return true
}
