package shardcall

import (
	"strings"
	"testing"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/testbed/standin"
)

// TestLargePayloadsAreSentUncopied guards against frames that hold a copy of a large payload for each shard request. The
// frame that a server reads is the same as with small ones, but what is appended to the buffer stays small.
func TestLargePayloadsAreSentUncopied(t *testing.T) {
	for _, size := range []int{0, maxSpareBuffer, maxSpareBuffer + 1, 60_000} {
		shard := standin.NewShard(t)
		h := newHarness(t, shard.Address(), nil)
		payload := strings.Repeat("p", size)
		query := &dispatch.Query{ID: "a", Class: "i", Deadline: h.picker.Now() + 2000, Payload: []byte(payload),
			ShardRequests: []dispatch.ShardRequest{{Shard: 0, Weight: 0.5}, {Shard: 1, Weight: 0.5}}}
		done := make(chan dispatch.Result, 1)
		go func() { done <- h.picker.Pick(t.Context(), query) }()
		conn := shard.Take()
		f := conn.Read()
		if len(f.Requests) != 2 || f.Requests[0].Payload != payload || f.Requests[1].Payload != payload {
			t.Fatalf("payload of %d bytes: %d requests, want two with the payload", size, len(f.Requests))
		}
		h.mu.Lock()
		var attempts []*attempt
		for _, a := range h.attempts {
			attempts = append(attempts, a)
		}
		frame := appendRequestFrame(nil, attempts)
		h.mu.Unlock()
		if copied := len(frame.buf); copied > 2*maxSpareBuffer+200 {
			t.Errorf("payload of %d bytes: %d bytes in the buffer", size, copied)
		}
		conn.Answer("a.0", "ok", "v")
		conn.Answer("a.1", "ok", "w")
		if r := <-done; r.Kind != dispatch.Served {
			t.Errorf("payload of %d bytes: %+v, want served", size, r)
		}
	}
}

// TestPartlyWrittenLargeFrameIsConnectFailed ends the connection in the middle of a frame with a large payload, before
// and after each of its pieces. A server does not use a part of a frame: the attempts were never executed.
func TestPartlyWrittenLargeFrameIsConnectFailed(t *testing.T) {
	const size = 60_000
	for _, read := range []int{1, 20, size / 2, size + 30, size + 60, 2 * size} {
		h := newHarness(t, "127.0.0.1:1", func(s *gather.Settings) { s.FindClass("i").Effect = gather.Idempotent })
		serverConn := h.dialPipe()
		query := &dispatch.Query{ID: "a", Class: "i", Deadline: h.picker.Now() + 60_000, Payload: make([]byte, size),
			ShardRequests: []dispatch.ShardRequest{{Shard: 0, Weight: 0.5}, {Shard: 1, Weight: 0.5}}}
		go h.picker.Pick(t.Context(), query)
		for n := 0; n < read; {
			m, err := serverConn.Read(make([]byte, min(read-n, 4096)))
			if err != nil {
				t.Fatal(err)
			}
			n += m
		}
		serverConn.Close()
		for range 2 {
			if r := <-h.results; r.outcome != gather.ConnectFailed {
				t.Errorf("after %d bytes: outcome %v, want ConnectFailed", read, r.outcome)
			}
		}
	}
}
