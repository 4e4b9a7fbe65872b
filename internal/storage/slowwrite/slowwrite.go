// Package slowwrite logs writes that show that the disk is slow.
package slowwrite

import (
	"time"

	"github.com/sirupsen/logrus"
)

// threshold is from which duration a write is logged.
const threshold = 100 * time.Millisecond

// Log logs a write that began at startedAt and has just ended, if it was slow. The subject is what was written.
func Log(log logrus.FieldLogger, subject string, startedAt time.Time) {
	took := time.Since(startedAt)
	if took < threshold {
		return
	}
	log.WithField("took", took).Warn(subject + ": slow write")
}
