package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// RecordFormat is the format number of a journal's records. A reader that knows only lower numbers refuses
// them.
const RecordFormat = 1

// Record is an entry of a rollout's journal.
type Record struct {
	Format       int        `json:"f"`
	At           float64    `json:"t"` // Unix milliseconds
	Kind         RecordKind `json:"k"`
	PlanSum      string     `json:"plan,omitempty"`  // fingerprint of the controller's plan
	FencingToken uint64     `json:"fence,omitempty"` // the controller's
	Position     *Position  `json:"at,omitempty"`
	Gatherer     string     `json:"g,omitempty"`
	Target       Variant    `json:"to,omitempty"` // of the step
	Message      string     `json:"err,omitempty"`
	Command      string     `json:"word,omitempty"` // the operator's, with its stamp
}

// RecordKind is the event that a record keeps.
type RecordKind string

// The kinds of records.
const (
	ControllerStarted RecordKind = "begin"
	PositionChanged   RecordKind = "at"
	StepStarted       RecordKind = "step"    // written before the step starts
	StepEnded         RecordKind = "stepped" // well or not
	CommandApplied    RecordKind = "word"    // an operator's command
)

// Describe is the record as operators read it.
func (r Record) Describe() string {
	at := time.UnixMilli(int64(r.At)).Format("15:04:05")
	switch r.Kind {
	case ControllerStarted:
		return fmt.Sprintf("%s  controller %d begins", at, r.FencingToken)
	case PositionChanged:
		return fmt.Sprintf("%s  %s, stage %d: %s", at, r.Position.Phase, r.Position.Stage+1,
			cmp.Or(r.Message, r.Position.Reason))
	case StepStarted:
		return fmt.Sprintf("%s  making %s %s", at, r.Gatherer, r.Target)
	case StepEnded:
		if r.Message != "" {
			return fmt.Sprintf("%s  %s could not be made %s: %s", at, r.Gatherer, r.Target, r.Message)
		}
		return fmt.Sprintf("%s  %s: its step to %s has ended", at, r.Gatherer, r.Target)
	}
	return fmt.Sprintf("%s  operator: %s", at, r.Command)
}

// ErrPlanChanged is a plan whose text is not the one that the rollout began with. What was done by the one
// can't be continued by the other.
var ErrPlanChanged = errors.New("has changed since this rollout began; put the old text back, " +
	"or end this rollout and begin another in a folder of its own")

// ErrRecord is a record that Replay can't take.
var ErrRecord = errors.New("a faulty record of a rollout's journal")

// Recovered is what a controller continues from.
type Recovered struct {
	Position        Position
	UnfinishedSteps []Record // started, with no end in the journal; in their order
	Command         string   // the operator's last one that was taken
}

// Replay reads a journal. A step that is recorded as started and not as ended may have been made, or not, or
// may still be running. Repeating it is harmless, leaving it out is not: the controller repeats it.
func Replay(planSum string, records []Record) (r Recovered, err error) {
	unfinished := map[string]int{} // index of the latest StepStarted by gatherer
	for i, record := range records {
		switch record.Kind {
		case ControllerStarted:
			if record.PlanSum != planSum {
				return r, ErrPlanChanged
			}
		case PositionChanged:
			if record.Position == nil {
				return r, fmt.Errorf("%w: record %d tells no position", ErrRecord, i+1)
			}
			r.Position = *record.Position
		case StepStarted:
			unfinished[record.Gatherer] = i
		case StepEnded:
			delete(unfinished, record.Gatherer)
		case CommandApplied:
			r.Command = record.Command
		default:
			return r, fmt.Errorf("%w: record %d is of the unknown kind %q", ErrRecord, i+1, record.Kind)
		}
	}
	for i, record := range records { // in the journal's order, not the map's
		if started, is := unfinished[record.Gatherer]; is && started == i {
			r.UnfinishedSteps = append(r.UnfinishedSteps, record)
		}
	}
	return r, nil
}
