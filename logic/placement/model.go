// Package placement is about how load is shared among the replicas of segments.
//
// A model says what zones, hosts, segments and demand there are, and a plan holds the weights by which
// gatherers give turns to hosts: the least maximum utilisation first, then the least cost, then the least
// change from the plan in force. Package balance works plans out. This one validates models, checks and
// compares plans, and chooses which of several sets of weights, worked out ahead, holds when hosts are lost.
// It may never give a host that drains, is gone or is still warming up more than that host is safe to take
// (rules 3 and 4). It picks no server for a query, which is logic's task. Why this way:
// docs/design/placement.md.
package placement

import (
	"cmp"
	"math"
	"slices"

	"yokeroute/gather"
)

const (
	// MaxRate bounds every rate and the sum of all demand, in units, so that products of two of them are
	// exact.
	MaxRate = 1_000_000_000
	// MaxCost bounds the cost of a shard request, in thousandths.
	MaxCost = 1_000_000_000
	// CostUnits is how many units of a cost make one of an operator's.
	CostUnits = 1000
	// DefaultZoneCost is the cost of a shard request between zones for which none is given: one of an
	// operator's.
	DefaultZoneCost = CostUnits
)

// roundingError is how far a product of capacity and a share may be from a whole number that it stands for.
const roundingError = 1e-6

// Model is what is planned for. Rates are in whole units, times in Unix milliseconds.
type Model struct {
	Unit      float64    `json:"Unit"`   // shard requests a second that one unit stands for
	At        float64    `json:"At"`     // when the plan begins to hold
	ClockSkew float64    `json:"Clocks"` // milliseconds by which a gatherer's clock may run ahead
	Steps     int        `json:"Steps"`  // into which the time is divided until the last host is warm
	MaxMoves  int        `json:"Copies"` // replicas that a new placement may move, -1 for any number
	Zones     []Zone     `json:"Halls"`
	Hosts     []Host     `json:"Hosts"`
	Segments  []Segment  `json:"Segments"`
	Demands   []Demand   `json:"Demands"`
	ZoneCosts []ZoneCost `json:"Crossings"`
}

// Zone is a set of hosts that share limits.
type Zone struct {
	Name          string  `json:"Name"`
	MaxLoad       int64   `json:"Most"`       // of its hosts together, -1 for any
	Headroom      int64   `json:"Spare"`      // capacity that has to stay free in it,
	HeadroomShare float64 `json:"SpareShare"` // or the share of its capacity, if that is more
}

// Host is one machine. Its capacity rises evenly, within WarmupTime of its start, from a share of it to all
// of it.
type Host struct {
	Name                 string       `json:"Name"`
	Zone                 string       `json:"Hall"`
	Capacity             int64        `json:"Capacity"` // when warm
	Cost                 int64        `json:"Cost"`     // of a shard request, in thousandths
	State                gather.State `json:"State"`
	StartedAt            float64      `json:"Started"` // 0 for long ago; it may be later than the model's At
	InitialCapacityShare float64      `json:"ColdShare"`
	WarmupTime           float64      `json:"Warming"` // milliseconds
	MaxSegments          int          `json:"Holds"`   // that it has room for, 0 for any number
}

// Segment is data of which each of its hosts holds a replica.
type Segment struct {
	Name       string   `json:"Name"`
	ReplicaSet int      `json:"Group"`    // of the gatherers' shards, -1 for none
	Replicas   int      `json:"Replicas"` // wanted of a new placement, 0 for as many as it has
	Hosts      []string `json:"On"`
}

// Demand is the rate, in units, at which the gatherers of a zone send shard requests for a segment.
type Demand struct {
	Segment string `json:"Segment"`
	Zone    string `json:"Hall"`
	Rate    int64  `json:"Rate"`
}

// demandKey tells demands, and the rows of weights that answer them, apart.
type demandKey struct{ segment, zone string }

// ZoneCost is the cost, in thousandths, of a shard request from a gatherer in one zone to a host in another.
// It holds in both directions unless the other one is given as well.
type ZoneCost struct {
	From string `json:"From"`
	To   string `json:"To"`
	Cost int64  `json:"Cost"`
}

// SafeCapacity returns what a host may carry at a moment, in units: nothing unless it runs and has started.
// While it warms up, the slowest clock among the gatherers counts, since one whose clock runs ahead sends
// more too early.
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

// ZoneLoadLimit returns what the hosts of a zone may carry together at a moment, -1 for any.
func (m *Model) ZoneLoadLimit(zone *Zone, at float64) int64 {
	capacity := int64(0)
	for i := range m.Hosts {
		if m.Hosts[i].Zone == zone.Name {
			capacity += m.SafeCapacity(&m.Hosts[i], at)
		}
	}
	return zone.LoadLimit(capacity)
}

// LoadLimit returns what the hosts of a zone may carry together if they have a capacity, -1 for any.
func (z *Zone) LoadLimit(capacity int64) int64 {
	limit := z.MaxLoad
	headroom := max(z.Headroom, int64(math.Ceil(float64(capacity)*z.HeadroomShare-roundingError)))
	if headroom <= 0 {
		return limit
	}
	left := max(capacity-headroom, 0)
	if limit < 0 || left < limit {
		return left
	}
	return limit
}

// Normalized returns the model in the order of its names, so that the order of an operator's lines changes
// nothing.
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
