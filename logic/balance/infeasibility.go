package balance

import (
	"slices"

	"yokeroute/gather"
	"yokeroute/logic/placement"
)

// Infeasibility proves that demand does not fit what hosts and zones can take now. It returns nil where it
// does.
func (p *Problem) Infeasibility(at float64) *placement.Infeasibility {
	return p.prove(at, func(h int) int64 { return p.capacity[h] })
}

// Bottleneck proves that the maximum utilisation cannot be less than u, by needs that hosts at a lower one
// could not take. It returns nil where there is no demand.
func (p *Problem) Bottleneck(at float64, u placement.Ratio) *placement.Infeasibility {
	return p.prove(at, func(h int) int64 {
		if load := p.capacity[h] * u.Load; load > 0 {
			return (load - 1) / u.Capacity // the greatest load that is still under the ratio
		}
		return 0
	})
}

// shortfall distributes the demand of the marked rows, and returns how much does not fit, with the cut that
// proves it.
func (p *Problem) shortfall(marked []bool, capacity func(host int) int64) (
	short int64, n *network, cut []bool) {
	n = p.resetNetwork(false, nil)
	for i, arc := range n.rowArcs {
		if marked[i] {
			short += p.rows[i].rate
		} else {
			n.SetCapacity(arc, 0)
		}
	}
	for h, arc := range n.hostArcs {
		n.SetCapacity(arc, capacity(h))
	}
	short -= n.Augment(n.source, n.sink, short)
	return short, n, n.Reachable(n.source)
}

// prove finds a small set of rows whose demand does not fit, and the limits that are in their way.
func (p *Problem) prove(at float64, capacity func(host int) int64) *placement.Infeasibility {
	all := make([]bool, len(p.rows))
	for i := range all {
		all[i] = true
	}
	short, n, cut := p.shortfall(all, capacity)
	if short == 0 {
		return nil
	}
	marked := p.dropSegments(p.smallestComponent(n, cut), capacity)
	short, n, cut = p.shortfall(marked, capacity)
	proof := &placement.Infeasibility{At: at, Shortfall: short}
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
		if cut[n.hosts+h] && !cut[n.zones+zone] {
			proof.Limits = append(proof.Limits, placement.Limit{
				Kind:     p.limitKind(h, at),
				Name:     p.model.Hosts[h].Name,
				Capacity: capacity(h),
			})
		}
	}
	for i, limit := range p.zoneLimits {
		if cut[n.zones+i] {
			proof.Limits = append(proof.Limits, placement.Limit{
				Kind:     p.zoneLimitKind(i),
				Name:     p.model.Zones[i].Name,
				Capacity: limit,
			})
		}
	}
	return proof
}

// dropSegments unmarks the rows of each segment that a proof does not need, the lightest first, so that few
// and heavy ones remain.
func (p *Problem) dropSegments(marked []bool, capacity func(host int) int64) []bool {
	const maxTried = 300 // segments; with more the proof stays as it is
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
		fewer := slices.Clone(marked)
		for i, r := range p.rows {
			fewer[i] = fewer[i] && r.segment != segment
		}
		if short, _, _ := p.shortfall(fewer, capacity); short > 0 {
			marked = fewer
		}
	}
	return marked
}

// limitKind returns what limits a host at a moment.
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

// zoneLimitKind returns which of a zone's two limits is the lower one.
func (p *Problem) zoneLimitKind(zone int) placement.LimitKind {
	if z := &p.model.Zones[zone]; z.MaxLoad < 0 || p.zoneLimits[zone] < z.MaxLoad {
		return placement.ZoneHeadroom
	}
	return placement.ZoneMaxLoad
}

// components are sets of nodes that are joined step by step.
type components []int // for each node another one of its set, or itself

func newComponents(nodes int) components {
	c := make(components, nodes)
	for i := range c {
		c[i] = i
	}
	return c
}

// find returns the node by which the set of a node is known.
func (c components) find(node int) int {
	for c[node] != node {
		c[node] = c[c[node]]
		node = c[node]
	}
	return node
}

func (c components) join(a, b int) { c[c.find(a)] = c.find(b) }

// smallestComponent marks the rows of one component of a cut. Components have no host and no zone in
// common. Of those whose demand does not fit by itself, it takes the one of fewest rows.
func (p *Problem) smallestComponent(n *network, cut []bool) []bool {
	c := p.cutComponents(n, cut)
	short := map[int]int64{}
	rows := map[int]int{}
	for i, r := range p.rows {
		if node := n.rows + i; cut[node] {
			short[c.find(node)] += r.rate
			rows[c.find(node)]++
		}
	}
	for h, zone := range p.zoneOf {
		if cut[n.hosts+h] && !cut[n.zones+zone] {
			short[c.find(n.hosts+h)] -= n.Capacity(n.hostArcs[h])
		}
	}
	for i, limit := range p.zoneLimits {
		if cut[n.zones+i] {
			short[c.find(n.zones+i)] -= limit
		}
	}
	best := -1
	for i := range p.rows { // in their order, which a map does not have
		root := c.find(n.rows + i)
		if cut[n.rows+i] && short[root] > 0 && (best < 0 || rows[root] < rows[best]) {
			best = root
		}
	}
	marked := make([]bool, len(p.rows))
	for i := range p.rows {
		marked[i] = cut[n.rows+i] && c.find(n.rows+i) == best
	}
	return marked
}

// cutComponents joins the nodes on the source's side of a cut that have to do with each other.
func (p *Problem) cutComponents(n *network, cut []bool) components {
	c := newComponents(n.zones + len(p.zoneLimits))
	for i, r := range p.rows {
		for _, h := range p.replicas[r.segment] {
			if cut[n.rows+i] {
				c.join(n.hosts+h, n.rows+i)
			}
		}
	}
	for h, zone := range p.zoneOf {
		if cut[n.hosts+h] && cut[n.zones+zone] {
			c.join(n.zones+zone, n.hosts+h)
		}
	}
	return c
}

// AddRelaxations finds, for each limit of a proof, whether raising it alone by the shortfall lets
// everything fit. It leaves out hosts that would not be able to take that much even when they are warm and
// running.
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

// relax raises a limit. It reports whether the host, if it is a host's, can ever take that much.
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
