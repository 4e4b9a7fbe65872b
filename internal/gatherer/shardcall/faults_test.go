package shardcall

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/testbed/standin"
)

// Faults between the decision on an attempt and its bytes. Each is forced by a server that reads no further, or by a gate
// in the setup of its connection.

// waitForWrite waits until an attempt's frame is being written, and returns the attempt.
func (d *harness) waitForWrite(t *testing.T) (a *attempt) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); a == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no frame is being written")
		}
		d.mu.Lock()
		for _, one := range d.attempts {
			if one.inFlight() && !one.written {
				a = one
			}
		}
		d.mu.Unlock()
	}
	return a
}

// TestFrameNotBegunIsDroppedAfterDrainGrace has a server stop reading before the first byte of a frame, and then
// drain, be removed or be missing from the list. Nothing of the frame may be written once the server reads again, and
// the attempt never ran.
func TestFrameNotBegunIsDroppedAfterDrainGrace(t *testing.T) {
	for name, word := range map[string][]Address{"draining": {{ID: 7, HostPort: "127.0.0.1:1",
		State: gather.Draining}},
		"gone": {{ID: 7, HostPort: "127.0.0.1:1", State: gather.Removed}}, "missing": nil} {
		d := newHarness(t, "127.0.0.1:1", func(s *gather.Settings) {
			s.DrainGrace = 100.0
			s.FindClass("i").Effect = gather.Idempotent
		})
		theirs := d.connectByPipe()
		d.submit(t.Context(), "a", 1, 60000)
		d.waitForWrite(t)
		d.SetEndpoints(word)
		select {
		case r := <-d.results:
			if r.outcome != gather.ConnectFailed {
				t.Errorf("%s: ended as %v", name, r.outcome)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("%s: still being written", name)
		}
		theirs.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if n, _ := theirs.Read(make([]byte, 100)); n > 0 {
			t.Errorf("%s: %d bytes went after the grace", name, n)
		}
	}
}

// TestFrameBegunBeforeDrainIsAnswered has a server drain in the middle of a frame and read on within the grace. The
// attempt began before the drain, and is answered.
func TestFrameBegunBeforeDrainIsAnswered(t *testing.T) {
	d := newHarness(t, "127.0.0.1:1", func(s *gather.Settings) { s.DrainGrace = 60000.0 })
	theirs := d.connectByPipe()
	done := d.submit(t.Context(), "a", 1, 60000)
	head := make([]byte, 5)
	io.ReadFull(theirs, head)
	d.setEndpoint("127.0.0.1:1", gather.Draining)
	io.ReadFull(theirs, make([]byte, binary.LittleEndian.Uint32(head)-1))
	(&standin.Conn{Conn: theirs}).Answer("a.0", "ok", "v")
	if v := <-done; v.Kind != dispatch.Served {
		t.Errorf("result %+v", v)
	}
}

// connectByGate gives the server a connection that comes up once the gate is closed.
func (d *harness) connectByGate() (gate chan struct{}, theirs net.Conn) {
	ours, theirs := net.Pipe()
	gate = make(chan struct{})
	d.dial = func(string) (net.Conn, error) {
		<-gate
		return ours, nil
	}
	return gate, theirs
}

// TestConnectionThatComesUpLateSendsNothingObsolete ends the reason for an attempt while its connection comes up: the
// client leaves, the query's time is over, or the server drains, is removed or has another address.
func TestConnectionThatComesUpLateSendsNothingObsolete(t *testing.T) {
	for name, end := range map[string]func(d *harness, leave func()){
		"client gone": func(_ *harness, leave func()) { leave() },
		"time up":     func(*harness, func()) {},
		"draining":    func(d *harness, _ func()) { d.setEndpoint("127.0.0.1:1", gather.Draining) },
		"gone":        func(d *harness, _ func()) { d.setEndpoint("127.0.0.1:1", gather.Removed) },
		"moved":       func(d *harness, _ func()) { d.setEndpoint("127.0.0.1:2", gather.Running) },
	} {
		d := newHarness(t, "127.0.0.1:1", nil)
		gate, theirs := d.connectByGate()
		ctx, leave := context.WithCancel(t.Context())
		done := d.submit(ctx, "a", 1, map[bool]float64{true: 50, false: 60000}[name == "time up"])
		for n := 0; n == 0; time.Sleep(time.Millisecond) { // the attempt waits for its connection
			d.mu.Lock()
			n = d.openConns
			d.mu.Unlock()
		}
		end(d, leave)
		switch name {
		case "client gone", "time up":
			<-done
		default: // the query goes on, and its attempt is dropped at the write
		}
		close(gate)
		theirs.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if n, _ := theirs.Read(make([]byte, 100)); n > 0 {
			t.Errorf("%s: %d bytes went", name, n)
		}
		if r := <-d.results; !r.outcome.NeverExecuted() {
			t.Errorf("%s: ended as %v, and nothing went", name, r.outcome)
		}
		leave()
	}
}

// TestCancelledAttemptEndsOnlyOnceServerCouldReadOfIt cancels an attempt without hedging. It ends once the
// cancellation is written, since another attempt follows; until then it may be answered.
func TestCancelledAttemptEndsOnlyOnceServerCouldReadOfIt(t *testing.T) {
	for _, answered := range []bool{false, true} {
		d := newHarness(t, "127.0.0.1:1", func(s *gather.Settings) { s.FindClass("i").Effect = gather.Idempotent })
		theirs := d.connectByPipe()
		d.submit(t.Context(), "a", 1, 60000)
		frame := func() {
			head := make([]byte, 4)
			io.ReadFull(theirs, head)
			io.ReadFull(theirs, make([]byte, binary.LittleEndian.Uint32(head)))
		}
		frame()
		d.mu.Lock()
		var a *attempt
		for _, one := range d.attempts {
			a = one
		}
		for a == nil || !a.written {
			d.mu.Unlock()
			time.Sleep(time.Millisecond)
			d.mu.Lock()
		}
		d.mu.Unlock()
		d.cancel(a.decision, Cancelled, errCancelled)
		d.cancel(a.decision, Cancelled, errCancelled) // a repetition changes nothing
		if len(d.results) > 0 {
			t.Error("reported before the server could read of it")
		}
		if answered {
			(&standin.Conn{Conn: theirs}).Answer("a.0", "ok", "v")
			d.expectResult(t, "a.0", gather.Succeeded)
			frame()
			continue
		}
		frame()
		d.expectResult(t, "a.0", gather.Cancelled)
	}
	// A server that does not read the cancellation: the end of its connection ends the attempt.
	d := newHarness(t, "127.0.0.1:1", func(s *gather.Settings) {
		s.ConnectTimeout = 50.0
		s.FindClass("i").Effect = gather.Idempotent
	})
	theirs := d.connectByPipe()
	d.submit(t.Context(), "a", 1, 60000)
	head := make([]byte, 4)
	io.ReadFull(theirs, head)
	io.ReadFull(theirs, make([]byte, binary.LittleEndian.Uint32(head)))
	var a *attempt
	for written := false; !written; time.Sleep(time.Millisecond) {
		d.mu.Lock()
		for _, one := range d.attempts {
			a, written = one, one.written
		}
		d.mu.Unlock()
	}
	d.cancel(a.decision, Cancelled, errCancelled)
	d.expectResult(t, "a.0", gather.ConnectionReset)
	if n, err := theirs.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("%d bytes, %v: the connection is still open", n, err)
	}
}

