package balance

import (
	"fmt"
	"slices"

	"yokeroute/gather"
	"yokeroute/logic/placement"
)

// HostReport describes the load that a plan assigns to a host, and the reason for it. Rates are in units.
type HostReport struct {
	Name         string  `json:"Name"`
	Zone         string  `json:"Hall"`
	Capacity     int64   `json:"Capacity"` // capacity of the warm host
	SafeCapacity int64   `json:"Can"`      // safe capacity at the moment of the report
	Load         int64   `json:"Load"`
	Utilisation  float64 `json:"Use"`
	Reason       string  `json:"Why"`
}

// ZoneReport describes the load that a plan assigns to a zone. Rates are in units.
type ZoneReport struct {
	Name          string `json:"Name"`
	SafeCapacity  int64  `json:"Can"`
	Load          int64  `json:"Load"`
	LoadLimit     int64  `json:"Most"` // -1 for no limit
	IsBinding     bool   `json:"Binds"`
	LocalDemand   int64  `json:"Own"`      // demand of the gatherers in this zone
	CrossZoneLoad int64  `json:"Crossing"` // load from gatherers in other zones
}

// Report explains the weights of a plan, or of one of its cases, at a moment.
type Report struct {
	At             float64         `json:"At"`
	CaseName       string          `json:"Case"`
	MaxUtilisation placement.Ratio `json:"Greatest"`
	Cost           int64           `json:"Cost"` // thousandths per second
	CrossZoneLoad  int64           `json:"Crossing"`
	Demand         int64           `json:"Asked"`
	Hosts          []HostReport    `json:"Hosts"`
	Zones          []ZoneReport    `json:"Halls"`
	// Bottleneck proves that the maximum utilisation cannot be lower. It is nil if there is no demand, or if
	// hosts are filled beyond their capacity.
	Bottleneck       *placement.Infeasibility `json:"Bottleneck"`
	UnservedSegments []string                 `json:"Dark"`
}

// Explain explains the weights of a plan at a moment, or those of the named case if caseName is not empty.
func Explain(plan *placement.Plan, at float64, caseName string) (*Report, error) {
	r := &Report{At: at, CaseName: caseName}
	rows := plan.RowsAt(at)
	lost := make([]bool, len(plan.Model.Hosts))
	if caseName != "" {
		i := slices.IndexFunc(plan.Cases, func(c placement.Case) bool { return c.Name == caseName })
		if i < 0 {
			return nil, fmt.Errorf("the plan has no case %q", caseName)
		}
		c := &plan.Cases[i]
		rows = plan.CaseRows(c, at)
		r.UnservedSegments = c.UnservedSegments
		for j := range plan.Model.Hosts {
			lost[j] = slices.Contains(c.LostHosts, plan.Model.Hosts[j].Name)
		}
	}
	p := NewProblem(plan.Model)
	p.SetTime(at, lost)
	e := explanation{Problem: p, report: r, units: p.Units(rows)}
	e.loads = p.Loads(e.units)
	r.MaxUtilisation = p.MaxUtilisation(e.loads)
	r.Cost = p.totalCost(e.units)
	r.Demand = p.demand
	if r.MaxUtilisation.Load <= r.MaxUtilisation.Capacity {
		r.Bottleneck = p.Bottleneck(at, r.MaxUtilisation)
	}
	e.reportZones()
	e.reportHosts()
	return r, nil
}

// explanation builds a report.
type explanation struct {
	*Problem
	report *Report
	units  [][]int64
	loads  []int64
}

func (e *explanation) reportZones() {
	zones := make([]ZoneReport, len(e.zoneLimits))
	for i, row := range e.rows {
		zones[row.zone].LocalDemand += row.rate
		for j, h := range e.replicas[row.segment] {
			if zone := e.zoneOf[h]; zone != row.zone {
				zones[zone].CrossZoneLoad += e.units[i][j]
				e.report.CrossZoneLoad += e.units[i][j]
			}
		}
	}
	for h, zone := range e.zoneOf {
		zones[zone].Load += e.loads[h]
		zones[zone].SafeCapacity += e.capacity[h]
	}
	for i, limit := range e.zoneLimits {
		z := &zones[i]
		z.Name = e.model.Zones[i].Name
		z.LoadLimit = limit
		z.IsBinding = limit >= 0 && z.Load >= limit
	}
	e.report.Zones = zones
}

func (e *explanation) reportHosts() {
	inBottleneck := map[string]bool{}
	if e.report.Bottleneck != nil {
		for _, limit := range e.report.Bottleneck.Limits {
			inBottleneck[limit.Name] = true
		}
	}
	possibleLoads := e.possibleLoads()
	for i := range e.model.Hosts {
		h := &e.model.Hosts[i]
		hostReport := HostReport{
			Name:         h.Name,
			Zone:         h.Zone,
			Capacity:     h.Capacity,
			SafeCapacity: e.capacity[i],
			Load:         e.loads[i],
			Reason:       e.reason(i, possibleLoads[i], inBottleneck[h.Name]),
		}
		if e.capacity[i] > 0 {
			hostReport.Utilisation = float64(e.loads[i]) / float64(e.capacity[i])
		}
		e.report.Hosts = append(e.report.Hosts, hostReport)
	}
}

// possibleLoads returns, for each host, the total demand for the segments that it holds.
func (e *explanation) possibleLoads() []int64 {
	possible := make([]int64, len(e.capacity))
	for _, row := range e.rows {
		for _, h := range e.replicas[row.segment] {
			possible[h] += row.rate
		}
	}
	return possible
}

// reason returns the text that explains the load of a host: its state, the limit that applies, or the cost.
func (e *explanation) reason(host int, possibleLoad int64, inBottleneck bool) string {
	h := &e.model.Hosts[host]
	capacity := e.capacity[host]
	load := e.loads[host]
	isFull := load >= e.report.MaxUtilisation.MaxLoad(capacity)
	reason := "other replicas cost less"
	switch {
	case e.lost[host]:
		return "lost in this case"
	case h.State == gather.Draining:
		return "draining"
	case h.State == gather.Removed:
		return "gone"
	case h.StartedAt > e.report.At-e.model.ClockSkew:
		return "not started yet"
	case possibleLoad == 0:
		return "holds nothing that is asked for"
	case capacity == 0:
		reason = "can take nothing now"
	case isFull && inBottleneck:
		reason = "as full as the fullest: part of the bottleneck"
	case isFull:
		reason = "filled up to the greatest utilisation: cheapest for what comes to it"
	case load == possibleLoad:
		reason = "takes all that may come to it"
	case e.report.Zones[e.zoneOf[host]].IsBinding:
		reason = "its hall is at its limit"
	}
	if capacity < h.Capacity {
		share := float64(capacity) / float64(max(h.Capacity, 1))
		reason += fmt.Sprintf("; still cold, %.0f%% of it is safe", 100*share)
	}
	return reason
}
