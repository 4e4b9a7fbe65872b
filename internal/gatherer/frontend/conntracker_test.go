package frontend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"yokeroute/internal/gatherer/dispatch"
)

// TestSilentConnectionClosesFirst fills the bound with connections that have not sent anything: they are closed
// first, but not one on which a request waits to be read.
func TestSilentConnectionClosesFirst(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := newConnTracker(3, 9)
	open := func(text string) (near, far net.Conn) {
		far, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		near, err = l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { far.Close(); near.Close() })
		io.WriteString(far, text)
		for text != "" && !hasUnreadBytes(near) {
			time.Sleep(time.Millisecond)
		}
		return near, far
	}
	usual, _ := open("")
	c.onStateChange(usual, http.StateNew)
	c.onStateChange(usual, http.StateActive)
	c.onStateChange(usual, http.StateIdle)
	sending, _ := open("POST ")
	c.onStateChange(sending, http.StateNew)
	silent, far := open("")
	c.onStateChange(silent, http.StateNew)
	for _, conn := range []net.Conn{sending, silent} {
		p := c.entries[conn]
		p.since = p.since.Add(-firstByteTimeout)
		c.entries[conn] = p
	}
	last, _ := open("")
	c.onStateChange(last, http.StateNew)
	far.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := far.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the silent one is still open: %v", err)
	}
	for name, conn := range map[string]net.Conn{"idle": usual, "sending": sending, "last": last} {
		if c.uncounted[conn] {
			t.Errorf("the %s one was closed", name)
		}
	}
	// Nothing is silent for long now. A client that has just come is about to send: closed then, its request
	// fails, where one between two requests just connects again.
	next, _ := open("")
	c.onStateChange(next, http.StateNew)
	if !c.uncounted[usual] || c.uncounted[last] || c.uncounted[next] {
		t.Errorf("idle closed: %v, new ones: %v and %v", c.uncounted[usual], c.uncounted[last], c.uncounted[next])
	}
	c.onStateChange(next, http.StateActive)
	c.onStateChange(last, http.StateActive)
	c.onStateChange(sending, http.StateActive)
	var more []net.Conn // all in use: a few more may come, for an answer that says so, and then none
	for range 3 {
		near, _ := open("POST ")
		c.onStateChange(near, http.StateNew)
		c.onStateChange(near, http.StateActive)
		more = append(more, near)
	}
	if c.uncounted[more[0]] || !c.uncounted[more[1]] || !c.uncounted[more[2]] {
		t.Errorf("of three too many %v were closed", c.uncounted)
	}
}

// TestUsedConnectionsAreBounded has clients send one request each and hold their connection. Those idle longest
// are closed, so that a share of the descriptors stays free for new ones.
func TestUsedConnectionsAreBounded(t *testing.T) {
	c := newConnTracker(100, 10)
	var all []net.Conn
	for range 50 {
		near, _ := net.Pipe()
		c.onStateChange(near, http.StateNew)
		c.onStateChange(near, http.StateActive)
		c.onStateChange(near, http.StateIdle)
		all = append(all, near)
	}
	if c.open != 10 || c.idle.Len() != 10 || !c.uncounted[all[39]] || c.uncounted[all[40]] {
		t.Errorf("%d open, %d idle", c.open, c.idle.Len())
	}
}

// TestClosedConnectionIsUncountedAtOnce closes the connection idle longest at the bound and counts it out before
// its own goroutine has noticed, so that a new client is not rejected for it.
func TestClosedConnectionIsUncountedAtOnce(t *testing.T) {
	c := newConnTracker(2, 2)
	var far []net.Conn
	open := func() net.Conn {
		near, other := net.Pipe()
		far = append(far, other)
		c.onStateChange(near, http.StateNew)
		c.onStateChange(near, http.StateActive)
		return near
	}
	a, b := open(), open()
	c.onStateChange(a, http.StateIdle)
	c.onStateChange(b, http.StateIdle)
	d := open()
	if _, err := far[0].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the one idle longest is not closed: %v", err)
	}
	if c.overloaded() {
		t.Error("overloaded, though one was closed")
	}
	c.onStateChange(a, http.StateClosed)
	c.onStateChange(b, http.StateActive)
	open()
	if !c.overloaded() {
		t.Error("three in use are not above two")
	}
	c.onStateChange(d, http.StateIdle)
	if c.overloaded() || len(c.uncounted) != 1 {
		t.Error("one that fell idle was not closed")
	}
}

// TestOverloadIsRejectedAndClosed has a client come while all connections are busy. It is rejected and its
// connection closed; it is not left waiting.
func TestOverloadIsRejectedAndClosed(t *testing.T) {
	hold := make(chan struct{})
	f, _, address := startServer(t, 1, func(context.Context, *dispatch.Query) dispatch.Result {
		<-hold
		return dispatch.Result{Kind: dispatch.Failed}
	})
	first := make(chan []int, 1)
	go func() {
		status, _, _ := exchange(t, address, post("/find", headers, shardsBody), 1)
		first <- status
	}()
	<-f.picked
	if status, _, head := exchange(t, address, post("/find", headers, shardsBody), 1); status[0] != 503 || head.Get("Connection") != "close" {
		t.Errorf("status %v, %v", status, head)
	}
	close(hold)
	if status := <-first; status[0] != 504 {
		t.Errorf("the first is answered %v", status)
	}
}

// TestLingeringConnectionsAreBounded closes connections whose clients do not close theirs. No more than the limit
// hold their descriptors; the oldest is released first.
func TestLingeringConnectionsAreBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := newConnTracker(8, 8)
	taps := &trackingListener{Listener: l, tracker: c}
	var far []*net.TCPConn
	for range c.lingering.limit + 3 {
		far = append(far, dial(t, l.Addr().String()))
		near, err := taps.Accept()
		if err != nil {
			t.Fatal(err)
		}
		near.Close()
	}
	c.lingering.mu.Lock()
	if len(c.lingering.conns) != c.lingering.limit {
		t.Errorf("%d hold their descriptors, %d may", len(c.lingering.conns), c.lingering.limit)
	}
	c.lingering.mu.Unlock()
	for _, f := range far {
		f.Close()
	}
	<-c.lingering.released()
}
