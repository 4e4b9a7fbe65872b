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

// recorderName identifies the program that wrote the file in the file's header.
const recorderName = "yokeroute serve"

// FileConfig configures a File.
type FileConfig struct {
	Name     string
	MaxBytes int64
	Settings *gather.Settings

	// FlushEach passes each event to the operating system at once, so that the file of a killed process lacks only its
	// last line. Each event costs a system call.
	FlushEach bool

	// Shards is the number of shards that divide the keys if a segment map assigns owners to them; 0 without a map.
	Shards int

	StartedAt float64 // time 0 of the file, in Unix milliseconds
}

// File records all queries and attempts of a gatherer in the format that package rulecheck checks. It implements
// dispatch.DecisionObserver and dispatch.WireObserver: an attempt is recorded when its first byte is written, and a
// result when no byte of an attempt can follow it. Attempts that were decided but never written are omitted.
type File struct {
	maxBytes  int64
	flushEach bool
	shards    int
	startedAt float64

	mu          sync.Mutex
	f           *os.File
	w           *rulecheck.Writer
	lastEventAt float64
	endReason   string // why the file was finished; empty while it is being written
	nextNumber  uint64 // number of the next query
	open        map[*dispatch.Query]uint64
	endpoints   map[uint32]recordedEndpoint
}

// recordedEndpoint is what was last recorded of an endpoint, and the newest start time of its process.
type recordedEndpoint struct {
	state     gather.State
	startedAt float64 // Unix milliseconds, 0 if only reported as long ago
}

// endClosed is the endReason of a file that was closed without an error.
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
		endpoints:  map[uint32]recordedEndpoint{},
	}, nil
}

func header(settings *gather.Settings, startedAt float64) rulecheck.Header {
	h := rulecheck.Header{
		Recorder:      recorderName,
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

// Close finishes the file. It returns nil if the file was finished before.
func (r *File) Close(at float64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endReason != "" {
		return nil
	}
	r.finish(at, "")
	if r.endReason != endClosed {
		return errors.New(r.endReason)
	}
	return nil
}

// write adds an event, unless the file is finished. The caller holds r.mu.
func (r *File) write(at float64, e rulecheck.Event) {
	if r.endReason != "" {
		return
	}
	// Goroutines may acquire the lock in a different order than they read the clock, so times are kept monotonic.
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

// finish writes the last line and closes the file. The reason is empty unless the file ends before the gatherer does.
func (r *File) finish(at float64, reason string) {
	r.endReason = reason
	if reason == "" {
		r.endReason = endClosed
	}
	if err := errors.Join(r.w.Close(max(at-r.startedAt, r.lastEventAt), reason), r.f.Close()); err != nil {
		r.endReason = err.Error()
	}
}

// stateTexts contains the names of endpoint states in the file.
var stateTexts = map[gather.State]string{
	gather.Running:  "running",
	gather.Draining: "draining",
	gather.Removed:  "gone",
}

// UpdateEndpoints records the changes of endpoint states, and the restarts, that the gatherer has received.
func (r *File) UpdateEndpoints(list gather.EndpointList, at float64) {
	if list.Failed {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[uint32]bool{}
	for _, s := range list.Endpoints {
		listed[s.ID] = true
		known, isKnown := r.endpoints[s.ID]
		if !isKnown || known.state != s.State || gather.Restarted(known.startedAt, s.StartedAt) {
			r.endpoints[s.ID] = recordedEndpoint{s.State, gather.NewestStart(known.startedAt, s.StartedAt)}
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
		recorded := rulecheck.ShardRequest{Shard: request.Shard, Weight: request.Weight}
		if r.shards > 0 {
			recorded.Keys = keyRange(ownership.ShardRange(request.Shard, r.shards))
		}
		e.ShardRequests = append(e.ShardRequests, recorded)
	}
	r.open[query] = r.nextNumber
	r.nextNumber++
	r.write(at, e)
}

// AttemptDecided implements dispatch.DecisionObserver. It does nothing: AttemptWritten records the attempts that are
// written.
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

// FirstPassEnded implements dispatch.DecisionObserver. It does nothing, since no rule depends on the end of a first
// pass.
func (r *File) FirstPassEnded(*dispatch.Query, *twopass.Plan, float64) {}

// QueryDecided implements dispatch.DecisionObserver. It does nothing: QueryAnswered records the results.
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

// resultEvents contains the event that is recorded for each kind of result.
var resultEvents = map[dispatch.ResultKind]rulecheck.EventKind{
	dispatch.Served:        rulecheck.QueryServed,
	dispatch.Rejected:      rulecheck.QueryRejected,
	dispatch.Failed:        rulecheck.QueryFailed,
	dispatch.InternalError: rulecheck.QueryFailed,
	dispatch.Abandoned:     rulecheck.QueryAbandoned,
}

// addShards adds the shards that a result covers: first those with hits, together with their keys if there is a segment
// map, and then those that were proved empty.
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
