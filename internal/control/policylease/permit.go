package policylease

import (
	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/logic/policy"
)

// roundingError of shares: the weights that they are computed from arrive rounded.
const roundingError = 1e-4

// May reports whether a shard request may be sent now: not to a closed server, and where it was decided by a policy
// that has expired, not if the policy in effect forbids it.
func (l *Lease) May(a dispatch.Act, now float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	switch {
	case l.closed[a.Server]:
		return false
	case l.holder.Permits(a.Way, now):
		return true
	case a.Copy && l.effective.Has(policy.NoHedging, a.Index):
		return false
	case a.Again && l.restrictsEffect(a.Index):
		return false
	case !a.Further:
		return true
	}
	return !l.effective.Has(policy.RetryShare, "") && !l.effective.Has(policy.RetryAllowance, "")
}

// restrictsEffect reports whether a class is non-idempotent by policy alone. The lock is held.
func (l *Lease) restrictsEffect(class string) bool {
	return l.effective.Has(policy.NonIdempotent, class) && l.platform.Class(class).Effect != gather.NonIdempotent
}

// Answer returns the verdict that may be given now. One that was decided by a policy that has expired becomes a failure
// where it would answer below the min share, or reject a query that may have run.
func (l *Lease) Answer(a dispatch.Act, v dispatch.Verdict, share float64, ran bool, now float64) dispatch.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	if l.holder.Permits(a.Way, now) {
		return v
	}
	minShare := l.effective.Value(policy.MinShare, a.Index, 0)
	switch {
	case v.Kind == dispatch.Satisfied && share < minShare-roundingError:
		return dispatch.Verdict{Kind: dispatch.Aborted}
	case v.Kind == dispatch.Nacked && ran && l.restrictsEffect(a.Index):
		return dispatch.Verdict{Kind: dispatch.Aborted}
	}
	return v
}
