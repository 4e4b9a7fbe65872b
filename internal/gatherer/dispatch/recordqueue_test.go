package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"yokeroute/gather"
	"yokeroute/logic/ownership"
)

// gatedStore is a store in memory whose writes block until the test lets them proceed.
type gatedStore struct {
	writeStarted chan struct{} // receives a value when a write starts
	gate         chan struct{} // each write waits for a value, until it is closed

	mu         sync.Mutex
	writeError error // returned by RecordSent if set
	recorded   map[string]bool
	writes     [][]string // IDs of each write
	notRun     []string
	epochs     []uint64
}

func newGatedStore() *gatedStore {
	return &gatedStore{writeStarted: make(chan struct{}, 100), gate: make(chan struct{}), recorded: map[string]bool{}}
}

func (s *gatedStore) MayHaveRun(id string, _ bool, _ float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recorded[id]
}

func (s *gatedStore) RecordSent(ids []string, _ float64) error {
	s.writeStarted <- struct{}{}
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeError != nil {
		return s.writeError
	}
	s.writes = append(s.writes, slices.Clone(ids))
	for _, id := range ids {
		s.recorded[id] = true
	}
	return nil
}

func (s *gatedStore) RecordNotRun(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.recorded, id)
	s.notRun = append(s.notRun, id)
	return nil
}

func (s *gatedStore) SaveMap(m *ownership.Map) error {
	s.writeStarted <- struct{}{}
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epochs = append(s.epochs, m.Epoch)
	return nil
}

func (s *gatedStore) setWriteError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeError = err
}

// attemptServer runs a picker's rounds and answers its attempts.
type attemptServer struct {
	outcome gather.Outcome // reported for each attempt

	mu      sync.Mutex
	written []*Query // the query of each attempt written
}

// serveRecorded runs rounds of a picker with a store until the test ends, and reports outcome for each attempt.
func serveRecorded(t *testing.T, p *Picker, store NonIdempotentStore, outcome gather.Outcome) *attemptServer {
	p.SetNonIdempotentStore(store)
	server := &attemptServer{outcome: outcome}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			actions, err := p.RunRound(ctx)
			if err != nil {
				return
			}
			server.handleAttempts(p, actions.Send)
		}
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return server
}

func (s *attemptServer) handleAttempts(p *Picker, attempts []*Attempt) {
	for _, a := range attempts {
		if s.outcome == gather.NotSent || !a.BeginWrite() {
			p.Report(a, gather.NotSent, nil)
			continue
		}
		s.mu.Lock()
		s.written = append(s.written, a.Query())
		s.mu.Unlock()
		a.EndWrite()
		p.Report(a, s.outcome, []byte("x"))
	}
}

// countWritten counts the attempts of a query that were written.
func (s *attemptServer) countWritten(query *Query) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, other := range s.written {
		if other == query {
			n++
		}
	}
	return n
}

// awaitResult returns the next result. It fails the test if none arrives within limit.
func awaitResult(t *testing.T, results <-chan Result, limit time.Duration) Result {
	t.Helper()
	select {
	case result := <-results:
		return result
	case <-time.After(limit):
		t.Fatalf("no result within %v", limit)
		return Result{}
	}
}

// eventually waits until holds returns true. It fails the test if that takes more than 10 s.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within 10 s", condition)
		}
	}
}

func (q *recordQueue) waitingCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

func (q *recordQueue) waitingSize() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.size
}

func (p *Picker) openRequestCount() int {
	p.intake.mu.Lock()
	defer p.intake.mu.Unlock()
	return p.intake.openRequests
}

const (
	longTimeout  = 10 * time.Second
	shortTimeout = time.Second
)

// newNonIdempotentQuery returns a non-idempotent query with two shard requests and a deadline in 30 s.
func newNonIdempotentQuery(p *Picker, id string) *Query {
	query := newQuery("all", 2, p.Now()+30_000)
	query.ID = id
	return query
}

