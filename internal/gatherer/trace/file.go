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

// source is what a file's header names as its writer.
const source = "yokeroute serve"

// FileConfig is what a File is created by.
type FileConfig struct {
	Name     string
	MaxBytes int64
	Settings *gather.Settings

	// FlushEach writes each event through to the system, so that a process that is killed leaves a file which lacks
	// nothing but its last line. Each event costs a system call.
	FlushEach bool

	// Shards is how many shards divide the keys, where a map of segments says who owns them; 0 where there is none.
	Shards int

	StartedAt float64 // Unix milliseconds: the file's time 0
}

// File records all queries and attempts of a gatherer, in the form that package rulecheck checks. It is a
// dispatch.DecisionObserver and a dispatch.WireObserver: an attempt counts from its first byte on the wire, a result
// from when no byte of an attempt can follow it. Attempts that were decided on and never written are left out.
type File struct {
	maxBytes  int64
	flushEach bool
	shards    int
	startedAt float64

	mu          sync.Mutex
	f           *os.File
	w           *rulecheck.Writer
	lastEventAt float64
	end         string // why the file has ended; empty while it is written
	nextNumber  uint64 // of queries
	open        map[*dispatch.Query]uint64
	endpoints   map[uint32]gather.State
}

// endClosed is the end of a file that was closed without an error.
const endClosed = "closed"

// Create creates the file and writes its header.
func Create(c FileConfig) (*File, error) {
	f, err := os.Create(c.Name)
	if err != nil {
		return nil, err
	}
	return &File{
		maxBytes:   c.MaxBytes,
		flushEach:  c.FlushEach,
		shards:     c.Shards,
		startedAt:  c.StartedAt,
		f:          f,
		w:          rulecheck.NewWriter(f, header(c.Settings, c.StartedAt)),
		nextNumber: 1,
		open:       map[*dispatch.Query]uint64{},
		endpoints:  map[uint32]gather.State{},
	}, nil
}

func header(settings *gather.Settings, startedAt float64) rulecheck.Header {
	h := rulecheck.Header{
		Recorder:      source,
		UnixStart:     startedAt,
		DrainGrace:    settings.DrainGrace,
		DeadlineSlack: settings.AnswerSlack,
		Classes:       map[string]rulecheck.Class{},
	}
	if settings.RetryBudgetWindow > 0 {
		h.Budget = &rulecheck.Budget{
			Window:      settings.RetryBudgetWindow,
			FreeRetries: settings.RetryBudgetFloor,
			Ratio:       settings.RetryBudgetRatio,
		}
	}
	for _, class := range settings.Classes {
		h.Classes[class.Name] = rulecheck.Class{
			Effect:            string(class.Effect),
			IdempotencyWindow: class.IdempotencyWindow,
			CompleteShare:     class.CompleteShare,
			MinShare:          class.MinShare,
		}
	}
	return h
}

// Close ends the file.
func (r *File) Close(at float64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end != "" {
		return nil
	}
	r.finish(at, "")
	if r.end != endClosed {
		return errors.New(r.end)
	}
	return nil
}

// write adds an event, unless the file has ended. The lock is held.
func (r *File) write(at float64, e rulecheck.Event) {
	if r.end != "" {
		return
	}
	// Two goroutines may come here in another order than they read the clock.
	r.lastEventAt = max(at-r.startedAt, r.lastEventAt)
	e.At = r.lastEventAt
	r.w.Write(e)
	if r.flushEach {
		r.w.Flush()
	}
	if r.w.BytesWritten() > r.maxBytes {
		r.finish(at, fmt.Sprintf("the record reached its %d bytes with %d lookups open", r.maxBytes, len(r.open)))
	}
}

// finish writes the last line, with the reason where the file ends before the gatherer does.
func (r *File) finish(at float64, reason string) {
	r.end = reason
	if reason == "" {
		r.end = endClosed
	}
	if err := errors.Join(r.w.Close(max(at-r.startedAt, r.lastEventAt), reason), r.f.Close()); err != nil {
		r.end = err.Error()
	}
}

// The file's words for the states of an endpoint.
var stateTexts = map[gather.State]string{
	gather.Running:  "running",
	gather.Draining: "draining",
	gather.Removed:  "gone",
}

