package policyserver

import (
	"context"
	"errors"
	"net/http"
	"time"

	"yokeroute/internal/control/policyapi"
	"yokeroute/logic/policy"
)

// handlePoll answers a gatherer's poll: at once if there is an update that the gatherer does not have, and otherwise
// once there is one, the poll's wait is over, or the server shuts down.
func (s *Server) handlePoll(w http.ResponseWriter, r *http.Request) {
	request, ok := readRequest(w, r, policyapi.ReadPollRequest)
	if !ok {
		return
	}
	// The lease starts when the gatherer sends the poll, however late the response is. So leadership has to be verified
	// after the poll has arrived.
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

// awaitUpdate waits until there is an update that a gatherer does not have, the poll's wait is over, or the server
// shuts down. It does not wait if lease is 0, and returns false if the gatherer has cancelled the poll.
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

// register registers a gatherer that is new or has changed, and returns the reason if the record rejects it. It applies
// the command to a copy of the record first, since a rejected gatherer keeps polling and must not fill the log.
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
