package policylease

import (
	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/logic/policy"
)

// roundingError is the tolerance in comparisons of shares, which are computed from weights that arrive rounded.
const roundingError = 1e-4

// Permits reports whether an attempt may be sent now. An attempt to a closed server may not be sent, and neither may
// one that was decided by an expired policy if the policy in effect forbids it.
func (l *Lease) Permits(c dispatch.PolicyCheck, now float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	switch {
	case l.closed[c.Server]:
		return false
	case l.holder.Permits(c.Generation, now):
		return true
	case c.Hedge && l.effective.Has(policy.NoHedging, c.Class):
		return false
	case c.Repeated && l.nonIdempotentByPolicy(c.Class):
		return false
	case !c.UsesRetryBudget:
		return true
	}
	return !l.effective.Has(policy.RetryShare, "") && !l.effective.Has(policy.RetryAllowance, "")
}

// nonIdempotentByPolicy reports whether the policy makes a class non-idempotent that is idempotent by the platform's
// settings. The caller holds the lock.
func (l *Lease) nonIdempotentByPolicy(class string) bool {
	return l.effective.Has(policy.NonIdempotent, class) && l.platform.Class(class).Effect != gather.NonIdempotent
}

// ReviewResult returns the result that may be given now. A result that was decided by an expired policy becomes a
// failure if it is an answer below the minimum share, or if it rejects a query that may have run and that the policy
// in effect makes non-idempotent.
func (l *Lease) ReviewResult(
	c dispatch.PolicyCheck, r dispatch.Result, share float64, mayHaveRun bool, now float64,
) dispatch.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	if l.holder.Permits(c.Generation, now) {
		return r
	}
	minShare := l.effective.Value(policy.MinShare, c.Class, 0)
	switch {
	case r.Kind == dispatch.Served && share < minShare-roundingError:
		return dispatch.Result{Kind: dispatch.Failed}
	case r.Kind == dispatch.Rejected && mayHaveRun && l.nonIdempotentByPolicy(c.Class):
		return dispatch.Result{Kind: dispatch.Failed}
	}
	return r
}
