package dispatch

import (
	"testing"
	"time"

	"yokeroute/gather"
)

// TestModulePanicFailsHeldQueries has the module panic. What it held ends as an internal error, and the next query
// is served by a module that knows the endpoints.
func TestModulePanicFailsHeldQueries(t *testing.T) {
	p := newPicker(t, nil)
	runDueRound(t, p)
	done := pickAsync(t.Context(), p, newQuery("all", 2, p.Now()+2000))
	attempts := runDueRound(t, p).Send
	bad := newQuery("all", 1, p.Now()+2000)
	bad.ShardRequests[0].Shard = -1 // the front end rejects such a shard; the module does not expect it
	worse := pickAsync(t.Context(), p, bad)
	off := runDueRound(t, p).Cancel
	if a, b := <-done, <-worse; a.Kind != InternalError || b.Kind != InternalError {
		t.Errorf("results %+v, %+v", a, b)
	}
	if len(off) != len(attempts) {
		t.Errorf("%d of %d attempts cancelled", len(off), len(attempts))
	}
	for _, c := range off {
		p.Report(c, gather.Cancelled, nil)
	}
	runDueRound(t, p)
	done = pickAsync(t.Context(), p, newQuery("all", 1, p.Now()+2000))
	c := runDueRound(t, p).Send[0]
	p.Report(c, gather.Succeeded, []byte("v"))
	p.Report(c, gather.ConnectionReset, nil) // only the first counts
	runDueRound(t, p)
	if v := <-done; v.Kind != Served || len(v.Hits) != 1 || string(v.Hits[0].Value) != "v" {
		t.Errorf("result %+v", v)
	}
}

// TestWeightsSurviveModulePanic wants weights to reach the module, and the one that is started after a panic as
// well.
func TestWeightsSurviveModulePanic(t *testing.T) {
	p := newPicker(t, nil)
	runDueRound(t, p)
	shares := [][]gather.Weight{{{Server: 12, Share: 1}, {Server: 10}, {Server: 14}}}
	p.SetWeights(shares)
	to := func() uint32 {
		pickAsync(t.Context(), p, newQuery("all", 1, p.Now()+2000))
		c := runUntilSent(t, p)
		p.Report(c, gather.Succeeded, []byte("v"))
		runDueRound(t, p)
		return c.Server
	}
	for range 5 {
		if s := to(); s != 12 {
			t.Errorf("sent to %d", s)
		}
	}
	bad := newQuery("all", 1, p.Now()+2000)
	bad.ShardRequests[0].Shard = -1
	done := pickAsync(t.Context(), p, bad)
	runDueRound(t, p)
	<-done
	for range 5 {
		if s := to(); s != 12 {
			t.Errorf("after a panic, sent to %d", s)
		}
	}
	p.SetWeights([][]gather.Weight{})
	seen := map[uint32]bool{}
	for range 6 {
		seen[to()] = true
	}
	if len(seen) != 3 {
		t.Errorf("plain round robin goes to %v", seen)
	}
}

// TestModuleWakesItself keeps the module's wake-ups: a query whose shard request is never answered ends in time by
// itself.
func TestModuleWakesItself(t *testing.T) {
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
	v := p.Pick(t.Context(), newQuery("all", 1, p.Now()+120))
	if late := time.Since(start) - 120*time.Millisecond; v.Kind != Failed || late > 5*time.Second {
		t.Errorf("result %+v, %v late", v, late)
	}
}
