package policylease

import (
	"yokeroute/internal/config/policyfile"
	"yokeroute/logic/policy"
)

// State is what a gatherer reports of its policy.
type State struct {
	policy.Heartbeat
	ExpiresAt float64 `json:"until"` // of the lease, by the gatherer's clock in milliseconds; 0 without a lease
	Effective string  `json:"acts"`  // the policy in effect, as the text of a policy file
}

// State returns the state now.
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
