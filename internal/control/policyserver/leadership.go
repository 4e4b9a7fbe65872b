package policyserver

import (
	"context"

	"github.com/sirupsen/logrus"

	"yokeroute/internal/millis"
	"yokeroute/logic/policy"
)

// onLeadership starts or ends this server's term as the leader. A new leader starts to decide only after it has applied
// all entries that were committed before.
func (s *Server) onLeadership(ctx context.Context, isLeader bool) {
	if isLeader {
		if err := s.replica.Load().awaitApplied(ctx); err != nil {
			s.log.WithError(err).Warn("policy server: leadership lost while applying the log")
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = nil
	if isLeader {
		record, _ := s.fsm.current()
		s.leader = policy.NewLeader(record, millis.Of(s.config.Lease), millis.Of(s.config.ChangeTimeout), s.now())
	}
	s.log.WithField("leader", isLeader).Info("policy server: leadership changed")
}

// withLeader calls do under the lock if this server is the leader, with the policy.Leader for the current record and
// the current time. It reports whether this server is the leader.
func (s *Server) withLeader(do func(l *policy.Leader, now float64)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == nil {
		return false
	}
	s.leader.Record, _ = s.fsm.current()
	do(s.leader, s.now())
	return true
}

// notifyChanged makes Run review the pending change. Several notifications before the review cause one review.
func (s *Server) notifyChanged() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// decide commits or abandons the pending change if this server is the leader and the change is due.
func (s *Server) decide(ctx context.Context) {
	var command *policy.Command
	s.withLeader(func(l *policy.Leader, now float64) { command, _ = l.Decide(now) })
	if command == nil {
		return
	}
	change, err := s.replica.Load().execute(ctx, *command)
	if err != nil {
		s.log.WithError(err).Warn("policy server: failed to commit or abandon the pending change")
		return
	}
	fields := logrus.Fields{"change": change.Number, "outcome": change.Outcome, "reason": change.OutcomeReason}
	s.log.WithFields(fields).Info("policy server: change ended")
}
