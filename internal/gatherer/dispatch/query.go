package dispatch

import (
	"sync"
	"sync/atomic"

	"yokeroute/gather"
	"yokeroute/logic/ownership"
)

// Query is a query as its client sent it.
type Query struct {
	ID            string // client's ID, from which the wire IDs of the shard requests are derived
	Class         string
	Tenant        string
	RouteKey      string
	Cost          float64 // expected work of all shard requests, 0 if unknown
	Deadline      float64 // time on the picker's clock
	Retried       bool    // true if the client marked the query as a retry
	ShardRequests []ShardRequest
	Payload       []byte // sent with each shard request
	Tag           any    // for use by the caller
	// ClientLeft reports whether the client has closed its connection; nil if that is not known. No attempt begins after
	// that, although the end of Pick's context may be noticed later.
	ClientLeft func() bool

	id         uint64        // module ID; the IDs of the shard requests follow it
	values     [][]byte      // indexed by shard request, or by piece if pieces is set
	attempts   [][]*Attempt  // indexed like values
	pieces     []piece       // nil unless the query is routed by a segment map
	pass       pass          // set if the query is a pass of another query
	twoPass    *passProgress // nil unless the query runs in two passes
	result     chan Result
	admittedAt float64
	generation uint64      // policy generation that the query is decided by
	recorded   bool        // true once its ID is in the store of non-idempotent queries
	rejected   atomic.Bool // true if the result is Rejected: no attempt has run
	mayHaveRun atomic.Bool // true once a byte of an attempt may have been written

	// conflictingAttempts counts the written attempts that forbid another query with the same ID.
	conflictingAttempts atomic.Int64

	// writeGate is read-locked while an attempt is written, so that no byte of an attempt is written after the result.
	writeGate sync.RWMutex
	sealed    bool
}

// ShardRequest is the part of a query that one shard answers.
type ShardRequest struct {
	Shard  int
	Weight float64 // share of the complete answer
	Cost   float64 // expected work, 0 if unknown
	Key    string
}

// ResultKind says how a query ended.
type ResultKind int

// The kinds of results.
const (
	Served        ResultKind = iota
	Rejected                 // the query had no effect
	Failed                   // the query may have had an effect
	InternalError            // the module panicked while the query was open
	Abandoned                // the client disconnected
)

// Result is a query's final result.
type Result struct {
	Kind        ResultKind
	Complete    bool
	Hits        []Hit   // values received before the result was decided
	EmptyShards []int   // shards that a first pass proved to hold no match; they count as received
	RetryAfter  float64 // advice for a rejected query in milliseconds, 0 for none
}

// ValueBytes returns the size of all values.
func (r *Result) ValueBytes() (size int) {
	for i := range r.Hits {
		size += len(r.Hits[i].Value)
	}
	return size
}

// Hit is a value received from a shard server.
type Hit struct {
	Shard int
	Value []byte
	Keys  *ownership.Range // keys of the shard that the value covers, nil for all
}

// AdmittedAt returns the time of the round that admitted the query, on the picker's clock, or 0 before that round.
func (q *Query) AdmittedAt() float64 { return q.admittedAt }

func (q *Query) clientLeft() bool { return q.ClientLeft != nil && q.ClientLeft() }

// IDReusable reports whether another query may have the same ID without harm: no attempt of this one can still be
// answered and, if the query is non-idempotent, none can have run. Once Pick has returned it does not become false again.
func (q *Query) IDReusable() bool { return q.conflictingAttempts.Load() == 0 }

// Result returns the final result if it is decided. It is for callers that step the picker; others block in Pick.
func (q *Query) Result() (Result, bool) {
	select {
	case result := <-q.result:
		q.seal()
		return result, true
	default:
		return Result{}, false
	}
}

// size returns how many open requests a query counts as: itself and its shard requests.
func (q *Query) size() int { return 1 + len(q.ShardRequests) }

// assignID sets a query's module ID; the IDs of its shard requests follow it.
func (q *Query) assignID(id uint64) {
	q.id = id
	q.values = make([][]byte, len(q.ShardRequests))
	q.attempts = make([][]*Attempt, len(q.ShardRequests))
}

// moduleID returns the module ID of the shard request, or piece, at index i.
func (q *Query) moduleID(i int) uint64 {
	if q.pieces != nil {
		return q.pieces[i].ID
	}
	return q.id + 1 + uint64(i)
}

// shardRequestOf returns the index of the shard request that piece i belongs to, or i itself if the query is not split
// into pieces.
func (q *Query) shardRequestOf(i int) int {
	if q.pieces != nil {
		return q.pieces[i].Request
	}
	return i
}

// hits returns the values received.
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

// seal waits until no attempt of the query is being written and prevents any further write.
func (q *Query) seal() {
	q.writeGate.Lock()
	q.sealed = true
	q.writeGate.Unlock()
}

// queryTable holds the queries that the module decides on.
type queryTable struct {
	byID     map[uint64]*Query // has the current pass in place of a two-pass query
	requests map[uint64]requestRef
	// finished lists the queries that ended in the current round. Their shard requests stay in the table until the end
	// of the round, so that the module can still cancel attempts by ID.
	finished []*Query
}

// requestRef refers to a shard request, or a piece of one, by its query and index.
type requestRef struct {
	query *Query
	index int
}

func newQueryTable() queryTable {
	return queryTable{byID: map[uint64]*Query{}, requests: map[uint64]requestRef{}}
}

// releaseFinished removes the finished queries from the table and returns how many open requests they counted as.
func (t *queryTable) releaseFinished() (size int) {
	for _, query := range t.finished {
		for i := range query.attempts {
			delete(t.requests, query.moduleID(i))
		}
		if query.pass.parent == nil { // passes are counted with their parent
			size += query.size()
		}
	}
	clear(t.finished)
	t.finished = t.finished[:0]
	return size
}

// addToRound passes a query, or a pass of one, to the module.
func (p *Picker) addToRound(in *gather.Round, query *Query) {
	p.queries.byID[query.id] = query
	in.Queries = append(in.Queries, gather.Query{
		ID:               query.id,
		Number:           query.id,
		Class:            query.Class,
		Tenant:           query.Tenant,
		Cost:             query.Cost,
		Key:              query.RouteKey,
		Deadline:         query.Deadline,
		Retry:            query.Retried,
		Pass:             query.pass.kind,
		ArrivedAt:        query.pass.parentAdmittedAt,
		ReceivedWeight:   query.pass.receivedWeight,
		FullRequestExtra: query.pass.fullCallExtra,
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

// deliver sends a query's result to the goroutine that waits for it.
func (p *Picker) deliver(query *Query, result Result) {
	query.rejected.Store(result.Kind == Rejected)
	p.observeDecided(query, result)
	query.result <- result
}

func (p *Picker) observeDecided(query *Query, result Result) {
	for _, o := range p.observers.decisions {
		o.QueryDecided(query, result, p.schedule.lastRoundAt)
	}
}
