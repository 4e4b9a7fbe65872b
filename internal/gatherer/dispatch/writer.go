package dispatch

import (
	"slices"

	"yokeroute/gather"
)

// writer receives the module's decisions during a round.
type writer struct{ p *Picker }

var _ gather.Writer = writer{}

// Send implements gather.Writer.
func (w writer) Send(request uint64, server uint32, timeout float64) {
	ref, known := w.p.queries.requests[request]
	if !known {
		return
	}
	query := ref.query
	a := &Attempt{
		Server:        server,
		Timeout:       timeout,
		picker:        w.p,
		query:         query,
		index:         ref.index,
		shard:         query.ShardRequests[query.shardRequestOf(ref.index)].Shard,
		moduleID:      request,
		number:        len(query.attempts[ref.index]),
		decidedAt:     w.p.schedule.lastRoundAt,
		nonIdempotent: w.p.nonIdempotent(query),
		onlyInFlight:  true,
	}
	a.usesRetryBudget = a.number > 0 || query.pass.requests != nil && query.pass.requests[ref.index].Retry
	if query.pieces != nil {
		query.pieces[ref.index].addAttempt(a)
	}
	earlierAttempts := query.attempts[ref.index]
	if class := w.p.settings.Class(query.root().Class); class.Effect == gather.IdempotencyKeyed {
		a.earlierAttempts = slices.Clone(earlierAttempts)
		a.idempotencyWindow = class.IdempotencyWindow
	}
	for _, e := range earlierAttempts {
		a.onlyInFlight = a.onlyInFlight && e.ended.Load()
	}
	query.attempts[ref.index] = append(earlierAttempts, a)
	for _, attempts := range query.attempts {
		a.shardsAttempted += min(len(attempts), 1)
	}
	w.p.actions.Send = append(w.p.actions.Send, a)
	w.p.recordDecided(a)
}

// Cancel implements gather.Writer.
func (w writer) Cancel(request uint64, attempt int) {
	ref, known := w.p.queries.requests[request]
	if !known {
		return
	}
	if attempts := ref.query.attempts[ref.index]; attempt < len(attempts) {
		w.p.cancelAttempt(attempts[attempt])
	}
}

// Answer implements gather.Writer.
func (w writer) Answer(query uint64, complete bool) {
	if q := w.p.queries.byID[query]; q != nil {
		w.p.finish(q, Result{Kind: Served, Complete: complete, Hits: q.hits()})
	}
}

// Reject implements gather.Writer.
func (w writer) Reject(query uint64, retryAfter float64) {
	w.p.finish(w.p.queries.byID[query], Result{Kind: Rejected, RetryAfter: retryAfter})
}

// Fail implements gather.Writer.
func (w writer) Fail(query uint64) { w.p.finish(w.p.queries.byID[query], Result{Kind: Failed}) }

// Wake implements gather.Writer.
func (w writer) Wake(after float64) {
	w.p.schedule.wakeAt = min(w.p.schedule.wakeAt, w.p.schedule.lastRoundAt+after)
}

// Subscribe implements gather.Writer.
func (w writer) Subscribe() {
	select {
	case w.p.listRequested <- struct{}{}:
	default: // a request is already pending
	}
}

// CheckHealth implements gather.Writer.
func (w writer) CheckHealth(server uint32) {
	w.p.actions.CheckHealth = append(w.p.actions.CheckHealth, server)
}

func (p *Picker) cancelAttempt(a *Attempt) {
	a.cancelled.Store(true)
	if !a.ended.Load() {
		p.actions.Cancel = append(p.actions.Cancel, a)
	}
}
