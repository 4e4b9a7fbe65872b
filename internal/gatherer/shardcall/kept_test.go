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

// The files in testdata/kept are golden files with the frames of the version that recorded them. They must not be
// changed, because a gatherer and a shard server of different versions must understand each other.

func goldenFrames(t *testing.T, direction, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "kept", direction, name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

var remainingAttribute = regexp.MustCompile(`d=(\d+)\b`)

// expectSent reads as many frames as a golden file holds and compares them. The remaining time changes while a test
// runs, so that it is replaced by 55555 as in the files. The lengths in the files are those of frames with five
// digits.
func expectSent(t *testing.T, conn *standin.Conn, name string) {
	t.Helper()
	want := goldenFrames(t, "sent", name)
	var got []byte
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	for len(got) < len(want) {
		header := make([]byte, 4)
		if _, err := io.ReadFull(conn.Conn, header); err != nil {
			t.Fatalf("%s: sent %q and nothing more, want %q: %v", name, got, want, err)
		}
		frame := make([]byte, binary.LittleEndian.Uint32(header))
		if _, err := io.ReadFull(conn.Conn, frame); err != nil {
			t.Fatalf("%s: read a frame of %d bytes: %v", name, len(frame), err)
		}
		frame = remainingAttribute.ReplaceAllFunc(frame, func(text []byte) []byte {
			if remaining, err := strconv.Atoi(string(text[2:])); err != nil || remaining < 1 || remaining > clientWait {
				t.Errorf("%s: %s is not a remaining time of 1 to %d ms", name, text, clientWait)
			}
			return []byte("d=55555")
		})
		got = append(binary.LittleEndian.AppendUint32(got, uint32(len(frame))), frame...)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: sent %q, want %q", name, got, want)
	}
}

// expectNothingMore checks that the server receives no further byte.
func expectNothingMore(t *testing.T, conn *standin.Conn, name string) {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
	if n, _ := conn.Conn.Read(make([]byte, 1)); n > 0 {
		t.Errorf("%s: more bytes were sent than the file holds", name)
	}
}

// clientWait is the time that clients wait, in milliseconds.
const clientWait = 60_000

func goldenSettings(s *gather.Settings) {
	s.Classes[0].LatencyObjective, s.Classes[0].Deadline = 59_000, 60_000
}

// goldenRetrySettings also allows retries.
func goldenRetrySettings(s *gather.Settings) {
	goldenSettings(s)
	s.Classes[0].Effect = gather.Idempotent
	s.MaxAttempts = 3
	s.RetryBudgetWindow, s.RetryBudgetFloor, s.RetryBudgetRatio = 2000, 20, 0.05
}

// TestSentFramesMatchGoldenFiles compares the bytes that the pool sends with the golden files, one type of frame at a
// time.
func TestSentFramesMatchGoldenFiles(t *testing.T) {
	t.Run("one request, cancelled", func(t *testing.T) {
		shard := standin.NewShard(t)
		h := newHarness(t, shard.Address(), goldenSettings)
		ctx, cancelClient := context.WithCancel(t.Context())
		done := h.submit(ctx, "a", 1, clientWait)
		conn := shard.Take()
		expectSent(t, conn, "Q-one-part")
		cancelClient()
		<-done
		expectSent(t, conn, "X")
		expectNothingMore(t, conn, "X")
	})
	t.Run("two requests in one frame", func(t *testing.T) {
		shard := standin.NewShard(t)
		h := newHarness(t, shard.Address(), goldenSettings)
		h.submit(t.Context(), "a", 2, clientWait)
		conn := shard.Take()
		expectSent(t, conn, "Q-two-parts")
		expectNothingMore(t, conn, "Q-two-parts")
	})
	t.Run("three requests in two frames", func(t *testing.T) {
		shard := standin.NewShard(t)
		h := newHarness(t, shard.Address(), goldenSettings)
		h.submit(t.Context(), "a", 3, clientWait)
		conn := shard.Take()
		expectSent(t, conn, "Q-three-parts")
		expectNothingMore(t, conn, "Q-three-parts")
	})
	t.Run("retry of one of two requests", func(t *testing.T) {
		shard := standin.NewShard(t)
		h := newHarness(t, shard.Address(), goldenRetrySettings)
		h.submit(t.Context(), "a", 2, clientWait)
		conn := shard.Take()
		expectSent(t, conn, "Q-two-parts")
		conn.Answer("a.1", "ok", "v")
		conn.Answer("a.0", "busy", "")
		expectSent(t, conn, "Q-one-part")
	})
	t.Run("health check", func(t *testing.T) {
		shard := standin.NewShard(t)
		h := newHarness(t, shard.Address(), nil)
		h.Execute(dispatch.Actions{CheckHealth: []uint32{7}})
		conn := shard.Take()
		expectSent(t, conn, "L")
		expectNothingMore(t, conn, "L")
	})
	t.Run("handshake for first passes", func(t *testing.T) {
		shard := standin.NewShard(t)
		p := New(Config{Settings: &gather.Settings{ConnectTimeout: 1000}, MaxConns: 100, Log: discardLog()})
		p.EnableFirstPass(func(uint32, bool) {})
		p.SetEndpoints([]Address{{ID: 1, HostPort: shard.Address()}})
		conn := shard.Take()
		expectSent(t, conn, "H")
		expectNothingMore(t, conn, "H")
		conn.Write('H', "two-phase 1")
	})
	t.Run("first pass", func(t *testing.T) {
		shard := standin.NewShard(t)
		h := newFirstPassHarness(t, shard)
		h.submit(t.Context(), "a", 2, clientWait)
		conn := shard.Take()
		expectSent(t, conn, "S-two-parts")
		expectNothingMore(t, conn, "S-two-parts")
	})
	for effect, name := range map[gather.Effect]string{gather.Idempotent: "O-idempotent",
		gather.NonIdempotent: "O-once-only"} {
		t.Run("keys with an owner, "+string(effect), func(t *testing.T) {
			shard := standin.NewShard(t)
			h := newOwnershipHarness(t, shard, effect)
			h.submitForShard(t, 3)
			conn := shard.Take()
			expectSent(t, conn, name)
			expectNothingMore(t, conn, name)
		})
	}
}

// newFirstPassHarness returns a harness that sends queries in two passes, to a server that supports first passes.
func newFirstPassHarness(t *testing.T, shard *standin.Shard) *harness {
	changeSettings := func(s *gather.Settings) {
		goldenRetrySettings(s)
		s.Classes[0].LatencyObjective = 2000
	}
	h := newHarnessWith(t, shard.Address(), changeSettings, func(p *dispatch.Picker) {
		p.EnableTwoPass(map[string]twopass.Settings{"i": {LatencyObjective: 2000, CompleteShare: 1, MinShare: 1,
			FirstPassShare: 0.3, TrialShare: 0.5}})
		p.UpdateEndpoints(gather.EndpointList{Full: true, Endpoints: []gather.Endpoint{{ID: 7}}})
		p.SetAnswersFirstPass(7, true)
	})
	h.picker.EndpointViews(t.Context()) // returns after a round, when the retry budget is known
	return h
}

// newOwnershipHarness returns a harness that sends queries to the owners of their keys. Shard 3 of 16 is a segment
// that the server owns.
func newOwnershipHarness(t *testing.T, shard *standin.Shard, effect gather.Effect) *harness {
	keys := ownership.ShardRange(3, 16)
	ownershipMap, err := ownership.NewMap(5, []ownership.Segment{{Name: "seg-3", Range: keys, Owners: []string{"h-01"},
		OwnedSince: 4}})
	if err != nil {
		t.Fatal(err)
	}
	changeSettings := func(s *gather.Settings) {
		goldenSettings(s)
		s.Classes[0].Effect = effect
		*s = *dispatch.OwnershipSettings(s, 4)
	}
	return newHarnessWith(t, shard.Address(), changeSettings, func(p *dispatch.Picker) {
		p.EnableOwnership(4, 16)
		p.SetServerNames(map[uint32]string{7: "h-01"})
		p.SetMap(ownershipMap)
	})
}

// submitForShard submits a query with one request, for the given shard. Its result is sent on the channel.
func (h *harness) submitForShard(t *testing.T, shard int) <-chan dispatch.Result {
	query := &dispatch.Query{ID: "a", Class: "i", Deadline: h.picker.Now() + clientWait, Payload: []byte("text of a"),
		ShardRequests: []dispatch.ShardRequest{{Shard: shard, Weight: 1}}}
	done := make(chan dispatch.Result, 1)
	go func() { done <- h.picker.Pick(t.Context(), query) }()
	return done
}

// TestGoldenAnswersYieldExpectedOutcomes answers a request with the bytes of each golden file and checks the outcome
// of the attempt.
func TestGoldenAnswersYieldExpectedOutcomes(t *testing.T) {
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
			h := newHarness(t, shard.Address(), goldenSettings)
			h.submit(t.Context(), "a", 1, clientWait)
			conn := shard.Take()
			expectSent(t, conn, "Q-one-part")
			conn.Conn.Write(goldenFrames(t, "received", name))
			if got := <-h.results; got != want {
				t.Errorf("attempt ended as %+v, want %+v", got, want)
			}
		})
	}
	for name, want := range map[string]result{
		"O-moved": {"a.3.0", gather.NotOwner, ""},
		"O-ok":    {"a.3.0", gather.Succeeded, "value"},
	} {
		t.Run(name, func(t *testing.T) {
			shard := standin.NewShard(t)
			h := newOwnershipHarness(t, shard, gather.NonIdempotent)
			h.submitForShard(t, 3)
			conn := shard.Take()
			expectSent(t, conn, "O-once-only")
			conn.Conn.Write(goldenFrames(t, "received", name))
			if got := <-h.results; got != want {
				t.Errorf("attempt ended as %+v, want %+v", got, want)
			}
		})
	}
	t.Run("S-none", func(t *testing.T) {
		shard := standin.NewShard(t)
		h := newFirstPassHarness(t, shard)
		done := h.submit(t.Context(), "a", 1, clientWait)
		conn := shard.Take()
		expectSent(t, conn, "S-one-part")
		conn.Conn.Write(goldenFrames(t, "received", "S-none"))
		if got, want := <-h.results, (result{"a.0~", gather.Succeeded, "none v1"}); got != want {
			t.Errorf("attempt ended as %+v, want %+v", got, want)
		}
		if v := <-done; v.Kind != dispatch.Served || !v.Complete || fmt.Sprint(v.EmptyShards) != "[0]" {
			t.Errorf("result %+v, want served, complete, with the empty shard 0", v)
		}
	})
}

