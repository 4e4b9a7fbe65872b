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
	From     io.Reader
}

// Truth is what servers took and ran, told by who plays them. Its events are of the kinds Came, Ran and Started, their
// times Unix milliseconds; a lookup's name stands in Name in place of its number.
type Truth struct {
	Cold    *Cold
	Servers map[uint32]Server
	Events  []Event
}

// Joint is what a check of several processes' traces has found.
type Joint struct {
	*Report
	Killed  int            `json:"killed"`  // traces that are cut off, as those of killed processes are
	Of      map[int]string `json:"of"`      // gatherers' names, by number
	Busiest Near           `json:"busiest"` // the fleet's further part calls over what all gatherers together may make
	Unknown int            `json:"unknown"` // parts at servers that no trace has sent; any at all is a fault of the records
}

// JoinTerms are how traces are joined.
type JoinTerms struct {
	Operation func(name string) string // the operation that a lookup's name is a try of; nil takes each name for one of its own
	// Slack is by how many milliseconds more than the traces say a final answer may pass its client's time: processes
	// that were stopped, or that shared too few cores, answer late without a fault of their own.
	Slack float64
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
func Join(sources []Source, truth *Truth, terms JoinTerms) (*Joint, error) {
	if len(sources) == 0 {
		return nil, errors.New("no traces to join")
	}
	var all []*source
	for _, s := range sources {
		one := &source{Source: s}
		err := Read(s.From, func(h Header) error { one.head = h; return nil }, func(e Event) { one.events = append(one.events, e) })
		if err != nil && !errors.Is(err, ErrCut) {
			return nil, fmt.Errorf("%s: %w", s.Name, err)
		}
		one.cut = err != nil
		switch {
		case one.cut && one.head.Form == "":
			continue // killed before its first line: it served nothing
		case one.head.Unix == 0:
			return nil, fmt.Errorf("%s: tells no Unix time of its beginning, and cannot be joined", s.Name)
		case len(all) > 0 && !reflect.DeepEqual(one.head.Indexes, all[0].head.Indexes):
			return nil, fmt.Errorf("%s: has other indexes than %s", s.Name, all[0].Name)
		}
		all = append(all, one)
	}
	if len(all) == 0 {
		return nil, errors.New("no trace has a first line")
	}
	j := &joiner{joint: &Joint{Of: map[int]string{}}, operation: terms.Operation, owner: map[string]uint64{}, ran: map[string]ranAt{}}
	if j.operation == nil {
		j.operation = func(name string) string { return name }
	}
	return j.join(all, truth, terms.Slack)
}

// joiner is the work of joining.
type joiner struct {
	joint     *Joint
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

func (j *joiner) join(all []*source, truth *Truth, slack float64) (*Joint, error) {
	zero := all[0].head.Unix
	for _, s := range all {
		zero = min(zero, s.head.Unix)
	}
	head := all[0].head
	head.Source, head.Unix, head.Begin = fmt.Sprintf("%d traces joined", len(all)), zero, 0
	head.Slack += slack
	if truth != nil {
		head.Truth, head.Cold, head.Servers = true, truth.Cold, truth.Servers
	}
	var events []Event
	for _, s := range all {
		events = append(events, j.renumber(s, s.head.Unix-zero)...)
		j.joint.Of[s.Gatherer] = s.Name
		if s.cut {
			j.joint.Killed++
		}
	}
	if truth != nil {
		for _, e := range truth.Events {
			e.At -= zero
			if e.Kind != Started {
				id, known := j.owner[e.Name]
				if !known {
					j.joint.Unknown++
					continue
				}
				e.Lookup, e.Gatherer = id, j.lookups[id-1].gatherer
			}
			if e.At >= 0 {
				events = append(events, e)
			}
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	var err error
	if j.c, err = New(head); err != nil {
		return nil, err
	}
	j.c.further = j.busiest
	last := 0.0
	for _, e := range events {
		last = e.At
		j.see(e)
	}
	j.c.See(Event{At: last, Kind: Over})
	j.joint.Report = j.c.Report()
	if j.joint.Unknown > 0 {
		j.joint.Incomplete = cmp.Or(j.joint.Incomplete, fmt.Sprintf("servers took %d parts that no trace has sent", j.joint.Unknown))
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
		if e.Kind == Over {
			continue // with a record's reason, if it has one: the joined one goes on
		}
		if e.Kind == Taken {
			e.Until += shift
			j.lookups = append(j.lookups, joined{e.Name, s.Gatherer, e.Index})
			ids[e.Lookup] = uint64(len(j.lookups))
			j.owner[e.Name] = uint64(len(j.lookups))
		}
		if e.Lookup > 0 {
			e.Lookup = ids[e.Lookup]
		}
		out = append(out, e)
	}
	return append(out, Event{At: last, Kind: Died, Gatherer: s.Gatherer})
}

// see checks what only all traces together show, and hands the event on.
func (j *joiner) see(e Event) {
	j.c.See(e)
	if e.Kind != Ran || e.Lookup == 0 || e.Lookup > uint64(len(j.lookups)) {
		return
	}
	lk := &j.lookups[e.Lookup-1]
	if j.c.head.Indexes[lk.index].Effect != "once-only" {
		return
	}
	key := fmt.Sprint(j.operation(lk.name), " ", e.Shard, " ", e.Keys)
	if before, again := j.ran[key]; again && before.lookup != e.Lookup {
		first := j.lookups[before.lookup-1]
		j.c.broken(2, &e, "operation %s, shard %d: a once-only part runs as %s of gatherer %d, and ran at %.3f ms as %s of gatherer %d", j.operation(lk.name), e.Shard, lk.name, lk.gatherer, before.at, first.name, first.gatherer)
	}
	j.ran[key] = ranAt{e.Lookup, e.At}
}

// busiest notes how much of the budget of all gatherers together the window that ends now has used.
func (j *joiner) busiest(now float64) {
	further, allowed := 0.0, 0.0
	for _, g := range slices.Sorted(maps.Keys(j.c.gatherers)) {
		made, may := j.c.gatherers[g].window(j.c.head.Budget, now)
		further += made
		allowed += may
	}
	if share := further / max(allowed, eps); share > j.joint.Busiest.Share {
		j.joint.Busiest = Near{share, now, fmt.Sprintf("%g further part calls of %.1f in a window, all gatherers together", further, allowed)}
	}
}
