package backoff

import "testing"

// TestPausesDoubleUpToTheMaximumMean: pauses double up to the longest, lie within half and one and a half of their mean, and leave time for two
// calls within the 6 s after which a change counts as told.
func TestPausesDoubleUpToTheMaximumMean(t *testing.T) {
	for failures, mean := range map[int]float64{1: 100, 2: 200, 3: 400, 5: 1600, 6: 1600, 1_000_000: 1600} {
		if shortest, longest := Pause(failures, 0), Pause(failures, 1); shortest != mean/2 || longest != mean*1.5 || Pause(failures, 0.5) != mean {
			t.Errorf("after %d: %v to %v", failures, shortest, longest)
		}
	}
	if twoCalls := 2 * (Pause(100, 1) + 500); twoCalls > 6000 {
		t.Errorf("two calls take up to %v ms", twoCalls)
	}
}
