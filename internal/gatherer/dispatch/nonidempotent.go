package dispatch

import (
	"context"
	"time"

	"yokeroute/gather"
	"yokeroute/internal/millis"
	"yokeroute/logic/ownership"
)

// NonIdempotentStore durably records the non-idempotent queries that may have run, and the newest segment map. Its
// methods are never called concurrently.
type NonIdempotentStore interface {
	// MayHaveRun reports whether an attempt of a query with this ID may have run. Retried is true if the client marked
	// the query as a retry.
	MayHaveRun(id string, retried bool, now float64) bool
	// RecordSent stores the IDs of queries. Their first attempts may be sent once it has returned.
	RecordSent(ids []string, now float64) error
	// RecordNotRun stores that no attempt of a query has run. It need not wait for the disk.
	RecordNotRun(id string) error
	// SaveMap stores the newest segment map.
	SaveMap(m *ownership.Map) error
}

// SetNonIdempotentStore makes the picker record non-idempotent queries in store before the module decides on them.
// Rounds never wait for the store.
func (p *Picker) SetNonIdempotentStore(store NonIdempotentStore) {
	p.records = newRecordQueue(store, p.settings, p.Now, p.log)
}

// CloseNonIdempotentStore stops accepting new records and waits until all pending ones are written. It returns false if
// ctx ends first, while the disk is still writing.
func (p *Picker) CloseNonIdempotentStore(ctx context.Context) bool { return p.records.close(ctx) }

func (p *Picker) nonIdempotent(query *Query) bool {
	return p.settings.Class(query.Class).Effect == gather.NonIdempotent
}

// needsRecord reports whether a query must be recorded before it is passed to the module. A policy can make a class
// non-idempotent, so the settings in effect decide.
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

// rejectUnrecorded rejects a non-idempotent query that is not recorded, because a policy change made its class
// non-idempotent after the query arrived. It reports whether it rejected the query.
func (p *Picker) rejectUnrecorded(query *Query) bool {
	if p.records == nil || query.recorded || !p.nonIdempotent(query) {
		return false
	}
	p.queries.finished = append(p.queries.finished, query)
	p.deliver(query, Result{Kind: Rejected, RetryAfter: p.records.retryAfter[query.Class]})
	return true
}

// pickRecorded is Pick for a query whose ID must be on disk before any byte of it is sent. The module gets the query
// only after that, so that it does not mistake the wait for the disk for load.
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

// awaitRecord waits until a query is recorded. It returns the query's result and true if the query ends instead: it
// cannot be recorded, or not in time, or its client disconnects.
func (p *Picker) awaitRecord(ctx context.Context, query *Query, record *record) (result Result, ended bool) {
	remaining := query.Deadline - deadlineMarginRounds*p.schedule.interval - p.Now()
	timer := time.NewTimer(millis.Duration(remaining))
	defer timer.Stop()
	rejected := Result{Kind: Rejected, RetryAfter: p.records.retryAfter[query.Class]}
	select {
	case outcome := <-record.outcome:
		switch outcome {
		case recordSucceeded:
			return Result{}, false
		case recordMayHaveRun:
			p.log.WithField("query", query.ID).Warn("non-idempotent query: failed, an earlier attempt may have run")
			return Result{Kind: Failed}, true
		}
		return rejected, true
	case <-timer.C:
		p.log.WithField("query", query.ID).
			Debug("non-idempotent query: rejected, because it was not recorded before its deadline")
		return rejected, true
	case <-ctx.Done():
		return Result{Kind: Abandoned}, true
	}
}

// observeUnadmitted notifies observers of queries that ended before they were passed to the module.
func (p *Picker) observeUnadmitted(ended []decidedQuery) {
	for _, e := range ended {
		p.observeDecided(e.query, e.result)
	}
}
