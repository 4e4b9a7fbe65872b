package policyserver

import (
	"context"

	"github.com/sirupsen/logrus"

	"yokeroute/logic/policy"
)

// onLeadership starts or ends this server's term as the leader. A new leader starts once it has applied everything that
// was committed before.
func (s *Server) onLeadership(ctx context.Context, isLeader bool) {
	if isLeader {
		if err := s.replica.Load().awaitApplied(ctx); err != nil {
			s.log.WithError(err).Warn("policy server: leadership lost while log was applied")
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = nil
	if isLeader {
		record, _ := s.fsm.current()
		s.leader = policy.NewLeader(record, milliseconds(s.config.Lease), milliseconds(s.config.ChangeTimeout), s.now())
	}
	s.log.WithField("leader", isLeader).Info("policy server: leadership changed")
}

// withLeader calls do with the leader's decisions on the current record, under the lock. It reports whether this server
// is the leader.
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

// notifyChanged makes Run review the pending change. Notifications before the review are merged.
func (s *Server) notifyChanged() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// decide commits or abandons the pending change, where it is time.
func (s *Server) decide(ctx context.Context) {
	var command *policy.Command
	s.withLeader(func(l *policy.Leader, now float64) { command, _ = l.Decide(now) })
	if command == nil {
		return
	}
	change, err := s.replica.Load().execute(ctx, *command)
	if err != nil {
		s.log.WithError(err).Warn("policy server: change not ended")
		return
	}
	fields := logrus.Fields{"change": change.Number, "outcome": change.Outcome, "reason": change.OutcomeReason}
	s.log.WithFields(fields).Info("policy server: change ended")
}
