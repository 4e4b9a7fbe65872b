package balance

import (
	"slices"

	"yokeroute/gather"
	"yokeroute/logic/placement"
)

// Infeasibility proves that demand does not fit what hosts and halls can take now, or gives nil where it does.
func (p *Problem) Infeasibility(at float64) *placement.Infeasibility {
	return p.prove(at, func(h int) int64 { return p.capacity[h] })
}

// Bottleneck shows why the greatest utilisation cannot be less than u: the needs that no hosts filled any
// less could take. It is nil where nothing is asked for.
func (p *Problem) Bottleneck(at float64, u placement.Ratio) *placement.Infeasibility {
	return p.prove(at, func(h int) int64 {
		if full := p.capacity[h] * u.Load; full > 0 {
			return (full - 1) / u.Capacity // the most that is still under the ratio
		}
		return 0
	})
}

// shortfall fills only the rows marked and gives how much is left over, with the cut that proves it.
func (p *Problem) shortfall(only []bool, room func(h int) int64) (left int64, n *network, cut []bool) {
	n = p.resetNetwork(false, nil)
	for i, arc := range n.rowArcs {
		if !only[i] {
			n.SetCapacity(arc, 0)
		} else {
			left += p.rows[i].rate
		}
	}
	for h, arc := range n.hostArcs {
		n.SetCapacity(arc, room(h))
	}
	left -= n.Augment(n.source, n.sink, left)
	return left, n, n.Reachable(n.source)
}

// maxShrunkSegments bounds how many segments are tried one by one when a proof is made smaller.
const maxShrunkSegments = 300

func (p *Problem) prove(at float64, room func(h int) int64) *placement.Infeasibility {
	only := make([]bool, len(p.rows))
	for i := range only {
		only[i] = true
	}
	left, n, cut := p.shortfall(only, room)
	if left == 0 {
		return nil
	}
	only = p.smallestComponent(n, cut)
	// Take away each segment that the proof does not need, the lightest first, so that what stays is few and
	// heavy.
	var segments []int
	weight := map[int]int64{}
	for i, r := range p.rows {
		if only[i] && !slices.Contains(segments, r.segment) {
			segments = append(segments, r.segment)
		}
		weight[r.segment] += r.rate
	}
	slices.SortStableFunc(segments, func(a, b int) int { return int(weight[a] - weight[b]) })
	if len(segments) <= maxShrunkSegments {
		for _, s := range segments {
			fewer := slices.Clone(only)
			for i, r := range p.rows {
				fewer[i] = fewer[i] && r.segment != s
			}
			if left, _, _ := p.shortfall(fewer, room); left > 0 {
				only = fewer
			}
		}
	}
	left, n, cut = p.shortfall(only, room)
	c := &placement.Infeasibility{At: at, Shortfall: left}
	for i, r := range p.rows {
		if only[i] && r.rate > 0 {
			c.Needs = append(c.Needs, placement.Need{Segment: p.model.Segments[r.segment].Name,
				Zone: p.model.Zones[r.zone].Name, Rate: r.rate})
		}
	}
	for h, hall := range p.zoneOf {
		if cut[n.hosts+h] && !cut[n.zones+hall] {
			c.Limits = append(c.Limits, placement.Limit{Kind: p.limitKind(h, at), Name: p.model.Hosts[h].Name, Capacity: room(h)})
		}
	}
	for i := range p.zoneLimits {
		if cut[n.zones+i] {
			kind := placement.ZoneMaxLoad
			if h := &p.model.Zones[i]; h.MaxLoad < 0 || p.zoneLimits[i] < h.MaxLoad {
				kind = placement.ZoneHeadroom
			}
			c.Limits = append(c.Limits, placement.Limit{Kind: kind, Name: p.model.Zones[i].Name, Capacity: p.zoneLimits[i]})
		}
	}
	return c
}

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

// smallestComponent picks, of the parts of a cut that have nothing to do with each other, the one of fewest rows that
// falls short by itself.
func (p *Problem) smallestComponent(n *network, cut []bool) []bool {
	root := make([]int, n.zones+len(p.zoneLimits))
	for i := range root {
		root[i] = i
	}
	find := func(i int) int {
		for root[i] != i {
			root[i] = root[root[i]]
			i = root[i]
		}
		return i
	}
	for i, r := range p.rows {
		for _, h := range p.replicas[r.segment] {
			if cut[2+i] {
				root[find(n.hosts+h)] = find(2 + i)
			}
		}
	}
	for h, hall := range p.zoneOf {
		if cut[n.hosts+h] && cut[n.zones+hall] {
			root[find(n.zones+hall)] = find(n.hosts + h)
		}
	}
	short, rows := map[int]int64{}, map[int]int{}
	for i, r := range p.rows {
		if cut[2+i] {
			short[find(2+i)] += r.rate
			rows[find(2+i)]++
		}
	}
	for h, hall := range p.zoneOf {
		if cut[n.hosts+h] && !cut[n.zones+hall] {
			short[find(n.hosts+h)] -= n.Capacity(n.hostArcs[h])
		}
	}
	for i, most := range p.zoneLimits {
		if cut[n.zones+i] {
			short[find(n.zones+i)] -= most
		}
	}
	best := -1
	only := make([]bool, len(p.rows))
	for i := range p.rows { // by rows, not by the map's order
		if at := find(2 + i); cut[2+i] && short[at] > 0 && (best < 0 || rows[at] < rows[best]) {
			best = at
		}
	}
	for i := range p.rows {
		only[i] = cut[2+i] && find(2+i) == best
	}
	return only
}

// AddRelaxations tries, for each limit of a clash, whether raising it alone by what is short lets everything fit.
func (p *Problem) AddRelaxations(c *placement.Infeasibility) {
	for i, l := range c.Limits {
		to := l.Capacity + c.Shortfall
		room, most, able := slices.Clone(p.capacity), slices.Clone(p.zoneLimits), true
		for h := range p.model.Hosts {
			if p.model.Hosts[h].Name == l.Name && l.Kind != placement.ZoneMaxLoad && l.Kind != placement.ZoneHeadroom {
				p.capacity[h] = to
				able = l.Kind == placement.HostCapacity || to <= p.model.Hosts[h].Capacity
			}
		}
		for h := range p.model.Zones {
			if p.model.Zones[h].Name == l.Name && (l.Kind == placement.ZoneMaxLoad || l.Kind == placement.ZoneHeadroom) {
				p.zoneLimits[h] = to
			}
		}
		n := p.resetNetwork(false, nil)
		n.setUtilisation(placement.Ratio{Load: 1, Capacity: 1})
		enough := n.Augment(n.source, n.sink, p.demand) == p.demand
		if able { // against advice to put a host back that would not be enough even then
			c.Relaxations = append(c.Relaxations, placement.Relaxation{Limit: i, To: to, Sufficient: enough})
		}
		p.capacity, p.zoneLimits = room, most
	}
}
