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

// harness is a pool with a picker, whose reports a test can read. With one class and one server its decisions are
// plain.
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

func (d *harness) Report(c *dispatch.Attempt, outcome gather.Outcome, value []byte) {
	d.results <- result{c.ID(), outcome, string(value)}
	d.picker.Report(c, outcome, value)
}

func (d *harness) ReportHealthCheck(s gather.HealthCheckResult) {
	d.checks <- s
	d.picker.ReportHealthCheck(s)
}

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func newHarness(t *testing.T, address string, change func(s *gather.Settings)) *harness {
	return newHarnessWith(t, address, change, func(*dispatch.Picker) {})
}

// newHarnessWith has the picker set up by the test before its first round.
func newHarnessWith(t *testing.T, address string, change func(s *gather.Settings),
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
	if change != nil {
		change(settings)
	}
	d := &harness{picker: dispatch.New(1, settings, discardLog()), results: make(chan result, 100),
		checks: make(chan gather.HealthCheckResult, 100)}
	setUp(d.picker)
	d.Pool = New(Config{Settings: settings, MaxConns: 100, Reporter: d, Log: discardLog()})
	d.setEndpoint(address, gather.Running)
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	go func() {
		for {
			orders, err := d.picker.RunRound(ctx)
			if err != nil {
				return
			}
			d.Execute(orders)
		}
	}()
	return d
}

func (d *harness) setEndpoint(address string, state gather.State) {
	d.SetEndpoints([]Address{{ID: 7, HostPort: address, State: state}})
	d.picker.UpdateEndpoints(gather.EndpointList{Full: true, Endpoints: []gather.Endpoint{{ID: 7, State: state}}})
}

func (d *harness) openConnections() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.openConns
}

// submit submits a query of so many shard requests. Its result arrives on the channel.
func (d *harness) submit(ctx context.Context, id string, parts int, wait float64) <-chan dispatch.Result {
	lk := &dispatch.Query{ID: id, Class: "i", Deadline: d.picker.Now() + wait, Payload: []byte("text of " + id)}
	for shard := range parts {
		lk.ShardRequests = append(lk.ShardRequests, dispatch.ShardRequest{Shard: shard, Weight: 1 / float64(parts)})
	}
	done := make(chan dispatch.Result, 1)
	go func() { done <- d.picker.Pick(ctx, lk) }()
	return done
}

func (d *harness) expectResult(t *testing.T, id string, outcome gather.Outcome) {
	t.Helper()
	if got := <-d.results; got.id != id || got.outcome != outcome {
		t.Errorf("%s ended as %d, want %s as %d", got.id, got.outcome, id, outcome)
	}
}

