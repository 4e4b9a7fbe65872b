package shardcall

import (
	"fmt"
	"testing"
	"time"

	"yokeroute/gather"
	"yokeroute/internal/testbed/standin"
	"yokeroute/internal/testbed/standin/shardserver"
)

// TestHandshakeOncePerServerProcess checks that the pool makes one handshake with each process of a server, on a
// separate connection, and repeats it after a restart or if the server could not be reached. A server that does not
// know the frame does not support first passes.
func TestHandshakeOncePerServerProcess(t *testing.T) {
	reports := make(chan string, 10)
	p := New(Config{Settings: &gather.Settings{ConnectTimeout: 1000.0}, MaxConns: 100, Log: discardLog()})
	p.EnableFirstPass(func(server uint32, supported bool) { reports <- fmt.Sprint(server, supported) })
	p.handshakeRetryDelay = 10 * time.Millisecond
	start := func(firstPassWork float64) *shardserver.Server {
		s, err := shardserver.Start(shardserver.Config{Cores: 1, MeanWork: 1, FirstPassWork: firstPassWork}, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		return s
	}
	supporting, unsupporting, stopped, silent := start(1), start(0), start(1), standin.NewShard(t)
	stopped.Kill()
	list := []Address{{ID: 1, HostPort: supporting.Address()}, {ID: 2, HostPort: unsupporting.Address()},
		{ID: 3, HostPort: stopped.Address()}, {ID: 4, HostPort: silent.Address()}}
	p.SetEndpoints(list)
	p.SetEndpoints(list)
	first, second := <-reports, <-reports
	if first+" "+second != "1 true 2 false" && first+" "+second != "2 false 1 true" {
		t.Errorf("reports %s, %s; want \"1 true\" and \"2 false\"", first, second)
	}
	conn := silent.Take()
	if f := conn.Read(); f.Type != 'H' || f.Body != "two-phase 1" {
		t.Errorf("handshake frame %+v, want type H with \"two-phase 1\"", f)
	}
	if err := stopped.Restart(); err != nil {
		t.Fatal(err)
	}
	if f := <-reports; f != "3 true" {
		t.Errorf("report %s, want \"3 true\"", f)
	}
	conn.Write('H', "two-phase 2") // another version of the extension
	if f := <-reports; f != "4 false" {
		t.Errorf("report %s, want \"4 false\"", f)
	}
	if n := supporting.Counts().Handshakes + unsupporting.Counts().Handshakes; n != 2 {
		t.Errorf("%d handshakes, want 2", n)
	}
	unsupporting.SetFirstPassWork(1)
	list[1].StartedAt = 7
	p.SetEndpoints(list)
	if f := <-reports; f != "2 true" {
		t.Errorf("report %s for a restarted process, want \"2 true\"", f)
	}
	list[1].StartedAt = 0 // the start of the same process is long ago
	p.SetEndpoints(list)
	p.mu.Lock()
	if n := p.servers[2].handshake.startedAt; n != 7 {
		t.Errorf("handshake with the process started at %v, want 7: the server has not restarted", n)
	}
	p.mu.Unlock()
	if supporting.Counts().Handshakes != 1 || len(reports) > 0 {
		t.Errorf("the handshake was repeated without a restart")
	}
}
