package processtest

import (
	"fmt"
	"time"
)

// LossKind tells lost tries apart.
type LossKind string

// The kinds of lost tries.
const (
	NewConnectionBroke  LossKind = "a new connection broke"
	KeptConnectionBroke LossKind = "a kept connection broke"
	AnswerBroke         LossKind = "the connection broke within the answer"
	Unanswered          LossKind = "no answer in time"
)

// LostTry is a try that the platform would count as lost.
type LostTry struct {
	Name       string        `json:"name"`
	Kind       LossKind      `json:"kind"`
	Gatherer   string        `json:"gatherer"`
	Took       time.Duration `json:"took"`
	Fault      string        `json:"fault,omitempty"` // the last one that struck its gatherer
	SinceFault time.Duration `json:"since,omitempty"`
	Error      string        `json:"error"`
}

func (l LostTry) String() string {
	since := "no fault before"
	if l.Fault != "" {
		since = fmt.Sprintf("%.2f s after %s", l.SinceFault.Seconds(), l.Fault)
	}
	return fmt.Sprintf("%s at %s, %s, after %v: %s: %s", l.Name, l.Gatherer, since, l.Took.Round(time.Millisecond),
		l.Kind, l.Error)
}

// lostTry describes a try that ends now.
func (f *Fleet) lostTry(try *Try, target *frontTarget, kind LossKind, err error) LostTry {
	lost := LostTry{Name: try.Name, Kind: kind, Gatherer: target.gatherer.Name, Took: time.Since(try.Began),
		Error: err.Error()}
	lost.Fault, lost.SinceFault = target.gatherer.lastFault()
	return lost
}
