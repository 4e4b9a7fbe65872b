package placement

import (
	"math"
	"slices"

	"yokeroute/gather"
)

// Ratio is a utilisation: load over capacity. The zero ratio is that of an idle host.
type Ratio struct {
	Load     int64 `json:"Load"`
	Capacity int64 `json:"Capacity"`
}

// MaxLoad returns the greatest load of a host of that capacity at the ratio, rounded down.
func (r Ratio) MaxLoad(capacity int64) int64 {
	if r.Capacity == 0 {
		return 0
	}
	return capacity * r.Load / r.Capacity
}

// Float returns the ratio as a number.
func (r Ratio) Float() float64 {
	if r.Load == 0 {
		return 0
	}
	return float64(r.Load) / float64(r.Capacity)
}

// Less compares without rounding.
func (r Ratio) Less(o Ratio) bool {
	return r.Load*max(o.Capacity, 1) < o.Load*max(r.Capacity, 1)
}

// Weight is what a host gets of a row, in units.
type Weight struct {
	Host string `json:"Host"`
	Rate int64  `json:"Rate"`
}

// Row distributes the demand of a zone's gatherers for one segment. It has a weight for each host that holds
// the segment, in the order of their names. A host of weight zero gets no turns while others are there.
type Row struct {
	Segment    string   `json:"Segment"`
	Zone       string   `json:"Hall"`
	ReplicaSet int      `json:"Group"`
	Weights    []Weight `json:"Weights"`
}

// Plan is weights with the times from which they hold, and those for losses of hosts, worked out before they
// are needed.
type Plan struct {
	Model        *Model   `json:"Model"` // normalized
	Steps        []Step   `json:"Steps"` // by time; the first holds from the model's At, and before it too
	Cases        []Case   `json:"Cases"`
	OmittedCases []string `json:"Left"` // names of those for which there was no time
}

// Step is one set of weights.
type Step struct {
	From           float64 `json:"From"`
	Rows           []Row   `json:"Rows"`
	MaxUtilisation Ratio   `json:"Greatest"`
	Cost           int64   `json:"Cost"`   // thousandths a second
	Change         int64   `json:"Change"` // units that differ from what was in force before
}

// Case is what holds when some hosts are lost. Its steps are safe from their times on. They hold only the
// rows that differ from the plan's own at that time, as there may be a thousand cases of a thousand rows
// each; CaseRows returns all of them.
type Case struct {
	Name      string   `json:"Name"`
	LostHosts []string `json:"Lost"`
	Steps     []Step   `json:"Steps"`
	// Infeasibility is set where the hosts that remain cannot take all demand. The weights then fill them
	// beyond their capacity.
	Infeasibility *Infeasibility `json:"Clash"`
	// UnservedSegments are segments with demand of which no host remains. They have no weights.
	UnservedSegments []string `json:"Dark"`
}

// StepTimes returns the times at which weights may change: the model's own, those at which hosts start, and
// those that divide the time until the last host is warm into the model's number of steps. What is safe at
// one time is safe until the next one, since capacity only rises.
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
		// In whole milliseconds, so that a plan reads back as it was written.
		times = append(times, math.Ceil(m.At+(warmAt-m.At)*float64(i)/float64(steps)))
	}
	slices.Sort(times)
	return slices.Compact(times)
}

// CaseRows returns all rows of a case at a moment: its own, and the plan's where it has none.
func (p *Plan) CaseRows(c *Case, at float64) []Row {
	step := stepAt(c.Steps, at)
	// The plan's rows of the moment may need more capacity than the case leaves.
	rows := slices.Clone(p.RowsAt(step.From))
	own := step.Rows
	for i := range rows { // both are in the order of segments and zones
		if len(own) > 0 && own[0].Segment == rows[i].Segment && own[0].Zone == rows[i].Zone {
			rows[i] = own[0]
			own = own[1:]
		}
	}
	return rows
}

// RowsAt returns the weights that hold at a moment if no host is lost.
func (p *Plan) RowsAt(at float64) []Row { return stepAt(p.Steps, at).Rows }

// stepAt returns the last step that has begun, or else the first.
func stepAt(steps []Step, at float64) *Step {
	i := 0
	for i+1 < len(steps) && steps[i+1].From <= at {
		i++
	}
	return &steps[i]
}
