package dispatch

import (
	"testing"
	"time"

	"yokeroute/gather"
)

// TestModulePanicFailsOpenQueries guards against a module panic that leaves queries open or loses the endpoints. All
// open queries must end with InternalError, and a new module must serve the next query.
func TestModulePanicFailsOpenQueries(t *testing.T) {
	p := newPicker(t, nil)
	runDueRound(t, p)
	done := pickAsync(t.Context(), p, newQuery("all", 2, p.Now()+2000))
	attempts := runDueRound(t, p).Send
	invalid := newQuery("all", 1, p.Now()+2000)
	invalid.ShardRequests[0].Shard = -1 // makes the module panic; the front end would reject such a shard
	invalidDone := pickAsync(t.Context(), p, invalid)
	cancelled := runDueRound(t, p).Cancel
	if a, b := <-done, <-invalidDone; a.Kind != InternalError || b.Kind != InternalError {
		t.Errorf("results %+v, %+v, want InternalError", a, b)
	}
	if len(cancelled) != len(attempts) {
		t.Errorf("%d of %d attempts cancelled, want all", len(cancelled), len(attempts))
	}
	for _, attempt := range cancelled {
		p.Report(attempt, gather.Cancelled, nil)
	}
	runDueRound(t, p)
	done = pickAsync(t.Context(), p, newQuery("all", 1, p.Now()+2000))
	attempt := runDueRound(t, p).Send[0]
	p.Report(attempt, gather.Succeeded, []byte("v"))
	p.Report(attempt, gather.ConnectionReset, nil) // must be ignored: only the first report counts
	runDueRound(t, p)
	if result := <-done; result.Kind != Served || len(result.Hits) != 1 || string(result.Hits[0].Value) != "v" {
		t.Errorf("result %+v, want Served with one hit v", result)
	}
}

// TestWeightsSurviveModulePanic guards against weights that are lost when the module restarts after a panic.
func TestWeightsSurviveModulePanic(t *testing.T) {
	p := newPicker(t, nil)
	runDueRound(t, p)
	weights := [][]gather.Weight{{{Server: 12, Share: 1}, {Server: 10}, {Server: 14}}}
	p.SetWeights(weights)
	sendOne := func() uint32 {
		pickAsync(t.Context(), p, newQuery("all", 1, p.Now()+2000))
		attempt := runUntilSent(t, p)
		p.Report(attempt, gather.Succeeded, []byte("v"))
		runDueRound(t, p)
		return attempt.Server
	}
	for range 5 {
		if s := sendOne(); s != 12 {
			t.Errorf("sent to server %d, want 12", s)
		}
	}
	invalid := newQuery("all", 1, p.Now()+2000)
	invalid.ShardRequests[0].Shard = -1
	done := pickAsync(t.Context(), p, invalid)
	runDueRound(t, p)
	<-done
	for range 5 {
		if s := sendOne(); s != 12 {
			t.Errorf("after a panic: sent to server %d, want 12", s)
		}
	}
	p.SetWeights([][]gather.Weight{})
	seen := map[uint32]bool{}
	for range 6 {
		seen[sendOne()] = true
	}
	if len(seen) != 3 {
		t.Errorf("plain round robin sent to servers %v, want 3 servers", seen)
	}
}

// TestUnansweredQueryEndsWithoutInput guards against ignoring the rounds that the module requests. A query whose shard
// request is never answered must end in time, although no input makes a round due.
func TestUnansweredQueryEndsWithoutInput(t *testing.T) {
	p := newPicker(t, nil)
	runDueRound(t, p)
	go func() {
		for {
			if _, err := p.RunRound(t.Context()); err != nil {
				return
			}
		}
	}()
	start := time.Now()
	result := p.Pick(t.Context(), newQuery("all", 1, p.Now()+120))
	if overrun := time.Since(start) - 120*time.Millisecond; result.Kind != Failed || overrun > 5*time.Second {
		t.Errorf("result %+v, %v after its deadline, want Failed at most 5 s after it", result, overrun)
	}
}
