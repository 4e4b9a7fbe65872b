package processtest

import (
	"fmt"
	"time"

	"yokeroute/internal/rulecheck"
)

// LossKind tells lost tries apart.
type LossKind string

// The kinds of lost tries.
const (
	NewConnectionBroke    LossKind = "a new connection broke"
	ReusedConnectionBroke LossKind = "a kept connection broke"
	AnswerBroke           LossKind = "the connection broke within the answer"
	Unanswered            LossKind = "no answer in time"
	ReadAndDropped        LossKind = "read, and its connection closed without an answer"
)

// LostTry is a try that the platform would count as lost.
type LostTry struct {
	Name       string        `json:"name"`
	Kind       LossKind      `json:"kind"`
	Gatherer   string        `json:"gatherer"`
	Took       time.Duration `json:"took"`
	Fault      string        `json:"fault,omitempty"` // the last one that struck its gatherer
	SinceFault time.Duration `json:"since,omitempty"`
	Starved    time.Duration `json:"starved"` // for which threads of its gatherer waited for a processor meanwhile
	Error      string        `json:"error"`
}

func (l LostTry) String() string {
	since := "no fault before"
	if l.Fault != "" {
		since = fmt.Sprintf("%.2f s after %s", l.SinceFault.Seconds(), l.Fault)
	}
	return fmt.Sprintf("%s at %s, %s, after %v, of which its threads waited %v for a processor: %s: %s", l.Name,
		l.Gatherer, since, l.Took.Round(time.Millisecond), l.Starved.Round(time.Millisecond), l.Kind, l.Error)
}

// lostTry describes a try that ends now.
func (f *Fleet) lostTry(try *Try, target *frontTarget, kind LossKind, err error) LostTry {
	lost := LostTry{Name: try.Name, Kind: kind, Gatherer: target.gatherer.Name, Took: time.Since(try.StartedAt),
		Error: err.Error()}
	target.starvation.sample(target.gatherer.Process())
	lost.Starved = target.starvation.since(try.StartedAt)
	lost.Fault, lost.SinceFault = target.gatherer.lastFault()
	return lost
}

// losses returns the tries that were lost, and the requests that crossed the close of their connection. One of these
// that a trace holds was read, and is lost although its client has sent it once more.
func (f *Fleet) losses(traces *rulecheck.JoinedReport) (lost, crossed []LostTry) {
	lost = f.Front.LostTries()
	for _, try := range f.Front.CrossedTries() {
		if traces.HasQuery(try.Name) {
			try.Kind = ReadAndDropped
			lost = append(lost, try)
			continue
		}
		crossed = append(crossed, try)
	}
	return lost, crossed
}
