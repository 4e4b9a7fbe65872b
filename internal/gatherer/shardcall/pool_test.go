package shardcall

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/testbed/standin"
)

// harness is a pool with a picker. Tests read the reports of the pool from its channels. It has one class and one
// server, so that the decisions of the picker are predictable.
type harness struct {
	*Pool
	picker  *dispatch.Picker
	results chan result
	checks  chan gather.HealthCheckResult
}

type result struct {
	id      string
	outcome gather.Outcome
	value   string
}

func (h *harness) Report(a *dispatch.Attempt, outcome gather.Outcome, value []byte) {
	h.results <- result{a.ID(), outcome, string(value)}
	h.picker.Report(a, outcome, value)
}

func (h *harness) ReportHealthCheck(result gather.HealthCheckResult) {
	h.checks <- result
	h.picker.ReportHealthCheck(result)
}

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func newHarness(t *testing.T, address string, changeSettings func(s *gather.Settings)) *harness {
	return newHarnessWith(t, address, changeSettings, func(*dispatch.Picker) {})
}

// newHarnessWith returns a harness whose picker is set up by setUp before its first round.
func newHarnessWith(t *testing.T, address string, changeSettings func(s *gather.Settings),
	setUp func(*dispatch.Picker)) *harness {
	settings := &gather.Settings{
		ReplicaSets: 1, ReplicaSetsPerShard: 1, CancelAllowed: true, Tick: 1.0,
		ConnectTimeout: 2000.0, IdleTimeout: 30000.0, RequestsPerCall: 2, StreamsPerConnection: 4,
		MaxAttempts: 1, CallCost: 1.0,
		Classes: []gather.Class{
			{Name: "i", LatencyObjective: 2000.0, CompleteShare: 1.0, MinShare: 1.0, LateValue: 0.1,
				Effect: gather.NonIdempotent},
		},
	}
	if changeSettings != nil {
		changeSettings(settings)
	}
	h := &harness{picker: dispatch.New(1, settings, discardLog()), results: make(chan result, 100),
		checks: make(chan gather.HealthCheckResult, 100)}
	setUp(h.picker)
	h.Pool = New(Config{Settings: settings, MaxConns: 100, Reporter: h, Log: discardLog()})
	h.setEndpoint(address, gather.Running)
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	go func() {
		for {
			actions, err := h.picker.RunRound(ctx)
			if err != nil {
				return
			}
			h.Execute(actions)
		}
	}()
	return h
}

func (h *harness) setEndpoint(address string, state gather.State) {
	h.SetEndpoints([]Address{{ID: 7, HostPort: address, State: state}})
	h.picker.UpdateEndpoints(gather.EndpointList{Full: true, Endpoints: []gather.Endpoint{{ID: 7, State: state}}})
}

func (h *harness) openConnections() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.openConns
}

// submit submits a query with the given number of shard requests. Its result is sent on the channel.
func (h *harness) submit(ctx context.Context, id string, shardRequests int, wait float64) <-chan dispatch.Result {
	query := &dispatch.Query{ID: id, Class: "i", Deadline: h.picker.Now() + wait, Payload: []byte("text of " + id)}
	for shard := range shardRequests {
		query.ShardRequests = append(query.ShardRequests, dispatch.ShardRequest{Shard: shard,
			Weight: 1 / float64(shardRequests)})
	}
	done := make(chan dispatch.Result, 1)
	go func() { done <- h.picker.Pick(ctx, query) }()
	return done
}

func (h *harness) expectResult(t *testing.T, id string, outcome gather.Outcome) {
	t.Helper()
	if got := <-h.results; got.id != id || got.outcome != outcome {
		t.Errorf("attempt %s ended with outcome %d, want %s with %d", got.id, got.outcome, id, outcome)
	}
}

