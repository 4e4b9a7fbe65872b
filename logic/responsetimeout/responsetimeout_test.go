package responsetimeout

import "testing"

// TestSlowPeerIsHeardAndHangIsForgotten repeats requests to a peer that takes a given time. A peer that
// takes less than Max must be heard within one cycle of timeouts, and be heard each time from then on. One
// that hung and then responds at once must be heard after no more than Max, and then be waited for as in
// the beginning.
func TestSlowPeerIsHeardAndHangIsForgotten(t *testing.T) {
	const minMS, maxMS = 1000.0, 32_000.0
	for _, takes := range []float64{10, 900, 1100, 4000, 20_000, 31_000} {
		timeout := Timeout{Min: minMS, Max: maxMS}
		waited := 0.0
		for timeout.Current() < takes && waited <= 2*maxMS {
			waited += timeout.Current()
			timeout.TimedOut()
		}
		if waited > 2*maxMS {
			t.Errorf("a peer that takes %v ms is not heard within %v ms", takes, waited)
		}
		timeout.Responded(takes)
		if timeout.Current() < takes {
			t.Errorf("a peer that takes %v ms gets a timeout of %v ms after its response", takes, timeout.Current())
		}
	}
	for timeouts := range 20 {
		timeout := Timeout{Min: minMS, Max: maxMS}
		for range timeouts {
			timeout.TimedOut()
		}
		if c := timeout.Current(); c < minMS || c > maxMS {
			t.Errorf("after %d timeouts: %v ms, want %v to %v", timeouts, c, minMS, maxMS)
		}
		timeout.Responded(-5)
		if timeout.Current() != minMS {
			t.Errorf("after a quick response: %v ms, want %v", timeout.Current(), minMS)
		}
	}
}