// TestAttemptEndsAtItsStageWithTheOutcomeThatItProves ends an attempt at each stage. Rule 2 depends on what that
// proves about having run.
func TestAttemptEndsAtItsStageWithTheOutcomeThatItProves(t *testing.T) {
	for _, c := range []struct {
		name   string
		act    func(c *standin.Conn, id string)
		want   gather.Outcome
		broken bool // the connection is not used again
	}{
		{"answered", func(c *standin.Conn, id string) { c.Answer(id, "ok", "v") }, gather.Succeeded, false},
		{"busy", func(c *standin.Conn, id string) { c.Answer(id, "busy", "") }, gather.Rejected, false},
		{"failed", func(c *standin.Conn, id string) { c.Answer(id, "err", "") }, gather.Failed, false},
		{"ended after the frame", func(c *standin.Conn, _ string) { c.Close() }, gather.ConnectionReset, true},
		{"reset after the frame", func(c *standin.Conn, _ string) { c.Reset() }, gather.ConnectionReset, true},
		{"frame that could not be used", func(c *standin.Conn, _ string) { c.Write('E', "no such shard") },
			gather.ConnectionReset, true},
		{"unknown letter", func(c *standin.Conn, _ string) { c.Write('Z', "") }, gather.ConnectionReset, true},
		{"unknown ending", func(c *standin.Conn, id string) { c.Answer(id, "maybe", "") }, gather.ConnectionReset,
			true},
		{"answer without its line", func(c *standin.Conn, id string) { c.Write('A', id) }, gather.ConnectionReset,
			true},
		{"length too long", func(c *standin.Conn, _ string) { c.Conn.Write([]byte{255, 255, 255, 255, 'A'}) },
			gather.ConnectionReset, true},
		{"length zero", func(c *standin.Conn, _ string) { c.Conn.Write([]byte{0, 0, 0, 0}) },
			gather.ConnectionReset, true},
		{"frame cut off", func(c *standin.Conn, _ string) { c.Conn.Write([]byte{9, 0, 0, 0, 'A'}); c.Close() },
			gather.ConnectionReset, true},
		// The answer that this one stands for will not arrive, and waiting would take all of the query's time.
		{"answer for a name never asked", func(c *standin.Conn, _ string) { c.Answer("other.0", "ok", "v") },
			gather.ConnectionReset, true},
		{"score that can't be read", func(c *standin.Conn, id string) { c.Write('A', id+" ok many -\nv") },
			gather.ConnectionReset, true},
		{"report that can't be read", func(c *standin.Conn, id string) { c.Write('A', id+" ok 1 \x00\xff, =\nv") },
			gather.Succeeded, false},
		{"no report", func(c *standin.Conn, id string) { c.Write('A', id+" ok 1\nv") }, gather.Succeeded, false},
		{"value with the next frame in it", func(c *standin.Conn,
			id string) {
			c.Write('A', id+" ok 1 -\nv\x08\x00\x00\x00Ab.0")
		}, gather.ConnectionReset, true},
		{"value that is no text", func(c *standin.Conn, id string) { c.Write('A', id+" ok 1 -\n\xff\xfe") },
			gather.ConnectionReset, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			shard := standin.NewShard(t)
			d := newHarness(t, shard.Address(), nil)
			done := d.submit(t.Context(), "a", 1, 2000)
			conn := shard.Take()
			f := conn.Read()
			if len(f.Requests) != 1 || f.Requests[0].ID != "a.0" || f.Requests[0].Payload != "text of a" ||
				!strings.HasPrefix(f.Requests[0].Attributes, "d=") {
				t.Fatalf("frame %+v", f)
			}
			c.act(conn, "a.0")
			d.expectResult(t, "a.0", c.want)
			v := <-done
			if (v.Kind == dispatch.Served) != (c.want == gather.Succeeded) {
				t.Errorf("result %+v", v)
			}
			if v.Kind == dispatch.Rejected && !c.want.NeverExecuted() {
				t.Error("rejected, though it may have run")
			}
			if c.broken {
				return
			}
			done = d.submit(t.Context(), "b", 1, 2000)
			if f := conn.Read(); len(f.Requests) != 1 || f.Requests[0].ID != "b.0" {
				t.Errorf("the connection was not used again: %+v", f)
			}
			conn.Answer("b.0", "ok", "w")
			if v := <-done; v.Kind != dispatch.Served || string(v.Hits[0].Value) != "w" {
				t.Errorf("result %+v", v)
			}
		})
	}
}

// TestBytesBehindAnAnswerDoNotAffectTheNextCall sends noise behind a good answer. The answer counts, and the next
// attempt uses another connection.
func TestBytesBehindAnAnswerDoNotAffectTheNextCall(t *testing.T) {
	for _, more := range []string{"\x81\xfe\x7b\x5d\xe7", "\x0d\x00\x00\x00Aa.0 ok 1 -\nv"} {
		shard := standin.NewShard(t)
		d := newHarness(t, shard.Address(), nil)
		done := d.submit(t.Context(), "a", 1, 2000)
		conn := shard.Take()
		conn.Read()
		io.WriteString(conn.Conn, "\x0d\x00\x00\x00Aa.0 ok 1 -\nv"+more) // in one write
		if v := <-done; v.Kind != dispatch.Served {
			t.Errorf("result %+v", v)
		}
		done = d.submit(t.Context(), "b", 1, 2000)
		next := shard.Take()
		if f := next.Read(); len(f.Requests) != 1 || f.Requests[0].ID != "b.0" {
			t.Errorf("frame %+v on the next connection", f)
		}
		next.Answer("b.0", "ok", "w")
		if v := <-done; v.Kind != dispatch.Served {
			t.Errorf("result %+v", v)
		}
		if f := conn.Read(); f.Type != 0 {
			t.Errorf("frame %+v on the connection of no further use", f)
		}
	}
}

// TestRepeatedAnswerDoesNotAffectTheNextCall repeats an answer while another request is in flight.
func TestRepeatedAnswerDoesNotAffectTheNextCall(t *testing.T) {
	shard := standin.NewShard(t)
	d := newHarness(t, shard.Address(), nil)
	done := d.submit(t.Context(), "a", 1, 2000)
	conn := shard.Take()
	conn.Read()
	conn.Answer("a.0", "ok", "v")
	<-done
	done = d.submit(t.Context(), "b", 1, 2000)
	conn.Read()
	conn.Answer("a.0", "ok", "v")
	conn.Answer("b.0", "ok", "w")
	if v := <-done; v.Kind != dispatch.Served || string(v.Hits[0].Value) != "w" {
		t.Errorf("result %+v", v)
	}
}

