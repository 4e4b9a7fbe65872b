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

// randomStore is a disk that takes its time, and fails now and then.
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
			s.t.Errorf("%s is recorded twice", id)
		}
		s.recorded[id] = true
	}
	return nil
}

func (s *randomStore) RecordNotRun(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.recorded[id] {
		s.t.Errorf("the record of %s ends, and there is none", id)
	}
	delete(s.recorded, id)
	return nil
}

func (s *randomStore) SaveMap(*ownership.Map) error { return nil }

// TestNonIdempotentQueriesRunOnceBehindTheirRecord plays clients that share IDs, leave, and give little time, beside a
// disk that is slow and fails. No attempt is written before its ID is recorded, of the queries of an ID one runs, a query
// that is rejected has not run, and in the end just those IDs are recorded of which one has run.
func TestNonIdempotentQueriesRunOnceBehindTheirRecord(t *testing.T) {
	const (
		clients = 16
		queries = 40 // of each client
		ids     = 150
	)
	p := newPicker(t, nil)
	store := &randomStore{t: t, random: rand.New(rand.NewPCG(1, 0)), recorded: map[string]bool{}}
	ctx, stop := context.WithCancel(t.Context())
	var serving, playing sync.WaitGroup
	p.SetNonIdempotentStore(store)
	ran := map[string]*Query{} // by ID; it belongs to the goroutine that runs rounds
	serving.Go(func() {
		random := rand.New(rand.NewPCG(2, 0))
		for {
			actions, err := p.RunRound(ctx)
			if err != nil {
				return
			}
			for _, a := range actions.Send {
				runRandomly(t, p, store, ran, a, random)
			}
		}
	})
	rejected := make(chan *Query, clients*queries)
	counts := make([]map[ResultKind]int, clients)
	for client := range clients {
		counts[client] = map[ResultKind]int{}
		playing.Go(func() {
			random := rand.New(rand.NewPCG(3, uint64(client)))
			for range queries {
				query := newNonIdempotentQuery(p, fmt.Sprint(random.IntN(ids)))
				query.Deadline = p.Now() + 20 + 80*random.Float64()
				patience, leave := context.WithTimeout(t.Context(), time.Duration(random.IntN(120))*time.Millisecond)
				result := p.Pick(patience, query)
				leave()
				counts[client][result.Kind]++
				if result.Kind == Rejected {
					rejected <- query
				}
			}
		})
	}
	playing.Wait()
	if !p.CloseNonIdempotentStore(t.Context()) {
		t.Error("not closed")
	}
	stop()
	serving.Wait()
	checkRan(t, ran, rejected, store.recorded)
	total := map[ResultKind]int{}
	for _, c := range counts {
		for kind, n := range c {
			total[kind] += n
		}
	}
	if total[Served] < 10 || total[Rejected] < 10 || total[Failed] < 10 || total[Abandoned] < 10 {
		t.Errorf("results by kind: %v, ten of each expected", total)
	}
}

// runRandomly runs an attempt, or reports that it was not sent.
func runRandomly(t *testing.T, p *Picker, store *randomStore, ran map[string]*Query, a *Attempt, random *rand.Rand) {
	const notSentShare = 0.3
	if random.Float64() < notSentShare || !a.BeginWrite() {
		p.Report(a, gather.NotSent, nil)
		return
	}
	query := a.Query()
	if !store.MayHaveRun(query.ID, false, 0) {
		t.Errorf("%s is written before its record", query.ID)
	}
	if other := ran[query.ID]; other != nil && other != query {
		t.Errorf("two queries of ID %s run", query.ID)
	}
	ran[query.ID] = query
	a.EndWrite()
	p.Report(a, gather.Succeeded, []byte("x"))
}

// checkRan checks what ran against the results and the records.
func checkRan(t *testing.T, ran map[string]*Query, rejected chan *Query, recorded map[string]bool) {
	t.Helper()
	close(rejected)
	for query := range rejected {
		if ran[query.ID] == query {
			t.Errorf("a query of ID %s is rejected and has run", query.ID)
		}
	}
	for id := range ran {
		if !recorded[id] {
			t.Errorf("%s has run and is not recorded", id)
		}
	}
	for id := range recorded {
		if ran[id] == nil {
			t.Errorf("%s is recorded, and no query of it has run", id)
		}
	}
}
