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
	watchDuration = 2 * time.Second
	// An agent that has not answered by then is silent.
	headerTimeout = time.Second
	// A call that an agent takes while it is silent is never answered, not even once it speaks again; what it
	// has by then counts as told at once. So the call that opens a watch is made again after this time, beside
	// the ones before it, which an agent that is slow may still answer. Under half of the least grace of a
	// drain that a platform is known to give, 250 ms, with the pause between two rounds of such calls.
	fullListHedgeDelay = 100 * time.Millisecond
	// The pause after a call that failed: an agent that is back is to be found within the same time.
	retryDelay = 50 * time.Millisecond
	// Calls that open a watch are out at once in this number, against descriptors and an agent that pile up. The
	// oldest is left its full time, for an agent that is slow; the others make room for new ones.
	maxFullListRequests = 5
	// An answer that has begun may pause for so long, and take so long in all: that of a watch, which is broken
	// off for a new one, and that of a whole list, beside which others are asked for.
	stallTimeout        = 500 * time.Millisecond
	watchBodyTimeout    = 3 * time.Second
	fullListBodyTimeout = 10 * time.Second

	// Bounds of an answer, against reading without end from what is no discovery: three times the entries of the largest
	// fleet that is planned for, 28,000, at up to three hundred bytes each.
	maxMembers   = 100_000
	maxBodyBytes = 32 << 20
	// What was told of servers that are gone by now is kept of so many, against a list that is behind.
	maxRemovedNames = 1024
)

// Watcher keeps the list and hands on what is new in it.
type Watcher struct {
	http             *http.Client
	log              *logrus.Logger
	onChange         func(gather.EndpointList, []shardcall.Address)
	refreshRequested <-chan struct{}

	sharedService       bool // each call costs a service that all gatherers share
	consecutiveFailures int  // calls in a row

	mu             sync.Mutex
	url            string
	addressChanged chan struct{} // closed by the next Move

	// The rest belongs to the goroutine that runs.
	revision         int64
	source           int               // counts the agents whose numbers of versions don't compare with each other's
	fullListRequests *fullListRequests // the calls for the whole list that are out
	watching         bool              // a whole list has come from discovery itself, and the watch on it holds
	idByName         map[string]uint32
	nameByID         map[uint32]string
	addresses        map[uint32]shardcall.Address
	addressOrder     []uint32
	observations     map[string]observation
	removedNames     []string // of told, those that are gone, by age
}

// observation is the last word on a server, and by whom.
type observation struct {
	startedAt float64
	state     gather.State
	source    int
}

// New makes a follower of the discovery at that address. It calls tell with each piece of news and with the
// addresses of all servers on the list; asked says when the module asks for the list.
func New(address string, tell func(gather.EndpointList, []shardcall.Address), asked <-chan struct{}, log *logrus.Logger) *Watcher {
	return &Watcher{url: targetsURL(address), addressChanged: make(chan struct{}), onChange: tell, refreshRequested: asked, log: log,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, ResponseHeaderTimeout: watchDuration + headerTimeout,
			DisableCompression: true}},
		idByName: map[string]uint32{}, nameByID: map[uint32]string{}, addresses: map[uint32]shardcall.Address{}, observations: map[string]observation{}}
}

// Shared has calls made one at a time, with growing pauses after those that fail: the list is told only when asked, by
// a service whose capacity all gatherers share. It has to be called before Run.
func (f *Watcher) Shared() { f.sharedService = true }

func targetsURL(address string) string { return "http://" + address + "/api/targets" }

// SetAddress has the list followed at another address from now on. What is being asked of the old agent is broken
// off: its successor tells the whole list first, and its own numbers of versions go on from there.
func (f *Watcher) SetAddress(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.url == targetsURL(address) {
		return
	}
	f.url = targetsURL(address)
	close(f.addressChanged)
	f.addressChanged = make(chan struct{})
}

// target is where the list is followed now, and what tells that this has changed.
func (f *Watcher) target() (string, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.url, f.addressChanged
}