// TestOnlyOneOfConcurrentQueriesWithSameIDRuns guards against running several queries with the same ID that arrive
// during one write. The later ones must wait for the first one's record and fail, because the first may have run.
func TestOnlyOneOfConcurrentQueriesWithSameIDRuns(t *testing.T) {
	p, store := newPicker(t, nil), newGatedStore()
	server := serveRecorded(t, p, store, gather.Succeeded)
	first, second, third := newNonIdempotentQuery(p, "a"), newNonIdempotentQuery(p, "a"), newNonIdempotentQuery(p, "a")
	results := []<-chan Result{pickAsync(t.Context(), p, first)}
	<-store.writeStarted
	for _, query := range []*Query{second, third} { // both wait for the next write
		results = append(results, pickAsync(t.Context(), p, query))
	}
	eventually(t, "both later queries wait", func() bool { return p.records.waitingCount() == 2 })
	close(store.gate)
	if got := awaitResult(t, results[0], longTimeout); got.Kind != Served {
		t.Errorf("first query: %+v, want Served", got)
	}
	for _, other := range results[1:] {
		if got := awaitResult(t, other, longTimeout); got.Kind != Failed {
			t.Errorf("later query with the same ID: %+v, want Failed", got)
		}
	}
	if server.countWritten(first) != 2 || server.countWritten(second)+server.countWritten(third) != 0 {
		t.Errorf("%d attempts of the first query, %d and %d of the later ones, want 2, 0 and 0",
			server.countWritten(first), server.countWritten(second), server.countWritten(third))
	}
}

// TestQueryAbandonedDuringRecordWriteLeavesNoRecord guards against a client that cannot retry its query after it
// disconnected during the write of the record. Pick returns at once, no attempt is sent, and a retry with the same ID
// runs.
func TestQueryAbandonedDuringRecordWriteLeavesNoRecord(t *testing.T) {
	p, store := newPicker(t, nil), newGatedStore()
	server := serveRecorded(t, p, store, gather.Succeeded)
	abandoned, repeat := newNonIdempotentQuery(p, "a"), newNonIdempotentQuery(p, "a")
	ctx, disconnect := context.WithCancel(t.Context())
	results := pickAsync(ctx, p, abandoned)
	<-store.writeStarted
	disconnect()
	if got := awaitResult(t, results, shortTimeout); got.Kind != Abandoned {
		t.Errorf("abandoned query: %+v, want Abandoned", got)
	}
	results = pickAsync(t.Context(), p, repeat)
	eventually(t, "the retry waits", func() bool { return p.records.waitingCount() == 1 })
	close(store.gate)
	if got := awaitResult(t, results, longTimeout); got.Kind != Served {
		t.Errorf("retry: %+v, want Served", got)
	}
	if server.countWritten(abandoned) != 0 || server.countWritten(repeat) != 2 {
		t.Errorf("%d attempts of the abandoned query, %d of its retry, want 0 and 2",
			server.countWritten(abandoned), server.countWritten(repeat))
	}
}

// TestQueryAbandonedBeforeAttemptIsWrittenLeavesNoRecord guards against keeping the record of a query whose client
// disconnected after the module decided on an attempt, but before any attempt was written.
func TestQueryAbandonedBeforeAttemptIsWrittenLeavesNoRecord(t *testing.T) {
	p, store := newPicker(t, nil), newGatedStore()
	p.SetNonIdempotentStore(store)
	close(store.gate)
	ctx, disconnect := context.WithCancel(t.Context())
	results := pickAsync(ctx, p, newNonIdempotentQuery(p, "a"))
	attempt := runUntilSent(t, p)
	disconnect()
	if got := awaitResult(t, results, shortTimeout); got.Kind != Abandoned {
		t.Errorf("abandoned query: %+v, want Abandoned", got)
	}
	eventually(t, "no record", func() bool { return !store.MayHaveRun("a", false, 0) })
	if attempt.BeginWrite() {
		t.Error("BeginWrite permits an attempt after the client disconnected")
	}
}

// resultKindObserver passes on the kind of each result that observers are notified of.
type resultKindObserver struct {
	DecisionObserver
	kinds chan ResultKind
}

