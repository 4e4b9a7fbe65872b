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
	Tag     any     // the carrier's own

	picker          *Picker
	query           *Query // or its pass
	index           int    // of the shard request, or of the piece, in the query
	shard           int
	moduleID        uint64 // of the shard request, or of the piece
	number          int
	decidedAt       float64
	nonIdempotent   bool
	onlyInFlight    bool
	usesRetryBudget bool
	shardsAttempted int

	// Of a piece: the keys, the segment that holds them, and the epoch since which its owner does.
	owned      bool
	keys       ownership.Range
	segment    string
	ownedSince uint64

	// Of an idempotency-keyed query: the earlier attempts, and how long a server knows the key of one that ran.
	earlier           []*Attempt
	idempotencyWindow float64

	cancelled     atomic.Bool
	ended         atomic.Bool
	neverExecuted atomic.Bool // set at its end where that proves it
	writeStarted  atomic.Bool
}

// ID names the shard request on the wire; a hedged request bears the same name. In a first pass a mark follows, so
// that an answer cannot be taken for the other pass's.
func (a *Attempt) ID() string {
	id := a.query.ID + "." + strconv.Itoa(a.shard)
	if a.owned { // several pieces of a shard request may be in flight at one server
		id += "." + strconv.Itoa(a.index)
	}
	if a.FirstPass() {
		id += "~"
	}
	return id
}

// Query is the client's query.
func (a *Attempt) Query() *Query { return a.query.root() }

// Pass is the pass that the attempt belongs to.
func (a *Attempt) Pass() gather.Pass { return a.query.pass.kind }

// FirstPass reports whether the attempt asks for no more than a summary.
func (a *Attempt) FirstPass() bool { return a.query.pass.kind == gather.FirstPass }

// Number counts the attempts of its shard request in its pass, from 0.
func (a *Attempt) Number() int { return a.number }

// Remaining is how much of its timeout remains, in milliseconds: an attempt may have waited for a connection.
func (a *Attempt) Remaining() float64 { return a.decidedAt + a.Timeout - a.picker.Now() }

// DecidedAt is when the module decided on it, on the picker's clock.
func (a *Attempt) DecidedAt() float64 { return a.decidedAt }

// UsesRetryBudget reports whether it is a retry or a hedged request, which the retry budget counts: one beyond the
// first of its shard request, or one in full whose attempt in the first pass was lost.
func (a *Attempt) UsesRetryBudget() bool { return a.usesRetryBudget }

// OnlyInFlight reports whether no other attempt of its shard request was in flight at the decision.
func (a *Attempt) OnlyInFlight() bool { return a.onlyInFlight }

// ShardsAttempted counts the shard requests of its query with an attempt by then, this one included.
func (a *Attempt) ShardsAttempted() int { return a.shardsAttempted }

// Shard is the shard requested.
func (a *Attempt) Shard() int { return a.shard }

// Payload is the query's payload.
func (a *Attempt) Payload() []byte { return a.query.Payload }

// NonIdempotent reports whether the attempt must never be executed twice.
func (a *Attempt) NonIdempotent() bool { return a.nonIdempotent }

// Ownership returns the keys requested, the segment that holds them and the epoch since which its owner does; ok is
// false where no map says who owns which keys.
func (a *Attempt) Ownership() (keys ownership.Range, segment string, since uint64, ok bool) {
	return a.keys, a.segment, a.ownedSince, a.owned
}

// BeginWrite reports whether the attempt may still be written: it may have waited for a connection while its query
// was decided, the policy changed or the retry budget ran out. Each BeginWrite that returns true needs an EndWrite.
//
// BeginWrite never blocks: a query that is being sealed is as good as answered, and writers that waited could wait
// for each other.
func (a *Attempt) BeginWrite() bool {
	query := a.query.root()
	if a.cancelled.Load() || !query.writeGate.TryRLock() {
		return false
	}
	now := a.picker.Now()
	if query.sealed || a.cancelled.Load() || !a.keyStillKnown(now) || !a.permitted(now) ||
		a.usesRetryBudget && !a.picker.retryBudget.charge(now) {
		query.writeGate.RUnlock()
		return false
	}
	a.writeStarted.Store(true)
	query.mayHaveRun.Store(true)
	for _, o := range a.picker.observers.wire {
		o.AttemptWritten(a, now)
	}
	return true
}

// EndWrite ends what BeginWrite began.
func (a *Attempt) EndWrite() { a.query.root().writeGate.RUnlock() }

// WriteStarted reports whether BeginWrite has returned true.
func (a *Attempt) WriteStarted() bool { return a.writeStarted.Load() }

// keyStillKnown reports whether the servers still know the idempotency key of every earlier attempt that may have
// run: the window may end while the attempt waits for its connection.
func (a *Attempt) keyStillKnown(now float64) bool {
	for _, e := range a.earlier {
		if !e.neverExecuted.Load() && now > e.decidedAt+a.idempotencyWindow-clockTolerance {
			return false
		}
	}
	return true
}

// Report reports how an attempt ended, with the value that came. Only the first report of an attempt counts: one that
// was cancelled may still be answered.
func (p *Picker) Report(a *Attempt, outcome gather.Outcome, value []byte) {
	if !a.ended.CompareAndSwap(false, true) {
		return
	}
	a.neverExecuted.Store(outcome.NeverExecuted())
	end := attemptEnd{attempt: a, outcome: outcome, latency: p.Now() - a.decidedAt, value: value}
	if a.FirstPass() && outcome == gather.Succeeded {
		var err error
		if end.summary, err = twopass.ParseSummary(value); err != nil {
			p.log.WithError(err).WithField("server", a.Server).Warn("first pass: unreadable summary")
			end.outcome = gather.Failed
		}
	}
	result := gather.AttemptResult{
		Request:  a.moduleID,
		Server:   a.Server,
		Attempt:  a.number,
		Elapsed:  end.latency,
		Outcome:  end.outcome,
		Finished: end.outcome == gather.Succeeded,
	}
	if end.outcome == gather.NotOwner { // no fault of the server's: for the module nothing was sent
		result.Outcome = gather.NotSent
	}
	p.intake.enqueue(func(in *inbox) {
		in.Results = append(in.Results, result)
		in.attemptEnds = append(in.attemptEnds, end)
	})
}

// recordDecided notes an attempt that the module has decided on.
func (p *Picker) recordDecided(a *Attempt) {
	if p.twoPass.decider != nil {
		p.twoPass.decider.RecordSent(p.schedule.lastAt, a.FirstPass())
	}
	for _, o := range p.observers.decisions {
		o.AttemptDecided(a, p.schedule.lastAt)
	}
}

// recordEnd keeps what an attempt brought.
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
