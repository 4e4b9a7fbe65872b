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
	Terminated string        `json:"terminated,omitempty"` // the last of its gatherer's processes that was sent SIGTERM
	SinceTerm  time.Duration `json:"since_term,omitempty"` // since that SIGTERM, whoever sent it
	Refused    int           `json:"refused,omitempty"`    // by its gatherer, of the relay's connections
	Starved    time.Duration `json:"starved"`              // for which its gatherer's threads waited for a processor
	Error      string        `json:"error"`
}

func (l LostTry) String() string {
	since := "no fault before"
	if l.Fault != "" {
		since = fmt.Sprintf("%.2f s after %s", l.SinceFault.Seconds(), l.Fault)
	}
	if l.Terminated != "" {
		since += fmt.Sprintf(", %.3f s after SIGTERM to %s", l.SinceTerm.Seconds(), l.Terminated)
	}
	kind := string(l.Kind)
	if l.Refused > 0 {
		kind += fmt.Sprintf(" (%d connections of the relay refused meanwhile)", l.Refused)
	}
	return fmt.Sprintf("%s at %s, %s, after %v, of which its threads waited %v for a processor: %s: %s", l.Name,
		l.Gatherer, since, l.Took.Round(time.Millisecond), l.Starved.Round(time.Millisecond), kind, l.Error)
}

// lostTry describes a try that ends now.
func (f *Fleet) lostTry(try *Try, target *frontTarget, kind LossKind, err error) LostTry {
	lost := LostTry{Name: try.Name, Kind: kind, Gatherer: target.gatherer.Name, Took: time.Since(try.StartedAt),
		Error: err.Error()}
	target.starvation.sample(target.gatherer.Process())
	lost.Starved = target.starvation.since(try.StartedAt)
	lost.Fault, lost.SinceFault = target.gatherer.lastFault()
	lost.Terminated, lost.SinceTerm = target.gatherer.lastTermination()
	if link := f.Link("front:" + target.gatherer.Name); link != nil {
		lost.Refused = link.refusedSince(try.StartedAt)
	}
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
