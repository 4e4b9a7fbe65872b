package frontend

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// activeQueries holds the queries in flight by request ID. Shard servers could not distinguish two queries with the
// same ID, so only one query at a time holds an ID.
type activeQueries struct {
	mu   sync.Mutex
	byID map[string]*activeQuery
}

// activeQuery is a query in flight that holds its ID.
type activeQuery struct {
	client    context.Context
	done      chan struct{} // closed when the query ends
	abandoned bool          // set before done is closed: whether the client had disconnected by then
}

// acquire reserves an ID for a query. A client whose connection was closed during its request retries the request,
// which may arrive before the first one has ended: the retry waits for that, for readBodyTimeout at most. If the first
// query was answered, its client was still connected, so the second request comes from a different client and is
// rejected.
func (a *activeQueries) acquire(ctx context.Context, id string) (*activeQuery, error) {
	timeout := time.NewTimer(readBodyTimeout)
	defer timeout.Stop()
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
		case <-timeout.C:
			return nil, errInUse
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// tryAcquire returns a new query that now holds the ID, or else the query that already holds it.
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

// release ends a query and frees its ID.
func (a *activeQueries) release(id string, query *activeQuery) {
	a.mu.Lock()
	defer a.mu.Unlock()
	query.abandoned = query.client.Err() != nil
	close(query.done)
	delete(a.byID, id)
}
