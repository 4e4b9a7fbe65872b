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

// The tests in this file cause faults between the decision on an attempt and the write of its frame, by a server that
// stops reading or by a connection whose setup is delayed.

// waitForWrite waits until the frame of an attempt is being written, and returns the attempt.
func (h *harness) waitForWrite(t *testing.T) (a *attempt) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); a == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no frame is being written within 20 s")
		}
		h.mu.Lock()
		for _, candidate := range h.attempts {
			if candidate.inFlight() && !candidate.written {
				a = candidate
			}
		}
		h.mu.Unlock()
	}
	return a
}

// TestFrameNotBegunIsDroppedAfterDrainGrace has a server stop reading before the first byte of a frame and then drain,
// be removed, or be missing from the list. No byte of the frame may be written when the server reads again, and the
// outcome must prove that the attempt was never executed.
func TestFrameNotBegunIsDroppedAfterDrainGrace(t *testing.T) {
	for name, endpoints := range map[string][]Address{"draining": {{ID: 7, HostPort: "127.0.0.1:1",
		State: gather.Draining}},
		"removed": {{ID: 7, HostPort: "127.0.0.1:1", State: gather.Removed}}, "missing": nil} {
		h := newHarness(t, "127.0.0.1:1", func(s *gather.Settings) {
			s.DrainGrace = 100.0
			s.FindClass("i").Effect = gather.Idempotent
		})
		serverConn := h.dialPipe()
		h.submit(t.Context(), "a", 1, 60000)
		h.waitForWrite(t)
		h.SetEndpoints(endpoints)
		select {
		case r := <-h.results:
			if r.outcome != gather.ConnectFailed {
				t.Errorf("%s: outcome %v, want ConnectFailed", name, r.outcome)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("%s: the frame is still being written after 5 s", name)
		}
		serverConn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if n, _ := serverConn.Read(make([]byte, 100)); n > 0 {
			t.Errorf("%s: %d bytes were written after the drain grace", name, n)
		}
	}
}

// TestFrameBegunBeforeDrainIsAnswered has a server drain in the middle of a frame and continue reading within the
// drain grace. The attempt began before the drain, so that its answer must be used.
func TestFrameBegunBeforeDrainIsAnswered(t *testing.T) {
	h := newHarness(t, "127.0.0.1:1", func(s *gather.Settings) { s.DrainGrace = 60000.0 })
	serverConn := h.dialPipe()
	done := h.submit(t.Context(), "a", 1, 60000)
	header := make([]byte, 5)
	io.ReadFull(serverConn, header)
	h.setEndpoint("127.0.0.1:1", gather.Draining)
	io.ReadFull(serverConn, make([]byte, binary.LittleEndian.Uint32(header)-1))
	(&standin.Conn{Conn: serverConn}).Answer("a.0", "ok", "v")
	if v := <-done; v.Kind != dispatch.Served {
		t.Errorf("result %+v, want served", v)
	}
}

// dialGatedPipe makes the pool use a pipe as its connection, which is established when gate is closed. It returns the
// other end of the pipe.
func (h *harness) dialGatedPipe() (gate chan struct{}, serverConn net.Conn) {
	clientConn, serverConn := net.Pipe()
	gate = make(chan struct{})
	h.dial = func(string) (net.Conn, error) {
		<-gate
		return clientConn, nil
	}
	return gate, serverConn
}

// TestLateConnectionSendsNoObsoleteAttempt makes an attempt obsolete while its connection is being established: the
// client cancels, the deadline of the query passes, or the server drains, is removed or has another address.
func TestLateConnectionSendsNoObsoleteAttempt(t *testing.T) {
	for name, makeObsolete := range map[string]func(h *harness, cancelClient func()){
		"client cancels":  func(_ *harness, cancelClient func()) { cancelClient() },
		"deadline passes": func(*harness, func()) {},
		"draining":        func(h *harness, _ func()) { h.setEndpoint("127.0.0.1:1", gather.Draining) },
		"removed":         func(h *harness, _ func()) { h.setEndpoint("127.0.0.1:1", gather.Removed) },
		"new address":     func(h *harness, _ func()) { h.setEndpoint("127.0.0.1:2", gather.Running) },
	} {
		h := newHarness(t, "127.0.0.1:1", nil)
		gate, serverConn := h.dialGatedPipe()
		ctx, cancelClient := context.WithCancel(t.Context())
		done := h.submit(ctx, "a", 1, map[bool]float64{true: 50, false: 60000}[name == "deadline passes"])
		for n := 0; n == 0; time.Sleep(time.Millisecond) { // until the attempt waits for its connection
			h.mu.Lock()
			n = h.openConns
			h.mu.Unlock()
		}
		makeObsolete(h, cancelClient)
		switch name {
		case "client cancels", "deadline passes":
			<-done
		default: // the query continues, and its attempt is dropped before the write
		}
		close(gate)
		serverConn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if n, _ := serverConn.Read(make([]byte, 100)); n > 0 {
			t.Errorf("%s: %d bytes were written, want none", name, n)
		}
		if r := <-h.results; !r.outcome.NeverExecuted() {
			t.Errorf("%s: outcome %v, want one that proves that the attempt was never executed", name, r.outcome)
		}
		cancelClient()
	}
}

// TestCancelledAttemptEndsAfterCancellationIsWritten cancels an attempt without hedging. It must end only after the
// cancellation is written, because another attempt follows; until then it may be answered.
func TestCancelledAttemptEndsAfterCancellationIsWritten(t *testing.T) {
	for _, answered := range []bool{false, true} {
		h := newHarness(t, "127.0.0.1:1", func(s *gather.Settings) { s.FindClass("i").Effect = gather.Idempotent })
		serverConn := h.dialPipe()
		h.submit(t.Context(), "a", 1, 60000)
		discardFrame := func() {
			header := make([]byte, 4)
			io.ReadFull(serverConn, header)
			io.ReadFull(serverConn, make([]byte, binary.LittleEndian.Uint32(header)))
		}
		discardFrame()
		h.mu.Lock()
		var a *attempt
		for _, candidate := range h.attempts {
			a = candidate
		}
		for a == nil || !a.written {
			h.mu.Unlock()
			time.Sleep(time.Millisecond)
			h.mu.Lock()
		}
		h.mu.Unlock()
		h.cancel(a.decision, Cancelled, errCancelled)
		h.cancel(a.decision, Cancelled, errCancelled) // a repeated cancellation must have no effect
		if len(h.results) > 0 {
			t.Error("the end is reported before the server can read the cancellation")
		}
		if answered {
			(&standin.Conn{Conn: serverConn}).Answer("a.0", "ok", "v")
			h.expectResult(t, "a.0", gather.Succeeded)
			discardFrame()
			continue
		}
		discardFrame()
		h.expectResult(t, "a.0", gather.Cancelled)
	}
	// If the server does not read the cancellation, the end of its connection must end the attempt.
	h := newHarness(t, "127.0.0.1:1", func(s *gather.Settings) {
		s.ConnectTimeout = 50.0
		s.FindClass("i").Effect = gather.Idempotent
	})
	serverConn := h.dialPipe()
	h.submit(t.Context(), "a", 1, 60000)
	header := make([]byte, 4)
	io.ReadFull(serverConn, header)
	io.ReadFull(serverConn, make([]byte, binary.LittleEndian.Uint32(header)))
	var a *attempt
	for written := false; !written; time.Sleep(time.Millisecond) {
		h.mu.Lock()
		for _, candidate := range h.attempts {
			a, written = candidate, candidate.written
		}
		h.mu.Unlock()
	}
	h.cancel(a.decision, Cancelled, errCancelled)
	h.expectResult(t, "a.0", gather.ConnectionReset)
	if n, err := serverConn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read %d bytes, %v; want EOF from a closed connection", n, err)
	}
}

