package frontend

import (
	"context"
	"errors"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/millis"
	"yokeroute/logic/fairqueue"
)

// serveRequest handles every request of the server.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	conn := clientConnOf(r.Context())
	if conn != nil && !conn.beginRequest() {
		panic(http.ErrAbortHandler) // the connection can no longer be used: the client retries the request elsewhere
	}
	defer func() {
		cause := recover()
		if cause == http.ErrAbortHandler { //nolint:errorlint // net/http compares it in the same way
			panic(cause)
		}
		if cause != nil {
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
	if conn != nil && !conn.turn.await() { // the head was read together with an earlier request
		s.rejectWithoutTurn(w, rc, classOf(r))
		return
	}
	s.route(w, r, rc, conn)
}

// route serves a health check, a path with a registered handler, or a query.
func (s *Server) route(w http.ResponseWriter, r *http.Request, rc *http.ResponseController, conn *clientConn) {
	if conn != nil {
		conn.turn.next = fairqueue.Other // unless it is a valid query
	}
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
		s.rejections.addError(rejectedAsInvalid, err)
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
		s.rejections.add(rejectedForConns)
		rejectUnread(w, rc, dispatch.Result{Kind: dispatch.Rejected})
		return nil
	}
	now := s.picker.Now()
	sentAt := now // the timeout runs from the request's first byte, which may have arrived long before its last
	if conn != nil {
		sentAt -= millis.Of(conn.arrivingFor())
	}
	query, err := s.limits.parseHead(r, sentAt)
	if err != nil {
		return err
	}
	if end := s.shutdown.end.Load(); end != nil {
		remaining := time.Until(*end) - answerMargin
		query.Deadline = min(query.Deadline, now+millis.Of(remaining))
	}
	deadline := time.Now().Add(millis.Duration(query.Deadline - now))
	reserved := &reservation{limiter: &s.memory}
	defer reserved.shrink(0)
	body, err := readBody(w, r, rc, deadline, reserved)
	if err == nil {
		err = s.parseBody(r.Context(), conn, query, body, deadline)
	}
	switch {
	case errors.Is(err, errNoTurn):
		s.rejectWithoutTurn(w, rc, query.Class)
		return nil
	case query.Deadline <= now && errors.Is(err, os.ErrDeadlineExceeded):
		s.rejections.add(rejectedAsLate)
		rejectUnread(w, rc, dispatch.Result{Kind: dispatch.Rejected, RetryAfter: s.limits.retryAfter[query.Class]})
		return nil
	case errors.Is(err, errNoMemory):
		s.rejectForMemory(w, rc, query.Class)
		return nil
	case err != nil:
		return err
	}
	reserved.shrink(int64(len(query.Payload)))
	if conn != nil {
		query.ClientLeft = conn.clientLeft
	}
	result, err := s.decide(r.Context(), query, conn)
	if err != nil {
		return err
	}
	s.closeAfterResponse(w, conn)
	_ = rc.SetWriteDeadline(deadline.Add(writeTimeout))
	s.respond(r.Context(), w, deadline, result, reserved)
	return nil
}

// parseBody parses a query's body, which has been read completely, once memory for that is available.
func (s *Server) parseBody(
	ctx context.Context, conn *clientConn, query *dispatch.Query, body []byte, deadline time.Time,
) error {
	if conn != nil && !conn.markRequestRead() {
		panic(http.ErrAbortHandler) // closed before the request was complete: it is not forwarded
	}
	return s.memory.parse(ctx, deadline, len(body), func() error { return s.limits.parseBody(query, body) })
}

// respond writes a query's result once memory for the response is available. If that takes until the deadline, the query
// fails.
func (s *Server) respond(
	ctx context.Context, w http.ResponseWriter, deadline time.Time, result dispatch.Result, reserved *reservation,
) {
	if size := result.ValueBytes(); size > includedBytes {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		if reserved.await(ctx, int64(size)) != nil { // in place of what the request has reserved
			result = dispatch.Result{Kind: dispatch.Failed}
		}
	}
	writeResult(w, result)
}

// rejectForMemory rejects a query whose body is not read, and closes its connection.
func (s *Server) rejectForMemory(w http.ResponseWriter, rc *http.ResponseController, class string) {
	s.rejections.add(rejectedForMemory)
	rejectUnread(w, rc, dispatch.Result{Kind: dispatch.Rejected, RetryAfter: s.limits.retryAfter[class]})
}

// rejectWithoutTurn rejects a request that would have to wait too long to be processed, and closes its connection.
func (s *Server) rejectWithoutTurn(w http.ResponseWriter, rc *http.ResponseController, class string) {
	s.rejections.add(rejectedForTurn)
	rejectUnread(w, rc, dispatch.Result{Kind: dispatch.Rejected, RetryAfter: s.limits.retryAfter[class]})
}

// rejectUnread rejects a query without reading the rest of its body, and closes its connection.
func rejectUnread(w http.ResponseWriter, rc *http.ResponseController, rejected dispatch.Result) {
	w.Header().Set("Connection", "close")
	writeResult(w, rejected)
	_ = rc.SetReadDeadline(longAgo) // net/http would wait for the rest
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
	if conn != nil && conn.clientLeft() {
		s.rejections.add(abandonedBeforePick)
		panic(http.ErrAbortHandler) // what the client sent behind this query is not served either
	}
	if ctx.Err() != nil {
		return dispatch.Result{Kind: dispatch.Abandoned}, nil
	}
	if conn != nil {
		conn.turn.next = fairqueue.Established
		conn.turn.end()
	}
	return s.picker.Pick(ctx, query), nil
}
