package frontend

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/testbed/lateclient"
)

// gatedListener delays Accept until released is closed, as when a busy machine does not schedule the accepting
// goroutine.
type gatedListener struct {
	*net.TCPListener
	released chan struct{}
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.released
	return l.TCPListener.Accept()
}

// TestShutdownServesQueuedConnections guards against requests being reset when the listener is closed,
// because their connections are established but not yet accepted.
func TestShutdownServesQueuedConnections(t *testing.T) {
	f := &fakePicker{make(chan *dispatch.Query, 10), failed}
	s := newTestServer(f, 10, func() bool { return true })
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gated := &gatedListener{tcp.(*net.TCPListener), make(chan struct{})}
	go s.Serve(gated)
	t.Cleanup(func() { s.http.Close() })
	var clients []*net.TCPConn
	for _, id := range []string{"b1", "b2", "b3", "b4", "b5"} {
		c := dial(t, tcp.Addr().String())
		io.WriteString(c, post("/find", strings.Replace(headers, "a1", id, 1), shardsBody))
		clients = append(clients, c)
	}
	releaseAfter := lameDuckPeriod + handshakeTimeout + 50*time.Millisecond // after the handshake timeout has passed
	time.AfterFunc(releaseAfter, func() { close(gated.released) })
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	for _, c := range clients {
		if resp := readResponse(t, bufio.NewReader(c)); resp.StatusCode != 504 || !resp.Close {
			t.Errorf("response status %d, close %v, want 504 and true", resp.StatusCode, resp.Close)
		}
		c.Close()
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", tcp.Addr().String()); err == nil {
		t.Error("the server still accepts connections after Shutdown")
	}
}

// TestShutdownServesConnectionInHandshake guards against a request being reset because the handshake of its connection
// completes just after the end of the lame-duck period. The kernel is configured to complete a handshake with the first
// data, so that the test determines when.
func TestShutdownServesConnectionInHandshake(t *testing.T) {
	f := &fakePicker{make(chan *dispatch.Query, 10), failed}
	s := newTestServer(f, 10, func() bool { return true })
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lateclient.CompleteHandshakesWithData(t, tcp)
	s.handshakeTimeout = time.Second // the test may be delayed on a busy machine
	go s.Serve(tcp)
	t.Cleanup(func() { s.http.Close() })
	c := dial(t, tcp.Addr().String())
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	waitUntil(t, "new connections are refused", func() bool {
		extra, err := net.Dial("tcp", tcp.Addr().String())
		if err != nil {
			return true
		}
		extra.Close()
		return false
	})
	io.WriteString(c, post("/find", headers, shardsBody))
	if resp := readResponse(t, bufio.NewReader(c)); resp.StatusCode != 504 || !resp.Close {
		t.Errorf("response status %d, close %v, want 504 and true", resp.StatusCode, resp.Close)
	}
	c.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
