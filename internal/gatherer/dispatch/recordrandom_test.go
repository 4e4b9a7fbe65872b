package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"yokeroute/gather"
	"yokeroute/logic/ownership"
)

// randomStore is a store in memory whose writes take a random time and fail at random.
type randomStore struct {
	t *testing.T

	mu       sync.Mutex
	random   *rand.Rand
	recorded map[string]bool
}

func (s *randomStore) MayHaveRun(id string, _ bool, _ float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recorded[id]
}

func (s *randomStore) RecordSent(ids []string, _ float64) error {
	const failureShare = 0.2
	s.mu.Lock()
	delay := time.Duration(s.random.IntN(20)) * time.Millisecond
	failed := s.random.Float64() < failureShare
	s.mu.Unlock()
	time.Sleep(delay)
	if failed {
		return errors.New("disk full")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		if s.recorded[id] {
			s.t.Errorf("ID %s is recorded twice", id)
		}
		s.recorded[id] = true
	}
	return nil
}

func (s *randomStore) RecordNotRun(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.recorded[id] {
		s.t.Errorf("RecordNotRun for ID %s, which is not recorded", id)
	}
	delete(s.recorded, id)
	return nil
}

func (s *randomStore) SaveMap(*ownership.Map) error { return nil }

// TestNonIdempotentQueriesRunOnceAfterBeingRecorded runs concurrent clients that reuse IDs, disconnect and set short
// deadlines, with a store that is slow and fails. It checks that no attempt is written before its ID is recorded, that
// at most one query of each ID runs, that no rejected query has run, and that exactly the IDs that ran are recorded in
// the end.
func TestNonIdempotentQueriesRunOnceAfterBeingRecorded(t *testing.T) {
	const (
		clients = 16
		queries = 40 // queries per client
		ids     = 150
	)
	p := newPicker(t, nil)
	store := &randomStore{t: t, random: rand.New(rand.NewPCG(1, 0)), recorded: map[string]bool{}}
	ctx, stop := context.WithCancel(t.Context())
	var roundsDone, clientsDone sync.WaitGroup
	p.SetNonIdempotentStore(store)
	ran := map[string]*Query{} // keyed by ID; only the goroutine that runs rounds accesses it
	roundsDone.Go(func() {
		random := rand.New(rand.NewPCG(2, 0))
		for {
			actions, err := p.RunRound(ctx)
			if err != nil {
				return
			}
			for _, a := range actions.Send {
				runOrSkip(t, p, store, ran, a, random)
			}
		}
	})
	rejected := make(chan *Query, clients*queries)
	counts := make([]map[ResultKind]int, clients)
	for client := range clients {
		counts[client] = map[ResultKind]int{}
		clientsDone.Go(func() {
			random := rand.New(rand.NewPCG(3, uint64(client)))
			for range queries {
				query := newNonIdempotentQuery(p, fmt.Sprint(random.IntN(ids)))
				query.Deadline = p.Now() + 20 + 80*random.Float64()
				clientCtx, disconnect := context.WithTimeout(t.Context(), time.Duration(random.IntN(120))*time.Millisecond)
				result := p.Pick(clientCtx, query)
				disconnect()
				counts[client][result.Kind]++
				if result.Kind == Rejected {
					rejected <- query
				}
			}
		})
	}
	clientsDone.Wait()
	if !p.CloseNonIdempotentStore(t.Context()) {
		t.Error("CloseNonIdempotentStore did not finish")
	}
	stop()
	roundsDone.Wait()
	checkRecordsMatchRuns(t, ran, rejected, store.recorded)
	total := map[ResultKind]int{}
	for _, c := range counts {
		for kind, n := range c {
			total[kind] += n
		}
	}
	if total[Served] < 10 || total[Rejected] < 10 || total[Failed] < 10 || total[Abandoned] < 10 {
		t.Errorf("results by kind: %v, want at least 10 each of Served, Rejected, Failed and Abandoned", total)
	}
}

// runOrSkip runs an attempt, or reports at random that it was not sent.
func runOrSkip(t *testing.T, p *Picker, store *randomStore, ran map[string]*Query, a *Attempt, random *rand.Rand) {
	const notSentShare = 0.3
	if random.Float64() < notSentShare || !a.BeginWrite() {
		p.Report(a, gather.NotSent, nil)
		return
	}
	query := a.Query()
	if !store.MayHaveRun(query.ID, false, 0) {
		t.Errorf("query %s is written before it is recorded", query.ID)
	}
	if other := ran[query.ID]; other != nil && other != query {
		t.Errorf("two queries with ID %s run", query.ID)
	}
	ran[query.ID] = query
	a.EndWrite()
	p.Report(a, gather.Succeeded, []byte("x"))
}

// checkRecordsMatchRuns checks the queries that ran against the rejected ones and the records.
func checkRecordsMatchRuns(t *testing.T, ran map[string]*Query, rejected chan *Query, recorded map[string]bool) {
	t.Helper()
	close(rejected)
	for query := range rejected {
		if ran[query.ID] == query {
			t.Errorf("query %s was rejected, but has run", query.ID)
		}
	}
	for id := range ran {
		if !recorded[id] {
			t.Errorf("query %s has run, but is not recorded", id)
		}
	}
	for id := range recorded {
		if ran[id] == nil {
			t.Errorf("ID %s is recorded, but no query with it has run", id)
		}
	}
}