// TestQueryEndDoesNotWaitForCancelledWrite cancels an attempt whose server reads no further, and ends its query
// later. The answer must not wait for the write.
func TestQueryEndDoesNotWaitForCancelledWrite(t *testing.T) {
	for _, copies := range []bool{false, true} {
		d := newHarness(t, "127.0.0.1:1", func(s *gather.Settings) {
			s.HedgingAllowed = copies
			s.FindClass("i").Effect = gather.Idempotent
		})
		theirs := d.connectByPipe()
		ctx, leave := context.WithCancel(t.Context())
		done := d.submit(ctx, "a", 1, 60000)
		io.ReadFull(theirs, make([]byte, 3))
		d.cancel(d.waitForWrite(t).decision, Cancelled, errCancelled)
		<-d.results
		leave()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Fatal("the end of the query waits for the server")
		}
	}
}

// TestConnectionEndAfterEachByteOfAFrame ends a connection after each number of a frame's bytes. Before the last byte
// the attempt never ran; after it, it may have.
func TestConnectionEndAfterEachByteOfAFrame(t *testing.T) {
	length := math.MaxInt
	for n := 0; n <= length; n++ {
		d := newHarness(t, "127.0.0.1:1", func(s *gather.Settings) { s.FindClass("i").Effect = gather.Idempotent })
		theirs := d.connectByPipe()
		done := d.submit(t.Context(), "a", 1, 60000)
		frame := make([]byte, n)
		io.ReadFull(theirs, frame)
		if n >= 4 {
			length = 4 + int(binary.LittleEndian.Uint32(frame))
		}
		theirs.Close()
		d.expectResult(t, "a.0", map[bool]gather.Outcome{true: gather.ConnectionReset,
			false: gather.ConnectFailed}[n == length])
		if v := <-done; v.Kind == dispatch.Served {
			t.Errorf("after %d bytes: %+v", n, v)
		}
	}
}

