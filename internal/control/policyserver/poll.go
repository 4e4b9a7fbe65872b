package policyserver

import (
	"context"
	"errors"
	"net/http"
	"time"

	"yokeroute/internal/control/policyapi"
	"yokeroute/logic/policy"
)

// handlePoll answers a gatherer's poll: at once where there is news for it, or else when there is, its wait
// is over or the server ends.
func (s *Server) handlePoll(w http.ResponseWriter, r *http.Request) {
	request, ok := readRequest(w, r, policyapi.ReadPollRequest)
	if !ok {
		return
	}
	// The lease counts from the time of the poll, however late the answer is. So leadership has to be verified after
	// the poll has arrived.
	if err := s.verifier.Verify(r.Context()); err != nil {
		s.respondNotLeader(w)
		return
	}
	refusalReason, err := s.register(r.Context(), request.Heartbeat.Member)
	if err != nil {
		s.respondFailure(w, err)
		return
	}
	lease := 0.0
	isLeader := s.withLeader(func(l *policy.Leader, now float64) {
		lease = l.Handle(now, request.Heartbeat).Lease
	})
	if !isLeader {
		s.respondNotLeader(w)
		return
	}
	if refusalReason != "" {
		lease = 0
	}
	s.notifyChanged()
	update, ok := s.awaitUpdate(r.Context(), request, lease)
	if !ok {
		return
	}
	update.Lease = lease
	update.RefusalReason = refusalReason
	respond(w, http.StatusOK, policyapi.PollResponse{Format: policyapi.Format, Update: &update})
}

// awaitUpdate waits until there is news for a gatherer, its wait is over or the server ends. It does not wait
// for one without a lease, and returns false where the gatherer has given up.
func (s *Server) awaitUpdate(ctx context.Context, r *policyapi.PollRequest, lease float64) (policy.Update, bool) {
	timeout := time.NewTimer(duration(r.WaitMillis))
	defer timeout.Stop()
	for {
		record, changed := s.fsm.current()
		update := record.Update()
		if lease == 0 || update.IsNewTo(r.Heartbeat) {
			return update, true
		}
		select {
		case <-changed:
		case <-timeout.C:
			return update, true
		case <-s.http.Ending():
			return update, true
		case <-ctx.Done():
			return update, false
		}
	}
}

// register registers a gatherer that is new or has changed, and returns the reason where the record rejects it. It
// tries the command on a copy of the record first: a gatherer that is rejected polls again and again, and must not fill
// the log.
func (s *Server) register(ctx context.Context, m policy.Member) (refusalReason string, err error) {
	record, _ := s.fsm.current()
	if record.Registered(m) {
		return "", nil
	}
	command := policy.Command{Register: &m}
	trial := *record
	if _, err = trial.Apply(command); err == nil {
		_, err = s.replica.Load().execute(ctx, command)
	}
	var rejected policy.RejectedError
	if errors.As(err, &rejected) {
		return rejected.Reason, nil
	}
	return "", err
}
