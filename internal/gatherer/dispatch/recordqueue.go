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
	// maxWaitingSize limits the queries and shard requests that wait for the disk if the platform sets no limit on open
	// requests. If it does, they may use maxWaitingShare of that limit, so that capacity remains for idempotent queries.
	maxWaitingSize  = 1 << 16
	maxWaitingShare = 0.25
)

// recordState is the state of a query's record.
type recordState int

const (
	recordWaiting recordState = iota // waits for the next write
	recordWriting
	recordStored
	recordEnded // no longer needed
)

// record tracks the store entry of one non-idempotent query, from the request for it until it is no longer needed.
type record struct {
	id      string
	retried bool
	size    int // number of open requests that its query counts as
	outcome chan recordOutcome
	state   recordState // guarded by the queue's mutex
}

// recordOutcome is the outcome of a request for a record.
type recordOutcome int

const (
	recordSucceeded  recordOutcome = iota
	recordMayHaveRun               // an attempt of an earlier query with the same ID may have run
	recordFailed                   // nothing is stored: the write failed, the queue is full or it is closed
)

// recordQueue writes to the store on a goroutine of its own. All requests that arrive during a write share the next
// one.
type recordQueue struct {
	store    NonIdempotentStore
	settings *gather.Settings // the platform's settings, without a policy
	log      *logrus.Logger
	now      func() float64
	maxSize  int // limit on size, the queries and shard requests that wait or are being written
	worker   *worker.Worker

	// retryAfter is the Retry-After, in milliseconds, for a query that was not recorded, keyed by class.
	retryAfter map[string]float64

	mu        sync.Mutex
	size      int // number of queries and shard requests that wait for a write or are being written
	waiting   []*record
	notRun    []string       // IDs of stored queries of which no attempt has run
	newestMap *ownership.Map // map to store, nil for none
	closed    bool
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

// request queues a query for recording by the next write. Each request needs a release once it is known that no attempt
// of the query has run.
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

// release ends the record of a query of which no attempt has run or will run. It does not wait for the disk.
func (q *recordQueue) release(r *record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch r.state {
	case recordWaiting:
		q.size -= r.size
		q.waiting = slices.DeleteFunc(q.waiting, func(other *record) bool { return other == r })
	case recordWriting: // the write stores it nevertheless, and finishWrite removes it
		q.size -= r.size
	case recordStored:
		q.removeStoredLocked(r.id)
	}
	r.state = recordEnded
}

// removeStoredLocked queues a stored ID for removal, which takes place before another query with the ID is recorded.
func (q *recordQueue) removeStoredLocked(id string) {
	if q.closed {
		return
	}
	q.notRun = append(q.notRun, id)
	q.worker.Wake()
}

// saveMap queues a segment map, replacing one that waits, for storing by the next write.
func (q *recordQueue) saveMap(m *ownership.Map) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return
	}
	q.newestMap = m
	q.worker.Wake()
}

// write stores everything that waits. It is the only user of the store.
func (q *recordQueue) write() {
	records, notRun, newestMap := q.nextBatch()
	startedAt := time.Now()
	for _, id := range notRun {
		if err := q.store.RecordNotRun(id); err != nil {
			log := q.log.WithError(err).WithField("query", id)
			log.Error("non-idempotent query: record not removed, after a restart its ID counts as sent")
		}
	}
	q.writeRecords(records)
	if newestMap != nil {
		if err := q.store.SaveMap(newestMap); err != nil {
			q.log.WithError(err).Error("segment map: not saved")
		}
	}
	log := q.log.WithFields(logrus.Fields{
		"queries":  len(records),
		"released": len(notRun),
		"map":      newestMap != nil,
	})
	slowwrite.Log(log, "store", startedAt)
}

// nextBatch takes everything from the queue for one write. Of several queries with the same ID it takes only the first;
// the others wait for the next write.
func (q *recordQueue) nextBatch() (records []*record, notRun []string, newestMap *ownership.Map) {
	q.mu.Lock()
	defer q.mu.Unlock()
	notRun = q.notRun
	q.notRun = nil
	newestMap = q.newestMap
	q.newestMap = nil
	batchIDs := map[string]bool{}
	var duplicates []*record
	for _, r := range q.waiting {
		if batchIDs[r.id] {
			duplicates = append(duplicates, r)
			continue
		}
		batchIDs[r.id] = true
		r.state = recordWriting
		records = append(records, r)
	}
	q.waiting = duplicates
	if len(duplicates) > 0 {
		q.worker.Wake()
	}
	return records, notRun, newestMap
}

// writeRecords stores records in one write.
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
			q.log.WithError(err).Error("non-idempotent queries: rejected, recording failed")
			markFailed(outcomes)
		}
	}
	q.finishWrite(records, outcomes)
}

// markFailed sets the outcome to recordFailed for every record that a failed write should have stored.
func markFailed(outcomes []recordOutcome) {
	for i, outcome := range outcomes {
		if outcome == recordSucceeded {
			outcomes[i] = recordFailed
		}
	}
}

// finishWrite sends the outcomes of a write to the waiting queries. It removes a stored record that was released during
// the write.
func (q *recordQueue) finishWrite(records []*record, outcomes []recordOutcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, r := range records {
		stored := outcomes[i] == recordSucceeded
		if r.state == recordEnded {
			if stored {
				q.removeStoredLocked(r.id)
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

// close makes the queue accept nothing more and waits until everything is written. It returns false if ctx ends first;
// the store is then still in use.
func (q *recordQueue) close(ctx context.Context) bool {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	return q.worker.WaitIdle(ctx)
}