// TestLateAnswerIDsAreBounded expects many late answers that never arrive.
func TestLateAnswerIDsAreBounded(t *testing.T) {
	late := lateAnswers{window: time.Nanosecond}
	for range 1000 {
		late.expect(time.Now().String(), time.Now())
		time.Sleep(2 * time.Nanosecond)
	}
	if n := late.count(); n > 10 {
		t.Errorf("%d IDs are kept", n)
	}
}

// TestReadFrameDropsLargeBuffers wants a connection not to keep the buffer of its largest frame.
func TestReadFrameDropsLargeBuffers(t *testing.T) {
	big := append([]byte{0, 0, 1, 0, 'A'}, make([]byte, 1<<16-1)...)
	r := bufio.NewReader(bytes.NewReader(append(big, 1, 0, 0, 0, 'P')))
	_, _, kept, err := readFrame(r, nil)
	if err != nil || len(kept) != 1<<16 {
		t.Fatalf("%d bytes, %v", len(kept), err)
	}
	if letter, _, kept, err := readFrame(r, kept); letter != 'P' || cap(kept) > maxSpareBuffer || err != nil {
		t.Errorf("letter %q, %d bytes kept, %v", letter, cap(kept), err)
	}
}

func TestRefusedConnectionProvesThatNothingRan(t *testing.T) {
	shard := standin.NewShard(t)
	shard.Close()
	d := newHarness(t, shard.Address(), nil)
	done := d.submit(t.Context(), "a", 1, 2000)
	d.expectResult(t, "a.0", gather.ConnectFailed)
	if v := <-done; v.Kind != dispatch.Rejected {
		t.Errorf("result %+v: it never ran, so that the client may retry", v)
	}
}

// connectByPipe gives the server a connection over a pipe, which takes as many bytes as are read.
func (d *harness) connectByPipe() net.Conn {
	ours, theirs := net.Pipe()
	d.dial = func(string) (net.Conn, error) { return ours, nil }
	return theirs
}

// TestPartlyWrittenFrameNeverRan ends a connection before and after a frame's last byte. Only in the second case may
// the attempt have run.
func TestPartlyWrittenFrameNeverRan(t *testing.T) {
	for _, c := range []struct {
		name  string
		whole bool
		want  gather.Outcome
	}{{"broken before the last byte", false, gather.ConnectFailed}, {"broken after it", true,
		gather.ConnectionReset}} {
		t.Run(c.name, func(t *testing.T) {
			d := newHarness(t, "127.0.0.1:1",
				func(s *gather.Settings) { s.FindClass("i").Effect = gather.Idempotent })
			theirs := d.connectByPipe()
			d.submit(t.Context(), "a", 1, 2000)
			head := make([]byte, 5)
			io.ReadFull(theirs, head)
			if c.whole {
				io.ReadFull(theirs, make([]byte, int(head[0])-1))
			}
			theirs.Close()
			d.expectResult(t, "a.0", c.want)
		})
	}
}

// TestQueryEndDoesNotWaitForServerThatStoppedReading ends a query whose frame is stuck. The write is stopped; where
// the attempt's end waits for the cancellation, a frame that was written in part still proves that it never ran.
func TestQueryEndDoesNotWaitForServerThatStoppedReading(t *testing.T) {
	for _, c := range []struct {
		callOff, copies bool
		want            gather.Outcome
	}{{true, true, gather.Cancelled}, {true, false, gather.ConnectFailed}, {false, false, gather.ConnectFailed}} {
		d := newHarness(t, "127.0.0.1:1", func(s *gather.Settings) {
			s.CancelAllowed = c.callOff
			s.HedgingAllowed = c.copies
		})
		theirs := d.connectByPipe()
		ctx, leave := context.WithCancel(t.Context())
		done := d.submit(ctx, "a", 1, 60000)
		io.ReadFull(theirs, make([]byte, 3))
		leave()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Fatal("the end of the query waits for the server")
		}
		d.expectResult(t, "a.0", c.want)
	}
}

