package dispatch

import (
	"yokeroute/gather"
	"yokeroute/logic/twopass"
)

// DecisionObserver is notified of decisions and of the ends of attempts, on the goroutine that runs rounds. Its methods
// must not block. Times are on the picker's clock; latencies are in milliseconds.
type DecisionObserver interface {
	// QueryAdmitted is called when a query is admitted. The decision is nil for a query that cannot run in two passes.
	QueryAdmitted(query *Query, decision *twopass.Decision, at float64)
	AttemptDecided(attempt *Attempt, at float64)
	AttemptEnded(attempt *Attempt, outcome gather.Outcome, latency float64, summary *twopass.Summary)
	FirstPassEnded(query *Query, plan *twopass.Plan, at float64)
	QueryDecided(query *Query, result Result, at float64)
}

// WireObserver is notified of attempts and answers as they go over the wire, on the goroutines that write attempts and
// that answer clients.
type WireObserver interface {
	// AttemptWritten is called before an attempt's first byte is written.
	AttemptWritten(attempt *Attempt, at float64)
	// QueryAnswered is called when no further byte of an attempt of the query can be written.
	QueryAnswered(query *Query, result Result, at float64)
}

type observers struct {
	decisions []DecisionObserver
	wire      []WireObserver
}

// ObserveDecisions registers an observer of decisions.
func (p *Picker) ObserveDecisions(o DecisionObserver) {
	p.observers.decisions = append(p.observers.decisions, o)
}

// ObserveWire registers an observer of attempts and answers on the wire.
func (p *Picker) ObserveWire(o WireObserver) { p.observers.wire = append(p.observers.wire, o) }
