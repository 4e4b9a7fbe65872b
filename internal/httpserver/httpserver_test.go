package httpserver

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"yokeroute/internal/testbed/lateclient"
)

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// generousTimeouts is time enough for tests on a busy machine.
var generousTimeouts = Timeouts{Handshakes: time.Second, Requests: 10 * time.Second}

// start serves a handler on a listener until the test ends.
func start(t *testing.T, l net.Listener, timeouts Timeouts, handler http.HandlerFunc) *Server {
	t.Helper()
	s := New(l, &http.Server{Handler: handler}, timeouts)
	s.Start()
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	return s
}

// closeAndAwaitRefusal closes a server, and waits until it refuses new connections.
func closeAndAwaitRefusal(t *testing.T, s *Server) (closed <-chan error) {
	t.Helper()
	result := make(chan error, 1)
	go func() { result <- s.Close() }()
	lateclient.AwaitRefusal(t, s.listener.Addr().String())
	return result
}

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l.(*net.TCPListener)
}

func ok(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

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

// TestCloseAnswersQueuedRequests guards against requests that are reset as their connections are not accepted
// yet.
func TestCloseAnswersQueuedRequests(t *testing.T) {
	held := &gatedListener{listen(t), make(chan struct{})}
	s := start(t, held, Timeouts{Handshakes: time.Millisecond, Requests: generousTimeouts.Requests}, ok)
	var clients []*lateclient.Client
	for range 5 {
		c := lateclient.Dial(t, held.Addr().String())
		c.Send(request)
		clients = append(clients, c)
	}
	closed := closeAndAwaitRefusal(t, s)
	time.Sleep(20 * time.Millisecond) // past the time for handshakes
	close(held.released)
	for _, c := range clients {
		c.WantLastResponse(http.StatusOK)
	}
	if err := <-closed; err != nil {
		t.Error(err)
	}
}

// TestCloseAnswersHandshakeUnderWay guards against a request that is reset as its handshake ends after the
// close begins.
func TestCloseAnswersHandshakeUnderWay(t *testing.T) {
	l := listen(t)
	lateclient.CompleteHandshakesWithData(t, l)
	s := start(t, l, generousTimeouts, ok)
	c := lateclient.Dial(t, l.Addr().String())
	closed := closeAndAwaitRefusal(t, s)
	c.Send(request)
	c.WantLastResponse(http.StatusOK)
	if err := <-closed; err != nil {
		t.Error(err)
	}
}

// TestCloseAnswersRequestBeingServed guards against requests that are broken off: of one the body is read,
// the other one is served, and both handlers answer only once the close has begun.
func TestCloseAnswersRequestBeingServed(t *testing.T) {
	serving := make(chan struct{}, 2)
	l := listen(t)
	ending := make(chan struct{})
	s := start(t, l, generousTimeouts, func(_ http.ResponseWriter, r *http.Request) {
		serving <- struct{}{}
		<-ending
		if _, err := io.ReadAll(r.Body); err != nil {
			t.Error(err)
		}
	})
	complete, half := lateclient.Dial(t, l.Addr().String()), lateclient.Dial(t, l.Addr().String())
	complete.Send(request)
	half.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n12")
	<-serving
	<-serving
	closed := closeAndAwaitRefusal(t, s)
	<-s.Ending()
	close(ending)
	half.Send("34")
	complete.WantLastResponse(http.StatusOK)
	half.WantLastResponse(http.StatusOK)
	if err := <-closed; err != nil {
		t.Error(err)
	}
}

// TestCloseIsBounded: neither a handler that waits for ever nor a client that sends nothing keeps the server
// from ending.
func TestCloseIsBounded(t *testing.T) {
	serving := make(chan struct{})
	l := listen(t)
	s := start(t, l, Timeouts{Handshakes: time.Millisecond, Requests: 50 * time.Millisecond},
		func(_ http.ResponseWriter, r *http.Request) {
			close(serving)
			<-r.Context().Done()
		})
	lateclient.Dial(t, l.Addr().String())
	lateclient.Dial(t, l.Addr().String()).Send(request)
	<-serving
	select {
	case err := <-closeAndAwaitRefusal(t, s):
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("not closed")
	}
}
