package dispatch

import (
	"context"
	"runtime"
	"testing"

	"yokeroute/gather"
)

// TestAbandonedAttemptIsNotWritten has a client go between the decision on an attempt and its first byte: of the
// first attempt, of a retry. None begins.
func TestAbandonedAttemptIsNotWritten(t *testing.T) {
	now := 1000.0
	for _, retry := range []bool{false, true} {
		p := newPicker(t, nil)
		p.clock.override = func() float64 { return now }
		p.RunRoundNow()
		ctx, leave := context.WithCancel(t.Context())
		done := make(chan Result, 1)
		query := newQuery("all", 1, now+1000)
		go func() { done <- p.Pick(ctx, query) }()
		for queued := 0; queued == 0; runtime.Gosched() {
			p.intake.mu.Lock()
			queued = len(p.intake.inbox.admitted)
			p.intake.mu.Unlock()
		}
		now += 5
		attempts := p.RunRoundNow().Send
		if len(attempts) != 1 {
			t.Fatalf("%d attempts", len(attempts))
		}
		if retry { // it is rejected, so that its shard request is sent again
			attempts[0].BeginWrite()
			attempts[0].EndWrite()
			p.Report(attempts[0], gather.Rejected, nil)
			now += 5
			if attempts = p.RunRoundNow().Send; len(attempts) != 1 || !attempts[0].UsesRetryBudget() {
				t.Fatalf("%d attempts after one was rejected", len(attempts))
			}
		}
		leave()
		if v := <-done; v.Kind != Abandoned {
			t.Errorf("result %+v", v)
		}
		if attempts[0].BeginWrite() {
			t.Errorf("retry %v: an attempt begins for a client that has gone", retry)
		}
	}
}

// TestRetryOutsideIdempotencyWindowIsNotWritten ends the idempotency window between the decision on a retry and
// its first byte. The retry goes only while the key of each earlier attempt that may have run is known; one that
// never ran does not count.
func TestRetryOutsideIdempotencyWindowIsNotWritten(t *testing.T) {
	for _, c := range []struct {
		name  string
		first gather.Outcome
		late  float64 // the second attempt's first byte, after the first's decision
		want  bool
	}{
		{"within", gather.Failed, 80, true},
		{"after", gather.Failed, 101, false},
		{"at its very end", gather.Failed, 100, false},
		{"after, the first never ran", gather.Rejected, 101, true},
	} {
		now := 1000.0
		p := newPicker(t, func(s *gather.Settings) {
			s.RetryBudgetWindow = 0.0
			s.FindClass("all").Effect = gather.IdempotencyKeyed
			s.FindClass("all").IdempotencyWindow = 100.0
		})
		p.clock.override = func() float64 { return now }
		p.RunRoundNow()
		query := newQuery("all", 1, now+1000)
		p.Submit(query)
		now += 5
		first := p.RunRoundNow().Send
		if len(first) != 1 || !first[0].BeginWrite() {
			t.Fatalf("%s: %d attempts", c.name, len(first))
		}
		first[0].EndWrite()
		at := now
		p.Report(first[0], c.first, nil)
		now += 10
		second := p.RunRoundNow().Send
		if len(second) != 1 {
			t.Fatalf("%s: %d attempts after the first ended", c.name, len(second))
		}
		now = at + c.late
		if got := second[0].BeginWrite(); got != c.want {
			t.Errorf("%s: begins %v", c.name, got)
		}
	}
}
