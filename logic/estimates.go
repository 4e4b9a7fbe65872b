package logic

import (
	"yokeroute/gather"
	"yokeroute/internal/stats"
	"yokeroute/logic/callstats"
	"yokeroute/logic/slowstart"
)

const (
	// measuringWindowMS is the length of the measuring window; the value is taken from the paper.
	measuringWindowMS = 5000.0
	// minRecords is the number of records that a server keeps even if they are older than the window, up to
	// maxRecordAgeMS: a small gatherer sends each server few attempts.
	minRecords     = 4
	maxRecordAgeMS = 25000.0

	// lateMultiple is the multiple of its usual latency above which an attempt is late and counts as failed;
	// the value is taken from the paper.
	lateMultiple = 2.0
	// maxUtilization is the upper bound of a server's utilization (L·s in the paper).
	maxUtilization = 0.9
	// ageFactor multiplied by the mean age of the attempts in flight estimates their latency.
	ageFactor = 1.5
	// failurePrior is the number of successes added to a server's records for its cautious failure share, so
	// that a single failure does not make the share high.
	failurePrior = 2
	// successPrior is the number of successes added to a server's records for its success share, so that the
	// share is never 0 and no server is excluded for good.
	successPrior = 0.02
	// The shortest latency objective divided by initialLatencyDivisor is the latency assumed before there is
	// any record.
	initialLatencyDivisor = 10
	// The shortest latency objective divided by initialExtraDivisor is the extra latency (r in the
	// paper) assumed before any attempt has failed.
	initialExtraDivisor = 2

	unknownLatency = -1.0 // value of a mean latency for which there are no records
)

// estimate holds the statistics of a server, by its records and its attempts in flight. The fields latency
// and recentLatency are unknownLatency if there is no record of such an attempt.
type estimate struct {
	latency              float64 // mean latency of successful attempts (s in the paper)
	recentLatency        float64 // mean latency of successful attempts within the window
	failureShare         float64 // share of failed and late attempts (f in the paper)
	extraLatency         float64 // mean extra latency of failed and late attempts (r in the paper)
	cautiousFailureShare float64 // failureShare with failurePrior successes added
	successShare         float64 // share of successful attempts, including those that succeeded late
	successesSinceLoss   float64 // successful attempts since one failed that may have been executed
}

// latencyEstimator updates the servers' estimates from the attempts that have ended or are in flight.
type latencyEstimator struct {
	servers   *serverTable
	slowStart *slowstart.Table
	records   *callstats.Table

	shortestObjective float64 // shortest latency objective of all classes
	windowMedian      float64 // median latency of the attempts that succeeded within the window
	defaultLatency    float64 // assumed for a server without records: windowMedian of the previous round

	// currentMedian is the median latency of the attempts in flight and of those that succeeded within the
	// last shortestObjective.
	currentMedian    float64
	warmSuccesses    float64   // attempts that succeeded since the last round at servers that are warmed up
	attemptLatencies []float64 // buffer of update, reused between rounds
	totalStall       float64   // sum of the delays of rounds in which the process was stalled
}

func newLatencyEstimator(
	servers *serverTable, slow *slowstart.Table, shortestObjective float64,
) latencyEstimator {
	limits := callstats.Limits{Window: measuringWindowMS, MinRecords: minRecords, MaxAge: maxRecordAgeMS}
	return latencyEstimator{
		servers:           servers,
		slowStart:         slow,
		shortestObjective: shortestObjective,
		windowMedian:      shortestObjective / initialLatencyDivisor,
		records:           callstats.New(limits),
	}
}

// initialLatency returns the latency assumed before there is any record.
func (e *latencyEstimator) initialLatency() float64 {
	return e.shortestObjective / initialLatencyDivisor
}

// hasMeasurements reports whether windowMedian was measured, and is not the initial latency.
func (e *latencyEstimator) hasMeasurements() bool { return e.windowMedian != e.initialLatency() }

// latency returns a server's mean latency, which is s in the gain formula at chooseMode. A server without
// records is assumed to have the average latency.
func (e *latencyEstimator) latency(server int) float64 {
	if s := e.servers.get(server).estimate.latency; s >= 0 {
		return s
	}
	return e.defaultLatency
}

// age returns how long an attempt has been in flight, without the time for which the process was stalled: it
// read no responses in that time, which says nothing about the server.
func (e *latencyEstimator) age(a *attempt, now float64) float64 {
	return now - a.startedAt - (e.totalStall - a.totalStallAtSend)
}

