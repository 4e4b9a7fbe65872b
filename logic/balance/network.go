package balance

import (
	"yokeroute/logic/flow"
	"yokeroute/logic/placement"
)

// network is the flow network of a problem. Its arcs lead from the source to rows, from rows to the hosts of
// their segments, from hosts to zones, and from zones to the sink.
type network struct {
	*flow.Network
	problem      *Problem
	inForce      [][]int64 // units of each row and replica in the plan in force; nil without a plan
	source, sink int
	firstRow     int     // node of the first row; the other rows follow
	firstHost    int     // node of the first host; the other hosts follow
	firstZone    int     // node of the first zone; the other zones follow
	rowArcs      []int   // from the source to each row
	hostArcs     []int   // from each host to its zone
	zoneArcs     []int   // from each zone to the sink
	weightArcs   [][]int // from each row to each of its hosts
	inForceArcs  [][]int // parallel arcs for the units in force, -1 where there are none
}

// resetNetwork returns the problem's network without flow and with host capacities of zero. With costs there
// are two arcs from a row to a host: one for the units in force, whose use subtracts one unit of change each,
// and one for additional units, which add one unit of change each, so that the second component of the cost
// sums up the change. The network is built once and cached, since a solve resets it for each of thousands of
// cases.
func (p *Problem) resetNetwork(withCosts bool, inForce [][]int64) *network {
	cached := &p.networks[0]
	if withCosts {
		cached = &p.networks[1]
	}
	if n := *cached; n == nil || !sameUnits(n.inForce, inForce) {
		*cached = p.buildNetwork(withCosts, inForce)
	}
	n := *cached
	n.Reset()
	for i, r := range p.rows {
		n.SetCapacity(n.rowArcs[i], r.rate)
	}
	for _, arc := range n.hostArcs {
		n.SetCapacity(arc, 0)
	}
	for i, arc := range n.zoneArcs {
		limit := p.zoneLimits[i]
		if limit < 0 {
			limit = placement.MaxRate
		}
		n.SetCapacity(arc, limit)
	}
	return n
}

// sameUnits reports whether two slices share their elements. It does not compare the units.
func sameUnits(a, b [][]int64) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (p *Problem) buildNetwork(withCosts bool, inForce [][]int64) *network {
	const source, sink, firstRow = 0, 1, 2
	n := &network{problem: p, inForce: inForce, source: source, sink: sink, firstRow: firstRow}
	n.firstHost = n.firstRow + len(p.rows)
	n.firstZone = n.firstHost + len(p.capacity)
	n.Network = flow.New(n.firstZone + len(p.zoneLimits))
	for i := range p.rows {
		var rowInForce []int64
		if withCosts && inForce != nil {
			rowInForce = inForce[i]
		}
		n.addRow(i, withCosts, rowInForce)
	}
	for h, zone := range p.zoneOf {
		n.hostArcs = append(n.hostArcs, n.AddArc(n.firstHost+h, n.firstZone+zone, 0, flow.Cost{}))
	}
	for i := range p.zoneLimits {
		n.zoneArcs = append(n.zoneArcs, n.AddArc(n.firstZone+i, n.sink, 0, flow.Cost{}))
	}
	return n
}

// addRow adds the arcs of a row. RowInForce holds the units of its replicas in the plan in force, nil for
// none.
func (n *network) addRow(i int, withCosts bool, rowInForce []int64) {
	p := n.problem
	r := &p.rows[i]
	n.rowArcs = append(n.rowArcs, n.AddArc(n.source, n.firstRow+i, 0, flow.Cost{}))
	var weightArcs, inForceArcs []int
	for j, h := range p.replicas[r.segment] {
		cost := flow.Cost{}
		if withCosts {
			cost = p.cost(r.zone, h)
		}
		inForceArc := -1
		if rowInForce != nil && rowInForce[j] > 0 {
			costInForce := flow.Cost{First: cost.First, Second: -1}
			inForceArc = n.AddArc(n.firstRow+i, n.firstHost+h, rowInForce[j], costInForce)
		}
		inForceArcs = append(inForceArcs, inForceArc)
		weightArcs = append(weightArcs, n.AddArc(n.firstRow+i, n.firstHost+h, placement.MaxRate, cost))
	}
	n.weightArcs = append(n.weightArcs, weightArcs)
	n.inForceArcs = append(n.inForceArcs, inForceArcs)
}

// cost returns the cost of a unit from a zone to a host. Its first component is the price of the unit, its
// second one is one unit of change.
func (p *Problem) cost(zone, host int) flow.Cost {
	return flow.Cost{First: p.unitCost(zone, host), Second: 1}
}

func (p *Problem) unitCost(zone, host int) int64 {
	return p.zoneCosts[zone][p.zoneOf[host]] + p.model.Hosts[host].Cost
}

// setUtilisation limits the load of each host to the given utilisation.
func (n *network) setUtilisation(u placement.Ratio) {
	for h, arc := range n.hostArcs {
		n.SetCapacity(arc, u.MaxLoad(n.problem.capacity[h]))
	}
}

// removeZoneLimits removes the load limits of all zones.
func (n *network) removeZoneLimits() {
	for _, arc := range n.zoneArcs {
		n.SetCapacity(arc, placement.MaxRate)
	}
}