func (c resultKindObserver) QueryDecided(_ *Query, result Result, _ float64) { c.kinds <- result.Kind }

// TestQueryIsRejectedInTimeDuringRecordWrite guards against a query that waits for the disk beyond its deadline. It
// must be rejected before the deadline with RetryAfter, no attempt sent, and its record removed.
func TestQueryIsRejectedInTimeDuringRecordWrite(t *testing.T) {
	p, store := newPicker(t, nil), newGatedStore()
	observer := resultKindObserver{kinds: make(chan ResultKind, 1)}
	p.ObserveDecisions(observer)
	server := serveRecorded(t, p, store, gather.Succeeded)
	query := newNonIdempotentQuery(p, "a")
	query.Deadline = p.Now() + 300
	results := pickAsync(t.Context(), p, query)
	<-store.writeStarted
	got := awaitResult(t, results, shortTimeout)
	if now := p.Now(); got.Kind != Rejected || got.RetryAfter <= 0 || now >= query.Deadline {
		t.Errorf("%+v, %.1f ms after the deadline, want Rejected with RetryAfter before it", got, now-query.Deadline)
	}
	if kind := <-observer.kinds; kind != Rejected {
		t.Errorf("observers are notified of result kind %d, want Rejected", kind)
	}
	close(store.gate)
	eventually(t, "the record is removed", func() bool {
		store.mu.Lock()
		defer store.mu.Unlock()
		return slices.Equal(store.notRun, []string{"a"}) && !store.recorded["a"]
	})
	if open, waiting := p.openRequestCount(), p.records.waitingSize(); server.countWritten(query) != 0 || open != 0 ||
		waiting != 0 {
		t.Errorf("%d attempts written, %d open requests, waiting size %d, want 0 of each",
			server.countWritten(query), open, waiting)
	}
}

// TestFailedRecordWriteRejectsQuery guards against sending a query whose record was not written, and against keeping
// its ID as sent. The query is rejected with RetryAfter, and a retry is served.
func TestFailedRecordWriteRejectsQuery(t *testing.T) {
	p, store := newPicker(t, nil), newGatedStore()
	server := serveRecorded(t, p, store, gather.Succeeded)
	close(store.gate)
	store.setWriteError(errors.New("disk full"))
	query := newNonIdempotentQuery(p, "a")
	got := awaitResult(t, pickAsync(t.Context(), p, query), longTimeout)
	if got.Kind != Rejected || got.RetryAfter <= 0 || server.countWritten(query) != 0 {
		t.Errorf("%+v, %d attempts written, want Rejected with RetryAfter and 0 attempts", got, server.countWritten(query))
	}
	store.setWriteError(nil)
	again := newNonIdempotentQuery(p, "a")
	if got := awaitResult(t, pickAsync(t.Context(), p, again), longTimeout); got.Kind != Served {
		t.Errorf("retry after the disk recovered: %+v, want Served", got)
	}
}

// TestRejectedQueryLeavesNoRecord guards against keeping the record of a query that the module rejects after none of
// its attempts was written.
func TestRejectedQueryLeavesNoRecord(t *testing.T) {
	p, store := newPicker(t, nil), newGatedStore()
	serveRecorded(t, p, store, gather.NotSent)
	close(store.gate)
	query := newNonIdempotentQuery(p, "a")
	query.Deadline = p.Now() + 300
	if got := awaitResult(t, pickAsync(t.Context(), p, query), longTimeout); got.Kind != Rejected {
		t.Errorf("%+v, want Rejected", got)
	}
	eventually(t, "no record", func() bool { return !store.MayHaveRun("a", false, 0) })
}

