// Package httpserver provides an HTTP server with a graceful shutdown: it answers the requests on connections
// that clients have established or are establishing when the shutdown begins.
//
// It replaces http.Server.Shutdown, which resets connections that are established but not yet accepted when it
// closes the listener, and which drops requests unanswered after reading them.
package httpserver

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"yokeroute/internal/drainable"
)

// Timeouts limit the phases of a graceful shutdown.
type Timeouts struct {
	// Handshakes limits how long Close waits for TCP handshakes in progress to complete.
	Handshakes time.Duration
	// Requests limits how long requests may take to be answered, counted from the call of Close.
	Requests time.Duration
}

// Server is an http.Server with its listener and the goroutine that serves it.
type Server struct {
	server   *http.Server
	listener *drainable.Listener
	timeouts Timeouts
	conns    *nonIdleConns

	failed chan error    // receives the error when serving ends without Close
	served chan struct{} // closed once serving has ended; nil until Start is called

	closeOnce sync.Once
	closeErr  error
	closing   atomic.Bool
	ending    chan struct{} // closed when Close begins
}

// New returns a server that does not serve until Start is called. It sets server.ConnState to track the state of
// each connection.
func New(listener net.Listener, server *http.Server, timeouts Timeouts) *Server {
	s := &Server{
		server:   server,
		listener: drainable.NewListener(listener),
		timeouts: timeouts,
		conns:    newNonIdleConns(),
		failed:   make(chan error, 1),
		ending:   make(chan struct{}),
	}
	server.ConnState = s.conns.onStateChange
	return s
}

// Start serves requests until Close is called.
func (s *Server) Start() {
	s.served = make(chan struct{})
	go func() {
		defer close(s.served)
		if err := s.server.Serve(s.listener); !s.closing.Load() {
			s.failed <- fmt.Errorf("HTTP server on %s: %w", s.listener.Addr(), err)
		}
	}()
}

// Failed returns a channel that receives the error when serving ends without a call of Close.
func (s *Server) Failed() <-chan error { return s.failed }

// Ending returns a channel that is closed when Close begins. Handlers that wait for an event should respond then
// instead of waiting on.
func (s *Server) Ending() <-chan struct{} { return s.ending }

// Close shuts the server down gracefully. New connections are refused; requests that clients have sent on
// established connections are answered within the timeouts, and each response closes its connection. Idle
// connections are closed at once.
func (s *Server) Close() error {
	s.closeOnce.Do(func() { s.closeErr = s.close() })
	return s.closeErr
}

func (s *Server) close() error {
	s.closing.Store(true)
	s.server.SetKeepAlivesEnabled(false) // before a handler that waits for the end can respond
	close(s.ending)
	if s.served == nil {
		return ignoreClosed(s.listener.Close())
	}
	timeout := time.NewTimer(s.timeouts.Requests)
	defer timeout.Stop()
	s.listener.Drain(s.timeouts.Handshakes)
	select {
	case <-timeout.C:
	case <-s.served: // no further connection is accepted, so conns tracks all of them
		select {
		case <-timeout.C:
		case <-s.conns.allAnswered():
		}
	}
	err := errors.Join(ignoreClosed(s.listener.Close()), s.server.Close())
	<-s.served
	return err
}

// ignoreClosed returns nil for the error of a listener that was already closed, and err otherwise.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
