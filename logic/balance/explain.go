package balance

import (
	"fmt"
	"slices"

	"yokeroute/gather"
	"yokeroute/logic/placement"
)

// HostLine is what a plan gives a host and why.
type HostLine struct {
	Name     string  `json:"Name"`
	Hall     string  `json:"Hall"`
	Capacity int64   `json:"Capacity"` // when warm
	Can      int64   `json:"Can"`      // units, at the moment
	Load     int64   `json:"Load"`     // units, at the moment
	Use      float64 `json:"Use"`
	Why      string  `json:"Why"`
}

// HallLine is what a plan gives a hall.
type HallLine struct {
	Name     string `json:"Name"`
	Can      int64  `json:"Can"`
	Load     int64  `json:"Load"`
	Most     int64  `json:"Most"` // -1 for any
	Binds    bool   `json:"Binds"`
	Own      int64  `json:"Own"`      // units that its own gatherers ask for
	Crossing int64  `json:"Crossing"` // units that come from other halls' gatherers
}

// Report explains a plan's weights at a moment, or those of a case.
type Report struct {
	At       float64         `json:"At"`
	Case     string          `json:"Case"`
	Greatest placement.Ratio `json:"Greatest"`
	Cost     int64           `json:"Cost"`     // thousandths a second
	Crossing int64           `json:"Crossing"` // units that cross halls
	Asked    int64           `json:"Asked"`
	Hosts    []HostLine      `json:"Hosts"`
	Halls    []HallLine      `json:"Halls"`
	// Bottleneck is why the greatest utilisation cannot be less; nil where nothing is asked for.
	Bottleneck *placement.Infeasibility `json:"Bottleneck"`
	Dark       []string                 `json:"Dark"`
}

// Explain tells why each host has its weight. Name is that of a case, empty for the plan's own weights.
func Explain(plan *placement.Plan, at float64, name string) (*Report, error) {
	rows, lost := plan.RowsAt(at), make([]bool, len(plan.Model.Hosts))
	r := &Report{At: at, Case: name}
	if name != "" {
		i := slices.IndexFunc(plan.Cases, func(c placement.Case) bool { return c.Name == name })
		if i < 0 {
			return nil, fmt.Errorf("the plan has no case %q", name)
		}
		c := &plan.Cases[i]
		rows, r.Dark = plan.CaseRows(c, at), c.UnservedSegments
		for j, h := range plan.Model.Hosts {
			lost[j] = slices.Contains(c.LostHosts, h.Name)
		}
	}
	p := NewProblem(plan.Model)
	p.Set(at, lost)
	units := p.Units(rows)
	loads := p.Loads(units)
	r.Greatest, r.Cost, r.Asked = p.Greatest(loads), p.cost(units), p.total
	halls := make([]HallLine, len(p.most))
	could, most := make([]int64, len(p.caps)), r.Greatest
	for i, row := range p.rows {
		halls[row.hall].Own += row.rate
		for j, h := range p.replicas[row.segment] {
			could[h] += row.rate
			if p.hallOf[h] != row.hall {
				halls[p.hallOf[h]].Crossing += units[i][j]
				r.Crossing += units[i][j]
			}
		}
	}
	for h, hall := range p.hallOf {
		halls[hall].Load += loads[h]
		halls[hall].Can += p.caps[h]
	}
	for i := range p.most {
		h := &halls[i]
		h.Name, h.Most, h.Binds = plan.Model.Zones[i].Name, p.most[i], p.most[i] >= 0 && h.Load >= p.most[i]
	}
	r.Halls = halls
	if most.Load <= most.Capacity { // beyond capacity there is a clash, not a bottleneck
		r.Bottleneck = p.Bottleneck(at, most)
	}
	tight := map[string]bool{}
	if r.Bottleneck != nil {
		for _, l := range r.Bottleneck.Limits {
			tight[l.Name] = true
		}
	}
	for i, h := range plan.Model.Hosts {
		line := HostLine{Name: h.Name, Hall: h.Zone, Capacity: h.Capacity, Can: p.caps[i], Load: loads[i]}
		if p.caps[i] > 0 {
			line.Use = float64(loads[i]) / float64(p.caps[i])
		}
		line.Why = p.why(i, &h, lost[i], at, loads[i], could[i], most, tight[h.Name], r.Halls[p.hallOf[i]].Binds)
		r.Hosts = append(r.Hosts, line)
	}
	return r, nil
}

// why tells which limit gives a host its weight.
func (p *Problem) why(i int, h *placement.Host, lost bool, at float64, load, could int64,
	most placement.Ratio, tight, hall bool) string {
	cold := ""
	if p.caps[i] < h.Capacity {
		cold = fmt.Sprintf("; still cold, %.0f%% of it is safe", 100*float64(p.caps[i])/float64(max(h.Capacity, 1)))
	}
	switch {
	case lost:
		return "lost in this case"
	case h.State == gather.Draining:
		return "draining"
	case h.State == gather.Removed:
		return "gone"
	case h.StartedAt > at-p.m.ClockSkew:
		return "not started yet"
	case could == 0:
		return "holds nothing that is asked for"
	case p.caps[i] == 0:
		return "can take nothing now" + cold
	case load >= most.MaxLoad(p.caps[i]) && tight:
		return "as full as the fullest: part of the bottleneck" + cold
	case load >= most.MaxLoad(p.caps[i]):
		return "filled up to the greatest utilisation: cheapest for what comes to it" + cold
	case load == could:
		return "takes all that may come to it" + cold
	case hall:
		return "its hall is at its limit" + cold
	}
	return "other replicas cost less" + cold
}
