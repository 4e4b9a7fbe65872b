package frontend

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// rejectionLogInterval is the least time between two log entries about rejections for the same reason.
const rejectionLogInterval = 10 * time.Second

// rejectionReason is why the server rejects a request without passing it to the picker, or closes its connection. Its
// text is that of the log entry.
type rejectionReason string

const (
	rejectedForMemory   rejectionReason = "front end: large requests rejected, too much memory is in use"
	rejectedForTurn     rejectionReason = "front end: requests rejected, too many others wait to be read"
	rejectedAsLate      rejectionReason = "front end: queries rejected, their time had passed before they were read"
	rejectedForConns    rejectionReason = "front end: requests rejected, too many connections carry one"
	closedAsSlow        rejectionReason = "front end: connections closed at the limit, their requests were incomplete"
	closedUnread        rejectionReason = "front end: new connections closed at the limit"
	closedForHeadLines  rejectionReason = "front end: requests rejected, their heads have too many lines"
	acceptFailed        rejectionReason = "front end: accept failed, trying again"
	droppedClosed       rejectionReason = "front end: connections dropped, their clients had closed them before they were accepted"
	rejectedAsInvalid   rejectionReason = "front end: invalid requests rejected"
	abandonedBeforePick rejectionReason = "front end: queries dropped, their clients had left before they were read"
)

// rejectionLog counts rejections by reason, and logs the counts from time to time: clients decide how many there are.
type rejectionLog struct {
	log *logrus.Logger

	mu     sync.Mutex
	counts map[rejectionReason]*rejectionCount
}

// rejectionCount is what has been rejected for a reason since the last log entry.
type rejectionCount struct {
	count    int
	loggedAt time.Time // zero before the first entry
}

func newRejectionLog(log *logrus.Logger) *rejectionLog {
	return &rejectionLog{log: log, counts: map[rejectionReason]*rejectionCount{}}
}

// add counts a rejection, and logs the count if that is due.
func (l *rejectionLog) add(reason rejectionReason) { l.addError(reason, nil) }

// addError is add, and names an error as an example.
func (l *rejectionLog) addError(reason rejectionReason, err error) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts[reason]
	if c == nil {
		c = &rejectionCount{}
		l.counts[reason] = c
	}
	c.count++
	if !c.loggedAt.IsZero() && time.Since(c.loggedAt) < rejectionLogInterval {
		return
	}
	entry := l.log.WithField("requests", c.count)
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Warn(string(reason))
	c.count, c.loggedAt = 0, time.Now()
}
