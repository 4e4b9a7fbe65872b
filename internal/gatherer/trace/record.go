package trace

import (
	"errors"
	"fmt"
	"os"
	"sync"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/rulecheck"
	"yokeroute/logic/ownership"
	"yokeroute/logic/phases"
)

// File records what a gatherer takes, calls, hears and answers, in the form on which package rules checks the six
// rules. It is a pick.Tracer and a pick.Witness: a call counts from its first byte, an answer from when no byte of a
// call can go any more, and what was decided on and never written is not there.
type File struct {
	mu     sync.Mutex
	f      *os.File
	w      *rulecheck.Writer
	most   int64
	at     bool // each event is handed to the system at once
	shards int  // into which clients part the keys, where a map says who owns them; 0 where none does
	begin  float64
	last   float64
	why    string // it has ended, and why
	next   uint64
	open   map[*dispatch.Lookup]uint64
	states map[uint32]gather.State
}

// Create begins a record by a gatherer's terms, at its time. Shards is 0 where no map says who owns their keys. With
// atOnce a process that is killed leaves a record that lacks nothing but its last line; each event costs a system call.
func Create(name string, most float64, atOnce bool, settings *gather.Settings, shards int, now float64) (*File, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	h := rulecheck.Header{Source: "yokeroute serve", Begin: 0, Unix: now, Grace: settings.DrainGrace, Slack: settings.AnswerSlack, Indexes: map[string]rulecheck.Index{}}
	if settings.RetryBudgetWindow > 0 {
		h.Budget = &rulecheck.Budget{Span: settings.RetryBudgetWindow, Free: settings.RetryBudgetFloor, Share: settings.RetryBudgetRatio}
	}
	for _, name := range settings.ClassNames() {
		h.Indexes[name] = rulecheck.Index{Effect: string(settings.Class(name).Effect), Window: settings.Class(name).IdempotencyWindow, Whole: settings.Class(name).CompleteShare, Least: settings.Class(name).MinShare}
	}
	return &File{f: f, w: rulecheck.NewWriter(f, h), most: int64(most), at: atOnce, shards: shards, begin: now, next: 1, open: map[*dispatch.Lookup]uint64{}, states: map[uint32]gather.State{}}, nil
}

// see writes an event, unless the record has ended. The lock is held.
func (r *File) see(at float64, e rulecheck.Event) {
	if r.why != "" {
		return
	}
	r.last = max(at-r.begin, r.last) // two goroutines may come here in another order than their clocks were read
	e.At = r.last
	r.w.See(e)
	if r.at {
		r.w.Flush()
	}
	if r.w.Bytes() > r.most {
		r.end(at, fmt.Sprintf("the record reached its %d bytes with %d lookups open", r.most, len(r.open)))
	}
}

func (r *File) end(at float64, why string) {
	r.why = why
	if why == "" {
		r.why = "closed"
	}
	if err := errors.Join(r.w.End(max(at-r.begin, r.last), why), r.f.Close()); err != nil {
		r.why = err.Error()
	}
}

// Close ends the record.
func (r *File) Close(at float64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.why == "" {
		r.end(at, "")
		if r.why != "closed" {
			return errors.New(r.why)
		}
	}
	return nil
}

var states = map[gather.State]string{gather.Running: "running", gather.Draining: "draining", gather.Removed: "gone"}

// Follow records what the gatherer was told of servers.
func (r *File) Follow(l gather.EndpointList, at float64) {
	if l.Failed {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[uint32]bool{}
	for _, s := range l.Endpoints {
		listed[s.ID] = true
		if was, known := r.states[s.ID]; !known || was != s.State {
			r.states[s.ID] = s.State
			r.see(at, rulecheck.Event{Kind: rulecheck.Told, Server: s.ID, State: states[s.State]})
		}
	}
	for id := range r.states {
		if l.Full && !listed[id] {
			r.see(at, rulecheck.Event{Kind: rulecheck.Told, Server: id, State: "gone"})
			delete(r.states, id)
		}
	}
}

// Opened begins a lookup.
func (r *File) Opened(lk *dispatch.Lookup, _ *phases.Choice, at float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[lk] = r.next
	e := rulecheck.Event{Kind: rulecheck.Taken, Lookup: r.next, Name: lk.ID, Index: lk.Index, Until: lk.GiveUpAt - r.begin}
	for _, p := range lk.Parts {
		part := rulecheck.Part{Shard: p.Shard, Weight: p.Weight}
		if r.shards > 0 {
			part.Keys = keys(ownership.Slot(p.Shard, r.shards))
		}
		e.Parts = append(e.Parts, part)
	}
	r.next++
	r.see(at, e)
}

// Sent is a decision, which the wire may never see; Written tells.
func (r *File) Sent(*dispatch.Call, float64) {}

// Written records a call whose first byte is about to go.
func (r *File) Written(c *dispatch.Call, at float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if number, open := r.open[c.Lookup()]; open {
		r.see(at, rulecheck.Event{Kind: rulecheck.Sent, Lookup: number, Shard: c.Shard(), Server: c.Server, Call: c.Number(), First: c.First(), Keys: keysOf(c)})
	}
}

func keys(r ownership.Range) *rulecheck.Keys { return &rulecheck.Keys{Lo: r.Lo, Hi: r.Hi} }

// keysOf are the keys that a call asks for, nil where no map says who owns what.
func keysOf(c *dispatch.Call) *rulecheck.Keys {
	r, _, _, owned := c.Keys()
	if !owned {
		return nil
	}
	return keys(r)
}

// Heard records how a call ended.
func (r *File) Heard(c *dispatch.Call, outcome gather.Outcome, waited float64, s *phases.Summary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	number, open := r.open[c.Lookup()]
	if !open || !c.Begun() {
		return
	}
	r.see(c.At()+waited, rulecheck.Event{Kind: rulecheck.Ended, Lookup: number, Shard: c.Shard(), Server: c.Server, Call: c.Number(), First: c.First(), Outcome: outcome.String(),
		Empty: c.First() && outcome == gather.Succeeded && s.Empty, Keys: keysOf(c)})
}

// Closed is of no interest to the rules.
func (r *File) Closed(*dispatch.Lookup, *phases.Next, float64) {}

// Ended is a decision as well; Answered tells when nothing can go any more.
func (r *File) Ended(*dispatch.Lookup, dispatch.Verdict, float64) {}

// Answered records a final answer.
func (r *File) Answered(lk *dispatch.Lookup, v dispatch.Verdict, at float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	number, open := r.open[lk]
	if !open {
		return
	}
	delete(r.open, lk)
	e := rulecheck.Event{Lookup: number, Whole: v.Whole}
	switch v.Kind {
	case dispatch.Satisfied:
		e.Kind = rulecheck.Answered
		for _, h := range v.Hits {
			e.In = append(e.In, h.Shard)
			if h.Keys != nil {
				e.InKeys = append(e.InKeys, keys(*h.Keys))
			} else {
				e.InKeys = append(e.InKeys, nil)
			}
		}
		if r.shards == 0 {
			e.InKeys = nil
		}
		e.In = append(e.In, v.Empty...)
	case dispatch.Nacked:
		e.Kind = rulecheck.Nacked
	case dispatch.Left:
		e.Kind = rulecheck.Left
	default:
		e.Kind = rulecheck.Aborted
	}
	r.see(at, e)
}
