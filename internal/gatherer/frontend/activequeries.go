package frontend

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// activeQueries are the queries being decided, by request ID. Two of one ID could not be told apart at the shard
// servers, so that an ID is held by one query at a time.
type activeQueries struct {
	mu   sync.Mutex
	byID map[string]*activeQuery
}

// activeQuery is a query that holds its ID.
type activeQuery struct {
	client    context.Context
	done      chan struct{} // closed at its end
	abandoned bool          // set before done is closed: the client had gone by then
}

// acquire takes an ID. A client whose connection was closed under its request repeats the request and may arrive
// before the first one has ended: the repeat waits for that, readBodyTimeout at most. Where the first one was
// answered, its client was still there; the second client is another one and has no right to the ID.
func (a *activeQueries) acquire(ctx context.Context, id string) (*activeQuery, error) {
	limit := time.NewTimer(readBodyTimeout)
	defer limit.Stop()
	errInUse := &requestError{http.StatusConflict, "a lookup of this X-Request-ID is in hand"}
	for {
		query, first := a.tryAcquire(ctx, id)
		if query != nil {
			return query, nil
		}
		select {
		case <-first.done:
			if !first.abandoned {
				return nil, errInUse
			}
		case <-limit.C:
			return nil, errInUse
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// tryAcquire returns a new query that holds the ID, or the one that holds it already.
func (a *activeQueries) tryAcquire(ctx context.Context, id string) (acquired, holder *activeQuery) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if holder = a.byID[id]; holder != nil {
		return nil, holder
	}
	acquired = &activeQuery{client: ctx, done: make(chan struct{})}
	a.byID[id] = acquired
	return acquired, nil
}

// release gives an ID back.
func (a *activeQueries) release(id string, query *activeQuery) {
	a.mu.Lock()
	defer a.mu.Unlock()
	query.abandoned = query.client.Err() != nil
	close(query.done)
	delete(a.byID, id)
}
