// Package balance works out weights: how demand is shared among the hosts that hold what is asked for.
//
// It decides, for a model of logic/placement, the least greatest utilisation, then the least cost, then the
// least change from the plan in force, in whole units and exactly; where nothing fits, the proof of it; and
// ahead of time the weights while hosts warm up and after losses. What it may never do is said there.
package balance

import (
	"cmp"
	"slices"

	"yokeroute/logic/flow"
	"yokeroute/logic/placement"
)

// row is a demand with its hosts by their number.
type row struct {
	segment, zone int
	rate          int64
}

// Problem is a model by numbers, with what its hosts can take at one moment.
type Problem struct {
	model      *placement.Model
	zoneOf     []int   // hall of each host
	replicas   [][]int // hosts of each segment
	rows       []row
	zoneCosts  [][]int64 // price from hall to hall
	demand     int64
	capacity   []int64     // what each host may take now
	zoneLimits []int64     // what each hall may take now, -1 for any
	lost       []bool      // hosts that count as gone, nil for none
	networks   [2]*network // kept from solve to solve: without prices, and with
}

// NewProblem compiles a model that Check and Normal have passed.
func NewProblem(m *placement.Model) *Problem {
	p := &Problem{model: m, capacity: make([]int64, len(m.Hosts)), zoneLimits: make([]int64, len(m.Zones))}
	halls, hosts, segments := map[string]int{}, map[string]int{}, map[string]int{}
	for i, h := range m.Zones {
		halls[h.Name] = i
	}
	for i, h := range m.Hosts {
		hosts[h.Name] = i
		p.zoneOf = append(p.zoneOf, halls[h.Zone])
	}
	for i, s := range m.Segments {
		segments[s.Name] = i
		on := make([]int, len(s.Hosts))
		for j, name := range s.Hosts {
			on[j] = hosts[name]
		}
		p.replicas = append(p.replicas, on)
	}
	for _, d := range m.Demands {
		p.rows = append(p.rows, row{segments[d.Segment], halls[d.Zone], d.Rate})
		p.demand += d.Rate
	}
	for i := range m.Zones {
		p.zoneCosts = append(p.zoneCosts, make([]int64, len(m.Zones)))
		for j := range m.Zones {
			if i != j {
				p.zoneCosts[i][j] = placement.DefaultZoneCost
			}
		}
	}
	for _, back := range []bool{true, false} { // first the other way round, so that one that is given prevails
		for _, c := range m.ZoneCosts {
			from, to := halls[c.From], halls[c.To]
			if back {
				from, to = to, from
			}
			p.zoneCosts[from][to] = c.Cost
		}
	}
	return p
}

// SetTime brings what hosts and halls can take to a moment; hosts in lost count as gone.
func (p *Problem) SetTime(at float64, lost []bool) {
	room := make([]int64, len(p.model.Zones))
	p.lost = lost
	for i := range p.model.Hosts {
		p.capacity[i] = 0
		if lost == nil || !lost[i] {
			p.capacity[i] = p.model.SafeCapacity(&p.model.Hosts[i], at)
		}
		room[p.zoneOf[i]] += p.capacity[i]
	}
	for i := range p.model.Zones {
		p.zoneLimits[i] = p.model.Zones[i].LoadLimit(room[i])
	}
}

// CopyCapacity brings what hosts and halls can take to what they can in another problem of the same model.
func (p *Problem) CopyCapacity(o *Problem) {
	copy(p.capacity, o.capacity)
	copy(p.zoneLimits, o.zoneLimits)
}

// network is the network of a problem: source, rows, hosts, halls, sink.
type network struct {
	*flow.Network
	p            *Problem
	inForce      [][]int64
	source, sink int
	hosts, zones int     // numbers of the first of them
	rowArcs      []int   // arc from the source to each row
	hostArcs     []int   // arc from each host to its hall
	weightArcs   [][]int // arc from each row to each of its hosts
	inForceArcs  [][]int // the same for what the plan in force gave it, -1 for nothing
	zoneArcs     []int
}

