package processtest

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"yokeroute/internal/gatherer/discovery"
	"yokeroute/internal/rulecheck"
)

// Send is an attempt whose first byte was written.
type Send struct {
	At         float64 // Unix milliseconds
	Gatherer   string
	Server     string
	Class      string
	AdmittedAt float64 // when its query was, in Unix milliseconds
	Repeated   bool    // an earlier attempt of its shard request may have run by then
}

// Sends returns all attempts of all processes, ordered by time. Processes that still serve have to be ended before, by
// Close.
func (f *Fleet) Sends() ([]Send, error) {
	servers := map[uint32]string{}
	for name := range f.Servers {
		servers[discovery.ServerID(name)] = name
	}
	sources, done, err := f.sources()
	defer done()
	if err != nil {
		return nil, err
	}
	var all []Send
	for _, source := range sources {
		sends, err := readSends(source, f.Gatherers[source.Gatherer-1].Name, servers)
		if err != nil {
			return nil, err
		}
		all = append(all, sends...)
	}
	slices.SortFunc(all, func(a, b Send) int { return cmp.Compare(a.At, b.At) })
	return all, nil
}

// readSends returns the attempts in one trace. A trace that a crash has truncated is read as far as it goes.
func readSends(source rulecheck.Source, gatherer string, servers map[uint32]string) (sends []Send, err error) {
	type shardRequest struct {
		query uint64
		shard int
	}
	traceStart := 0.0 // Unix milliseconds
	admitted := map[uint64]rulecheck.Event{}
	mayHaveRun := map[shardRequest]int{} // attempts
	readHeader := func(h rulecheck.Header) error {
		traceStart = h.UnixStart
		return nil
	}
	err = rulecheck.Read(source.Trace, readHeader, func(e rulecheck.Event) {
		request := shardRequest{query: e.Query, shard: e.Shard}
		switch e.Kind {
		case rulecheck.QueryAdmitted:
			admitted[e.Query] = e
		case rulecheck.AttemptSent:
			query := admitted[e.Query]
			sends = append(sends, Send{
				At:         traceStart + e.At,
				Gatherer:   gatherer,
				Server:     servers[e.Server],
				Class:      query.Class,
				AdmittedAt: traceStart + query.At,
				Repeated:   mayHaveRun[request] > 0,
			})
			mayHaveRun[request]++
		case rulecheck.AttemptEnded:
			if rulecheck.NeverRan(e.Outcome) {
				mayHaveRun[request]--
			}
		}
	})
	if err != nil && !errors.Is(err, rulecheck.ErrTruncated) {
		return nil, fmt.Errorf("%s: %w", source.Name, err)
	}
	return sends, nil
}
