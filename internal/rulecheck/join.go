package rulecheck

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"
)

// Source is the trace of one process. Several processes of one gatherer, one after the other, have its number.
type Source struct {
	Name     string // for messages
	Gatherer int    // from 1
	Trace    io.Reader
}

// GroundTruth is what servers took and ran, told by who plays them. Its events are of the kinds Came, Ran and Started, their
// times Unix milliseconds; a lookup's name stands in Name in place of its number.
type GroundTruth struct {
	SlowStart *SlowStart
	Servers   map[uint32]Server
	Events    []Event
}

// JoinedReport is what a check of several processes' traces has found.
type JoinedReport struct {
	*Report
	KilledProcesses int            `json:"killed"`  // traces that are cut off, as those of killed processes are
	GathererNames   map[int]string `json:"of"`      // gatherers' names, by number
	PeakBudgetUse   LimitUse       `json:"busiest"` // the fleet's further part calls over what all gatherers together may make
	UnknownRequests int            `json:"unknown"` // parts at servers that no trace has sent; any at all is a fault of the records
}

// JoinOptions are how traces are joined.
type JoinOptions struct {
	OperationOf func(name string) string // the operation that a lookup's name is a try of; nil takes each name for one of its own
	// DeadlineSlack is by how many milliseconds more than the traces say a final answer may pass its client's time: processes
	// that were stopped, or that shared too few cores, answer late without a fault of their own.
	DeadlineSlack float64
}

// source is a trace as it was read.
type source struct {
	Source
	head   Header
	events []Event
	cut    bool
}

// Join puts the traces of several processes together by their clocks, which have to be one machine's, and checks the
// rules on all of them as of one fleet. Beyond what each trace shows alone it sees
//
//   - rule 2: that no once-only operation ran twice, whichever gatherers its tries went to.
//   - rule 4: what a cold server was sent by all gatherers together, from truth.
//   - rule 6: that a gatherer's further calls are counted through its restarts, and what the fleet's come to.
//
// A trace that is cut off is that of a process that was killed: what it held dies with it. One that tells no Unix time
// or other indexes than the rest is an error that names it.
func Join(sources []Source, truth *GroundTruth, terms JoinOptions) (*JoinedReport, error) {
	if len(sources) == 0 {
		return nil, errors.New("no traces to join")
	}
	var all []*source
	for _, s := range sources {
		one := &source{Source: s}
		err := Read(s.Trace, func(h Header) error { one.head = h; return nil }, func(e Event) { one.events = append(one.events, e) })
		if err != nil && !errors.Is(err, ErrTruncated) {
			return nil, fmt.Errorf("%s: %w", s.Name, err)
		}
		one.cut = err != nil
		switch {
		case one.cut && one.head.Format == "":
			continue // killed before its first line: it served nothing
		case one.head.UnixStart == 0:
			return nil, fmt.Errorf("%s: tells no Unix time of its beginning, and cannot be joined", s.Name)
		case len(all) > 0 && !reflect.DeepEqual(one.head.Classes, all[0].head.Classes):
			return nil, fmt.Errorf("%s: has other indexes than %s", s.Name, all[0].Name)
		}
		all = append(all, one)
	}
	if len(all) == 0 {
		return nil, errors.New("no trace has a first line")
	}
	j := &joiner{joint: &JoinedReport{GathererNames: map[int]string{}}, operation: terms.OperationOf, owner: map[string]uint64{}, ran: map[string]ranAt{}}
	if j.operation == nil {
		j.operation = func(name string) string { return name }
	}
	return j.join(all, truth, terms.DeadlineSlack)
}

// joiner is the work of joining.
type joiner struct {
	joint     *JoinedReport
	operation func(string) string
	owner     map[string]uint64 // lookups by name
	lookups   []joined
	ran       map[string]ranAt // once-only operations and shards that ran
	c         *Checker
}

// joined is a lookup of the joined trace.
type joined struct {
	name     string
	gatherer int
	index    string
}

type ranAt struct {
	lookup uint64
	at     float64
}

