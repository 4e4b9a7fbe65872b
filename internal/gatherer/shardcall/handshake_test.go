package shardcall

import (
	"fmt"
	"testing"
	"time"

	"yokeroute/gather"
	"yokeroute/internal/testbed/standin"
	"yokeroute/internal/testbed/standin/shardserver"
)

// TestHandshakeOncePerServerProcess wants one handshake with each process of a server, on a connection of its own,
// repeated after a restart or where the server could not be reached. A server that does not know the frame answers no
// first passes.
func TestHandshakeOncePerServerProcess(t *testing.T) {
	found := make(chan string, 10)
	p := New(Config{Settings: &gather.Settings{ConnectTimeout: 1000.0}, MaxConns: 100, Log: discardLog()})
	p.EnableFirstPass(func(server uint32, yes bool) { found <- fmt.Sprint(server, yes) })
	p.handshakeRetryDelay = 10 * time.Millisecond
	start := func(brief float64) *shardserver.Server {
		s, err := shardserver.Start(shardserver.Config{Cores: 1, MeanWork: 1, FirstPassWork: brief}, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		return s
	}
	fresh, old, gone, silent := start(1), start(0), start(1), standin.NewShard(t)
	gone.Kill()
	list := []Address{{ID: 1, HostPort: fresh.Address()}, {ID: 2, HostPort: old.Address()},
		{ID: 3, HostPort: gone.Address()}, {ID: 4, HostPort: silent.Address()}}
	p.SetEndpoints(list)
	p.SetEndpoints(list)
	first, second := <-found, <-found
	if first+" "+second != "1 true 2 false" && first+" "+second != "2 false 1 true" {
		t.Errorf("found %s, %s", first, second)
	}
	conn := silent.Take()
	if f := conn.Read(); f.Type != 'H' || f.Body != "two-phase 1" {
		t.Errorf("asked by %+v", f)
	}
	if err := gone.Restart(); err != nil {
		t.Fatal(err)
	}
	if f := <-found; f != "3 true" {
		t.Errorf("found %s", f)
	}
	conn.Write('H', "two-phase 2") // another version of the extension
	if f := <-found; f != "4 false" {
		t.Errorf("found %s", f)
	}
	if n := fresh.Counts().Handshakes + old.Counts().Handshakes; n != 2 {
		t.Errorf("asked %d times", n)
	}
	old.SetFirstPassWork(1)
	list[1].StartedAt = 7
	p.SetEndpoints(list)
	if f := <-found; f != "2 true" {
		t.Errorf("found %s of a process that has started anew", f)
	}
	if fresh.Counts().Handshakes != 1 || len(found) > 0 {
		t.Errorf("asked again without need")
	}
}
