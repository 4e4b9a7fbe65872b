package segmentserver

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"yokeroute/internal/control/segments"
	"yokeroute/logic/ownership"
)

// Authority hands segments over and serves the ownership map.
type Authority struct {
	Logs *SegmentLogs

	http     *http.Server
	listener net.Listener
	hosts    map[string]*Host
	serving  sync.WaitGroup

	mu      sync.Mutex
	current *ownership.Map
	changes []ownership.Change
	changed chan struct{} // closed at the next change
	silent  bool
	rewrite func(r *segments.Response) *segments.Response // of responses; may be nil
}

// StartAuthority starts an authority over hosts with a first map. The hosts acquire their segments of it.
func StartAuthority(first *ownership.Map, hosts []*Host, logs *SegmentLogs) (*Authority, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	logs.reset(first)
	a := &Authority{Logs: logs, listener: l, hosts: map[string]*Host{}, current: first, changed: make(chan struct{})}
	for _, h := range hosts {
		a.hosts[h.Name] = h
	}
	for _, s := range first.Segments {
		_ = a.acquire(s) // a first map may name hosts that come later
	}
	a.http = &http.Server{Handler: http.HandlerFunc(a.handle)}
	a.serving.Go(func() { _ = a.http.Serve(l) }) // ends with Close
	return a, nil
}

// Address returns the address that it listens on.
func (a *Authority) Address() string { return a.listener.Addr().String() }

// Close ends it.
func (a *Authority) Close() {
	a.http.Close()
	a.serving.Wait()
}

// Map returns the published map.
func (a *Authority) Map() *ownership.Map {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current
}

// SetSilent sets whether it answers nobody.
func (a *Authority) SetSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
}

// RewriteResponses has responses rewritten from now on. A nil function ends it.
func (a *Authority) RewriteResponses(rewrite func(r *segments.Response) *segments.Response) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rewrite = rewrite
	a.notify()
}

// Publish publishes a change of the map.
func (a *Authority) Publish(c ownership.Change) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	next, err := a.current.Apply(c)
	if err != nil {
		return err
	}
	a.current = next
	a.changes = append(a.changes, c)
	a.notify()
	return nil
}

// notify wakes waiting requests. The lock is held.
func (a *Authority) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// handle responds with the full map, or with the changes after an epoch; it waits for one if there is none.
func (a *Authority) handle(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		response, changed := a.response(after)
		if response == nil { // silent
			<-r.Context().Done()
			return
		}
		if response.Full != nil || len(response.Changes) > 0 {
			_, _ = w.Write(response.Encode()) // the client may have gone
			return
		}
		select {
		case <-changed:
		case <-timeout:
			_, _ = w.Write(response.Encode())
			return
		case <-r.Context().Done():
			return
		}
	}
}

// response returns what to respond to a request for what came after an epoch, nil for nothing, and the channel that is
// closed at the next change.
func (a *Authority) response(after uint64) (response *segments.Response, changed <-chan struct{}) {
	a.mu.Lock()
	response = &segments.Response{}
	if after == 0 || len(a.changes) > 0 && after+1 < a.changes[0].Epoch {
		response.Full = a.current
	} else {
		for _, c := range a.changes {
			if c.Epoch > after {
				response.Changes = append(response.Changes, c)
			}
		}
	}
	silent, rewrite, changed := a.silent, a.rewrite, a.changed
	a.mu.Unlock()
	if silent {
		return nil, changed
	}
	if rewrite != nil {
		response = rewrite(response)
	}
	return response, changed
}