// TestAttemptOutcomeMatchesItsStage ends an attempt at each stage and checks its outcome. Rule 2, which forbids double
// effects and the rejection of a query that ran, depends on whether the outcome proves that the attempt was not
// executed.
func TestAttemptOutcomeMatchesItsStage(t *testing.T) {
	for _, c := range []struct {
		name   string
		act    func(c *standin.Conn, id string)
		want   gather.Outcome
		broken bool // the connection must not be used again
	}{
		{"status ok", func(c *standin.Conn, id string) { c.Answer(id, "ok", "v") }, gather.Succeeded, false},
		{"status busy", func(c *standin.Conn, id string) { c.Answer(id, "busy", "") }, gather.Rejected, false},
		{"status err", func(c *standin.Conn, id string) { c.Answer(id, "err", "") }, gather.Failed, false},
		{"connection closed after the frame", func(c *standin.Conn, _ string) { c.Close() },
			gather.ConnectionReset, true},
		{"connection reset after the frame", func(c *standin.Conn, _ string) { c.Reset() },
			gather.ConnectionReset, true},
		{"error frame", func(c *standin.Conn, _ string) { c.Write('E', "no such shard") },
			gather.ConnectionReset, true},
		{"unknown frame type", func(c *standin.Conn, _ string) { c.Write('Z', "") }, gather.ConnectionReset, true},
		{"unknown status", func(c *standin.Conn, id string) { c.Answer(id, "maybe", "") }, gather.ConnectionReset,
			true},
		{"answer without the first line", func(c *standin.Conn, id string) { c.Write('A', id) }, gather.ConnectionReset,
			true},
		{"frame length too large", func(c *standin.Conn, _ string) { c.Conn.Write([]byte{255, 255, 255, 255, 'A'}) },
			gather.ConnectionReset, true},
		{"frame length zero", func(c *standin.Conn, _ string) { c.Conn.Write([]byte{0, 0, 0, 0}) },
			gather.ConnectionReset, true},
		{"frame truncated", func(c *standin.Conn, _ string) { c.Conn.Write([]byte{9, 0, 0, 0, 'A'}); c.Close() },
			gather.ConnectionReset, true},
		// The answer with the correct ID will not arrive, and waiting for it would use up the time of the query.
		{"answer with an unknown ID", func(c *standin.Conn, _ string) { c.Answer("other.0", "ok", "v") },
			gather.ConnectionReset, true},
		{"invalid score", func(c *standin.Conn, id string) { c.Write('A', id+" ok many -\nv") },
			gather.ConnectionReset, true},
		{"invalid load report", func(c *standin.Conn, id string) { c.Write('A', id+" ok 1 \x00\xff, =\nv") },
			gather.Succeeded, false},
		{"no load report", func(c *standin.Conn, id string) { c.Write('A', id+" ok 1\nv") }, gather.Succeeded, false},
		{"value that contains the next frame", func(c *standin.Conn,
			id string) {
			c.Write('A', id+" ok 1 -\nv\x08\x00\x00\x00Ab.0")
		}, gather.ConnectionReset, true},
		{"value that is not UTF-8", func(c *standin.Conn, id string) { c.Write('A', id+" ok 1 -\n\xff\xfe") },
			gather.ConnectionReset, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			shard := standin.NewShard(t)
			h := newHarness(t, shard.Address(), nil)
			done := h.submit(t.Context(), "a", 1, 2000)
			conn := shard.Take()
			f := conn.Read()
			if len(f.Requests) != 1 || f.Requests[0].ID != "a.0" || f.Requests[0].Payload != "text of a" ||
				!strings.HasPrefix(f.Requests[0].Attributes, "d=") {
				t.Fatalf("frame %+v, want one request a.0 with its remaining time", f)
			}
			c.act(conn, "a.0")
			h.expectResult(t, "a.0", c.want)
			v := <-done
			if (v.Kind == dispatch.Served) != (c.want == gather.Succeeded) {
				t.Errorf("result %+v, want served only for outcome Succeeded", v)
			}
			if v.Kind == dispatch.Rejected && !c.want.NeverExecuted() {
				t.Error("the query is rejected although the attempt may have been executed")
			}
			if c.broken {
				return
			}
			done = h.submit(t.Context(), "b", 1, 2000)
			if f := conn.Read(); len(f.Requests) != 1 || f.Requests[0].ID != "b.0" {
				t.Errorf("frame %+v, want request b.0 on the same connection", f)
			}
			conn.Answer("b.0", "ok", "w")
			if v := <-done; v.Kind != dispatch.Served || string(v.Hits[0].Value) != "w" {
				t.Errorf("result %+v, want served", v)
			}
		})
	}
}