// Apply hands on a reply: the one that the platform gave at the start, or one that discovery gave.
//
// A whole list that may be older than what was told before, since another agent or one that is behind gives it, takes
// no drain and no end back: of one process, running comes before draining and draining before its end.
func (f *Watcher) Apply(r *Response) {
	list := gather.EndpointList{Full: r.Full}
	if r.Full && r.Revision < f.revision {
		f.source++
	}
	if r.Full {
		clear(f.addresses)
		f.addressOrder = f.addressOrder[:0]
	}
	for _, m := range r.members {
		started, state := f.reconcile(m, r.Full)
		if state == gather.Removed && r.Full {
			continue // as if the list lacked it
		}
		id, cell := f.assignID(m.ID), 0
		if m.Cell != nil {
			cell = *m.Cell
		}
		list.Endpoints = append(list.Endpoints, gather.Endpoint{ID: id, ReplicaSet: cell, Zone: m.Locality, Kind: m.Flavor,
			Size: m.Size, State: state, StartedAt: started})
		_, known := f.addresses[id]
		switch {
		case state == gather.Removed:
			f.dropEndpoint(id)
			continue
		case !known:
			f.addressOrder = append(f.addressOrder, id)
		}
		f.addresses[id] = shardcall.Address{ID: id, Name: m.ID, HostPort: m.HostPort, State: state, StartedAt: started}
	}
	for _, id := range f.idByName { // what a whole list lacks has gone as well
		if _, listed := f.addresses[id]; !listed {
			f.dropEndpoint(id)
		}
	}
	f.revision = r.Revision
	f.onChange(list, f.addressList())
}

// reconcile gives since when a server runs and its state, after a word on it and what was told before.
func (f *Watcher) reconcile(m member, whole bool) (started float64, state gather.State) {
	state = stateOfPhase[m.Phase]
	before, known := f.observations[m.ID]
	switch behind := whole && known && before.source != f.source; {
	case behind && m.UpSince < before.startedAt && state != gather.Removed: // of a process before the one told of
		return before.startedAt, before.state
	case behind && m.UpSince == before.startedAt && state < before.state:
		return before.startedAt, before.state
	}
	f.observations[m.ID] = observation{m.UpSince, state, f.source}
	if state == gather.Removed {
		if known && m.UpSince < before.startedAt { // a change may name no more than the server
			f.observations[m.ID] = observation{before.startedAt, state, f.source}
		}
		f.rememberRemoved(m.ID)
	}
	return m.UpSince, state
}

// rememberRemoved notes that a server is gone, and forgets the one that has been for longest where they are too many.
func (f *Watcher) rememberRemoved(name string) {
	f.removedNames = append(f.removedNames, name)
	if len(f.removedNames) > maxRemovedNames {
		if old := f.removedNames[0]; f.observations[old].state == gather.Removed {
			delete(f.observations, old)
		}
		f.removedNames = slices.Delete(f.removedNames, 0, 1)
	}
}

// dropEndpoint drops a server that has gone, against keeping all that there ever were. Its number is free again.
func (f *Watcher) dropEndpoint(id uint32) {
	switch name := f.nameByID[id]; f.observations[name].state {
	case gather.Running: // a list lacked it, which proves no end
		delete(f.observations, name)
	case gather.Draining: // and of one that drained is its end
		f.observations[name] = observation{f.observations[name].startedAt, gather.Removed, f.source}
		f.rememberRemoved(name)
	}
	delete(f.idByName, f.nameByID[id])
	delete(f.nameByID, id)
	delete(f.addresses, id)
	f.addressOrder = slices.DeleteFunc(f.addressOrder, func(other uint32) bool { return other == id })
}

// assignID keeps two names from sharing one number; the later one moves on, which costs no more than a turn.
func (f *Watcher) assignID(name string) uint32 {
	id, known := f.idByName[name]
	if known {
		return id
	}
	id = ServerID(name)
	for f.nameByID[id] != "" {
		id++
	}
	f.idByName[name], f.nameByID[id] = id, name
	return id
}

