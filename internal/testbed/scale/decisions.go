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

// DecisionTerms are one gatherer's decisions over a fleet of shard servers.
type DecisionTerms struct {
	Servers  int
	Replicas int // of each group of shards
	Parts    int // of a query
	Rate     float64
	Seconds  float64 // measured, behind as long a time to fill the records
	Seed     uint64
}

// DecisionCost is what the decisions cost.
type DecisionCost struct {
	Queries   int
	Sent      int           // part calls
	Processor time.Duration // a query
	Allocated float64       // times a query
	Longest   time.Duration // of all rounds
	Late      time.Duration // the 99th percentile of rounds that a query lands in
	Live      uint64        // heap bytes
}

// Latencies of the model's shard servers, in milliseconds, and the shares of slow servers and of lost calls.
const (
	leastLatency    = 6.0
	latencyRange    = 18.0
	slowServers     = 100 // one in so many answers
	slowness        = 3.0 // times slower
	lostCalls       = 500 // one in so many fails
	decisionTick    = 5.0
	softDeadline    = 58.0
	hardDeadline    = 1000.0
	recordsFillTime = 6.0 // seconds until the module's window of records is full
)

// decisionSettings are settings of a deployment of that shape, in the module's words.
func decisionSettings(t DecisionTerms) *gather.Settings {
	groups := max(t.Servers/t.Replicas, 1)
	return &gather.Settings{
		ReplicaSets: groups, ReplicaSetsPerShard: 1, Shards: groups, MaxAttempts: 3,
		CancelAllowed: true, HedgingAllowed: true, Tick: decisionTick, Gatherers: DesignGatherers,
		MaxRetryAfter: 1000.0, RetryBudgetWindow: 10_000.0, RetryBudgetFloor: 10.0,
		RetryBudgetRatio: 0.02,
		Classes: []gather.Class{
			{Name: "find", LatencyObjective: softDeadline, Deadline: hardDeadline, LateValue: 0.1, CompleteShare: 0.99, MinShare: 0.9, Effect: gather.Idempotent},
		},
	}
}

// ending is a part call's end to come.
type ending struct {
	at float64
	gather.AttemptResult
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push is the heap's.
func (e *endings) Push(one any) { *e = append(*e, one.(ending)) }

// Pop is the heap's.
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// queryLoad plays queries to a decision module in virtual time. It is the module's writer.
type queryLoad struct {
	terms   DecisionTerms
	module  gather.Module
	chance  *pcg.Source
	now     float64
	wake    float64
	due     float64 // when the next query lands
	next    uint64
	calls   map[uint64]int // of parts that are held
	ends    endings
	sent    int
	queries int
	longest time.Duration
	written hash.Hash64 // of all part calls that were decided on
	landing []float64   // seconds that rounds took in which a query landed
	round   gather.Round
}

func newQueryLoad(t DecisionTerms) *queryLoad {
	q := &queryLoad{terms: t, written: fnv.New64a(), chance: pcg.New(t.Seed + 1), now: 1e6, next: 1, calls: map[uint64]int{},
		module: logic.New(t.Seed, decisionSettings(t))}
	groups := max(t.Servers/t.Replicas, 1)
	list := gather.EndpointList{Full: true}
	for i := range t.Servers {
		list.Endpoints = append(list.Endpoints, gather.Endpoint{ID: uint32(i), ReplicaSet: i % groups})
	}
	q.round.EndpointLists = append(q.round.EndpointLists, list)
	q.play()
	return q
}

// Send is the module's writer's: the call's end is drawn.
func (q *queryLoad) Send(part uint64, server uint32, _ float64) {
	q.sent++
	q.written.Write(binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint64(nil, part), server))
	number := q.calls[part]
	q.calls[part]++
	latency := leastLatency + latencyRange*q.chance.Float64()*q.chance.Float64()
	if server%slowServers == 0 {
		latency *= slowness
	}
	outcome := gather.Succeeded
	if q.chance.Uint32()%lostCalls == 0 {
		outcome = gather.Failed
	}
	heap.Push(&q.ends, ending{q.now + latency, gather.AttemptResult{Request: part, Server: server, Attempt: number, Elapsed: latency,
		Outcome: outcome, Finished: outcome == gather.Succeeded}})
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
	for part := range uint64(q.terms.Parts) {
		delete(q.calls, lookup+1+part)
	}
}

// land brings a query into the next round; its shards are in a row from one drawn by chance.
func (q *queryLoad) land() {
	id, from := q.next, int(q.chance.Uint32()>>1)
	q.next += uint64(q.terms.Parts) + 1
	groups := max(q.terms.Servers/q.terms.Replicas, 1)
	q.round.Queries = append(q.round.Queries, gather.Query{ID: id, Number: id, Class: "find", Deadline: q.now + hardDeadline})
	for i := range q.terms.Parts {
		q.round.Requests = append(q.round.Requests, gather.ShardRequest{ID: id + 1 + uint64(i), Number: id, Shard: (from + i) % groups,
			Weight: 1 / float64(q.terms.Parts)})
	}
	q.queries++
}

// play runs one round on what has come in.
func (q *queryLoad) play() {
	for len(q.ends) > 0 && q.ends[0].at <= q.now {
		q.round.Results = append(q.round.Results, heap.Pop(&q.ends).(ending).AttemptResult)
	}
	q.round.Now = q.now
	began := time.Now()
	q.module.Round(&q.round, q)
	took := time.Since(began)
	q.longest = max(q.longest, took)
	if len(q.round.Queries) > 0 {
		q.landing = append(q.landing, took.Seconds())
	}
	q.round = gather.Round{Queries: q.round.Queries[:0], Requests: q.round.Requests[:0], Results: q.round.Results[:0]}
}

// run plays so many seconds; queries land evenly.
func (q *queryLoad) run(ctx context.Context, seconds float64) {
	until, gap := q.now+1000*seconds, 1000/q.terms.Rate
	if q.due == 0 {
		q.due = q.now
	}
	for ; q.now < until && ctx.Err() == nil; q.now += decisionTick {
		for ; q.due <= q.now; q.due += gap {
			q.land()
		}
		if len(q.round.Queries) > 0 || len(q.ends) > 0 && q.ends[0].at <= q.now || q.wake > 0 && q.wake <= q.now {
			q.wake = 0
			q.play()
		}
	}
}

// Decide measures the decisions of one gatherer.
func Decide(ctx context.Context, t DecisionTerms) (DecisionCost, error) {
	if t.Servers < 1 || t.Replicas < 1 || t.Parts < 1 || t.Rate <= 0 || t.Seconds <= 0 {
		return DecisionCost{}, fmt.Errorf("decisions: %d servers, %d replicas, %d parts, %g queries a second, %g s: all have to be above 0",
			t.Servers, t.Replicas, t.Parts, t.Rate, t.Seconds)
	}
	q := newQueryLoad(t)
	q.run(ctx, recordsFillTime)
	q.queries, q.sent, q.longest, q.landing = 0, 0, 0, nil
	used := spent(func() { q.run(ctx, t.Seconds) })
	if ctx.Err() != nil {
		return DecisionCost{}, ctx.Err()
	}
	if q.queries == 0 {
		return DecisionCost{}, fmt.Errorf("decisions: no query landed in %g s", t.Seconds)
	}
	n := float64(q.queries)
	return DecisionCost{Queries: q.queries, Sent: q.sent, Processor: used.Processor / time.Duration(q.queries),
		Allocated: float64(used.Allocations) / n, Longest: q.longest,
		Late: time.Duration(stats.Quantile(q.landing, 0.99) * 1e9), Live: used.Live}, nil
}
