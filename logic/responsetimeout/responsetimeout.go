// Package responsetimeout adapts the timeout of a request that is repeated, one at a time, until a peer
// responds. With a fixed timeout, a peer that always takes longer would never be heard.
package responsetimeout

// Timeout is the timeout of the next request, in milliseconds. It doubles each time that a response does
// not arrive in time, and starts over at Min beyond Max, so that a peer that hung is not waited for long
// once it responds again. After a response, it is twice the time that the response took.
type Timeout struct {
	Min, Max float64
	current  float64 // 0 before the first request
}

// Current returns the timeout of the next request.
func (t *Timeout) Current() float64 { return max(t.current, t.Min) }

// TimedOut records that a response did not arrive in time.
func (t *Timeout) TimedOut() {
	t.current = 2 * t.Current()
	if t.current > t.Max {
		t.current = t.Min
	}
}

// Responded records that a response arrived after a time.
func (t *Timeout) Responded(after float64) { t.current = min(2*after, t.Max) }
