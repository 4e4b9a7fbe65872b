// Package report is what a gatherer tells of itself, to operators and to whoever changes a fleet in stages: which
// program and which files it serves by, and what became of its lookups. It is one JSON document with a format number,
// and the same counts for Prometheus. Nothing of it is on a lookup's way but counting.
package report

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yokeroute/logic/rollout"
)

// Form is the first word of every report. A reader refuses another one; it skips words that it doesn't know, so that a
// later version may add some under the same number.
const Form = "yokeroute report 1"

// MostBytes bounds a report, against reading without end from what is no gatherer.
const MostBytes = 4 << 20

// Document is a report. Times are Unix milliseconds, spans milliseconds. All counts are those since the mark that was
// asked for, or since the process started where that mark is not known; gauges are of now.
type Document struct {
	Form    string            `json:"report"`
	Name    string            `json:"name"`
	Zone    string            `json:"zone,omitempty"`
	Version string            `json:"version"`
	Program string            `json:"program"` // fingerprint of the program's file
	Files   map[string]string `json:"files"`   // fingerprints of the files in force: config, operator, plan, placement, segments
	Formats map[string]int    `json:"formats"` // numbers of the formats that this version writes
	Process string            `json:"process"` // another one with each start
	Started float64           `json:"started"`
	At      float64           `json:"at"`
	Mark    string            `json:"mark,omitempty"`   // to ask with the next time, where it was asked with one
	Since   string            `json:"since,omitempty"`  // the mark that the counts are from; empty for the process' start
	Span    float64           `json:"span"`             // for which they are
	Ready   bool              `json:"ready"`            // it has a list and takes lookups
	Leaving bool              `json:"leaving"`          // it was asked to end
	Claim   *rollout.Claim    `json:"claim,omitempty"`  // who changes it now
	Policy  any               `json:"policy,omitempty"` // of the operators, as far as the gatherer is with it

	Indexes     map[string]*Index `json:"indexes"`
	Opened      int64             `json:"opened"`      // connections to shard servers that were opened
	CPU         float64           `json:"cpu"`         // milliseconds of a core
	Connections int               `json:"connections"` // gauges: to shard servers, open now
	Servers     int               `json:"servers"`     // on the list, running
	Draining    int               `json:"draining"`    // on the list, draining
	Memory      float64           `json:"memory"`      // bytes, resident
	Goroutines  int               `json:"goroutines"`
}

// Index is what became of the lookups of one index, and of their part calls.
type Index struct {
	Ended     int64            `json:"ended"`
	Satisfied int64            `json:"satisfied"` // whole
	Partial   int64            `json:"partial"`
	Nacked    int64            `json:"nacked"`
	Aborted   int64            `json:"aborted"`
	Broken    int64            `json:"broken"` // the decisions failed while they held it
	Left      int64            `json:"left"`   // its client had gone
	InAim     int64            `json:"in_aim"` // satisfied, whole or not, by the soft deadline
	Value     float64          `json:"value"`  // of each lookup the share of its gain that it earned, from 0 to 1, summed up
	Parts     int64            `json:"parts"`  // that the lookups had
	Calls     int64            `json:"calls"`  // part calls whose bytes went
	Further   int64            `json:"further"`
	Waited    float64          `json:"waited"` // milliseconds for which part calls were out
	Outcomes  map[string]int64 `json:"outcomes"`
	Took      Histogram        `json:"took"` // of satisfied lookups
}

// Histogram is latencies in tenths of a millisecond, from 0.1 ms to a minute, to two digits.
type Histogram struct{ *hdrhistogram.Histogram }

// Bounds of histograms, in tenths of a millisecond.
const (
	unit  = 0.1
	lower = 1
	upper = 600_000
)

// NewHistogram is one of nothing.
func NewHistogram() Histogram { return Histogram{hdrhistogram.New(lower, upper, 2)} }

// Add records one latency in milliseconds.
func (h Histogram) Add(ms float64) {
	h.RecordValue(int64(min(max(math.Round(ms/unit), lower), upper))) // within its bounds: no error
}

