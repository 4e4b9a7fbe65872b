package frontend

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"yokeroute/internal/gatherer/dispatch"
)

// What comes between two lines of a shutdown, of a close and of a client that goes: each crossing is forced by the
// other side or by a gate, as docs/design/crossings.md lists them.

func dial(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second)) // against a test that hangs
	return c.(*net.TCPConn)
}

// pair is a client's connection by itself, and the client's end of it.
func pair(t *testing.T) (conn *clientConn, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	far = dial(t, l.Addr().String())
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return &clientConn{TCPConn: accepted.(*net.TCPConn), lingerFor: lingerTimeout}, far
}

// read reads one answer; nothing may follow it where its connection ends.
func read(t *testing.T, r *bufio.Reader) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		t.Errorf("answer cut: %v", err)
	}
	if resp.Close {
		if rest, err := io.ReadAll(r); len(rest) > 0 || err != nil {
			t.Errorf("behind the last answer: %q, %v", rest, err)
		}
	}
	return resp
}

// until waits for a condition that the other side brings about.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: ", what)
		}
	}
}

func aborted(context.Context, *dispatch.Query) dispatch.Result {
	return dispatch.Result{Kind: dispatch.Failed}
}

// resting is a connection on which one request has been answered.
func resting(t *testing.T, s *Server, address string) (*net.TCPConn, *bufio.Reader) {
	t.Helper()
	c := dial(t, address)
	r := bufio.NewReader(c)
	io.WriteString(c, post("/find", headers, parts))
	if resp := read(t, r); resp.StatusCode != 504 || resp.Close {
		t.Fatalf("answered %d, close %v", resp.StatusCode, resp.Close)
	}
	until(t, "the server has it for idle", func() bool {
		s.conns.mu.Lock()
		defer s.conns.mu.Unlock()
		return s.conns.idle.Len() > 0
	})
	return c, r
}

// held is the server's end of its only connection.
func held(t *testing.T, s *Server) *clientConn {
	t.Helper()
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	for conn := range s.conns.entries {
		return conn.(*clientConn)
	}
	t.Fatal("no connection rests")
	return nil
}

// TestShutdownHalfRead: of a request on a resting connection the first line has been read when the shutdown begins. It
// was closed then, as idle; it has to be taken whole and answered, and its connection ends with the answer.
func TestShutdownHalfRead(t *testing.T) {
	_, s, address := start(t, 10, aborted)
	c, r := resting(t, s, address)
	conn, text := held(t, s), post("/find", headers, parts)
	io.WriteString(c, text[:20])
	until(t, "half a line is read", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return !conn.arrivingSince.IsZero()
	})
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	until(t, "leaving", func() bool { return s.shuttingDown.Load() })
	io.WriteString(c, text[20:])
	if resp := read(t, r); resp.StatusCode != 504 || !resp.Close {
		t.Errorf("answered %d, close %v", resp.StatusCode, resp.Close)
	}
	c.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestShutdownRests: a connection that rests is ended at once, and what its client sends from then on is sent on to
