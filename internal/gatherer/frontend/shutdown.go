package frontend

import (
	"context"
	"net/http"
	"time"
)

const (
	// lameDuckPeriod is how long new connections are still accepted, and idle ones kept open, after a shutdown begins:
	// the load balancer in front of the gatherer detects the shutdown with a delay, and a request may cross the close
	// of an idle connection.
	lameDuckPeriod = 600 * time.Millisecond

	// handshakeTimeout is how long a TCP handshake in progress at the end of the lame-duck period may still take.
	// New ones are refused meanwhile. It covers the network latency, and delays of the kernel on a busy machine.
	handshakeTimeout = 100 * time.Millisecond

	// firstRequestPeriod is how long after the lame-duck period a connection may still send its first request. At most
	// a third of the longest deadline is used, since the requests have to be answered before the platform kills the
	// process; the connections accepted last still get their firstByteTimeout.
	firstRequestPeriod = 500 * time.Millisecond

	// killTimeout is the minimum time between the end of the lame-duck period and the kill by the platform. If the
	// settings allow no query that much time, the kill may come sooner.
	killTimeout = 3 * time.Second

	// answerMargin is the part of the remaining time that is reserved for writing the last responses. Deadlines of
	// queries that arrive during a shutdown end before it.
	answerMargin = 100 * time.Millisecond
)

// Shutdown drains the server: it still serves requests that arrive within the lame-duck period, closes each connection
// with its next response, and returns once every request is answered or the longest deadline of a query has passed.
//
// It replaces http.Server.Shutdown, which reads requests and drops them unanswered, and closes a connection that it
// considers idle while a request is being read from it.
func (s *Server) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, lameDuckPeriod+s.limits.maxDeadline)
	defer cancel()
	lameDuckEnd := time.Now().Add(lameDuckPeriod)
	end := lameDuckEnd.Add(min(s.limits.maxDeadline, killTimeout))
	s.shutdown.end.Store(&end)
	s.shutdown.started.Store(true) // from now on each connection is closed with its next response
	select {
	case <-ctx.Done():
	case <-time.After(lameDuckPeriod):
	}
	s.closeListener(ctx)
	allClosed := s.conns.shutDown() // closes connections that are idle
	firstRequestEnd := lameDuckEnd.Add(min(firstRequestPeriod, s.limits.maxDeadline/3))
	silentTimer := time.AfterFunc(max(time.Until(firstRequestEnd), firstByteTimeout), s.conns.closeSilent)
	defer silentTimer.Stop()
	select {
	case <-ctx.Done(): // a client has sent only part of a request, or reads its response slowly
	case <-allClosed:
		select {
		case <-ctx.Done():
		case <-s.conns.lingering.released():
		}
	}
	s.http.Close()
	return s.errorLog.Close()
}

// AnswerDeadline returns the time by which queries that arrive during a shutdown are answered. It is zero before a
// shutdown has begun.
func (s *Server) AnswerDeadline() time.Time {
	if end := s.shutdown.end.Load(); end != nil {
		return end.Add(-answerMargin)
	}
	return time.Time{}
}

// closeListener accepts the connections that clients have established or are establishing, then stops Serve and waits
// for it to return, so that the tracker has counted every connection.
func (s *Server) closeListener(ctx context.Context) {
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if l == nil {
		return
	}
	l.Drain(s.handshakeTimeout)
	select {
	case <-s.serveDone:
	case <-ctx.Done(): // clients connect faster than they can be accepted
		l.Close()
		s.conns.stopAwaitingRoom()
		<-s.serveDone
	}
}

// closeAfterResponse sets "Connection: close" on the response if no later request on the connection could be served:
// the server is shutting down, or the client has sent more after the request than is buffered.
func (s *Server) closeAfterResponse(w http.ResponseWriter, conn *clientConn) {
	if s.shutdown.started.Load() || conn != nil && conn.overflowed() {
		w.Header().Set("Connection", "close")
	}
}
