package processtest

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Ending is how a try ended, as its client saw it.
type Ending string

// The endings of tries.
const (
	Satisfied Ending = "satisfied"
	Partial   Ending = "partial" // satisfied, not whole
	Nacked    Ending = "nacked"
	Failed    Ending = "failed" // aborted, or any other answer
	Late      Ending = "late"   // answered after the client's time, and no later than lateAnswerTime behind it
	Lost      Ending = "lost"   // the connection broke, or no answer came in time or lateAnswerTime behind it
	Left      Ending = "left"   // its client has gone
	Refused   Ending = "unreached"
)

// Try is one try of an operation.
type Try struct {
	Name      string // OPERATION-NUMBER
	Index     string
	StartedAt time.Time
	Took      time.Duration
	Ending    Ending
	Value     float64 // earned: of the operation's gain, by the terms of its index
}

const (
	maxTookMicroseconds = 60_000_000
	tookDigits          = 2
)

// Tally is what tries came to.
type Tally struct {
	Operations, Tries int
	Endings           map[Ending]int
	Value, Asked      float64                 // of operations: earned, and what all could have earned
	Took              *hdrhistogram.Histogram `json:"-"` // microseconds of satisfied tries
}

func newTally() *Tally {
	return &Tally{Endings: map[Ending]int{}, Took: hdrhistogram.New(1, maxTookMicroseconds, tookDigits)}
}

// add counts a try.
func (t *Tally) add(try *Try) {
	t.Tries++
	t.Endings[try.Ending]++
	if try.Ending == Satisfied || try.Ending == Partial {
		_ = t.Took.RecordValue(try.Took.Microseconds()) // one above the histogram's range is not satisfied
	}
}

// unanswered counts the tries that got no answer in time.
func (t *Tally) unanswered() int { return t.Endings[Failed] + t.Endings[Late] + t.Endings[Lost] }

// Tallies are tallies by index.
type Tallies map[string]*Tally

// Of is the tally of an index.
func (t Tallies) Of(index string) *Tally {
	if t[index] == nil {
		t[index] = newTally()
	}
	return t[index]
}

// Sum is all of them together.
func (t Tallies) Sum() *Tally {
	all := newTally()
	for _, index := range slices.Sorted(maps.Keys(t)) {
		one := t[index]
		all.Operations += one.Operations
		all.Tries += one.Tries
		all.Value += one.Value
		all.Asked += one.Asked
		all.Took.Merge(one.Took)
		for ending, count := range one.Endings {
			all.Endings[ending] += count
		}
	}
	return all
}

// Series is what operations earned by the second in which they were first asked.
type Series struct{ Asked, Earned []float64 }

func (s *Series) add(second int, asked, earned float64) {
	for len(s.Asked) <= second {
		s.Asked = append(s.Asked, 0)
		s.Earned = append(s.Earned, 0)
	}
	s.Asked[second] += asked
	s.Earned[second] += earned
}

// Operation is the operation that a lookup's name is a try of.
func Operation(name string) string {
	if dash := strings.LastIndexByte(name, '-'); dash >= 0 {
		return name[:dash]
	}
	return name
}
