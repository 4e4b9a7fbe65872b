package policyserver

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = time.Minute
)

// httpServer owns an http.Server with its listener and the goroutine that serves it.
type httpServer struct {
	server   *http.Server
	listener net.Listener
	failed   chan error    // receives the error with which serving ended by itself
	ended    chan struct{} // closed once serving has ended; nil until it starts
}

func newHTTPServer(listener net.Listener, handler http.Handler) *httpServer {
	return &httpServer{
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
		},
		listener: listener,
		failed:   make(chan error, 1),
	}
}

// start serves requests until close is called.
func (h *httpServer) start() {
	h.ended = make(chan struct{})
	go func() {
		defer close(h.ended)
		if err := h.server.Serve(h.listener); !errors.Is(err, http.ErrServerClosed) {
			h.failed <- fmt.Errorf("HTTP server on %s: %w", h.listener.Addr(), err)
		}
	}()
}

// close closes the listener and all connections, and waits until serving has ended.
func (h *httpServer) close() error {
	if h.ended == nil {
		return h.listener.Close()
	}
	err := h.server.Close()
	<-h.ended
	return err
}
