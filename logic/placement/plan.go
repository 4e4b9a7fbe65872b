package placement

import (
	"math"
	"slices"

	"yokeroute/gather"
)

// Ratio is a utilisation: load over capacity. The zero value is the utilisation of an idle host.
type Ratio struct {
	Load     int64 `json:"Load"`
	Capacity int64 `json:"Capacity"`
}

// MaxLoad returns the load of a host of the given capacity at the ratio, rounded down.
func (r Ratio) MaxLoad(capacity int64) int64 {
	if r.Capacity == 0 {
		return 0
	}
	return capacity * r.Load / r.Capacity
}

// Float returns the ratio as a floating-point number.
func (r Ratio) Float() float64 {
	if r.Load == 0 {
		return 0
	}
	return float64(r.Load) / float64(r.Capacity)
}

// Less reports whether r is less than o. It compares exactly, without rounding.
func (r Ratio) Less(o Ratio) bool {
	return r.Load*max(o.Capacity, 1) < o.Load*max(r.Capacity, 1)
}

// Weight is the part of a row's demand that is assigned to a host, in units.
type Weight struct {
	Host string `json:"Host"`
	Rate int64  `json:"Rate"`
}

// Row distributes the demand of a zone's gatherers for one segment. It has a weight for each host that holds
// the segment, sorted by host name. A host with weight zero gets no shard requests while others are
// available.
type Row struct {
	Segment    string   `json:"Segment"`
	Zone       string   `json:"Hall"`
	ReplicaSet int      `json:"Group"`
	Weights    []Weight `json:"Weights"`
}

// Plan holds weights with the times from which they are in effect, and precomputed weights for the loss of
// hosts. The first step starts at the model's At.
type Plan struct {
	Model        *Model   `json:"Model"` // normalized
	Steps        []Step   `json:"Steps"` // sorted by time; the first one also applies before its time
	Cases        []Case   `json:"Cases"`
	OmittedCases []string `json:"Left"` // names of cases that were not computed for lack of time
}

// Step is a set of weights that is in effect from a time on.
type Step struct {
	From           float64 `json:"From"`
	Rows           []Row   `json:"Rows"`
	MaxUtilisation Ratio   `json:"Greatest"`
	Cost           int64   `json:"Cost"`   // thousandths per second
	Change         int64   `json:"Change"` // units that differ from the weights that were in force before
}

// Case holds the weights for the loss of some hosts. Each step is safe from its time on. Steps contain only
// the rows that differ from the plan's own rows at that time, since a plan may have a thousand cases of a
// thousand rows each. CaseRows returns all rows.
type Case struct {
	Name      string   `json:"Name"`
	LostHosts []string `json:"Lost"`
	Steps     []Step   `json:"Steps"`
	// Infeasibility is set if the remaining hosts do not have the capacity for all demand. The weights then
	// fill them beyond their capacity.
	Infeasibility *Infeasibility `json:"Clash"`
	// UnservedSegments lists the segments with demand for which no host with capacity remains. They have no
	// weights.
	UnservedSegments []string `json:"Dark"`
}

// StepTimes returns the times at which weights may change: the model's At, the times at which hosts start,
// and the times that divide the period until the last host is warm into the model's number of steps. Weights
// that are safe at one time stay safe until the next one, since capacity only rises.
func (m *Model) StepTimes() []float64 {
	warmAt := m.At
	times := []float64{m.At}
	for i := range m.Hosts {
		h := &m.Hosts[i]
		if h.State != gather.Running || h.StartedAt == 0 || h.Capacity == 0 {
			continue
		}
		if startsAt := h.StartedAt + m.ClockSkew; startsAt > m.At {
			times = append(times, startsAt)
		}
		warmAt = max(warmAt, h.StartedAt+h.WarmupTime+m.ClockSkew)
	}
	steps := max(m.Steps, 1)
	for i := 1; i <= steps && warmAt > m.At; i++ {
		// Whole milliseconds, so that a plan that is written and read back is unchanged.
		times = append(times, math.Ceil(m.At+(warmAt-m.At)*float64(i)/float64(steps)))
	}
	slices.Sort(times)
	return slices.Compact(times)
}

// CaseRows returns all rows of a case at a moment: its own rows, and the plan's rows where it has none.
func (p *Plan) CaseRows(c *Case, at float64) []Row {
	step := stepAt(c.Steps, at)
	// The plan's rows are those at the start of the case's step, since later rows of the plan may need more
	// capacity than the step of the case assumes.
	rows := slices.Clone(p.RowsAt(step.From))
	caseRows := step.Rows
	for i := range rows { // both slices are sorted by segment and zone
		if len(caseRows) > 0 && caseRows[0].Segment == rows[i].Segment && caseRows[0].Zone == rows[i].Zone {
			rows[i] = caseRows[0]
			caseRows = caseRows[1:]
		}
	}
	return rows
}

// RowsAt returns the weights in effect at a moment if no host is lost.
func (p *Plan) RowsAt(at float64) []Row { return stepAt(p.Steps, at).Rows }

// stepAt returns the last step that has begun at a moment, or the first step if none has.
func stepAt(steps []Step, at float64) *Step {
	i := 0
	for i+1 < len(steps) && steps[i+1].From <= at {
		i++
	}
	return &steps[i]
}
