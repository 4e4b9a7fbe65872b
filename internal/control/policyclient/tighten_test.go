package policyclient_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"yokeroute/internal/testbed/processtest"
)

// TestNonIdempotentByPolicy: a class becomes non-idempotent and the retry budget zero while servers are slow,
// connections are reset, clients retry and one gatherer restarts each second; and back again. Meanwhile no shard
// request of a query that was admitted then is sent again where an attempt may have run.
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
	tightened := unixMilliseconds()
	f.awaitServed(150)
	loosening := unixMilliseconds()
	f.awaitApplied(f.propose("no-copies\n"))
	loosened := unixMilliseconds()
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
		case s.At < tightened && s.Repeated:
			before++
		case s.AdmittedAt > tightened && s.At < loosening:
			meanwhile++
			if s.Repeated {
				t.Errorf("%s sent a shard request of %s again while the class was non-idempotent, "+
					"%.0f ms after its query was admitted", s.Gatherer, s.Class, s.At-s.AdmittedAt)
			}
		case s.AdmittedAt > loosened && s.Repeated:
			after++
		}
	}
	t.Logf("sent again: %d before, %d after; %d attempts meanwhile", before, after, meanwhile)
	if before == 0 || meanwhile < 100 {
		t.Errorf("sent again %d times before, %d attempts meanwhile: it shows nothing", before, meanwhile)
	}
}

// resetConnections resets the connections to shard servers again and again, so that attempts on them may have run. It
// returns a channel that can be received from after each round, and how to stop.
func (f *fleetTest) resetConnections() (rounds <-chan struct{}, stop func()) {
	ctx, cancel := context.WithCancel(f.ctx)
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			for _, link := range f.fleet.Links("g*:s*") {
				link.Reset()
			}
			select {
			case <-ctx.Done():
				return
			case done <- struct{}{}:
			case <-time.After(400 * time.Millisecond):
			}
		}
	})
	return done, func() {
		cancel()
		wait.Wait()
	}
}

// restartEachSecond kills and starts a gatherer each second, until stop is called.
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