// attemptLatency returns the usual latency of an attempt. It is bounded by the median of all servers, since a
// server that slows down steadily never takes twice its own s. A request of a high cost may take longer.
func (e *latencyEstimator) attemptLatency(a *attempt) float64 {
	return min(e.latency(a.server), e.windowMedian) * a.request.relativeCost()
}

// record records an attempt that has ended. An attempt that was not sent, or that this gatherer cancelled
// before it was late, says nothing about the server and is not added to its records.
func (e *latencyEstimator) record(a *attempt, outcome gather.Outcome, now float64) {
	e.records.MarkChanged(a.server)
	succeeded := outcome == gather.Succeeded
	latency := e.age(a, now)
	limit := lateMultiple * e.attemptLatency(a)
	late := latency > limit
	r := callstats.Record{
		EndedAt:      now,
		Latency:      latency,
		ExtraLatency: latency - limit/lateMultiple,
		Weight:       a.weight,
		Succeeded:    succeeded,
		Failed:       !succeeded || late,
	}
	if !succeeded {
		r.ExtraLatency += limit // the retry of a failed attempt takes time as well
		r.Lost = !a.neverExecuted
	}
	if succeeded && e.slowStart.Share(a.server, now) == 1 {
		e.warmSuccesses++
	}
	if outcome == gather.NotSent || outcome == gather.Cancelled && !late {
		return
	}
	e.records.Add(a.server, r)
}

// update updates all estimates to the current round. It visits only the servers with attempts in flight and
// those whose records have changed.
func (e *latencyEstimator) update(now, elapsed, decay float64) {
	e.servers.decayAttemptCounts(decay)
	changed := e.records.Advance(now)
	latencies := e.records.AppendLatencies(now-e.shortestObjective, e.attemptLatencies[:0])
	e.servers.removeIdle()
	for _, server := range e.servers.busy {
		for _, a := range e.servers.get(server).inFlight {
			latencies = append(latencies, max(e.latency(server), ageFactor*e.age(a, now)))
		}
		e.estimate(server, now)
	}
	for _, server := range changed {
		if e.servers.inFlight(server) == 0 {
			e.estimate(server, now)
		}
	}
	e.slowStart.Earn(slowstart.Round{
		Now:           now,
		Elapsed:       elapsed,
		MedianLatency: e.windowMedian,
		WarmSuccesses: e.warmSuccesses,
	}, e.servers.running)
	e.warmSuccesses = 0
	e.attemptLatencies = latencies
	e.currentMedian = stats.Median(latencies, 0)
	e.defaultLatency = e.windowMedian
	e.windowMedian = e.records.Median(e.initialLatency())
}

// estimate computes a server's estimate. A late attempt in flight counts as failed, so that a server that
// does not respond is noticed before its attempts end.
func (e *latencyEstimator) estimate(server int, now float64) {
	sums := e.records.Sums(server)
	count, failed, extra := sums.Count, sums.Failed, sums.ExtraLatency
	s := e.servers.get(server)
	for _, a := range s.inFlight {
		if lateBy := e.age(a, now) - lateMultiple*e.attemptLatency(a); lateBy > 0 {
			count++
			failed++
			extra += lateBy
		}
	}
	s.estimate = estimate{
		latency:              unknownLatency,
		recentLatency:        unknownLatency,
		failureShare:         failed / max(count, 1),
		extraLatency:         e.shortestObjective / initialExtraDivisor,
		cautiousFailureShare: failed / (count + failurePrior),
		successShare:         (sums.Succeeded + successPrior) / (count + successPrior),
		successesSinceLoss:   sums.SuccessesSinceLoss,
	}
	if sums.Succeeded > 0 {
		s.estimate.latency = sums.Latency / sums.Succeeded
	}
	if recent := sums.Recent; recent.Succeeded > 0 {
		s.estimate.recentLatency = recent.Latency / recent.Succeeded
	}
	if failed > 0 {
		s.estimate.extraLatency = extra / failed
	}
}

// affectedAttempts returns the number of attempts that a request sent now would delay, including itself. It
// is E in the gain formula at chooseMode (section III-C of the paper).
func (e *latencyEstimator) affectedAttempts(server int) float64 {
	utilization := min(e.servers.attemptCounts[server]/measuringWindowMS*e.latency(server), maxUtilization)
	queue := float64(e.servers.inFlight(server) + 1)
	return utilization * queue / (1 - utilization)
}