// TestBytesAfterAnswerDoNotAffectNextAttempt sends invalid bytes after a valid answer. The answer must be used, and
// the next attempt must use another connection.
func TestBytesAfterAnswerDoNotAffectNextAttempt(t *testing.T) {
	for _, trailing := range []string{"\x81\xfe\x7b\x5d\xe7", "\x0d\x00\x00\x00Aa.0 ok 1 -\nv"} {
		shard := standin.NewShard(t)
		h := newHarness(t, shard.Address(), nil)
		done := h.submit(t.Context(), "a", 1, 2000)
		conn := shard.Take()
		conn.Read()
		// One write sends both, so that the pool reads them together.
		io.WriteString(conn.Conn, "\x0d\x00\x00\x00Aa.0 ok 1 -\nv"+trailing)
		if v := <-done; v.Kind != dispatch.Served {
			t.Errorf("result %+v, want served", v)
		}
		done = h.submit(t.Context(), "b", 1, 2000)
		nextConn := shard.Take()
		if f := nextConn.Read(); len(f.Requests) != 1 || f.Requests[0].ID != "b.0" {
			t.Errorf("frame %+v on the next connection, want request b.0", f)
		}
		nextConn.Answer("b.0", "ok", "w")
		if v := <-done; v.Kind != dispatch.Served {
			t.Errorf("result %+v, want served", v)
		}
		if f := conn.Read(); f.Type != 0 {
			t.Errorf("frame %+v on the retired connection, want none", f)
		}
	}
}

// TestRepeatedAnswerDoesNotAffectNextAttempt repeats an answer while another request is in flight.
func TestRepeatedAnswerDoesNotAffectNextAttempt(t *testing.T) {
	shard := standin.NewShard(t)
	h := newHarness(t, shard.Address(), nil)
	done := h.submit(t.Context(), "a", 1, 2000)
	conn := shard.Take()
	conn.Read()
	conn.Answer("a.0", "ok", "v")
	<-done
	done = h.submit(t.Context(), "b", 1, 2000)
	conn.Read()
	conn.Answer("a.0", "ok", "v")
	conn.Answer("b.0", "ok", "w")
	if v := <-done; v.Kind != dispatch.Served || string(v.Hits[0].Value) != "w" {
		t.Errorf("result %+v, want served", v)
	}
}

// TestLateAnswerIDsAreBounded adds many IDs whose late answers never arrive, and checks how many are kept.
func TestLateAnswerIDsAreBounded(t *testing.T) {
	late := lateAnswerSet{window: time.Nanosecond}
	for range 1000 {
		late.add(time.Now().String(), time.Now())
		time.Sleep(2 * time.Nanosecond)
	}
	if n := late.count(); n > 10 {
		t.Errorf("%d IDs are kept, want at most 10", n)
	}
}

// TestReadFrameDropsLargeBuffers checks that a connection does not keep the buffer of its largest frame.
func TestReadFrameDropsLargeBuffers(t *testing.T) {
	largeFrame := append([]byte{0, 0, 1, 0, 'A'}, make([]byte, 1<<16-1)...)
	r := bufio.NewReader(bytes.NewReader(append(largeFrame, 1, 0, 0, 0, 'P')))
	_, _, buf, err := readFrame(r, nil)
	if err != nil || len(buf) != 1<<16 {
		t.Fatalf("buffer of %d bytes, %v; want 65536 bytes", len(buf), err)
	}
	if letter, _, buf, err := readFrame(r, buf); letter != 'P' || cap(buf) > maxSpareBuffer || err != nil {
		t.Errorf("letter %q, buffer of %d bytes, %v; want P and at most maxSpareBuffer bytes", letter, cap(buf), err)
	}
}

func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	shard := standin.NewShard(t)
	shard.Close()
	h := newHarness(t, shard.Address(), nil)
	done := h.submit(t.Context(), "a", 1, 2000)
	h.expectResult(t, "a.0", gather.ConnectFailed)
	if v := <-done; v.Kind != dispatch.Rejected {
		t.Errorf("result %+v, want rejected: the attempt was never executed, so that the client may retry", v)
	}
}

