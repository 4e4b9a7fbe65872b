package frontend

import (
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
)

// TestConnectionIsEitherClosedOrServed closes a connection from another goroutine once bytes of a request have
// been read: either the request is served and the connection stays, or the connection is closed and the request is
// not served.
func TestConnectionIsEitherClosedOrServed(t *testing.T) {
	conn, far := connPair(t)
	if !conn.beginRequest() || conn.closeIfIdle() {
		t.Error("ended under a request in hand")
	}
	conn.markIdle()
	io.WriteString(far, "P")
	waitUntil(t, "a byte waits", func() bool { return hasUnreadBytes(conn.TCPConn) })
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

// TestCloseWakesPendingRead closes a connection while a read of it waits, and has a byte come that wakes the read.
// It returns net.ErrClosed and no bytes, not the -1 of the system call that found nothing.
func TestCloseWakesPendingRead(t *testing.T) {
	conn, far := connPair(t)
	type result struct {
		n   int
		err error
	}
	got := make(chan result, 1)
	go func() {
		n, err := conn.receive(make([]byte, 1))
		got <- result{n, err}
	}()
	waitUntil(t, "the read waits", func() bool {
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
	if r := <-got; r.n != 0 || !errors.Is(r.err, net.ErrClosed) {
		t.Errorf("read %d, %v", r.n, r.err)
	}
}

// TestCloseOverUnreadBytesKeepsResponse closes a connection behind its last response while bytes wait unread,
// which with a plain close resets it. The client reads the whole response and then an end of file.
func TestCloseOverUnreadBytesKeepsResponse(t *testing.T) {
	conn, far := connPair(t)
	io.WriteString(far, "more")
	waitUntil(t, "bytes wait", func() bool { return hasUnreadBytes(conn.TCPConn) })
	io.WriteString(conn, "answer")
	conn.Close()
	if got, err := io.ReadAll(far); string(got) != "answer" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	// The same where net/http answers a head that it can't read, with much more behind it.
	_, _, address := startServer(t, 10, failed)
	c := dial(t, address)
	io.WriteString(c, "hello\r\n\r\n"+strings.Repeat("x", 64<<10))
	if got, err := io.ReadAll(c); !strings.Contains(string(got), " 400 ") || err != nil {
		t.Errorf("%.40q, %v", got, err)
	}
}
