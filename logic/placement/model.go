// Package placement defines the models and plans by which load is distributed among the replicas of segments.
//
// A model describes zones, hosts, segments and demand. A plan holds the weights of hosts for the gatherers'
// weighted round robin. They minimise the maximum utilisation first, then the cost, then the change from the
// plan in force. Package balance computes plans. This package validates models, checks and compares plans,
// and selects which of several precomputed sets of weights is in effect when hosts are lost. It must never
// assign a host that is draining, removed or still warming up more load than its safe capacity (rules 3 and
// 4). It does not pick the server for a query; package logic does that. The reasons for the design are in
// docs/design/placement.md.
package placement

import (
	"cmp"
	"math"
	"slices"

	"yokeroute/gather"
)

const (
	// MaxRate limits every rate and the sum of all demand, in units, so that the product of two rates is
	// exact.
	MaxRate = 1_000_000_000
	// MaxCost limits the cost of a shard request, in thousandths.
	MaxCost = 1_000_000_000
	// CostUnits is the number of internal cost units in a cost of 1 in a placement file.
	CostUnits = 1000
	// DefaultZoneCost is the cost of a shard request between two zones for which the model gives no cost: a
	// cost of 1 in a placement file.
	DefaultZoneCost = CostUnits
)

// roundingError is the tolerance for the product of a capacity and a share that should be a whole number.
const roundingError = 1e-6

// Model is the input of a plan. Rates are in whole units, times in Unix milliseconds.
type Model struct {
	Unit      float64    `json:"Unit"`   // shard requests per second in one unit
	At        float64    `json:"At"`     // time from which the plan is in effect
	ClockSkew float64    `json:"Clocks"` // milliseconds by which a gatherer's clock may run ahead
	Steps     int        `json:"Steps"`  // number of steps until the last host is warm
	MaxMoves  int        `json:"Copies"` // maximum number of replicas that may move, -1 for no limit
	Zones     []Zone     `json:"Halls"`
	Hosts     []Host     `json:"Hosts"`
	Segments  []Segment  `json:"Segments"`
	Demands   []Demand   `json:"Demands"`
	ZoneCosts []ZoneCost `json:"Crossings"`
}

// Zone is a set of hosts with common load limits.
type Zone struct {
	Name    string `json:"Name"`
	MaxLoad int64  `json:"Most"` // maximum load of all its hosts together, -1 for no limit
	// The hosts of the zone have to keep free the greater of Headroom and HeadroomShare of their capacity.
	Headroom      int64   `json:"Spare"`
	HeadroomShare float64 `json:"SpareShare"`
}

// Host is one machine. While it is warming up, its safe capacity rises linearly within WarmupTime after its
// start from InitialCapacityShare of its capacity to all of it.
type Host struct {
	Name                 string       `json:"Name"`
	Zone                 string       `json:"Hall"`
	Capacity             int64        `json:"Capacity"` // capacity of the warm host
	Cost                 int64        `json:"Cost"`     // cost of a shard request, in thousandths
	State                gather.State `json:"State"`
	StartedAt            float64      `json:"Started"` // start time, 0 for long ago; may be after the model's At
	InitialCapacityShare float64      `json:"ColdShare"`
	WarmupTime           float64      `json:"Warming"` // milliseconds
	MaxSegments          int          `json:"Holds"`   // maximum number of segments, 0 for no limit
}

// Segment is a part of the data. Each of its hosts holds a replica of it.
type Segment struct {
	Name       string   `json:"Name"`
	ReplicaSet int      `json:"Group"`    // replica set in the gatherers' settings, -1 for none
	Replicas   int      `json:"Replicas"` // number of replicas in a new placement, 0 for as many as now
	Hosts      []string `json:"On"`
}

// Demand is the rate, in units, at which the gatherers of a zone send shard requests for a segment.
type Demand struct {
	Segment string `json:"Segment"`
	Zone    string `json:"Hall"`
	Rate    int64  `json:"Rate"`
}

// demandKey identifies a demand and the row of weights that distributes it.
type demandKey struct{ segment, zone string }

// ZoneCost is the cost, in thousandths, of a shard request from a gatherer in one zone to a host in another.
// It applies in both directions unless the model also gives the cost of the opposite direction.
type ZoneCost struct {
	From string `json:"From"`
	To   string `json:"To"`
	Cost int64  `json:"Cost"`
}

// SafeCapacity returns the load that a host may carry at a moment, in units. It is zero unless the host is
// running and has started. Its age is computed by the slowest clock among the gatherers, since a gatherer
// whose clock runs ahead would send too much load too early while the host is warming up.
func (m *Model) SafeCapacity(h *Host, at float64) int64 {
	now := at - m.ClockSkew
	switch {
	case h.State != gather.Running || h.StartedAt > now:
		return 0
	case h.StartedAt == 0 || h.WarmupTime == 0 || now >= h.StartedAt+h.WarmupTime:
		return h.Capacity
	}
	share := h.InitialCapacityShare + (1-h.InitialCapacityShare)*(now-h.StartedAt)/h.WarmupTime
	return int64(math.Floor(float64(h.Capacity) * share))
}

// ZoneLoadLimit returns the load that the hosts of a zone may carry together at a moment, -1 for no limit.
func (m *Model) ZoneLoadLimit(zone *Zone, at float64) int64 {
	capacity := int64(0)
	for i := range m.Hosts {
		if m.Hosts[i].Zone == zone.Name {
			capacity += m.SafeCapacity(&m.Hosts[i], at)
		}
	}
	return zone.LoadLimit(capacity)
}

// LoadLimit returns the load that the hosts of the zone may carry together if the sum of their safe
// capacities is capacity, -1 for no limit.
func (z *Zone) LoadLimit(capacity int64) int64 {
	limit := z.MaxLoad
	headroom := max(z.Headroom, int64(math.Ceil(float64(capacity)*z.HeadroomShare-roundingError)))
	if headroom <= 0 {
		return limit
	}
	usable := max(capacity-headroom, 0)
	if limit < 0 || usable < limit {
		return usable
	}
	return limit
}

// Normalized returns a copy of the model with its entries sorted by name, so that the order of lines in a
// placement file has no influence.
func (m *Model) Normalized() *Model {
	n := *m
	n.Zones = slices.Clone(m.Zones)
	n.Hosts = slices.Clone(m.Hosts)
	n.Segments = slices.Clone(m.Segments)
	n.Demands = slices.Clone(m.Demands)
	n.ZoneCosts = slices.Clone(m.ZoneCosts)
	slices.SortFunc(n.Zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(n.Hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(n.Segments, func(a, b Segment) int { return cmp.Compare(a.Name, b.Name) })
	for i := range n.Segments {
		n.Segments[i].Hosts = slices.Sorted(slices.Values(n.Segments[i].Hosts))
	}
	slices.SortFunc(n.Demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Segment, b.Segment), cmp.Compare(a.Zone, b.Zone))
	})
	slices.SortFunc(n.ZoneCosts, func(a, b ZoneCost) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	return &n
}
