package frontend

import (
	"context"
	"net/http"
	"time"
)

const (
	// lameDuckPeriod is how long new connections are still accepted after a shutdown begins, and idle ones are kept: the
	// balancer in front of the gatherer notices that late, and a request may cross the close of an idle one.
	lameDuckPeriod = 600 * time.Millisecond

	// handshakeTimeout is how long a handshake that is under way at the end of the lame-duck period may take
	// still. New ones are refused meanwhile. It covers the way in a network, and a kernel that is late on a
	// busy machine.
	handshakeTimeout = 100 * time.Millisecond

	// firstRequestPeriod is for how long beyond the lame-duck period a connection may still carry its first
	// request. It is shorter where a third of the longest deadline is, since what follows has to end before
	// the platform's kill, but the connections that were accepted last have their firstByteTimeout.
	firstRequestPeriod = 500 * time.Millisecond

	// killTimeout is the least time between the end of the lame-duck period and the platform's kill. With settings
	// that allow no query so much time the kill may come sooner.
	killTimeout = 3 * time.Second

	// answerMargin is the part of the remaining time in which the last responses are written. No query that
	// comes in a shutdown may take it.
	answerMargin = 100 * time.Millisecond
)

// Shutdown drains the server: it serves what still comes within the lame-duck period, has each response end its
// connection, and returns once every request is answered, or once the longest deadline of a query has passed.
//
// It replaces http.Server.Shutdown, which reads requests and drops them unanswered, and closes a connection that it
// takes for idle while a request is being read from it.
func (s *Server) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, lameDuckPeriod+s.limits.maxDeadline)
	defer cancel()
	lateFrom := time.Now().Add(lameDuckPeriod)
	end := lateFrom.Add(min(s.limits.maxDeadline, killTimeout))
	s.shutdown.end.Store(&end)
	s.shutdown.started.Store(true) // each connection ends with its next response
	select {
	case <-ctx.Done():
	case <-time.After(lameDuckPeriod):
	}
	s.closeListener(ctx)
	allClosed := s.conns.shutDown() // those that are idle still are closed
	silentUntil := lateFrom.Add(min(firstRequestPeriod, s.limits.maxDeadline/3))
	silent := time.AfterFunc(max(time.Until(silentUntil), firstByteTimeout), s.conns.closeSilent)
	defer silent.Stop()
	select {
	case <-ctx.Done(): // some client has sent half of a request, or reads its response slowly
	case <-allClosed:
		select {
		case <-ctx.Done():
		case <-s.conns.lingering.released():
		}
	}
	s.http.Close()
	return s.errorLog.Close()
}

// AnswerDeadline is the time by which the queries that come in a shutdown are answered. It is zero before one has
// begun.
func (s *Server) AnswerDeadline() time.Time {
	if end := s.shutdown.end.Load(); end != nil {
		return end.Add(-answerMargin)
	}
	return time.Time{}
}

// closeListener accepts the connections that clients have established or are establishing, ends Serve and
// waits for it, so that every connection is counted.
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
	case <-ctx.Done(): // more clients come than can be accepted
		l.Close()
		<-s.serveDone
	}
}

// closeAfterResponse has the response end its connection where no later request on it could be served: the server
// shuts down, or the client has sent more behind the request than is buffered.
func (s *Server) closeAfterResponse(w http.ResponseWriter, conn *clientConn) {
	if s.shutdown.started.Load() || conn != nil && conn.overflowed() {
		w.Header().Set("Connection", "close")
	}
}