// Run follows the list until ctx ends.
func (f *Watcher) Run(ctx context.Context) {
	down := false
	defer func() { f.fullListRequests.cancelAll() }()
	at, moved := f.target()
	f.source++ // what the platform gave at the start is another's word
	f.watching = f.canResume()
	for ctx.Err() == nil {
		select {
		case <-moved:
			at, moved = f.target()
			f.watching, down = false, false
			f.source++
			f.fullListRequests.cancelAll()
			f.fullListRequests = nil
			f.http.CloseIdleConnections()
		default:
		}
		asked := time.Now()
		r, err := f.poll(ctx, at, moved)
		if errors.Is(err, errAddressChanged) {
			continue
		}
		switch {
		case err != nil:
		case !f.watching && !r.Full:
			err = errors.New("a change, where the whole list was asked for")
		case !r.Full && r.Revision < f.revision:
			err = fmt.Errorf("%w: a change of version %d, where what is newer than %d was asked for", errStale, r.Revision, f.revision)
		}
		if err == nil {
			if down {
				f.log.Info("discovery answers again")
			}
			down, f.consecutiveFailures = false, 0
			f.watching = f.watching || r.Full
			news := len(r.members) > 0 && r.Revision != f.revision
			f.Apply(r)
			if !news && time.Since(asked) < watchDuration/2 { // against an agent that does not wait
				f.waitRetry(ctx, moved)
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
		case errors.Is(err, errTooLarge): // it will not pass by itself
			level = logrus.ErrorLevel
		}
		f.log.WithError(err).Log(level, "discovery does not answer; the last list stays in force")
		f.onChange(gather.EndpointList{Failed: true}, f.addressList())
		f.watching = f.canResume() && !errors.Is(err, errStale) // a watch that broke may have missed changes
		down = true
		if f.sharedService {
			f.waitBackoff(ctx, moved)
			continue
		}
		f.waitRetry(ctx, moved)
	}
}

// canResume reports whether a watch may begin from the last revision, without the whole list before it: a new watch tells
// first what came since, and at a shared service a call that can be spared is one for another gatherer.
func (f *Watcher) canResume() bool { return f.sharedService && len(f.addresses) > 0 }

// waitBackoff waits after a failed call to a shared service, longer with each.
func (f *Watcher) waitBackoff(ctx context.Context, moved <-chan struct{}) {
	f.consecutiveFailures++
	pause := time.Duration(backoff.Pause(f.consecutiveFailures, rand.Float64()) * float64(time.Millisecond))
	select {
	case <-ctx.Done():
	case <-moved:
		f.consecutiveFailures = 0
	case <-time.After(pause):
	}
}

// waitRetry waits before the next call, or until the module asks for the list or that is followed elsewhere.
func (f *Watcher) waitRetry(ctx context.Context, moved <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-moved:
	case <-f.refreshRequested:
	case <-time.After(retryDelay):
	}
}

func (f *Watcher) addressList() []shardcall.Address {
	all := make([]shardcall.Address, 0, len(f.addressOrder))
	for _, id := range f.addressOrder {
		all = append(all, f.addresses[id])
	}
	return all
}

// errStale is an answer of an agent that has not come as far as what was told before: only its whole list helps.
var errStale = errors.New("discovery is behind")

var errAddressChanged = errors.New("followed elsewhere now")

// poll makes one call: for the whole list at first, then for what is newer than the last reply. A move breaks
// it off.
func (f *Watcher) poll(ctx context.Context, url string, moved <-chan struct{}) (*Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	answered := make(chan struct{})
	defer close(answered)
	go func() {
		select {
		case <-moved:
			cancel(errAddressChanged)
		case <-answered:
		}
	}()
	r, err := f.request(ctx, url)
	if err != nil && errors.Is(context.Cause(ctx), errAddressChanged) {
		err = errAddressChanged
	}
	return r, err
}

// request makes it: one that waits for news, or several side by side for the whole list.
func (f *Watcher) request(ctx context.Context, url string) (*Response, error) {
	if !f.watching {
		return f.requestFullList(ctx, url)
	}
	return f.get(ctx, url+"?index="+strconv.FormatInt(f.revision, 10)+"&wait="+strconv.FormatInt(watchDuration.Milliseconds(), 10), watchBodyTimeout, nil)
}
