package policyserver

import (
	"context"
	"net/http"
	"time"

	"yokeroute/internal/control/policyapi"
	"yokeroute/logic/policy"
)

// handler returns the handler of all paths of the protocol.
func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+policyapi.PollPath, s.handlePoll)
	mux.HandleFunc("GET "+policyapi.StatusPath, s.handleStatus)
	mux.HandleFunc("POST "+policyapi.ProposePath, s.handlePropose)
	mux.HandleFunc("POST "+policyapi.AbandonPath, s.handleAbandon)
	mux.HandleFunc("POST "+policyapi.ForgetPath, s.handleForget)
	mux.HandleFunc("POST "+policyapi.IncarnationPath, s.handleIncarnation)
	mux.HandleFunc("POST "+policyapi.MembershipPath, s.handleMembership)
	return mux
}

// handleStatus reports the record and the status of each gatherer.
func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	if err := s.verifier.Verify(r.Context()); err != nil {
		s.respondNotLeader(w)
		return
	}
	status := &policyapi.Status{Server: s.config.Name}
	isLeader := s.withLeader(func(l *policy.Leader, now float64) {
		status.Record = *l.Record
		status.Members = l.MemberStatuses(now)
		_, status.WaitingFor = l.Decide(now)
		status.AppliedEverywhere, status.Missing = l.AppliedEverywhere(now, status.Members)
	})
	if !isLeader {
		s.respondNotLeader(w)
		return
	}
	respond(w, http.StatusOK, policyapi.StatusResponse{Format: policyapi.Format, Status: status})
}

// handlePropose proposes a change.
func (s *Server) handlePropose(w http.ResponseWriter, r *http.Request) {
	request, ok := readRequest(w, r, policyapi.ReadProposeRequest)
	if !ok {
		return
	}
	request.Change.ProposedAt = float64(time.Now().UnixMilli())
	s.execute(r.Context(), w, policy.Command{Propose: &request.Change})
}

// handleAbandon abandons the pending change.
func (s *Server) handleAbandon(w http.ResponseWriter, r *http.Request) {
	request, ok := readRequest(w, r, policyapi.Read[policyapi.AbandonRequest])
	if !ok {
		return
	}
	s.execute(r.Context(), w, policy.Command{Abandon: request.Number, Reason: request.Reason})
}

// handleForget removes a gatherer from the members.
func (s *Server) handleForget(w http.ResponseWriter, r *http.Request) {
	request, ok := readRequest(w, r, policyapi.Read[policyapi.ForgetRequest])
	if !ok {
		return
	}
	s.execute(r.Context(), w, policy.Command{Forget: request.Name})
}

// execute replicates a command and responds with the resulting change.
func (s *Server) execute(ctx context.Context, w http.ResponseWriter, c policy.Command) {
	replica := s.replica.Load()
	if replica == nil {
		s.respondNotLeader(w)
		return
	}
	change, err := replica.execute(ctx, c)
	if err != nil {
		s.respondFailure(w, err)
		return
	}
	respond(w, http.StatusOK, policyapi.ChangeResponse{Format: policyapi.Format, Change: change})
}

// handleIncarnation records the incarnation of another policy server.
func (s *Server) handleIncarnation(w http.ResponseWriter, r *http.Request) {
	request, ok := readRequest(w, r, policyapi.Read[policyapi.IncarnationRequest])
	if !ok {
		return
	}
	previous, err := s.incarnations.record(request.Name, request.Incarnation)
	if err != nil {
		s.respondFailure(w, err)
		return
	}
	respond(w, http.StatusOK, policyapi.IncarnationResponse{Format: policyapi.Format, Incarnation: previous})
}

// handleMembership adds a policy server to the quorum, or removes one.
func (s *Server) handleMembership(w http.ResponseWriter, r *http.Request) {
	request, ok := readRequest(w, r, policyapi.Read[policyapi.MembershipRequest])
	if !ok {
		return
	}
	replica := s.replica.Load()
	if replica == nil {
		s.respondNotLeader(w)
		return
	}
	change := replica.addServer
	if request.Remove {
		change = replica.removeServer
	}
	if err := change(r.Context(), request.Name); err != nil {
		s.respondFailure(w, err)
		return
	}
	respond(w, http.StatusOK, policyapi.MembershipResponse{Format: policyapi.Format})
}
