package baselines

import (
	"cmp"
	"math"
	"slices"

	"yokeroute/gather"
	"yokeroute/internal/stats"
)

const (
	maxLatencies = 256 // number of latencies kept
	minLatencies = 20  // number of known latencies below which no attempt is hedged
)

// latencyRing holds the latest maxLatencies latencies.
type latencyRing struct {
	values []float64
	next   int
}

func (l *latencyRing) add(latency float64) {
	if len(l.values) < maxLatencies {
		l.values = append(l.values, latency)
		return
	}
	l.values[l.next] = latency
	l.next = (l.next + 1) % maxLatencies
}

// quantile returns a quantile of the latencies, or +Inf while there are fewer than minLatencies.
func (l *latencyRing) quantile(share float64) float64 {
	if len(l.values) < minLatencies {
		return math.Inf(1)
	}
	sorted := slices.Clone(l.values)
	slices.Sort(sorted)
	return sorted[int(share*float64(len(sorted)-1))]
}

// hedgeAfter returns the age from which an attempt is hedged, or +Inf if attempts are not hedged.
func (m *Module) hedgeAfter() float64 {
	if m.strategy.HedgeQuantile == 0 || !m.settings.HedgingAllowed {
		return math.Inf(1)
	}
	return m.latencies.quantile(m.strategy.HedgeQuantile)
}

// RetryBudgetLeft returns the number of retries that the budget still allows.
func (m *Module) RetryBudgetLeft() float64 {
	limit := m.settings.RetryBudgetFloor + m.settings.RetryBudgetRatio*float64(len(m.arrivals))
	return limit - float64(len(m.retries))
}

// updateRetryBudget removes arrivals and retries that have left the budget's window. The window is one tick
// shorter for arrivals and one tick longer for retries.
func (m *Module) updateRetryBudget() {
	window := m.settings.RetryBudgetWindow
	m.arrivals = stats.SortedFrom(m.arrivals, m.now-(window-m.tick()))
	m.retries = stats.SortedFrom(m.retries, m.now-(window+m.tick()))
}

// mayAttemptAgain reports whether the request may get a further attempt. It may not if the attempts so far
// may have had an effect that the request's class forbids to repeat.
func (m *Module) mayAttemptAgain(r *shardRequest) bool {
	if r.closed || len(r.attempts) >= m.settings.MaxAttempts {
		return false
	}
	class := m.class(r.query)
	return !slices.ContainsFunc(r.attempts, func(a attempt) bool {
		if a.neverExecuted {
			return false
		}
		expired := m.now > a.startedAt+class.IdempotencyWindow-m.tick()
		return class.Effect == gather.NonIdempotent || class.Effect == gather.IdempotencyKeyed && expired
	})
}

// send sends those requests that the query needs and that have not been sent, and retries and hedges others.
func (m *Module) send(q *query, hedgeAfter float64) {
	needed := m.class(q).CompleteShare - shareTolerance
	expected := 0.0
	for _, r := range q.requests {
		if r.succeeded || r.inFlight > 0 || r.wanted && len(r.attempts) == 0 {
			expected += r.Weight
		}
	}
	for _, r := range q.requests {
		if !r.wanted && expected < needed {
			r.wanted = true
			expected += r.Weight
		}
		if r.succeeded || !r.wanted || r.inFlight > 1 || r.inFlight == 1 && !m.isHedgeDue(r, hedgeAfter) {
			continue
		}
		if len(r.attempts) == 0 {
			m.dispatch(r, false)
		} else if m.mayAttemptAgain(r) && m.RetryBudgetLeft() >= 1 {
			m.dispatch(r, true)
		}
	}
}

// isHedgeDue reports whether a request's last attempt is old enough to be hedged.
func (m *Module) isHedgeDue(r *shardRequest, hedgeAfter float64) bool {
	return m.now-r.attempts[len(r.attempts)-1].startedAt > hedgeAfter
}

// dispatch sends an attempt if a replica is available for it.
func (m *Module) dispatch(r *shardRequest, retry bool) {
	replica, found := m.chooseReplica(r)
	if !found {
		return
	}
	r.attempts = append(r.attempts, attempt{server: replica, startedAt: m.now})
	r.inFlight++
	m.servers[replica].inFlight++
	if retry {
		m.retries = append(m.retries, m.now)
	}
	m.writer.Send(r.ID, replica, r.query.Deadline-m.now)
}

// chooseReplica chooses one of the replicas to which the request has not been sent. A replica that is warming
// up is chosen only if there is no other, and with a probability of one over the number of gatherers, so that
// on average one gatherer at a time chooses it.
func (m *Module) chooseReplica(r *shardRequest) (replica uint32, found bool) {
	if len(m.replicas) == 0 {
		return 0, false
	}
	set := r.Shard % len(m.turns)
	var warm, warming []uint32
	var inFlight []int
	for _, id := range m.replicas[set] {
		s := m.servers[id]
		switch {
		case slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == id }):
		case s.StartedAt == 0 || m.now-s.StartedAt >= m.settings.WarmupTime:
			warm = append(warm, id)
			inFlight = append(inFlight, s.inFlight)
		case s.inFlight == 0:
			warming = append(warming, id)
		}
	}
	if len(warm) > 0 {
		return warm[m.strategy.Choose(m.random, &m.turns[set], warm, inFlight)], true
	}
	if len(warming) == 0 || m.random.Float64() >= 1/float64(cmp.Or(m.settings.Gatherers, 1)) {
		return 0, false
	}
	return warming[int(m.random.Uint32()%uint32(len(warming)))], true
}

// recordResult records how an attempt ended.
func (m *Module) recordResult(result *gather.AttemptResult) {
	r := m.requests[result.Request]
	if r == nil || result.Attempt >= len(r.attempts) || r.attempts[result.Attempt].ended {
		return
	}
	a := &r.attempts[result.Attempt]
	a.ended = true
	a.neverExecuted = result.Outcome.NeverExecuted()
	r.inFlight--
	r.closed = r.closed || result.NoFurtherAttempts
	if s := m.servers[a.server]; s != nil {
		s.inFlight--
	}
	if result.Outcome == gather.Succeeded {
		r.succeeded = true
		m.latencies.add(m.now - a.startedAt)
	}
	m.forgetIfDone(r)
}
