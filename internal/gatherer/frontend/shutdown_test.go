package frontend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"yokeroute/internal/gatherer/dispatch"
)

// TestShutdownDrains follows a planned restart: open queries are answered, those that come late on new connections
// are served, and each response ends its connection.
func TestShutdownDrains(t *testing.T) {
	hold := make(chan struct{})
	f, s, address := startServer(t, 10, func(context.Context, *dispatch.Query) dispatch.Result {
		<-hold
		return dispatch.Result{Kind: dispatch.Failed}
	})
	early := make(chan http.Header, 1)
	go func() {
		_, _, head := exchange(t, address, post("/find", headers, shardsBody), 1)
		early <- head
	}()
	<-f.picked
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	for !s.shutdown.started.Load() {
		time.Sleep(time.Millisecond)
	}
	if status, _, _ := exchange(t, address, "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n", 1); status[0] != 503 {
		t.Errorf("ready says %v", status)
	}
	late := make(chan http.Header, 1)
	go func() {
		_, _, head := exchange(t, address, post("/find", strings.Replace(headers, "a1", "a2", 1), shardsBody), 1)
		late <- head
	}()
	<-f.picked
	close(hold)
	for _, head := range []http.Header{<-early, <-late} {
		if head.Get("Connection") != "close" {
			t.Errorf("headers %v", head)
		}
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", address); err == nil {
		t.Error("still listening")
	}
}

// TestShutdownServesHalfReadRequest closes idle connections while one of them has sent the first part of a request. The
// request is read, answered, and its connection ends with the response.
func TestShutdownServesHalfReadRequest(t *testing.T) {
	_, s, address := startServer(t, 10, failed)
	c, r := idleConn(t, s, address)
	conn, text := serverConn(t, s), post("/find", headers, shardsBody)
	io.WriteString(c, text[:20])
	waitUntil(t, "half a line is read", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return !conn.arrivingSince.IsZero()
	})
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	waitUntil(t, "idle connections are closed", func() bool {
		s.conns.mu.Lock()
		defer s.conns.mu.Unlock()
		return s.conns.shuttingDown
	})
	io.WriteString(c, text[20:])
	if resp := readResponse(t, r); resp.StatusCode != 504 || !resp.Close {
		t.Errorf("answered %d, close %v", resp.StatusCode, resp.Close)
	}
	c.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestShutdownClosesIdleConnectionWithoutReset wants an idle connection closed. What its client sends from then on
