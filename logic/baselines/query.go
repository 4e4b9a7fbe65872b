package baselines

import (
	"slices"

	"yokeroute/gather"
)

const (
	retryAfterMS   = 400.0 // Retry-After, in milliseconds, of a rejected query
	shareTolerance = 5e-5  // allowed error in comparisons of a sum of weights to a share; weights are rounded
	deadlineTicks  = 3     // number of ticks before its deadline at which a query is ended
)

type query struct {
	gather.Query
	requests       []*shardRequest
	requestsChosen bool // the wanted field of the requests is set
	finished       bool
}

type shardRequest struct {
	gather.ShardRequest
	query     *query
	attempts  []attempt
	inFlight  int
	wanted    bool // the query needs the response for a complete answer
	succeeded bool
	closed    bool // no further attempts are allowed
}

type attempt struct {
	server        uint32
	startedAt     float64
	ended         bool
	neverExecuted bool
}

// class returns the settings of a query's class.
func (m *Module) class(q *query) gather.Class { return m.settings.Class(q.Class) }

// accept adds new queries, and new requests to their queries. Both count as arrivals for the retry budget.
func (m *Module) accept(in *gather.Round) {
	for i := range in.Queries {
		q := &query{Query: in.Queries[i]}
		m.open = append(m.open, q)
		m.byNumber[q.Number] = q
		m.arrivals = append(m.arrivals, m.now)
	}
	for i := range in.Requests {
		m.arrivals = append(m.arrivals, m.now)
		q := m.byNumber[in.Requests[i].Number]
		if q == nil {
			continue
		}
		r := &shardRequest{ShardRequest: in.Requests[i], query: q}
		q.requests = append(q.requests, r)
		m.requests[r.ID] = r
	}
}

// chooseRequests marks randomly chosen requests as wanted, as many as a complete answer needs.
func (m *Module) chooseRequests(q *query) {
	q.requestsChosen = true
	order := slices.Clone(q.requests)
	for i := len(order) - 1; i > 0; i-- {
		j := int(m.random.Uint32() % uint32(i+1))
		order[i], order[j] = order[j], order[i]
	}
	weight := 0.0
	for _, r := range order {
		r.wanted = weight < m.class(q).CompleteShare-shareTolerance
		weight += r.Weight
	}
}

// advance ends the query if it can be answered or has to be given up, and sends requests for it otherwise.
func (m *Module) advance(q *query) {
	if !q.requestsChosen {
		m.chooseRequests(q)
	}
	class := m.class(q)
	hedgeAfter := m.hedgeAfter()
	received, possible := m.weights(q)
	complete := received >= class.CompleteShare-shareTolerance
	timeUp := q.Deadline-m.now <= deadlineTicks*m.tick()
	nothingMore := timeUp ||
		possible < class.CompleteShare-shareTolerance && received >= possible-shareTolerance
	switch {
	case complete, received > 0 && received >= class.MinShare-shareTolerance && nothingMore:
		m.writer.Answer(q.ID, complete)
		m.finish(q)
	case timeUp, possible < class.MinShare-shareTolerance:
		m.rejectOrFail(q)
	default:
		m.send(q, hedgeAfter)
	}
}

// weights returns the weight of the responses received, and the largest weight that may still be reached.
func (m *Module) weights(q *query) (received, possible float64) {
	for _, r := range q.requests {
		if r.succeeded {
			received += r.Weight
		}
		if r.succeeded || r.inFlight > 0 || m.mayAttemptAgain(r) {
			possible += r.Weight
		}
	}
	return received, possible
}

// rejectOrFail ends a query without an answer. The query is rejected if it is idempotent or had no effect,
// and fails otherwise.
func (m *Module) rejectOrFail(q *query) {
	if m.class(q).Effect == gather.Idempotent || q.neverExecuted() {
		m.writer.Reject(q.ID, min(retryAfterMS, m.settings.MaxRetryAfter))
	} else {
		m.writer.Fail(q.ID)
	}
	m.finish(q)
}

func (q *query) neverExecuted() bool {
	for _, r := range q.requests {
		if slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.neverExecuted }) {
			return false
		}
	}
	return true
}

// finish ends the query and cancels its attempts in flight.
func (m *Module) finish(q *query) {
	q.finished = true
	delete(m.byNumber, q.Number)
	for _, r := range q.requests {
		for number, a := range r.attempts {
			if !a.ended && m.settings.CancelAllowed {
				m.writer.Cancel(r.ID, number)
			}
		}
		m.forgetIfDone(r)
	}
}

func (m *Module) finishAbandoned(queries []uint64) {
	for _, q := range m.open {
		if slices.Contains(queries, q.ID) {
			m.finish(q)
		}
	}
}

func (m *Module) removeFinished() {
	m.open = slices.DeleteFunc(m.open, func(q *query) bool { return q.finished })
}

func (m *Module) forgetIfDone(r *shardRequest) {
	if r.query.finished && r.inFlight == 0 {
		delete(m.requests, r.ID)
	}
}
