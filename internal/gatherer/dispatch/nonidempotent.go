package dispatch

import (
	"slices"
	"time"

	"yokeroute/gather"
	"yokeroute/logic/ownership"
)

// NonIdempotentStore is the durable record of non-idempotent queries that may have run, and of the newest segment
// map. It is called on the goroutine that runs rounds.
type NonIdempotentStore interface {
	// MayHaveRun reports whether an attempt of a query of this ID may have run. Retried is set for one that its
	// client marked as a repeat.
	MayHaveRun(id string, retried bool, now float64) bool
	// RecordSent stores the IDs of queries whose first attempts are about to be sent.
	RecordSent(ids []string, now float64) error
	// RecordNotRun stores that nothing of a query has run.
	RecordNotRun(id string) error
	// SaveMap stores the newest segment map.
	SaveMap(m *ownership.Map) error
}

// slowWriteThreshold is from which duration a write of the store is logged.
const slowWriteThreshold = 100 * time.Millisecond

// SetNonIdempotentStore has non-idempotent queries recorded before any byte of them is sent.
func (p *Picker) SetNonIdempotentStore(store NonIdempotentStore) { p.store = store }

func (p *Picker) nonIdempotent(query *Query) bool {
	return p.settings.Class(query.Class).Effect == gather.NonIdempotent
}

// failIfMayHaveRun fails a non-idempotent query of whose ID an earlier attempt may have run. It reports whether it
// did.
func (p *Picker) failIfMayHaveRun(query *Query, now float64) bool {
	if p.store == nil || !p.nonIdempotent(query) || !p.store.MayHaveRun(query.ID, query.Retried, now) {
		return false
	}
	p.log.WithField("query", query.ID).Warn("non-idempotent query: may have run before, failed")
	p.queries.finished = append(p.queries.finished, query)
	query.recorded = true
	p.deliver(query, Result{Kind: Failed})
	return true
}

// recordNonIdempotent records a round's non-idempotent queries before their attempts are sent. Those of a query that
// cannot be recorded are cancelled: after a crash nobody could tell whether it ran.
func (p *Picker) recordNonIdempotent(now float64) {
	if p.store == nil {
		return
	}
	var ids []string
	var unrecorded []*Query
	for _, a := range p.actions.Send {
		query := a.query.root()
		if !a.nonIdempotent || query.recorded {
			continue
		}
		query.recorded = true
		ids = append(ids, query.ID)
		unrecorded = append(unrecorded, query)
	}
	if len(ids) == 0 {
		return
	}
	startedAt := time.Now()
	err := p.store.RecordSent(ids, now)
	p.logSlowWrite("sent", startedAt)
	if err == nil {
		return
	}
	p.log.WithError(err).Error("non-idempotent queries: not recorded, not sent")
	for _, a := range p.actions.Send {
		if slices.Contains(unrecorded, a.query.root()) {
			a.cancelled.Store(true)
		}
	}
	for _, query := range unrecorded { // their next attempts have to be recorded as well
		query.recorded = false
	}
}

// recordNotRun records that a non-idempotent query was rejected: nothing of it has run.
func (p *Picker) recordNotRun(query *Query, result Result) {
	if p.store == nil || !p.nonIdempotent(query) || result.Kind != Rejected {
		return
	}
	defer p.logSlowWrite("not run", time.Now())
	if err := p.store.RecordNotRun(query.ID); err != nil {
		p.log.WithError(err).Error("non-idempotent query: rejection not recorded, its ID stays in use")
	}
}

// logSlowWrite logs a write of the store that took long: no round runs meanwhile.
func (p *Picker) logSlowWrite(operation string, startedAt time.Time) {
	took := time.Since(startedAt)
	if took < slowWriteThreshold {
		return
	}
	log := p.log.WithField("operation", operation).WithField("took", took)
	log.Warn("store: slow write")
}