// TestAnswerWithoutEndTimesOut has an answer arrive byte by byte without an end. The attempt times out, and the next
// one uses another connection.
func TestAnswerWithoutEndTimesOut(t *testing.T) {
	shard := standin.NewShard(t)
	d := newHarness(t, shard.Address(), func(s *gather.Settings) { s.FindClass("i").LatencyObjective = 100.0 })
	done := d.submit(t.Context(), "a", 1, 200)
	conn := shard.Take()
	conn.Read()
	io.WriteString(conn.Conn, "\x00\x02\x00\x00Aa.0 ok 1 -\n")
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				io.WriteString(conn.Conn, "v")
			}
		}
	}()
	if v := <-done; v.Kind != dispatch.Failed {
		t.Errorf("result %+v", v)
	}
	done = d.submit(t.Context(), "b", 1, 5000)
	next := shard.Take()
	if f := next.Read(); len(f.Requests) != 1 || f.Requests[0].ID != "b.0" {
		t.Errorf("frame %+v", f)
	}
	next.Answer("b.0", "ok", "w")
	if v := <-done; v.Kind != dispatch.Served {
		t.Errorf("result %+v", v)
	}
}

// TestCancelFrameHasTimeWithoutConnectTimeout cancels an attempt where the settings have no connect timeout, which
// also bounds the write of the cancel frame.
func TestCancelFrameHasTimeWithoutConnectTimeout(t *testing.T) {
	shard := standin.NewShard(t)
	d := newHarness(t, shard.Address(), func(s *gather.Settings) {
		s.ConnectTimeout = 0.0
		s.FindClass("i").Effect = gather.Idempotent
	})
	ctx, leave := context.WithCancel(t.Context())
	done := d.submit(ctx, "a", 1, 60000)
	conn := shard.Take()
	conn.Read()
	leave()
	<-done
	if f := conn.Read(); f.Type != 'X' || f.Body != "a.0" {
		t.Errorf("frame %+v", f)
	}
}

