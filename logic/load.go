package logic

import (
	"cmp"

	"yokeroute/gather"
)

const (
	reportWaitMS      = 25.0   // time that an arriving query waits for load reports
	minReportTimeMS   = 50.0   // time to its deadline up to which a query does not wait for load reports
	reportFreshMS     = 300.0  // age up to which a load report is not requested again
	reportValidMS     = 2000.0 // age up to which a load report is used
	reportTimeoutMS   = 1000.0 // time after which an unanswered health check is repeated
	concurrentWork    = 2.0    // number of requests that a server is assumed to process at once
	maxReportMultiple = 4.0    // multiple of the median latency at which a reported latency is clamped

	// unresponsiveLatency is the expected latency of a server that does not answer a health check.
	unresponsiveLatency = 1e9
)

// ConnectionSilenceShare is the share of the shortest latency objective for which a connection with attempts
// in flight may receive nothing. After that, further attempts use another connection.
const ConnectionSilenceShare = 0.4

// loadReport is the load that a server reported at its last health check.
type loadReport struct {
	requestedAt   float64 // time of the pending health check, 0 if there is none
	receivedAt    float64 // time of the last report, -Inf if there is none
	queueLength   float64
	latency       float64 // latency of recent requests without the time in the queue
	checkDuration float64 // duration of the health check itself
}

// loadProbe requests load reports where servers publish their load only on a health check.
type loadProbe struct {
	enabled bool
	servers *serverTable
}

func newLoadProbe(servers *serverTable, settings *gather.Settings) loadProbe {
	return loadProbe{
		enabled: settings.HealthChecksAllowed && settings.LoadReports == gather.LoadReportsOnHealthCheck,
		servers: servers,
	}
}

// recordHealthCheck stores the load report of a health check. After a failed health check the server is
// chosen only if there is no other.
func (p *loadProbe) recordHealthCheck(result *gather.HealthCheckResult, now float64) {
	index, known := p.servers.indexOf[result.Server]
	if !known {
		return
	}
	report := &p.servers.get(index).load
	if report.requestedAt <= 0 {
		return
	}
	*report = loadReport{
		receivedAt:    now,
		queueLength:   result.QueueLength,
		latency:       result.Latency,
		checkDuration: result.Elapsed,
	}
	if !result.Succeeded {
		report.queueLength = unresponsiveLatency
	}
}

// request sends health checks to the replicas of a query's requests whose load reports are not fresh. It
// reports whether the query should wait for the reports.
func (p *loadProbe) request(q *query, now float64, w gather.Writer) (wait bool) {
	waitExpired := q.loadDeadline > 0 && now >= q.loadDeadline
	if !p.enabled || waitExpired || q.Deadline-now <= minReportTimeMS {
		return false
	}
	q.loadDeadline = cmp.Or(q.loadDeadline, now+reportWaitMS)
	for _, r := range q.requests {
		for _, index := range p.servers.replicas[p.servers.replicaSet(r.Shard)] {
			if p.requestFrom(index, now, w) {
				wait = true
			}
		}
	}
	return wait
}

// requestFrom sends a health check to a server unless its load report is fresh or a check is pending. It
// reports whether a report can be expected within reportWaitMS of the check.
func (p *loadProbe) requestFrom(index int, now float64, w gather.Writer) (expectedSoon bool) {
	s := p.servers.get(index)
	if now-s.load.receivedAt <= reportFreshMS {
		return false
	}
	if s.load.requestedAt == 0 || now-s.load.requestedAt > reportTimeoutMS {
		s.load.requestedAt = now
		w.CheckHealth(s.id)
	}
	return now-s.load.requestedAt < reportWaitMS
}

// expectedLatency returns the latency expected of a request sent to a server now. The mean latency s alone
// follows a growing queue with a delay of seconds, since it covers only attempts that have ended; a load
// report or the age of the attempts in flight shows the queue sooner.
func (e *latencyEstimator) expectedLatency(server int, now float64) float64 {
	return e.expectedLatencyFrom(e.latency(server), server, now)
}

// expectedRecentLatency returns the expected latency by the records within the window alone, 0 if there are
// none.
func (e *latencyEstimator) expectedRecentLatency(server int, now float64) float64 {
	recent := e.servers.get(server).estimate.recentLatency
	if recent < 0 {
		return 0
	}
	return e.expectedLatencyFrom(recent, server, now)
}

// expectedLatencyFrom returns the latency expected of a request sent to a server now, given the server's mean
// latency.
func (e *latencyEstimator) expectedLatencyFrom(latency float64, server int, now float64) float64 {
	s := e.servers.get(server)
	if s.load.requestedAt > 0 && now-s.load.requestedAt >= reportWaitMS {
		return unresponsiveLatency
	}
	age, sinceReport := 0.0, 0.0
	for _, a := range s.inFlight {
		age += e.age(a, now)
		if a.startedAt >= s.load.receivedAt {
			sinceReport++
		}
	}
	inFlight := float64(len(s.inFlight))
	if now-s.load.receivedAt <= reportValidMS {
		return e.reportedLatency(latency, &s.load, max(s.load.queueLength+sinceReport, inFlight))
	}
	return max(latency, ageFactor*age/max(inFlight, 1))
}

// reportedLatency returns the latency of a request that waits behind a queue, by a load report. The reported
// latency covers the work alone. It is clamped: a server that was slow reports a high latency until it has
// answered more requests, and without the clamp no gatherer would send it any. The measured latency includes
// the network and the queue already, so it is multiplied by the queue only if the report has no latency.
func (e *latencyEstimator) reportedLatency(measured float64, report *loadReport, queue float64) float64 {
	measured = min(measured, maxReportMultiple*e.windowMedian)
	work := min(report.latency, maxReportMultiple*e.windowMedian)
	if report.latency < 0 {
		work = measured
	}
	return max(report.checkDuration+work*(1+queue/concurrentWork), measured)
}
