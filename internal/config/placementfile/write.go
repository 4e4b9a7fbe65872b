package placementfile

import (
	"bufio"
	"fmt"
	"io"
	"strconv"

	"yokeroute/gather"
	"yokeroute/internal/config/directive"
	"yokeroute/logic/placement"
)

// WriteModel writes a model as a placement file.
func WriteModel(to io.Writer, m *placement.Model) error {
	w := bufio.NewWriter(to)
	writeModel(w, m)
	return w.Flush()
}

// WritePlan writes a plan as a placement file that holds its model, its weights, and of its cases the rows that
// differ from the plan's own.
func WritePlan(to io.Writer, p *placement.Plan) error {
	w := bufio.NewWriter(to)
	m := p.Model
	fmt.Fprintf(w, "# A plan, written by yokeroute plan solve. It reads as a placement file.\n")
	writeModel(w, m)
	for i := range p.Steps {
		s := &p.Steps[i]
		fmt.Fprintf(w, "\n# greatest utilisation %s, cost %s a second\nstep %s\n", percent(s.Greatest), formatCost(s.Cost), directive.FormatTimestamp(s.From))
		writeRows(w, m, s.Rows)
	}
	for i := range p.Cases {
		c := &p.Cases[i]
		fmt.Fprintf(w, "\ncase %s lost", directive.Quote(c.Name))
		for _, h := range c.Lost {
			fmt.Fprintf(w, " %s", h)
		}
		if c.Clash != nil {
			fmt.Fprintf(w, " short %s", FormatUnits(m.Unit, c.Clash.Short))
		}
		fmt.Fprintln(w)
		for j := range c.Steps {
			s := &c.Steps[j]
			fmt.Fprintf(w, "# greatest utilisation %s\nstep %s\n", percent(s.Greatest), directive.FormatTimestamp(s.From))
			writeRows(w, m, s.Rows)
		}
	}
	for _, name := range p.Left {
		fmt.Fprintf(w, "\n# no time for the case %s\n", name)
	}
	return w.Flush()
}

func percent(u placement.Ratio) string { return strconv.FormatFloat(u.Float()*100, 'f', 1, 64) + "%" }

func formatCost(cost int64) string {
	return strconv.FormatFloat(float64(cost)/1000, 'f', -1, 64)
}

func writeModel(w *bufio.Writer, m *placement.Model) {
	fmt.Fprintf(w, "unit %s\nat %s\n", directive.FormatRate(m.Unit), directive.FormatTimestamp(m.At))
	if m.Clocks > 0 {
		fmt.Fprintf(w, "clocks %s\n", directive.FormatDuration(m.Clocks))
	}
	if m.Steps > 0 {
		fmt.Fprintf(w, "steps %d\n", m.Steps)
	}
	if m.Copies >= 0 {
		fmt.Fprintf(w, "most-moved %d\n", m.Copies)
	}
	rate := func(units int64) string { return FormatUnits(m.Unit, units) }
	for _, h := range m.Halls {
		fmt.Fprintf(w, "hall %s", h.Name)
		if h.Most >= 0 {
			fmt.Fprintf(w, " most %s", rate(h.Most))
		}
		if h.Spare > 0 {
			fmt.Fprintf(w, " spare %s", rate(h.Spare))
		}
		if h.SpareShare > 0 {
			fmt.Fprintf(w, " spare %s", directive.FormatShare(h.SpareShare))
		}
		fmt.Fprintln(w)
	}
	for _, c := range m.Crossings {
		fmt.Fprintf(w, "crossing %s %s %s\n", c.From, c.To, formatCost(c.Cost))
	}
	for _, h := range m.Hosts {
		fmt.Fprintf(w, "host %s hall %s capacity %s", h.Name, h.Hall, rate(h.Capacity))
		if h.Cost > 0 {
			fmt.Fprintf(w, " cost %s", formatCost(h.Cost))
		}
		if h.Holds > 0 {
			fmt.Fprintf(w, " holds %d", h.Holds)
		}
		if h.State != gather.Running {
			fmt.Fprintf(w, " state %s", stateNames[h.State])
		}
		if h.Started != 0 {
			fmt.Fprintf(w, " started %s", directive.FormatTimestamp(h.Started))
		}
		if h.Warming > 0 {
			fmt.Fprintf(w, " cold %s warms %s", directive.FormatShare(h.ColdShare), directive.FormatDuration(h.Warming))
		}
		fmt.Fprintln(w)
	}
	for _, s := range m.Segments {
		fmt.Fprintf(w, "segment %s", s.Name)
		if s.Group >= 0 {
			fmt.Fprintf(w, " group %d", s.Group)
		}
		if s.Replicas > 0 {
			fmt.Fprintf(w, " replicas %d", s.Replicas)
		}
		if len(s.On) > 0 {
			fmt.Fprintf(w, " on")
			for _, h := range s.On {
				fmt.Fprintf(w, " %s", h)
			}
		}
		fmt.Fprintln(w)
	}
	for _, d := range m.Demands {
		fmt.Fprintf(w, "demand %s %s %s\n", d.Segment, d.Hall, rate(d.Rate))
	}
}

func writeRows(w *bufio.Writer, m *placement.Model, rows []placement.Row) {
	for _, r := range rows {
		if len(r.Weights) == 0 {
			continue
		}
		fmt.Fprintf(w, "weights %s %s", r.Segment, r.Hall)
		for _, weight := range r.Weights {
			fmt.Fprintf(w, " %s=%s", weight.Host, FormatUnits(m.Unit, weight.Rate))
		}
		fmt.Fprintln(w)
	}
}
