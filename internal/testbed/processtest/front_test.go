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
	"yokeroute/internal/rulecheck"
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

// TestRequestThatCrossesACloseIsSentOnceMore guards against a rig that counts a request as lost which crossed the close of
// its idle connection, and against one that excuses a request that was read.
func TestRequestThatCrossesACloseIsSentOnceMore(t *testing.T) {
	sendNext := make(chan bool, 1)
	conns := make(chan int, 10)
	conns <- 1
	f := frontTo(t, func(conn net.Conn) {
		defer conn.Close()
		number := <-conns
		conns <- number + 1
		if !readRequest(t, conn) {
			return
		}
		io.WriteString(conn, wholeAnswer)
		if number == 1 { // closed once the next request has come, which is not read
			sendNext <- true
			time.Sleep(200 * time.Millisecond)
		}
	})
	if try := tryOnce(f, time.Second); try.Ending != Satisfied {
		t.Fatalf("%+v", try)
	}
	<-sendNext
	try := tryOnce(f, time.Second)
	if try.Ending != Satisfied {
		t.Errorf("%+v", try)
	}
	if crossed := f.CrossedTries(); len(crossed) != 1 || crossed[0].Kind != ReusedConnectionBroke || crossed[0].Name+resendSuffix != try.Name {
		t.Errorf("sent once more: %v, as %s", crossed, try.Name)
	}
	if lost, crossed := f.fleet.losses(&rulecheck.JoinedReport{}); len(lost) != 0 || len(crossed) != 1 {
		t.Errorf("lost %v, sent once more %v", lost, crossed)
	}
}

// TestRequestOnNewConnectionIsNotSentTwice guards against a rig that sends a request once more where no kept connection
// was closed.
func TestRequestOnNewConnectionIsNotSentTwice(t *testing.T) {
	f := frontTo(t, func(conn net.Conn) {
		readRequest(t, conn)
		conn.Close()
	})
	try := tryOnce(f, time.Second)
	lost := f.LostTries()
	if try.Ending != Lost || len(lost) != 1 || lost[0].Kind != NewConnectionBroke || len(f.CrossedTries()) != 0 {
		t.Errorf("%+v, lost %v, sent once more %v", try, lost, f.CrossedTries())
	}
}

// TestRequestReadAndDroppedIsLost guards against a rig that excuses a gatherer which reads requests on kept connections
// and closes these without an answer.
func TestRequestReadAndDroppedIsLost(t *testing.T) {
	t.Parallel()
	program, err := BuildWorse("drops", "1", true)
	if err != nil {
		t.Fatal(err)
	}
	f, err := StartFleet(minute(t), scenarioOf(t, small), Terms{Binary: program, Folder: t.TempDir(), DirectFront: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	f.Front.Play(minute(t), 2*time.Second)
	result, err := f.Finish()
	if err != nil {
		t.Fatal(err)
	}
	kinds := map[LossKind]int{}
	for _, try := range result.Lost {
		kinds[try.Kind]++
	}
	if kinds[ReadAndDropped] < 10 {
		t.Errorf("%d operations, lost: %v, sent once more: %v", f.Front.Total().Operations, kinds, result.Crossed)
	}
}