// Quantile is a quantile in milliseconds, 0 where there is nothing.
func (h Histogram) Quantile(q float64) float64 {
	if h.Histogram == nil || h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(100*q)) * unit
}

// MarshalJSON writes the bars that hold anything, as pairs of a latency in tenths of a millisecond and a count. The
// library's own compressed form has the sender say how much memory its reader takes.
func (h Histogram) MarshalJSON() ([]byte, error) {
	bars := []int64{}
	if h.Histogram != nil {
		for _, bar := range h.Distribution() {
			if bar.Count > 0 {
				bars = append(bars, bar.From, bar.Count)
			}
		}
	}
	return json.Marshal(bars)
}

// UnmarshalJSON reads it.
func (h *Histogram) UnmarshalJSON(text []byte) error {
	*h = NewHistogram()
	var bars []int64
	if err := json.Unmarshal(text, &bars); err != nil {
		return err
	}
	if len(bars)%2 != 0 {
		return fmt.Errorf("a histogram of %d numbers, which are no pairs", len(bars))
	}
	for i := 0; i < len(bars); i += 2 {
		if bars[i] < 0 || bars[i] > upper || bars[i+1] < 0 || bars[i+1] > math.MaxInt64/2-h.TotalCount() {
			return fmt.Errorf("a histogram with %d at %d tenths of a millisecond", bars[i+1], bars[i])
		}
		if err := h.RecordValues(bars[i], bars[i+1]); err != nil {
			return fmt.Errorf("a histogram: %w", err)
		}
	}
	return nil
}

// ErrForm is a document of another form.
var ErrForm = errors.New("another form of report")

// Read reads a report. What it refuses changes nothing: an error says what is wrong, and names the gatherer where the
// document does.
func Read(from io.Reader) (*Document, error) {
	text, err := io.ReadAll(io.LimitReader(from, MostBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > MostBytes {
		return nil, fmt.Errorf("a report of more than %d MB", MostBytes>>20)
	}
	var head struct {
		Form string `json:"report"`
		Name string `json:"name"`
	}
	if err := json.Unmarshal(text, &head); err != nil {
		return nil, fmt.Errorf("no report: %w", err)
	}
	if head.Form != Form {
		return nil, fmt.Errorf("%w: %.40q of %.80q, this reader knows %q", ErrForm, head.Form, head.Name, Form)
	}
	d := &Document{}
	if err := json.Unmarshal(text, d); err != nil {
		return nil, fmt.Errorf("report of %.80q: %w", head.Name, err)
	}
	return d, d.check()
}

// check refuses figures that no gatherer can have, against a sum that is poisoned by one of them.
func (d *Document) check() error {
	wrong := func(what string, value any) error {
		return fmt.Errorf("report of %.80q: %s is %v", d.Name, what, value)
	}
	fine := func(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
	switch {
	case d.Name == "":
		return errors.New("a report without a name")
	case d.Process == "":
		return wrong("process", "missing")
	case !fine(d.Span) || !fine(d.At) || !fine(d.Memory) || !fine(d.CPU) || d.Connections < 0 || d.Opened < 0:
		return wrong("a time or gauge", "below 0 or no number")
	case len(d.Indexes) > 1000:
		return wrong("the number of indexes", len(d.Indexes))
	}
	for _, name := range slices.Sorted(maps.Keys(d.Indexes)) {
		ix := d.Indexes[name]
		if ix == nil {
			return wrong("index "+name, "null")
		}
		for _, n := range []int64{ix.Ended, ix.Satisfied, ix.Partial, ix.Nacked, ix.Aborted, ix.Broken, ix.Left, ix.InAim, ix.Parts, ix.Calls, ix.Further} {
			if n < 0 {
				return wrong("a count of index "+name, n)
			}
		}
		if !fine(ix.Value) || !fine(ix.Waited) || ix.Value > float64(ix.Ended)+1e-6 {
			return wrong("the value or time of index "+name, ix.Value)
		}
		if ix.Took.Histogram == nil {
			ix.Took = NewHistogram()
		}
	}
	return nil
}
