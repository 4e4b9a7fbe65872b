// Package backoff decides how long a gatherer waits before it asks a service again that all gatherers share,
// after calls of its own that failed: ever longer, so that a service which many ask at once comes to answer
// some of them, and never so long that what it has to tell could not be heard within the 6 s in which it
// counts as told.
package backoff

const (
	// InitialMean is the mean pause after one failed call, in milliseconds: it doubles with each further one.
	InitialMean = 100.0
	// MaxMean is the longest mean pause. With a pause of one and a half of it, a call of up to a second and another
	// pause, two calls at least are made within 6 s.
	MaxMean = 1600.0
	// jitter is by how much of the mean a pause may be shorter or longer, against gatherers that failed together
	// asking together again.
	jitter = 0.5
)

// Pause is how long to wait after so many failed calls in a row, in milliseconds; chance is drawn evenly
// from 0 to 1.
func Pause(failures int, random float64) float64 {
	mean := InitialMean
	for range failures - 1 {
		if mean *= 2; mean >= MaxMean {
			mean = MaxMean
			break
		}
	}
	return mean * (1 - jitter + 2*jitter*random)
}