// TestWaitingQueriesShareOneWriteAndAreBounded checks that queries that arrive during a write share the next one, that
// a fifth non-idempotent query is rejected at once where four may wait or be written, and that idempotent queries are
// still admitted.
func TestWaitingQueriesShareOneWriteAndAreBounded(t *testing.T) {
	const size = 3 // open requests of one query: itself and its two shard requests
	p := newPicker(t, func(s *gather.Settings) { s.MaxOpenRequests = 4 * 4 * size })
	store := newGatedStore()
	server := serveRecorded(t, p, store, gather.Succeeded)
	results := []<-chan Result{pickAsync(t.Context(), p, newNonIdempotentQuery(p, "a"))}
	<-store.writeStarted
	for _, id := range []string{"b", "c", "d"} {
		results = append(results, pickAsync(t.Context(), p, newNonIdempotentQuery(p, id)))
	}
	eventually(t, "three queries wait", func() bool { return p.records.waitingCount() == 3 })
	excess := newNonIdempotentQuery(p, "e")
	if got := awaitResult(t, pickAsync(t.Context(), p, excess), shortTimeout); got.Kind != Rejected ||
		got.RetryAfter <= 0 {
		t.Errorf("query beyond the limit: %+v, want Rejected with RetryAfter", got)
	}
	idempotent := newQuery("any", 2, p.Now()+30_000)
	idempotent.ID = "f"
	if got := awaitResult(t, pickAsync(t.Context(), p, idempotent), shortTimeout); got.Kind != Served {
		t.Errorf("idempotent query: %+v, want Served", got)
	}
	close(store.gate)
	for i, result := range results {
		if got := awaitResult(t, result, longTimeout); got.Kind != Served {
			t.Errorf("non-idempotent query %d: %+v, want Served", i, got)
		}
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	if len(store.writes) != 2 || server.countWritten(excess) != 0 {
		t.Errorf("writes of IDs %v, want 2 writes; %d attempts of the rejected query, want 0",
			store.writes, server.countWritten(excess))
	}
}

// TestSlowDiskDoesNotDelayRoundWithNewMap guards against rounds that wait until a new segment map is stored. Maps that
// arrive during a write replace each other, so that only the newest is written next.
func TestSlowDiskDoesNotDelayRoundWithNewMap(t *testing.T) {
	p, m := newOwnershipPicker(t, nil)
	store := newGatedStore()
	p.SetNonIdempotentStore(store)
	for epoch := range 3 {
		change, err := m.MoveSegment("s0", []string{"h0"})
		if epoch%2 == 1 {
			change, err = m.MoveSegment("s0", []string{"h0", "h1"})
		}
		m = applyChange(t, p, m, change, err)
		ended := make(chan struct{})
		go func() {
			p.runRound(1005 + 5*float64(epoch))
			close(ended)
		}()
		select {
		case <-ended:
		case <-time.After(shortTimeout):
			t.Error("a round with a new map waits for the disk")
			store.gate <- struct{}{}
			<-ended
		}
		if epoch == 0 {
			<-store.writeStarted
		}
	}
	close(store.gate)
	if !p.CloseNonIdempotentStore(t.Context()) || !slices.Equal(store.epochs, []uint64{2, 4}) {
		t.Errorf("maps of epochs %v stored, want those of the first write and the newest: 2 and 4", store.epochs)
	}
}

// TestStoreIsNotClosedDuringWrite guards against a shutdown that waits for a disk that hangs. Closing returns false
// when its context ends, and the queue accepts no new record after that.
func TestStoreIsNotClosedDuringWrite(t *testing.T) {
	p, store := newPicker(t, nil), newGatedStore()
	serveRecorded(t, p, store, gather.Succeeded)
	results := pickAsync(t.Context(), p, newNonIdempotentQuery(p, "a"))
	<-store.writeStarted
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if p.CloseNonIdempotentStore(ctx) {
		t.Error("CloseNonIdempotentStore returned true during a write")
	}
	if got := awaitResult(t, pickAsync(t.Context(), p, newNonIdempotentQuery(p, "b")), shortTimeout); got.Kind != Rejected {
		t.Errorf("query after closing: %+v, want Rejected", got)
	}
	close(store.gate)
	if got := awaitResult(t, results, longTimeout); got.Kind != Served {
		t.Errorf("query whose write began before closing: %+v, want Served", got)
	}
	if !p.CloseNonIdempotentStore(t.Context()) {
		t.Error("CloseNonIdempotentStore returned false after the write")
	}
}
