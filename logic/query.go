package logic

import (
	"slices"

	"yokeroute/gather"
)

// shareTolerance is the tolerance for comparing a sum of weights with a share, since weights are rounded.
const shareTolerance = 5e-5

// cutShortTicks is the number of ticks by which the time left of a client's retry has to be below the longest
// first try for the retry to count as cut short by the deadline.
const cutShortTicks = 4

// query is an open query, or one step or pass of it.
type query struct {
	gather.Query
	class     *class
	arrivedAt float64
	requests  []*shardRequest

	modeChosen    bool
	loadDeadline  float64 // time until which it waits for load reports, 0 before it has requested any
	secondStep    bool    // it is in its second step, after the first was answered
	firstComplete bool    // the answer of its first step was complete
	finished      bool
}

// shardRequest is the part of a query that one shard answers.
type shardRequest struct {
	gather.ShardRequest
	query    *query
	attempts []*attempt

	// firstAttempt is the initial backing array of attempts. It saves an allocation: most requests have one
	// attempt.
	firstAttempt [1]*attempt
	inFlight     int  // number of attempts that have not ended
	replica      int  // replica that was next when the query's mode was chosen, below 0 if there was none
	wanted       bool // it is sent as soon as there is a replica for it
	extra        bool // it is not needed in normal mode
	succeeded    bool
	closed       bool // it takes no further attempts
}

// attempt is an attempt of a shard request at a server.
type attempt struct {
	request          *shardRequest
	server           int
	startedAt        float64 // time at which it was sent, less the time that a first pass saves
	totalStallAtSend float64 // value of latencyEstimator.totalStall when it was sent
	weight           float64 // weight of its record, less than 1 for a first pass
	ended            bool
	neverExecuted    bool // its outcome proves that the server did not execute it
	cancelled        bool // it was cancelled, and is retried when its end is reported
}

// mayHaveExecuted reports whether any attempt of the request may have had an effect.
func (r *shardRequest) mayHaveExecuted() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverExecuted })
}

// mayHaveExecuted reports whether any request of the query may have had an effect.
func (q *query) mayHaveExecuted() bool {
	return slices.ContainsFunc(q.requests, (*shardRequest).mayHaveExecuted)
}

// relativeCost returns the request's cost as a multiple of its class's mean, at least 1.
func (r *shardRequest) relativeCost() float64 { return r.query.class.relativeCost(r.Cost) }

// queryTable holds the open queries in the order of their arrival, and all requests that may still receive a
// result.
type queryTable struct {
	open     []*query
	byNumber map[uint64]*query
	requests map[uint64]*shardRequest
}

func newQueryTable() queryTable {
	return queryTable{byNumber: map[uint64]*query{}, requests: map[uint64]*shardRequest{}}
}

func (t *queryTable) add(q *query) {
	t.open = append(t.open, q)
	t.byNumber[q.Number] = q
}

func (t *queryTable) removeFinished() {
	t.open = slices.DeleteFunc(t.open, func(q *query) bool { return q.finished })
}

// removeRequest removes a request that was replaced by other requests of its query.
func (t *queryTable) removeRequest(id uint64) {
	r := t.requests[id]
	if r == nil {
		return
	}
	isRemoved := func(other *shardRequest) bool { return other == r }
	r.query.requests = slices.DeleteFunc(r.query.requests, isRemoved)
	delete(t.requests, id)
}

// removeIfDone removes a request if its query is finished and its last attempt has ended.
func (t *queryTable) removeIfDone(r *shardRequest) {
	if r.query.finished && r.inFlight == 0 {
		delete(t.requests, r.ID)
	}
}

// acceptQueries adds the queries that have arrived. Each counts for the retry budget, except a second pass,
// whose query was counted with the first pass.
func (g *Gatherer) acceptQueries(arrived []gather.Query) {
	for i := range arrived {
		q := &query{Query: arrived[i], class: g.classes.get(arrived[i].Class)}
		q.arrivedAt = g.arrivalTime(q)
		g.queries.add(q)
		if q.Pass != gather.SecondPass {
			g.retries.countArrival(g.now)
		}
	}
}

// arrivalTime returns the time at which a query counts as arrived. A client's retry whose time is cut short
// by the class's deadline has used up time in earlier tries, and counts as arrived with the first of them.
func (g *Gatherer) arrivalTime(q *query) float64 {
	timeLeft := q.Deadline - g.now
	switch {
	case q.ArrivedAt != 0:
		return q.ArrivedAt
	case !q.Retry:
		q.class.observeFirstTry(timeLeft)
	case timeLeft < q.class.maxFirstTryTime-cutShortTicks*g.tick():
		return min(q.Deadline-q.class.Deadline, g.now)
	}
	return g.now
}

// acceptRequests adds shard requests to their queries. Requests of a second pass do not count for the retry
// budget, since the first pass counted them. A second step needs all of its requests.
func (g *Gatherer) acceptRequests(arrived []gather.ShardRequest) {
	requests := make([]shardRequest, len(arrived)) // one allocation for all requests
	for i := range arrived {
		q := g.queries.byNumber[arrived[i].Number]
		if q == nil || q.Pass != gather.SecondPass && (!q.modeChosen || q.secondStep) {
			g.retries.countArrival(g.now)
		}
		if q == nil {
			continue
		}
		r := &requests[i]
		r.ShardRequest = arrived[i]
		r.query = q
		r.wanted = q.secondStep
		r.attempts = r.firstAttempt[:0]
		q.requests = append(q.requests, r)
		g.queries.requests[r.ID] = r
		q.class.observeCost(r.Cost)
	}
}
