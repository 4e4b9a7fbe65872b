package frontend

import (
	"context"
	"io"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"yokeroute/internal/gatherer/dispatch"
)

// serveRequest handles every request of the server.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	conn := clientConnOf(r.Context())
	if conn != nil && !conn.beginRequest() {
		panic(http.ErrAbortHandler) // the connection can no longer be used: the client retries the request elsewhere
	}
	defer func() {
		if cause := recover(); cause != nil {
			log := s.log.WithField("panic", cause).WithField("stack", string(debug.Stack()))
			log.Error("front end: request handler panicked")
			writeText(w, http.StatusInternalServerError, textInternalError)
		}
	}()
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(readBodyTimeout))
	_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if conn != nil && conn.conflictingLengths.Load() {
		w.Header().Set("Connection", "close") // the body may hide another request
		writeText(w, http.StatusBadRequest, "Content-Length and Transfer-Encoding")
		return
	}
	s.closeAfterResponse(w, conn)
	s.route(w, r, rc, conn)
}

// route serves a health check, a path with a registered handler, or a query.
func (s *Server) route(w http.ResponseWriter, r *http.Request, rc *http.ResponseController, conn *clientConn) {
	switch r.URL.Path {
	case "/-/ready":
		if s.shutdown.started.Load() || !s.ready() {
			writeText(w, http.StatusServiceUnavailable, "not ready")
			return
		}
		writeText(w, http.StatusOK, "ready")
		return
	case "/-/healthy":
		writeText(w, http.StatusOK, "healthy")
		return
	}
	for path, handler := range s.admin {
		if r.URL.Path == path || strings.HasPrefix(r.URL.Path, path+"/") {
			handler.ServeHTTP(w, r)
			return
		}
	}
	if err := s.serveQuery(w, r, rc, conn); err != nil {
		s.log.WithError(err).Debug("front end: request rejected")
		s.closeAfterResponse(w, conn)
		writeText(w, statusOf(err), err.Error())
	}
}

// serveQuery parses one query, waits for its result and writes the response. It returns an error if the
// request is not served.
func (s *Server) serveQuery(
	w http.ResponseWriter, r *http.Request, rc *http.ResponseController, conn *clientConn,
) error {
	if s.conns.overloaded() {
		w.Header().Set("Connection", "close")
		writeResult(w, dispatch.Result{Kind: dispatch.Rejected})
		return nil
	}
	now := s.picker.Now()
	sentAt := now // the timeout runs from the request's first byte, which may have arrived long before its last
	if conn != nil {
		sentAt -= float64(conn.arrivingFor()) / float64(time.Millisecond)
	}
	query, err := s.limits.parseHead(r, sentAt)
	if err != nil {
		return err
	}
	if end := s.shutdown.end.Load(); end != nil {
		remaining := time.Until(*end) - answerMargin
		query.Deadline = min(query.Deadline, now+float64(remaining)/float64(time.Millisecond))
	}
	deadline := time.Now().Add(time.Duration((query.Deadline - now) * float64(time.Millisecond)))
	payload, err := readBody(w, r, rc, deadline)
	if err != nil {
		return err
	}
	if err := s.limits.parseBody(query, payload); err != nil {
		return err
	}
	result, err := s.decide(r.Context(), query, conn)
	if err != nil {
		return err
	}
	s.closeAfterResponse(w, conn)
	_ = rc.SetWriteDeadline(deadline.Add(writeTimeout))
	writeResult(w, result)
	return nil
}

// readBody reads a request's body. The read ends at the query's deadline at the latest, so that a slow client does not
// occupy its connection for longer.
func readBody(w http.ResponseWriter, r *http.Request, rc *http.ResponseController, deadline time.Time) ([]byte, error) {
	if time.Until(deadline) < readBodyTimeout {
		_ = rc.SetReadDeadline(deadline)
	}
	if r.ContentLength > maxBodyBytes { // rejected before any of it is read
		w.Header().Set("Connection", "close")
		return nil, &http.MaxBytesError{Limit: maxBodyBytes}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	_ = rc.SetReadDeadline(time.Time{})
	return body, nil
}

// decide passes a query to the picker and returns its result. It cancels the query when its client disconnects.
func (s *Server) decide(ctx context.Context, query *dispatch.Query, conn *clientConn) (dispatch.Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if conn != nil {
		conn.watchClient(cancel)
		defer conn.stopWatching()
	}
	if err := s.active.acquire(query.ID); err != nil {
		return dispatch.Result{}, err
	}
	defer func() { s.active.release(query.ID, query.IDReusable()) }()
	if ctx.Err() != nil {
		return dispatch.Result{Kind: dispatch.Abandoned}, nil
	}
	return s.picker.Pick(ctx, query), nil
}