func (j *joiner) join(all []*source, truth *GroundTruth, slack float64) (*JoinedReport, error) {
	zero := all[0].head.UnixStart
	for _, s := range all {
		zero = min(zero, s.head.UnixStart)
	}
	head := all[0].head
	head.Recorder, head.UnixStart, head.StartedAt = fmt.Sprintf("%d traces joined", len(all)), zero, 0
	head.DeadlineSlack += slack
	if truth != nil {
		head.GroundTruth, head.SlowStart, head.Servers = true, truth.SlowStart, truth.Servers
	}
	var events []Event
	for _, s := range all {
		events = append(events, j.renumber(s, s.head.UnixStart-zero)...)
		j.joint.GathererNames[s.Gatherer] = s.Name
		if s.cut {
			j.joint.KilledProcesses++
		}
	}
	if truth != nil {
		for _, e := range truth.Events {
			e.At -= zero
			if e.Kind != ServerStarted {
				id, known := j.owner[e.QueryName]
				if !known {
					j.joint.UnknownRequests++
					continue
				}
				e.Query, e.Gatherer = id, j.lookups[id-1].gatherer
			}
			if e.At >= 0 {
				events = append(events, e)
			}
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	var err error
	if j.c, err = NewChecker(head); err != nil {
		return nil, err
	}
	j.c.further = j.busiest
	last := 0.0
	for _, e := range events {
		last = e.At
		j.see(e)
	}
	j.c.Observe(Event{At: last, Kind: TraceEnd})
	j.joint.Report = j.c.Report()
	if j.joint.UnknownRequests > 0 {
		j.joint.Incomplete = cmp.Or(j.joint.Incomplete, fmt.Sprintf("servers took %d parts that no trace has sent", j.joint.UnknownRequests))
	}
	return j.joint, nil
}

// renumber gives a trace's events numbers and times of the joined one. Each process ends with its gatherer's death:
// what it had not answered dies with it, and its successor has been told nothing.
func (j *joiner) renumber(s *source, shift float64) []Event {
	ids, last := map[uint64]uint64{}, 0.0
	out := make([]Event, 0, len(s.events)+1)
	for _, e := range s.events {
		e.At += shift
		e.Gatherer = s.Gatherer
		last = max(last, e.At)
		if e.Kind == TraceEnd {
			continue // with a record's reason, if it has one: the joined one goes on
		}
		if e.Kind == QueryAdmitted {
			e.Deadline += shift
			j.lookups = append(j.lookups, joined{e.QueryName, s.Gatherer, e.Class})
			ids[e.Query] = uint64(len(j.lookups))
			j.owner[e.QueryName] = uint64(len(j.lookups))
		}
		if e.Query > 0 {
			e.Query = ids[e.Query]
		}
		out = append(out, e)
	}
	return append(out, Event{At: last, Kind: GathererStopped, Gatherer: s.Gatherer})
}

// see checks what only all traces together show, and hands the event on.
func (j *joiner) see(e Event) {
	j.c.Observe(e)
	if e.Kind != WorkStarted || e.Query == 0 || e.Query > uint64(len(j.lookups)) {
		return
	}
	lk := &j.lookups[e.Query-1]
	if j.c.head.Classes[lk.index].Effect != "once-only" {
		return
	}
	key := fmt.Sprint(j.operation(lk.name), " ", e.Shard, " ", e.Keys)
	if before, again := j.ran[key]; again && before.lookup != e.Query {
		first := j.lookups[before.lookup-1]
		j.c.broken(2, &e, "operation %s, shard %d: a once-only part runs as %s of gatherer %d, and ran at %.3f ms as %s of gatherer %d", j.operation(lk.name), e.Shard, lk.name, lk.gatherer, before.at, first.name, first.gatherer)
	}
	j.ran[key] = ranAt{e.Query, e.At}
}

// busiest notes how much of the budget of all gatherers together the window that ends now has used.
func (j *joiner) busiest(now float64) {
	further, allowed := 0.0, 0.0
	for _, g := range slices.Sorted(maps.Keys(j.c.gatherers)) {
		made, may := j.c.gatherers[g].window(j.c.head.Budget, now)
		further += made
		allowed += may
	}
	if share := further / max(allowed, eps); share > j.joint.PeakBudgetUse.Share {
		j.joint.PeakBudgetUse = LimitUse{share, now, fmt.Sprintf("%g further part calls of %.1f in a window, all gatherers together", further, allowed)}
	}
}
