package rulecheck

import (
	"maps"
	"slices"
)

// query is a query that a gatherer has admitted and not finished.
type query struct {
	class    string
	gatherer int
	deadline float64
	shards   map[int]*shardRequest
}

// shardRequest is a query's request to one shard.
type shardRequest struct {
	weight   float64
	keys     *KeyRange // the keys that the shard holds
	attempts []attempt
	answered []*KeyRange // keys with a full answer, or with a proof that they hold nothing
	executed []*KeyRange // keys that servers ran, by the ground truth
}

// attempt is one attempt of a shard request as its gatherer sees it.
type attempt struct {
	at        float64
	keys      *KeyRange
	number    int
	firstPass bool
	neverRan  bool // its outcome proves that it never ran
	answered  bool
}

func newQuery(e *Event) *query {
	q := &query{
		class:    e.Class,
		gatherer: e.Gatherer,
		deadline: e.Deadline,
		shards:   make(map[int]*shardRequest, len(e.ShardRequests)),
	}
	for _, request := range e.ShardRequests {
		q.shards[request.Shard] = &shardRequest{weight: request.Weight, keys: request.Keys}
	}
	return q
}

func (q *query) sortedShards() []int {
	return slices.Sorted(maps.Keys(q.shards))
}

// mayHaveRun reports whether an earlier attempt for some of the keys is not proved to have never run.
func (r *shardRequest) mayHaveRun(keys *KeyRange) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.neverRan && a.keys.overlaps(keys) })
}
