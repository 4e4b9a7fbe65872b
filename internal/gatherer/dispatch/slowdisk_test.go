package dispatch

import (
	"context"
	"testing"
	"time"

	"yokeroute/logic/ownership"
)

// slowStore is a store whose writes block until unblock is closed.
type slowStore struct {
	writeStarted chan struct{} // receives a value when a write starts
	unblock      chan struct{}
}

// MayHaveRun implements NonIdempotentStore.
func (s *slowStore) MayHaveRun(string, bool, float64) bool { return false }

// RecordSent implements NonIdempotentStore.
func (s *slowStore) RecordSent([]string, float64) error {
	s.writeStarted <- struct{}{}
	<-s.unblock
	return nil
}

// RecordNotRun implements NonIdempotentStore.
func (s *slowStore) RecordNotRun(string) error { return nil }

// SaveMap implements NonIdempotentStore.
func (s *slowStore) SaveMap(*ownership.Map) error { return nil }

// runRounds runs rounds until ctx ends and sends the query ID of each attempt to sent.
func runRounds(ctx context.Context, p *Picker, sent chan<- string) {
	for {
		actions, err := p.RunRound(ctx)
		if err != nil {
			return
		}
		for _, a := range actions.Send {
			sent <- a.Query().ID
		}
	}
}

// TestSlowDiskDoesNotDelayIdempotentQuery guards against a gatherer that stops sending any queries while its disk
// writes the ID of one non-idempotent query. Idempotent queries need no record.
func TestSlowDiskDoesNotDelayIdempotentQuery(t *testing.T) {
	p := newPicker(t, nil)
	store := &slowStore{writeStarted: make(chan struct{}, 1), unblock: make(chan struct{})}
	p.SetNonIdempotentStore(store)
	ctx, stop := context.WithCancel(t.Context())
	sent := make(chan string, 100)
	ended := make(chan struct{})
	go func() {
		runRounds(ctx, p, sent)
		close(ended)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	recorded := newQuery("all", 2, p.Now()+3000)
	pickAsync(ctx, p, recorded)
	<-store.writeStarted
	idempotent := newQuery("any", 2, p.Now()+3000)
	idempotent.ID = "b"
	pickAsync(ctx, p, idempotent)
	select {
	case id := <-sent:
		if id != idempotent.ID {
			t.Errorf("query %s is sent before it is recorded", id)
		}
	case <-time.After(time.Second):
		t.Error("an idempotent query is not sent within 1 s while the disk writes")
	}
	close(store.unblock)
}
