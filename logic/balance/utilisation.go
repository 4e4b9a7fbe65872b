package balance

import (
	"slices"

	"yokeroute/logic/placement"
)

// idle is the ratio of hosts without load.
var idle = placement.Ratio{Load: 0, Capacity: 1}

// MinUtilisation returns the least maximum utilisation at which all demand finds a host, or false where
// even full hosts are not enough. If overload, hosts may be filled beyond their capacity and zones beyond
// their limits, for what is left after a loss.
//
// It rises from a lower bound: while demand is left over, a minimum cut names rows that have nowhere else
// to go than its hosts, and the least ratio at which these could take them is the next bound. So the first
// ratio that is enough is the least one, exactly.
func (p *Problem) MinUtilisation(overload bool) (placement.Ratio, bool) {
	n := p.resetNetwork(false, nil)
	if overload {
		n.liftZoneLimits()
	}
	u := idle
	left := p.demand
	for left > 0 {
		hosts, need := n.cutDemand()
		next, ok := p.minUtilisationOn(hosts, need)
		if !ok || !overload && next.Load > next.Capacity {
			return u, false
		}
		u = next
		n.setUtilisation(u)
		left -= n.Augment(n.source, n.sink, left)
	}
	return u, true
}

// cutDemand returns the hosts of a minimum cut, and the demand that has nowhere else to go: that of its
// rows, less what its full zones take.
func (n *network) cutDemand() (hosts []int, need int64) {
	cut := n.Reachable(n.source)
	for i, r := range n.problem.rows {
		if cut[n.rows+i] {
			need += r.rate
		}
	}
	for h, zone := range n.problem.zoneOf {
		if cut[n.hosts+h] && !cut[n.zones+zone] {
			hosts = append(hosts, h)
		}
	}
	for i, arc := range n.zoneArcs {
		if cut[n.zones+i] {
			need -= n.Capacity(arc)
		}
	}
	return hosts, need
}

// MinUtilisationOn returns the least ratio at which so many units fit on these hosts alone. It may be above
// one. It returns false where they can take nothing.
func (p *Problem) MinUtilisationOn(hosts []int, need int64) (placement.Ratio, bool) {
	if need == 0 {
		return idle, true
	}
	return p.minUtilisationOn(hosts, need)
}

// minUtilisationOn returns the least ratio at which so many whole units fit on these hosts.
func (p *Problem) minUtilisationOn(hosts []int, need int64) (placement.Ratio, bool) {
	sum := int64(0)
	for _, h := range hosts {
		sum += p.capacity[h]
	}
	if sum == 0 {
		return placement.Ratio{}, false
	}
	u := placement.Ratio{Load: need, Capacity: sum} // enough if loads did not have to be whole
	fitting := int64(0)
	for _, h := range hosts {
		fitting += u.MaxLoad(p.capacity[h])
	}
	// From there each host takes its next whole unit at a ratio of its own. They are gone through in order;
	// fewer units are missing than there are hosts, since each is rounded down by less than one.
	var next []placement.Ratio
	for _, h := range hosts {
		if capacity := p.capacity[h]; capacity > 0 {
			next = append(next, placement.Ratio{Load: u.MaxLoad(capacity) + 1, Capacity: capacity})
		}
	}
	slices.SortFunc(next, compare)
	for ; fitting < need; fitting++ {
		u = next[0]
		next = next[1:]
		after := placement.Ratio{Load: u.Load + 1, Capacity: u.Capacity}
		i, _ := slices.BinarySearchFunc(next, after, compare)
		next = slices.Insert(next, i, after)
	}
	return u, true
}

func compare(a, b placement.Ratio) int {
	switch {
	case a.Less(b):
		return -1
	case b.Less(a):
		return 1
	}
	return 0
}

// MaxUtilisation returns the greatest utilisation among hosts. One that may take nothing and has a load
// counts as if it could take one unit.
func (p *Problem) MaxUtilisation(loads []int64) placement.Ratio {
	greatest := idle
	for h, load := range loads {
		r := placement.Ratio{Load: load, Capacity: max(p.capacity[h], 1)}
		if load > 0 && greatest.Less(r) {
			greatest = r
		}
	}
	return greatest
}
