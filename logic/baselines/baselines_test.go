package baselines

import (
	"fmt"
	"hash"
	"hash/fnv"
	"runtime"
	"testing"

	"yokeroute/gather"
	"yokeroute/internal/pcg"
)

// fleet simulates servers that answer a module's attempts at random, and hashes all decisions of the module.
type fleet struct {
	random   *pcg.Source
	now      float64
	hash     hash.Hash64
	sends    int
	attempts map[uint64]int // number of attempts by request
	pending  []pendingResult
}

type pendingResult struct {
	dueAt  float64
	result gather.AttemptResult
}

func (f *fleet) write(values ...any) { fmt.Fprintln(f.hash, append([]any{f.now}, values...)...) }

func (f *fleet) Send(request uint64, server uint32, timeout float64) {
	f.write("send", request, server, timeout)
	f.sends++
	attempt := f.attempts[request]
	f.attempts[request]++
	outcome, after := gather.Succeeded, 10+50*f.random.Float64()*float64(1+server%3)
	switch f.random.Uint32() % 25 {
	case 0:
		outcome = gather.Outcome(f.random.Uint32() % 8)
	case 1:
		after *= 20
	}
	f.pending = append(f.pending, pendingResult{f.now + after, gather.AttemptResult{Request: request,
		Server: server, Attempt: attempt, Outcome: outcome, NoFurtherAttempts: outcome == gather.Succeeded}})
}

func (f *fleet) Cancel(request uint64, attempt int)      { f.write("cancel", request, attempt) }
func (f *fleet) Answer(query uint64, complete bool)      { f.write("answer", query, complete) }
func (f *fleet) Reject(query uint64, retryAfter float64) { f.write("reject", query, retryAfter) }
func (f *fleet) Fail(query uint64)                       { f.write("fail", query) }
func (f *fleet) Wake(after float64)                      { f.write("wake", after) }
func (f *fleet) Subscribe()                              { f.write("subscribe") }
func (f *fleet) CheckHealth(server uint32)               { f.write("check", server) }

// results removes and returns the results of attempts that have ended by now.
func (f *fleet) results() (due []gather.AttemptResult) {
	remaining := f.pending[:0]
	for _, p := range f.pending {
		if p.dueAt > f.now {
			remaining = append(remaining, p)
		} else {
			due = append(due, p.result)
		}
	}
	f.pending = remaining
	return due
}

var testClasses = []gather.Class{
	{Name: "any", LatencyObjective: 300, Deadline: 1000, CompleteShare: 0.7, MinShare: 0.5,
		Effect: gather.Idempotent},
	{Name: "all", LatencyObjective: 300, Deadline: 1000, CompleteShare: 1, MinShare: 1,
		Effect: gather.Idempotent},
	{Name: "once", LatencyObjective: 300, Deadline: 1000, CompleteShare: 1, MinShare: 1,
		Effect: gather.NonIdempotent},
	{Name: "keyed", LatencyObjective: 300, Deadline: 1000, CompleteShare: 1, MinShare: 1,
		Effect: gather.IdempotencyKeyed, IdempotencyWindow: 200},
}

const testReplicaSets = 4

// arrival adds a query with its requests to a round, and sometimes the disconnection of its client.
func (f *fleet) arrival(in *gather.Round, id uint64) (next uint64) {
	class := testClasses[f.random.Uint32()%4].Name
	in.Queries = append(in.Queries, gather.Query{ID: id, Number: id, Class: class,
		Deadline: f.now + 200 + 800*f.random.Float64()})
	requests := 1 + f.random.Uint32()%5
	for i := range requests {
		in.Requests = append(in.Requests, gather.ShardRequest{ID: id + 1 + uint64(i), Number: id,
			Shard: int(f.random.Uint32() % 9), Weight: 1 / float64(requests)})
	}
	if f.random.Uint32()%30 == 0 {
		in.Abandoned = append(in.Abandoned, id)
	}
	return id + 1 + uint64(requests)
}

// endpoints returns a full endpoint list at first, and later a delta that changes one server.
func (f *fleet) endpoints(first bool) gather.EndpointList {
	if !first {
		id := f.random.Uint32() % 12
		return gather.EndpointList{Endpoints: []gather.Endpoint{{ID: id, ReplicaSet: int(id % testReplicaSets),
			State: gather.State(f.random.Uint32() % 3), StartedAt: f.now}}}
	}
	list := gather.EndpointList{Full: true}
	for id := range uint32(12) {
		list.Endpoints = append(list.Endpoints, gather.Endpoint{ID: id, ReplicaSet: int(id % testReplicaSets)})
	}
	return list
}

// simulate runs 3000 rounds of a baseline against a fleet.
func simulate(seed uint64, strategy Strategy) *fleet {
	f := &fleet{random: pcg.New(seed + 77), hash: fnv.New64a(), attempts: map[uint64]int{}}
	module := New(seed, &gather.Settings{ReplicaSets: testReplicaSets, ReplicaSetsPerShard: 2, MaxAttempts: 3,
		CancelAllowed: true, HedgingAllowed: true, Tick: 5, Gatherers: 2, MaxRetryAfter: 1000, WarmupTime: 3000,
		RetryBudgetWindow: 2000, RetryBudgetFloor: 10, RetryBudgetRatio: 0.1, Classes: testClasses}, strategy)
	id := uint64(1)
	for round := range 3000 {
		f.now = 1e6 + float64(round)*7
		in := gather.Round{Now: f.now, Results: f.results()}
		if round%200 == 0 {
			in.EndpointLists = append(in.EndpointLists, f.endpoints(round == 0))
		}
		if f.random.Uint32()%2 == 0 {
			id = f.arrival(&in, id)
		}
		module.Round(&in, f)
		f.write(module.RetryBudgetLeft())
	}
	return f
}

// TestDecisionsMatchRecordedHashes checks that the decisions of each baseline are byte for byte those
// recorded, so that earlier comparisons with the baselines stay valid.
func TestDecisionsMatchRecordedHashes(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("the hashes were recorded on amd64; other architectures may fuse multiplications and additions")
	}
	recorded := map[string]uint64{
		"random":      0x5bc1cf12026ccb33,
		"turns":       0x4f2ec088e559a3d,
		"least-out":   0xfe13d76fef0015c3,
		"two-choices": 0x342c346fc0420285,
		"hedge-95":    0x6c274c343384bd28,
	}
	for _, strategy := range Strategies {
		t.Run(strategy.Name, func(t *testing.T) {
			f := simulate(5, strategy)
			if f.sends < 3000 {
				t.Errorf("%d attempts, want at least 3000 for a meaningful hash", f.sends)
			}
			if got, want := f.hash.Sum64(), recorded[strategy.Name]; got != want {
				t.Errorf("hash of the decisions is %#x, want the recorded %#x", got, want)
			}
		})
	}
}
