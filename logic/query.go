package logic

import (
	"slices"

	"yokeroute/gather"
)

// shareTolerance is by how much sums of weights may miss a share: weights come rounded.
const shareTolerance = 5e-5

// cutShortTicks is by how much a retry's time has to be below the longest first try to count as cut short
// by the deadline.
const cutShortTicks = 4

// query is an open query, or one step or pass of it.
type query struct {
	gather.Query
	class     *class
	arrivedAt float64
	requests  []*shardRequest

	modeChosen    bool
	loadDeadline  float64 // the end of its wait for load reports, 0 before it has requested any
	secondStep    bool    // its first step was answered
	firstComplete bool    // and that answer was complete
	finished      bool
}

// shardRequest is the part of a query that one shard answers.
type shardRequest struct {
	gather.ShardRequest
	query    *query
	attempts []*attempt

	// firstAttempt saves an allocation: most requests have one attempt.
	firstAttempt [1]*attempt
	inFlight     int  // attempts that have not ended
	replica      int  // the next replica when the query's mode was chosen, below 0 for none
	wanted       bool // it is sent as soon as a server may take it
	extra        bool // it is not needed in normal mode
	succeeded    bool
	closed       bool // it takes no further attempts
}

// attempt is one try of a shard request at a server.
type attempt struct {
	request          *shardRequest
	server           int
	startedAt        float64 // earlier than it was sent by what a first pass saves
	totalStallAtSend float64 // for how long rounds had been held up, in all, when it was sent
	weight           float64 // of its record: a first pass says less than a call in full
	ended            bool
	neverExecuted    bool // it is proved that the server did not execute it
	cancelled        bool // to be retried once its end is reported
}

// mayHaveExecuted reports whether any attempt of the request may have had an effect.
func (r *shardRequest) mayHaveExecuted() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverExecuted })
}

// mayHaveExecuted reports whether any request of the query may have had an effect.
func (q *query) mayHaveExecuted() bool {
	return slices.ContainsFunc(q.requests, (*shardRequest).mayHaveExecuted)
}

// relativeCost is the request's cost as a multiple of its class's mean, at least 1.
func (r *shardRequest) relativeCost() float64 { return r.query.class.relativeCost(r.Cost) }

// queryTable holds the open queries in the order of their arrival, and all requests that may still get a
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

// removeRequest removes a request whose keys other requests of its query have taken over.
func (t *queryTable) removeRequest(id uint64) {
	r := t.requests[id]
	if r == nil {
		return
	}
	isRemoved := func(other *shardRequest) bool { return other == r }
	r.query.requests = slices.DeleteFunc(r.query.requests, isRemoved)
	delete(t.requests, id)
}

// removeIfDone removes a request of a finished query, once its last attempt has ended.
func (t *queryTable) removeIfDone(r *shardRequest) {
	if r.query.finished && r.inFlight == 0 {
		delete(t.requests, r.ID)
	}
}

// acceptQueries opens queries. Each is counted for the retry budget, a second pass with its first.
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

// arrivalTime is when a query counts as arrived. A client's retry whose time is cut short by the class's
// deadline has lost the time of the earlier tries, and counts as arrived with the first of them.
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

// acceptRequests adds shard requests to their queries. Those of a second pass were counted for the retry
// budget with its first pass; a second step needs all of its requests.
func (g *Gatherer) acceptRequests(arrived []gather.ShardRequest) {
	requests := make([]shardRequest, len(arrived)) // in one allocation
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
