package frontend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"yokeroute/internal/drainable"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/socket"
)

// TestSilentConnectionIsClosedFirstBeyondLimit checks the order in which connections are closed beyond the limit: first
// one that has sent nothing, but not one with unread bytes of a request; then an idle one; and new ones beyond the hard
// limit.
func TestSilentConnectionIsClosedFirstBeyondLimit(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := newConnTracker(3, 9)
	open := func(text string) (server, client net.Conn) {
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		server, err = l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close(); server.Close() })
		io.WriteString(client, text)
		for text != "" && !socket.HasUnreadBytes(server) {
			time.Sleep(time.Millisecond)
		}
		return server, client
	}
	idle, _ := open("")
	c.onStateChange(idle, http.StateNew)
	c.onStateChange(idle, http.StateActive)
	c.onStateChange(idle, http.StateIdle)
	sending, _ := open("POST ")
	c.onStateChange(sending, http.StateNew)
	silent, silentClient := open("")
	c.onStateChange(silent, http.StateNew)
	for _, conn := range []net.Conn{sending, silent} {
		entry := c.entries[conn]
		entry.since = entry.since.Add(-firstByteTimeout)
		c.entries[conn] = entry
	}
	last, _ := open("")
	c.onStateChange(last, http.StateNew)
	silentClient.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := silentClient.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the silent connection is not closed: %v", err)
	}
	for name, conn := range map[string]net.Conn{"idle": idle, "sending": sending, "last": last} {
		if c.uncounted[conn] {
			t.Errorf("the %s connection was closed", name)
		}
	}
	// No connection has been silent for firstByteTimeout now, so the idle one is closed rather than a new one: the
	// client of a new connection is about to send a request, which would fail; an idle client just connects again.
	next, _ := open("")
	c.onStateChange(next, http.StateNew)
	if !c.uncounted[idle] || c.uncounted[last] || c.uncounted[next] {
		t.Errorf("closed: idle %v, new ones %v and %v, want only the idle one",
			c.uncounted[idle], c.uncounted[last], c.uncounted[next])
	}
	c.onStateChange(next, http.StateActive)
	c.onStateChange(last, http.StateActive)
	c.onStateChange(sending, http.StateActive)
	// All connections are in use. Those within the headroom stay open, so that their requests are rejected with a
	// response; further ones are closed.
	var extra []net.Conn
	for range 3 {
		server, _ := open("POST ")
		c.onStateChange(server, http.StateNew)
		c.onStateChange(server, http.StateActive)
		extra = append(extra, server)
	}
	if c.uncounted[extra[0]] || !c.uncounted[extra[1]] || !c.uncounted[extra[2]] {
		t.Errorf("closed connections %v, want the last two of the three beyond the limit", c.uncounted)
	}
}

// TestUsedConnectionsAreBounded has clients send one request each and keep their connection open. Those idle longest
// are closed, so that descriptors stay available for new connections.
func TestUsedConnectionsAreBounded(t *testing.T) {
	c := newConnTracker(100, 10)
	var all []net.Conn
	for range 50 {
		server, _ := net.Pipe()
		c.onStateChange(server, http.StateNew)
		c.onStateChange(server, http.StateActive)
		c.onStateChange(server, http.StateIdle)
		all = append(all, server)
	}
	if c.open != 10 || c.idle.Len() != 10 || !c.uncounted[all[39]] || c.uncounted[all[40]] {
		t.Errorf("%d open, %d idle, want 10 of each, and the ones idle longest closed", c.open, c.idle.Len())
	}
}

// TestClosedConnectionIsUncountedAtOnce checks that the connection idle longest is closed at the limit and no longer
// counts, before net/http reports it as closed, so that a new client is not rejected because of it.
func TestClosedConnectionIsUncountedAtOnce(t *testing.T) {
	c := newConnTracker(2, 2)
	var clients []net.Conn
	open := func() net.Conn {
		server, client := net.Pipe()
		clients = append(clients, client)
		c.onStateChange(server, http.StateNew)
		c.onStateChange(server, http.StateActive)
		return server
	}
	a, b := open(), open()
	c.onStateChange(a, http.StateIdle)
	c.onStateChange(b, http.StateIdle)
	d := open()
	if _, err := clients[0].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the connection idle longest is not closed: %v", err)
	}
	if c.overloaded() {
		t.Error("overloaded although one connection was closed")
	}
	c.onStateChange(a, http.StateClosed)
	c.onStateChange(b, http.StateActive)
	open()
	if !c.overloaded() {
		t.Error("not overloaded with three connections in use and a limit of two")
	}
	c.onStateChange(d, http.StateIdle)
	if c.overloaded() || len(c.uncounted) != 1 {
		t.Error("the connection that became idle was not closed")
	}
}

