package logic

import (
	"yokeroute/gather"
	"yokeroute/internal/stats"
	"yokeroute/logic/callstats"
	"yokeroute/logic/slowstart"
)

const (
	measuringWindowMS = 5000.0 // the paper's
	// Where a server has fewer records in the window, older ones count: a small gatherer sends each server
	// little.
	minRecords     = 4
	maxRecordAgeMS = 25000.0

	lateMultiple          = 2.0  // of its usual latency, beyond which an attempt has failed; the paper's
	maxUtilization        = 0.9  // startRound which the paper's L·s is clamped
	ageFactor             = 1.5  // from the mean age of attempts in flight to their expected latency
	failurePrior          = 2    // added to the cautious failure share: one failure proves little
	successPrior          = 0.02 // added to the success share: no server is ruled out for good
	initialLatencyDivisor = 10   // of the shortest objective: the latency before there is any record
	initialExtraDivisor   = 2    // of the shortest objective: the paper's r before an attempt has failed
	unknown               = -1.0
)

// estimate is what a server's records and attempts in flight say of it.
type estimate struct {
	latency              float64 // the paper's s: mean of those that succeeded; unknown without any
	recentLatency        float64 // the same of those in the window alone
	failureShare         float64 // the paper's f
	extraLatency         float64 // the paper's r
	cautiousFailureShare float64 // f with successes added, so that one failure proves little
	successShare         float64 // lateAttempt attempts count as successful here
	successesSinceLoss   float64 // since an attempt failed that may have executed
}

// latencyEstimator keeps the servers' estimates up to date by the attempts that have ended or are in
// flight.
type latencyEstimator struct {
	servers   *serverTable
	slowStart *slowstart.Table
	records   *callstats.Table

	shortestObjective float64 // of all classes
	windowMedian      float64 // latency of the attempts that succeeded in the window
	defaultLatency    float64 // of a server without records: the window's median as of the round before
	currentMedian     float64 // of attempts in flight and of those that succeeded of late
	warmSuccesses     float64 // attempts since the last round, at servers that are warmed up
	attemptLatencies  []float64
	totalStall        float64 // for how long rounds were held up, in all
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

// initialLatency is the latency assumed before there is any record.
func (e *latencyEstimator) initialLatency() float64 {
	return e.shortestObjective / initialLatencyDivisor
}

// hasMeasurements reports whether the median is that of attempts.
func (e *latencyEstimator) hasMeasurements() bool { return e.windowMedian != e.initialLatency() }

// latency is the paper's s. A server without records is assumed to be an average one.
func (e *latencyEstimator) latency(server int) float64 {
	if s := e.servers.get(server).estimate.latency; s >= 0 {
		return s
	}
	return e.defaultLatency
}

// age is for how long an attempt has been in flight, without the time in which rounds were held up: the
// process did not read responses then, which says nothing of the server.
func (e *latencyEstimator) age(a *attempt, now float64) float64 {
	return now - a.startedAt - (e.totalStall - a.totalStallAtSend)
}

// attemptLatency is what an attempt should take. The median of all servers bounds it, since a server that
// slows down steadily never takes twice its own s; a request of a high cost may take longer.
func (e *latencyEstimator) attemptLatency(a *attempt) float64 {
	return min(e.latency(a.server), e.windowMedian) * a.request.relativeCost()
}

// record notes an attempt that has ended. One that this side ended before it was late says nothing of the
// server.
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
		r.ExtraLatency += limit // its retry takes its time as well
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

// update brings all estimates up to the round. Only servers with attempts in flight, and those whose
// records changed, are looked at.
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

// estimate works out a server's estimate. An attempt in flight that is late counts as failed, so that a
// silent server is noticed before its attempts end.
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
		latency:              unknown,
		recentLatency:        unknown,
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

// affectedAttempts is the paper's E: the attempts that a request sent now would delay, itself among them (section
// III-C).
func (e *latencyEstimator) affectedAttempts(server int) float64 {
	utilization := min(e.servers.attemptCounts[server]/measuringWindowMS*e.latency(server), maxUtilization)
	queue := float64(e.servers.inFlight(server) + 1)
	return utilization * queue / (1 - utilization)
}
