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

// gatedStore is a store in memory whose writes wait until they are let through.
type gatedStore struct {
	began chan struct{} // has a value for each write that has begun
	gate  chan struct{} // takes a value for each write, or is closed

	mu     sync.Mutex
	failed error // of writes
	sent   map[string]bool
	writes [][]string // IDs, by write
	notRun []string
	epochs []uint64
}

func newGatedStore() *gatedStore {
	return &gatedStore{began: make(chan struct{}, 100), gate: make(chan struct{}), sent: map[string]bool{}}
}

func (s *gatedStore) MayHaveRun(id string, _ bool, _ float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent[id]
}

func (s *gatedStore) RecordSent(ids []string, _ float64) error {
	s.began <- struct{}{}
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	s.writes = append(s.writes, slices.Clone(ids))
	for _, id := range ids {
		s.sent[id] = true
	}
	return nil
}

func (s *gatedStore) RecordNotRun(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sent, id)
	s.notRun = append(s.notRun, id)
	return nil
}

func (s *gatedStore) SaveMap(m *ownership.Map) error {
	s.began <- struct{}{}
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epochs = append(s.epochs, m.Epoch)
	return nil
}

func (s *gatedStore) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = err
}

// wire answers the attempts of a picker whose rounds it runs.
type wire struct {
	outcome gather.Outcome // of all attempts

	mu      sync.Mutex
	written []*Query // the query of each attempt
}

// serveRecorded runs rounds of a picker with a store until the test ends.
func serveRecorded(t *testing.T, p *Picker, store NonIdempotentStore, outcome gather.Outcome) *wire {
	p.SetNonIdempotentStore(store)
	w := &wire{outcome: outcome}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			actions, err := p.RunRound(ctx)
			if err != nil {
				return
			}
			w.answer(p, actions.Send)
		}
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return w
}

func (w *wire) answer(p *Picker, attempts []*Attempt) {
	for _, a := range attempts {
		if w.outcome == gather.NotSent || !a.BeginWrite() {
			p.Report(a, gather.NotSent, nil)
			continue
		}
		w.mu.Lock()
		w.written = append(w.written, a.Query())
		w.mu.Unlock()
		a.EndWrite()
		p.Report(a, w.outcome, []byte("x"))
	}
}

// countWritten counts the attempts of a query that were written.
func (w *wire) countWritten(query *Query) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, other := range w.written {
		if other == query {
			n++
		}
	}
	return n
}

// within fails unless a result comes in the time given, and returns it.
func within(t *testing.T, results <-chan Result, limit time.Duration) Result {
	t.Helper()
	select {
	case result := <-results:
		return result
	case <-time.After(limit):
		t.Fatalf("no result in %v", limit)
		return Result{}
	}
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not in 10 s", what)
		}
	}
}

func (q *recordQueue) countWaiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

func (q *recordQueue) countSize() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.size
}

func (p *Picker) countOpen() int {
	p.intake.mu.Lock()
	defer p.intake.mu.Unlock()
	return p.intake.open
}

const (
	longTime  = 10 * time.Second
	shortTime = time.Second
)

// newNonIdempotentQuery returns one whose deadline is far away.
func newNonIdempotentQuery(p *Picker, id string) *Query {
	query := newQuery("all", 2, p.Now()+30_000)
	query.ID = id
	return query
}

// TestOfTwoQueriesOfOneIDDuringAWriteOneRuns: the second waits for the first one's record, which tells that it may have
// run.
func TestOfTwoQueriesOfOneIDDuringAWriteOneRuns(t *testing.T) {
	p, store := newPicker(t, nil), newGatedStore()
	w := serveRecorded(t, p, store, gather.Succeeded)
	first, second, third := newNonIdempotentQuery(p, "a"), newNonIdempotentQuery(p, "a"), newNonIdempotentQuery(p, "a")
	results := []<-chan Result{pickAsync(t.Context(), p, first)}
	<-store.began
	for _, query := range []*Query{second, third} { // two for the next write
		results = append(results, pickAsync(t.Context(), p, query))
	}
	eventually(t, "both wait", func() bool { return p.records.countWaiting() == 2 })
	close(store.gate)
	if got := within(t, results[0], longTime); got.Kind != Served {
		t.Errorf("the first: %+v", got)
	}
	for _, other := range results[1:] {
		if got := within(t, other, longTime); got.Kind != Failed {
			t.Errorf("another of its ID: %+v", got)
		}
	}
	if w.countWritten(first) != 2 || w.countWritten(second)+w.countWritten(third) != 0 {
		t.Errorf("%d attempts of the first, %d, %d of the others", w.countWritten(first), w.countWritten(second), w.countWritten(third))
	}
}