// TestAbandonedQueriesSendNothingOnALateConnection has many queries wait for one connection while all their clients
// leave.
func TestAbandonedQueriesSendNothingOnALateConnection(t *testing.T) {
	const many = 200
	d := newHarness(t, "127.0.0.1:1", func(s *gather.Settings) { s.StreamsPerConnection = 1000 })
	d.results = make(chan result, 2*many)
	gate, theirs := d.connectByGate()
	ctx, leave := context.WithCancel(t.Context())
	var done []<-chan dispatch.Result
	for i := range many {
		done = append(done, d.submit(ctx, fmt.Sprint("l", i), 2, 60000))
	}
	for waiting := 0; waiting < 2*many; time.Sleep(time.Millisecond) {
		d.mu.Lock()
		waiting = len(d.attempts)
		d.mu.Unlock()
	}
	leave()
	for _, verdict := range done {
		if v := <-verdict; v.Kind != dispatch.Abandoned {
			t.Errorf("result %+v", v)
		}
	}
	close(gate)
	theirs.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, _ := theirs.Read(make([]byte, 100)); n > 0 {
		t.Errorf("%d bytes went", n)
	}
	for range 2 * many {
		if r := <-d.results; !r.outcome.NeverExecuted() {
			t.Errorf("%s ended as %v", r.id, r.outcome)
		}
	}
}

// TestAbandonedQueryBehindAStuckFrameSendsNothing has a client leave while its attempt waits behind a frame that is
// stuck.
func TestAbandonedQueryBehindAStuckFrameSendsNothing(t *testing.T) {
	d := newHarness(t, "127.0.0.1:1", nil)
	theirs := d.connectByPipe()
	d.submit(t.Context(), "a", 1, 60000)
	head := make([]byte, 4)
	io.ReadFull(theirs, head)
	ctx, leave := context.WithCancel(t.Context())
	done := d.submit(ctx, "b", 1, 60000)
	for waiting := 0; waiting < 2; time.Sleep(time.Millisecond) {
		d.mu.Lock()
		waiting = len(d.attempts)
		d.mu.Unlock()
	}
	leave()
	if v := <-done; v.Kind != dispatch.Abandoned {
		t.Errorf("result %+v", v)
	}
	d.expectResult(t, "b.0", gather.NotSent)
	io.ReadFull(theirs, make([]byte, binary.LittleEndian.Uint32(head)))
	theirs.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, _ := theirs.Read(make([]byte, 100)); n > 0 {
		t.Errorf("%d bytes followed", n)
	}
}

// timeLeftInNextFrame is the time, in milliseconds, that the first request of the next frame states.
func timeLeftInNextFrame(t *testing.T, theirs *standin.Conn) int {
	t.Helper()
	frame := theirs.Read()
	if len(frame.Requests) == 0 {
		t.Fatalf("frame %+v", frame)
	}
	text, found := strings.CutPrefix(frame.Requests[0].Attributes, "d=")
	told, err := strconv.Atoi(text)
	if !found || err != nil {
		t.Fatalf("part %+v", frame.Requests[0])
	}
	return told
}

// TestFrameCarriesTheTimeLeftAtItsWrite delays an attempt behind its connection or a stuck frame. It states the time
// left at its write, not at its decision.
func TestFrameCarriesTheTimeLeftAtItsWrite(t *testing.T) {
	const wait, waited = 60000, 300 * time.Millisecond
	for _, queued := range []bool{false, true} {
		d := newHarness(t, "127.0.0.1:1", nil)
		gate, pipe := d.connectByGate()
		theirs := standin.NewConn(t, pipe)
		if queued {
			close(gate)
			d.submit(t.Context(), "first", 1, wait)
			d.waitForWrite(t)
		}
		d.submit(t.Context(), "a", 1, wait)
		asked := time.Now()
		for time.Since(asked) < waited {
			time.Sleep(time.Millisecond)
		}
		if queued {
			timeLeftInNextFrame(t, theirs)
		} else {
			close(gate)
		}
		if told, most := timeLeftInNextFrame(t, theirs), wait-int(waited.Milliseconds()); told > most {
			t.Errorf("queued %v: told %d ms, at most %d were left", queued, told, most)
		}
	}
}
