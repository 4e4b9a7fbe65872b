package shardcall

import (
	"bytes"
	"strconv"
	"time"

	"yokeroute/gather"
)

// mostAsked bounds the probes that a connection owes an answer to: on one that never answers them they would
// pile up, as their answers bear no name and go by their order.
const mostAsked = 32

// probe is a question for a server's load, between its decision and its end.
type probe struct {
	server uint32
	at     time.Time
	on     *conn
	timer  *time.Timer
	over   bool
}

// inquire sends a server a question for its load. It goes by a connection that calls use; a server that has none
// gets one. What is not answered in the time of a connect has failed. The lock is held.
func (p *Pool) inquire(id uint32) {
	pr := &probe{server: id, at: time.Now()}
	s := p.servers[id]
	if s == nil || s.State != gather.Running {
		p.told(pr, nil)
		return
	}
	c := p.connFor(s, 1)
	pr.timer = time.AfterFunc(p.connectTime, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.told(pr, nil)
	})
	c.enqueue(frame{probe: pr})
}

// told ends a probe, once, with the report that came or nil. The lock is held.
func (p *Pool) told(pr *probe, report []byte) {
	if pr.over {
		return
	}
	pr.over = true
	if pr.timer != nil {
		pr.timer.Stop()
	}
	if pr.on != nil {
		pr.on.free()
	}
	smp := gather.HealthCheckResult{Server: pr.server, Elapsed: float64(time.Since(pr.at)) / 1e6, Succeeded: report != nil, QueueLength: -1, Latency: -1}
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

// question writes a probe that still waits for its answer; false where there is nothing to write.
func (c *conn) question(pr *probe) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if pr.over || c.closed {
		c.pool.told(pr, nil)
		return false
	}
	c.asked = append(c.asked, pr)
	return true
}

// replied gives the oldest probe its answer; one that nobody asked for says nothing.
func (c *conn) replied(report []byte) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if len(c.asked) == 0 {
		return
	}
	pr := c.asked[0]
	c.asked = c.asked[1:]
	c.quiet, c.since = 0, time.Now()
	c.pool.told(pr, report)
}
