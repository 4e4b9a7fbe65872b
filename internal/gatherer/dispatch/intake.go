package dispatch

import (
	"sync"

	"yokeroute/gather"
	"yokeroute/logic/twopass"
)

// inbox holds the input queued for the next round.
type inbox struct {
	gather.Round
	admitted         []*Query
	unadmitted       []decidedQuery
	attemptEnds      []attemptEnd
	answersFirstPass map[uint32]bool // check results, keyed by server
	viewRequests     []chan<- []gather.EndpointView
	mapUpdates       []mapUpdate
	serverNames      map[uint32]string
	pending          bool // a round is due
}

// decidedQuery is a query that ended before it was passed to the module, with its result.
type decidedQuery struct {
	query  *Query
	result Result
}

// attemptEnd describes how an attempt ended, with the value received.
type attemptEnd struct {
	attempt *Attempt
	outcome gather.Outcome
	latency float64
	value   []byte
	summary twopass.Summary
}

// intake accepts input from any goroutine and holds it until the next round.
type intake struct {
	maxOpenRequests int           // limit on open queries and shard requests, 0 for none
	wake            chan struct{} // holds a value once input is pending

	mu           sync.Mutex
	inbox        inbox
	openRequests int    // number of open queries and shard requests
	nextID       uint64 // next module ID for a query, shard request or piece

	// spare is the inbox of an earlier round, whose slices are reused. Only the goroutine that runs rounds accesses it.
	spare inbox
}

func newIntake(maxOpen int) intake {
	return intake{maxOpenRequests: maxOpen, wake: make(chan struct{}, 1)}
}

// enqueue calls put to add input to the inbox, and makes a round due.
func (i *intake) enqueue(put func(in *inbox)) {
	i.mu.Lock()
	put(&i.inbox)
	i.inbox.pending = true
	i.mu.Unlock()
	select {
	case i.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// pending reports whether input waits for a round.
func (i *intake) pending() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.inbox.pending
}

// drain returns the inbox's contents for a round and leaves the spare inbox in its place.
func (i *intake) drain() inbox {
	i.mu.Lock()
	defer i.mu.Unlock()
	in := i.inbox
	i.inbox = i.spare
	return in
}

// recycle clears the slices of a finished round and keeps them as the spare inbox, which the next drain installs.
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

// reserve adds size, a query and its shard requests, to the open requests and returns the first of size consecutive
// IDs. It returns false, and counts nothing, if that would exceed the limit.
func (i *intake) reserve(size int) (firstID uint64, admitted bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.maxOpenRequests > 0 && i.openRequests+size > i.maxOpenRequests {
		return 0, false
	}
	i.openRequests += size
	return i.allocateLocked(size), true
}

// release subtracts size, finished queries and their shard requests, from the open requests.
func (i *intake) release(size int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.openRequests -= size
}

// allocate returns the first of n consecutive IDs.
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
