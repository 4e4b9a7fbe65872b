package httpserver

import (
	"net"
	"net/http"
	"sync"
)

// openConns are the connections on which a request is awaited or served: all but idle ones.
type openConns struct {
	mu       sync.Mutex
	open     map[net.Conn]struct{}
	answered chan struct{} // closed once there is none; nil until that is asked for
}

func newOpenConns() *openConns { return &openConns{open: map[net.Conn]struct{}{}} }

// onStateChange is the ConnState of an http.Server.
func (o *openConns) onStateChange(c net.Conn, state http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		o.open[c] = struct{}{}
	case http.StateIdle, http.StateHijacked, http.StateClosed:
		delete(o.open, c)
	}
	o.notify()
}

// allAnswered returns a channel that is closed once there is no connection on which a request is awaited or
// served. It may be called once, when no connection is accepted any more.
func (o *openConns) allAnswered() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	answered := make(chan struct{})
	o.answered = answered
	o.notify()
	return answered
}

// notify closes the channel where its time has come. The caller holds the lock.
func (o *openConns) notify() {
	if o.answered != nil && len(o.open) == 0 {
		close(o.answered)
		o.answered = nil
	}
}