// TestRequestsOfOneRoundShareFrames sends six requests in one round. They share frames up to the limit of the
// settings, on as few connections as have room.
func TestRequestsOfOneRoundShareFrames(t *testing.T) {
	shard := standin.NewShard(t)
	d := newHarness(t, shard.Address(), nil)
	done := d.submit(t.Context(), "a", 6, 2000)
	frames := make(chan standin.Frame, 3)
	for range 2 {
		conn := shard.Take()
		go func() {
			for f := conn.Read(); f.Type != 0; f = conn.Read() {
				for _, p := range f.Requests {
					conn.Answer(p.ID, "ok", p.ID)
				}
				frames <- f
			}
		}()
	}
	seen := map[string]bool{}
	for range 3 {
		f := <-frames
		if len(f.Requests) != 2 {
			t.Errorf("frame of %d requests", len(f.Requests))
		}
		for _, p := range f.Requests {
			seen[p.ID] = true
		}
	}
	if v := <-done; len(seen) != 6 || v.Kind != dispatch.Served || len(v.Hits) != 6 ||
		string(v.Hits[5].Value) != "a.5" {
		t.Errorf("asked %v, result %+v", seen, v)
	}
	if n := d.openConnections(); n != 2 {
		t.Errorf("%d connections", n)
	}
}

// TestAttemptForbiddenWhileConnectingIsNotSent makes an attempt forbidden while its connection is set up.
func TestAttemptForbiddenWhileConnectingIsNotSent(t *testing.T) {
	for _, c := range []struct {
		name   string
		forbid func(d *harness, leave func())
	}{
		{"client has gone", func(_ *harness, leave func()) { leave() }},
		{"server drains", func(d *harness, _ func()) { d.setEndpoint(d.servers[7].HostPort, gather.Draining) }},
		// At the old address another server may listen by now, which does not hold the shard.
		{"server moves", func(d *harness, _ func()) { d.setEndpoint("127.0.0.1:1", gather.Running) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			shard := standin.NewShard(t)
			d := newHarness(t, shard.Address(), nil)
			ctx, leave := context.WithCancel(t.Context())
			decided, hold := make(chan struct{}), make(chan struct{})
			var once sync.Once
			d.dial = func(address string) (net.Conn, error) {
				once.Do(func() { close(decided) })
				<-hold
				return net.Dial("tcp", address)
			}
			done := d.submit(ctx, "a", 1, 2000)
			<-decided // and waits for its connection
			c.forbid(d, leave)
			if c.name == "client has gone" {
				<-done
			}
			close(hold)
			d.expectResult(t, "a.0", gather.NotSent)
			d.setEndpoint(shard.Address(), gather.Running)
			d.submit(t.Context(), "b", 1, 2000)
			f := shard.Take().Read()
			for f.Type == 0 {
				f = shard.Take().Read()
			}
			if len(f.Requests) != 1 || f.Requests[0].ID != "b.0" {
				t.Errorf("the first frame was %+v", f)
			}
			leave()
		})
	}
}

// TestCancelledAttemptEndsAtOnceAndNotifiesServer wants the server notified of a cancellation, the attempt ended at
// once and a late answer ignored.
func TestCancelledAttemptEndsAtOnceAndNotifiesServer(t *testing.T) {
	shard := standin.NewShard(t)
	d := newHarness(t, shard.Address(), nil)
	ctx, leave := context.WithCancel(t.Context())
	done := d.submit(ctx, "a", 1, 2000)
	conn := shard.Take()
	conn.Read()
	leave()
	if v := <-done; v.Kind != dispatch.Abandoned {
		t.Errorf("result %+v", v)
	}
	d.expectResult(t, "a.0", gather.Cancelled)
	if f := conn.Read(); f.Type != 'X' || f.Body != "a.0" {
		t.Errorf("frame %+v", f)
	}
	conn.Answer("a.0", "ok", "late")
	done = d.submit(t.Context(), "b", 1, 2000)
	conn.Read()
	conn.Answer("b.0", "ok", "v")
	d.expectResult(t, "b.0", gather.Succeeded)
	if v := <-done; len(v.Hits) != 1 || string(v.Hits[0].Value) != "v" {
		t.Errorf("result %+v", v)
	}
}

// TestUnansweredAttemptTimesOutAndNextUsesNewConnection leaves an attempt without an answer. The old connection may
// lead to a machine that has vanished.
func TestUnansweredAttemptTimesOutAndNextUsesNewConnection(t *testing.T) {
	shard := standin.NewShard(t)
	d := newHarness(t, shard.Address(), func(s *gather.Settings) {
		s.Tick = 1.0
		s.FindClass("i").LatencyObjective = 20.0
	})
	done := d.submit(t.Context(), "a", 1, 60)
	shard.Take().Read()
	if v := <-done; v.Kind != dispatch.Failed {
		t.Errorf("result %+v: it may have run", v)
	}
	d.submit(t.Context(), "b", 1, 2000)
	if f := shard.Take().Read(); len(f.Requests) != 1 || f.Requests[0].ID != "b.0" {
		t.Errorf("frame %+v", f)
	}
}