// TestQueryEndDoesNotWaitForCancelledWrite cancels an attempt whose server has stopped reading, and ends its query
// later. The answer to the query must not wait for the write.
func TestQueryEndDoesNotWaitForCancelledWrite(t *testing.T) {
	for _, hedgingAllowed := range []bool{false, true} {
		h := newHarness(t, "127.0.0.1:1", func(s *gather.Settings) {
			s.HedgingAllowed = hedgingAllowed
			s.FindClass("i").Effect = gather.Idempotent
		})
		serverConn := h.dialPipe()
		ctx, cancelClient := context.WithCancel(t.Context())
		done := h.submit(ctx, "a", 1, 60000)
		io.ReadFull(serverConn, make([]byte, 3))
		h.cancel(h.waitForWrite(t).decision, Cancelled, errCancelled)
		<-h.results
		cancelClient()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Fatal("the query has not ended within 10 s, because it waits for the server")
		}
	}
}

// TestConnectionEndAfterEachByteOfFrame closes a connection after each number of bytes of a frame. Before the last
// byte the attempt was never executed; after it, the attempt may have been executed.
func TestConnectionEndAfterEachByteOfFrame(t *testing.T) {
	length := math.MaxInt
	for n := 0; n <= length; n++ {
		h := newHarness(t, "127.0.0.1:1", func(s *gather.Settings) { s.FindClass("i").Effect = gather.Idempotent })
		serverConn := h.dialPipe()
		done := h.submit(t.Context(), "a", 1, 60000)
		frame := make([]byte, n)
		io.ReadFull(serverConn, frame)
		if n >= 4 {
			length = 4 + int(binary.LittleEndian.Uint32(frame))
		}
		serverConn.Close()
		h.expectResult(t, "a.0", map[bool]gather.Outcome{true: gather.ConnectionReset,
			false: gather.ConnectFailed}[n == length])
		if v := <-done; v.Kind == dispatch.Served {
			t.Errorf("after %d bytes: result %+v, want one that is not served", n, v)
		}
	}
}

