package shardcall

import (
	"testing"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/testbed/standin"
)

// checkHealth makes a health check and returns its result.
func (d *harness) checkHealth() gather.HealthCheckResult {
	d.Execute(dispatch.Actions{CheckHealth: []uint32{7}})
	return <-d.checks
}

// TestLoadReportIsParsed reads load reports, with parts that can't be read.
func TestLoadReportIsParsed(t *testing.T) {
	for _, c := range []struct {
		told             string
		passed           bool
		waiting, latency float64
	}{
		{"queue=7,latency_ms=61.5", true, 7, 61.5},
		{"util=0.5,recent_ms=3,backlog=2", true, 2, 3},
		{"-", true, -1, -1},
		{"queue=-3,latency_ms=NaN", true, -1, -1},
		{"queue=x,,=,latency_ms", true, -1, -1},
		{"err", false, -1, -1},
	} {
		t.Run(c.told, func(t *testing.T) {
			shard := standin.NewShard(t)
			d := newHarness(t, shard.Address(), nil)
			go func() {
				conn := shard.Take()
				if f := conn.Read(); f.Type != 'L' || f.Body != "" {
					t.Errorf("frame %+v", f)
				}
				conn.Write('L', c.told)
			}()
			if s := d.checkHealth(); s.Server != 7 || s.Succeeded != c.passed || s.QueueLength != c.waiting ||
				s.Latency != c.latency || s.Elapsed <= 0 {
				t.Errorf("%+v", s)
			}
		})
	}
}

// TestHealthCheckEndsOnceWithoutAnAnswer makes health checks of a server that is not there, not listed, silent, or
// ends its connection. A late answer does not count for the next check.
func TestHealthCheckEndsOnceWithoutAnAnswer(t *testing.T) {
	shard := standin.NewShard(t)
	d := newHarness(t, shard.Address(), func(s *gather.Settings) { s.ConnectTimeout = 50.0 })
	conns := make(chan *standin.Conn, 2)
	go func() { conns <- shard.Take() }()
	if s := d.checkHealth(); s.Succeeded {
		t.Errorf("silent: %+v", s)
	}
	conn := <-conns
	d.Execute(dispatch.Actions{CheckHealth: []uint32{7}})
	for range 2 {
		if f := conn.Read(); f.Type != 'L' {
			t.Fatalf("frame %+v", f)
		}
	}
	conn.Write('L', "queue=1,latency_ms=1")
	conn.Write('L', "queue=2,latency_ms=2")
	if s := <-d.checks; s.Succeeded && s.QueueLength != 2 {
		t.Errorf("an answer that was too late counts for the next: %+v", s)
	}
	d.Execute(dispatch.Actions{CheckHealth: []uint32{7}})
	conn.Read()
	conn.Close()
	if s := <-d.checks; s.Succeeded {
		t.Errorf("cut: %+v", s)
	}
	shard.Close()
	if s := d.checkHealth(); s.Succeeded {
		t.Errorf("unreached: %+v", s)
	}
	d.setEndpoint(shard.Address(), gather.Draining)
	if s := d.checkHealth(); s.Succeeded {
		t.Errorf("draining: %+v", s)
	}
	if len(d.checks) > 0 {
		t.Errorf("reported twice: %+v", <-d.checks)
	}
}

// TestConnectionWithUnansweredChecksIsReplaced makes health checks that are never answered on one connection.
func TestConnectionWithUnansweredChecksIsReplaced(t *testing.T) {
	shard := standin.NewShard(t)
	d := newHarness(t, shard.Address(), func(s *gather.Settings) { s.ConnectTimeout = 20.0 })
	done := make(chan struct{})
	go func() {
		defer close(done)
		shard.Take()
		shard.Take()
	}()
	for range maxPendingChecks + 1 {
		d.checkHealth()
	}
	<-done
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.servers[7].conns {
		if len(c.pendingChecks) > maxPendingChecks {
			t.Errorf("%d checks are pending", len(c.pendingChecks))
		}
	}
}
