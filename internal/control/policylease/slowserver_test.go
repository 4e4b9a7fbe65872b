package policylease

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/config/operator"
	"yokeroute/internal/control/policyapi"
	"yokeroute/internal/millis"
	"yokeroute/logic/policy"
)

// startPolicyServer starts a stand-in for a policy server that answers each poll with a lease after a delay, or never
// if the delay is 0.
func startPolicyServer(t *testing.T, delay time.Duration) operator.PolicyServer {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil { // the server notices that a client left only then
			return
		}
		var answered <-chan time.Time
		if delay > 0 {
			answered = time.After(delay)
		}
		select {
		case <-answered:
		case <-r.Context().Done():
			return
		}
		update := &policy.Update{Epoch: 1, LastEnded: 1, Lease: 60_000}
		if err := json.NewEncoder(w).Encode(policyapi.PollResponse{Format: policyapi.Format, Update: update}); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(s.Close)
	return operator.PolicyServer{Name: s.URL, Address: strings.TrimPrefix(s.URL, "http://")}
}

// TestLeaseIsGrantedBySlowServer guards against a gatherer that keeps to its fallback policy: each poll of a server that
// responds late was given up and repeated. Another server does not respond at all.
func TestLeaseIsGrantedBySlowServer(t *testing.T) {
	t.Parallel()
	const delay = pollWait + minResponseGrace + 500*time.Millisecond
	startedAt := time.Now()
	lease := New(Config{
		Platform: &gather.Settings{},
		Clock:    func() float64 { return millis.Of(time.Since(startedAt)) },
		OnChange: func() {},
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	poller := NewPoller(lease, PollerConfig{
		Servers: []operator.PolicyServer{startPolicyServer(t, 0), startPolicyServer(t, delay)},
		Log:     log,
	})
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	running.Go(func() { poller.Run(ctx) })
	for lease.State().ExpiresAt == 0 {
		if time.Since(startedAt) > 10*delay {
			t.Fatalf("no lease within %v", 10*delay)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
