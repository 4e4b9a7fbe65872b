package dispatch

import (
	"sync"

	"yokeroute/gather"
	"yokeroute/logic/twopass"
)

// inbox is what has been left for the next round.
type inbox struct {
	gather.Round
	admitted         []*Query
	unadmitted       []decidedQuery
	attemptEnds      []attemptEnd
	answersFirstPass map[uint32]bool // servers that were found to answer first passes, or not to
	viewRequests     []chan<- []gather.EndpointView
	mapUpdates       []mapUpdate
	serverNames      map[uint32]string
	pending          bool // a round is due
}

// decidedQuery is a query that ended before the module knew of it, with its result.
type decidedQuery struct {
	query  *Query
	result Result
}

// attemptEnd is the end of an attempt, with the value that came.
type attemptEnd struct {
	attempt *Attempt
	outcome gather.Outcome
	latency float64
	value   []byte
	summary twopass.Summary
}

// intake takes input from any goroutine and holds it until the next round.
type intake struct {
	maxOpen int           // queries and shard requests, 0 for no limit
	wake    chan struct{} // has a value once input waits

	mu     sync.Mutex
	inbox  inbox
	open   int    // queries and shard requests
	nextID uint64 // of queries, shard requests and pieces, at the module

	spare inbox // the last round's, whose slices are used again; it belongs to the goroutine that runs rounds
}

func newIntake(maxOpen int) intake {
	return intake{maxOpen: maxOpen, wake: make(chan struct{}, 1)}
}

// enqueue has put add to the inbox, and a round run.
func (i *intake) enqueue(put func(in *inbox)) {
	i.mu.Lock()
	put(&i.inbox)
	i.inbox.pending = true
	i.mu.Unlock()
	select {
	case i.wake <- struct{}{}:
	default: // the owner is woken already
	}
}

// pending reports whether input waits.
func (i *intake) pending() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.inbox.pending
}

// drain empties the inbox for a round.
func (i *intake) drain() inbox {
	i.mu.Lock()
	defer i.mu.Unlock()
	in := i.inbox
	i.inbox = i.spare
	return in
}

// recycle keeps a round's slices for the inbox after the next.
func (i *intake) recycle(in *inbox) {
	clear(in.admitted)
	clear(in.attemptEnds)
	i.spare = inbox{
		Round: gather.Round{
			EndpointLists: in.EndpointLists[:0],
			Queries:       in.Queries[:0],
			Requests:      in.Requests[:0],
			Results:       in.Results[:0],
			HealthChecks:  in.HealthChecks[:0],
			Abandoned:     in.Abandoned[:0],
		},
		admitted:    in.admitted[:0],
		attemptEnds: in.attemptEnds[:0],
	}
}

// reserve counts a query in with its shard requests and returns the first of as many IDs. It reports false, and
// counts nothing, beyond the limit.
func (i *intake) reserve(size int) (firstID uint64, admitted bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.maxOpen > 0 && i.open+size > i.maxOpen {
		return 0, false
	}
	i.open += size
	return i.allocateLocked(size), true
}

// release counts finished queries and their shard requests out.
func (i *intake) release(size int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.open -= size
}

// allocate returns the first of so many IDs.
func (i *intake) allocate(n int) uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.allocateLocked(n)
}

func (i *intake) allocateLocked(n int) uint64 {
	first := i.nextID
	i.nextID += uint64(n)
	return first
}
