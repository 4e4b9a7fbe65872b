package rulecheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// joiner joins traces. It numbers queries anew, as each process counts its own.
type joiner struct {
	report      *JoinedReport
	operationOf func(queryName string) string
	queries     []joinedQuery        // by number, from 1
	numbers     map[string]uint64    // the numbers of queries by name
	executions  map[string]execution // of non-idempotent operations, by operation, shard and keys
	checker     *Checker
	unixStart   float64 // the Unix time of the joined trace's time 0
}

// joinedQuery is a query of the joined trace.
type joinedQuery struct {
	name     string
	gatherer int
	class    string
}

// execution is a server's execution of a shard request.
type execution struct {
	query uint64
	at    float64
}

func newJoiner(traces []*processTrace, options JoinOptions) *joiner {
	j := &joiner{
		report:      &JoinedReport{GathererNames: map[int]string{}},
		operationOf: options.OperationOf,
		numbers:     map[string]uint64{},
		executions:  map[string]execution{},
		unixStart:   traces[0].header.UnixStart,
	}
	if j.operationOf == nil {
		j.operationOf = func(queryName string) string { return queryName }
	}
	for _, trace := range traces {
		j.unixStart = min(j.unixStart, trace.header.UnixStart)
	}
	return j
}

func (j *joiner) join(traces []*processTrace, truth *GroundTruth, slack float64) (*JoinedReport, error) {
	var err error
	if j.checker, err = NewChecker(j.header(traces, truth, slack)); err != nil {
		return nil, err
	}
	j.checker.onRetry = j.recordBudgetUse
	var events []Event
	for _, trace := range traces {
		events = append(events, j.gathererEvents(trace)...)
		j.report.GathererNames[trace.Gatherer] = trace.Name
		if trace.truncated {
			j.report.KilledProcesses++
		}
	}
	if truth != nil {
		events = append(events, j.serverEvents(truth)...)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	last := 0.0
	for _, e := range events {
		last = e.At
		j.observe(e)
	}
	j.checker.Observe(Event{At: last, Kind: TraceEnd})
	j.report.Report = j.checker.Finish()
	j.report.queries = j.numbers
	if j.report.UnknownRequests > 0 {
		j.report.markIncomplete(fmt.Sprintf("servers took %d parts that no trace has sent", j.report.UnknownRequests))
	}
	return j.report, nil
}

// header returns the header of the joined trace.
func (j *joiner) header(traces []*processTrace, truth *GroundTruth, slack float64) Header {
	h := traces[0].header
	h.Recorder = fmt.Sprintf("%d traces joined", len(traces))
	h.UnixStart = j.unixStart
	h.StartedAt = 0
	h.DeadlineSlack += slack
	if truth != nil {
		h.GroundTruth = true
		h.SlowStart = truth.SlowStart
		h.Servers = truth.Servers
	}
	return h
}

// gathererEvents returns a trace's events with the query numbers and times of the joined trace. The last says that the
// process stopped: queries that it had not answered end with it, and its successor knows of no draining server.
func (j *joiner) gathererEvents(trace *processTrace) []Event {
	shift, numbers, last := trace.header.UnixStart-j.unixStart, map[uint64]uint64{}, 0.0
	events := make([]Event, 0, len(trace.events)+1)
	for _, e := range trace.events {
		e.At += shift
		e.Gatherer = trace.Gatherer
		last = max(last, e.At)
		if e.Kind == TraceEnd {
			continue // the joined trace goes on
		}
		if e.Kind == QueryAdmitted {
			e.Deadline += shift
			j.queries = append(j.queries, joinedQuery{name: e.QueryName, gatherer: trace.Gatherer, class: e.Class})
			numbers[e.Query] = uint64(len(j.queries))
			j.numbers[e.QueryName] = uint64(len(j.queries))
		}
		if e.Query > 0 {
			e.Query = numbers[e.Query]
		}
		events = append(events, e)
	}
	return append(events, Event{At: last, Kind: GathererStopped, Gatherer: trace.Gatherer})
}

// serverEvents returns the ground truth's events with the query numbers and times of the joined trace.
func (j *joiner) serverEvents(truth *GroundTruth) []Event {
	var events []Event
	for _, e := range truth.Events {
		e.At -= j.unixStart
		if e.Kind != ServerStarted {
			number, known := j.numbers[e.QueryName]
			if !known {
				j.report.UnknownRequests++
				continue
			}
			e.Query = number
			e.Gatherer = j.queries[number-1].gatherer
		}
		if e.At >= 0 {
			events = append(events, e)
		}
	}
	return events
}

// observe has the checker observe an event, and checks rule 2 across the queries of one operation.
func (j *joiner) observe(e Event) {
	j.checker.Observe(e)
	if e.Kind != WorkStarted || e.Query == 0 || e.Query > uint64(len(j.queries)) {
		return
	}
	q := &j.queries[e.Query-1]
	if j.checker.header.Classes[q.class].Effect != effectNonIdempotent {
		return
	}
	operation := j.operationOf(q.name)
	key := fmt.Sprint(operation, " ", e.Shard, " ", e.Keys)
	if before, repeated := j.executions[key]; repeated && before.query != e.Query {
		first := j.queries[before.query-1]
		j.checker.report.addViolation(ruleDuplicateEffect, &e,
			"operation %s, shard %d: a once-only part runs as %s of gatherer %d, and ran at %.3f ms as %s of gatherer %d",
			operation, e.Shard, q.name, q.gatherer, before.at, first.name, first.gatherer)
	}
	j.executions[key] = execution{query: e.Query, at: e.At}
}

// recordBudgetUse records how much of the budget of all gatherers together the window that ends now has used.
func (j *joiner) recordBudgetUse(now float64) {
	retries, allowed := 0.0, 0.0
	for _, number := range slices.Sorted(maps.Keys(j.checker.gatherers)) {
		made, mayMake := j.checker.gatherers[number].tallyAcrossRestarts.use(j.checker.header.Budget, now)
		retries += made
		allowed += mayMake
	}
	if share := retries / max(allowed, epsilon); share > j.report.PeakBudgetUse.Share {
		j.report.PeakBudgetUse = LimitUse{Share: share, At: now, Message: fmt.Sprintf(
			"%g further part calls of %.1f in a window, all gatherers together", retries, allowed)}
	}
}
