package dispatch

import (
	"strconv"
	"sync/atomic"

	"yokeroute/gather"
	"yokeroute/logic/ownership"
	"yokeroute/logic/twopass"
)

// Attempt is an attempt at a shard request that the module has decided on.
type Attempt struct {
	Server  uint32
	Timeout float64 // milliseconds from the decision
	Tag     any     // for use by the code that carries out the attempt

	picker          *Picker
	query           *Query // the client's query, or one of its passes
	index           int    // index of the shard request, or piece, in the query
	shard           int
	moduleID        uint64 // module ID of the shard request or piece
	number          int
	decidedAt       float64
	nonIdempotent   bool
	onlyInFlight    bool
	usesRetryBudget bool
	shardsAttempted int

	// Set for an attempt at a piece: the keys requested, the segment that holds them, and the epoch since which the
	// segment's owner has held them.
	hasOwnership bool
	keys         ownership.Range
	segment      string
	ownerSince   uint64

	// Set for an idempotency-keyed query: the earlier attempts at the shard request, and how long, in milliseconds, a
	// server remembers the idempotency key of an attempt that ran.
	earlierAttempts   []*Attempt
	idempotencyWindow float64

	cancelled     atomic.Bool
	ended         atomic.Bool
	neverExecuted atomic.Bool // set when the attempt ends with an outcome that proves it
	writeStarted  atomic.Bool
}

// ID returns the shard request's ID on the wire. A hedged request has the same ID. A first pass adds the suffix "~",
// so that its answer cannot be mistaken for one from the other pass.
func (a *Attempt) ID() string {
	id := a.query.ID + "." + strconv.Itoa(a.shard)
	if a.hasOwnership { // several pieces of a shard request may be in flight at one server
		id += "." + strconv.Itoa(a.index)
	}
	if a.FirstPass() {
		id += "~"
	}
	return id
}

// Query returns the client's query.
func (a *Attempt) Query() *Query { return a.query.root() }

// Pass returns the pass that the attempt belongs to.
func (a *Attempt) Pass() gather.Pass { return a.query.pass.kind }

// FirstPass reports whether the attempt belongs to a first pass and thus requests only a summary.
func (a *Attempt) FirstPass() bool { return a.query.pass.kind == gather.FirstPass }

// Number returns the attempt's number among those of its shard request in its pass, counted from 0.
func (a *Attempt) Number() int { return a.number }

// Remaining returns how much of the timeout remains, in milliseconds. The timeout runs from the decision, and the
// attempt may have waited for a connection since.
func (a *Attempt) Remaining() float64 { return a.decidedAt + a.Timeout - a.picker.Now() }

// DecidedAt returns the time at which the module decided on the attempt, on the picker's clock.
func (a *Attempt) DecidedAt() float64 { return a.decidedAt }

// UsesRetryBudget reports whether the attempt is a retry or a hedged request, which the retry budget counts: one beyond
// the first of its shard request, or one in the second pass whose attempt in the first pass was lost.
func (a *Attempt) UsesRetryBudget() bool { return a.usesRetryBudget }

// OnlyInFlight reports whether no other attempt of the shard request was in flight when this one was decided on.
func (a *Attempt) OnlyInFlight() bool { return a.onlyInFlight }

// ShardsAttempted returns how many shard requests of the query had an attempt when this one was decided on, including
// this one's.
func (a *Attempt) ShardsAttempted() int { return a.shardsAttempted }

// Shard returns the shard requested.
func (a *Attempt) Shard() int { return a.shard }

// Payload returns the query's payload.
func (a *Attempt) Payload() []byte { return a.query.Payload }

// NonIdempotent reports whether the attempt must never be executed twice.
func (a *Attempt) NonIdempotent() bool { return a.nonIdempotent }

// Ownership returns the keys requested, the segment that holds them and the epoch since which the segment's owner has
// held them; ok is false if queries are not routed by a segment map.
func (a *Attempt) Ownership() (keys ownership.Range, segment string, since uint64, ok bool) {
	return a.keys, a.segment, a.ownerSince, a.hasOwnership
}

// BeginWrite reports whether the attempt may still be written. While it waited for a connection, its query may have
// been decided, the policy changed or the retry budget run out. Each BeginWrite that returns true needs an EndWrite.
//
// BeginWrite never blocks: it returns false for a query that is being sealed, whose result is already decided. Writers
// that blocked here could wait for each other.
func (a *Attempt) BeginWrite() bool {
	query := a.query.root()
	if a.cancelled.Load() || !query.writeGate.TryRLock() {
		return false
	}
	now := a.picker.Now()
	if query.sealed || a.cancelled.Load() || query.clientLeft() || !a.idempotencyKeysKnown(now) || !a.permittedByPolicy(now) ||
		a.usesRetryBudget && !a.picker.retryBudget.charge(now) {
		query.writeGate.RUnlock()
		return false
	}
	a.writeStarted.Store(true)
	query.mayHaveRun.Store(true)
	query.conflictingAttempts.Add(1)
	for _, o := range a.picker.observers.wire {
		o.AttemptWritten(a, now)
	}
	return true
}

