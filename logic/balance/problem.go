// Package balance works out weights: how demand is distributed among the hosts that hold what is asked for.
//
// For a model of package placement it finds the least maximum utilisation, then the least cost, then the
// least change from the plan in force, in whole units and exactly; where nothing fits, the proof of it; and
// ahead of time the weights for hosts that warm up and for losses. What it may never do is said there.
package balance

import (
	"slices"

	"yokeroute/logic/placement"
)

// row is a demand by numbers.
type row struct {
	segment int
	zone    int
	rate    int64
}

// Problem is a model by the numbers of its entries, with what its hosts can take at one moment. A solution
// is the units of each row and replica.
type Problem struct {
	model      *placement.Model
	zoneOf     []int   // of each host
	replicas   [][]int // hosts of each segment
	rows       []row
	zoneCosts  [][]int64 // from zone to zone
	demand     int64     // of all rows
	capacity   []int64   // of each host at the moment
	zoneLimits []int64   // of each zone at the moment, -1 for any load
	lost       []bool    // hosts that count as gone, nil for none
	networks   [2]*network
}

// NewProblem compiles a model that is valid and normalized.
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

// compileZoneCosts returns the costs from zone to zone. One that is given holds in the other direction too,
// unless that one is given as well.
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

// SetTime sets what hosts and zones can take to that of a moment. Hosts in lost count as gone.
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

// CopyCapacity sets what hosts and zones can take to what they can in another problem of the same model.
func (p *Problem) CopyCapacity(o *Problem) {
	copy(p.capacity, o.capacity)
	copy(p.zoneLimits, o.zoneLimits)
}

// RelaxLimits removes limits, for finding which of them conflict: those of zones, or the capacity of hosts.
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

// SetHosts sets the hosts of a segment, in rising order, whatever its model says.
func (p *Problem) SetHosts(segment int, hosts []int) {
	p.replicas[segment] = hosts
	p.networks = [2]*network{}
}

// MoveReplica moves a replica of a segment to another host. Unlike SetHosts it keeps the networks, for
// searches that go through thousands of placements. Their solves must be without a plan in force.
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
			n.Retarget(arc, n.hosts+host)
			if k == 1 { // the one with costs
				n.SetCost(arc, p.cost(r.zone, host))
			}
		}
	}
}

// Hosts returns the hosts of a segment.
func (p *Problem) Hosts(segment int) []int { return p.replicas[segment] }

// Capacity returns what a host may take at the moment.
func (p *Problem) Capacity(host int) int64 { return p.capacity[host] }

// ZoneLimit returns what a zone may take at the moment, -1 for any load.
func (p *Problem) ZoneLimit(zone int) int64 { return p.zoneLimits[zone] }

// Zone returns the zone of a host.
func (p *Problem) Zone(host int) int { return p.zoneOf[host] }

// SegmentDemands returns the demand of all zones for each segment.
func (p *Problem) SegmentDemands() []int64 {
	demands := make([]int64, len(p.replicas))
	for _, r := range p.rows {
		demands[r.segment] += r.rate
	}
	return demands
}

// hasCapacity reports whether any host of the segment can take anything at the moment.
func (p *Problem) hasCapacity(segment int) bool {
	return slices.ContainsFunc(p.replicas[segment], func(h int) bool { return p.capacity[h] > 0 })
}
