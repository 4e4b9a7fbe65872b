package policylease

import (
	"yokeroute/internal/config/policyfile"
	"yokeroute/logic/policy"
)

// State is a gatherer's report on its policy.
type State struct {
	policy.Heartbeat
	ExpiresAt float64 `json:"until"` // when the lease expires, by the gatherer's clock in milliseconds; 0 without a lease
	Effective string  `json:"acts"`  // the policy in effect, in the syntax of policy files
}

// State returns the current state.
func (l *Lease) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	l.refresh(now)
	return State{
		Heartbeat: l.holder.Heartbeat(now),
		ExpiresAt: l.holder.ExpiresAt(),
		Effective: policyfile.Format(l.effective),
	}
}
