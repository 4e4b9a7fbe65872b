package dispatch

import (
	"context"
	"testing"
	"time"

	"yokeroute/logic/ownership"
)

// slowStore is a store whose disk writes nothing until it is released.
type slowStore struct {
	writing  chan struct{} // has a value once a write has begun
	released chan struct{}
}

// MayHaveRun implements NonIdempotentStore.
func (s *slowStore) MayHaveRun(string, bool, float64) bool { return false }

// RecordSent implements NonIdempotentStore.
func (s *slowStore) RecordSent([]string, float64) error {
	s.writing <- struct{}{}
	<-s.released
	return nil
}

// RecordNotRun implements NonIdempotentStore.
func (s *slowStore) RecordNotRun(string) error { return nil }

// SaveMap implements NonIdempotentStore.
func (s *slowStore) SaveMap(*ownership.Map) error { return nil }

// sendAll runs rounds until ctx ends, and hands on the IDs of the queries whose attempts they send.
func sendAll(ctx context.Context, p *Picker, sent chan<- string) {
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

// TestSlowDiskDelaysNoIdempotentQuery guards against a gatherer that answers nothing while its disk writes the ID of
// one non-idempotent query: idempotent queries need no record.
func TestSlowDiskDelaysNoIdempotentQuery(t *testing.T) {
	p := newPicker(t, nil)
	store := &slowStore{writing: make(chan struct{}, 1), released: make(chan struct{})}
	p.SetNonIdempotentStore(store)
	ctx, stop := context.WithCancel(t.Context())
	sent := make(chan string, 100)
	ended := make(chan struct{})
	go func() {
		sendAll(ctx, p, sent)
		close(ended)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	recorded := newQuery("all", 2, p.Now()+3000)
	pickAsync(ctx, p, recorded)
	<-store.writing
	idempotent := newQuery("any", 2, p.Now()+3000)
	idempotent.ID = "b"
	pickAsync(ctx, p, idempotent)
	select {
	case id := <-sent:
		if id != idempotent.ID {
			t.Errorf("%s is sent before it is recorded", id)
		}
	case <-time.After(time.Second):
		t.Error("an idempotent query is not sent for 1 s, while the disk writes")
	}
	close(store.released)
}
