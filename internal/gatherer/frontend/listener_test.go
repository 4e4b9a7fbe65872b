package frontend

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"yokeroute/internal/gatherer/dispatch"
)

// heldListener accepts nothing until it is released, as on a machine that has no processor left for it.
type heldListener struct {
	*net.TCPListener
	released chan struct{}
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	<-l.released
	return l.TCPListener.Accept()
}

// TestShutdownServesConnectionsThatWaitToBeAccepted guards against requests that are reset by the close of the listener,
// as their connections are established and not accepted yet.
func TestShutdownServesConnectionsThatWaitToBeAccepted(t *testing.T) {
	f := &fakePicker{make(chan *dispatch.Query, 10), failed}
	s := newTestServer(f, 10, func() bool { return true })
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := &heldListener{tcp.(*net.TCPListener), make(chan struct{})}
	go s.Serve(held)
	t.Cleanup(func() { s.http.Close() })
	var clients []*net.TCPConn
	for _, id := range []string{"b1", "b2", "b3", "b4", "b5"} {
		c := dial(t, tcp.Addr().String())
		io.WriteString(c, post("/find", strings.Replace(headers, "a1", id, 1), shardsBody))
		clients = append(clients, c)
	}
	time.AfterFunc(lameDuckPeriod+50*time.Millisecond, func() { close(held.released) })
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
