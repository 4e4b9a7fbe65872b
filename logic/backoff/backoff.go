// Package backoff decides how long a gatherer waits before it asks a service again that all gatherers share,
// after calls of its own that failed: ever longer, so that a service which many ask at once comes to answer
// some of them, and never so long that what it has to tell could not be heard within the 6 s in which it
// counts as told.
package backoff

const (
	// First is the mean pause after one failed call, in milliseconds: it doubles with each further one.
	First = 100.0
	// Most is the longest mean pause. With a pause of one and a half of it, a call of up to a second and another
	// pause, two calls at least are made within 6 s.
	Most = 1600.0
	// spread is by how much of the mean a pause may be shorter or longer, against gatherers that failed together
	// asking together again.
	spread = 0.5
)

// Pause is how long to wait after so many failed calls in a row, in milliseconds; chance is drawn evenly
// from 0 to 1.
func Pause(failed int, chance float64) float64 {
	mean := First
	for range failed - 1 {
		if mean *= 2; mean >= Most {
			mean = Most
			break
		}
	}
	return mean * (1 - spread + 2*spread*chance)
}
