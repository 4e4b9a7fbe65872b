// Package slowwrite logs writes that take long, which indicates a slow disk.
package slowwrite

import (
	"time"

	"github.com/sirupsen/logrus"
)

// threshold is the minimum duration of a write that is logged.
const threshold = 100 * time.Millisecond

// Log logs a warning if a write that began at startedAt and has just ended was slow. The subject names what was
// written.
func Log(log logrus.FieldLogger, subject string, startedAt time.Time) {
	took := time.Since(startedAt)
	if took < threshold {
		return
	}
	log.WithField("took", took).Warn(subject + ": slow write")
}
