package dispatch

import (
	"context"
	"runtime"
	"testing"

	"yokeroute/gather"
)

// TestGoneBeforeWritten: a client goes between the decision on a part call and its first byte: of its first call, of
// its retry, of a second copy. None begins.
func TestGoneBeforeWritten(t *testing.T) {
	now := 1000.0
	for _, further := range []bool{false, true} {
		p := newPicker(t, nil)
		p.clock = func() float64 { return now }
		p.Play()
		ctx, leave := context.WithCancel(t.Context())
		done := make(chan Verdict, 1)
		lk := lookup("all", 1, now+1000)
		go func() { done <- p.Pick(ctx, lk) }()
		for taken := 0; taken == 0; runtime.Gosched() {
			p.mu.Lock()
			taken = len(p.inbox.taken)
			p.mu.Unlock()
		}
		now += 5
		calls := p.Play().Calls
		if len(calls) != 1 {
			t.Fatalf("%d calls", len(calls))
		}
		if further { // it is turned away, so that its part is called again
			calls[0].Begin()
			calls[0].End()
			p.Report(calls[0], gather.Rejected, nil)
			now += 5
			if calls = p.Play().Calls; len(calls) != 1 || !calls[0].Further() {
				t.Fatalf("%d calls after one was turned away", len(calls))
			}
		}
		leave()
		if v := <-done; v.Kind != Left {
			t.Errorf("verdict %+v", v)
		}
		if calls[0].Begin() {
			t.Errorf("further %v: a call begins for a client that has gone", further)
		}
	}
}

// TestWindowEnds: a fingerprinted part's window ends between the decision to send it again and the first byte. It goes
// only while the mark of each call that may have run is known; one that never ran counts for nothing.
func TestWindowEnds(t *testing.T) {
	for _, c := range []struct {
		name  string
		first gather.Outcome
		late  float64 // the second call's first byte, after the first's decision
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
		p.clock = func() float64 { return now }
		p.Play()
		lk := lookup("all", 1, now+1000)
		p.Take(lk)
		now += 5
		first := p.Play().Calls
		if len(first) != 1 || !first[0].Begin() {
			t.Fatalf("%s: %d calls", c.name, len(first))
		}
		first[0].End()
		at := now
		p.Report(first[0], c.first, nil)
		now += 10
		second := p.Play().Calls
		if len(second) != 1 {
			t.Fatalf("%s: %d calls after the first ended", c.name, len(second))
		}
		now = at + c.late
		if got := second[0].Begin(); got != c.want {
			t.Errorf("%s: begins %v", c.name, got)
		}
	}
}