// dialPipe makes the pool use a pipe as its connection, and returns the other end. A write to the pipe blocks until
// its bytes are read.
func (h *harness) dialPipe() net.Conn {
	clientConn, serverConn := net.Pipe()
	h.dial = func(string) (net.Conn, error) { return clientConn, nil }
	return serverConn
}

// TestPartlyWrittenFrameIsConnectFailed closes a connection before and after the last byte of a frame. Only in the
// second case may the attempt have been executed.
func TestPartlyWrittenFrameIsConnectFailed(t *testing.T) {
	for _, c := range []struct {
		name     string
		complete bool
		want     gather.Outcome
	}{{"closed before the last byte", false, gather.ConnectFailed}, {"closed after the last byte", true,
		gather.ConnectionReset}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, "127.0.0.1:1",
				func(s *gather.Settings) { s.FindClass("i").Effect = gather.Idempotent })
			serverConn := h.dialPipe()
			h.submit(t.Context(), "a", 1, 2000)
			header := make([]byte, 5)
			io.ReadFull(serverConn, header)
			if c.complete {
				io.ReadFull(serverConn, make([]byte, int(header[0])-1))
			}
			serverConn.Close()
			h.expectResult(t, "a.0", c.want)
		})
	}
}

// TestQueryEndDoesNotWaitForServerThatStoppedReading ends a query while the write of its frame is blocked. The write
// must be stopped. If the end of the attempt waits for its cancellation, a partly written frame still proves that the
// attempt was never executed.
func TestQueryEndDoesNotWaitForServerThatStoppedReading(t *testing.T) {
	for _, c := range []struct {
		cancelAllowed, hedgingAllowed bool
		want                          gather.Outcome
	}{{true, true, gather.Cancelled}, {true, false, gather.ConnectFailed}, {false, false, gather.ConnectFailed}} {
		h := newHarness(t, "127.0.0.1:1", func(s *gather.Settings) {
			s.CancelAllowed = c.cancelAllowed
			s.HedgingAllowed = c.hedgingAllowed
		})
		serverConn := h.dialPipe()
		ctx, cancelClient := context.WithCancel(t.Context())
		done := h.submit(ctx, "a", 1, 60000)
		io.ReadFull(serverConn, make([]byte, 3))
		cancelClient()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Fatal("the query has not ended within 10 s, because it waits for the server")
		}
		h.expectResult(t, "a.0", c.want)
	}
}

