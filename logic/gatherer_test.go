package logic

import (
	"testing"

	"yokeroute/gather"
)

// TestEmptyRoundsDoNotAllocatePerRecord guards against allocations in each round that grow with the number of
// records in the window, of which a busy gatherer has thousands.
func TestEmptyRoundsDoNotAllocatePerRecord(t *testing.T) {
	g := New(1, &gather.Settings{
		ReplicaSets: 1, ReplicaSetsPerShard: 1, MaxAttempts: 1, Tick: 5,
		Classes: []gather.Class{
			{Name: "c", LatencyObjective: 1000, CompleteShare: 1, MinShare: 1, Effect: gather.NonIdempotent},
		},
	})
	w := newRecorder(scenarioFormats)
	round := func(in gather.Round) {
		w.clear()
		g.Round(&in, w)
	}
	list := gather.EndpointList{Full: true, Endpoints: []gather.Endpoint{{ID: 1}, {ID: 2}}}
	round(gather.Round{Now: 1000, EndpointLists: []gather.EndpointList{list}})
	now := 1000.0
	for id := uint64(10); id < 4000; id += 2 {
		now++
		round(gather.Round{
			Now:      now,
			Queries:  []gather.Query{{ID: id, Number: id, Class: "c", Deadline: now + 900}},
			Requests: []gather.ShardRequest{{ID: id + 1, Number: id, Weight: 1}},
		})
		now++
		result := gather.AttemptResult{Request: id + 1, Outcome: gather.Succeeded, NoFurtherAttempts: true}
		round(gather.Round{Now: now, Results: []gather.AttemptResult{result}})
	}
	if n := g.latencies.records.Count(0) + g.latencies.records.Count(1); n < 1900 {
		t.Fatalf("%d records in the window, want at least 1900", n)
	}
	if n := testing.AllocsPerRun(20, func() { now++; round(gather.Round{Now: now}) }); n > 2 {
		t.Errorf("an empty round made %v allocations, want at most 2", n)
	}
}

// TestReplacedServersReleaseTableEntries guards against slices and maps that grow each time a server is
// replaced by one with a new ID.
func TestReplacedServersReleaseTableEntries(t *testing.T) {
	g := New(1, &gather.Settings{ReplicaSets: 1, ReplicaSetsPerShard: 1,
		Classes: []gather.Class{{Name: "c", LatencyObjective: 1000}}})
	for id := range uint32(1000) {
		change := gather.EndpointList{Endpoints: []gather.Endpoint{{ID: id, State: gather.Removed}, {ID: id + 1}}}
		in := gather.Round{Now: 1000 + float64(id), EndpointLists: []gather.EndpointList{change}}
		g.Round(&in, newRecorder(scenarioFormats))
	}
	if table := &g.servers; len(table.servers) > 3 || len(table.indexOf) > 3 || len(table.attemptCounts) > 3 {
		t.Errorf("after 1000 replacements: %d servers, %d indexes, %d attempt counts, want at most 3 of each",
			len(table.servers), len(table.indexOf), len(table.attemptCounts))
	}
}
