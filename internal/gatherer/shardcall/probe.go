package shardcall

import (
	"bytes"
	"strconv"
	"time"

	"yokeroute/gather"
)

// maxPendingChecks bounds the probes that a connection owes an answer to: on one that never answers them they would
// pile up, as their answers bear no name and go by their order.
const maxPendingChecks = 32

// healthCheck is a question for a server's load, between its decision and its end.
type healthCheck struct {
	server    uint32
	startedAt time.Time
	conn      *conn
	timeout   *time.Timer
	finished  bool
}

// startHealthCheck sends a server a question for its load. It goes by a connection that calls use; a server that has none
// gets one. What is not answered in the time of a connect has failed. The lock is held.
func (p *Pool) startHealthCheck(id uint32) {
	pr := &healthCheck{server: id, startedAt: time.Now()}
	s := p.servers[id]
	if s == nil || s.State != gather.Running {
		p.finishHealthCheck(pr, nil)
		return
	}
	c := p.connFor(s, 1)
	pr.timeout = time.AfterFunc(p.connectTimeout, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.finishHealthCheck(pr, nil)
	})
	c.enqueue(outgoing{check: pr})
}

// finishHealthCheck ends a probe, once, with the report that came or nil. The lock is held.
func (p *Pool) finishHealthCheck(pr *healthCheck, report []byte) {
	if pr.finished {
		return
	}
	pr.finished = true
	if pr.timeout != nil {
		pr.timeout.Stop()
	}
	if pr.conn != nil {
		pr.conn.release()
	}
	smp := gather.HealthCheckResult{Server: pr.server, Elapsed: float64(time.Since(pr.startedAt)) / 1e6, Succeeded: report != nil, QueueLength: -1, Latency: -1}
	if string(report) == "err" {
		smp.Succeeded = false
	}
	for pair := range bytes.SplitSeq(report, []byte{','}) { // what can't be read tells nothing, as "-" does
		name, text, _ := bytes.Cut(pair, []byte{'='})
		v, err := strconv.ParseFloat(string(text), 64)
		if err != nil || !(v >= 0 && v < 1e9) {
			continue
		}
		switch string(name) { // the settings and the frames word them differently
		case "queue", "backlog":
			smp.QueueLength = v
		case "latency_ms", "recent_ms":
			smp.Latency = v
		}
	}
	p.reporter.ReportHealthCheck(smp)
}

// beginHealthCheck writes a probe that still waits for its answer; false where there is nothing to write.
func (c *conn) beginHealthCheck(pr *healthCheck) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if pr.finished || c.closed {
		c.pool.finishHealthCheck(pr, nil)
		return false
	}
	c.pendingChecks = append(c.pendingChecks, pr)
	return true
}

// handleLoadReport gives the oldest probe its answer; one that nobody asked for says nothing.
func (c *conn) handleLoadReport(report []byte) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if len(c.pendingChecks) == 0 {
		return
	}
	pr := c.pendingChecks[0]
	c.pendingChecks = c.pendingChecks[1:]
	c.silentBefore, c.silentSince = 0, time.Now()
	c.pool.finishHealthCheck(pr, report)
}
