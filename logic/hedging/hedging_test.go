package hedging

import (
	"math"
	"slices"
	"testing"
)

// TestSlowPeerIsHeardBesideRequestsWithoutResponse makes a request each 100 ms to a peer that never
// responded before, and then responds to each request after the same time. Some request must have been in
// flight for that long, and must not have been made much earlier than necessary.
func TestSlowPeerIsHeardBesideRequestsWithoutResponse(t *testing.T) {
	const (
		maxRequests  = 12
		intervalMS   = 100.0
		lengthMS     = 600_000.0
		toleranceMS  = 1500.0
		inTimeWithin = 6000.0
	)
	for _, responseTime := range []float64{50, 300, 700, 1000, 2000, 3200, 4400, 8000, 20_000, 60_000} {
		var startedAt []float64
		longest := 0.0 // since the start of the youngest request that has been in flight for responseTime
		for now := 0.0; now < lengthMS; now += intervalMS {
			if len(startedAt) == maxRequests {
				i := Evict(startedAt, now)
				startedAt = slices.Delete(startedAt, i, i+1)
			}
			startedAt = append(startedAt, now)
			if now < lengthMS/4 {
				continue
			}
			age := math.Inf(1)
			for _, s := range startedAt {
				if now-s >= responseTime {
					age = now - s
				}
			}
			longest = max(longest, age)
		}
		if responseTime+toleranceMS <= inTimeWithin && longest > inTimeWithin {
			t.Errorf("responses after %v ms: heard up to %v ms after the request", responseTime, longest)
		}
		if longest > lengthMS/2 {
			t.Errorf("responses after %v ms: all requests of that age have been cancelled", responseTime)
		}
	}
}

// TestEvictNeverCancelsOldest checks the shortest lists of requests.
func TestEvictNeverCancelsOldest(t *testing.T) {
	for _, startedAt := range [][]float64{{0, 1}, {0, 0}, {0, 5000, 5000}, {0, 1, 2, 50_000}} {
		if i := Evict(startedAt, 60_000); i < 1 || i >= len(startedAt) {
			t.Errorf("requests started at %v: request %d is cancelled, want one but the first", startedAt, i)
		}
	}
}
