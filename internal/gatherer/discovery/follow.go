package discovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/logic/backoff"
)

const (
	// A watch that brings no news is answered after this time. What it does not bring counts as told two
	// seconds after it, so that it is short; asking costs the agent on the own machine nothing.
	longPoll = 2 * time.Second
	// An agent that has not answered by then is silent.
	patience = time.Second
	// A call that an agent takes while it is silent is never answered, not even once it speaks again; what it
	// has by then counts as told at once. So the call that opens a watch is made again after this time, beside
	// the ones before it, which an agent that is slow may still answer. Under half of the least grace of a
	// drain that a platform is known to give, 250 ms, with the pause between two rounds of such calls.
	hedgeAfter = 100 * time.Millisecond
	// The pause after a call that failed: an agent that is back is to be found within the same time.
	retryPause = 50 * time.Millisecond
	// Calls that open a watch are out at once in this number, against descriptors and an agent that pile up. The
	// oldest is left its full time, for an agent that is slow; the others make room for new ones.
	mostOpening = 5
	// An answer that has begun may pause for so long, and take so long in all: that of a watch, which is broken
	// off for a new one, and that of a whole list, beside which others are asked for.
	stall       = 500 * time.Millisecond
	wholeChange = 3 * time.Second
	wholeList   = 10 * time.Second

	// Bounds of an answer, against reading without end from what is no discovery: three times the entries of the largest
	// fleet that is planned for, 28,000, at up to three hundred bytes each.
	mostMembers = 100_000
	mostBody    = 32 << 20
	// What was told of servers that are gone by now is kept of so many, against a list that is behind.
	mostGone = 1024
)

// Follower keeps the list and hands on what is new in it.
type Follower struct {
	http  *http.Client
	log   *logrus.Logger
	tell  func(gather.EndpointList, []shardcall.Address)
	asked <-chan struct{}

	shared bool // each call costs a service that all gatherers share
	failed int  // calls in a row

	mu    sync.Mutex
	base  string
	moved chan struct{} // closed by the next Move

	// The rest belongs to the goroutine that runs.
	revision int64
	source   int      // counts the agents whose numbers of versions don't compare with each other's
	opening  *opening // the calls for the whole list that are out
	whole    bool     // a whole list has come from discovery itself, and the watch on it holds
	ids      map[string]uint32
	names    map[uint32]string
	held     map[uint32]shardcall.Address
	order    []uint32
	told     map[string]fact
	gone     []string // of told, those that are gone, by age
}

// fact is the last word on a server, and by whom.
type fact struct {
	started float64
	state   gather.State
	source  int
}

// New makes a follower of the discovery at that address. It calls tell with each piece of news and with the
// addresses of all servers on the list; asked says when the module asks for the list.
func New(address string, tell func(gather.EndpointList, []shardcall.Address), asked <-chan struct{}, log *logrus.Logger) *Follower {
	return &Follower{base: base(address), moved: make(chan struct{}), tell: tell, asked: asked, log: log,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, ResponseHeaderTimeout: longPoll + patience,
			DisableCompression: true}},
		ids: map[string]uint32{}, names: map[uint32]string{}, held: map[uint32]shardcall.Address{}, told: map[string]fact{}}
}

// Shared has calls made one at a time, with growing pauses after those that fail: the list is told only when asked, by
// a service whose capacity all gatherers share. It has to be called before Run.
func (f *Follower) Shared() { f.shared = true }

func base(address string) string { return "http://" + address + "/api/targets" }

// Move has the list followed at another address from now on. What is being asked of the old agent is broken
// off: its successor tells the whole list first, and its own numbers of versions go on from there.
func (f *Follower) Move(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.base == base(address) {
		return
	}
	f.base = base(address)
	close(f.moved)
	f.moved = make(chan struct{})
}

// place is where the list is followed now, and what tells that this has changed.
func (f *Follower) place() (string, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.base, f.moved
}

// Take hands on a reply: the one that the platform gave at the start, or one that discovery gave.
//
// A whole list that may be older than what was told before, since another agent or one that is behind gives it, takes
// no drain and no end back: of one process, running comes before draining and draining before its end.
func (f *Follower) Take(r *Reply) {
	list := gather.EndpointList{Full: r.Whole}
	if r.Whole && r.Revision < f.revision {
		f.source++
	}
	if r.Whole {
		clear(f.held)
		f.order = f.order[:0]
	}
	for _, m := range r.members {
		started, state := f.settle(m, r.Whole)
		if state == gather.Removed && r.Whole {
			continue // as if the list lacked it
		}
		id, cell := f.number(m.ID), 0
		if m.Cell != nil {
			cell = *m.Cell
		}
		list.Endpoints = append(list.Endpoints, gather.Endpoint{ID: id, ReplicaSet: cell, Zone: m.Locality, Kind: m.Flavor,
			Size: m.Size, State: state, StartedAt: started})
		_, known := f.held[id]
		switch {
		case state == gather.Removed:
			f.forget(id)
			continue
		case !known:
			f.order = append(f.order, id)
		}
		f.held[id] = shardcall.Address{ID: id, Name: m.ID, HostPort: m.HostPort, State: state, Started: started}
	}
	for _, id := range f.ids { // what a whole list lacks has gone as well
		if _, listed := f.held[id]; !listed {
			f.forget(id)
		}
	}
	f.revision = r.Revision
	f.tell(list, f.all())
}