// TestAnswerWithoutEndTimesOut sends an answer byte by byte without an end. The attempt must time out, and the next
// one must use another connection.
func TestAnswerWithoutEndTimesOut(t *testing.T) {
	shard := standin.NewShard(t)
	h := newHarness(t, shard.Address(), func(s *gather.Settings) { s.FindClass("i").LatencyObjective = 100.0 })
	done := h.submit(t.Context(), "a", 1, 200)
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
		t.Errorf("result %+v, want failed", v)
	}
	done = h.submit(t.Context(), "b", 1, 5000)
	nextConn := shard.Take()
	if f := nextConn.Read(); len(f.Requests) != 1 || f.Requests[0].ID != "b.0" {
		t.Errorf("frame %+v, want request b.0", f)
	}
	nextConn.Answer("b.0", "ok", "w")
	if v := <-done; v.Kind != dispatch.Served {
		t.Errorf("result %+v, want served", v)
	}
}

// TestCancelFrameIsWrittenWithoutConnectTimeout cancels an attempt with settings that have no connect timeout, which
// also limits the write of the cancel frame.
func TestCancelFrameIsWrittenWithoutConnectTimeout(t *testing.T) {
	shard := standin.NewShard(t)
	h := newHarness(t, shard.Address(), func(s *gather.Settings) {
		s.ConnectTimeout = 0.0
		s.FindClass("i").Effect = gather.Idempotent
	})
	ctx, cancelClient := context.WithCancel(t.Context())
	done := h.submit(ctx, "a", 1, 60000)
	conn := shard.Take()
	conn.Read()
	cancelClient()
	<-done
	if f := conn.Read(); f.Type != 'X' || f.Body != "a.0" {
		t.Errorf("frame %+v, want the cancellation of a.0", f)
	}
}

