package drainable

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"yokeroute/internal/testbed/lateclient"
)

// listen returns a listener on a free port.
func listen(t *testing.T) *Listener {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(tcp)
	t.Cleanup(func() { l.Close() })
	return l
}

// dial returns a connection to a listener, which has sent a byte.
func dial(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	send(t, c)
	return c
}

func send(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := io.WriteString(c, "?"); err != nil {
		t.Error(err)
	}
}

// answerAll accepts connections until the listener is closed and sends a byte on each. It returns how many
// there were.
func answerAll(t *testing.T, l net.Listener) (accepted int) {
	t.Helper()
	for {
		c, err := l.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				t.Error(err)
			}
			return accepted
		}
		accepted++
		t.Cleanup(func() { c.Close() })
		send(t, c)
	}
}

// wantAnswer wants a byte on a connection.
func wantAnswer(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Error(err)
	}
}

// TestDrainAcceptsQueuedConnections guards against connections that are reset as nobody accepts them before
// the end of the time for handshakes, as on a machine that has no processor left for it.
func TestDrainAcceptsQueuedConnections(t *testing.T) {
	for _, handshakeTimeout := range []time.Duration{0, time.Millisecond} {
		l := listen(t)
		var clients []net.Conn
		for range 5 {
			clients = append(clients, dial(t, l))
		}
		l.Drain(handshakeTimeout)
		time.Sleep(20 * time.Millisecond)
		if n := answerAll(t, l); n != len(clients) {
			t.Errorf("%d of %d accepted", n, len(clients))
		}
		for _, c := range clients {
			wantAnswer(t, c)
		}
	}
}

// TestDrainRefusesNewConnections guards against connections that are established behind the last accept, and
// reset by the close: once the drain has begun the kernel refuses them, while the listener is open still.
func TestDrainRefusesNewConnections(t *testing.T) {
	l := listen(t)
	queued := dial(t, l)
	l.Drain(time.Minute)
	for range 20 {
		if c, err := net.Dial("tcp", l.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("dialled %v, %v", c, err)
		}
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	send(t, c)
	wantAnswer(t, queued)
}

// TestDrainAcceptsHandshakeUnderWay guards against a connection that is reset as its handshake is completed
// after the drain has begun. The kernel is told to complete it with the first data, so that the test says
// when.
func TestDrainAcceptsHandshakeUnderWay(t *testing.T) {
	l := listen(t)
	lateclient.CompleteHandshakesWithData(t, l.Listener)
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	l.Drain(5 * time.Second)
	send(t, c)
	go answerAll(t, l)
	wantAnswer(t, c)
	l.Close()
}

// TestDrainClosesWithoutClients: the listener is closed once the time for handshakes is over.
func TestDrainClosesWithoutClients(t *testing.T) {
	l := listen(t)
	accepting := make(chan int)
	go func() { accepting <- answerAll(t, l) }()
	startedAt := time.Now()
	l.Drain(50 * time.Millisecond)
	if n := <-accepting; n != 0 || time.Since(startedAt) < 50*time.Millisecond {
		t.Errorf("%d accepted, closed after %v", n, time.Since(startedAt))
	}
	if err := l.Close(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("not closed: %v", err)
	}
}
