// Package backoff computes how long a gatherer waits between failed calls to a service that all gatherers
// share. The pauses grow exponentially, so that a service that many gatherers call at once can answer some of
// them. They are limited, so that a gatherer receives a change within the 6 s after which the change counts
// as known to it.
package backoff

const (
	// InitialMean is the mean pause after one failed call, in milliseconds. It doubles with each further
	// failed call.
	InitialMean = 100.0
	// MaxMean is the longest mean pause, in milliseconds. With a pause of one and a half times this, a call of
	// up to a second and another pause, at least two calls are made within 6 s.
	MaxMean = 1600.0
	// jitter is the share of the mean by which a pause may be shorter or longer, so that gatherers whose calls
	// failed together do not call again together.
	jitter = 0.5
)

// Pause returns how long to wait after a number of failed calls in a row, in milliseconds; random is drawn
// uniformly from 0 to 1.
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
