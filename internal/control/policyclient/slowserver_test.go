package policyclient_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"yokeroute/internal/control/policyapi"
	"yokeroute/internal/control/policyclient"
)

// TestSlowServerIsHeardInLaterRound guards against an operators' command that fails although the leader responds, only
// later than the client once waited in each of its rounds.
func TestSlowServerIsHeardInLaterRound(t *testing.T) {
	t.Parallel()
	const delay = 2 * time.Second
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return
		}
		response := policyapi.StatusResponse{Format: policyapi.Format, Status: &policyapi.Status{}}
		if err := json.NewEncoder(w).Encode(response); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(s.Close)
	client := &policyclient.Client{Servers: []string{strings.TrimPrefix(s.URL, "http://")}}
	startedAt := time.Now()
	if _, err := client.Status(t.Context()); err != nil {
		t.Errorf("after %v: %v", time.Since(startedAt), err)
	}
}
