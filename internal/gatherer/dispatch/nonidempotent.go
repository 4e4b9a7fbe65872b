package dispatch

import (
	"context"
	"time"

	"yokeroute/gather"
	"yokeroute/logic/ownership"
)

// NonIdempotentStore is the durable record of non-idempotent queries that may have run, and of the newest segment
// map. No two of its methods are called at once.
type NonIdempotentStore interface {
	// MayHaveRun reports whether an attempt of a query of this ID may have run. Retried is set for one that its
	// client marked as a repeat.
	MayHaveRun(id string, retried bool, now float64) bool
	// RecordSent stores the IDs of queries whose first attempts may be sent once it has returned.
	RecordSent(ids []string, now float64) error
	// RecordNotRun stores that nothing of a query has run. It need not wait for the disk.
	RecordNotRun(id string) error
	// SaveMap stores the newest segment map.
	SaveMap(m *ownership.Map) error
}

// SetNonIdempotentStore has non-idempotent queries recorded before the module decides on them. Rounds never wait for
// the store.
func (p *Picker) SetNonIdempotentStore(store NonIdempotentStore) {
	p.records = newRecordQueue(store, p.settings, p.Now, p.log)
}

// CloseNonIdempotentStore ends the use of the store once what waits is written. It reports false where ctx ends before
// that: the disk is still writing.
func (p *Picker) CloseNonIdempotentStore(ctx context.Context) bool { return p.records.close(ctx) }

func (p *Picker) nonIdempotent(query *Query) bool {
	return p.settings.Class(query.Class).Effect == gather.NonIdempotent
}

// needsRecord reports whether a query has to be recorded before the module may know of it. A policy may have its class
// be non-idempotent.
func (p *Picker) needsRecord(query *Query) bool {
	if p.records == nil {
		return false
	}
	settings := p.records.settings
	if p.gate != nil {
		_, settings = p.gate.Effective(p.Now())
	}
	return settings.Class(query.Class).Effect == gather.NonIdempotent
}

// rejectUnrecorded rejects a query whose class has become non-idempotent since it came, by a change of policy: it is
// not recorded. It reports whether it did.
func (p *Picker) rejectUnrecorded(query *Query) bool {
	if p.records == nil || query.recorded || !p.nonIdempotent(query) {
		return false
	}
	p.queries.finished = append(p.queries.finished, query)
	p.deliver(query, Result{Kind: Rejected, RetryAfter: p.records.retryAfter[query.Class]})
	return true
}

// pickRecorded picks a query whose ID has to be on the disk before any byte of it is sent. The module does not know of
// the query until then, so that it takes no wait for the disk for load.
func (p *Picker) pickRecorded(ctx context.Context, query *Query) Result {
	record := p.records.request(query)
	admitted := false
	defer func() {
		if query.rejected.Load() || !query.mayHaveRun.Load() {
			p.records.release(record)
		}
		if !admitted {
			p.intake.release(query.size())
		}
	}()
	if result, ended := p.awaitRecord(ctx, query, record); ended {
		p.intake.enqueue(func(in *inbox) { in.unadmitted = append(in.unadmitted, decidedQuery{query, result}) })
		return result
	}
	admitted = true
	query.recorded = true
	return p.pickAdmitted(ctx, query)
}

// awaitRecord waits until a query is recorded. Where it can't be, or not in time, or its client leaves, the query ends
// with a result.
func (p *Picker) awaitRecord(ctx context.Context, query *Query, record *record) (result Result, ended bool) {
	left := query.Deadline - deadlineRounds*p.schedule.interval - p.Now()
	timeUp := time.NewTimer(time.Duration(left * float64(time.Millisecond)))
	defer timeUp.Stop()
	rejected := Result{Kind: Rejected, RetryAfter: p.records.retryAfter[query.Class]}
	select {
	case outcome := <-record.outcome:
		switch outcome {
		case recordSucceeded:
			return Result{}, false
		case recordMayHaveRun:
			p.log.WithField("query", query.ID).Warn("non-idempotent query: may have run before, failed")
			return Result{Kind: Failed}, true
		}
		return rejected, true
	case <-timeUp.C:
		p.log.WithField("query", query.ID).Debug("non-idempotent query: not recorded in time, rejected")
		return rejected, true
	case <-ctx.Done():
		return Result{Kind: Abandoned}, true
	}
}

// observeUnadmitted notifies observers of queries that ended before the module knew of them.
func (p *Picker) observeUnadmitted(ended []decidedQuery) {
	for _, e := range ended {
		p.observeDecided(e.query, e.result)
	}
}
