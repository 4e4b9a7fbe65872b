package policyfleet

import (
	"flag"
	"sync"
	"testing"
)

var whole = flag.Bool("whole", false, "play thousands of histories")

// faulty returns a fleet with faults of all kinds.
func faulty(seed uint64) Config {
	return Config{
		Gatherers:        12,
		Duration:         120_000,
		Changes:          6,
		Lease:            4000,
		ChangeTimeout:    30_000,
		DownShare:        0.05,
		Flapping:         1,
		Faults:           8,
		Elections:        3,
		QueriesPerSecond: 8,
		Seed:             seed,
	}
}

// TestHistoriesKeepPolicy: in no history does a gatherer do what the committed policy forbids, every change ends within
// its timeout and two leases, and the same seed plays the same history.
func TestHistoriesKeepPolicy(t *testing.T) {
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
				r := Play(faulty(seed))
				mu.Lock()
				if r.Violation != "" {
					t.Errorf("seed %d: %s", seed, r.Violation)
				}
				for _, took := range r.CommitTimes {
					if took > 30_000+2*4000*1.02+4000 {
						t.Errorf("seed %d: a change was pending for %.0f ms", seed, took)
					}
				}
				sum.Proposed += r.Proposed
				sum.Committed += r.Committed
				sum.Abandoned += r.Abandoned
				sum.Hedges += r.Hedges
				sum.Suppressed += r.Suppressed
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	t.Logf("%+v", sum)
	if sum.Committed < sum.Proposed*8/10 || sum.Hedges == 0 || sum.Suppressed == 0 {
		t.Errorf("%+v", sum)
	}
	if a, b := Play(faulty(3)), Play(faulty(3)); a.Polls != b.Polls || a.Hedges != b.Hedges {
		t.Errorf("%+v\n%+v", a, b)
	}
}

// TestMissingSafeguardIsDetected: a history without one of the safeguards violates the policy.
func TestMissingSafeguardIsDetected(t *testing.T) {
	t.Parallel()
	for _, variant := range []Variant{WithoutPermitCheck, WithoutDraining, WithoutElectionWait} {
		detected := 0
		for seed := range uint64(30) {
			c := faulty(seed)
			if variant == WithoutDraining { // with a gatherer down, all queries in flight end before a change commits
				c.DownShare = 0
				c.Flapping = 0
				c.Faults = 0
				c.Elections = 0
			}
			c.Without = variant
			if Play(c).Violation != "" {
				detected++
			}
		}
		t.Logf("%s: %d of 30", variant, detected)
		if detected == 0 {
			t.Errorf("%s: not detected", variant)
		}
	}
}