// nobody, also where it comes between the end and its notice. The client sees an end, not a reset.
func TestShutdownRests(t *testing.T) {
	f, s, address := start(t, 10, aborted)
	c, r := resting(t, s, address)
	<-f.took
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	if _, err := r.ReadByte(); err != io.EOF { // the end is there, and the connection still takes what crosses it
		t.Errorf("instead of the end: %v", err)
	}
	io.WriteString(c, post("/find", headers, parts))
	c.CloseWrite()
	if rest, err := io.ReadAll(c); len(rest) > 0 || err != nil {
		t.Errorf("answered %q, %v", rest, err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if len(f.took) > 0 {
		t.Error("a request that came after the end was sent on")
	}
}

// TestShutdownAtAnswer: the shutdown begins after an answer that still says nothing of an end, and before its connection
// counts as idle; the client's next request, whole or cut, comes with the acknowledgement of that answer. The gate is the
// lock that the connection's state waits for. The request is answered, and its connection ends with that.
func TestShutdownAtAnswer(t *testing.T) {
	text := post("/find", headers, parts)
	for _, cut := range []int{1, 20, len(text) - 1, len(text)} {
		gate := make(chan struct{}, 2)
		f, s, address := start(t, 10, func(context.Context, *dispatch.Query) dispatch.Result {
			<-gate
			return dispatch.Result{Kind: dispatch.Failed}
		})
		c := dial(t, address)
		r := bufio.NewReader(c)
		io.WriteString(c, text)
		<-f.took
		s.conns.mu.Lock() // from here on no state changes
		gate <- struct{}{}
		if resp := read(t, r); resp.StatusCode != 504 || resp.Close {
			t.Errorf("answered %d, close %v", resp.StatusCode, resp.Close)
		}
		io.WriteString(c, text[:cut])
		done := make(chan error, 1)
		go func() { done <- s.Shutdown(t.Context()) }()
		until(t, "leaving", func() bool { return s.shuttingDown.Load() })
		s.conns.mu.Unlock()
		gate <- struct{}{}
		io.WriteString(c, text[cut:])
		if resp := read(t, r); resp.StatusCode != 504 || !resp.Close {
			t.Errorf("cut at %d: answered %d, close %v", cut, resp.StatusCode, resp.Close)
		}
		c.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// TestReadThenEnded: the bytes of a request have been read when the connection is ended by another goroutine. Either
// the request is in hand and the connection stays, or the connection is ended and the request is not served.
func TestReadThenEnded(t *testing.T) {
	conn, far := pair(t)
	if !conn.beginRequest() || conn.closeIfIdle() {
		t.Error("ended under a request in hand")
	}
	conn.markIdle()
	io.WriteString(far, "P")
	until(t, "a byte waits", func() bool { return hasUnreadBytes(conn.TCPConn) })
	if conn.closeIfIdle() {
		t.Error("ended over a byte that waits")
	}
	if n, err := conn.Read(make([]byte, 9)); n != 1 || err != nil {
		t.Error(n, err)
	}
	if conn.closeIfIdle() {
		t.Error("ended though a request has begun")
	}
	if !conn.beginRequest() {
		t.Error("not served")
	}
	conn.markIdle()
	if !conn.closeIfIdle() || conn.beginRequest() {
		t.Error("not ended, or served after it")
	}
	io.WriteString(far, "POST")
	far.CloseWrite()
	if n, err := conn.Read(make([]byte, 9)); n != 0 || err == nil {
		t.Errorf("read %d bytes after the end, %v", n, err)
	}
}

// TestEndedUnderRead: a connection is ended while a read of it waits, and a byte comes that wakes the read. It gives
// nothing; once it gave the -1 that the system says where there is nothing to read, which ended the process.
func TestEndedUnderRead(t *testing.T) {
	conn, far := pair(t)
	type result struct {
		n   int
		err error
	}
	got := make(chan result, 1)
	go func() {
		n, err := conn.receive(make([]byte, 1))
		got <- result{n, err}
	}()
	until(t, "the read waits", func() bool {
		all := make([]byte, 1<<20)
		all = all[:runtime.Stack(all, true)]
		for _, g := range strings.Split(string(all), "\n\n") {
			if strings.Contains(g, "IO wait") && strings.Contains(g, "clientConn).receive") {
				return true
			}
		}
		return false
	})
	conn.mu.Lock()
	conn.closedByServer = true
	conn.mu.Unlock()
	io.WriteString(far, "P")
	if r := <-got; r.n != 0 || r.err != net.ErrClosed {
		t.Errorf("read %d, %v", r.n, r.err)
	}
}

// TestShutdownNew: a connection that came before the listener closed says nothing until that has closed. Its request
// was read and dropped without a word; it has to be answered, within the time that is left of the shutdown.
func TestShutdownNew(t *testing.T) {
	f, s, address := start(t, 10, aborted)
	s.maxDeadline = time.Hour // whatever the settings say, the process may be killed after 3 s
	c := dial(t, address)
	until(t, "accepted", func() bool {
		s.conns.mu.Lock()
		defer s.conns.mu.Unlock()
		return s.conns.open == 1
	})
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	<-s.serveDone
	io.WriteString(c, post("/find", strings.Replace(headers, "480", "3600000", 1), parts))
	if resp := read(t, bufio.NewReader(c)); resp.StatusCode != 504 || !resp.Close {
		t.Errorf("answered %d, close %v", resp.StatusCode, resp.Close)
	}
	c.Close()
	lk := <-f.took
	if end := f.Now() + float64(killTimeout.Milliseconds()); lk.Deadline > end {
		t.Errorf("may take until %v, the process ends at %v", lk.Deadline, end)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestAnswerCrossed: a client has sent more than its request when its answer, the last of its connection, is written.
// The close over unread bytes reset the connection under the answer; it has to end.
func TestAnswerCrossed(t *testing.T) {
	more := make(chan struct{})
	f, s, address := start(t, 10, func(ctx context.Context, _ *dispatch.Query) dispatch.Result {
		<-more
		return dispatch.Result{Kind: dispatch.Failed}
	})
	c := dial(t, address)
	io.WriteString(c, post("/find", headers, parts))
	<-f.took
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	until(t, "leaving", func() bool { return s.shuttingDown.Load() })
	for range 4 { // in pieces, so that some come after the answer is decided
		io.WriteString(c, post("/find", headers, parts))
	}
	close(more)
	if resp := read(t, bufio.NewReader(c)); resp.StatusCode != 504 || !resp.Close {
		t.Errorf("answered %d, close %v", resp.StatusCode, resp.Close)
	}
	c.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if len(f.took) > 0 {
		t.Error("what came behind the last request was sent on")
	}
}

// TestCloseOverUnread: bytes wait unread when a connection is closed behind its last answer. A plain close resets it,
// and the answer may be lost with that; the client has to read all of it and then an end.
func TestCloseOverUnread(t *testing.T) {
	conn, far := pair(t)
	io.WriteString(far, "more")
	until(t, "bytes wait", func() bool { return hasUnreadBytes(conn.TCPConn) })
	io.WriteString(conn, "answer")
	conn.Close()
	if got, err := io.ReadAll(far); string(got) != "answer" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	// The same where net/http answers a head that it can't read, with much more behind it.
	_, _, address := start(t, 10, aborted)
	c := dial(t, address)
	io.WriteString(c, "hello\r\n\r\n"+strings.Repeat("x", 64<<10))
	if got, err := io.ReadAll(c); !strings.Contains(string(got), " 400 ") || err != nil {
		t.Errorf("%.40q, %v", got, err)
	}
}

// TestGoneBehindBytes: a client sends bytes behind its request and goes: by a close, by half of one, by a reset, after
// a few bytes, a whole further request or more than is kept. net/http reads one byte and then no further while it
// serves, so that the lookup went on without its client.
func TestGoneBehindBytes(t *testing.T) {
	for _, behind := range []string{"", "P", post("/find", headers, parts), strings.Repeat("x", 1<<20)} {
		for how, leave := range map[string]func(c *net.TCPConn){
			"close":      func(c *net.TCPConn) { c.Close() },
			"half-close": func(c *net.TCPConn) { c.CloseWrite() },
			"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		} {
			noticed := make(chan struct{}, 1)
			f, _, address := start(t, 10, func(ctx context.Context, _ *dispatch.Query) dispatch.Result {
				<-ctx.Done()
				noticed <- struct{}{}
				return dispatch.Result{Kind: dispatch.Abandoned}
			})
			c := dial(t, address)
			io.WriteString(c, post("/find", headers, parts))
			<-f.took
			io.WriteString(c, behind)
			leave(c)
			select {
			case <-noticed:
			case <-time.After(5 * time.Second):
				t.Errorf("%s behind %d bytes: not noticed", how, len(behind))
				c.Close()
			}
		}
	}
}

// TestGoneSentAtOnce: what a client sends behind its request comes with it, so that net/http has read a byte of it before
// the lookup is handed in. That it goes was not noticed then; its bytes stay in their order.
func TestGoneSentAtOnce(t *testing.T) {
	conn, far := pair(t)
	io.WriteString(far, "behind")
	if n, err := conn.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Fatalf("read %d, %v", n, err)
	}
	gone := make(chan struct{})
	conn.watchClient(func() { close(gone) })
	far.Close()
	select {
	case <-gone:
	case <-time.After(5 * time.Second):
		t.Error("not noticed")
	}
	conn.stopWatching()
	if string(conn.buffered) != "ehind" {
		t.Errorf("%q is kept", conn.buffered)
	}
}

// TestGoneBeforeTaken: a client has gone before its lookup is handed in. Nothing is decided for it.
func TestGoneBeforeTaken(t *testing.T) {
	f, s, _ := start(t, 10, aborted)
	ctx, leave := context.WithCancel(t.Context())
	leave()
	v, err := s.decide(ctx, &dispatch.Query{ID: "a"}, nil)
	if v.Kind != dispatch.Abandoned || err != nil || len(f.took) > 0 {
		t.Errorf("verdict %+v, %v, %d taken", v, err, len(f.took))
	}
}

// TestBehindBytesServed: what came behind a request in hand is served after it where it is one more request, however
// the bytes came, and the connection ends with the answer where it is more than is kept.
func TestBehindBytesServed(t *testing.T) {
	gate := make(chan struct{})
	f, s, address := start(t, 10, func(context.Context, *dispatch.Query) dispatch.Result {
		<-gate
		return dispatch.Result{Kind: dispatch.Failed}
	})
	c := dial(t, address)
	r := bufio.NewReader(c)
	io.WriteString(c, post("/find", headers, parts))
	<-f.took
	next := post("/find", strings.Replace(headers, "a1", "a2", 1), parts)
	for _, b := range []byte(next[:100]) {
		c.Write([]byte{b})
	}
	s.mu.Lock()
	client := s.activeQueries["a1"].clientContext
	s.mu.Unlock()
	conn := clientConnOf(client)
	until(t, "bytes behind are read", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return len(conn.buffered) == 99 // net/http has the first
	})
	close(gate)
	if resp := read(t, r); resp.StatusCode != 504 || resp.Close {
		t.Errorf("the first is answered %d, close %v", resp.StatusCode, resp.Close)
	}
	io.WriteString(c, next[100:])
	if resp := read(t, r); resp.StatusCode != 504 || resp.Close {
		t.Errorf("the second is answered %d, close %v", resp.StatusCode, resp.Close)
	}
	if lk := <-f.took; lk.ID != "a2" {
		t.Errorf("the second is %q", lk.ID)
	}
	if !bytes.Equal(conn.buffered, nil) {
		t.Errorf("%d bytes left over", len(conn.buffered))
	}
}

// TestTooMuchBehind: of a client that sends much behind its request no more than a bound is held, and it is told that
// its connection ends.
func TestTooMuchBehind(t *testing.T) {
	gate := make(chan struct{})
	f, s, address := start(t, 10, func(context.Context, *dispatch.Query) dispatch.Result {
		<-gate
		return dispatch.Result{Kind: dispatch.Failed}
	})
	c := dial(t, address)
	io.WriteString(c, post("/find", headers, parts))
	<-f.took
	s.mu.Lock()
	conn := clientConnOf(s.activeQueries["a1"].clientContext)
	s.mu.Unlock()
	go func() {
		io.WriteString(c, strings.Repeat(post("/find", headers, parts), 1000))
	}()
	until(t, "more than is kept", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return conn.overflow
	})
	conn.mu.Lock()
	if len(conn.buffered) > maxBuffered {
		t.Errorf("%d bytes are held", len(conn.buffered))
	}
	conn.mu.Unlock()
	close(gate)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 504 || !resp.Close {
		t.Errorf("answered %v, %v", resp, err)
	}
	if len(f.took) > 0 {
		t.Error("what came behind was sent on")
	}
}

// TestTooMuchBehindRefused: the request that a client floods behind is refused, as its name is in hand. Its connection
// ends with that answer; it stayed open, and a next request there was answered by an empty 200.
func TestTooMuchBehindRefused(t *testing.T) {
	gate := make(chan struct{})
	f, s, address := start(t, 10, func(context.Context, *dispatch.Query) dispatch.Result {
		<-gate
		return dispatch.Result{Kind: dispatch.Failed}
	})
	defer close(gate)
	io.WriteString(dial(t, address), post("/find", headers, parts))
	<-f.took
	c := dial(t, address)
	go func() { io.WriteString(c, strings.Repeat(post("/find", headers, parts), 1000)) }()
	if resp := read(t, bufio.NewReader(c)); resp.StatusCode != 409 || !resp.Close {
		t.Errorf("answered %d, close %v", resp.StatusCode, resp.Close)
	}
	if len(f.took) > 0 {
		t.Error("what came behind was sent on")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.activeQueries) != 1 {
		t.Errorf("%d names are held", len(s.activeQueries))
	}
}

// TestEndedBeforeServed: a request is read whole, and its connection is ended before it is taken. Its client sees the
// end; net/http's empty 200 would be an answer.
func TestEndedBeforeServed(t *testing.T) {
	_, s, _ := start(t, 10, aborted)
	conn, _ := pair(t)
	conn.overflow = true
	defer func() {
		if fault := recover(); fault != http.ErrAbortHandler {
			t.Errorf("handled as %v", fault)
		}
	}()
	r := httptest.NewRequestWithContext(context.WithValue(t.Context(), connContextKey{}, conn), "POST", "/find", strings.NewReader(parts))
	s.serveRequest(httptest.NewRecorder(), r)
	t.Error("the request was answered")
}

// TestTimeFromFirstByte: a client writes its request slowly. Its time counts from when it sent the first of it.
func TestTimeFromFirstByte(t *testing.T) {
	const waited = 300 * time.Millisecond
	f, s, address := start(t, 10, aborted)
	c, _ := resting(t, s, address)
	<-f.took
	conn, text := held(t, s), post("/find", headers, parts)
	io.WriteString(c, text[:20])
	until(t, "it waits for the rest", func() bool { return conn.arrivingFor() >= waited })
	io.WriteString(c, text[20:])
	if lk, most := <-f.took, f.Now()+480-float64(waited.Milliseconds()); lk.Deadline > most {
		t.Errorf("given up at %v, the client at %v or before", lk.Deadline, most)
	}
}

// TestLingerBound: connections that are ended and whose clients do not close theirs hold no more descriptors than were
// counted in; the oldest goes first.
func TestLingerBound(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := newConnTracker(8, 8)
	taps := trackingListener{l, c}
	var far []*net.TCPConn
	for range c.maxLingering + 3 {
		far = append(far, dial(t, l.Addr().String()))
		near, err := taps.Accept()
		if err != nil {
			t.Fatal(err)
		}
		near.Close()
	}
	c.lingerMu.Lock()
	if len(c.lingering) != c.maxLingering {
		t.Errorf("%d hold their descriptors, %d may", len(c.lingering), c.maxLingering)
	}
	c.lingerMu.Unlock()
	for _, f := range far {
		f.Close()
	}
	<-c.lingeringDone()
}
