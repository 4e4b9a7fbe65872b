// Package unixclock tells Unix time that is not moved by changes of the machine's clock.
package unixclock

import (
	"time"

	"yokeroute/internal/millis"
)

// Clock tells Unix time in milliseconds as of its creation, advanced by the monotonic clock: its times compare with those
// of other machines, and spans between them are spans of real time.
type Clock struct {
	startedAt float64 // Unix milliseconds
	elapsed   func() time.Duration
}

// New returns a clock that agrees with the machine's clock now.
func New() Clock {
	now := time.Now()
	return newClock(now, func() time.Duration { return time.Since(now) })
}

func newClock(now time.Time, elapsed func() time.Duration) Clock {
	return Clock{startedAt: millis.Of(time.Duration(now.UnixNano())), elapsed: elapsed}
}

// Now returns the time in Unix milliseconds.
func (c Clock) Now() float64 { return c.startedAt + millis.Of(c.elapsed()) }
