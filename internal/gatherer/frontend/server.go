// Package frontend serves clients' queries over HTTP.
//
// It parses and validates a request, passes the query to a Picker and writes the picker's result as the response. It
// limits the connections that clients may hold, reports readiness, and drains on shutdown without losing a request
// that has begun to arrive.
package frontend

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/drainable"
	"yokeroute/internal/gatherer/dispatch"
)

// Picker decides queries. dispatch.Picker implements it.
type Picker interface {
	// Pick blocks until the query's final result is decided, or until ctx ends because the client has disconnected.
	Pick(ctx context.Context, query *dispatch.Query) dispatch.Result
	// Now returns the current time of the clock that deadlines of queries use, in milliseconds.
	Now() float64
}

const (
	// readHeaderTimeout limits the wait for the head of a request, including its first byte on a new connection. A
	// request that cannot be read must get an error or a close within 3 s of connecting; readBodyTimeout uses the
	// remaining time.
	readHeaderTimeout = 1800 * time.Millisecond
	readBodyTimeout   = 900 * time.Millisecond

	// idleTimeout is how long a connection stays open after its last response.
	idleTimeout = 2 * time.Second

	// writeTimeout is how long after its query's deadline a client may take to read the response.
	writeTimeout = 5 * time.Second
)

// Config configures a Server.
type Config struct {
	Picker   Picker
	Settings *gather.Settings

	// MaxConns limits the client connections on which a request may arrive, MaxUsedConns those that have carried one.
	MaxConns     int
	MaxUsedConns int

	// Processors is the number of processors that the process may use.
	Processors int

	// Memory limits what clients can make the server hold beyond their connections.
	Memory MemoryLimits

	// Ready reports whether queries can be served; /-/ready returns 503 while it does not.
	Ready func() bool

	Log *logrus.Logger
}

// Server serves clients over HTTP.
type Server struct {
	picker   Picker
	log      *logrus.Logger
	ready    func() bool
	limits   queryLimits
	http     *http.Server
	errorLog *io.PipeWriter // receives the messages of net/http and writes them as log entries
	conns    *connTracker
	admin    map[string]http.Handler // the handlers that Handle has registered, by path
	active   activeQueries
	memory   memoryLimiter
	turns    *turnQueue

	rejections *rejectionLog

	shutdown shutdownState

	serveDone chan struct{} // closed once Serve has returned
	mu        sync.Mutex
	listener  *drainable.Listener

	handshakeTimeout time.Duration // the constant handshakeTimeout, unless a test changes it
}

// shutdownState holds the progress of a shutdown.
type shutdownState struct {
	started atomic.Bool
	end     atomic.Pointer[time.Time] // by when all queries must be answered; nil before the shutdown
}

// New returns a server that does not serve until Serve is called.
func New(c Config) *Server {
	s := &Server{
		picker:   c.Picker,
		log:      c.Log,
		ready:    c.Ready,
		limits:   newQueryLimits(c.Settings, c.Log),
		errorLog: c.Log.WriterLevel(logrus.WarnLevel),
		conns:    newConnTracker(c.MaxConns, c.MaxUsedConns),
		admin:    map[string]http.Handler{},
		active:   newActiveQueries(),
		turns:    newTurnQueue(c.Processors),

		rejections: newRejectionLog(c.Log),
		serveDone:  make(chan struct{}),

		handshakeTimeout: handshakeTimeout,
	}
	s.memory.current.Store(newMemory(c.Memory))
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.serveRequest),
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       idleTimeout,
		ConnState:         s.conns.onStateChange,
		ConnContext:       withClientConn,
		ErrorLog:          stdlog.New(s.errorLog, "", 0),
	}
	return s
}

// SetLimits replaces the limits on connections, processors and memory. What is in use beyond smaller ones stays so until
// it ends.
func (s *Server) SetLimits(maxConns, processors int, limits MemoryLimits) {
	s.conns.setMaxOpen(maxConns)
	s.turns.setProcessors(processors)
	s.memory.current.Store(newMemory(limits))
}

// Handle registers a handler for a path and everything below it. It must be called before Serve.
func (s *Server) Handle(path string, handler http.Handler) { s.admin[path] = handler }

// Serve accepts connections until Shutdown closes the listener.
func (s *Server) Serve(l net.Listener) error {
	listener := drainable.NewListener(l)
	listener.OnFailure = func(err error) { s.rejections.addError(acceptFailed, err) }
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	defer close(s.serveDone)
	err := s.http.Serve(&trackingListener{
		Listener: listener, tracker: s.conns, memory: &s.memory, turns: s.turns, skipping: turn{queue: s.turns},
		rejections: s.rejections,
	})
	if s.shutdown.started.Load() { // Shutdown has closed the listener
		return nil
	}
	return err
}
