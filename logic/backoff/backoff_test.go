package backoff

import "testing"

// TestPause: pauses double up to the longest, lie within half and one and a half of their mean, and leave time for two
// calls within the 6 s after which a change counts as told.
func TestPause(t *testing.T) {
	for failed, mean := range map[int]float64{1: 100, 2: 200, 3: 400, 5: 1600, 6: 1600, 1_000_000: 1600} {
		if least, most := Pause(failed, 0), Pause(failed, 1); least != mean/2 || most != mean*1.5 || Pause(failed, 0.5) != mean {
			t.Errorf("after %d: %v to %v", failed, least, most)
		}
	}
	if longest := 2 * (Pause(100, 1) + 500); longest > 6000 {
		t.Errorf("two calls take up to %v ms", longest)
	}
}