// resetNetwork gives the problem's network without flow; hosts take nothing yet. With prices come two arcs from a
// row to a host: what the plan in force gave it goes first, at one unit of change less, and what is more
// costs one unit of change, which sums up to the change. Its arcs are laid out once, against garbage by the
// million where a solve goes through all losses.
func (p *Problem) resetNetwork(priced bool, before [][]int64) *network {
	at := 0
	if priced {
		at = 1
	}
	n := p.networks[at]
	if n == nil || len(n.inForce) != len(before) || len(before) > 0 && &n.inForce[0] != &before[0] {
		n = p.buildNetwork(priced, before)
		p.networks[at] = n
	}
	n.Reset()
	for i, r := range p.rows {
		n.SetCapacity(n.rowArcs[i], r.rate)
	}
	for _, arc := range n.hostArcs {
		n.SetCapacity(arc, 0)
	}
	for i, arc := range n.zoneArcs {
		if n.SetCapacity(arc, p.zoneLimits[i]); p.zoneLimits[i] < 0 {
			n.SetCapacity(arc, placement.MaxRate)
		}
	}
	return n
}

func (p *Problem) buildNetwork(priced bool, before [][]int64) *network {
	n := &network{p: p, inForce: before, source: 0, sink: 1, hosts: 2 + len(p.rows)}
	n.zones = n.hosts + len(p.capacity)
	n.Network = flow.New(n.zones + len(p.zoneLimits))
	for i, r := range p.rows {
		n.rowArcs = append(n.rowArcs, n.AddArc(n.source, 2+i, 0, flow.Cost{}))
		var share, kept []int
		for j, h := range p.replicas[r.segment] {
			price, had := flow.Cost{}, int64(0)
			if priced {
				price.First = p.zoneCosts[r.zone][p.zoneOf[h]] + p.model.Hosts[h].Cost
				if before != nil {
					had = before[i][j]
				}
			}
			arc := -1
			if had > 0 {
				arc = n.AddArc(2+i, n.hosts+h, had, flow.Cost{First: price.First, Second: -1})
			}
			kept = append(kept, arc)
			if priced {
				price.Second = 1
			}
			share = append(share, n.AddArc(2+i, n.hosts+h, placement.MaxRate, price))
		}
		n.weightArcs, n.inForceArcs = append(n.weightArcs, share), append(n.inForceArcs, kept)
	}
	for h, hall := range p.zoneOf {
		n.hostArcs = append(n.hostArcs, n.AddArc(n.hosts+h, n.zones+hall, 0, flow.Cost{}))
	}
	for i := range p.zoneLimits {
		n.zoneArcs = append(n.zoneArcs, n.AddArc(n.zones+i, n.sink, 0, flow.Cost{}))
	}
	return n
}

// setUtilisation lets each host take what the ratio leaves it.
func (n *network) setUtilisation(u placement.Ratio) {
	for h, arc := range n.hostArcs {
		n.SetCapacity(arc, u.MaxLoad(n.p.capacity[h]))
	}
}

// MinUtilisation finds the least greatest utilisation under which all demand finds a host, or false where even full
// hosts are not enough; over lets hosts be filled beyond their capacity and halls beyond their limits, for
// what is left after a loss. It rises from a bound that holds for certain: while demand is left over, a least
// cut names rows that have nowhere else to go than its hosts, and the least ratio at which these could take
// them is the next bound. So the first ratio that is enough is the least one, exactly.
func (p *Problem) MinUtilisation(over bool) (placement.Ratio, bool) {
	n := p.resetNetwork(false, nil)
	if over {
		for _, arc := range n.zoneArcs {
			n.SetCapacity(arc, placement.MaxRate)
		}
	}
	u, left := placement.Ratio{Load: 0, Capacity: 1}, p.demand
	for left > 0 {
		cut := n.Reachable(n.source)
		need, hosts := int64(0), []int(nil)
		for i, r := range p.rows {
			if cut[2+i] {
				need += r.rate
			}
		}
		for h, hall := range p.zoneOf {
			if cut[n.hosts+h] && !cut[n.zones+hall] {
				hosts = append(hosts, h)
			}
		}
		for i, arc := range n.zoneArcs {
			if cut[n.zones+i] {
				need -= n.Capacity(arc)
			}
		}
		next, ok := p.minUtilisationOn(hosts, need)
		if !ok || !over && next.Load > next.Capacity {
			return u, false
		}
		u = next
		n.setUtilisation(u)
		left -= n.Augment(n.source, n.sink, left)
	}
	return u, true
}

