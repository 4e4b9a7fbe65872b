// Package millis converts between durations and the milliseconds that the decision module and the file formats use.
package millis

import "time"

// Of returns a duration in milliseconds.
func Of(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Duration returns a number of milliseconds as a duration, truncated to whole nanoseconds.
func Duration(milliseconds float64) time.Duration {
	return time.Duration(milliseconds * float64(time.Millisecond))
}
