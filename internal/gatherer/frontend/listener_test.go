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

// gatedListener accepts nothing until it is released, as on a machine that has no processor left for it.
type gatedListener struct {
	*net.TCPListener
	released chan struct{}
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.released
	return l.TCPListener.Accept()
}

// TestShutdownServesQueuedConnections guards against requests that are reset by the close of the listener,
// as their connections are established and not accepted yet.
func TestShutdownServesQueuedConnections(t *testing.T) {
	f := &fakePicker{make(chan *dispatch.Query, 10), failed}
	s := newTestServer(f, 10, func() bool { return true })
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := &gatedListener{tcp.(*net.TCPListener), make(chan struct{})}
	go s.Serve(held)
	t.Cleanup(func() { s.http.Close() })
	var clients []*net.TCPConn
	for _, id := range []string{"b1", "b2", "b3", "b4", "b5"} {
		c := dial(t, tcp.Addr().String())
		io.WriteString(c, post("/find", strings.Replace(headers, "a1", id, 1), shardsBody))
		clients = append(clients, c)
	}
	released := lameDuckPeriod + handshakeTimeout + 50*time.Millisecond // behind all of the time in which they are awaited
	time.AfterFunc(released, func() { close(held.released) })
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	for _, c := range clients {
		if resp := readResponse(t, bufio.NewReader(c)); resp.StatusCode != 504 || !resp.Close {
			t.Errorf("answered %d, close %v", resp.StatusCode, resp.Close)
		}
		c.Close()
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", tcp.Addr().String()); err == nil {
		t.Error("still listening")
	}
}

// TestShutdownServesConnectionInHandshake guards against a request that is reset at the end of
// the lame-duck period, as the handshake of its connection is completed a moment later. The kernel is told to
// complete it with the first data, so that the test says when.
func TestShutdownServesConnectionInHandshake(t *testing.T) {
	f := &fakePicker{make(chan *dispatch.Query, 10), failed}
	s := newTestServer(f, 10, func() bool { return true })
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lateclient.CompleteHandshakesWithData(t, tcp)
	s.handshakeTimeout = time.Second // the test itself may be late on a busy machine
	go s.Serve(tcp)
	t.Cleanup(func() { s.http.Close() })
	c := dial(t, tcp.Addr().String())
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	waitUntil(t, "new connections are refused", func() bool {
		late, err := net.Dial("tcp", tcp.Addr().String())
		if err != nil {
			return true
		}
		late.Close()
		return false
	})
	io.WriteString(c, post("/find", headers, shardsBody))
	if resp := readResponse(t, bufio.NewReader(c)); resp.StatusCode != 504 || !resp.Close {
		t.Errorf("answered %d, close %v", resp.StatusCode, resp.Close)
	}
	c.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
