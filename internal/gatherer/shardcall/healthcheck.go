package shardcall

import (
	"bytes"
	"strconv"
	"time"

	"yokeroute/gather"
	"yokeroute/internal/millis"
)

// maxPendingChecks limits the unanswered health checks of a connection. Answers have no ID and are matched by order,
// so that a check that is never answered stays pending.
const maxPendingChecks = 32

// loadReportFailed is sent in place of a load report by a server that cannot determine its load.
const loadReportFailed = "err"

// maxReportedLoad is larger than any plausible value in a load report.
const maxReportedLoad = 1e9

// healthCheck is a request for the load of a server. The pool's lock guards it.
type healthCheck struct {
	server    uint32
	startedAt time.Time
	conn      *conn // nil until the check is queued
	timeout   *time.Timer
	finished  bool
}

// startHealthCheck queues a health check on a connection that attempts also use. The check fails if no answer arrives
// within the connect timeout. The pool's lock must be held.
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
	c.enqueue(outgoingFrame{check: check})
}

// finishHealthCheck reports the result of a health check, once. report is nil if no load report arrived. The pool's
// lock must be held.
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
	result.Elapsed = millis.Of(time.Since(check.startedAt))
	p.reporter.ReportHealthCheck(result)
}

// parseLoadReport parses a comma-separated list of NAME=VALUE. It ignores pairs that it cannot parse.
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
		switch string(name) { // each value has two accepted names
		case "queue", "backlog":
			result.QueueLength = value
		case "latency_ms", "recent_ms":
			result.Latency = value
		}
	}
	return result
}

// beginHealthCheck marks a health check as pending before it is written. It returns false if the check has already
// ended or the connection is closed.
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

// handleLoadReport finishes the oldest pending health check with a load report. It ignores a report without a pending
// check.
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
