package balance

import (
	"fmt"
	"slices"

	"yokeroute/gather"
	"yokeroute/logic/placement"
)

// HostReport is what a plan gives a host and why.
type HostReport struct {
	Name         string  `json:"Name"`
	Zone         string  `json:"Hall"`
	Capacity     int64   `json:"Capacity"` // when warm
	SafeCapacity int64   `json:"Can"`      // units, at the moment
	Load         int64   `json:"Load"`     // units, at the moment
	Utilisation  float64 `json:"Use"`
	Reason       string  `json:"Why"`
}

// ZoneReport is what a plan gives a hall.
type ZoneReport struct {
	Name          string `json:"Name"`
	SafeCapacity  int64  `json:"Can"`
	Load          int64  `json:"Load"`
	LoadLimit     int64  `json:"Most"` // -1 for any
	IsBinding     bool   `json:"Binds"`
	LocalDemand   int64  `json:"Own"`      // units that its own gatherers ask for
	CrossZoneLoad int64  `json:"Crossing"` // units that come from other halls' gatherers
}

// Report explains a plan's weights at a moment, or those of a case.
type Report struct {
	At             float64         `json:"At"`
	CaseName       string          `json:"Case"`
	MaxUtilisation placement.Ratio `json:"Greatest"`
	Cost           int64           `json:"Cost"`     // thousandths a second
	CrossZoneLoad  int64           `json:"Crossing"` // units that cross halls
	Demand         int64           `json:"Asked"`
	Hosts          []HostReport    `json:"Hosts"`
	Zones          []ZoneReport    `json:"Halls"`
	// Bottleneck is why the greatest utilisation cannot be less; nil where nothing is asked for.
	Bottleneck       *placement.Infeasibility `json:"Bottleneck"`
	UnservedSegments []string                 `json:"Dark"`
}

// Explain tells why each host has its weight. Name is that of a case, empty for the plan's own weights.
func Explain(plan *placement.Plan, at float64, name string) (*Report, error) {
	rows, lost := plan.RowsAt(at), make([]bool, len(plan.Model.Hosts))
	r := &Report{At: at, CaseName: name}
	if name != "" {
		i := slices.IndexFunc(plan.Cases, func(c placement.Case) bool { return c.Name == name })
		if i < 0 {
			return nil, fmt.Errorf("the plan has no case %q", name)
		}
		c := &plan.Cases[i]
		rows, r.UnservedSegments = plan.CaseRows(c, at), c.UnservedSegments
		for j, h := range plan.Model.Hosts {
			lost[j] = slices.Contains(c.LostHosts, h.Name)
		}
	}
	p := NewProblem(plan.Model)
	p.SetTime(at, lost)
	units := p.Units(rows)
	loads := p.Loads(units)
	r.MaxUtilisation, r.Cost, r.Demand = p.MaxUtilisation(loads), p.cost(units), p.demand
	halls := make([]ZoneReport, len(p.zoneLimits))
	could, most := make([]int64, len(p.capacity)), r.MaxUtilisation
	for i, row := range p.rows {
		halls[row.zone].LocalDemand += row.rate
		for j, h := range p.replicas[row.segment] {
			could[h] += row.rate
			if p.zoneOf[h] != row.zone {
				halls[p.zoneOf[h]].CrossZoneLoad += units[i][j]
				r.CrossZoneLoad += units[i][j]
			}
		}
	}
	for h, hall := range p.zoneOf {
		halls[hall].Load += loads[h]
		halls[hall].SafeCapacity += p.capacity[h]
	}
	for i := range p.zoneLimits {
		h := &halls[i]
		h.Name, h.LoadLimit, h.IsBinding = plan.Model.Zones[i].Name, p.zoneLimits[i], p.zoneLimits[i] >= 0 && h.Load >= p.zoneLimits[i]
	}
	r.Zones = halls
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
		line := HostReport{Name: h.Name, Zone: h.Zone, Capacity: h.Capacity, SafeCapacity: p.capacity[i], Load: loads[i]}
		if p.capacity[i] > 0 {
			line.Utilisation = float64(loads[i]) / float64(p.capacity[i])
		}
		line.Reason = p.explainWeight(i, &h, lost[i], at, loads[i], could[i], most, tight[h.Name], r.Zones[p.zoneOf[i]].IsBinding)
		r.Hosts = append(r.Hosts, line)
	}
	return r, nil
}

// explainWeight tells which limit gives a host its weight.
func (p *Problem) explainWeight(i int, h *placement.Host, lost bool, at float64, load, could int64,
	most placement.Ratio, tight, hall bool) string {
	cold := ""
	if p.capacity[i] < h.Capacity {
		cold = fmt.Sprintf("; still cold, %.0f%% of it is safe", 100*float64(p.capacity[i])/float64(max(h.Capacity, 1)))
	}
	switch {
	case lost:
		return "lost in this case"
	case h.State == gather.Draining:
		return "draining"
	case h.State == gather.Removed:
		return "gone"
	case h.StartedAt > at-p.model.ClockSkew:
		return "not started yet"
	case could == 0:
		return "holds nothing that is asked for"
	case p.capacity[i] == 0:
		return "can take nothing now" + cold
	case load >= most.MaxLoad(p.capacity[i]) && tight:
		return "as full as the fullest: part of the bottleneck" + cold
	case load >= most.MaxLoad(p.capacity[i]):
		return "filled up to the greatest utilisation: cheapest for what comes to it" + cold
	case load == could:
		return "takes all that may come to it" + cold
	case hall:
		return "its hall is at its limit" + cold
	}
	return "other replicas cost less" + cold
}
