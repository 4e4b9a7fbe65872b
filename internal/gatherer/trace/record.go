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
	"yokeroute/logic/twopass"
)

// File records what a gatherer takes, calls, hears and answers, in the form on which package rules checks the six
// rules. It is a pick.Tracer and a pick.Witness: a call counts from its first byte, an answer from when no byte of a
// call can go any more, and what was decided on and never written is not there.
type File struct {
	mu          sync.Mutex
	f           *os.File
	w           *rulecheck.Writer
	maxBytes    int64
	flushEach   bool // each event is handed to the system at once
	shards      int  // into which clients part the keys, where a map says who owns them; 0 where none does
	startedAt   float64
	lastEventAt float64
	endReason   string // it has ended, and why
	nextNumber  uint64
	open        map[*dispatch.Query]uint64
	states      map[uint32]gather.State
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
	return &File{f: f, w: rulecheck.NewWriter(f, h), maxBytes: int64(most), flushEach: atOnce, shards: shards, startedAt: now, nextNumber: 1, open: map[*dispatch.Query]uint64{}, states: map[uint32]gather.State{}}, nil
}

// write writes an event, unless the record has ended. The lock is held.
func (r *File) write(at float64, e rulecheck.Event) {
	if r.endReason != "" {
		return
	}
	r.lastEventAt = max(at-r.startedAt, r.lastEventAt) // two goroutines may come here in another order than their clocks were read
	e.At = r.lastEventAt
	r.w.See(e)
	if r.flushEach {
		r.w.Flush()
	}
	if r.w.Bytes() > r.maxBytes {
		r.finish(at, fmt.Sprintf("the record reached its %d bytes with %d lookups open", r.maxBytes, len(r.open)))
	}
}

func (r *File) finish(at float64, why string) {
	r.endReason = why
	if why == "" {
		r.endReason = "closed"
	}
	if err := errors.Join(r.w.End(max(at-r.startedAt, r.lastEventAt), why), r.f.Close()); err != nil {
		r.endReason = err.Error()
	}
}

// Close ends the record.
func (r *File) Close(at float64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endReason == "" {
		r.finish(at, "")
		if r.endReason != "closed" {
			return errors.New(r.endReason)
		}
	}
	return nil
}

var stateTexts = map[gather.State]string{gather.Running: "running", gather.Draining: "draining", gather.Removed: "gone"}

// UpdateEndpoints records what the gatherer was told of servers.
func (r *File) UpdateEndpoints(l gather.EndpointList, at float64) {
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
			r.write(at, rulecheck.Event{Kind: rulecheck.Told, Server: s.ID, State: stateTexts[s.State]})
		}
	}
	for id := range r.states {
		if l.Full && !listed[id] {
			r.write(at, rulecheck.Event{Kind: rulecheck.Told, Server: id, State: "gone"})
			delete(r.states, id)
		}
	}
}

// QueryAdmitted begins a lookup.
func (r *File) QueryAdmitted(lk *dispatch.Query, _ *twopass.Decision, at float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[lk] = r.nextNumber
	e := rulecheck.Event{Kind: rulecheck.Taken, Lookup: r.nextNumber, Name: lk.ID, Index: lk.Class, Until: lk.Deadline - r.startedAt}
	for _, p := range lk.ShardRequests {
		part := rulecheck.Part{Shard: p.Shard, Weight: p.Weight}
		if r.shards > 0 {
			part.Keys = ruleKeys(ownership.ShardRange(p.Shard, r.shards))
		}
		e.Parts = append(e.Parts, part)
	}
	r.nextNumber++
	r.write(at, e)
}

// AttemptDecided is a decision, which the wire may never see; Written tells.
func (r *File) AttemptDecided(*dispatch.Attempt, float64) {}

// AttemptWritten records a call whose first byte is about to go.
func (r *File) AttemptWritten(c *dispatch.Attempt, at float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if number, open := r.open[c.Query()]; open {
		r.write(at, rulecheck.Event{Kind: rulecheck.Sent, Lookup: number, Shard: c.Shard(), Server: c.Server, Call: c.Number(), First: c.FirstPass(), Keys: attemptKeys(c)})
	}
}

func ruleKeys(r ownership.Range) *rulecheck.Keys { return &rulecheck.Keys{Lo: r.Lo, Hi: r.Hi} }

// attemptKeys are the keys that a call asks for, nil where no map says who owns what.
func attemptKeys(c *dispatch.Attempt) *rulecheck.Keys {
	r, _, _, owned := c.Ownership()
	if !owned {
		return nil
	}
	return ruleKeys(r)
}

// AttemptEnded records how a call ended.
func (r *File) AttemptEnded(c *dispatch.Attempt, outcome gather.Outcome, waited float64, s *twopass.Summary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	number, open := r.open[c.Query()]
	if !open || !c.WriteBegun() {
		return
	}
	r.write(c.DecidedAt()+waited, rulecheck.Event{Kind: rulecheck.Ended, Lookup: number, Shard: c.Shard(), Server: c.Server, Call: c.Number(), First: c.FirstPass(), Outcome: outcome.String(),
		Empty: c.FirstPass() && outcome == gather.Succeeded && s.Empty, Keys: attemptKeys(c)})
}

// FirstPassEnded is of no interest to the rules.
func (r *File) FirstPassEnded(*dispatch.Query, *twopass.Plan, float64) {}

// QueryDecided is a decision as well; Answered tells when nothing can go any more.
func (r *File) QueryDecided(*dispatch.Query, dispatch.Result, float64) {}

// QueryAnswered records a final answer.
func (r *File) QueryAnswered(lk *dispatch.Query, v dispatch.Result, at float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	number, open := r.open[lk]
	if !open {
		return
	}
	delete(r.open, lk)
	e := rulecheck.Event{Lookup: number, Whole: v.Complete}
	switch v.Kind {
	case dispatch.Served:
		e.Kind = rulecheck.Answered
		for _, h := range v.Hits {
			e.In = append(e.In, h.Shard)
			if h.Keys != nil {
				e.InKeys = append(e.InKeys, ruleKeys(*h.Keys))
			} else {
				e.InKeys = append(e.InKeys, nil)
			}
		}
		if r.shards == 0 {
			e.InKeys = nil
		}
		e.In = append(e.In, v.EmptyShards...)
	case dispatch.Rejected:
		e.Kind = rulecheck.Nacked
	case dispatch.Abandoned:
		e.Kind = rulecheck.Left
	default:
		e.Kind = rulecheck.Aborted
	}
	r.write(at, e)
}
