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

// generousTimeouts are long enough for tests on a busy machine.
var generousTimeouts = Timeouts{Handshakes: time.Second, Requests: 10 * time.Second}

// start serves a handler on a listener until the test ends, and fails the test if Close returns an error.
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

// closeAndAwaitRefusal closes a server in the background and returns once it refuses new connections. The channel
// receives the result of Close.
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

// TestCloseAnswersQueuedRequests guards against Close resetting requests whose connections are established but
// not yet accepted.
func TestCloseAnswersQueuedRequests(t *testing.T) {
	gated := &gatedListener{listen(t), make(chan struct{})}
	s := start(t, gated, Timeouts{Handshakes: time.Millisecond, Requests: generousTimeouts.Requests}, ok)
	var clients []*lateclient.Client
	for range 5 {
		c := lateclient.Dial(t, gated.Addr().String())
		c.Send(request)
		clients = append(clients, c)
	}
	closed := closeAndAwaitRefusal(t, s)
	time.Sleep(20 * time.Millisecond) // longer than the handshake timeout
	close(gated.released)
	for _, c := range clients {
		c.WantLastResponse(http.StatusOK)
	}
	if err := <-closed; err != nil {
		t.Error(err)
	}
}

// TestCloseAnswersConnectionInHandshake guards against Close resetting a connection whose handshake completes after
// Close has begun.
func TestCloseAnswersConnectionInHandshake(t *testing.T) {
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

// TestCloseAnswersRequestsInFlight guards against Close aborting requests in flight. One request is complete, of the
// other one only half of the body has arrived; both handlers respond only after Close has begun.
func TestCloseAnswersRequestsInFlight(t *testing.T) {
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
	complete, partial := lateclient.Dial(t, l.Addr().String()), lateclient.Dial(t, l.Addr().String())
	complete.Send(request)
	partial.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n12")
	<-serving
	<-serving
	closed := closeAndAwaitRefusal(t, s)
	<-s.Ending()
	close(ending)
	partial.Send("34")
	complete.WantLastResponse(http.StatusOK)
	partial.WantLastResponse(http.StatusOK)
	if err := <-closed; err != nil {
		t.Error(err)
	}
}

// TestCloseReturnsDespiteBlockedHandlerAndSilentClient checks that Close returns although one handler blocks until its
// context ends and one client sends nothing.
func TestCloseReturnsDespiteBlockedHandlerAndSilentClient(t *testing.T) {
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
		t.Error("Close did not return within 10 s")
	}
}
