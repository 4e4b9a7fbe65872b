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
	span, free, share float64

	mu             sync.Mutex
	taken, further []float64
}

// rounding is by how many milliseconds others may see a moment otherwise than we do.
const rounding = 1.0

// newRetryBudget is nil where the terms tell no budget: the module keeps one of its own then, which is no rule.
func newRetryBudget(settings *gather.Settings) *retryBudget {
	if settings.RetryBudgetWindow == 0 {
		return nil
	}
	return &retryBudget{span: settings.RetryBudgetWindow, free: settings.RetryBudgetFloor, share: settings.RetryBudgetRatio}
}

// set takes over other figures; what was booked stays booked.
func (g *retryBudget) set(settings *gather.Settings) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.free, g.share = settings.RetryBudgetFloor, settings.RetryBudgetRatio
}

// take notes a lookup taken, with its parts.
func (g *retryBudget) take(now float64, n int) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.taken = stats.SortedFrom(g.taken, now-g.span)
	for range n {
		g.taken = append(g.taken, now)
	}
}

// pass reports whether one more further call may go now, and books it if so.
func (g *retryBudget) pass(now float64) bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.further = stats.SortedFrom(g.further, now-g.span-rounding)
	if float64(len(g.further)+1) > g.free+g.share*float64(len(stats.SortedFrom(g.taken, now-g.span+rounding))) {
		return false
	}
	g.further = append(g.further, now)
	return true
}
