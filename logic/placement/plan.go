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

// MaxLoad is the most load that the ratio leaves to a capacity, rounded down.
func (r Ratio) MaxLoad(capacity int64) int64 {
	if r.Capacity == 0 {
		return 0
	}
	return capacity * r.Load / r.Capacity
}

// Float is the ratio as a number.
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

// Row shares out what gatherers of one hall ask of one segment. Its weights go by the names of all hosts that
// hold the segment; zeroes are meant: such a host gets no turns while others are there.
type Row struct {
	Segment    string   `json:"Segment"`
	Zone       string   `json:"Hall"`
	ReplicaSet int      `json:"Group"`
	Weights    []Weight `json:"Weights"`
}

// Plan is weights with the times from which they hold, and those for losses, worked out before they are
// needed.
type Plan struct {
	Model        *Model   `json:"Model"` // normal
	Steps        []Step   `json:"Steps"` // by time; the first holds from the model's At, and before it too
	Cases        []Case   `json:"Cases"`
	OmittedCases []string `json:"Left"` // cases for which there was no time
}

// Step is one set of weights.
type Step struct {
	From           float64 `json:"From"`
	Rows           []Row   `json:"Rows"`
	MaxUtilisation Ratio   `json:"Greatest"`
	Cost           int64   `json:"Cost"`   // thousandths a second
	Change         int64   `json:"Change"` // units against what was in force before
}

// Case is what holds when some hosts are lost. Its steps are safe from their times on. They hold only the
// rows that differ from the plan's own at that time, against a thousand cases of a thousand rows each; RowsOf
// has them all.
type Case struct {
	Name      string   `json:"Name"`
	LostHosts []string `json:"Lost"`
	Steps     []Step   `json:"Steps"`
	// Where what is left cannot take all demand; the weights then fill hosts beyond what they can do.
	Infeasibility    *Infeasibility `json:"Clash"`
	UnservedSegments []string       `json:"Dark"` // segments asked for that no host is left to answer for; they have no weights
}

// StepTimes are the times at which weights may change: the model's own, and while hosts warm up so many steps
// to the moment at which the last one is warm. What is safe at one is safe until the next, since it only
// rises.
func (m *Model) StepTimes() []float64 {
	last := m.At
	times := []float64{m.At}
	for i := range m.Hosts {
		h := &m.Hosts[i]
		if h.State != gather.Running || h.StartedAt == 0 || h.Capacity == 0 {
			continue
		}
		if starts := h.StartedAt + m.ClockSkew; starts > m.At {
			times = append(times, starts)
		}
		last = max(last, h.StartedAt+h.WarmupTime+m.ClockSkew)
	}
	for i, steps := 1, max(m.Steps, 1); i <= steps && last > m.At; i++ {
		// Rounded up to a millisecond, so that a plan reads back as it was written.
		times = append(times, math.Ceil(m.At+(last-m.At)*float64(i)/float64(steps)))
	}
	slices.Sort(times)
	return slices.Compact(times)
}

// CaseRows are all rows of a case at a moment: its own, and the plan's where it has none.
func (p *Plan) CaseRows(c *Case, at float64) []Row {
	step := stepAt(c.Steps, at)
	// Not the plan's rows of now: they may ask for more.
	rows, own := slices.Clone(p.RowsAt(step.From)), step.Rows
	for i := range rows { // both go by segment and hall
		if len(own) > 0 && own[0].Segment == rows[i].Segment && own[0].Zone == rows[i].Zone {
			rows[i], own = own[0], own[1:]
		}
	}
	return rows
}

// RowsAt are the weights that hold at a moment, losses aside.
func (p *Plan) RowsAt(at float64) []Row { return stepAt(p.Steps, at).Rows }

// stepAt is the last step that has begun, or the first.
func stepAt(steps []Step, at float64) *Step {
	i := 0
	for i+1 < len(steps) && steps[i+1].From <= at {
		i++
	}
	return &steps[i]
}

// Violations gives all that is wrong with a plan's weights by its own model: hosts that hold no such segment,
// demand that is not shared out whole, and hosts or halls that get more than they can take at any moment from
// a step's beginning on. Of cases only those that fit are held to the limits.
func (p *Plan) Violations() []error {
	var wrong []error
	for i := range p.Steps {
		wrong = append(wrong, p.stepViolations("", &p.Steps[i], nil, true)...)
	}
	for i := range p.Cases {
		c := &p.Cases[i]
		for j := range c.Steps {
			whole := c.Steps[j]
			whole.Rows = p.CaseRows(c, whole.From)
			wrong = append(wrong, p.stepViolations("case "+c.Name+": ", &whole, c.LostHosts, c.Infeasibility == nil)...)
		}
	}
	return wrong
}
