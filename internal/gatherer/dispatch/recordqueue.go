package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/storage/slowwrite"
	"yokeroute/internal/worker"
	"yokeroute/logic"
	"yokeroute/logic/ownership"
)

const (
	// maxWaitingSize bounds the queries and shard requests that wait for the disk, where the platform sets no limit of
	// open requests. That of a platform is used up to maxWaitingShare, so that idempotent queries find room.
	maxWaitingSize  = 1 << 16
	maxWaitingShare = 0.25
)

// recordState is how far the record of a query has come.
type recordState int

const (
	recordWaiting recordState = iota // for the next write
	recordWriting
	recordStored
	recordEnded // it is of no use any more
)

// record is the entry of one non-idempotent query in the store, from its request to its end.
type record struct {
	id      string
	retried bool
	size    int // of its query
	outcome chan recordOutcome
	state   recordState // guarded by the queue's mutex
}

// recordOutcome is what became of the request for a record.
type recordOutcome int

const (
	recordSucceeded  recordOutcome = iota
	recordMayHaveRun               // an attempt of an earlier query of the ID may have run
	recordFailed                   // nothing is stored, or too many wait already
)

// recordQueue writes to the store on a goroutine of its own. What comes during a write shares the next one.
type recordQueue struct {
	store    NonIdempotentStore
	settings *gather.Settings // the platform's
	log      *logrus.Logger
	now      func() float64
	maxSize  int // of the queries that wait for a write or are being written
	worker   *worker.Worker

	// retryAfter is when a client may come again whose query was not recorded, by class.
	retryAfter map[string]float64

	mu      sync.Mutex
	size    int
	waiting []*record
	notRun  []string       // IDs of which nothing has run
	newest  *ownership.Map // to be stored, nil for none
	closed  bool
}

func newRecordQueue(
	store NonIdempotentStore, settings *gather.Settings, now func() float64, log *logrus.Logger,
) *recordQueue {
	q := &recordQueue{
		store:      store,
		settings:   settings,
		log:        log,
		now:        now,
		maxSize:    maxWaitingSize,
		retryAfter: map[string]float64{},
	}
	if settings.MaxOpenRequests > 0 {
		q.maxSize = int(maxWaitingShare * float64(settings.MaxOpenRequests))
	}
	for i := range settings.Classes {
		class := &settings.Classes[i]
		q.retryAfter[class.Name] = logic.LateRetryAfter(settings, class)
	}
	q.worker = worker.New(q.write)
	return q
}

// request has a query recorded by the next write. Each request needs a release once it is known that nothing of the
// query has run.
func (q *recordQueue) request(query *Query) *record {
	r := &record{id: query.ID, retried: query.Retried, size: query.size(), outcome: make(chan recordOutcome, 1)}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.size > 0 && q.size+r.size > q.maxSize {
		r.state = recordEnded
		r.outcome <- recordFailed
		return r
	}
	q.size += r.size
	q.waiting = append(q.waiting, r)
	q.worker.Wake()
	return r
}

// release ends the record of a query of which nothing has run and nothing will. It does not wait for the disk.
func (q *recordQueue) release(r *record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch r.state {
	case recordWaiting:
		q.size -= r.size
		q.waiting = slices.DeleteFunc(q.waiting, func(other *record) bool { return other == r })
	case recordWriting: // the write stores it all the same, finishWrite ends it
		q.size -= r.size
	case recordStored:
		q.endStoredLocked(r.id)
	}
	r.state = recordEnded
}

// endStoredLocked has a stored ID ended before any other query of the ID is recorded.
func (q *recordQueue) endStoredLocked(id string) {
	if q.closed {
		return
	}
	q.notRun = append(q.notRun, id)
	q.worker.Wake()
}

// saveMap has the newest map stored by the next write.
func (q *recordQueue) saveMap(m *ownership.Map) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return
	}
	q.newest = m
	q.worker.Wake()
}

// write stores all that waits. It is the only user of the store.
func (q *recordQueue) write() {
	records, notRun, newest := q.nextBatch()
	startedAt := time.Now()
	for _, id := range notRun {
		if err := q.store.RecordNotRun(id); err != nil {
			log := q.log.WithError(err).WithField("query", id)
			log.Error("non-idempotent query: rejection not stored, its ID is in use again after a restart")
		}
	}
	q.writeRecords(records)
	if newest != nil {
		if err := q.store.SaveMap(newest); err != nil {
			q.log.WithError(err).Error("segment map: not saved")
		}
	}
	log := q.log.WithFields(logrus.Fields{
		"queries":  len(records),
		"released": len(notRun),
		"map":      newest != nil,
	})
	slowwrite.Log(log, "store", startedAt)
}

// nextBatch empties the queue, but of several queries of one ID the first alone.
func (q *recordQueue) nextBatch() (records []*record, notRun []string, newest *ownership.Map) {
	q.mu.Lock()
	defer q.mu.Unlock()
	notRun = q.notRun
	q.notRun = nil
	newest = q.newest
	q.newest = nil
	taken := map[string]bool{}
	var later []*record
	for _, r := range q.waiting {
		if taken[r.id] {
			later = append(later, r)
			continue
		}
		taken[r.id] = true
		r.state = recordWriting
		records = append(records, r)
	}
	q.waiting = later
	if len(later) > 0 {
		q.worker.Wake()
	}
	return records, notRun, newest
}

// writeRecords stores records by one write.
func (q *recordQueue) writeRecords(records []*record) {
	now := q.now()
	var ids []string
	outcomes := make([]recordOutcome, len(records))
	for i, r := range records {
		if q.store.MayHaveRun(r.id, r.retried, now) {
			outcomes[i] = recordMayHaveRun
			continue
		}
		ids = append(ids, r.id)
	}
	if len(ids) > 0 {
		if err := q.store.RecordSent(ids, now); err != nil {
			q.log.WithError(err).Error("non-idempotent queries: not recorded, not sent")
			markFailed(outcomes)
		}
	}
	q.finishWrite(records, outcomes)
}

// markFailed has a write that failed be the outcome of those that it should have stored.
func markFailed(outcomes []recordOutcome) {
	for i, outcome := range outcomes {
		if outcome == recordSucceeded {
			outcomes[i] = recordFailed
		}
	}
}

// finishWrite hands the outcomes of a write to those who wait. A stored record that was released meanwhile ends.
func (q *recordQueue) finishWrite(records []*record, outcomes []recordOutcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, r := range records {
		stored := outcomes[i] == recordSucceeded
		if r.state == recordEnded {
			if stored {
				q.endStoredLocked(r.id)
			}
			continue
		}
		q.size -= r.size
		r.state = recordEnded
		if stored {
			r.state = recordStored
		}
		r.outcome <- outcomes[i]
	}
}

// close takes nothing more and waits until all is written. It reports false where ctx ends before that: the store is
// in use then.
func (q *recordQueue) close(ctx context.Context) bool {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	return q.worker.WaitIdle(ctx)
}
