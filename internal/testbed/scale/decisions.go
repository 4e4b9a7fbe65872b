package scale

import (
	"container/heap"
	"context"
	"encoding/binary"
	"fmt"
	"hash"
	"hash/fnv"
	"time"

	"yokeroute/gather"
	"yokeroute/internal/pcg"
	"yokeroute/internal/stats"
	"yokeroute/logic"
)

// DecisionOptions are one gatherer's decisions over a fleet of shard servers.
type DecisionOptions struct {
	Servers       int
	Replicas      int // of each group of shards
	ShardRequests int // of a query
	Rate          float64
	Seconds       float64 // measured, behind as long a time to fill the records
	Seed          uint64
}

// DecisionCost is what the decisions cost.
type DecisionCost struct {
	Queries       int
	Attempts      int           // part calls
	Processor     time.Duration // a query
	Allocated     float64       // times a query
	LongestRound  time.Duration // of all rounds
	QueryRoundP99 time.Duration // the 99th percentile of rounds that a query lands in
	HeapBytes     uint64        // heap bytes
}

// Latencies of the model's shard servers, in milliseconds, and the shares of slow servers and of lost calls.
const (
	minLatency        = 6.0
	latencyRange      = 18.0
	slowServerDivisor = 100 // one in so many answers
	slowFactor        = 3.0 // times slower
	failureDivisor    = 500 // one in so many fails
	decisionTick      = 5.0
	latencyObjective  = 58.0
	queryDeadline     = 1000.0
	warmUpSeconds     = 6.0 // seconds until the module's window of records is full
)

// decisionSettings are settings of a deployment of that shape, in the module's words.
func decisionSettings(t DecisionOptions) *gather.Settings {
	groups := max(t.Servers/t.Replicas, 1)
	return &gather.Settings{
		ReplicaSets: groups, ReplicaSetsPerShard: 1, Shards: groups, MaxAttempts: 3,
		CancelAllowed: true, HedgingAllowed: true, Tick: decisionTick, Gatherers: DesignGatherers,
		MaxRetryAfter: 1000.0, RetryBudgetWindow: 10_000.0, RetryBudgetFloor: 10.0,
		RetryBudgetRatio: 0.02,
		Classes: []gather.Class{
			{Name: "find", LatencyObjective: latencyObjective, Deadline: queryDeadline, LateValue: 0.1, CompleteShare: 0.99, MinShare: 0.9, Effect: gather.Idempotent},
		},
	}
}

// scheduledResult is a part call's end to come.
type scheduledResult struct {
	at float64
	gather.AttemptResult
}

type resultQueue []scheduledResult

