package frontend

import (
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"

	"yokeroute/internal/socket"
)

// TestConnectionIsEitherClosedOrServed checks that a connection is not closed as idle while a request is served, unread
// or partly read, and that after it has been closed no request on it is read or served.
func TestConnectionIsEitherClosedOrServed(t *testing.T) {
	conn, client := connPair(t)
	if !conn.beginRequest() || conn.closeIfIdle() {
		t.Error("not served, or closed while a request is served")
	}
	conn.markIdle()
	io.WriteString(client, "P")
	waitUntil(t, "a byte is unread", func() bool { return socket.HasUnreadBytes(conn.TCPConn) })
	if conn.closeIfIdle() {
		t.Error("closed with an unread byte")
	}
	if n, err := conn.Read(make([]byte, 9)); n != 1 || err != nil {
		t.Error(n, err)
	}
	if conn.closeIfIdle() {
		t.Error("closed although part of a request was read")
	}
	if !conn.beginRequest() {
		t.Error("the request is not served")
	}
	conn.markIdle()
	if !conn.closeIfIdle() || conn.beginRequest() {
		t.Error("not closed when idle, or a request served after the close")
	}
	io.WriteString(client, "POST")
	client.CloseWrite()
	if n, err := conn.Read(make([]byte, 9)); n != 0 || err == nil {
		t.Errorf("read %d bytes after the close, %v, want an error", n, err)
	}
}

// TestCloseWakesPendingRead closes a connection while a read waits, and then sends a byte that wakes the read. It
// returns net.ErrClosed and 0 bytes, not the -1 of the previous system call, which found no data.
func TestCloseWakesPendingRead(t *testing.T) {
	conn, client := connPair(t)
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
		stacks := make([]byte, 1<<20)
		stacks = stacks[:runtime.Stack(stacks, true)]
		for _, g := range strings.Split(string(stacks), "\n\n") {
			if strings.Contains(g, "IO wait") && strings.Contains(g, "clientConn).receive") {
				return true
			}
		}
		return false
	})
	conn.mu.Lock()
	conn.closedByServer = true
	conn.mu.Unlock()
	io.WriteString(client, "P")
	if r := <-got; r.n != 0 || !errors.Is(r.err, net.ErrClosed) {
		t.Errorf("read %d, %v, want 0 and net.ErrClosed", r.n, r.err)
	}
}

// TestCloseOverUnreadBytesKeepsResponse closes a connection after its last response while bytes are unread, which would
// reset it with a plain close. The client reads the whole response and then an end of file.
func TestCloseOverUnreadBytesKeepsResponse(t *testing.T) {
	conn, client := connPair(t)
	io.WriteString(client, "more")
	waitUntil(t, "bytes are unread", func() bool { return socket.HasUnreadBytes(conn.TCPConn) })
	io.WriteString(conn, "answer")
	conn.Close()
	if got, err := io.ReadAll(client); string(got) != "answer" || err != nil {
		t.Errorf("the client read %q, %v, want the whole response", got, err)
	}
	// The same applies when net/http rejects a malformed request head that is followed by many bytes.
	_, _, address := startServer(t, 10, failed)
	c := dial(t, address)
	io.WriteString(c, "hello\r\n\r\n"+strings.Repeat("x", 64<<10))
	if got, err := io.ReadAll(c); !strings.Contains(string(got), " 400 ") || err != nil {
		t.Errorf("the client read %.40q, %v, want a 400 response", got, err)
	}
}
