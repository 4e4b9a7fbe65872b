package httpserver

import (
	"net"
	"net/http"
	"sync"
)

// openConns tracks the connections that are not idle: those on which a request is expected, arriving or being
// served.
type openConns struct {
	mu       sync.Mutex
	open     map[net.Conn]struct{}
	answered chan struct{} // closed once open is empty; nil until allAnswered is called
}

func newOpenConns() *openConns { return &openConns{open: map[net.Conn]struct{}{}} }

// onStateChange is the http.Server's ConnState hook.
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

// allAnswered returns a channel that is closed once all remaining connections are idle or closed. It must be
// called at most once, after the server has stopped accepting connections.
func (o *openConns) allAnswered() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	answered := make(chan struct{})
	o.answered = answered
	o.notify()
	return answered
}

// notify closes the channel that allAnswered returned once no connection is open. The caller holds the lock.
func (o *openConns) notify() {
	if o.answered != nil && len(o.open) == 0 {
		close(o.answered)
		o.answered = nil
	}
}
