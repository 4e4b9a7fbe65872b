package rulecheck

import (
	"errors"
	"fmt"
	"io"
	"reflect"
)

// Source is the trace of one process. The processes of a gatherer that was restarted have the same number.
type Source struct {
	Name     string // for messages
	Gatherer int    // from 1
	Trace    io.Reader
}

// GroundTruth is what servers received and ran, recorded at the servers. Its events are of the kinds WorkArrived,
// WorkStarted and ServerStarted. Their times are Unix milliseconds, and QueryName stands in place of Query.
type GroundTruth struct {
	SlowStart *SlowStart
	Servers   map[uint32]Server
	Events    []Event
}

// JoinedReport is the result of a check of several processes' traces.
type JoinedReport struct {
	*Report
	KilledProcesses int            `json:"killed"`  // processes whose trace is truncated
	GathererNames   map[int]string `json:"of"`      // by number
	PeakBudgetUse   LimitUse       `json:"busiest"` // all gatherers' retries over what they may make together
	UnknownRequests int            `json:"unknown"` // shard requests at servers that no trace has sent

	queries map[string]uint64 // numbers by name
}

// HasQuery reports whether a trace holds a query of that name.
func (r *JoinedReport) HasQuery(name string) bool {
	_, known := r.queries[name]
	return known
}

// JoinOptions are the options of Join.
type JoinOptions struct {
	// OperationOf returns the operation that a query, by its name, is an attempt of. If nil, each query is its own
	// operation.
	OperationOf func(queryName string) string
	// DeadlineSlack is by how many milliseconds more than the traces say a final answer may pass its client's
	// deadline: processes that are paused, or that share too few cores, answer late through no fault of their own.
	DeadlineSlack float64
}

// Join joins the traces of several processes by their clocks, which must be one machine's, and checks the rules on all
// of them as on one fleet. It shows what no trace shows alone:
//
//   - rule 2: that no non-idempotent operation ran twice, whichever gatherers its attempts went to.
//   - rule 4: what all gatherers together sent a starting server, from the ground truth.
//   - rule 6: the retries of the whole fleet, which are reported. The budget is that of a process, which tallies from
//     its start.
//
// A truncated trace is that of a killed process: the queries that it held end with it. A trace that has no Unix time,
// or other classes than the rest, is an error that names it.
func Join(sources []Source, truth *GroundTruth, options JoinOptions) (*JoinedReport, error) {
	if len(sources) == 0 {
		return nil, errors.New("no traces to join")
	}
	traces, err := readTraces(sources)
	if err != nil {
		return nil, err
	}
	if len(traces) == 0 {
		return nil, errors.New("no trace has a first line")
	}
	return newJoiner(traces, options).join(traces, truth, options.DeadlineSlack)
}

// processTrace is the trace of one process in memory.
type processTrace struct {
	Source
	header    Header
	events    []Event
	truncated bool
}

// readTraces reads the traces, without those that ended before their header: these processes served nothing.
func readTraces(sources []Source) ([]*processTrace, error) {
	var traces []*processTrace
	for _, source := range sources {
		trace, err := readTrace(source)
		switch {
		case err != nil:
			return nil, fmt.Errorf("%s: %w", source.Name, err)
		case trace.truncated && trace.header.Format == "":
			continue
		case trace.header.UnixStart == 0:
			return nil, fmt.Errorf("%s: tells no Unix time of its beginning, and cannot be joined", source.Name)
		case len(traces) > 0 && !reflect.DeepEqual(trace.header.Classes, traces[0].header.Classes):
			return nil, fmt.Errorf("%s: has other indexes than %s", source.Name, traces[0].Name)
		}
		traces = append(traces, trace)
	}
	return traces, nil
}

func readTrace(source Source) (*processTrace, error) {
	trace := &processTrace{Source: source}
	keepHeader := func(h Header) error {
		trace.header = h
		return nil
	}
	err := Read(source.Trace, keepHeader, func(e Event) { trace.events = append(trace.events, e) })
	if err != nil && !errors.Is(err, ErrTruncated) {
		return nil, err
	}
	trace.truncated = err != nil
	return trace, nil
}