// TestSilentConnectionIsReplacedBeforeTheLatencyObjective wants a silent connection replaced well before the latency
// objective, since what is sent on it meanwhile is lost.
func TestSilentConnectionIsReplacedBeforeTheLatencyObjective(t *testing.T) {
	shard := standin.NewShard(t)
	d := newHarness(t, shard.Address(), func(s *gather.Settings) { s.FindClass("i").LatencyObjective = 500.0 })
	done := d.submit(t.Context(), "a", 1, 300)
	shard.Take().Read()
	<-done
	d.submit(t.Context(), "b", 1, 2000)
	shard.Listener.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second))
	if f := shard.Take().Read(); len(f.Requests) != 1 || f.Requests[0].ID != "b.0" {
		t.Errorf("frame %+v", f)
	}
}

// TestIdleConnectionClosesBeforeTheServersLimit wants an idle connection closed before the server closes it, so that
// no frame is written into that.
func TestIdleConnectionClosesBeforeTheServersLimit(t *testing.T) {
	shard := standin.NewShard(t)
	d := newHarness(t, shard.Address(), func(s *gather.Settings) {
		s.IdleTimeout = 1000.0
		s.ConnectTimeout = 800.0
	})
	done := d.submit(t.Context(), "a", 1, 2000)
	conn := shard.Take()
	conn.Read()
	conn.Answer("a.0", "ok", "v")
	<-done
	start := time.Now()
	if f := conn.Read(); f.Type != 0 || time.Since(start) > 900*time.Millisecond {
		t.Errorf("frame %+v after %v", f, time.Since(start))
	}
	if n := d.openConnections(); n != 0 {
		t.Errorf("%d connections left", n)
	}
}

// TestIdleConnectionClosesForANewOneAtTheLimit opens a connection where as many are open as the limit says.
func TestIdleConnectionClosesForANewOneAtTheLimit(t *testing.T) {
	one, two := standin.NewShard(t), standin.NewShard(t)
	d := newHarness(t, one.Address(), nil)
	d.limits.maxConns = 1
	done := d.submit(t.Context(), "a", 1, 2000)
	conn := one.Take()
	conn.Read()
	conn.Answer("a.0", "ok", "v")
	<-done
	d.SetEndpoints([]Address{{ID: 7, HostPort: one.Address()}, {ID: 8, HostPort: two.Address()}})
	d.picker.UpdateEndpoints(gather.EndpointList{Full: true,
		Endpoints: []gather.Endpoint{{ID: 7, State: gather.Draining}, {ID: 8}}})
	d.submit(t.Context(), "b", 1, 2000)
	two.Take().Read()
	if n := d.openConnections(); n != 1 {
		t.Fatalf("%d connections", n)
	}
	if f := conn.Read(); f.Type != 0 {
		t.Errorf("frame %+v", f)
	}
}

// TestServerWithNewAddressIsReachedThere gives a server another address while an attempt is in flight at the old one.
func TestServerWithNewAddressIsReachedThere(t *testing.T) {
	before, after := standin.NewShard(t), standin.NewShard(t)
	d := newHarness(t, before.Address(), nil)
	done := d.submit(t.Context(), "a", 1, 2000)
	conn := before.Take()
	conn.Read()
	d.setEndpoint(after.Address(), gather.Running)
	d.submit(t.Context(), "b", 1, 2000)
	if f := after.Take().Read(); len(f.Requests) != 1 || f.Requests[0].ID != "b.0" {
		t.Errorf("frame %+v", f)
	}
	conn.Answer("a.0", "ok", "v")
	if v := <-done; v.Kind != dispatch.Served {
		t.Errorf("result %+v: attempts in flight may still be answered", v)
	}
	if f := conn.Read(); f.Type != 0 {
		t.Errorf("frame %+v on the connection to where it was", f)
	}
}

func TestOutcomeOfEachStageSaysWhetherItMayHaveRun(t *testing.T) {
	if got := Outcome(io.EOF); got != gather.ConnectionReset {
		t.Errorf("an error without a stage is %d; it may have run", got)
	}
	unrun := map[Stage]bool{NotSent: true, Connecting: true, Writing: true, Rejected: true, NotOwner: true}
	for s := range stageCount {
		if got := Outcome(&Error{s, io.EOF}); got.NeverExecuted() != unrun[s] || got == gather.Succeeded {
			t.Errorf("stage %d is outcome %d", s, got)
		}
	}
}
