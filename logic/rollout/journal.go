package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// RecordFormat is the number of a journal's records; a reader of lower ones alone refuses them.
const RecordFormat = 1

// Record is one line of a rollout's journal. Times are Unix milliseconds.
type Record struct {
	Format       int        `json:"f"`
	At           float64    `json:"t"`
	Kind         RecordKind `json:"k"`
	PlanSum      string     `json:"plan,omitempty"`  // fingerprint of the plan that a controller began with
	FencingToken uint64     `json:"fence,omitempty"` // the controller's number
	Position     *Position  `json:"at,omitempty"`
	Gatherer     string     `json:"g,omitempty"`  // the gatherer
	Target       Variant    `json:"to,omitempty"` // what it is made
	Message      string     `json:"err,omitempty"`
	Command      string     `json:"word,omitempty"` // the operator's, and which one
}

// RecordKind is what a record tells.
type RecordKind string

// The kinds of records.
const (
	ControllerStarted RecordKind = "begin"   // a controller has begun
	PositionChanged   RecordKind = "at"      // the rollout is at another position
	StepStarted       RecordKind = "step"    // a step is about to begin
	StepEnded         RecordKind = "stepped" // it has ended, well or not
	CommandTaken      RecordKind = "word"    // the operator's word was taken
)

// Describe is a record in words.
func (r Record) Describe() string {
	when := time.UnixMilli(int64(r.At)).Format("15:04:05")
	switch r.Kind {
	case ControllerStarted:
		return fmt.Sprintf("%s  controller %d begins", when, r.FencingToken)
	case PositionChanged:
		return fmt.Sprintf("%s  %s, stage %d: %s", when, r.Position.Phase, r.Position.Stage+1, cmp.Or(r.Message, r.Position.Reason))
	case StepStarted:
		return fmt.Sprintf("%s  making %s %s", when, r.Gatherer, r.Target)
	case StepEnded:
		if r.Message != "" {
			return fmt.Sprintf("%s  %s could not be made %s: %s", when, r.Gatherer, r.Target, r.Message)
		}
		return fmt.Sprintf("%s  %s: its step to %s has ended", when, r.Gatherer, r.Target)
	}
	return fmt.Sprintf("%s  operator: %s", when, r.Command)
}

// ErrPlanChanged is a plan whose text is not that with which the rollout began: what was done by the one can't
// be gone on with by the other.
var ErrPlanChanged = errors.New("has changed since this rollout began; put the old text back, " +
	"or end this rollout and begin another in a folder of its own")

// Recovered is what a controller goes on from.
type Recovered struct {
	Position        Position
	UnfinishedSteps []Record // steps that were begun and of whose end nothing is known, in their order: they are made again
	Command         string   // the operator's last one that was heeded
}

// Replay reads a journal: where the rollout was, and what may be half done. A step that was written down as
// begun and not as ended may have been made, or not, or be under way still; making it again is harmless,
// leaving it out is not.
func Replay(plan string, all []Record) (r Recovered, err error) {
	open := map[string]int{}
	for i, rec := range all {
		switch rec.Kind {
		case ControllerStarted:
			if rec.PlanSum != plan {
				return r, ErrPlanChanged
			}
		case PositionChanged:
			if rec.Position == nil {
				return r, fmt.Errorf("record %d tells no position", i+1)
			}
			r.Position = *rec.Position
		case StepStarted:
			open[rec.Gatherer] = i
		case StepEnded:
			delete(open, rec.Gatherer)
		case CommandTaken:
			r.Command = rec.Command
		default:
			return r, fmt.Errorf("record %d is of the unknown kind %q", i+1, rec.Kind)
		}
	}
	for i, rec := range all { // in their order, not the map's
		if at, is := open[rec.Gatherer]; is && at == i {
			r.UnfinishedSteps = append(r.UnfinishedSteps, rec)
		}
	}
	return r, nil
}