// TestRequestsOfOneRoundShareFrames sends six requests in one round. They must share frames up to the limit in the
// settings, on as few connections as have room.
func TestRequestsOfOneRoundShareFrames(t *testing.T) {
	shard := standin.NewShard(t)
	h := newHarness(t, shard.Address(), nil)
	done := h.submit(t.Context(), "a", 6, 2000)
	frames := make(chan standin.Frame, 3)
	for range 2 {
		conn := shard.Take()
		go func() {
			for f := conn.Read(); f.Type != 0; f = conn.Read() {
				for _, request := range f.Requests {
					conn.Answer(request.ID, "ok", request.ID)
				}
				frames <- f
			}
		}()
	}
	seen := map[string]bool{}
	for range 3 {
		f := <-frames
		if len(f.Requests) != 2 {
			t.Errorf("frame with %d requests, want 2", len(f.Requests))
		}
		for _, request := range f.Requests {
			seen[request.ID] = true
		}
	}
	if v := <-done; len(seen) != 6 || v.Kind != dispatch.Served || len(v.Hits) != 6 ||
		string(v.Hits[5].Value) != "a.5" {
		t.Errorf("requests %v, result %+v; want 6 requests, all answered", seen, v)
	}
	if n := h.openConnections(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// TestAttemptDisallowedWhileConnectingIsNotSent makes an attempt invalid while its connection is being established:
// the client cancels, or the server drains or changes its address.
func TestAttemptDisallowedWhileConnectingIsNotSent(t *testing.T) {
	for _, c := range []struct {
		name     string
		disallow func(h *harness, cancelClient func())
	}{
		{"client cancels", func(_ *harness, cancelClient func()) { cancelClient() }},
		{"server drains", func(h *harness, _ func()) { h.setEndpoint(h.servers[7].HostPort, gather.Draining) }},
		// Another server, which does not hold the shard, may now listen at the old address.
		{"server changes its address", func(h *harness, _ func()) { h.setEndpoint("127.0.0.1:1", gather.Running) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			shard := standin.NewShard(t)
			h := newHarness(t, shard.Address(), nil)
			ctx, cancelClient := context.WithCancel(t.Context())
			dialing, connect := make(chan struct{}), make(chan struct{})
			var once sync.Once
			h.dial = func(address string) (net.Conn, error) {
				once.Do(func() { close(dialing) })
				<-connect
				return net.Dial("tcp", address)
			}
			done := h.submit(ctx, "a", 1, 2000)
			<-dialing // the attempt is now waiting for its connection
			c.disallow(h, cancelClient)
			if c.name == "client cancels" {
				<-done
			}
			close(connect)
			h.expectResult(t, "a.0", gather.NotSent)
			h.setEndpoint(shard.Address(), gather.Running)
			h.submit(t.Context(), "b", 1, 2000)
			f := shard.Take().Read()
			for f.Type == 0 {
				f = shard.Take().Read()
			}
			if len(f.Requests) != 1 || f.Requests[0].ID != "b.0" {
				t.Errorf("first frame %+v, want request b.0", f)
			}
			cancelClient()
		})
	}
}

// TestCancelledAttemptEndsImmediatelyAndNotifiesServer checks that a cancellation is sent to the server, that the
// attempt ends immediately, and that a late answer is ignored.
func TestCancelledAttemptEndsImmediatelyAndNotifiesServer(t *testing.T) {
	shard := standin.NewShard(t)
	h := newHarness(t, shard.Address(), nil)
	ctx, cancelClient := context.WithCancel(t.Context())
	done := h.submit(ctx, "a", 1, 2000)
	conn := shard.Take()
	conn.Read()
	cancelClient()
	if v := <-done; v.Kind != dispatch.Abandoned {
		t.Errorf("result %+v, want abandoned", v)
	}
	h.expectResult(t, "a.0", gather.Cancelled)
	if f := conn.Read(); f.Type != 'X' || f.Body != "a.0" {
		t.Errorf("frame %+v, want the cancellation of a.0", f)
	}
	conn.Answer("a.0", "ok", "late")
	done = h.submit(t.Context(), "b", 1, 2000)
	conn.Read()
	conn.Answer("b.0", "ok", "v")
	h.expectResult(t, "b.0", gather.Succeeded)
	if v := <-done; len(v.Hits) != 1 || string(v.Hits[0].Value) != "v" {
		t.Errorf("result %+v, want the value v of request b.0", v)
	}
}

// TestUnansweredAttemptTimesOutAndNextUsesNewConnection leaves an attempt unanswered. The next one must use another
// connection, since the first may lead to a machine that has vanished.
func TestUnansweredAttemptTimesOutAndNextUsesNewConnection(t *testing.T) {
	shard := standin.NewShard(t)
	h := newHarness(t, shard.Address(), func(s *gather.Settings) {
		s.Tick = 1.0
		s.FindClass("i").LatencyObjective = 20.0
	})
	done := h.submit(t.Context(), "a", 1, 60)
	shard.Take().Read()
	if v := <-done; v.Kind != dispatch.Failed {
		t.Errorf("result %+v, want failed: the attempt may have been executed", v)
	}
	h.submit(t.Context(), "b", 1, 2000)
	if f := shard.Take().Read(); len(f.Requests) != 1 || f.Requests[0].ID != "b.0" {
		t.Errorf("frame %+v, want request b.0", f)
	}
}

// TestSilentConnectionIsReplacedBeforeLatencyObjective checks that a connection that receives nothing is replaced well
// before the latency objective, since attempts sent on it until then are lost.
func TestSilentConnectionIsReplacedBeforeLatencyObjective(t *testing.T) {
	shard := standin.NewShard(t)
	h := newHarness(t, shard.Address(), func(s *gather.Settings) { s.FindClass("i").LatencyObjective = 500.0 })
	done := h.submit(t.Context(), "a", 1, 300)
	shard.Take().Read()
	<-done
	h.submit(t.Context(), "b", 1, 2000)
	shard.Listener.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second))
	if f := shard.Take().Read(); len(f.Requests) != 1 || f.Requests[0].ID != "b.0" {
		t.Errorf("frame %+v, want request b.0", f)
	}
}

