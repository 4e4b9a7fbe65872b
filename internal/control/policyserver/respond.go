package policyserver

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/hashicorp/raft"

	"yokeroute/internal/control/policyapi"
	"yokeroute/logic/policy"
)

// respond sends a response with a document.
func respond(w http.ResponseWriter, status int, doc any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(doc); err != nil {
		return // the client has closed the connection
	}
}

// respondError sends an ErrorResponse.
func respondError(w http.ResponseWriter, status int, message string) {
	respond(w, status, policyapi.ErrorResponse{Format: policyapi.Format, Message: message})
}

// respondFailure answers a request that failed: with a conflict if the record has rejected it, and otherwise with a
// status after which the client retries.
func (s *Server) respondFailure(w http.ResponseWriter, err error) {
	var rejected policy.RejectedError
	switch {
	case errors.As(err, &rejected):
		respondError(w, http.StatusConflict, rejected.Reason)
	case isLeadershipError(err):
		s.respondNotLeader(w)
	default:
		respondError(w, http.StatusServiceUnavailable, err.Error())
	}
}

// isLeadershipError reports whether an error of raft means that another server may be the leader.
func isLeadershipError(err error) bool {
	return errors.Is(err, raft.ErrNotLeader) ||
		errors.Is(err, raft.ErrLeadershipLost) ||
		errors.Is(err, raft.ErrRaftShutdown) ||
		errors.Is(err, raft.ErrLeadershipTransferInProgress)
}

// respondNotLeader responds that this server is not the leader, with the name of the leader if it is known.
func (s *Server) respondNotLeader(w http.ResponseWriter) {
	leader := ""
	if r := s.replica.Load(); r != nil {
		_, id := r.LeaderWithID()
		leader = string(id)
	}
	if leader == s.config.Name { // this server has been elected, but has not applied the log yet
		leader = ""
	}
	respond(w, http.StatusMisdirectedRequest, policyapi.ErrorResponse{
		Format:  policyapi.Format,
		Leader:  leader,
		Message: "this steward does not lead",
	})
}

// readRequest reads a request's document. If the document is invalid, it responds with an error and returns false.
func readRequest[T any](w http.ResponseWriter, r *http.Request, read policyapi.Reader[T]) (*T, bool) {
	var body io.Reader = http.MaxBytesReader(w, r.Body, policyapi.MaxBytes+1)
	doc, err := read(body)
	if err != nil {
		respondError(w, http.StatusBadRequest, err.Error())
		return nil, false
	}
	return doc, true
}
