package shardcall

import (
	"encoding/binary"
	"fmt"
	"strings"
	"testing"
	"time"

	"yokeroute/gather"
	"yokeroute/internal/testbed/standin"
	"yokeroute/internal/testbed/standin/shardserver"
)

// misframed returns a frame whose length is wrong by the given number of bytes.
func misframed(frameType byte, body string, by int) string {
	frame := shardserver.EncodeFrame(frameType, body)
	binary.LittleEndian.PutUint32(frame, uint32(len(frame)-lengthBytes+by))
	return string(frame)
}

func framed(frameType byte, body string) string { return misframed(frameType, body, 0) }

const (
	shortValue = "c55bccf4cff2c248"
	noise      = "\x81\xfe\x7b\x5d\xe7"

	// splitDelay is the time between two writes of one frame.
	splitDelay = 20 * time.Millisecond
)

// newHarnessInFlight returns a harness with the given number of shard requests in flight, those of query a, and the
// server's end of their connection.
func newHarnessInFlight(t *testing.T, shardRequests int) (*harness, *standin.Conn) {
	t.Helper()
	shard := standin.NewShard(t)
	h := newHarness(t, shard.Address(), nil)
	h.submit(t.Context(), "a", shardRequests, 2000)
	conn := shard.Take()
	conn.Read()
	return h, conn
}

// writeAll writes each text with a write of its own.
func writeAll(t *testing.T, conn *standin.Conn, delay time.Duration, texts ...string) {
	t.Helper()
	for i, text := range texts {
		if i > 0 {
			time.Sleep(delay)
		}
		if _, err := conn.Conn.Write([]byte(text)); err != nil {
			t.Log(err) // the pool has closed the connection
		}
	}
}

// TestAnswerWithWrongLengthIsNotServedWhileOthersAreExpected guards against a value that is served cut off, or with
// bytes of the next frame, because an answer counts before the bytes behind it show that its length is wrong. A second
// shard request is in flight on the connection. The attempt may have run.
func TestAnswerWithWrongLengthIsNotServedWhileOthersAreExpected(t *testing.T) {
	first, longFirst := "a.0 ok 1 -\n"+shortValue, "a.0 ok 1 -\n"+strings.Repeat(shortValue, 512)
	second := framed(frameAnswer, "a.1 ok 1 -\n"+strings.Repeat("x", 33)) // its length begins with a printable byte
	for name, writes := range map[string][]string{
		"4 bytes too small":                        {misframed(frameAnswer, first, -4)},
		"1 byte too small, then the next answer":   {misframed(frameAnswer, first, -1), second},
		"2 bytes too small, then the next answer":  {misframed(frameAnswer, first, -2), second},
		"3 bytes too small, then the next answer":  {misframed(frameAnswer, first, -3), second},
		"without the value":                        {misframed(frameAnswer, first, -len(shortValue))},
		"4 bytes of a long value too small":        {misframed(frameAnswer, longFirst, -4)},
		"1 byte too large, with the next answer":   {misframed(frameAnswer, first, 1) + second},
		"1 byte too large, then the next answer":   {misframed(frameAnswer, first, 1), second},
		"4 bytes too small, with the next answer":  {misframed(frameAnswer, first, -4) + second},
		"4 bytes too small, the answer err":        {misframed(frameAnswer, "a.0 err 1 -\nwhat", -4)},
		"4 bytes too small, the answer busy":       {misframed(frameAnswer, "a.0 busy 1 -\nwhat", -4)},
		"noise behind it":                          {framed(frameAnswer, first) + noise},
		"letter of no response in the next header": {framed(frameAnswer, first) + "\x08\x00\x00\x00Qb"},
	} {
		t.Run(name, func(t *testing.T) {
			h, conn := newHarnessInFlight(t, 2)
			writeAll(t, conn, splitDelay, writes...)
			for range 2 {
				if r := <-h.results; r.outcome != gather.ConnectionReset {
					t.Errorf("attempt %s ended with outcome %v and value %.40q, want ConnectionReset", r.id, r.outcome, r.value)
				}
			}
		})
	}
}

// TestRestOfFrameInNextReadIsNoticed writes the end of an answer, which its length leaves out, right after the rest. A
// server that buffers its writes does so. The pool waits longer than by default, so that a pause of the test between its
// writes does not matter.
func TestRestOfFrameInNextReadIsNoticed(t *testing.T) {
	frame := misframed(frameAnswer, "a.0 ok 1 -\n"+shortValue, -4)
	for range 20 {
		shard := standin.NewShard(t)
		h := newHarness(t, shard.Address(), nil)
		h.limits.followingWait = 20 * time.Second
		h.submit(t.Context(), "a", 2, 2000)
		conn := shard.Take()
		conn.Read()
		writeAll(t, conn, 0, frame[:len(frame)-4], frame[len(frame)-4:])
		if r := <-h.results; r.outcome != gather.ConnectionReset {
			t.Fatalf("attempt %s ended with outcome %v and value %q, want ConnectionReset", r.id, r.outcome, r.value)
		}
	}
}

