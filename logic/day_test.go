package logic

import (
	"fmt"
	"hash"
	"hash/fnv"

	"yokeroute/gather"
	"yokeroute/internal/pcg"
)

// simulation runs a gatherer against seeded random events and hashes the decisions that it writes.
type simulation struct {
	gatherer *Gatherer
	random   *pcg.Source
	recorder *recorder
	hash     hash.Hash64
	now      float64
	results  []scheduledResult
	attempts int
	nextID   uint64
}

func newSimulation(settings *gather.Settings, gathererSeed, eventSeed uint64) *simulation {
	return &simulation{
		gatherer: New(gathererSeed, settings),
		random:   pcg.New(eventSeed),
		recorder: newRecorder(hashedFormats),
		hash:     fnv.New64a(),
		now:      1e6,
		nextID:   1,
	}
}

// oneIn returns true with a probability of 1/times.
func (sim *simulation) oneIn(times uint32) bool { return sim.random.Uint32()%times == 0 }

// addDueResults adds the scheduled results that are due to a round.
func (sim *simulation) addDueResults(in *gather.Round) {
	pending := sim.results[:0]
	for _, s := range sim.results {
		if s.at > sim.now {
			pending = append(pending, s)
		} else {
			in.Results = append(in.Results, s.result)
		}
	}
	sim.results = pending
}

// outcomeFunc returns a random outcome for an attempt, and the time after which it ends.
type outcomeFunc func(server uint32) (after float64, outcome gather.Outcome)

// run runs a round, schedules the results of the attempts that it sends, and hashes each line that it writes,
// preceded by the given values.
func (sim *simulation) run(in *gather.Round, outcome outcomeFunc, values func() []any) {
	sim.recorder.clear()
	sim.gatherer.Round(in, sim.recorder)
	for _, line := range sim.recorder.lines {
		fmt.Fprintln(sim.hash, append(values(), line)...)
		var request uint64
		var server uint32
		if n, _ := fmt.Sscanf(line, "send %d %d", &request, &server); n != 2 {
			continue
		}
		sim.attempts++
		after, ended := outcome(server)
		sim.results = append(sim.results, scheduledResult{at: sim.now + after, result: gather.AttemptResult{
			Request:           request,
			Server:            server,
			Attempt:           sim.recorder.attempts[request] - 1,
			Outcome:           ended,
			NoFurtherAttempts: ended == gather.Succeeded,
		}})
	}
}

// scheduledResult is an attempt's result and the time at which it arrives.
type scheduledResult struct {
	at     float64
	result gather.AttemptResult
}