// TestClientThatLeavesDuringAWriteLeavesNoRecord: it is let go at once, nothing of its query is sent, and a repeat of
// the ID runs.
func TestClientThatLeavesDuringAWriteLeavesNoRecord(t *testing.T) {
	p, store := newPicker(t, nil), newGatedStore()
	w := serveRecorded(t, p, store, gather.Succeeded)
	left, repeat := newNonIdempotentQuery(p, "a"), newNonIdempotentQuery(p, "a")
	ctx, leave := context.WithCancel(t.Context())
	results := pickAsync(ctx, p, left)
	<-store.began
	leave()
	if got := within(t, results, shortTime); got.Kind != Abandoned {
		t.Errorf("its client left: %+v", got)
	}
	results = pickAsync(t.Context(), p, repeat)
	eventually(t, "the repeat waits", func() bool { return p.records.countWaiting() == 1 })
	close(store.gate)
	if got := within(t, results, longTime); got.Kind != Served {
		t.Errorf("the repeat: %+v", got)
	}
	if w.countWritten(left) != 0 || w.countWritten(repeat) != 2 {
		t.Errorf("%d attempts of the one whose client left, %d of its repeat", w.countWritten(left), w.countWritten(repeat))
	}
}

// TestClientThatLeavesBeforeAnAttemptIsWrittenLeavesNoRecord: the module has the query, and nothing of it was sent.
func TestClientThatLeavesBeforeAnAttemptIsWrittenLeavesNoRecord(t *testing.T) {
	p, store := newPicker(t, nil), newGatedStore()
	p.SetNonIdempotentStore(store)
	close(store.gate)
	ctx, leave := context.WithCancel(t.Context())
	results := pickAsync(ctx, p, newNonIdempotentQuery(p, "a"))
	attempt := runUntilSent(t, p)
	leave()
	if got := within(t, results, shortTime); got.Kind != Abandoned {
		t.Errorf("its client left: %+v", got)
	}
	eventually(t, "no record", func() bool { return !store.MayHaveRun("a", false, 0) })
	if attempt.BeginWrite() {
		t.Error("an attempt is written after its client left")
	}
}

// decidedCounter counts the results that observers are told of queries which the module does not know.
type decidedCounter struct {
	DecisionObserver
	kinds chan ResultKind
}

func (c decidedCounter) QueryDecided(_ *Query, result Result, _ float64) { c.kinds <- result.Kind }

// TestDeadlineDuringAWriteIsKept: the query is rejected in time, with advice when to come again, and nothing is sent.
func TestDeadlineDuringAWriteIsKept(t *testing.T) {
	p, store := newPicker(t, nil), newGatedStore()
	observer := decidedCounter{kinds: make(chan ResultKind, 1)}
	p.ObserveDecisions(observer)
	w := serveRecorded(t, p, store, gather.Succeeded)
	query := newNonIdempotentQuery(p, "a")
	query.Deadline = p.Now() + 300
	results := pickAsync(t.Context(), p, query)
	<-store.began
	got := within(t, results, shortTime)
	if now := p.Now(); got.Kind != Rejected || got.RetryAfter <= 0 || now >= query.Deadline {
		t.Errorf("%+v, %.1f ms after the deadline", got, now-query.Deadline)
	}
	if kind := <-observer.kinds; kind != Rejected {
		t.Errorf("observers are told of kind %d", kind)
	}
	close(store.gate)
	eventually(t, "the record ends", func() bool {
		store.mu.Lock()
		defer store.mu.Unlock()
		return slices.Equal(store.notRun, []string{"a"}) && !store.sent["a"]
	})
	if open, waiting := p.countOpen(), p.records.countSize(); w.countWritten(query) != 0 || open != 0 || waiting != 0 {
		t.Errorf("%d attempts written, %d open, %d waiting", w.countWritten(query), open, waiting)
	}
}

