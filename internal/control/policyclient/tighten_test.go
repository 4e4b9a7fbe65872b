package policyclient_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"yokeroute/internal/testbed/processtest"
)

// TestNonIdempotentByPolicy changes a class to non-idempotent and the retry budget to zero, and back again, while
// servers are slow, connections are reset, clients retry, and one gatherer restarts each second. It checks that no
// shard request of a query that was admitted while the class was non-idempotent is repeated if an attempt may have run.
func TestNonIdempotentByPolicy(t *testing.T) {
	t.Parallel()
	servers := threeServers
	servers.Fallback = "no-copies\nindex any once-only least 75%\nfurther share 0% free 0\ncold 20%\n"
	f := startFleet(t, 4, 80, servers)
	for _, name := range []string{"s1", "s2", "s5"} {
		f.fleet.Servers[name].SetSlowdown(30)
	}
	resets, stopResets := f.resetConnections()
	defer stopResets()
	for range 12 {
		<-resets
		f.awaitServed(15)
	}
	stopRestarts := f.restartEachSecond(f.fleet.Gatherers[3])
	defer stopRestarts()
	f.awaitApplied(f.propose("index any once-only\nfurther share 0% free 0\ncold 50%\n"))
	restrictedAt := unixMilliseconds()
	f.awaitServed(150)
	relaxingFrom := unixMilliseconds()
	f.awaitApplied(f.propose("no-copies\n"))
	relaxedAt := unixMilliseconds()
	f.awaitServed(150)
	stopRestarts()
	stopResets()
	f.check()
	sends, err := f.fleet.Sends()
	if err != nil {
		t.Fatal(err)
	}
	before, meanwhile, after := 0, 0, 0
	for _, s := range sends {
		switch {
		case s.Class != "any":
		case s.At < restrictedAt && s.Repeated:
			before++
		case s.AdmittedAt > restrictedAt && s.At < relaxingFrom:
			meanwhile++
			if s.Repeated {
				t.Errorf("%s repeated a shard request of class %s while the class was non-idempotent, "+
					"%.0f ms after its query was admitted", s.Gatherer, s.Class, s.At-s.AdmittedAt)
			}
		case s.AdmittedAt > relaxedAt && s.Repeated:
			after++
		}
	}
	t.Logf("repeated attempts: %d before, %d after; attempts while non-idempotent: %d", before, after, meanwhile)
	if before == 0 || meanwhile < 100 {
		t.Errorf("%d repeated attempts before and %d attempts while the class was non-idempotent, "+
			"want at least 1 and 100: too few for the check to be meaningful", before, meanwhile)
	}
}

// resetConnections repeatedly resets the connections to shard servers, so that attempts on them may have run. It
// returns a channel from which a value can be received after each round of resets, and a function that stops the
// resets.
func (f *fleetTest) resetConnections() (rounds <-chan struct{}, stop func()) {
	ctx, cancel := context.WithCancel(f.ctx)
	roundDone := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			for _, link := range f.fleet.Links("g*:s*") {
				link.Reset()
			}
			select {
			case <-ctx.Done():
				return
			case roundDone <- struct{}{}:
			case <-time.After(400 * time.Millisecond):
			}
		}
	})
	return roundDone, func() {
		cancel()
		wait.Wait()
	}
}

// restartEachSecond kills and restarts a gatherer each second, until the returned function is called.
func (f *fleetTest) restartEachSecond(g *processtest.Gatherer) (stop func()) {
	ctx, cancel := context.WithCancel(f.ctx)
	var wait sync.WaitGroup
	wait.Go(func() {
		for ctx.Err() == nil {
			g.Kill()
			if err := g.Start(f.ctx); err != nil {
				f.Error(err)
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
		}
	})
	return func() {
		cancel()
		wait.Wait()
	}
}
