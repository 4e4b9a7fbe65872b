// Package balance computes weights: how demand is distributed among the hosts that hold the requested
// segments.
//
// For a model of package placement it minimises the maximum utilisation, then the cost, then the change from
// the plan in force. The results are exact and in whole units. If demand does not fit, it returns a proof of
// infeasibility. It also computes, in advance, the weights for hosts that are warming up and for the loss of
// hosts. The documentation of package placement states what it must never do.
package balance

import (
	"slices"

	"yokeroute/logic/placement"
)

// row is a demand whose segment and zone are indexes into the model.
type row struct {
	segment int
	zone    int
	rate    int64
}

// Problem is a model with its entries addressed by index, and with the capacity of its hosts at one moment. A
// solution holds the units that each row assigns to each replica of its segment.
type Problem struct {
	model      *placement.Model
	zoneOf     []int   // zone index of each host
	replicas   [][]int // host indexes of each segment
	rows       []row
	zoneCosts  [][]int64   // cost of a shard request, by the gatherer's zone and the host's zone
	demand     int64       // sum over all rows
	capacity   []int64     // safe capacity of each host at the moment set by SetTime
	zoneLimits []int64     // load limit of each zone at that moment, -1 for no limit
	lost       []bool      // hosts treated as removed, nil for none
	networks   [2]*network // cached networks: without costs, with costs
}

// NewProblem returns the problem of a model, which has to be valid and normalized.
func NewProblem(m *placement.Model) *Problem {
	p := &Problem{
		model:      m,
		capacity:   make([]int64, len(m.Hosts)),
		zoneLimits: make([]int64, len(m.Zones)),
	}
	zones := map[string]int{}
	for i, z := range m.Zones {
		zones[z.Name] = i
	}
	hosts := map[string]int{}
	for i := range m.Hosts {
		hosts[m.Hosts[i].Name] = i
		p.zoneOf = append(p.zoneOf, zones[m.Hosts[i].Zone])
	}
	segments := map[string]int{}
	for i, s := range m.Segments {
		segments[s.Name] = i
		replicas := make([]int, len(s.Hosts))
		for j, name := range s.Hosts {
			replicas[j] = hosts[name]
		}
		p.replicas = append(p.replicas, replicas)
	}
	for _, d := range m.Demands {
		p.rows = append(p.rows, row{segment: segments[d.Segment], zone: zones[d.Zone], rate: d.Rate})
		p.demand += d.Rate
	}
	p.zoneCosts = compileZoneCosts(m, zones)
	return p
}

// compileZoneCosts returns the costs from zone to zone. A cost given for one direction also applies to the
// opposite direction, unless the model gives that one as well.
func compileZoneCosts(m *placement.Model, zones map[string]int) [][]int64 {
	costs := make([][]int64, len(m.Zones))
	for i := range costs {
		costs[i] = make([]int64, len(m.Zones))
		for j := range costs[i] {
			if i != j {
				costs[i][j] = placement.DefaultZoneCost
			}
		}
	}
	for _, c := range m.ZoneCosts {
		costs[zones[c.To]][zones[c.From]] = c.Cost
	}
	for _, c := range m.ZoneCosts {
		costs[zones[c.From]][zones[c.To]] = c.Cost
	}
	return costs
}

// SetTime sets the capacities of hosts and the limits of zones to those of a moment. Lost marks hosts that
// are treated as removed.
func (p *Problem) SetTime(at float64, lost []bool) {
	p.lost = lost
	zoneCapacity := make([]int64, len(p.model.Zones))
	for i := range p.model.Hosts {
		p.capacity[i] = 0
		if lost == nil || !lost[i] {
			p.capacity[i] = p.model.SafeCapacity(&p.model.Hosts[i], at)
		}
		zoneCapacity[p.zoneOf[i]] += p.capacity[i]
	}
	for i := range p.model.Zones {
		p.zoneLimits[i] = p.model.Zones[i].LoadLimit(zoneCapacity[i])
	}
}

// CopyCapacity copies the capacities of hosts and the limits of zones from another problem of the same model.
func (p *Problem) CopyCapacity(o *Problem) {
	copy(p.capacity, o.capacity)
	copy(p.zoneLimits, o.zoneLimits)
}

// RelaxLimits removes the limits of the marked zones and, if hosts is true, the capacity limits of hosts. It
// serves to find out which limits conflict.
func (p *Problem) RelaxLimits(zones []bool, hosts bool) {
	for i, isRelaxed := range zones {
		if isRelaxed {
			p.zoneLimits[i] = -1
		}
	}
	for h := range p.capacity {
		if hosts && p.capacity[h] > 0 {
			p.capacity[h] = placement.MaxRate
		}
	}
}

// SetHosts sets the hosts of a segment, in ascending order, instead of those in the model.
func (p *Problem) SetHosts(segment int, hosts []int) {
	p.replicas[segment] = hosts
	p.networks = [2]*network{}
}

// MoveReplica moves a replica of a segment to another host. Unlike SetHosts it keeps the cached networks, for
// searches that evaluate thousands of placements. Solves after it must not use a plan in force.
func (p *Problem) MoveReplica(segment, slot, host int) {
	p.replicas[segment][slot] = host
	for k, n := range p.networks {
		if n == nil {
			continue
		}
		for i, r := range p.rows {
			if r.segment != segment {
				continue
			}
			arc := n.weightArcs[i][slot]
			n.Retarget(arc, n.firstHost+host)
			if k == 1 { // the network with costs
				n.SetCost(arc, p.cost(r.zone, host))
			}
		}
	}
}

// Hosts returns the hosts of a segment.
func (p *Problem) Hosts(segment int) []int { return p.replicas[segment] }

// Capacity returns the safe capacity of a host at the moment set by SetTime.
func (p *Problem) Capacity(host int) int64 { return p.capacity[host] }

// ZoneLimit returns the load limit of a zone at the moment set by SetTime, -1 for no limit.
func (p *Problem) ZoneLimit(zone int) int64 { return p.zoneLimits[zone] }

// Zone returns the zone of a host.
func (p *Problem) Zone(host int) int { return p.zoneOf[host] }

// SegmentDemands returns the demand for each segment, summed over all zones.
func (p *Problem) SegmentDemands() []int64 {
	demands := make([]int64, len(p.replicas))
	for _, r := range p.rows {
		demands[r.segment] += r.rate
	}
	return demands
}

// hasCapacity reports whether any host of the segment has capacity at the moment set by SetTime.
func (p *Problem) hasCapacity(segment int) bool {
	return slices.ContainsFunc(p.replicas[segment], func(h int) bool { return p.capacity[h] > 0 })
}
