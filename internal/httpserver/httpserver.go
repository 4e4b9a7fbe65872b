// Package httpserver has an HTTP server that ends in order: it answers the requests of connections that
// clients have established or are establishing.
//
// It replaces http.Server.Shutdown, which closes the listener over connections that are not accepted, and
// reads requests that it drops unanswered.
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

// Timeouts bound an end.
type Timeouts struct {
	Handshakes time.Duration // in which handshakes that are under way can be completed
	Requests   time.Duration // in which requests are answered, from the beginning of the end
}

// Server is an http.Server with its listener and the goroutine that serves it.
type Server struct {
	server   *http.Server
	listener *drainable.Listener
	timeouts Timeouts
	conns    *openConns

	failed chan error    // receives the error with which serving ended by itself
	served chan struct{} // closed once serving has ended; nil until it starts

	closeOnce sync.Once
	closeErr  error
	closing   atomic.Bool
	ending    chan struct{} // closed once Close begins
}

// New returns a server that does not serve yet. Its connections' states are followed by the server's
// ConnState.
func New(listener net.Listener, server *http.Server, timeouts Timeouts) *Server {
	s := &Server{
		server:   server,
		listener: drainable.NewListener(listener),
		timeouts: timeouts,
		conns:    newOpenConns(),
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

// Failed receives the error with which serving ended by itself.
func (s *Server) Failed() <-chan error { return s.failed }

// Ending is closed once Close begins. A request that waits for something is to be answered then.
func (s *Server) Ending() <-chan struct{} { return s.ending }

// Close ends the server. New connections are refused; requests that clients have sent on established ones are
// answered within the timeouts, and each response ends its connection. Idle connections are closed at once.
func (s *Server) Close() error {
	s.closeOnce.Do(func() { s.closeErr = s.close() })
	return s.closeErr
}

func (s *Server) close() error {
	s.closing.Store(true)
	close(s.ending)
	if s.served == nil {
		return ignoreClosed(s.listener.Close())
	}
	timeout := time.NewTimer(s.timeouts.Requests)
	defer timeout.Stop()
	s.server.SetKeepAlivesEnabled(false)
	s.listener.Drain(s.timeouts.Handshakes)
	select {
	case <-timeout.C:
	case <-s.served: // every connection is counted
		select {
		case <-timeout.C:
		case <-s.conns.allAnswered():
		}
	}
	err := errors.Join(ignoreClosed(s.listener.Close()), s.server.Close())
	<-s.served
	return err
}

// ignoreClosed drops the error of a listener that is closed already.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
