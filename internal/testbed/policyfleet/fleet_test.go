package policyfleet

import (
	"flag"
	"sync"
	"testing"
)

var whole = flag.Bool("whole", false, "play thousands of histories")

func rough(seed uint64) Config {
	return Config{Gatherers: 12, Duration: 120_000, Changes: 6, Lease: 4000, ChangeTimeout: 30_000, AwayShare: 0.05, Flapping: 1, Faults: 8, Elections: 3, QueriesPerSecond: 8, Seed: seed}
}

// TestHistories: in no history does a gatherer do what the policy in force forbids; every change ends within its limit and
// two leases; and a history is told again by its seed.
func TestHistories(t *testing.T) {
	t.Parallel()
	runs := uint64(24)
	if *whole {
		runs = 5000
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	sum := Result{}
	for part := range uint64(4) {
		wait.Go(func() {
			for seed := part; seed < runs; seed += 4 {
				o := Play(rough(seed))
				mu.Lock()
				if o.Violation != "" {
					t.Errorf("seed %d: %s", seed, o.Violation)
				}
				for _, took := range o.CommitTimes {
					if took > 30_000+2*4000*1.02+4000 {
						t.Errorf("seed %d: a change was under way for %.0f ms", seed, took)
					}
				}
				sum.Proposed += o.Proposed
				sum.Committed += o.Committed
				sum.Abandoned += o.Abandoned
				sum.Hedges += o.Hedges
				sum.Suppressed += o.Suppressed
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	t.Logf("%+v", sum)
	if sum.Committed < sum.Proposed*8/10 || sum.Hedges == 0 || sum.Suppressed == 0 {
		t.Errorf("%+v", sum)
	}
	if a, b := Play(rough(3)), Play(rough(3)); a.Polls != b.Polls || a.Hedges != b.Hedges {
		t.Errorf("%+v\n%+v", a, b)
	}
}

// TestLeftOut: each piece left out is caught by the same check.
func TestLeftOut(t *testing.T) {
	t.Parallel()
	for _, variant := range []string{"no wire", "no settle", "no wait"} {
		caught := 0
		for seed := range uint64(30) {
			terms := rough(seed)
			if variant == "no settle" { // with somebody away all that was in hand ends before anything is decided
				terms.AwayShare, terms.Flapping, terms.Faults, terms.Elections = 0, 0, 0, 0
			}
			terms.Without = variant
			if Play(terms).Violation != "" {
				caught++
			}
		}
		t.Logf("%s: %d of 30", variant, caught)
		if caught == 0 {
			t.Errorf("%s: not caught", variant)
		}
	}
}
