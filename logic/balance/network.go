package balance

import (
	"yokeroute/logic/flow"
	"yokeroute/logic/placement"
)

// network is the flow network of a problem: from the source to rows, hosts, zones and the sink.
type network struct {
	*flow.Network
	problem      *Problem
	inForce      [][]int64 // units of each row and replica in the plan in force; nil for none
	source, sink int
	rows         int // node of the first row; the others follow
	hosts        int // node of the first host
	zones        int // node of the first zone
	rowArcs      []int
	hostArcs     []int
	zoneArcs     []int
	weightArcs   [][]int // from each row to each of its hosts
	inForceArcs  [][]int // the same for what the plan in force gave, -1 for nothing
}

// resetNetwork returns the problem's network without flow, in which hosts take nothing yet. With costs
// there are two arcs from a row to a host: one for what the plan in force gave it, at one unit of change
// less, and one for what is more, at one unit of change, so that the second rank of the cost sums up the
// change. The network is built once, since a solve resets it for each of thousands of losses.
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

// sameUnits reports whether two slices are the same one.
func sameUnits(a, b [][]int64) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (p *Problem) buildNetwork(withCosts bool, inForce [][]int64) *network {
	const source, sink, firstRow = 0, 1, 2
	n := &network{problem: p, inForce: inForce, source: source, sink: sink, rows: firstRow}
	n.hosts = n.rows + len(p.rows)
	n.zones = n.hosts + len(p.capacity)
	n.Network = flow.New(n.zones + len(p.zoneLimits))
	for i := range p.rows {
		var had []int64
		if withCosts && inForce != nil {
			had = inForce[i]
		}
		n.addRow(i, withCosts, had)
	}
	for h, zone := range p.zoneOf {
		n.hostArcs = append(n.hostArcs, n.AddArc(n.hosts+h, n.zones+zone, 0, flow.Cost{}))
	}
	for i := range p.zoneLimits {
		n.zoneArcs = append(n.zoneArcs, n.AddArc(n.zones+i, n.sink, 0, flow.Cost{}))
	}
	return n
}

// addRow adds the arcs of a row. Had is what the plan in force gave its replicas, nil for nothing.
func (n *network) addRow(i int, withCosts bool, had []int64) {
	p := n.problem
	r := &p.rows[i]
	n.rowArcs = append(n.rowArcs, n.AddArc(n.source, n.rows+i, 0, flow.Cost{}))
	var weightArcs, inForceArcs []int
	for j, h := range p.replicas[r.segment] {
		cost := flow.Cost{}
		if withCosts {
			cost = p.cost(r.zone, h)
		}
		inForceArc := -1
		if had != nil && had[j] > 0 {
			kept := flow.Cost{First: cost.First, Second: -1}
			inForceArc = n.AddArc(n.rows+i, n.hosts+h, had[j], kept)
		}
		inForceArcs = append(inForceArcs, inForceArc)
		weightArcs = append(weightArcs, n.AddArc(n.rows+i, n.hosts+h, placement.MaxRate, cost))
	}
	n.weightArcs = append(n.weightArcs, weightArcs)
	n.inForceArcs = append(n.inForceArcs, inForceArcs)
}

// cost returns the cost of a unit from a zone to a host: its price, and one unit of change.
func (p *Problem) cost(zone, host int) flow.Cost {
	return flow.Cost{First: p.unitCost(zone, host), Second: 1}
}

func (p *Problem) unitCost(zone, host int) int64 {
	return p.zoneCosts[zone][p.zoneOf[host]] + p.model.Hosts[host].Cost
}

// setUtilisation lets each host take what the ratio allows.
func (n *network) setUtilisation(u placement.Ratio) {
	for h, arc := range n.hostArcs {
		n.SetCapacity(arc, u.MaxLoad(n.problem.capacity[h]))
	}
}

// liftZoneLimits lets zones take anything.
func (n *network) liftZoneLimits() {
	for _, arc := range n.zoneArcs {
		n.SetCapacity(arc, placement.MaxRate)
	}
}