// UpdateEndpoints records what the gatherer learnt of endpoints.
func (r *File) UpdateEndpoints(list gather.EndpointList, at float64) {
	if list.Failed {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[uint32]bool{}
	for _, s := range list.Endpoints {
		listed[s.ID] = true
		if state, known := r.endpoints[s.ID]; !known || state != s.State {
			r.endpoints[s.ID] = s.State
			r.write(at, rulecheck.Event{Kind: rulecheck.EndpointStateLearned, Server: s.ID, State: stateTexts[s.State]})
		}
	}
	if !list.Full {
		return
	}
	for id := range r.endpoints {
		if !listed[id] {
			r.write(at, rulecheck.Event{Kind: rulecheck.EndpointStateLearned, Server: id, State: stateTexts[gather.Removed]})
			delete(r.endpoints, id)
		}
	}
}

// QueryAdmitted implements dispatch.DecisionObserver.
func (r *File) QueryAdmitted(query *dispatch.Query, _ *twopass.Decision, at float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := rulecheck.Event{
		Kind:      rulecheck.QueryAdmitted,
		Query:     r.nextNumber,
		QueryName: query.ID,
		Class:     query.Class,
		Deadline:  query.Deadline - r.startedAt,
	}
	for _, request := range query.ShardRequests {
		part := rulecheck.ShardRequest{Shard: request.Shard, Weight: request.Weight}
		if r.shards > 0 {
			part.Keys = keyRange(ownership.ShardRange(request.Shard, r.shards))
		}
		e.ShardRequests = append(e.ShardRequests, part)
	}
	r.open[query] = r.nextNumber
	r.nextNumber++
	r.write(at, e)
}

// AttemptDecided implements dispatch.DecisionObserver. Only what is written counts: AttemptWritten records it.
func (r *File) AttemptDecided(*dispatch.Attempt, float64) {}

// AttemptWritten implements dispatch.WireObserver.
func (r *File) AttemptWritten(attempt *dispatch.Attempt, at float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	number, open := r.open[attempt.Query()]
	if !open {
		return
	}
	r.write(at, attemptEvent(rulecheck.AttemptSent, number, attempt))
}

// AttemptEnded implements dispatch.DecisionObserver.
func (r *File) AttemptEnded(
	attempt *dispatch.Attempt, outcome gather.Outcome, latency float64, summary *twopass.Summary,
) {
	r.mu.Lock()
	defer r.mu.Unlock()
	number, open := r.open[attempt.Query()]
	if !open || !attempt.WriteStarted() {
		return
	}
	e := attemptEvent(rulecheck.AttemptEnded, number, attempt)
	e.Outcome = outcome.String()
	e.ProvenEmpty = attempt.FirstPass() && outcome == gather.Succeeded && summary.Empty
	r.write(attempt.DecidedAt()+latency, e)
}

func attemptEvent(kind rulecheck.EventKind, query uint64, attempt *dispatch.Attempt) rulecheck.Event {
	e := rulecheck.Event{
		Kind:      kind,
		Query:     query,
		Shard:     attempt.Shard(),
		Server:    attempt.Server,
		Attempt:   attempt.Number(),
		FirstPass: attempt.FirstPass(),
	}
	if keys, _, _, owned := attempt.Ownership(); owned {
		e.Keys = keyRange(keys)
	}
	return e
}

func keyRange(r ownership.Range) *rulecheck.KeyRange { return &rulecheck.KeyRange{Lo: r.Lo, Hi: r.Hi} }

// FirstPassEnded implements dispatch.DecisionObserver. The rules do not regard passes.
func (r *File) FirstPassEnded(*dispatch.Query, *twopass.Plan, float64) {}

// QueryDecided implements dispatch.DecisionObserver. Only what is answered counts: QueryAnswered records it.
func (r *File) QueryDecided(*dispatch.Query, dispatch.Result, float64) {}

// QueryAnswered implements dispatch.WireObserver.
func (r *File) QueryAnswered(query *dispatch.Query, result dispatch.Result, at float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	number, open := r.open[query]
	if !open {
		return
	}
	delete(r.open, query)
	e := rulecheck.Event{Kind: resultEvents[result.Kind], Query: number, Complete: result.Complete}
	if result.Kind == dispatch.Served {
		r.addShards(&e, result)
	}
	r.write(at, e)
}

// The events of results.
var resultEvents = map[dispatch.ResultKind]rulecheck.EventKind{
	dispatch.Served:        rulecheck.QueryServed,
	dispatch.Rejected:      rulecheck.QueryRejected,
	dispatch.Failed:        rulecheck.QueryFailed,
	dispatch.InternalError: rulecheck.QueryFailed,
	dispatch.Abandoned:     rulecheck.QueryAbandoned,
}

// addShards adds the shards that a result stands for: those with hits, with their keys where a map says who owns
// which, and then those that were proved empty.
func (r *File) addShards(e *rulecheck.Event, result dispatch.Result) {
	for _, hit := range result.Hits {
		e.IncludedShards = append(e.IncludedShards, hit.Shard)
		if r.shards == 0 {
			continue
		}
		var keys *rulecheck.KeyRange
		if hit.Keys != nil {
			keys = keyRange(*hit.Keys)
		}
		e.IncludedKeys = append(e.IncludedKeys, keys)
	}
	e.IncludedShards = append(e.IncludedShards, result.EmptyShards...)
}
