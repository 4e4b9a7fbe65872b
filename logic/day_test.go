package logic

import (
	"fmt"
	"hash"
	"hash/fnv"

	"yokeroute/gather"
	"yokeroute/internal/pcg"
)

// day plays seeded events against a gatherer and hashes what it writes.
type day struct {
	gatherer *Gatherer
	random   *pcg.Source
	written  *recorder
	hash     hash.Hash64
	now      float64
	results  []scheduledResult
	attempts int
	nextID   uint64
}

func newDay(settings *gather.Settings, gathererSeed, eventSeed uint64) *day {
	return &day{
		gatherer: New(gathererSeed, settings),
		random:   pcg.New(eventSeed),
		written:  newRecorder(hashedFormats),
		hash:     fnv.New64a(),
		now:      1e6,
		nextID:   1,
	}
}

// oneIn is true once in so many times.
func (d *day) oneIn(times uint32) bool { return d.random.Uint32()%times == 0 }

// addDueResults adds the results that come by now to a round.
func (d *day) addDueResults(in *gather.Round) {
	rest := d.results[:0]
	for _, s := range d.results {
		if s.at > d.now {
			rest = append(rest, s)
		} else {
			in.Results = append(in.Results, s.result)
		}
	}
	d.results = rest
}

// outcomeOf decides at random how an attempt ends, and after which time.
type outcomeOf func(server uint32) (after float64, outcome gather.Outcome)

// run runs a round, hashes each line that it writes behind the values given, and schedules the attempts'
// results.
func (d *day) run(in *gather.Round, outcome outcomeOf, values func() []any) {
	d.written.clear()
	d.gatherer.Round(in, d.written)
	for _, line := range d.written.lines {
		fmt.Fprintln(d.hash, append(values(), line)...)
		var request uint64
		var server uint32
		if n, _ := fmt.Sscanf(line, "send %d %d", &request, &server); n != 2 {
			continue
		}
		d.attempts++
		after, ended := outcome(server)
		d.results = append(d.results, scheduledResult{at: d.now + after, result: gather.AttemptResult{
			Request:  request,
			Server:   server,
			Attempt:  d.written.attempts[request] - 1,
			Outcome:  ended,
			Finished: ended == gather.Succeeded,
		}})
	}
}

// scheduledResult is an attempt's result that comes at a time.
type scheduledResult struct {
	at     float64
	result gather.AttemptResult
}