// minUtilisationOn is the least ratio at which so many whole units find room on these hosts.
func (p *Problem) minUtilisationOn(hosts []int, need int64) (placement.Ratio, bool) {
	sum := int64(0)
	for _, h := range hosts {
		sum += p.capacity[h]
	}
	if sum == 0 {
		return placement.Ratio{}, false
	}
	u := placement.Ratio{Load: need, Capacity: sum} // without rounding down it would be enough
	took := int64(0)
	for _, h := range hosts {
		took += u.MaxLoad(p.capacity[h])
	}
	// From there each host's next whole unit comes at a ratio of its own; they are gone through in order. Fewer
	// are missing than there are hosts, since each is rounded down by less than one.
	var next []placement.Ratio
	for _, h := range hosts {
		if c := p.capacity[h]; c > 0 {
			next = append(next, placement.Ratio{Load: u.MaxLoad(c) + 1, Capacity: c})
		}
	}
	slices.SortFunc(next, compare)
	for ; took < need; took++ {
		u = next[0]
		next = next[1:]
		again := placement.Ratio{Load: u.Load + 1, Capacity: u.Capacity}
		at, _ := slices.BinarySearchFunc(next, again, compare)
		next = slices.Insert(next, at, again)
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

// MinCost shares out all demand at no more than the ratio: at the least cost, and among these with the least
// change from the rows in force. Demand has to fit, as Least has found. It gives the units of each row and
// replica, the cost in thousandths a second and the change in units a second.
func (p *Problem) MinCost(u placement.Ratio, over bool, before [][]int64) (
	units [][]int64, cost, change int64) {
	n := p.resetNetwork(true, before)
	n.setUtilisation(u)
	if over {
		for _, arc := range n.zoneArcs {
			n.SetCapacity(arc, placement.MaxRate)
		}
	}
	_, price := n.MinCostFlow(n.source, n.sink, p.demand)
	change = price.Second
	for i := range p.rows {
		row := make([]int64, len(n.weightArcs[i]))
		for j, arc := range n.weightArcs[i] {
			row[j] = n.Flow(arc)
			if k := n.inForceArcs[i][j]; k >= 0 {
				row[j] += n.Flow(k)
				change += n.Capacity(k)
			}
		}
		units = append(units, row)
	}
	return units, price.First, change
}

// Rows names the units of a solution.
func (p *Problem) Rows(units [][]int64) []placement.Row {
	rows := make([]placement.Row, len(units))
	for i, r := range p.rows {
		s := &p.model.Segments[r.segment]
		rows[i] = placement.Row{Segment: s.Name, ReplicaSet: s.ReplicaSet, Zone: p.model.Zones[r.zone].Name}
		for j, h := range p.replicas[r.segment] {
			rows[i].Weights = append(rows[i].Weights, placement.Weight{Host: p.model.Hosts[h].Name, Rate: units[i][j]})
		}
	}
	return rows
}

// Units finds the problem's rows in those of a plan; what the plan does not have is zero.
func (p *Problem) Units(rows []placement.Row) [][]int64 {
	at := map[[2]string]*placement.Row{}
	for i := range rows {
		at[[2]string{rows[i].Segment, rows[i].Zone}] = &rows[i]
	}
	units := make([][]int64, len(p.rows))
	for i, r := range p.rows {
		units[i] = make([]int64, len(p.replicas[r.segment]))
		had := at[[2]string{p.model.Segments[r.segment].Name, p.model.Zones[r.zone].Name}]
		if had == nil {
			continue
		}
		for j, h := range p.replicas[r.segment] {
			k, found := slices.BinarySearchFunc(had.Weights, p.model.Hosts[h].Name,
				func(w placement.Weight, name string) int { return cmp.Compare(w.Host, name) })
			if found {
				units[i][j] = had.Weights[k].Rate
			}
		}
	}
	return units
}

// Loads sums up what each host gets.
func (p *Problem) Loads(units [][]int64) []int64 {
	loads := make([]int64, len(p.capacity))
	for i, r := range p.rows {
		for j, h := range p.replicas[r.segment] {
			loads[h] += units[i][j]
		}
	}
	return loads
}

// MaxUtilisation is the greatest utilisation among hosts; one that may take nothing and gets something counts as if
// it could take one unit.
func (p *Problem) MaxUtilisation(loads []int64) placement.Ratio {
	most := placement.Ratio{Load: 0, Capacity: 1}
	for h, load := range loads {
		r := placement.Ratio{Load: load, Capacity: p.capacity[h]}
		r.Capacity = max(r.Capacity, 1)
		if load > 0 && most.Less(r) {
			most = r
		}
	}
	return most
}

// hasCapacity reports whether any host of the segment can take anything now.
func (p *Problem) hasCapacity(segment int) bool {
	return slices.ContainsFunc(p.replicas[segment], func(h int) bool { return p.capacity[h] > 0 })
}

// SetHosts lets a segment be held by these hosts, by their numbers in rising order, whatever its model says.
func (p *Problem) SetHosts(segment int, hosts []int) {
	p.replicas[segment], p.networks = hosts, [2]*network{}
}

// MoveReplica puts a replica of a segment on another host. Unlike Place it keeps what is laid out, for searches that
// go through placements by the thousand; the plan in force has to be left out of their solves.
func (p *Problem) MoveReplica(segment, slot, host int) {
	p.replicas[segment][slot] = host
	for _, n := range p.networks {
		for i, r := range p.rows {
			if n == nil || r.segment != segment {
				continue
			}
			arc := n.weightArcs[i][slot]
			n.Retarget(arc, n.hosts+host)
			if n == p.networks[1] {
				n.SetCost(arc, flow.Cost{First: p.zoneCosts[r.zone][p.zoneOf[host]] + p.model.Hosts[host].Cost, Second: 1})
			}
		}
	}
}

// CrossZoneLoads sums up, for each segment and hall, what the gatherers of the hall are given elsewhere.
func (p *Problem) CrossZoneLoads(units [][]int64) [][]int64 {
	crossing := make([][]int64, len(p.replicas))
	for s := range crossing {
		crossing[s] = make([]int64, len(p.zoneLimits))
	}
	for i, r := range p.rows {
		for j, h := range p.replicas[r.segment] {
			if p.zoneOf[h] != r.zone {
				crossing[r.segment][r.zone] += units[i][j]
			}
		}
	}
	return crossing
}

// Hosts are the hosts of a segment, by their numbers.
func (p *Problem) Hosts(segment int) []int { return p.replicas[segment] }

// Capacity is what a host may take now, and HallCan what a hall may, -1 for any.
func (p *Problem) Capacity(host int) int64 { return p.capacity[host] }

// ZoneLimit is what a hall may take now, -1 for any.
func (p *Problem) ZoneLimit(hall int) int64 { return p.zoneLimits[hall] }

// Zone is the number of a host's hall.
func (p *Problem) Zone(host int) int { return p.zoneOf[host] }

// RelaxLimits takes limits away, for finding which of them clash: of halls, or of hosts' capacity.
func (p *Problem) RelaxLimits(halls []bool, hosts bool) {
	for i, free := range halls {
		if free {
			p.zoneLimits[i] = -1
		}
	}
	for h := range p.capacity {
		if hosts && p.capacity[h] > 0 {
			p.capacity[h] = placement.MaxRate
		}
	}
}

// SegmentDemands is what all gatherers together ask of each segment.
func (p *Problem) SegmentDemands() []int64 {
	asked := make([]int64, len(p.replicas))
	for _, r := range p.rows {
		asked[r.segment] += r.rate
	}
	return asked
}

// MinUtilisationOn is the least ratio at which so many units find room on these hosts alone; it may be above one, and
// false where they can take nothing.
func (p *Problem) MinUtilisationOn(hosts []int, need int64) (placement.Ratio, bool) {
	if need == 0 {
		return placement.Ratio{Load: 0, Capacity: 1}, true
	}
	return p.minUtilisationOn(hosts, need)
}
