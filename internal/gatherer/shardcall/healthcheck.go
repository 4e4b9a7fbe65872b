package shardcall

import (
	"bytes"
	"strconv"
	"time"

	"yokeroute/gather"
)

// maxPendingChecks bounds the unanswered health checks of a connection. Answers bear no ID and go by their order, so
// that a check that is never answered stays.
const maxPendingChecks = 32

// loadReportFailed is in place of a load report where the server could not tell its load.
const loadReportFailed = "err"

// maxReportedLoad is above any value of a load report that makes sense.
const maxReportedLoad = 1e9

// healthCheck is a request for a server's load. The pool's lock guards it.
type healthCheck struct {
	server    uint32
	startedAt time.Time
	conn      *conn // nil until it is queued
	timeout   *time.Timer
	finished  bool
}

// startHealthCheck queues a health check on a connection that attempts use as well. Without an answer within the
// connect timeout it has failed. The lock must be held.
func (p *Pool) startHealthCheck(id uint32) {
	check := &healthCheck{server: id, startedAt: time.Now()}
	s := p.servers[id]
	if s == nil || s.State != gather.Running {
		p.finishHealthCheck(check, nil)
		return
	}
	c := p.connFor(s, 1)
	check.timeout = time.AfterFunc(p.limits.connectTimeout, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.finishHealthCheck(check, nil)
	})
	c.enqueue(outgoing{check: check})
}

// finishHealthCheck reports the end of a health check, once. The load report is nil where none arrived. The lock must
// be held.
func (p *Pool) finishHealthCheck(check *healthCheck, report []byte) {
	if check.finished {
		return
	}
	check.finished = true
	if check.timeout != nil {
		check.timeout.Stop()
	}
	if check.conn != nil {
		check.conn.release()
	}
	result := parseLoadReport(report)
	result.Server = check.server
	result.Elapsed = float64(time.Since(check.startedAt)) / float64(time.Millisecond)
	p.reporter.ReportHealthCheck(result)
}

// parseLoadReport reads a list of NAME=VALUE with commas between. What can't be read is ignored.
func parseLoadReport(report []byte) gather.HealthCheckResult {
	result := gather.HealthCheckResult{
		Succeeded:   report != nil && string(report) != loadReportFailed,
		QueueLength: -1,
		Latency:     -1,
	}
	for pair := range bytes.SplitSeq(report, []byte{','}) {
		name, text, _ := bytes.Cut(pair, []byte{'='})
		value, err := strconv.ParseFloat(string(text), 64)
		if err != nil || !(value >= 0 && value < maxReportedLoad) {
			continue
		}
		switch string(name) { // either name may be used
		case "queue", "backlog":
			result.QueueLength = value
		case "latency_ms", "recent_ms":
			result.Latency = value
		}
	}
	return result
}

// beginHealthCheck notes that a health check is about to be written, unless it has ended.
func (c *conn) beginHealthCheck(check *healthCheck) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if check.finished || c.closed {
		c.pool.finishHealthCheck(check, nil)
		return false
	}
	c.pendingChecks = append(c.pendingChecks, check)
	return true
}

// handleLoadReport answers the oldest pending health check. A report without one is ignored.
func (c *conn) handleLoadReport(report []byte) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if len(c.pendingChecks) == 0 {
		return
	}
	check := c.pendingChecks[0]
	c.pendingChecks = c.pendingChecks[1:]
	c.resetSilence()
	c.pool.finishHealthCheck(check, report)
}