// TestGoldenLoadReportsAreParsed answers a health check with the bytes of each golden file.
func TestGoldenLoadReportsAreParsed(t *testing.T) {
	for name, want := range map[string]gather.HealthCheckResult{
		"L-load":             {Server: 7, Succeeded: true, QueueLength: 7, Latency: 61.5},
		"L-load-other-names": {Server: 7, Succeeded: true, QueueLength: 2, Latency: 3},
		"L-nothing":          {Server: 7, Succeeded: true, QueueLength: -1, Latency: -1},
		"L-empty":            {Server: 7, Succeeded: true, QueueLength: -1, Latency: -1},
		"L-err":              {Server: 7, Succeeded: false, QueueLength: -1, Latency: -1},
	} {
		t.Run(name, func(t *testing.T) {
			shard := standin.NewShard(t)
			h := newHarness(t, shard.Address(), nil)
			h.Execute(dispatch.Actions{CheckHealth: []uint32{7}})
			conn := shard.Take()
			expectSent(t, conn, "L")
			conn.Conn.Write(goldenFrames(t, "received", name))
			got := <-h.checks
			got.Elapsed = 0
			if got != want {
				t.Errorf("result %+v, want %+v", got, want)
			}
		})
	}
}

// TestGoldenHandshakeAnswersAreParsed answers the handshake with the bytes of each golden file.
func TestGoldenHandshakeAnswersAreParsed(t *testing.T) {
	for name, want := range map[string]bool{"H-two-phase-1": true, "H-two-phase-2": false, "H-E": false} {
		t.Run(name, func(t *testing.T) {
			shard := standin.NewShard(t)
			supported := make(chan bool, 1)
			p := New(Config{Settings: &gather.Settings{ConnectTimeout: 1000}, MaxConns: 100, Log: discardLog()})
			p.EnableFirstPass(func(_ uint32, firstPass bool) { supported <- firstPass })
			p.SetEndpoints([]Address{{ID: 1, HostPort: shard.Address()}})
			conn := shard.Take()
			expectSent(t, conn, "H")
			conn.Conn.Write(goldenFrames(t, "received", name))
			if got := <-supported; got != want {
				t.Errorf("support of first passes: %t, want %t", got, want)
			}
		})
	}
}

// TestGoldenFilesContainCompleteFrames checks that each golden file of sent frames is a sequence of complete frames.
func TestGoldenFilesContainCompleteFrames(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "kept", "sent", "*"))
	if err != nil || len(files) == 0 {
		t.Fatalf("found %d golden files, %v; want at least 1", len(files), err)
	}
	for _, file := range files {
		text := goldenFrames(t, "sent", filepath.Base(file))
		for len(text) > 0 {
			if len(text) < 5 || len(text) < 4+int(binary.LittleEndian.Uint32(text)) {
				t.Fatalf("%s: the last %d bytes are not a complete frame", file, len(text))
			}
			text = text[4+int(binary.LittleEndian.Uint32(text)):]
		}
	}
}
