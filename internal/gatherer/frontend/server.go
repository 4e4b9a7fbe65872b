// Package front takes lookups from clients over HTTP and answers them.
package frontend

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
)

// Picker decides about lookups; package pick has it.
type Picker interface {
	Pick(ctx context.Context, lk *dispatch.Query) dispatch.Result
	Now() float64
}

const (
	// After the platform says that the end comes, new connections go on coming for less than this.
	lameDuckPeriod = 600 * time.Millisecond
	// After the end is told the process is killed in this time and the lame-duck one, or later; sooner by the settings
	// where no lookup takes so long. What came before the lame-duck time was over may be found unanswered by that.
	killTimeout = 3 * time.Second
	// A client that asks nothing, or takes longer than this for the head of a request, is cut off. What can't
	// be read is owed an error or a close within 3 s of connecting, so that a body has what is left of them.
	readHeaderTimeout = 1800 * time.Millisecond
	readBodyTimeout   = 900 * time.Millisecond
	// A connection on which nothing is asked any more may be closed after this.
	idleTimeout = 2 * time.Second
	// Before the end of a shutdown by which its last lookups are given up on, for their answers to be written.
	answerMargin = 100 * time.Millisecond
	// An answer that is not read is broken off this long after its lookup's own time.
	writeTimeout = 5 * time.Second
)

// Server takes lookups.
type Server struct {
	picker        Picker
	log           *logrus.Logger
	http          *http.Server
	ready         func() bool
	classes       map[string]bool
	tenants       map[string]bool
	shards        int
	maxDeadline   time.Duration   // that a lookup may take
	keyedClasses  map[string]bool // indexes whose lookups carry a mark that the protocol cannot pass on
	conns         *connTracker
	shuttingDown  atomic.Bool
	late          atomic.Pointer[lateWindow] // once leaving
	adminHandlers map[string]http.Handler    // by path, for operators

	serveDone     chan struct{} // closed once Serve has returned
	mu            sync.Mutex
	listener      net.Listener
	activeQueries map[string]*activeQuery // names of the lookups held, against two that could not be told apart
}

// lateWindow is from when on requests come too late in a shutdown to be given their own time, and by when they are answered.
type lateWindow struct{ from, end time.Time }

// activeQuery is the request that holds a name.
type activeQuery struct {
	clientContext context.Context
	ended         chan struct{}
	abandoned     bool // its client had gone when it ended
}

// New makes a server that holds so many client connections at most, and so many that have asked; ready says whether lookups can be served.
func New(picker Picker, settings *gather.Settings, clients, kept int, ready func() bool, log *logrus.Logger) *Server {
	s := &Server{picker: picker, log: log, ready: ready, conns: newConnTracker(clients, kept), shards: settings.Shards,
		classes: setOf(settings.ClassNames()), tenants: setOf(settings.TenantNames()), keyedClasses: map[string]bool{},
		activeQueries: map[string]*activeQuery{}, serveDone: make(chan struct{})}
	for name := range s.classes {
		s.maxDeadline = max(s.maxDeadline, time.Duration(settings.Class(name).Deadline*1e6))
		if settings.Class(name).Effect == gather.IdempotencyKeyed {
			s.keyedClasses[name] = true
			log.WithField("index", name).Warn("fingerprinted: its lookups are turned away, their mark cannot be passed on")
		}
	}
	if s.maxDeadline == 0 { // none is told
		s.maxDeadline = killTimeout
	}
	errorLog := log.WriterLevel(logrus.WarnLevel) // what net/http has to say is of its listener
	s.http = &http.Server{Handler: http.HandlerFunc(s.serveRequest), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		IdleTimeout: idleTimeout,
		ConnState:   s.conns.onStateChange,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if t, ok := c.(*clientConn); ok {
				return context.WithValue(ctx, connContextKey{}, t)
			}
			return ctx
		},
		ErrorLog: stdlog.New(errorLog, "", 0)}
	return s
}

func setOf(names []string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, name := range names {
		m[name] = true
	}
	return m
}

// Handle answers requests at a path, and below it, by a handler. It has to be called before Serve.
func (s *Server) Handle(path string, handler http.Handler) {
	if s.adminHandlers == nil {
		s.adminHandlers = map[string]http.Handler{}
	}
	s.adminHandlers[path] = handler
}

// Serve takes connections until Shutdown has ended.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	defer close(s.serveDone)
	err := s.http.Serve(trackingListener{l, s.conns})
	if s.shuttingDown.Load() { // the listener was closed by Shutdown
		return nil
	}
	return err
}

