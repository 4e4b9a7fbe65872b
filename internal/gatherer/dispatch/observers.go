package dispatch

import (
	"yokeroute/gather"
	"yokeroute/logic/twopass"
)

// DecisionObserver is notified of decisions and of attempts' ends, on the goroutine that runs rounds. It must not
// block. Times are on the picker's clock, latencies milliseconds.
type DecisionObserver interface {
	// QueryAdmitted is called at a query's arrival. The decision is nil for a class that is never served in two
	// passes.
	QueryAdmitted(query *Query, decision *twopass.Decision, at float64)
	AttemptDecided(attempt *Attempt, at float64)
	AttemptEnded(attempt *Attempt, outcome gather.Outcome, latency float64, summary *twopass.Summary)
	FirstPassEnded(query *Query, plan *twopass.Plan, at float64)
	QueryDecided(query *Query, result Result, at float64)
}

// WireObserver is notified of what goes over the wire, at that moment, on the goroutines that write attempts and that
// answer clients.
type WireObserver interface {
	// AttemptWritten is called before an attempt's first byte is written.
	AttemptWritten(attempt *Attempt, at float64)
	// QueryAnswered is called once no byte of an attempt of the query can be written any more.
	QueryAnswered(query *Query, result Result, at float64)
}

type observers struct {
	decisions []DecisionObserver
	wire      []WireObserver
}

// ObserveDecisions adds an observer of decisions.
func (p *Picker) ObserveDecisions(o DecisionObserver) {
	p.observers.decisions = append(p.observers.decisions, o)
}

// ObserveWire adds an observer of the wire.
func (p *Picker) ObserveWire(o WireObserver) { p.observers.wire = append(p.observers.wire, o) }