// TestAbandonedQueriesSendNothingOnLateConnection has many queries wait for one connection while all their clients
// cancel.
func TestAbandonedQueriesSendNothingOnLateConnection(t *testing.T) {
	const queries = 200
	h := newHarness(t, "127.0.0.1:1", func(s *gather.Settings) { s.StreamsPerConnection = 1000 })
	h.results = make(chan result, 2*queries)
	gate, serverConn := h.dialGatedPipe()
	ctx, cancelClient := context.WithCancel(t.Context())
	var done []<-chan dispatch.Result
	for i := range queries {
		done = append(done, h.submit(ctx, fmt.Sprint("l", i), 2, 60000))
	}
	for waiting := 0; waiting < 2*queries; time.Sleep(time.Millisecond) {
		h.mu.Lock()
		waiting = len(h.attempts)
		h.mu.Unlock()
	}
	cancelClient()
	for _, resultChan := range done {
		if v := <-resultChan; v.Kind != dispatch.Abandoned {
			t.Errorf("result %+v, want abandoned", v)
		}
	}
	close(gate)
	serverConn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, _ := serverConn.Read(make([]byte, 100)); n > 0 {
		t.Errorf("%d bytes were written, want none", n)
	}
	for range 2 * queries {
		if r := <-h.results; !r.outcome.NeverExecuted() {
			t.Errorf("attempt %s ended with outcome %v, want one that proves it was never executed", r.id, r.outcome)
		}
	}
}

// TestAbandonedQueryBehindBlockedFrameSendsNothing has a client cancel while its attempt waits behind a frame whose
// write is blocked.
func TestAbandonedQueryBehindBlockedFrameSendsNothing(t *testing.T) {
	h := newHarness(t, "127.0.0.1:1", nil)
	serverConn := h.dialPipe()
	h.submit(t.Context(), "a", 1, 60000)
	header := make([]byte, 4)
	io.ReadFull(serverConn, header)
	ctx, cancelClient := context.WithCancel(t.Context())
	done := h.submit(ctx, "b", 1, 60000)
	for waiting := 0; waiting < 2; time.Sleep(time.Millisecond) {
		h.mu.Lock()
		waiting = len(h.attempts)
		h.mu.Unlock()
	}
	cancelClient()
	if v := <-done; v.Kind != dispatch.Abandoned {
		t.Errorf("result %+v, want abandoned", v)
	}
	h.expectResult(t, "b.0", gather.NotSent)
	io.ReadFull(serverConn, make([]byte, binary.LittleEndian.Uint32(header)))
	serverConn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, _ := serverConn.Read(make([]byte, 100)); n > 0 {
		t.Errorf("%d bytes were written after the blocked frame, want none", n)
	}
}

// readStatedRemaining reads the next frame and returns the remaining time, in milliseconds, that its first request
// states.
func readStatedRemaining(t *testing.T, serverConn *standin.Conn) int {
	t.Helper()
	frame := serverConn.Read()
	if len(frame.Requests) == 0 {
		t.Fatalf("frame %+v, want one with requests", frame)
	}
	text, found := strings.CutPrefix(frame.Requests[0].Attributes, "d=")
	stated, err := strconv.Atoi(text)
	if !found || err != nil {
		t.Fatalf("shard request %+v, want the attribute d=", frame.Requests[0])
	}
	return stated
}

// TestRequestStatesRemainingTimeAtWrite delays an attempt by the setup of its connection or behind a blocked frame.
// The request must state the time that remains at its write, not at its decision.
func TestRequestStatesRemainingTimeAtWrite(t *testing.T) {
	const wait, delay = 60000, 300 * time.Millisecond
	for _, queued := range []bool{false, true} {
		h := newHarness(t, "127.0.0.1:1", nil)
		gate, pipe := h.dialGatedPipe()
		serverConn := standin.NewConn(t, pipe)
		if queued {
			close(gate)
			h.submit(t.Context(), "first", 1, wait)
			h.waitForWrite(t)
		}
		h.submit(t.Context(), "a", 1, wait)
		submittedAt := time.Now()
		for time.Since(submittedAt) < delay {
			time.Sleep(time.Millisecond)
		}
		if queued {
			readStatedRemaining(t, serverConn)
		} else {
			close(gate)
		}
		if stated, maxTime := readStatedRemaining(t, serverConn), wait-int(delay.Milliseconds()); stated > maxTime {
			t.Errorf("queued %v: request states %d ms, want at most %d", queued, stated, maxTime)
		}
	}
}