func (e resultQueue) Len() int           { return len(e) }
func (e resultQueue) Less(i, j int) bool { return e[i].at < e[j].at }
func (e resultQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push is the heap's.
func (e *resultQueue) Push(one any) { *e = append(*e, one.(scheduledResult)) }

// Pop is the heap's.
func (e *resultQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// queryLoad plays queries to a decision module in virtual time. It is the module's writer.
type queryLoad struct {
	options      DecisionOptions
	module       gather.Module
	random       *pcg.Source
	now          float64
	wake         float64
	nextArrival  float64 // when the next query lands
	nextID       uint64
	attempts     map[uint64]int // of parts that are held
	results      resultQueue
	attemptsSent int
	queries      int
	longestRound time.Duration
	decisions    hash.Hash64 // of all part calls that were decided on
	queryRounds  []float64   // seconds that rounds took in which a query landed
	round        gather.Round
}

func newQueryLoad(t DecisionOptions) *queryLoad {
	q := &queryLoad{options: t, decisions: fnv.New64a(), random: pcg.New(t.Seed + 1), now: 1e6, nextID: 1, attempts: map[uint64]int{},
		module: logic.New(t.Seed, decisionSettings(t))}
	groups := max(t.Servers/t.Replicas, 1)
	list := gather.EndpointList{Full: true}
	for i := range t.Servers {
		list.Endpoints = append(list.Endpoints, gather.Endpoint{ID: uint32(i), ReplicaSet: i % groups})
	}
	q.round.EndpointLists = append(q.round.EndpointLists, list)
	q.runRound()
	return q
}

// Send is the module's writer's: the call's end is drawn.
func (q *queryLoad) Send(part uint64, server uint32, _ float64) {
	q.attemptsSent++
	q.decisions.Write(binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint64(nil, part), server))
	number := q.attempts[part]
	q.attempts[part]++
	latency := minLatency + latencyRange*q.random.Float64()*q.random.Float64()
	if server%slowServerDivisor == 0 {
		latency *= slowFactor
	}
	outcome := gather.Succeeded
	if q.random.Uint32()%failureDivisor == 0 {
		outcome = gather.Failed
	}
	heap.Push(&q.results, scheduledResult{q.now + latency, gather.AttemptResult{Request: part, Server: server, Attempt: number, Elapsed: latency,
		Outcome: outcome, NoFurtherAttempts: outcome == gather.Succeeded}})
}

// Cancel is the module's writer's: a call that is given up may be answered all the same.
func (q *queryLoad) Cancel(uint64, int) {}

// Answer is the module's writer's.
func (q *queryLoad) Answer(lookup uint64, _ bool) { q.forget(lookup) }

// Reject is the module's writer's.
func (q *queryLoad) Reject(lookup uint64, _ float64) { q.forget(lookup) }

// Fail is the module's writer's.
func (q *queryLoad) Fail(lookup uint64) { q.forget(lookup) }

// Wake is the module's writer's.
func (q *queryLoad) Wake(after float64) { q.wake = q.now + after }

// Subscribe is the module's writer's.
func (q *queryLoad) Subscribe() {}

// CheckHealth is the module's writer's.
func (q *queryLoad) CheckHealth(uint32) {}

func (q *queryLoad) forget(lookup uint64) {
	for part := range uint64(q.options.ShardRequests) {
		delete(q.attempts, lookup+1+part)
	}
}

// addQuery brings a query into the next round; its shards are in a row from one drawn by chance.
func (q *queryLoad) addQuery() {
	id, from := q.nextID, int(q.random.Uint32()>>1)
	q.nextID += uint64(q.options.ShardRequests) + 1
	groups := max(q.options.Servers/q.options.Replicas, 1)
	q.round.Queries = append(q.round.Queries, gather.Query{ID: id, Number: id, Class: "find", Deadline: q.now + queryDeadline})
	for i := range q.options.ShardRequests {
		q.round.Requests = append(q.round.Requests, gather.ShardRequest{ID: id + 1 + uint64(i), Number: id, Shard: (from + i) % groups,
			Weight: 1 / float64(q.options.ShardRequests)})
	}
	q.queries++
}

// runRound runs one round on what has come in.
func (q *queryLoad) runRound() {
	for len(q.results) > 0 && q.results[0].at <= q.now {
		q.round.Results = append(q.round.Results, heap.Pop(&q.results).(scheduledResult).AttemptResult)
	}
	q.round.Now = q.now
	began := time.Now()
	q.module.Round(&q.round, q)
	took := time.Since(began)
	q.longestRound = max(q.longestRound, took)
	if len(q.round.Queries) > 0 {
		q.queryRounds = append(q.queryRounds, took.Seconds())
	}
	q.round = gather.Round{Queries: q.round.Queries[:0], Requests: q.round.Requests[:0], Results: q.round.Results[:0]}
}

// run plays so many seconds; queries land evenly.
func (q *queryLoad) run(ctx context.Context, seconds float64) {
	until, gap := q.now+1000*seconds, 1000/q.options.Rate
	if q.nextArrival == 0 {
		q.nextArrival = q.now
	}
	for ; q.now < until && ctx.Err() == nil; q.now += decisionTick {
		for ; q.nextArrival <= q.now; q.nextArrival += gap {
			q.addQuery()
		}
		if len(q.round.Queries) > 0 || len(q.results) > 0 && q.results[0].at <= q.now || q.wake > 0 && q.wake <= q.now {
			q.wake = 0
			q.runRound()
		}
	}
}

// MeasureDecisions measures the decisions of one gatherer.
func MeasureDecisions(ctx context.Context, t DecisionOptions) (DecisionCost, error) {
	if t.Servers < 1 || t.Replicas < 1 || t.ShardRequests < 1 || t.Rate <= 0 || t.Seconds <= 0 {
		return DecisionCost{}, fmt.Errorf("decisions: %d servers, %d replicas, %d parts, %g queries a second, %g s: all have to be above 0",
			t.Servers, t.Replicas, t.ShardRequests, t.Rate, t.Seconds)
	}
	q := newQueryLoad(t)
	q.run(ctx, warmUpSeconds)
	q.queries, q.attemptsSent, q.longestRound, q.queryRounds = 0, 0, 0, nil
	used := measureCost(func() { q.run(ctx, t.Seconds) })
	if ctx.Err() != nil {
		return DecisionCost{}, ctx.Err()
	}
	if q.queries == 0 {
		return DecisionCost{}, fmt.Errorf("decisions: no query landed in %g s", t.Seconds)
	}
	n := float64(q.queries)
	return DecisionCost{Queries: q.queries, Attempts: q.attemptsSent, Processor: used.Processor / time.Duration(q.queries),
		Allocated: float64(used.Allocations) / n, LongestRound: q.longestRound,
		QueryRoundP99: time.Duration(stats.Quantile(q.queryRounds, 0.99) * 1e9), HeapBytes: used.HeapBytes}, nil
}
