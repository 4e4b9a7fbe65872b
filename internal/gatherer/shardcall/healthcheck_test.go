package shardcall

import (
	"testing"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/testbed/standin"
)

// checkHealth makes a health check and returns its result.
func (h *harness) checkHealth() gather.HealthCheckResult {
	h.Execute(dispatch.Actions{CheckHealth: []uint32{7}})
	return <-h.checks
}

// TestLoadReportIsParsed parses load reports, some with parts that are invalid.
func TestLoadReportIsParsed(t *testing.T) {
	for _, c := range []struct {
		report         string
		succeeded      bool
		queue, latency float64
	}{
		{"queue=7,latency_ms=61.5", true, 7, 61.5},
		{"util=0.5,recent_ms=3,backlog=2", true, 2, 3},
		{"-", true, -1, -1},
		{"queue=-3,latency_ms=NaN", true, -1, -1},
		{"queue=x,,=,latency_ms", true, -1, -1},
		{"err", false, -1, -1},
	} {
		t.Run(c.report, func(t *testing.T) {
			shard := standin.NewShard(t)
			h := newHarness(t, shard.Address(), nil)
			go func() {
				conn := shard.Take()
				if f := conn.Read(); f.Type != 'L' || f.Body != "" {
					t.Errorf("frame %+v, want a health check", f)
				}
				conn.Write('L', c.report)
			}()
			if s := h.checkHealth(); s.Server != 7 || s.Succeeded != c.succeeded || s.QueueLength != c.queue ||
				s.Latency != c.latency || s.Elapsed <= 0 {
				t.Errorf("result %+v, want the values of the report and a positive Elapsed", s)
			}
		})
	}
}

// TestHealthCheckWithoutAnswerEndsOnce makes health checks of a server that cannot be reached, is draining, does not
// answer, or closes its connection. A late answer must not be used for the next check.
func TestHealthCheckWithoutAnswerEndsOnce(t *testing.T) {
	shard := standin.NewShard(t)
	h := newHarness(t, shard.Address(), func(s *gather.Settings) { s.ConnectTimeout = 50.0 })
	conns := make(chan *standin.Conn, 2)
	go func() { conns <- shard.Take() }()
	if s := h.checkHealth(); s.Succeeded {
		t.Errorf("server does not answer: %+v, want a failure", s)
	}
	conn := <-conns
	h.Execute(dispatch.Actions{CheckHealth: []uint32{7}})
	for range 2 {
		if f := conn.Read(); f.Type != 'L' {
			t.Fatalf("frame %+v, want a health check", f)
		}
	}
	conn.Write('L', "queue=1,latency_ms=1")
	conn.Write('L', "queue=2,latency_ms=2")
	if s := <-h.checks; s.Succeeded && s.QueueLength != 2 {
		t.Errorf("the late answer is used for the next check: %+v", s)
	}
	h.Execute(dispatch.Actions{CheckHealth: []uint32{7}})
	conn.Read()
	conn.Close()
	if s := <-h.checks; s.Succeeded {
		t.Errorf("connection closed: %+v, want a failure", s)
	}
	shard.Close()
	if s := h.checkHealth(); s.Succeeded {
		t.Errorf("connection refused: %+v, want a failure", s)
	}
	h.setEndpoint(shard.Address(), gather.Draining)
	if s := h.checkHealth(); s.Succeeded {
		t.Errorf("draining server: %+v, want a failure", s)
	}
	if len(h.checks) > 0 {
		t.Errorf("a check is reported twice: %+v", <-h.checks)
	}
}

// TestConnectionWithUnansweredChecksIsReplaced makes health checks that are never answered. After maxPendingChecks of
// them, another connection must be used.
func TestConnectionWithUnansweredChecksIsReplaced(t *testing.T) {
	shard := standin.NewShard(t)
	h := newHarness(t, shard.Address(), func(s *gather.Settings) { s.ConnectTimeout = 20.0 })
	done := make(chan struct{})
	go func() {
		defer close(done)
		shard.Take()
		shard.Take()
	}()
	for range maxPendingChecks + 1 {
		h.checkHealth()
	}
	<-done
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.servers[7].conns {
		if len(c.pendingChecks) > maxPendingChecks {
			t.Errorf("%d checks are pending, want at most maxPendingChecks", len(c.pendingChecks))
		}
	}
}
