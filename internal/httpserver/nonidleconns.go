package httpserver

import (
	"net"
	"net/http"
	"sync"
)

// nonIdleConns tracks the connections that are not idle: those on which a request is expected, arriving or being
// served.
type nonIdleConns struct {
	mu       sync.Mutex
	nonIdle  map[net.Conn]struct{}
	answered chan struct{} // closed once nonIdle is empty; nil until allAnswered is called
}

func newNonIdleConns() *nonIdleConns { return &nonIdleConns{nonIdle: map[net.Conn]struct{}{}} }

// onStateChange is the http.Server's ConnState hook.
func (n *nonIdleConns) onStateChange(c net.Conn, state http.ConnState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		n.nonIdle[c] = struct{}{}
	case http.StateIdle, http.StateHijacked, http.StateClosed:
		delete(n.nonIdle, c)
	}
	n.notify()
}

// allAnswered returns a channel that is closed once all remaining connections are idle or closed. It must be
// called at most once, after the server has stopped accepting connections.
func (n *nonIdleConns) allAnswered() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	answered := make(chan struct{})
	n.answered = answered
	n.notify()
	return answered
}

// notify closes the channel that allAnswered returned once all connections are idle or closed. The caller holds the lock.
func (n *nonIdleConns) notify() {
	if n.answered != nil && len(n.nonIdle) == 0 {
		close(n.answered)
		n.answered = nil
	}
}
