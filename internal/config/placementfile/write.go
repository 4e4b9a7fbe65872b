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

// writer writes the lines of a placement file. Write errors are returned by Flush.
type writer struct {
	*bufio.Writer
	unit float64 // shard requests per second
}

func (w *writer) printf(format string, args ...any) { fmt.Fprintf(w, format, args...) }

// option writes an option of the current line if its value differs from the default.
func (w *writer) option(differs bool, name, value string) {
	if differs {
		w.printf(" %s %s", name, value)
	}
}

func (w *writer) rate(units int64) string { return FormatUnits(w.unit, units) }

// WriteModel writes a model as a placement file.
func WriteModel(to io.Writer, m *placement.Model) error {
	w := &writer{bufio.NewWriter(to), m.Unit}
	w.writeModel(m)
	return w.Flush()
}

// WritePlan writes a plan as a placement file that contains its model and its weights. For cases it writes only the
// rows that differ from the plan's own.
func WritePlan(to io.Writer, p *placement.Plan) error {
	w := &writer{bufio.NewWriter(to), p.Model.Unit}
	w.printf("# A plan, written by yokeroute plan solve. It reads as a placement file.\n")
	w.writeModel(p.Model)
	for i := range p.Steps {
		s := &p.Steps[i]
		w.printf("\n# greatest utilisation %s, cost %s a second\n", formatUtilisation(s.MaxUtilisation), formatCost(s.Cost))
		w.writeStep(s)
	}
	for i := range p.Cases {
		w.writeCase(&p.Cases[i])
	}
	for _, name := range p.OmittedCases {
		w.printf("\n# no time for the case %s\n", name)
	}
	return w.Flush()
}

func formatUtilisation(u placement.Ratio) string {
	return strconv.FormatFloat(u.Float()*100, 'f', 1, 64) + "%"
}

func formatCost(cost int64) string {
	return strconv.FormatFloat(float64(cost)/placement.CostUnits, 'f', -1, 64)
}

func (w *writer) writeModel(m *placement.Model) {
	w.printf("unit %s\nat %s\n", directive.FormatRate(m.Unit), directive.FormatTimestamp(m.At))
	if m.ClockSkew > 0 {
		w.printf("clocks %s\n", directive.FormatDuration(m.ClockSkew))
	}
	if m.Steps > 0 {
		w.printf("steps %d\n", m.Steps)
	}
	if m.MaxMoves >= 0 {
		w.printf("most-moved %d\n", m.MaxMoves)
	}
	for i := range m.Zones {
		w.writeZone(&m.Zones[i])
	}
	for _, c := range m.ZoneCosts {
		w.printf("crossing %s %s %s\n", c.From, c.To, formatCost(c.Cost))
	}
	for i := range m.Hosts {
		w.writeHost(&m.Hosts[i])
	}
	for i := range m.Segments {
		w.writeSegment(&m.Segments[i])
	}
	for _, d := range m.Demands {
		w.printf("demand %s %s %s\n", d.Segment, d.Zone, w.rate(d.Rate))
	}
}

func (w *writer) writeZone(z *placement.Zone) {
	w.printf("hall %s", z.Name)
	w.option(z.MaxLoad >= 0, "most", w.rate(z.MaxLoad))
	w.option(z.Headroom > 0, "spare", w.rate(z.Headroom))
	w.option(z.HeadroomShare > 0, "spare", directive.FormatShare(z.HeadroomShare))
	w.printf("\n")
}

func (w *writer) writeHost(h *placement.Host) {
	w.printf("host %s hall %s capacity %s", h.Name, h.Zone, w.rate(h.Capacity))
	w.option(h.Cost > 0, "cost", formatCost(h.Cost))
	w.option(h.MaxSegments > 0, "holds", strconv.Itoa(h.MaxSegments))
	w.option(h.State != gather.Running, "state", stateNames[h.State])
	w.option(h.StartedAt != 0, "started", directive.FormatTimestamp(h.StartedAt))
	w.option(h.WarmupTime > 0, "cold", directive.FormatShare(h.InitialCapacityShare))
	w.option(h.WarmupTime > 0, "warms", directive.FormatDuration(h.WarmupTime))
	w.printf("\n")
}

func (w *writer) writeSegment(s *placement.Segment) {
	w.printf("segment %s", s.Name)
	w.option(s.ReplicaSet >= 0, "group", strconv.Itoa(s.ReplicaSet))
	w.option(s.Replicas > 0, "replicas", strconv.Itoa(s.Replicas))
	if len(s.Hosts) > 0 {
		w.printf(" on")
		w.writeNames(s.Hosts)
	}
	w.printf("\n")
}

func (w *writer) writeNames(names []string) {
	for _, name := range names {
		w.printf(" %s", name)
	}
}

func (w *writer) writeCase(c *placement.Case) {
	w.printf("\ncase %s lost", directive.Quote(c.Name))
	w.writeNames(c.LostHosts)
	if c.Infeasibility != nil {
		w.printf(" short %s", w.rate(c.Infeasibility.Shortfall))
	}
	w.printf("\n")
	for i := range c.Steps {
		s := &c.Steps[i]
		w.printf("# greatest utilisation %s\n", formatUtilisation(s.MaxUtilisation))
		w.writeStep(s)
	}
}

func (w *writer) writeStep(s *placement.Step) {
	w.printf("step %s\n", directive.FormatTimestamp(s.From))
	for _, row := range s.Rows {
		if len(row.Weights) == 0 {
			continue
		}
		w.printf("weights %s %s", row.Segment, row.Zone)
		for _, weight := range row.Weights {
			w.printf(" %s=%s", weight.Host, w.rate(weight.Rate))
		}
		w.printf("\n")
	}
}
