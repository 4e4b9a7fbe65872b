// Package lateclient has clients for tests of how servers end: each sends what is left of its request once
// the server refuses new connections.
package lateclient

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// patience is how long a client waits at most.
	patience = 20 * time.Second

	pollInterval = time.Millisecond
	deferSeconds = 10 // for which the kernel waits for a handshake's data
)

// Client is a client's connection.
type Client struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

// Dial connects to a server until the test ends.
func Dial(t *testing.T, address string) *Client {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	return &Client{Conn: c, t: t, r: bufio.NewReader(c)}
}

// Send sends a text.
func (c *Client) Send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.Conn, text); err != nil {
		c.t.Error(err)
	}
}

// WantLastResponse wants a response with a status that ends the connection.
func (c *Client) WantLastResponse(status int) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Errorf("no response: %v", err)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode != status || !resp.Close || err != nil {
		c.t.Errorf("status %d, close %v, %q, %v", resp.StatusCode, resp.Close, body, err)
	}
}

// CompleteHandshakesWithData has the kernel complete the handshake of a new connection with its first data.
// For its client it is established before; for the server it is under way until the client sends.
func CompleteHandshakesWithData(t *testing.T, l net.Listener) {
	t.Helper()
	raw, err := l.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var optionErr error
	err = raw.Control(func(listening uintptr) {
		optionErr = unix.SetsockoptInt(int(listening), unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, deferSeconds)
	})
	if err := errors.Join(err, optionErr); err != nil {
		t.Fatal(err)
	}
}

// AwaitRefusal waits until a server refuses new connections.
func AwaitRefusal(t *testing.T, address string) {
	t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(pollInterval) {
		c, err := net.Dial("tcp", address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err == nil {
			c.Close()
		}
		if time.Now().After(end) {
			t.Fatalf("not refused: %v", err)
		}
	}
}