// settle gives since when a server runs and its state, after a word on it and what was told before.
func (f *Follower) settle(m member, whole bool) (started float64, state gather.State) {
	state = phases[m.Phase]
	before, known := f.told[m.ID]
	switch behind := whole && known && before.source != f.source; {
	case behind && m.UpSince < before.started && state != gather.Removed: // of a process before the one told of
		return before.started, before.state
	case behind && m.UpSince == before.started && state < before.state:
		return before.started, before.state
	}
	f.told[m.ID] = fact{m.UpSince, state, f.source}
	if state == gather.Removed {
		if known && m.UpSince < before.started { // a change may name no more than the server
			f.told[m.ID] = fact{before.started, state, f.source}
		}
		f.bury(m.ID)
	}
	return m.UpSince, state
}

// bury notes that a server is gone, and forgets the one that has been for longest where they are too many.
func (f *Follower) bury(name string) {
	f.gone = append(f.gone, name)
	if len(f.gone) > mostGone {
		if old := f.gone[0]; f.told[old].state == gather.Removed {
			delete(f.told, old)
		}
		f.gone = slices.Delete(f.gone, 0, 1)
	}
}

// forget drops a server that has gone, against keeping all that there ever were. Its number is free again.
func (f *Follower) forget(id uint32) {
	switch name := f.names[id]; f.told[name].state {
	case gather.Running: // a list lacked it, which proves no end
		delete(f.told, name)
	case gather.Draining: // and of one that drained is its end
		f.told[name] = fact{f.told[name].started, gather.Removed, f.source}
		f.bury(name)
	}
	delete(f.ids, f.names[id])
	delete(f.names, id)
	delete(f.held, id)
	f.order = slices.DeleteFunc(f.order, func(other uint32) bool { return other == id })
}

// number keeps two names from sharing one number; the later one moves on, which costs no more than a turn.
func (f *Follower) number(name string) uint32 {
	id, known := f.ids[name]
	if known {
		return id
	}
	id = Number(name)
	for f.names[id] != "" {
		id++
	}
	f.ids[name], f.names[id] = id, name
	return id
}

// Run follows the list until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	down := false
	defer func() { f.opening.end() }()
	at, moved := f.place()
	f.source++ // what the platform gave at the start is another's word
	f.whole = f.resumes()
	for ctx.Err() == nil {
		select {
		case <-moved:
			at, moved = f.place()
			f.whole, down = false, false
			f.source++
			f.opening.end()
			f.opening = nil
			f.http.CloseIdleConnections()
		default:
		}
		asked := time.Now()
		r, err := f.ask(ctx, at, moved)
		if errors.Is(err, errMoved) {
			continue
		}
		switch {
		case err != nil:
		case !f.whole && !r.Whole:
			err = errors.New("a change, where the whole list was asked for")
		case !r.Whole && r.Revision < f.revision:
			err = fmt.Errorf("%w: a change of version %d, where what is newer than %d was asked for", errBehind, r.Revision, f.revision)
		}
		if err == nil {
			if down {
				f.log.Info("discovery answers again")
			}
			down, f.failed = false, 0
			f.whole = f.whole || r.Whole
			news := len(r.members) > 0 && r.Revision != f.revision
			f.Take(r)
			if !news && time.Since(asked) < longPoll/2 { // against an agent that does not wait
				f.rest(ctx, moved)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		level := logrus.WarnLevel
		switch {
		case down: // said already, against a line a second while it is down
			level = logrus.DebugLevel
		case errors.Is(err, errOverBound): // it will not pass by itself
			level = logrus.ErrorLevel
		}
		f.log.WithError(err).Log(level, "discovery does not answer; the last list stays in force")
		f.tell(gather.EndpointList{Failed: true}, f.all())
		f.whole = f.resumes() && !errors.Is(err, errBehind) // a watch that broke may have missed changes
		down = true
		if f.shared {
			f.backOff(ctx, moved)
			continue
		}
		f.rest(ctx, moved)
	}
}

// resumes reports whether a watch may begin from the last revision, without the whole list before it: a new watch tells
// first what came since, and at a shared service a call that can be spared is one for another gatherer.
func (f *Follower) resumes() bool { return f.shared && len(f.held) > 0 }

// backOff waits after a failed call to a shared service, longer with each.
func (f *Follower) backOff(ctx context.Context, moved <-chan struct{}) {
	f.failed++
	pause := time.Duration(backoff.Pause(f.failed, rand.Float64()) * float64(time.Millisecond))
	select {
	case <-ctx.Done():
	case <-moved:
		f.failed = 0
	case <-time.After(pause):
	}
}

// rest waits before the next call, or until the module asks for the list or that is followed elsewhere.
func (f *Follower) rest(ctx context.Context, moved <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-moved:
	case <-f.asked:
	case <-time.After(retryPause):
	}
}

func (f *Follower) all() []shardcall.Address {
	all := make([]shardcall.Address, 0, len(f.order))
	for _, id := range f.order {
		all = append(all, f.held[id])
	}
	return all
}

// errBehind is an answer of an agent that has not come as far as what was told before: only its whole list helps.
var errBehind = errors.New("discovery is behind")

var errMoved = errors.New("followed elsewhere now")

// ask makes one call: for the whole list at first, then for what is newer than the last reply. A move breaks
// it off.
func (f *Follower) ask(ctx context.Context, url string, moved <-chan struct{}) (*Reply, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	answered := make(chan struct{})
	defer close(answered)
	go func() {
		select {
		case <-moved:
			cancel(errMoved)
		case <-answered:
		}
	}()
	r, err := f.call(ctx, url)
	if err != nil && errors.Is(context.Cause(ctx), errMoved) {
		err = errMoved
	}
	return r, err
}

// call makes it: one that waits for news, or several side by side for the whole list.
func (f *Follower) call(ctx context.Context, url string) (*Reply, error) {
	if !f.whole {
		return f.open(ctx, url)
	}
	return f.get(ctx, url+"?index="+strconv.FormatInt(f.revision, 10)+"&wait="+strconv.FormatInt(longPoll.Milliseconds(), 10), wholeChange, nil)
}