// TestLastAnswerWithWrongLengthIsNotServed has an answer be the only one expected on its connection. Text behind it may
// be the rest of its value, and so may text before the next frame: it is not served. It is also not served if it has
// swallowed the start of a late answer.
func TestLastAnswerWithWrongLengthIsNotServed(t *testing.T) {
	answer := "a.0 ok 1 -\n" + shortValue
	late := framed(frameAnswer, "late.0 ok 1 -\n"+strings.Repeat("x", 30))
	for name, write := range map[string]string{
		"4 bytes too small":                     misframed(frameAnswer, answer, -4),
		"1 byte too small":                      misframed(frameAnswer, answer, -1),
		"without the value":                     misframed(frameAnswer, answer, -len(shortValue)),
		"4 bytes too small, with a late answer": misframed(frameAnswer, answer, -4) + late,
		"1 byte too large, with a late answer":  misframed(frameAnswer, answer, 1) + late,
	} {
		t.Run(name, func(t *testing.T) {
			h, conn := newHarnessInFlight(t, 1)
			writeAll(t, conn, 0, write)
			h.expectResult(t, "a.0", gather.ConnectionReset)
		})
	}
}

// TestGoodAnswersAreServedHoweverTheyArrive guards against answers that are not served because of what follows them: a
// second copy or noise behind the only answer expected, or the next answer, split at any byte.
func TestGoodAnswersAreServedHoweverTheyArrive(t *testing.T) {
	first := framed(frameAnswer, "a.0 ok 1 -\n"+shortValue)
	second := framed(frameAnswer, "a.1 ok 1 -\n"+shortValue)
	type arrival struct {
		name          string
		shardRequests int
		writes        []string
	}
	arrivals := []arrival{
		{"alone", 1, []string{first}},
		{"noise behind it", 1, []string{first + noise}},
		{"text and noise behind it", 1, []string{first + "wxyz\x00\xff" + noise}},
		{"second copy behind it", 1, []string{first + first}},
		{"both at once", 2, []string{first + second}},
		{"noise behind the last", 2, []string{first + second + noise}},
		{"noise behind the last, later", 2, []string{first, second + noise}},
	}
	for n := 1; n < lengthBytes+2; n++ {
		arrivals = append(arrivals, arrival{fmt.Sprintf("first %d bytes of the next with it", n), 2,
			[]string{first + second[:n], second[n:]}})
	}
	for _, a := range arrivals {
		t.Run(a.name, func(t *testing.T) {
			h, conn := newHarnessInFlight(t, a.shardRequests)
			writeAll(t, conn, splitDelay, a.writes...)
			for i := range a.shardRequests {
				if r := <-h.results; r.outcome != gather.Succeeded || r.value != shortValue {
					t.Errorf("attempt %d: %+v, want %q", i, r, shortValue)
				}
			}
		})
	}
}

// TestAnswerDoesNotWaitForNextOne guards against an answer that is held back until another one arrives.
func TestAnswerDoesNotWaitForNextOne(t *testing.T) {
	h, conn := newHarnessInFlight(t, 2)
	conn.Answer("a.0", "ok", "v")
	h.expectResult(t, "a.0", gather.Succeeded) // a.1 is not answered
}

// TestLoadReportWithWrongLengthFailsHealthCheck guards against a load that is read from a report that is cut off, or
// that has swallowed a byte of the next frame. An attempt is in flight on the connection.
func TestLoadReportWithWrongLengthFailsHealthCheck(t *testing.T) {
	answer := framed(frameAnswer, "a.0 ok 1 -\n"+strings.Repeat("x", 40)) // its length begins with a digit
	for name, write := range map[string]string{
		"4 bytes too small": misframed(frameLoad, "queue=71234", -4),
		"1 byte too large":  misframed(frameLoad, "queue=7", 1) + answer,
	} {
		t.Run(name, func(t *testing.T) {
			h, conn := newHarnessInFlight(t, 1)
			go func() {
				conn.Read()
				writeAll(t, conn, 0, write)
			}()
			if check := h.checkHealth(); check.Succeeded {
				t.Errorf("health check %+v, want one that failed", check)
			}
			h.expectResult(t, "a.0", gather.ConnectionReset)
		})
	}
}

// TestFirstPassSummaryWithWrongLengthIsNotUsed guards against a summary whose version is cut off. Another first pass is
// in flight on the connection.
func TestFirstPassSummaryWithWrongLengthIsNotUsed(t *testing.T) {
	shard := standin.NewShard(t)
	h := newFirstPassHarness(t, shard)
	h.submit(t.Context(), "a", 2, 2000)
	conn := shard.Take()
	if f := conn.Read(); f.Type != frameFirstPass || !strings.Contains(f.Body, "a.1~ ") {
		t.Fatalf("frame %+v, want two requests of a first pass", f)
	}
	writeAll(t, conn, 0, misframed(frameAnswer, "a.0~ ok - -\nsome 1 1 v12", -1), framed(frameAnswer, "a.1~ ok - -\nsome 1 1 v12"))
	for range 2 {
		if r := <-h.results; r.outcome != gather.ConnectionReset {
			t.Errorf("attempt %s ended with outcome %v and value %q, want ConnectionReset", r.id, r.outcome, r.value)
		}
	}
}
