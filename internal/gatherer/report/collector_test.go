package report

import (
	"testing"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
)

// fixedConnections is a ConnectionCounter with constant counts.
type fixedConnections struct{}

func (fixedConnections) Connections() (open int, opened int64) { return 3, 7 }

func testSettings() *gather.Settings {
	return &gather.Settings{
		ReplicaSets: 1, Tick: 1, Zone: "a",
		Classes: []gather.Class{
			{Name: "any", LatencyObjective: 100, LateValue: 0.1, CompleteShare: 0.75, PartialValue: 0.5},
			{Name: "once", LatencyObjective: 100, CompleteShare: 1},
		},
	}
}

func newTestCollector(now *float64) *Collector {
	return NewCollector("g", testSettings(), func() float64 { return *now }, fixedConnections{})
}

// halfWeightRequests contains two shard requests of equal weight.
var halfWeightRequests = []dispatch.ShardRequest{{Shard: 0, Weight: 0.5}, {Shard: 1, Weight: 0.5}}

func query(class string) *dispatch.Query {
	return &dispatch.Query{Class: class, ShardRequests: halfWeightRequests}
}

// TestCollectorCountsEachResult tests that each kind of result increments its own count and earns the right value.
func TestCollectorCountsEachResult(t *testing.T) {
	now := 1000.0
	c := newTestCollector(&now)
	c.QueryDecided(query("any"), dispatch.Result{Kind: dispatch.Served, Complete: true}, 50)
	c.QueryDecided(query("any"), dispatch.Result{Kind: dispatch.Served, Complete: true}, 150) // beyond the objective
	c.QueryDecided(query("any"), dispatch.Result{Kind: dispatch.Served, Hits: []dispatch.Hit{{Shard: 1}}}, 50)
	for _, kind := range []dispatch.ResultKind{
		dispatch.Rejected, dispatch.Failed, dispatch.InternalError, dispatch.Abandoned,
	} {
		c.QueryDecided(query("once"), dispatch.Result{Kind: kind}, 10)
	}
	c.QueryDecided(query("none such"), dispatch.Result{}, 10)
	d := c.SinceCheckpoint("", true)
	stats := d.Classes["any"]
	if stats.Queries != 3 || stats.Served != 2 || stats.ServedPartly != 1 || stats.WithinObjective != 2 ||
		stats.Latency.TotalCount() != 3 || stats.ShardRequests != 6 {
		t.Errorf("class any: %+v", stats)
	}
	if want := 1 + 0.1 + 0.5*0.5/0.75; stats.EarnedValue < want-1e-9 || stats.EarnedValue > want+1e-9 {
		t.Errorf("earned value %g, want %g", stats.EarnedValue, want)
	}
	once := d.Classes["once"]
	if once.Queries != 4 || once.Rejected != 1 || once.Failed != 1 || once.InternalErrors != 1 ||
		once.ClientDisconnected != 1 || once.EarnedValue != 0 {
		t.Errorf("class once: %+v", once)
	}
}

// TestReportSinceACheckpointHasLaterCountsOnly tests that a report since a checkpoint contains only later counts, and
// that a report since a dropped checkpoint contains all counts and an empty SinceCheckpoint.
func TestReportSinceACheckpointHasLaterCountsOnly(t *testing.T) {
	now := 1000.0
	c := newTestCollector(&now)
	for range 3 {
		c.QueryDecided(query("any"), dispatch.Result{Kind: dispatch.Served, Complete: true}, 50)
	}
	first := c.SinceCheckpoint("", true)
	for range 4 {
		c.QueryDecided(query("once"), dispatch.Result{Kind: dispatch.Rejected}, 10)
	}
	now = 3000
	next := c.SinceCheckpoint(first.Checkpoint, true)
	if o := next.Classes["once"]; o.Queries != 4 || o.Rejected != 4 {
		t.Errorf("since a checkpoint: class once: %+v", o)
	}
	if s := next.Classes["any"]; s.Queries != 0 || s.Latency.TotalCount() != 0 {
		t.Errorf("since a checkpoint: class any: %+v", s)
	}
	if next.SinceCheckpoint != first.Checkpoint || next.Interval != 2000 || next.ConnectionsOpened != 0 {
		t.Errorf("since a checkpoint: %+v", next)
	}
	for range maxCheckpoints {
		c.SinceCheckpoint("", true)
	}
	dropped := c.SinceCheckpoint(first.Checkpoint, true)
	if dropped.SinceCheckpoint != "" || dropped.Classes["any"].Queries != 3 || dropped.Interval != 2000 {
		t.Errorf("since a dropped checkpoint: %+v", dropped)
	}
}

// BenchmarkQueryDecided measures counting one query.
func BenchmarkQueryDecided(b *testing.B) {
	now := 0.0
	c := newTestCollector(&now)
	served := query("any")
	b.ReportAllocs()
	for b.Loop() {
		c.QueryDecided(served, dispatch.Result{Kind: dispatch.Served, Complete: true}, 50)
	}
}

// BenchmarkSinceCheckpoint measures counting one query and building a report since a checkpoint.
func BenchmarkSinceCheckpoint(b *testing.B) {
	now := 0.0
	c := newTestCollector(&now)
	served := query("any")
	checkpoint := ""
	b.ReportAllocs()
	for b.Loop() {
		c.QueryDecided(served, dispatch.Result{Kind: dispatch.Served, Complete: true}, 50)
		now += 1000
		checkpoint = c.SinceCheckpoint(checkpoint, true).Checkpoint
	}
}
