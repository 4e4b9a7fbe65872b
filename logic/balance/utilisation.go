package balance

import (
	"slices"

	"yokeroute/logic/placement"
)

// idleUtilisation is the utilisation of hosts without load.
var idleUtilisation = placement.Ratio{Load: 0, Capacity: 1}

// MinUtilisation returns the least maximum utilisation at which all demand fits, or false if it does not fit
// even at full capacity. With overload, hosts may be filled beyond their capacity and zones beyond their
// limits; this is for the hosts that remain after a loss.
//
// The search raises a lower bound. While some demand is unassigned, a minimum cut yields rows that can go
// only to the hosts of the cut, and the least ratio at which these hosts could take the rows is the next
// lower bound. Since each value is a lower bound, the first one at which all demand fits is exactly the
// minimum.
func (p *Problem) MinUtilisation(overload bool) (placement.Ratio, bool) {
	n := p.resetNetwork(false, nil)
	if overload {
		n.removeZoneLimits()
	}
	u := idleUtilisation
	unassigned := p.demand
	for unassigned > 0 {
		hosts, need := n.cutDemand()
		next, ok := p.minUtilisationOn(hosts, need)
		if !ok || !overload && next.Load > next.Capacity {
			return u, false
		}
		u = next
		n.setUtilisation(u)
		unassigned -= n.Augment(n.source, n.sink, unassigned)
	}
	return u, true
}

// cutDemand returns the hosts of a minimum cut, and the demand that can go only to them: the demand of the
// rows of the cut, less the limits of its full zones.
func (n *network) cutDemand() (hosts []int, need int64) {
	cut := n.Reachable(n.source)
	for i, r := range n.problem.rows {
		if cut[n.firstRow+i] {
			need += r.rate
		}
	}
	for h, zone := range n.problem.zoneOf {
		if cut[n.firstHost+h] && !cut[n.firstZone+zone] {
			hosts = append(hosts, h)
		}
	}
	for i, arc := range n.zoneArcs {
		if cut[n.firstZone+i] {
			need -= n.Capacity(arc)
		}
	}
	return hosts, need
}

// MinUtilisationOn returns the least ratio at which need units fit on the given hosts alone. It may be above
// one. It returns false if the hosts have no capacity.
func (p *Problem) MinUtilisationOn(hosts []int, need int64) (placement.Ratio, bool) {
	if need == 0 {
		return idleUtilisation, true
	}
	return p.minUtilisationOn(hosts, need)
}

// minUtilisationOn returns the least ratio at which need whole units fit on the given hosts. Need is above
// zero.
func (p *Problem) minUtilisationOn(hosts []int, need int64) (placement.Ratio, bool) {
	sum := int64(0)
	for _, h := range hosts {
		sum += p.capacity[h]
	}
	if sum == 0 {
		return placement.Ratio{}, false
	}
	u := placement.Ratio{Load: need, Capacity: sum} // the solution for fractional loads, a lower bound
	fittingUnits := int64(0)
	for _, h := range hosts {
		fittingUnits += u.MaxLoad(p.capacity[h])
	}
	// Above that bound, each host reaches its next whole unit at a ratio of its own. The loop goes through
	// these ratios in ascending order. It has fewer iterations than there are hosts, since the load of each
	// host was rounded down by less than one unit.
	var next []placement.Ratio
	for _, h := range hosts {
		if capacity := p.capacity[h]; capacity > 0 {
			next = append(next, placement.Ratio{Load: u.MaxLoad(capacity) + 1, Capacity: capacity})
		}
	}
	slices.SortFunc(next, compareRatios)
	for ; fittingUnits < need; fittingUnits++ {
		u = next[0]
		next = next[1:]
		following := placement.Ratio{Load: u.Load + 1, Capacity: u.Capacity}
		i, _ := slices.BinarySearchFunc(next, following, compareRatios)
		next = slices.Insert(next, i, following)
	}
	return u, true
}

func compareRatios(a, b placement.Ratio) int {
	switch {
	case a.Less(b):
		return -1
	case b.Less(a):
		return 1
	}
	return 0
}

// MaxUtilisation returns the highest utilisation of any host. For a host with load but without capacity, it
// assumes a capacity of one unit.
func (p *Problem) MaxUtilisation(loads []int64) placement.Ratio {
	highest := idleUtilisation
	for h, load := range loads {
		r := placement.Ratio{Load: load, Capacity: max(p.capacity[h], 1)}
		if load > 0 && highest.Less(r) {
			highest = r
		}
	}
	return highest
}
