package frontend

import (
	"hash/maphash"
	"net/http"
	"sync"
)

// rememberedIDs is the number of ended queries whose IDs stay reserved.
const rememberedIDs = 1 << 14

var (
	errIDActive = &requestError{http.StatusConflict, "a lookup of this X-Request-ID is in hand"}
	errIDUsed   = &requestError{http.StatusConflict, "an earlier query with this X-Request-ID may have run"}
)

// activeQueries reserves the request IDs of queries. Shard servers could not distinguish two queries with the same ID:
// a second one could execute a non-idempotent shard request again, or receive the answers of the first one. An ID is
// therefore reserved while its query is in flight, and also afterwards if it is not reusable. Only the newest
// rememberedIDs of the latter stay reserved.
type activeQueries struct {
	mu     sync.Mutex
	active map[string]struct{}
	used   idHistory
}

func newActiveQueries() activeQueries {
	return activeQueries{active: map[string]struct{}{}, used: newIDHistory(rememberedIDs)}
}

// acquire reserves an ID for a query. It returns an error if the ID is reserved. It never waits for the query that holds
// the ID: clients send each request under a new ID, so that the second request comes from another client.
func (a *activeQueries) acquire(id string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, active := a.active[id]; active {
		return errIDActive
	}
	if a.used.contains(id) {
		return errIDUsed
	}
	a.active[id] = struct{}{}
	return nil
}

// release ends the query that holds an ID. The ID stays reserved unless it is reusable (dispatch.Query.IDReusable).
func (a *activeQueries) release(id string, reusable bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.active, id)
	if !reusable {
		a.used.add(id)
	}
}

// idHistory holds the hashes of the IDs that were added last, up to a fixed number. The hashes are seeded at random, so
// that nobody can choose IDs that collide.
type idHistory struct {
	seed   maphash.Seed
	hashes map[uint64]struct{}
	ring   []uint64 // in the order of addition, from next on once it is full
	next   int
}

func newIDHistory(size int) idHistory {
	return idHistory{
		seed:   maphash.MakeSeed(),
		hashes: make(map[uint64]struct{}, size),
		ring:   make([]uint64, 0, size),
	}
}

func (h *idHistory) contains(id string) bool {
	_, found := h.hashes[maphash.String(h.seed, id)]
	return found
}

// add adds an ID that the history does not contain, in place of the oldest one if the history is full.
func (h *idHistory) add(id string) {
	hash := maphash.String(h.seed, id)
	h.hashes[hash] = struct{}{}
	if len(h.ring) < cap(h.ring) {
		h.ring = append(h.ring, hash)
		return
	}
	delete(h.hashes, h.ring[h.next])
	h.ring[h.next] = hash
	h.next = (h.next + 1) % len(h.ring)
}