// reaches nobody, also where it crosses the close, and the client sees an end of file, not a reset.
func TestShutdownClosesIdleConnectionWithoutReset(t *testing.T) {
	f, s, address := startServer(t, 10, failed)
	c, r := idleConn(t, s, address)
	<-f.picked
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) { // the end is there, and the connection still takes what crosses it
		t.Errorf("instead of the end: %v", err)
	}
	io.WriteString(c, post("/find", headers, shardsBody))
	c.CloseWrite()
	if rest, err := io.ReadAll(c); len(rest) > 0 || err != nil {
		t.Errorf("answered %q, %v", rest, err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if len(f.picked) > 0 {
		t.Error("a request that came after the end was forwarded")
	}
}

// TestShutdownServesIdleConnectionInLameDuckPeriod guards against requests that cross the close of a kept connection:
// it ends with its next response.
func TestShutdownServesIdleConnectionInLameDuckPeriod(t *testing.T) {
	_, s, address := startServer(t, 10, failed)
	c, r := idleConn(t, s, address)
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	waitUntil(t, "leaving", func() bool { return s.shutdown.started.Load() })
	time.Sleep(lameDuckPeriod / 6)
	io.WriteString(c, post("/find", headers, shardsBody))
	if resp := readResponse(t, r); resp.StatusCode != 504 || !resp.Close {
		t.Errorf("answered %d, close %v", resp.StatusCode, resp.Close)
	}
	c.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestShutdownServesRequestBehindResponse closes idle connections after a response that says nothing of a close, and
// before its connection counts as idle; the next request, complete or cut, crosses it. The lock that the change of
// state waits for is the gate. The request is answered, and its connection ends with that.
func TestShutdownServesRequestBehindResponse(t *testing.T) {
	text := post("/find", headers, shardsBody)
	for _, cut := range []int{1, 20, len(text) - 1, len(text)} {
		gate := make(chan struct{}, 2)
		f, s, address := startServer(t, 10, func(context.Context, *dispatch.Query) dispatch.Result {
			<-gate
			return dispatch.Result{Kind: dispatch.Failed}
		})
		c := dial(t, address)
		r := bufio.NewReader(c)
		io.WriteString(c, text)
		<-f.picked
		s.conns.mu.Lock() // from here on no state changes
		gate <- struct{}{}
		if resp := readResponse(t, r); resp.StatusCode != 504 || resp.Close {
			t.Errorf("answered %d, close %v", resp.StatusCode, resp.Close)
		}
		io.WriteString(c, text[:cut])
		done := make(chan error, 1)
		go func() { done <- s.Shutdown(t.Context()) }()
		<-s.serveDone // idle connections are closed next
		s.conns.mu.Unlock()
		gate <- struct{}{}
		io.WriteString(c, text[cut:])
		if resp := readResponse(t, r); resp.StatusCode != 504 || !resp.Close {
			t.Errorf("cut at %d: answered %d, close %v", cut, resp.StatusCode, resp.Close)
		}
		c.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// TestShutdownServesNewConnection has a connection accepted before the listener closes send its request
// afterwards. It is answered, within the time that is left of the shutdown.
func TestShutdownServesNewConnection(t *testing.T) {
	f, s, address := startServer(t, 10, failed)
	s.limits.maxDeadline = time.Hour // whatever the settings say, the process may be killed after 3 s
	c := dial(t, address)
	waitUntil(t, "accepted", func() bool {
		s.conns.mu.Lock()
		defer s.conns.mu.Unlock()
		return s.conns.open == 1
	})
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	<-s.serveDone
	io.WriteString(c, post("/find", strings.Replace(headers, "480", "3600000", 1), shardsBody))
	if resp := readResponse(t, bufio.NewReader(c)); resp.StatusCode != 504 || !resp.Close {
		t.Errorf("answered %d, close %v", resp.StatusCode, resp.Close)
	}
	c.Close()
	query := <-f.picked
	if end := f.Now() + float64(killTimeout.Milliseconds()); query.Deadline > end {
		t.Errorf("may take until %v, the process ends at %v", query.Deadline, end)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestShutdownDoesNotWaitForSilentConnections guards against a process that the platform has to kill, because
// clients hold connections on which they send nothing. Such a one ends without a reset; one on which half of
// a request has come by then is served.
func TestShutdownDoesNotWaitForSilentConnections(t *testing.T) {
	_, s, address := startServer(t, 10, failed)
	began := time.Now()
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	time.Sleep(lameDuckPeriod / 2) // as late as clients come
	silent, slow, text := dial(t, address), dial(t, address), post("/find", headers, shardsBody)
	io.WriteString(slow, text[:20])
	if rest, err := io.ReadAll(silent); len(rest) > 0 || err != nil { // and it stays open on the client's side
		t.Errorf("the silent connection ended with %q, %v", rest, err)
	}
	ended := time.Since(began)
	if least, most := lameDuckPeriod+firstByteTimeout, lameDuckPeriod+2*firstRequestPeriod; ended < least || ended > most {
		t.Errorf("the silent connection ended after %v, wanted are %v to %v", ended, least, most)
	}
	io.WriteString(slow, text[20:])
	if resp := readResponse(t, bufio.NewReader(slow)); resp.StatusCode != 504 || !resp.Close {
		t.Errorf("answered %d, close %v", resp.StatusCode, resp.Close)
	}
	slow.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if took, most := time.Since(began), lameDuckPeriod+2*firstRequestPeriod+lingerTimeout; took > most {
		t.Errorf("the shutdown took %v, at most %v are wanted", took, most)
	}
}

// TestShutdownLimitsQueriesOfLameDuckPeriod guards against queries that are broken off by the end of the
// process: one comes shortly before the lame-duck period ends and may take the longest deadline, the other
// one's deadline is longer than the platform waits with its kill.
func TestShutdownLimitsQueriesOfLameDuckPeriod(t *testing.T) {
	for _, c := range []struct {
		name        string
		maxDeadline time.Duration
		sentAfter   time.Duration // SIGTERM
		limit       time.Duration // after SIGTERM, with answerMargin
	}{
		{"late", 500 * time.Millisecond, lameDuckPeriod - 20*time.Millisecond, lameDuckPeriod + 500*time.Millisecond},
		{"long", time.Minute, 0, lameDuckPeriod + killTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f, s, address := startServer(t, 10, failed)
			s.limits.maxDeadline = c.maxDeadline
			connection := dial(t, address)
			done := make(chan error, 1)
			go func() { done <- s.Shutdown(t.Context()) }()
			waitUntil(t, "leaving", func() bool { return s.shutdown.started.Load() })
			began := time.Now()
			time.Sleep(c.sentAfter)
			sentAfter := time.Since(began)
			timeout := fmt.Sprint(c.maxDeadline.Milliseconds())
			io.WriteString(connection, post("/find", strings.Replace(headers, "480", timeout, 1), shardsBody))
			readResponse(t, bufio.NewReader(connection))
			connection.Close()
			query := <-f.picked
			allowed := time.Duration((query.Deadline - f.Now()) * float64(time.Millisecond))
			if most := c.limit - sentAfter - answerMargin; allowed > most {
				t.Errorf("%v after SIGTERM it may take %v, at most %v are wanted", sentAfter, allowed, most)
			}
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}

// TestLastResponseSurvivesPipelinedRequests has a client send more than its request while the last response of its
// connection is decided. The connection ends without a reset, and the further requests reach nobody.
func TestLastResponseSurvivesPipelinedRequests(t *testing.T) {
	more := make(chan struct{})
	f, s, address := startServer(t, 10, func(context.Context, *dispatch.Query) dispatch.Result {
		<-more
		return dispatch.Result{Kind: dispatch.Failed}
	})
	c := dial(t, address)
	io.WriteString(c, post("/find", headers, shardsBody))
	<-f.picked
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	waitUntil(t, "leaving", func() bool { return s.shutdown.started.Load() })
	for range 4 { // in pieces, so that some come after the answer is decided
		io.WriteString(c, post("/find", headers, shardsBody))
	}
	close(more)
	if resp := readResponse(t, bufio.NewReader(c)); resp.StatusCode != 504 || !resp.Close {
		t.Errorf("answered %d, close %v", resp.StatusCode, resp.Close)
	}
	c.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if len(f.picked) > 0 {
		t.Error("what came behind the last request was forwarded")
	}
}