// TestFailedWriteSendsNothingAndLeavesNoRecord: the client is told to come again, and is served then.
func TestFailedWriteSendsNothingAndLeavesNoRecord(t *testing.T) {
	p, store := newPicker(t, nil), newGatedStore()
	w := serveRecorded(t, p, store, gather.Succeeded)
	close(store.gate)
	store.fail(errors.New("disk full"))
	query := newNonIdempotentQuery(p, "a")
	got := within(t, pickAsync(t.Context(), p, query), longTime)
	if got.Kind != Rejected || got.RetryAfter <= 0 || w.countWritten(query) != 0 {
		t.Errorf("%+v, %d attempts written", got, w.countWritten(query))
	}
	store.fail(nil)
	again := newNonIdempotentQuery(p, "a")
	if got := within(t, pickAsync(t.Context(), p, again), longTime); got.Kind != Served {
		t.Errorf("once the disk is well: %+v", got)
	}
}

// TestRejectedQueryLeavesNoRecord: the module rejects a query of which nothing was written.
func TestRejectedQueryLeavesNoRecord(t *testing.T) {
	p, store := newPicker(t, nil), newGatedStore()
	serveRecorded(t, p, store, gather.NotSent)
	close(store.gate)
	query := newNonIdempotentQuery(p, "a")
	query.Deadline = p.Now() + 300
	if got := within(t, pickAsync(t.Context(), p, query), longTime); got.Kind != Rejected {
		t.Errorf("%+v", got)
	}
	eventually(t, "no record", func() bool { return !store.MayHaveRun("a", false, 0) })
}

// TestQueriesThatWaitShareAWriteAndAreBounded: the fifth of four is rejected at once, and idempotent ones find room.
func TestQueriesThatWaitShareAWriteAndAreBounded(t *testing.T) {
	const size = 3 // of a query with its two shard requests
	p := newPicker(t, func(s *gather.Settings) { s.MaxOpenRequests = 4 * 4 * size })
	store := newGatedStore()
	w := serveRecorded(t, p, store, gather.Succeeded)
	results := []<-chan Result{pickAsync(t.Context(), p, newNonIdempotentQuery(p, "a"))}
	<-store.began
	for _, id := range []string{"b", "c", "d"} {
		results = append(results, pickAsync(t.Context(), p, newNonIdempotentQuery(p, id)))
	}
	eventually(t, "three wait", func() bool { return p.records.countWaiting() == 3 })
	refused := newNonIdempotentQuery(p, "e")
	if got := within(t, pickAsync(t.Context(), p, refused), shortTime); got.Kind != Rejected || got.RetryAfter <= 0 {
		t.Errorf("one too many: %+v", got)
	}
	idempotent := newQuery("any", 2, p.Now()+30_000)
	idempotent.ID = "f"
	if got := within(t, pickAsync(t.Context(), p, idempotent), shortTime); got.Kind != Served {
		t.Errorf("an idempotent query: %+v", got)
	}
	close(store.gate)
	for i, result := range results {
		if got := within(t, result, longTime); got.Kind != Served {
			t.Errorf("number %d: %+v", i, got)
		}
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	if len(store.writes) != 2 || w.countWritten(refused) != 0 {
		t.Errorf("writes of %v, two expected; %d attempts of the refused one", store.writes, w.countWritten(refused))
	}
}

// TestSlowDiskDelaysNoRoundWithANewMap guards against rounds that wait until a new segment map is stored.
func TestSlowDiskDelaysNoRoundWithANewMap(t *testing.T) {
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
		case <-time.After(shortTime):
			t.Error("a round waits for the disk")
			store.gate <- struct{}{}
			<-ended
		}
		if epoch == 0 {
			<-store.began
		}
	}
	close(store.gate)
	if !p.CloseNonIdempotentStore(t.Context()) || !slices.Equal(store.epochs, []uint64{2, 4}) {
		t.Errorf("epochs %v are stored, those of the first write and the newest expected", store.epochs)
	}
}

// TestStoreIsNotClosedDuringAWrite: the end of the process does not wait for a disk that hangs, and nothing is taken in
// any more.
func TestStoreIsNotClosedDuringAWrite(t *testing.T) {
	p, store := newPicker(t, nil), newGatedStore()
	serveRecorded(t, p, store, gather.Succeeded)
	results := pickAsync(t.Context(), p, newNonIdempotentQuery(p, "a"))
	<-store.began
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if p.CloseNonIdempotentStore(ctx) {
		t.Error("closed during a write")
	}
	if got := within(t, pickAsync(t.Context(), p, newNonIdempotentQuery(p, "b")), shortTime); got.Kind != Rejected {
		t.Errorf("after the end: %+v", got)
	}
	close(store.gate)
	if got := within(t, results, longTime); got.Kind != Served {
		t.Errorf("recorded before the end: %+v", got)
	}
	if !p.CloseNonIdempotentStore(t.Context()) {
		t.Error("not closed after the write")
	}
}
