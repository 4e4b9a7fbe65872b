package balance

import (
	"slices"

	"yokeroute/gather"
	"yokeroute/logic/placement"
)

// Infeasibility returns a proof that demand does not fit the capacities of hosts and the limits of zones that
// SetTime has set for the moment at. It returns nil if demand fits.
func (p *Problem) Infeasibility(at float64) *placement.Infeasibility {
	return p.prove(at, func(h int) int64 { return p.capacity[h] })
}

// Bottleneck returns a proof that the maximum utilisation cannot be below u. The proof lists demand that does
// not fit if all hosts stay below u. Bottleneck returns nil if there is no demand.
func (p *Problem) Bottleneck(at float64, u placement.Ratio) *placement.Infeasibility {
	return p.prove(at, func(h int) int64 {
		if load := p.capacity[h] * u.Load; load > 0 {
			return (load - 1) / u.Capacity // the highest load that is still below the ratio
		}
		return 0
	})
}

// shortfall distributes the demand of the marked rows. It returns how much of it does not fit, the network
// and the source's side of the minimum cut, which proves the shortfall.
func (p *Problem) shortfall(marked []bool, capacity func(host int) int64) (
	unassigned int64, n *network, cut []bool) {
	n = p.resetNetwork(false, nil)
	for i, arc := range n.rowArcs {
		if marked[i] {
			unassigned += p.rows[i].rate
		} else {
			n.SetCapacity(arc, 0)
		}
	}
	for h, arc := range n.hostArcs {
		n.SetCapacity(arc, capacity(h))
	}
	unassigned -= n.Augment(n.source, n.sink, unassigned)
	return unassigned, n, n.Reachable(n.source)
}

// prove finds a small set of rows whose demand does not fit, and the limits that it exceeds.
func (p *Problem) prove(at float64, capacity func(host int) int64) *placement.Infeasibility {
	all := make([]bool, len(p.rows))
	for i := range all {
		all[i] = true
	}
	unassigned, n, cut := p.shortfall(all, capacity)
	if unassigned == 0 {
		return nil
	}
	marked := p.dropSegments(p.smallestComponent(n, cut), capacity)
	unassigned, n, cut = p.shortfall(marked, capacity)
	proof := &placement.Infeasibility{At: at, Shortfall: unassigned}
	for i, r := range p.rows {
		if marked[i] && r.rate > 0 {
			proof.Needs = append(proof.Needs, placement.Need{
				Segment: p.model.Segments[r.segment].Name,
				Zone:    p.model.Zones[r.zone].Name,
				Rate:    r.rate,
			})
		}
	}
	for h, zone := range p.zoneOf {
		if cut[n.firstHost+h] && !cut[n.firstZone+zone] {
			proof.Limits = append(proof.Limits, placement.Limit{
				Kind:     p.limitKind(h, at),
				Name:     p.model.Hosts[h].Name,
				Capacity: capacity(h),
			})
		}
	}
	for i, limit := range p.zoneLimits {
		if cut[n.firstZone+i] {
			proof.Limits = append(proof.Limits, placement.Limit{
				Kind:     p.zoneLimitKind(i),
				Name:     p.model.Zones[i].Name,
				Capacity: limit,
			})
		}
	}
	return proof
}

// dropSegments unmarks the rows of each segment that a proof does not need. It tries segments in ascending
// order of demand, so that few segments with high demand remain.
func (p *Problem) dropSegments(marked []bool, capacity func(host int) int64) []bool {
	const maxTried = 300 // segments; a proof with more of them is not reduced
	var segments []int
	demand := map[int]int64{}
	for i, r := range p.rows {
		if marked[i] && !slices.Contains(segments, r.segment) {
			segments = append(segments, r.segment)
		}
		demand[r.segment] += r.rate
	}
	if len(segments) > maxTried {
		return marked
	}
	slices.SortStableFunc(segments, func(a, b int) int { return int(demand[a] - demand[b]) })
	for _, segment := range segments {
		reduced := slices.Clone(marked)
		for i, r := range p.rows {
			reduced[i] = reduced[i] && r.segment != segment
		}
		if unassigned, _, _ := p.shortfall(reduced, capacity); unassigned > 0 {
			marked = reduced
		}
	}
	return marked
}

// limitKind returns which kind of limit applies to a host at a moment.
func (p *Problem) limitKind(h int, at float64) placement.LimitKind {
	host := &p.model.Hosts[h]
	switch {
	case host.State == gather.Draining:
		return placement.HostDraining
	case host.State == gather.Removed || p.lost != nil && p.lost[h]:
		return placement.HostGone
	case host.StartedAt > at-p.model.ClockSkew:
		return placement.HostNotStarted
	case p.capacity[h] < host.Capacity:
		return placement.HostWarmingUp
	}
	return placement.HostCapacity
}

