package policylease

import (
	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/logic/policy"
)

// roundingError of shares: the weights that they are computed from arrive rounded.
const roundingError = 1e-4

// Permits reports whether a shard request may be sent now: not to a closed server, and where it was decided by a policy
// that has expired, not if the policy in effect forbids it.
func (l *Lease) Permits(a dispatch.PolicyCheck, now float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	switch {
	case l.closed[a.Server]:
		return false
	case l.holder.Permits(a.Generation, now):
		return true
	case a.Hedge && l.effective.Has(policy.NoHedging, a.Class):
		return false
	case a.Repeated && l.restrictsEffect(a.Class):
		return false
	case !a.UsesRetryBudget:
		return true
	}
	return !l.effective.Has(policy.RetryShare, "") && !l.effective.Has(policy.RetryAllowance, "")
}

// restrictsEffect reports whether a class is non-idempotent by policy alone. The lock is held.
func (l *Lease) restrictsEffect(class string) bool {
	return l.effective.Has(policy.NonIdempotent, class) && l.platform.Class(class).Effect != gather.NonIdempotent
}

// ReviewResult returns the result that may be given now. One that was decided by a policy that has expired becomes a failure
// where it would answer below the min share, or reject a query that may have run.
func (l *Lease) ReviewResult(a dispatch.PolicyCheck, v dispatch.Result, share float64, ran bool, now float64) dispatch.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	if l.holder.Permits(a.Generation, now) {
		return v
	}
	minShare := l.effective.Value(policy.MinShare, a.Class, 0)
	switch {
	case v.Kind == dispatch.Served && share < minShare-roundingError:
		return dispatch.Result{Kind: dispatch.Failed}
	case v.Kind == dispatch.Rejected && ran && l.restrictsEffect(a.Class):
		return dispatch.Result{Kind: dispatch.Failed}
	}
	return v
}
