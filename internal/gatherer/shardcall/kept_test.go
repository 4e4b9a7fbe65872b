package shardcall

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"
	"time"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/testbed/standin"
	"yokeroute/logic/ownership"
	"yokeroute/logic/twopass"
)

// The frames in testdata/kept are those of the version that wrote them. None may be changed: a gatherer and a shard
// server of two versions have to understand each other.

func keptFrames(t *testing.T, direction, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "kept", direction, name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

var timeLeft = regexp.MustCompile(`d=(\d+)\b`)

// wantSent reads as many frames as a kept file holds and compares them. The time left, which passes while a test runs,
// is 55555 in the files, and the lengths in them are those of frames with five digits.
func wantSent(t *testing.T, conn *standin.Conn, name string) {
	t.Helper()
	want := keptFrames(t, "sent", name)
	var got []byte
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	for len(got) < len(want) {
		head := make([]byte, 4)
		if _, err := io.ReadFull(conn.Conn, head); err != nil {
			t.Fatalf("%s: sent %q and no more, kept %q: %v", name, got, want, err)
		}
		frame := make([]byte, binary.LittleEndian.Uint32(head))
		if _, err := io.ReadFull(conn.Conn, frame); err != nil {
			t.Fatalf("%s: a frame of %d bytes: %v", name, len(frame), err)
		}
		frame = timeLeft.ReplaceAllFunc(frame, func(text []byte) []byte {
			if left, err := strconv.Atoi(string(text[2:])); err != nil || left < 1 || left > keptWait {
				t.Errorf("%s: %s is no time left of %d ms", name, text, keptWait)
			}
			return []byte("d=55555")
		})
		got = append(binary.LittleEndian.AppendUint32(got, uint32(len(frame))), frame...)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: sent %q, kept %q", name, got, want)
	}
}

// nothingMore checks that no byte follows what was read.
func nothingMore(t *testing.T, conn *standin.Conn, name string) {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
	if n, _ := conn.Conn.Read(make([]byte, 1)); n > 0 {
		t.Errorf("%s: more was sent than the file holds", name)
	}
}

const keptWait = 60_000 // milliseconds that a client waits

func keptSettings(s *gather.Settings) {
	s.Classes[0].LatencyObjective, s.Classes[0].Deadline = 59_000, 60_000
}

// keptRetrySettings allow retries as well.
func keptRetrySettings(s *gather.Settings) {
	keptSettings(s)
	s.Classes[0].Effect = gather.Idempotent
	s.MaxAttempts = 3
	s.RetryBudgetWindow, s.RetryBudgetFloor, s.RetryBudgetRatio = 2000, 20, 0.05
}

// TestKeptRequestFramesAreSentAsBefore compares what the pool sends, a kind of frame at a time, with the kept bytes.
func TestKeptRequestFramesAreSentAsBefore(t *testing.T) {
	t.Run("one part, cancelled", func(t *testing.T) {
		shard := standin.NewShard(t)
		d := newHarness(t, shard.Address(), keptSettings)
		ctx, leave := context.WithCancel(t.Context())
		done := d.submit(ctx, "a", 1, keptWait)
		conn := shard.Take()
		wantSent(t, conn, "Q-one-part")
		leave()
		<-done
		wantSent(t, conn, "X")
		nothingMore(t, conn, "X")
	})
	t.Run("two parts in one frame", func(t *testing.T) {
		shard := standin.NewShard(t)
		d := newHarness(t, shard.Address(), keptSettings)
		d.submit(t.Context(), "a", 2, keptWait)
		conn := shard.Take()
		wantSent(t, conn, "Q-two-parts")
		nothingMore(t, conn, "Q-two-parts")
	})
	t.Run("three parts in two frames", func(t *testing.T) {
		shard := standin.NewShard(t)
		d := newHarness(t, shard.Address(), keptSettings)
		d.submit(t.Context(), "a", 3, keptWait)
		conn := shard.Take()
		wantSent(t, conn, "Q-three-parts")
		nothingMore(t, conn, "Q-three-parts")
	})
	t.Run("retry of a part of two", func(t *testing.T) {
		shard := standin.NewShard(t)
		d := newHarness(t, shard.Address(), keptRetrySettings)
		d.submit(t.Context(), "a", 2, keptWait)
		conn := shard.Take()
		wantSent(t, conn, "Q-two-parts")
		conn.Answer("a.1", "ok", "v")
		conn.Answer("a.0", "busy", "")
		wantSent(t, conn, "Q-one-part")
	})
	t.Run("health check", func(t *testing.T) {
		shard := standin.NewShard(t)
		d := newHarness(t, shard.Address(), nil)
		d.Execute(dispatch.Actions{CheckHealth: []uint32{7}})
		conn := shard.Take()
		wantSent(t, conn, "L")
		nothingMore(t, conn, "L")
	})
	t.Run("agreement on first passes", func(t *testing.T) {
		shard := standin.NewShard(t)
		p := New(Config{Settings: &gather.Settings{ConnectTimeout: 1000}, MaxConns: 100, Log: discardLog()})
		p.EnableFirstPass(func(uint32, bool) {})
		p.SetEndpoints([]Address{{ID: 1, HostPort: shard.Address()}})
		conn := shard.Take()
		wantSent(t, conn, "H")
		nothingMore(t, conn, "H")
		conn.Write('H', "two-phase 1")
	})
	t.Run("first pass", func(t *testing.T) {
		shard := standin.NewShard(t)
		d := newFirstPassHarness(t, shard)
		d.submit(t.Context(), "a", 2, keptWait)
		conn := shard.Take()
		wantSent(t, conn, "S-two-parts")
		nothingMore(t, conn, "S-two-parts")
	})
	for effect, name := range map[gather.Effect]string{gather.Idempotent: "O-idempotent",
		gather.NonIdempotent: "O-once-only"} {
		t.Run("keys with owners, "+string(effect), func(t *testing.T) {
			shard := standin.NewShard(t)
			d := newOwnershipHarness(t, shard, effect)
			d.submitForShard(t, 3)
			conn := shard.Take()
			wantSent(t, conn, name)
			nothingMore(t, conn, name)
		})
	}
}

// newFirstPassHarness has queries go in two passes, to a server that answers first passes.
func newFirstPassHarness(t *testing.T, shard *standin.Shard) *harness {
	change := func(s *gather.Settings) {
		keptRetrySettings(s)
		s.Classes[0].LatencyObjective = 2000
	}
	d := newHarnessWith(t, shard.Address(), change, func(p *dispatch.Picker) {
		p.EnableTwoPass(map[string]twopass.Settings{"i": {LatencyObjective: 2000, CompleteShare: 1, MinShare: 1,
			FirstPassShare: 0.3, TrialShare: 0.5}})
		p.UpdateEndpoints(gather.EndpointList{Full: true, Endpoints: []gather.Endpoint{{ID: 7}}})
		p.SetAnswersFirstPass(7, true)
	})
	d.picker.EndpointViews(t.Context()) // once it returns a round has run, and the retry budget is known
	return d
}

// newOwnershipHarness has queries sent to the owners of their keys: shard 3 of 16 is a segment of the server.
func newOwnershipHarness(t *testing.T, shard *standin.Shard, effect gather.Effect) *harness {
	keys := ownership.ShardRange(3, 16)
	m, err := ownership.NewMap(5, []ownership.Segment{{Name: "seg-3", Range: keys, Owners: []string{"h-01"},
		OwnedSince: 4}})
	if err != nil {
		t.Fatal(err)
	}
	change := func(s *gather.Settings) {
		keptSettings(s)
		s.Classes[0].Effect = effect
		*s = *dispatch.OwnershipSettings(s, 4)
	}
	return newHarnessWith(t, shard.Address(), change, func(p *dispatch.Picker) {
		p.EnableOwnership(4, 16)
		p.SetServerNames(map[uint32]string{7: "h-01"})
		p.SetMap(m)
	})
}

// submitForShard submits a query of one shard request.
func (d *harness) submitForShard(t *testing.T, shard int) <-chan dispatch.Result {
	lk := &dispatch.Query{ID: "a", Class: "i", Deadline: d.picker.Now() + keptWait, Payload: []byte("text of a"),
		ShardRequests: []dispatch.ShardRequest{{Shard: shard, Weight: 1}}}
	done := make(chan dispatch.Result, 1)
	go func() { done <- d.picker.Pick(t.Context(), lk) }()
	return done
}

// TestKeptReplyFramesEndAttemptsAsBefore has a server answer a request with kept bytes.
func TestKeptReplyFramesEndAttemptsAsBefore(t *testing.T) {
	for name, want := range map[string]result{
		"A-ok":                  {"a.0", gather.Succeeded, "value"},
		"A-ok-score-and-report": {"a.0", gather.Succeeded, "value"},
		"A-ok-empty":            {"a.0", gather.Succeeded, ""},
		"A-ok-utf8":             {"a.0", gather.Succeeded, "välue"},
		"A-busy":                {"a.0", gather.Rejected, ""},
		"A-err":                 {"a.0", gather.Failed, ""},
		"A-moved-without-keys":  {"a.0", gather.ConnectionReset, ""},
		"A-unknown-status":      {"a.0", gather.ConnectionReset, ""},
		"A-for-another":         {"a.0", gather.ConnectionReset, ""},
		"A-control-character":   {"a.0", gather.ConnectionReset, ""},
		"A-not-utf8":            {"a.0", gather.ConnectionReset, ""},
		"E":                     {"a.0", gather.ConnectionReset, ""},
		"P":                     {"a.0", gather.Succeeded, "value"},
		"Z":                     {"a.0", gather.ConnectionReset, ""},
		"L-nothing-asked":       {"a.0", gather.Succeeded, "value"},
		"length-zero":           {"a.0", gather.ConnectionReset, ""},
		"length-too-long":       {"a.0", gather.ConnectionReset, ""},
	} {
		t.Run(name, func(t *testing.T) {
			shard := standin.NewShard(t)
			d := newHarness(t, shard.Address(), keptSettings)
			d.submit(t.Context(), "a", 1, keptWait)
			conn := shard.Take()
			wantSent(t, conn, "Q-one-part")
			conn.Conn.Write(keptFrames(t, "received", name))
			if got := <-d.results; got != want {
				t.Errorf("ended as %+v, want %+v", got, want)
			}
		})
	}
	for name, want := range map[string]result{
		"O-moved": {"a.3.0", gather.NotOwner, ""},
		"O-ok":    {"a.3.0", gather.Succeeded, "value"},
	} {
		t.Run(name, func(t *testing.T) {
			shard := standin.NewShard(t)
			d := newOwnershipHarness(t, shard, gather.NonIdempotent)
			d.submitForShard(t, 3)
			conn := shard.Take()
			wantSent(t, conn, "O-once-only")
			conn.Conn.Write(keptFrames(t, "received", name))
			if got := <-d.results; got != want {
				t.Errorf("ended as %+v, want %+v", got, want)
			}
		})
	}
	t.Run("S-none", func(t *testing.T) {
		shard := standin.NewShard(t)
		d := newFirstPassHarness(t, shard)
		done := d.submit(t.Context(), "a", 1, keptWait)
		conn := shard.Take()
		wantSent(t, conn, "S-one-part")
		conn.Conn.Write(keptFrames(t, "received", "S-none"))
		if got, want := <-d.results, (result{"a.0~", gather.Succeeded, "none v1"}); got != want {
			t.Errorf("ended as %+v, want %+v", got, want)
		}
		if v := <-done; v.Kind != dispatch.Served || !v.Complete || fmt.Sprint(v.EmptyShards) != "[0]" {
			t.Errorf("result %+v", v)
		}
	})
}

// TestKeptLoadReportsAreReadAsBefore has a server answer a health check with kept bytes.
func TestKeptLoadReportsAreReadAsBefore(t *testing.T) {
	for name, want := range map[string]gather.HealthCheckResult{
		"L-load":             {Server: 7, Succeeded: true, QueueLength: 7, Latency: 61.5},
		"L-load-other-names": {Server: 7, Succeeded: true, QueueLength: 2, Latency: 3},
		"L-nothing":          {Server: 7, Succeeded: true, QueueLength: -1, Latency: -1},
		"L-empty":            {Server: 7, Succeeded: true, QueueLength: -1, Latency: -1},
		"L-err":              {Server: 7, Succeeded: false, QueueLength: -1, Latency: -1},
	} {
		t.Run(name, func(t *testing.T) {
			shard := standin.NewShard(t)
			d := newHarness(t, shard.Address(), nil)
			d.Execute(dispatch.Actions{CheckHealth: []uint32{7}})
			conn := shard.Take()
			wantSent(t, conn, "L")
			conn.Conn.Write(keptFrames(t, "received", name))
			got := <-d.checks
			got.Elapsed = 0
			if got != want {
				t.Errorf("read %+v, want %+v", got, want)
			}
		})
	}
}

// TestKeptHandshakeFramesAreReadAsBefore has a server answer the handshake with kept bytes.
func TestKeptHandshakeFramesAreReadAsBefore(t *testing.T) {
	for name, want := range map[string]bool{"H-two-phase-1": true, "H-two-phase-2": false, "H-E": false} {
		t.Run(name, func(t *testing.T) {
			shard := standin.NewShard(t)
			found := make(chan bool, 1)
			p := New(Config{Settings: &gather.Settings{ConnectTimeout: 1000}, MaxConns: 100, Log: discardLog()})
			p.EnableFirstPass(func(_ uint32, yes bool) { found <- yes })
			p.SetEndpoints([]Address{{ID: 1, HostPort: shard.Address()}})
			conn := shard.Take()
			wantSent(t, conn, "H")
			conn.Conn.Write(keptFrames(t, "received", name))
			if got := <-found; got != want {
				t.Errorf("answers first passes: %t, want %t", got, want)
			}
		})
	}
}

// TestKeptFramesAreWhole checks the kept files themselves: each is a sequence of complete frames.
func TestKeptFramesAreWhole(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "kept", "sent", "*"))
	if err != nil || len(files) == 0 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, file := range files {
		text := keptFrames(t, "sent", filepath.Base(file))
		for len(text) > 0 {
			if len(text) < 5 || len(text) < 4+int(binary.LittleEndian.Uint32(text)) {
				t.Fatalf("%s: %d bytes are no frame", file, len(text))
			}
			text = text[4+int(binary.LittleEndian.Uint32(text)):]
		}
	}
}
