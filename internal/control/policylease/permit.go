package policylease

import (
	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/logic/policy"
)

// roundingError of shares: the weights that they are computed from arrive rounded.
const roundingError = 1e-4

// Permits reports whether a shard request may be sent now: not to a closed server, and where it was decided by a
// policy that has expired, not if the policy in effect forbids it.
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
	case c.Repeated && l.restrictsEffect(c.Class):
		return false
	case !c.UsesRetryBudget:
		return true
	}
	return !l.effective.Has(policy.RetryShare, "") && !l.effective.Has(policy.RetryAllowance, "")
}

// restrictsEffect reports whether a class is non-idempotent by policy alone. The lock is held.
func (l *Lease) restrictsEffect(class string) bool {
	return l.effective.Has(policy.NonIdempotent, class) && l.platform.Class(class).Effect != gather.NonIdempotent
}

// ReviewResult returns the result that may be given now. One that was decided by a policy that has expired becomes a
// failure where it would answer below the min share, or reject a query that may have run.
func (l *Lease) ReviewResult(
	c dispatch.PolicyCheck, r dispatch.Result, share float64, ran bool, now float64,
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
	case r.Kind == dispatch.Rejected && ran && l.restrictsEffect(c.Class):
		return dispatch.Result{Kind: dispatch.Failed}
	}
	return r
}