// TestConnectionBeyondLimitIsRejectedAndClosed has a client send a query while the maximum number of connections is in
// use. The query is rejected with 503 at once, and the connection is closed.
func TestConnectionBeyondLimitIsRejectedAndClosed(t *testing.T) {
	release := make(chan struct{})
	f, _, address := startServer(t, 1, func(context.Context, *dispatch.Query) dispatch.Result {
		<-release
		return dispatch.Result{Kind: dispatch.Failed}
	})
	first := make(chan []int, 1)
	go func() {
		status, _, _ := exchange(t, address, post("/find", headers, shardsBody), 1)
		first <- status
	}()
	<-f.picked
	if status, _, head := exchange(t, address, post("/find", headers, shardsBody), 1); status[0] != 503 || head.Get("Connection") != "close" {
		t.Errorf("status %v, headers %v, want 503 and a close", status, head)
	}
	close(release)
	if status := <-first; status[0] != 504 {
		t.Errorf("the first request got status %v, want 504", status)
	}
}

// TestLingeringConnectionsAreBounded closes connections whose clients keep their side open. At most the limit of
// them keep their descriptors; the oldest is released first.
func TestLingeringConnectionsAreBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := newConnTracker(8, 8)
	listener := &trackingListener{Listener: drainable.NewListener(l), tracker: c}
	var clients []*net.TCPConn
	for range c.lingering.limit + 3 {
		clients = append(clients, dial(t, l.Addr().String()))
		server, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		server.Close()
	}
	c.lingering.mu.Lock()
	if len(c.lingering.conns) != c.lingering.limit {
		t.Errorf("%d connections linger, want %d", len(c.lingering.conns), c.lingering.limit)
	}
	c.lingering.mu.Unlock()
	for _, client := range clients {
		client.Close()
	}
	<-c.lingering.released()
}

// TestRejectedLargeRequestsLeaveRoomForQueries guards against queries that are rejected, or wait to be accepted, because
// connections stay in use after their last response: net/http sleeps before it ends one whose request was too large.
func TestRejectedLargeRequestsLeaveRoomForQueries(t *testing.T) {
	const maxConns, rounds = 4, 8
	chunk := "8000\r\n" + strings.Repeat("c", 0x8000) + "\r\n"
	announced := "Content-Length: 60000000\r\n\r\n"
	for name, tooLarge := range map[string]struct {
		request string
		status  int
	}{
		"head":           {"GET / HTTP/1.1\r\nHost: h\r\nX-Note: " + strings.Repeat("n", 2*maxHeaderBytes) + "\r\n\r\n", 431},
		"body in chunks": {"POST /find HTTP/1.1\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 4), 413},
		"announced body": {"POST /find HTTP/1.1\r\n" + headers + announced, 413},
		"health check":   {"POST /-/healthy HTTP/1.1\r\nHost: h\r\n" + announced, 200},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, address := startServer(t, maxConns, failed)
			startedAt := time.Now()
			for range rounds * HeldConns(maxConns) {
				if status, _, _ := exchange(t, address, tooLarge.request, 1); status[0] != tooLarge.status {
					t.Fatalf("status %d of a request that is too large, want %d", status[0], tooLarge.status)
				}
			}
			if status, _, _ := exchange(t, address, post("/find", headers, shardsBody), 1); status[0] != 504 {
				t.Errorf("status %d of a query, want 504", status[0])
			}
			if took := time.Since(startedAt); took > rounds*lingerTimeout/2 {
				t.Errorf("took %v: each round has waited for connections to end", took)
			}
		})
	}
}
