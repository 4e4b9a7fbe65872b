package backoff

import "testing"

// TestPausesDoubleUpToTheMaximumMean checks that the mean pause doubles up to MaxMean, that pauses are
// between half and one and a half times their mean, and that the longest ones leave time for two calls within
// the 6 s after which a change is taken as known.
func TestPausesDoubleUpToTheMaximumMean(t *testing.T) {
	for failures, mean := range map[int]float64{1: 100, 2: 200, 3: 400, 5: 1600, 6: 1600, 1_000_000: 1600} {
		if shortest, longest := Pause(failures, 0), Pause(failures, 1); shortest != mean/2 || longest != mean*1.5 ||
			Pause(failures, 0.5) != mean {
			t.Errorf("after %d failed calls: pauses from %v to %v, want 0.5 to 1.5 times the mean of %v",
				failures, shortest, longest, mean)
		}
	}
	if twoCalls := 2 * (Pause(100, 1) + 500); twoCalls > 6000 {
		t.Errorf("two calls with their pauses take up to %v ms, want at most 6000", twoCalls)
	}
}
