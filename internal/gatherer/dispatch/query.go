package dispatch

import (
	"sync"
	"sync/atomic"

	"yokeroute/gather"
	"yokeroute/logic/ownership"
)

// Query is a query as its client sent it.
type Query struct {
	ID            string // the client's; the shard requests' wire IDs derive from it
	Class         string
	Tenant        string
	RouteKey      string
	Cost          float64 // expected work of all shard requests, 0 where it is unknown
	Deadline      float64 // on the picker's clock
	Retried       bool    // the client marked it as a repeat
	ShardRequests []ShardRequest
	Payload       []byte // sent with each shard request
	Tag           any    // the caller's own

	id         uint64       // at the module; its shard requests' IDs follow it
	values     [][]byte     // by shard request, or by piece where there are pieces
	attempts   [][]*Attempt // likewise
	pieces     []piece      // nil where no map says who owns which keys
	pass       pass         // of a query that is one pass of another
	twoPass    *passProgress
	result     chan Result
	admittedAt float64
	generation uint64      // of the policy that it is decided by
	recorded   bool        // in the store of non-idempotent queries
	rejected   atomic.Bool // by the module: nothing of it has run
	mayHaveRun atomic.Bool // a byte of one of its attempts may have been written

	// writeGate is held for reading while an attempt is written, so that no byte of one follows the result.
	writeGate sync.RWMutex
	sealed    bool
}

// ShardRequest is the part of a query that one shard answers.
type ShardRequest struct {
	Shard  int
	Weight float64 // share of the complete answer
	Cost   float64 // expected work, 0 where it is unknown
	Key    string
}

// ResultKind is how a query ended.
type ResultKind int

// The kinds of results.
const (
	Served        ResultKind = iota
	Rejected                 // without any effect
	Failed                   // it may have had an effect
	InternalError            // the module panicked while it held the query
	Abandoned                // the client has gone
)

// Result is a query's final result.
type Result struct {
	Kind        ResultKind
	Complete    bool
	Hits        []Hit   // received by the time of the decision
	EmptyShards []int   // proved to hold nothing by a first pass; they count as received
	RetryAfter  float64 // milliseconds, of a rejected query; 0 is no advice
}

// Hit is a shard server's value for a shard request.
type Hit struct {
	Shard int
	Value []byte
	Keys  *ownership.Range // the shard's keys that it stands for, nil for all of them
}

// AdmittedAt is the time of the round that admitted the query, on the picker's clock; 0 before that.
func (q *Query) AdmittedAt() float64 { return q.admittedAt }

// Result is the final result, if it is decided. It is for those who step the picker; others wait in Pick.
func (q *Query) Result() (Result, bool) {
	select {
	case result := <-q.result:
		q.seal()
		return result, true
	default:
		return Result{}, false
	}
}

// size is what a query counts for among the open requests.
func (q *Query) size() int { return 1 + len(q.ShardRequests) }

// assignID gives a query its ID at the module, and its shard requests those behind it.
func (q *Query) assignID(id uint64) {
	q.id = id
	q.values = make([][]byte, len(q.ShardRequests))
	q.attempts = make([][]*Attempt, len(q.ShardRequests))
}

// moduleID is the module's ID of a shard request, or of a piece.
func (q *Query) moduleID(i int) uint64 {
	if q.pieces != nil {
		return q.pieces[i].ID
	}
	return q.id + 1 + uint64(i)
}

// shardRequestOf is the index of the shard request that a piece belongs to; without pieces it is i itself.
func (q *Query) shardRequestOf(i int) int {
	if q.pieces != nil {
		return q.pieces[i].Request
	}
	return i
}

// hits are the values received.
func (q *Query) hits() []Hit {
	var hits []Hit
	for i, value := range q.values {
		if value == nil {
			continue
		}
		hit := Hit{Shard: q.ShardRequests[q.shardRequestOf(i)].Shard, Value: value}
		if q.pieces != nil && !q.coversShardRequest(i) {
			keys := q.pieces[i].Range
			hit.Keys = &keys
		}
		hits = append(hits, hit)
	}
	return hits
}

// seal waits for attempts that are being written and lets none begin afterwards.
func (q *Query) seal() {
	q.writeGate.Lock()
	q.sealed = true
	q.writeGate.Unlock()
}

// queryTable holds the queries that the module decides on.
type queryTable struct {
	byID     map[uint64]*Query // passes in place of two-pass queries
	requests map[uint64]requestRef
	finished []*Query // in this round: until its end their attempts can be cancelled by ID
}

// requestRef is a shard request, or a piece of one, by its query.
type requestRef struct {
	query *Query
	index int
}

func newQueryTable() queryTable {
	return queryTable{byID: map[uint64]*Query{}, requests: map[uint64]requestRef{}}
}

// releaseFinished forgets the finished queries and returns what they counted for among the open requests.
func (t *queryTable) releaseFinished() (size int) {
	for _, query := range t.finished {
		for i := range query.attempts {
			delete(t.requests, query.moduleID(i))
		}
		if query.pass.parent == nil { // a pass counts as its parent
			size += query.size()
		}
	}
	clear(t.finished)
	t.finished = t.finished[:0]
	return size
}

// addToRound hands a query, or a pass of one, to the module.
func (p *Picker) addToRound(in *gather.Round, query *Query) {
	p.queries.byID[query.id] = query
	in.Queries = append(in.Queries, gather.Query{
		ID:             query.id,
		Number:         query.id,
		Class:          query.Class,
		Tenant:         query.Tenant,
		Cost:           query.Cost,
		Key:            query.RouteKey,
		Deadline:       query.Deadline,
		Retry:          query.Retried,
		Pass:           query.pass.kind,
		ArrivedAt:      query.pass.parentAdmittedAt,
		ReceivedWeight: query.pass.receivedWeight,
		FullCallExtra:  query.pass.fullCallExtra,
	})
	if p.ownership != nil {
		p.splitByOwner(in, query)
		return
	}
	for i, r := range query.ShardRequests {
		id := query.moduleID(i)
		p.queries.requests[id] = requestRef{query, i}
		request := gather.ShardRequest{
			ID:     id,
			Number: query.id,
			Shard:  r.Shard,
			Weight: r.Weight,
			Cost:   r.Cost,
			Key:    r.Key,
		}
		if query.pass.requests != nil {
			request.Retry = query.pass.requests[i].Retry
			request.OrderPenalty = query.pass.requests[i].OrderPenalty
		}
		in.Requests = append(in.Requests, request)
	}
}

// finish ends a query, or a pass of one, unless it has ended already.
func (p *Picker) finish(query *Query, result Result) {
	if query == nil || p.queries.byID[query.id] == nil {
		return
	}
	delete(p.queries.byID, query.id)
	p.queries.finished = append(p.queries.finished, query)
	for _, attempts := range query.attempts {
		for _, a := range attempts {
			if !a.ended.Load() {
				p.actions.StopWriting = append(p.actions.StopWriting, a)
			}
		}
	}
	if query.pass.parent != nil {
		p.finishPass(query, result)
		return
	}
	p.deliver(query, result)
}

// deliver hands a query's result to its client.
func (p *Picker) deliver(query *Query, result Result) {
	query.rejected.Store(result.Kind == Rejected)
	p.observeDecided(query, result)
	query.result <- result
}

func (p *Picker) observeDecided(query *Query, result Result) {
	for _, o := range p.observers.decisions {
		o.QueryDecided(query, result, p.schedule.lastAt)
	}
}
