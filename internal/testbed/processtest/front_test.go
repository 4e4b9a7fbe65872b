package processtest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"yokeroute/internal/pcg"
)

// frontTo is a front of a fleet whose only gatherer is a function that takes each connection.
func frontTo(t *testing.T, serve func(net.Conn)) *Front {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	g := &Gatherer{Name: "g1", Hall: "north"}
	fleet := &Fleet{Scenario: scenarioOf(t, small), terms: Terms{DirectFront: true}, began: time.Now()}
	f := &Front{fleet: fleet, total: Tallies{}, events: &Series{}, targets: []*frontTarget{newFrontTarget(g, l.Addr().String())}}
	fleet.Front = f
	f.ctx, f.stop = context.WithCancel(t.Context())
	t.Cleanup(f.Close)
	return f
}

// tryOnce draws an operation and tries it for a time.
func tryOnce(f *Front, timeout time.Duration) Try {
	f.chance = pcg.New(1)
	_, o := f.drawNext()
	o.patience = 1
	try, _ := f.try(o, 0, time.Now(), time.Now().Add(timeout))
	return try
}

func readRequest(t *testing.T, c net.Conn) bool {
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return false
	}
	io.Copy(io.Discard, req.Body)
	return true
}

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n{\"complete\":true,\"hits\":[] }"

// TestLateAnswerIsNotLost guards against a client that gives up at its time: by the standing test an answer up to half a
// second later only earns nothing, and one that comes later, or never, is lost.
func TestLateAnswerIsNotLost(t *testing.T) {
	const timeout = 300 * time.Millisecond
	for _, c := range []struct {
		after time.Duration
		want  Ending
	}{
		{0, Satisfied},
		{timeout + lateAnswerTime/2, Late},
		{timeout + lateAnswerTime*3/2, Lost},
		{time.Hour, Lost},
	} {
		t.Run(fmt.Sprint(c.after), func(t *testing.T) {
			t.Parallel()
			f := frontTo(t, func(conn net.Conn) {
				defer conn.Close()
				if !readRequest(t, conn) {
					return
				}
				select {
				case <-time.After(c.after):
				case <-t.Context().Done():
				}
				io.WriteString(conn, wholeAnswer)
			})
			try := tryOnce(f, timeout)
			if try.Ending != c.want || (try.Value > 0) != (c.want == Satisfied) {
				t.Errorf("answered after %v: %+v", c.after, try)
			}
			lost := f.LostTries()
			if (len(lost) > 0) != (c.want == Lost) || len(lost) > 0 && lost[0].Kind != Unanswered {
				t.Errorf("lost: %v", lost)
			}
		})
	}
}

// TestRequestOnNewConnectionIsNotSentTwice guards against a rig that sends a request once more after its connection broke.
func TestRequestOnNewConnectionIsNotSentTwice(t *testing.T) {
	f := frontTo(t, func(conn net.Conn) {
		readRequest(t, conn)
		conn.Close()
	})
	try := tryOnce(f, time.Second)
	lost := f.LostTries()
	if try.Ending != Lost || len(lost) != 1 || lost[0].Kind != NewConnectionBroke {
		t.Errorf("%+v, lost %v", try, lost)
	}
}