// EndWrite ends the write that BeginWrite permitted.
func (a *Attempt) EndWrite() { a.query.root().writeGate.RUnlock() }

// WriteStarted reports whether BeginWrite has returned true.
func (a *Attempt) WriteStarted() bool { return a.writeStarted.Load() }

// idempotencyKeysKnown reports whether the servers still remember the idempotency key of every earlier attempt that may
// have run. The idempotency window may end while the attempt waits for its connection.
func (a *Attempt) idempotencyKeysKnown(now float64) bool {
	for _, e := range a.earlierAttempts {
		if !e.neverExecuted.Load() && now > e.decidedAt+a.idempotencyWindow-clockTolerance {
			return false
		}
	}
	return true
}

// Report reports how an attempt ended, with the value received. Only the first report of an attempt counts, because an
// attempt that was cancelled may still be answered.
func (p *Picker) Report(a *Attempt, outcome gather.Outcome, value []byte) {
	if !a.ended.CompareAndSwap(false, true) {
		return
	}
	a.neverExecuted.Store(outcome.NeverExecuted())
	if a.writeStarted.Load() && !a.conflictsAfter(outcome) {
		a.query.root().conflictingAttempts.Add(-1)
	}
	end := attemptEnd{attempt: a, outcome: outcome, latency: p.Now() - a.decidedAt, value: value}
	if a.FirstPass() && outcome == gather.Succeeded {
		var err error
		if end.summary, err = twopass.ParseSummary(value); err != nil {
			p.log.WithError(err).WithField("server", a.Server).Warn("first pass: malformed summary")
			end.outcome = gather.Failed
		}
	}
	result := gather.AttemptResult{
		Request:           a.moduleID,
		Server:            a.Server,
		Attempt:           a.number,
		Elapsed:           end.latency,
		Outcome:           end.outcome,
		NoFurtherAttempts: end.outcome == gather.Succeeded,
	}
	if end.outcome == gather.NotOwner { // not a fault of the server: the module counts the attempt as not sent
		result.Outcome = gather.NotSent
	}
	p.intake.enqueue(func(in *inbox) {
		in.Results = append(in.Results, result)
		in.attemptEnds = append(in.attemptEnds, end)
	})
}

// conflictsAfter reports whether the attempt, ended with an outcome, forbids another query with the same ID. A cancelled
// attempt or one that timed out may still be answered, and the answer names nothing but the ID.
func (a *Attempt) conflictsAfter(outcome gather.Outcome) bool {
	switch outcome {
	case gather.Succeeded, gather.Failed, gather.ConnectionReset:
		return a.nonIdempotent || a.idempotencyWindow > 0
	}
	return !outcome.NeverExecuted()
}

// recordDecided notifies the two-pass decider and the observers of an attempt that the module has decided on.
func (p *Picker) recordDecided(a *Attempt) {
	if p.twoPass.decider != nil {
		p.twoPass.decider.RecordSent(p.schedule.lastRoundAt, a.FirstPass())
	}
	for _, o := range p.observers.decisions {
		o.AttemptDecided(a, p.schedule.lastRoundAt)
	}
}

// recordEnd notifies the two-pass decider and the observers of an attempt's end, and stores its value or summary.
func (p *Picker) recordEnd(now float64, end *attemptEnd) {
	a, query := end.attempt, end.attempt.query
	succeeded := end.outcome == gather.Succeeded
	if p.twoPass.decider != nil {
		p.twoPass.decider.RecordEnded(now, twopass.AttemptEnd{
			Class:       query.Class,
			FirstPass:   a.FirstPass(),
			Succeeded:   succeeded,
			ProvedEmpty: end.summary.Empty,
			Latency:     end.latency,
		})
	}
	for _, o := range p.observers.decisions {
		o.AttemptEnded(a, end.outcome, end.latency, &end.summary)
	}
	if query.pieces != nil {
		p.recordPieceEnd(end)
	}
	switch {
	case !succeeded:
	case a.FirstPass():
		query.recordSummary(a.index, &end.summary)
	default:
		query.values[a.index] = end.value
	}
}