// zoneLimitKind returns which of a zone's two limits applies: the lower one.
func (p *Problem) zoneLimitKind(zone int) placement.LimitKind {
	if z := &p.model.Zones[zone]; z.MaxLoad < 0 || p.zoneLimits[zone] < z.MaxLoad {
		return placement.ZoneHeadroom
	}
	return placement.ZoneMaxLoad
}

// components is a union-find structure over nodes. It holds the parent of each node; the root of a set is its
// own parent.
type components []int

func newComponents(nodes int) components {
	c := make(components, nodes)
	for i := range c {
		c[i] = i
	}
	return c
}

// find returns the root of the set of a node.
func (c components) find(node int) int {
	for c[node] != node {
		c[node] = c[c[node]]
		node = c[node]
	}
	return node
}

func (c components) join(a, b int) { c[c.find(a)] = c.find(b) }

// smallestComponent marks the rows of one component of a cut. Components have no host and no zone in
// common. Among the components whose own demand does not fit, it chooses the one with the fewest rows.
func (p *Problem) smallestComponent(n *network, cut []bool) []bool {
	c := p.cutComponents(n, cut)
	unassigned := map[int]int64{}
	rows := map[int]int{}
	for i, r := range p.rows {
		if node := n.firstRow + i; cut[node] {
			unassigned[c.find(node)] += r.rate
			rows[c.find(node)]++
		}
	}
	for h, zone := range p.zoneOf {
		if cut[n.firstHost+h] && !cut[n.firstZone+zone] {
			unassigned[c.find(n.firstHost+h)] -= n.Capacity(n.hostArcs[h])
		}
	}
	for i, limit := range p.zoneLimits {
		if cut[n.firstZone+i] {
			unassigned[c.find(n.firstZone+i)] -= limit
		}
	}
	best := -1
	for i := range p.rows { // in row order, since the order of a map is random
		root := c.find(n.firstRow + i)
		if cut[n.firstRow+i] && unassigned[root] > 0 && (best < 0 || rows[root] < rows[best]) {
			best = root
		}
	}
	marked := make([]bool, len(p.rows))
	for i := range p.rows {
		marked[i] = cut[n.firstRow+i] && c.find(n.firstRow+i) == best
	}
	return marked
}

// cutComponents returns the connected components of the nodes on the source's side of a cut: rows with the
// hosts of their segments, and hosts with their zones.
func (p *Problem) cutComponents(n *network, cut []bool) components {
	c := newComponents(n.firstZone + len(p.zoneLimits))
	for i, r := range p.rows {
		for _, h := range p.replicas[r.segment] {
			if cut[n.firstRow+i] {
				c.join(n.firstHost+h, n.firstRow+i)
			}
		}
	}
	for h, zone := range p.zoneOf {
		if cut[n.firstHost+h] && cut[n.firstZone+zone] {
			c.join(n.firstZone+zone, n.firstHost+h)
		}
	}
	return c
}

// AddRelaxations adds a relaxation for each limit of a proof. It determines whether all demand fits if that
// limit alone is raised by the shortfall. It omits hosts whose capacity would be too low for that even when
// they are warm and running.
func (p *Problem) AddRelaxations(proof *placement.Infeasibility) {
	for i, limit := range proof.Limits {
		to := limit.Capacity + proof.Shortfall
		capacity := slices.Clone(p.capacity)
		zoneLimits := slices.Clone(p.zoneLimits)
		isPossible := p.relax(limit, to)
		n := p.resetNetwork(false, nil)
		n.setUtilisation(placement.Ratio{Load: 1, Capacity: 1})
		isSufficient := n.Augment(n.source, n.sink, p.demand) == p.demand
		if isPossible {
			proof.Relaxations = append(proof.Relaxations,
				placement.Relaxation{Limit: i, To: to, Sufficient: isSufficient})
		}
		p.capacity = capacity
		p.zoneLimits = zoneLimits
	}
}

// relax raises a limit. It reports whether that is possible; the limit of a host that is not warm or not
// running cannot exceed the capacity of the host.
func (p *Problem) relax(limit placement.Limit, to int64) (isPossible bool) {
	isPossible = true
	if limit.Kind.OfZone() {
		for i := range p.model.Zones {
			if p.model.Zones[i].Name == limit.Name {
				p.zoneLimits[i] = to
			}
		}
		return isPossible
	}
	for i := range p.model.Hosts {
		if p.model.Hosts[i].Name == limit.Name {
			p.capacity[i] = to
			isPossible = limit.Kind == placement.HostCapacity || to <= p.model.Hosts[i].Capacity
		}
	}
	return isPossible
}
