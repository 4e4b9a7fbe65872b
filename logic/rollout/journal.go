package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// RecordFormat is the format number of a journal's records. A reader that knows only lower numbers rejects
// them.
const RecordFormat = 1

// Record is an entry of a rollout's journal.
type Record struct {
	Format       int        `json:"f"`
	At           float64    `json:"t"` // Unix milliseconds
	Kind         RecordKind `json:"k"`
	PlanSum      string     `json:"plan,omitempty"`  // fingerprint of the plan that the controller runs
	FencingToken uint64     `json:"fence,omitempty"` // of the controller
	Position     *Position  `json:"at,omitempty"`
	Gatherer     string     `json:"g,omitempty"`
	Target       Variant    `json:"to,omitempty"` // variant that the step changes the gatherer to
	Message      string     `json:"err,omitempty"`
	Command      string     `json:"word,omitempty"` // the operator's command, with its stamp
}

// RecordKind is the kind of event that a record describes.
type RecordKind string

// The kinds of records, by the names that journals store.
const (
	ControllerStarted RecordKind = "begin"
	PositionChanged   RecordKind = "at"
	StepStarted       RecordKind = "step"    // written before the step starts
	StepEnded         RecordKind = "stepped" // successfully or not
	CommandApplied    RecordKind = "word"    // an operator's command
)

// Describe returns the record as a line for operators.
func (r Record) Describe() string {
	timeOfDay := time.UnixMilli(int64(r.At)).Format("15:04:05")
	switch r.Kind {
	case ControllerStarted:
		return fmt.Sprintf("%s  controller %d begins", timeOfDay, r.FencingToken)
	case PositionChanged:
		return fmt.Sprintf("%s  %s, stage %d: %s", timeOfDay, r.Position.Phase, r.Position.Stage+1,
			cmp.Or(r.Message, r.Position.Reason))
	case StepStarted:
		return fmt.Sprintf("%s  making %s %s", timeOfDay, r.Gatherer, r.Target)
	case StepEnded:
		if r.Message != "" {
			return fmt.Sprintf("%s  %s could not be made %s: %s", timeOfDay, r.Gatherer, r.Target, r.Message)
		}
		return fmt.Sprintf("%s  %s: its step to %s has ended", timeOfDay, r.Gatherer, r.Target)
	}
	return fmt.Sprintf("%s  operator: %s", timeOfDay, r.Command)
}

// ErrPlanChanged reports a plan whose text differs from the one that the rollout began with. A rollout that
// was begun by one plan can't be continued by another.
var ErrPlanChanged = errors.New("has changed since this rollout began; restore the old text, " +
	"or end this rollout and start another one in a separate folder")

// ErrRecord reports a journal record that Replay can't process.
var ErrRecord = errors.New("invalid record in a rollout's journal")

// Recovered is the state that a restarted controller continues from.
type Recovered struct {
	Position        Position
	UnfinishedSteps []Record // steps that the journal has a start of and no end, in the order of their start
	Command         string   // the last operator command that was applied
}

// Replay returns the state that a journal's records describe. A step that is recorded as started but not as
// ended may have completed, never have run, or still be running. Repeating it is harmless while omitting it
// is not, so the controller repeats it.
func Replay(planSum string, records []Record) (r Recovered, err error) {
	unfinished := map[string]int{} // by gatherer: index of its latest StepStarted
	for i, record := range records {
		switch record.Kind {
		case ControllerStarted:
			if record.PlanSum != planSum {
				return r, ErrPlanChanged
			}
		case PositionChanged:
			if record.Position == nil {
				return r, fmt.Errorf("%w: record %d has no position", ErrRecord, i+1)
			}
			r.Position = *record.Position
		case StepStarted:
			unfinished[record.Gatherer] = i
		case StepEnded:
			delete(unfinished, record.Gatherer)
		case CommandApplied:
			r.Command = record.Command
		default:
			return r, fmt.Errorf("%w: record %d has the unknown kind %q", ErrRecord, i+1, record.Kind)
		}
	}
	for i, record := range records { // iterates over records, not the map, to keep the journal's order
		if started, found := unfinished[record.Gatherer]; found && started == i {
			r.UnfinishedSteps = append(r.UnfinishedSteps, record)
		}
	}
	return r, nil
}