// TestIdleConnectionClosesBeforeServerIdleTimeout checks that the pool closes an idle connection before the server
// does, so that no frame is written while the server closes it.
func TestIdleConnectionClosesBeforeServerIdleTimeout(t *testing.T) {
	shard := standin.NewShard(t)
	h := newHarness(t, shard.Address(), func(s *gather.Settings) {
		s.IdleTimeout = 1000.0
		s.ConnectTimeout = 800.0
	})
	done := h.submit(t.Context(), "a", 1, 2000)
	conn := shard.Take()
	conn.Read()
	conn.Answer("a.0", "ok", "v")
	<-done
	start := time.Now()
	if f := conn.Read(); f.Type != 0 || time.Since(start) > 900*time.Millisecond {
		t.Errorf("frame %+v after %v, want the end of the connection within 900ms", f, time.Since(start))
	}
	if n := h.openConnections(); n != 0 {
		t.Errorf("%d connections open, want 0", n)
	}
}

// TestIdleConnectionIsClosedForNewOneAtLimit opens a connection while MaxConns connections are open. The idle one must
// be closed.
func TestIdleConnectionIsClosedForNewOneAtLimit(t *testing.T) {
	firstShard, secondShard := standin.NewShard(t), standin.NewShard(t)
	h := newHarness(t, firstShard.Address(), nil)
	h.limits.maxConns = 1
	done := h.submit(t.Context(), "a", 1, 2000)
	conn := firstShard.Take()
	conn.Read()
	conn.Answer("a.0", "ok", "v")
	<-done
	h.SetEndpoints([]Address{{ID: 7, HostPort: firstShard.Address()}, {ID: 8, HostPort: secondShard.Address()}})
	h.picker.UpdateEndpoints(gather.EndpointList{Full: true,
		Endpoints: []gather.Endpoint{{ID: 7, State: gather.Draining}, {ID: 8}}})
	h.submit(t.Context(), "b", 1, 2000)
	secondShard.Take().Read()
	if n := h.openConnections(); n != 1 {
		t.Fatalf("%d connections, want 1", n)
	}
	if f := conn.Read(); f.Type != 0 {
		t.Errorf("frame %+v on the idle connection, want its end", f)
	}
}

// TestServerIsReachedAtNewAddress changes the address of a server while an attempt is in flight at the old one.
func TestServerIsReachedAtNewAddress(t *testing.T) {
	oldShard, newShard := standin.NewShard(t), standin.NewShard(t)
	h := newHarness(t, oldShard.Address(), nil)
	done := h.submit(t.Context(), "a", 1, 2000)
	conn := oldShard.Take()
	conn.Read()
	h.setEndpoint(newShard.Address(), gather.Running)
	h.submit(t.Context(), "b", 1, 2000)
	if f := newShard.Take().Read(); len(f.Requests) != 1 || f.Requests[0].ID != "b.0" {
		t.Errorf("frame %+v, want request b.0", f)
	}
	conn.Answer("a.0", "ok", "v")
	if v := <-done; v.Kind != dispatch.Served {
		t.Errorf("result %+v, want served: attempts in flight may still be answered", v)
	}
	if f := conn.Read(); f.Type != 0 {
		t.Errorf("frame %+v on the connection to the old address, want none", f)
	}
}

func TestOutcomeOfEachStageShowsWhetherAttemptMayHaveExecuted(t *testing.T) {
	if got := Outcome(io.EOF); got != gather.ConnectionReset {
		t.Errorf("an error without a stage is outcome %d, want ConnectionReset: the attempt may have run", got)
	}
	neverExecuted := map[Stage]bool{NotSent: true, Connecting: true, Writing: true, Rejected: true, NotOwner: true}
	for s := range stageCount {
		if got := Outcome(&Error{s, io.EOF}); got.NeverExecuted() != neverExecuted[s] || got == gather.Succeeded {
			t.Errorf("stage %d has outcome %d, whose NeverExecuted is wrong for the stage", s, got)
		}
	}
}
