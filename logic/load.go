package logic

import (
	"cmp"

	"yokeroute/gather"
)

const (
	reportWaitMS        = 25.0   // that an arriving query waits for load reports,
	minReportTimeMS     = 50.0   // unless its deadline is nearer than this
	reportFreshMS       = 300.0  // for which a load report is not requested again
	reportValidMS       = 2000.0 // for which a load report is better than none
	reportTimeoutMS     = 1000.0 // after which an unanswered health check is repeated
	concurrentWork      = 2.0    // requests that a server is assumed to work on at once
	maxReportMultiple   = 4.0    // of the median latency, at which a reported latency is clamped
	unresponsiveLatency = 1e9    // expected latency of a server that does not answer a health check
)

// ConnectionSilenceShare is for how much of the shortest latency objective nothing may be received on a
// connection with attempts in flight before further attempts use another connection.
const ConnectionSilenceShare = 0.4

// loadReport is a server's load as of its last health check.
type loadReport struct {
	requestedAt   float64 // 0 where no health check is pending
	receivedAt    float64 // -Inf where there is none
	queueLength   float64
	latency       float64 // without waiting in the queue
	checkDuration float64 // of the health check itself
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

// recordHealthCheck takes a load report over. A failed health check makes a server the last choice.
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

// request asks the replicas of a query's requests for their load, unless their last reports are fresh. It
// reports whether the query should wait for them.
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

// requestFrom asks one server unless its report is fresh or on its way. It reports whether one may come
// soon.
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

// expectedLatency is what a request sent to a server now would take. s alone follows seconds late when a
// queue grows, since it counts attempts that have ended; a load report or the age of attempts in flight
// shows it sooner.
func (e *latencyEstimator) expectedLatency(server int, now float64) float64 {
	return e.expectedLatencyFrom(e.latency(server), server, now)
}

// expectedRecentLatency is the same by the records within the window alone, 0 where there are none.
func (e *latencyEstimator) expectedRecentLatency(server int, now float64) float64 {
	recent := e.servers.get(server).estimate.recentLatency
	if recent < 0 {
		return 0
	}
	return e.expectedLatencyFrom(recent, server, now)
}

// expectedLatencyFrom is what a request sent to a server now would take, by its latency so far.
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

// reportedLatency is what a load report makes a request take behind a queue. The reported latency is that of
// the work alone. It is clamped: a server that was slow reports so until it has answered more requests, which
// nobody would send it. The measured latency holds the way and the queue already, and is not multiplied by
// the queue once more unless it is all that is known of the work.
func (e *latencyEstimator) reportedLatency(measured float64, report *loadReport, queue float64) float64 {
	measured = min(measured, maxReportMultiple*e.windowMedian)
	work := min(report.latency, maxReportMultiple*e.windowMedian)
	if report.latency < 0 {
		work = measured
	}
	return max(report.checkDuration+work*(1+queue/concurrentWork), measured)
}