// Shutdown asks clients to go, takes those that come late, and returns once all that was taken is answered: after
// the time of the last that may come at the latest.
//
// It does not use net/http's own: from its Shutdown on that reads requests and drops them unanswered, and what it takes
// for idle it closes also while a request is being read from it, which is then served to nobody.
func (s *Server) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, lameDuckPeriod+s.maxDeadline)
	defer cancel()
	s.late.Store(&lateWindow{from: time.Now().Add(lameDuckPeriod), end: time.Now().Add(lameDuckPeriod + min(s.maxDeadline, killTimeout))})
	s.shuttingDown.Store(true)
	s.conns.shutDown() // those that rest; each other one is told with its answer
	select {
	case <-ctx.Done():
	case <-time.After(lameDuckPeriod):
	}
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if l != nil {
		l.Close()
		<-s.serveDone // none is accepted any more, and all that were are counted
	}
	select {
	case <-ctx.Done(): // some client holds a connection on which it asks nothing
	case <-s.conns.shutDown():
		select {
		case <-ctx.Done():
		case <-s.conns.lingeringDone():
		}
	}
	s.http.Close()
	return nil
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	conn := clientConnOf(r.Context())
	if conn != nil && !conn.beginRequest() {
		panic(http.ErrAbortHandler) // ended while this request was on its way: its client sends it again elsewhere
	}
	defer func() {
		if fault := recover(); fault != nil {
			s.log.WithField("stack", string(debug.Stack())).Errorf("request: %v", fault)
			writeText(w, http.StatusInternalServerError, "failed")
		}
	}()
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Now().Add(readBodyTimeout))
	rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if conn != nil && conn.conflictingLengths.Load() {
		w.Header().Set("Connection", "close") // what follows may be a request that the body hides
		writeText(w, http.StatusBadRequest, "Content-Length and Transfer-Encoding")
		return
	}
	s.closeAfterAnswer(w, conn)
	switch r.URL.Path {
	case "/-/ready":
		if s.shuttingDown.Load() || !s.ready() {
			writeText(w, http.StatusServiceUnavailable, "not ready")
			return
		}
		writeText(w, http.StatusOK, "ready")
	case "/-/healthy":
		writeText(w, http.StatusOK, "healthy")
	default:
		for path, handler := range s.adminHandlers {
			if r.URL.Path == path || strings.HasPrefix(r.URL.Path, path+"/") {
				handler.ServeHTTP(w, r)
				return
			}
		}
		if err := s.serveQuery(w, r, rc, conn); err != nil {
			s.log.WithError(err).Debug("request not taken")
			s.closeAfterAnswer(w, conn)
			writeText(w, statusOf(err), err.Error())
		}
	}
}

// closeAfterAnswer has an answer end its connection where nothing that a client sends there afterwards could be served: the
// server is leaving, or more came behind the request than is kept.
func (s *Server) closeAfterAnswer(w http.ResponseWriter, conn *clientConn) {
	if s.shuttingDown.Load() || conn != nil && conn.overflowed() {
		w.Header().Set("Connection", "close")
	}
}

// serveQuery takes one lookup from its first byte to its answer.
func (s *Server) serveQuery(w http.ResponseWriter, r *http.Request, rc *http.ResponseController, conn *clientConn) error {
	if s.conns.overloaded() {
		w.Header().Set("Connection", "close")
		writeResult(w, dispatch.Result{Kind: dispatch.Rejected})
		return nil
	}
	now := s.picker.Now()
	sent := now // the client's time counts from when it sent the request, which may arrive slowly
	if conn != nil {
		sent -= float64(conn.arrivingFor()) / 1e6
	}
	lk, err := s.parseHead(r, sent)
	if err != nil {
		return err
	}
	if l := s.late.Load(); l != nil && time.Now().After(l.from) {
		lk.Deadline = min(lk.Deadline, now+float64(time.Until(l.end)-answerMargin)/1e6)
	}
	// A client that sends or reads slowly holds its connection no longer than its own time.
	until := time.Now().Add(time.Duration((lk.Deadline - now) * 1e6))
	if left := time.Until(until); left < readBodyTimeout {
		rc.SetReadDeadline(until)
	}
	if r.ContentLength > maxBodyBytes { // before any of it is read
		w.Header().Set("Connection", "close")
		return &http.MaxBytesError{Limit: maxBodyBytes}
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return err
	}
	rc.SetReadDeadline(time.Time{})
	if err := s.parseBody(lk, text); err != nil {
		return err
	}
	v, err := s.decide(r.Context(), lk, conn)
	if err != nil {
		return err
	}
	s.closeAfterAnswer(w, conn)
	rc.SetWriteDeadline(until.Add(writeTimeout))
	writeResult(w, v)
	return nil
}

// decide waits for a lookup's verdict, or until its client has gone.
func (s *Server) decide(ctx context.Context, lk *dispatch.Query, conn *clientConn) (dispatch.Result, error) {
	ctx, gone := context.WithCancel(ctx)
	defer gone()
	if conn != nil {
		conn.watchClient(gone)
		defer conn.stopWatching()
	}
	h, err := s.acquireID(ctx, lk.ID)
	if err != nil {
		return dispatch.Result{}, err
	}
	defer s.releaseID(lk.ID, h)
	if ctx.Err() != nil { // gone before anything is decided
		return dispatch.Result{Kind: dispatch.Abandoned}, nil
	}
	return s.picker.Pick(ctx, lk), nil
}

// acquireID takes a name. A client whose connection was closed under its request sends it once more and may be here
// before the first has ended; it waits for that. Where the first is answered, its client is another one that
// is still there, and this one has no right to its name.
func (s *Server) acquireID(ctx context.Context, id string) (*activeQuery, error) {
	limit := time.NewTimer(readBodyTimeout)
	defer limit.Stop()
	taken := &requestError{http.StatusConflict, "a lookup of this X-Request-ID is in hand"}
	for {
		s.mu.Lock()
		first := s.activeQueries[id]
		if first == nil {
			h := &activeQuery{clientContext: ctx, ended: make(chan struct{})}
			s.activeQueries[id] = h
			s.mu.Unlock()
			return h, nil
		}
		s.mu.Unlock()
		select {
		case <-first.ended:
			if !first.abandoned {
				return nil, taken
			}
		case <-limit.C:
			return nil, taken
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (s *Server) releaseID(id string, h *activeQuery) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.abandoned = h.clientContext.Err() != nil
	close(h.ended)
	delete(s.activeQueries, id)
}
