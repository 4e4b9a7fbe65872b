package emulated

import (
	"flag"
	"sync"
	"testing"
)

var whole = flag.Bool("whole", false, "play thousands of histories")

func rough(seed uint64) Terms {
	return Terms{Gatherers: 12, Length: 120_000, Changes: 6, Lease: 4000, Limit: 30_000, Away: 0.05, Flapping: 1, Troubles: 8, Leads: 3, Lookups: 8, Seed: seed}
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
	sum := Outcome{}
	for part := range uint64(4) {
		wait.Go(func() {
			for seed := part; seed < runs; seed += 4 {
				o := Play(rough(seed))
				mu.Lock()
				if o.Wrong != "" {
					t.Errorf("seed %d: %s", seed, o.Wrong)
				}
				for _, took := range o.ToDecide {
					if took > 30_000+2*4000*1.02+4000 {
						t.Errorf("seed %d: a change was under way for %.0f ms", seed, took)
					}
				}
				sum.Proposed += o.Proposed
				sum.Decided += o.Decided
				sum.GivenUp += o.GivenUp
				sum.Copies += o.Copies
				sum.Forbidden += o.Forbidden
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	t.Logf("%+v", sum)
	if sum.Decided < sum.Proposed*8/10 || sum.Copies == 0 || sum.Forbidden == 0 {
		t.Errorf("%+v", sum)
	}
	if a, b := Play(rough(3)), Play(rough(3)); a.Asked != b.Asked || a.Copies != b.Copies {
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
				terms.Away, terms.Flapping, terms.Troubles, terms.Leads = 0, 0, 0, 0
			}
			terms.Variant = variant
			if Play(terms).Wrong != "" {
				caught++
			}
		}
		t.Logf("%s: %d of 30", variant, caught)
		if caught == 0 {
			t.Errorf("%s: not caught", variant)
		}
	}
}
