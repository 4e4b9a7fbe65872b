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
	segment, hall int
	rate          int64
}

// Problem is a model by numbers, with what its hosts can take at one moment.
type Problem struct {
	m        *placement.Model
	hallOf   []int   // hall of each host
	replicas [][]int // hosts of each segment
	rows     []row
	cross    [][]int64 // price from hall to hall
	total    int64
	caps     []int64 // what each host may take now
	most     []int64 // what each hall may take now, -1 for any
	lost     []bool  // hosts that count as gone, nil for none
	nets     [2]*net // kept from solve to solve: without prices, and with
}

// NewProblem compiles a model that Check and Normal have passed.
func NewProblem(m *placement.Model) *Problem {
	p := &Problem{m: m, caps: make([]int64, len(m.Hosts)), most: make([]int64, len(m.Zones))}
	halls, hosts, segments := map[string]int{}, map[string]int{}, map[string]int{}
	for i, h := range m.Zones {
		halls[h.Name] = i
	}
	for i, h := range m.Hosts {
		hosts[h.Name] = i
		p.hallOf = append(p.hallOf, halls[h.Zone])
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
		p.total += d.Rate
	}
	for i := range m.Zones {
		p.cross = append(p.cross, make([]int64, len(m.Zones)))
		for j := range m.Zones {
			if i != j {
				p.cross[i][j] = placement.DefaultZoneCost
			}
		}
	}
	for _, back := range []bool{true, false} { // first the other way round, so that one that is given prevails
		for _, c := range m.ZoneCosts {
			from, to := halls[c.From], halls[c.To]
			if back {
				from, to = to, from
			}
			p.cross[from][to] = c.Cost
		}
	}
	return p
}

// Set brings what hosts and halls can take to a moment; hosts in lost count as gone.
func (p *Problem) Set(at float64, lost []bool) {
	room := make([]int64, len(p.m.Zones))
	p.lost = lost
	for i := range p.m.Hosts {
		p.caps[i] = 0
		if lost == nil || !lost[i] {
			p.caps[i] = p.m.SafeCapacity(&p.m.Hosts[i], at)
		}
		room[p.hallOf[i]] += p.caps[i]
	}
	for i := range p.m.Zones {
		p.most[i] = p.m.Zones[i].LoadLimit(room[i])
	}
}

// SetLike brings what hosts and halls can take to what they can in another problem of the same model.
func (p *Problem) SetLike(o *Problem) {
	copy(p.caps, o.caps)
	copy(p.most, o.most)
}

// net is the network of a problem: source, rows, hosts, halls, sink.
type net struct {
	*flow.Network
	p            *Problem
	before       [][]int64
	source, sink int
	hosts, halls int     // numbers of the first of them
	into         []int   // arc from the source to each row
	out          []int   // arc from each host to its hall
	share        [][]int // arc from each row to each of its hosts
	kept         [][]int // the same for what the plan in force gave it, -1 for nothing
	hallOut      []int
}

// network gives the problem's network without flow; hosts take nothing yet. With prices come two arcs from a
// row to a host: what the plan in force gave it goes first, at one unit of change less, and what is more
// costs one unit of change, which sums up to the change. Its arcs are laid out once, against garbage by the
// million where a solve goes through all losses.
func (p *Problem) network(priced bool, before [][]int64) *net {
	at := 0
	if priced {
		at = 1
	}
	n := p.nets[at]
	if n == nil || len(n.before) != len(before) || len(before) > 0 && &n.before[0] != &before[0] {
		n = p.layOut(priced, before)
		p.nets[at] = n
	}
	n.Clear()
	for i, r := range p.rows {
		n.Raise(n.into[i], r.rate)
	}
	for _, arc := range n.out {
		n.Raise(arc, 0)
	}
	for i, arc := range n.hallOut {
		if n.Raise(arc, p.most[i]); p.most[i] < 0 {
			n.Raise(arc, placement.MaxRate)
		}
	}
	return n
}

func (p *Problem) layOut(priced bool, before [][]int64) *net {
	n := &net{p: p, before: before, source: 0, sink: 1, hosts: 2 + len(p.rows)}
	n.halls = n.hosts + len(p.caps)
	n.Network = flow.New(n.halls + len(p.most))
	for i, r := range p.rows {
		n.into = append(n.into, n.Arc(n.source, 2+i, 0, flow.Cost{}))
		var share, kept []int
		for j, h := range p.replicas[r.segment] {
			price, had := flow.Cost{}, int64(0)
			if priced {
				price.First = p.cross[r.hall][p.hallOf[h]] + p.m.Hosts[h].Cost
				if before != nil {
					had = before[i][j]
				}
			}
			arc := -1
			if had > 0 {
				arc = n.Arc(2+i, n.hosts+h, had, flow.Cost{First: price.First, Second: -1})
			}
			kept = append(kept, arc)
			if priced {
				price.Second = 1
			}
			share = append(share, n.Arc(2+i, n.hosts+h, placement.MaxRate, price))
		}
		n.share, n.kept = append(n.share, share), append(n.kept, kept)
	}
	for h, hall := range p.hallOf {
		n.out = append(n.out, n.Arc(n.hosts+h, n.halls+hall, 0, flow.Cost{}))
	}
	for i := range p.most {
		n.hallOut = append(n.hallOut, n.Arc(n.halls+i, n.sink, 0, flow.Cost{}))
	}
	return n
}

// open lets each host take what the ratio leaves it.
func (n *net) open(u placement.Ratio) {
	for h, arc := range n.out {
		n.Raise(arc, u.MaxLoad(n.p.caps[h]))
	}
}

// Least finds the least greatest utilisation under which all demand finds a host, or false where even full
// hosts are not enough; over lets hosts be filled beyond their capacity and halls beyond their limits, for
// what is left after a loss. It rises from a bound that holds for certain: while demand is left over, a least
// cut names rows that have nowhere else to go than its hosts, and the least ratio at which these could take
// them is the next bound. So the first ratio that is enough is the least one, exactly.
func (p *Problem) Least(over bool) (placement.Ratio, bool) {
	n := p.network(false, nil)
	if over {
		for _, arc := range n.hallOut {
			n.Raise(arc, placement.MaxRate)
		}
	}
	u, left := placement.Ratio{Load: 0, Capacity: 1}, p.total
	for left > 0 {
		cut := n.Cut(n.source)
		need, hosts := int64(0), []int(nil)
		for i, r := range p.rows {
			if cut[2+i] {
				need += r.rate
			}
		}
		for h, hall := range p.hallOf {
			if cut[n.hosts+h] && !cut[n.halls+hall] {
				hosts = append(hosts, h)
			}
		}
		for i, arc := range n.hallOut {
			if cut[n.halls+i] {
				need -= n.Most(arc)
			}
		}
		next, ok := p.leastFor(hosts, need)
		if !ok || !over && next.Load > next.Capacity {
			return u, false
		}
		u = next
		n.open(u)
		left -= n.Fill(n.source, n.sink, left)
	}
	return u, true
}

// leastFor is the least ratio at which so many whole units find room on these hosts.
func (p *Problem) leastFor(hosts []int, need int64) (placement.Ratio, bool) {
	sum := int64(0)
	for _, h := range hosts {
		sum += p.caps[h]
	}
	if sum == 0 {
		return placement.Ratio{}, false
	}
	u := placement.Ratio{Load: need, Capacity: sum} // without rounding down it would be enough
	took := int64(0)
	for _, h := range hosts {
		took += u.MaxLoad(p.caps[h])
	}
	// From there each host's next whole unit comes at a ratio of its own; they are gone through in order. Fewer
	// are missing than there are hosts, since each is rounded down by less than one.
	var next []placement.Ratio
	for _, h := range hosts {
		if c := p.caps[h]; c > 0 {
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

// Cheapest shares out all demand at no more than the ratio: at the least cost, and among these with the least
// change from the rows in force. Demand has to fit, as Least has found. It gives the units of each row and
// replica, the cost in thousandths a second and the change in units a second.
func (p *Problem) Cheapest(u placement.Ratio, over bool, before [][]int64) (
	units [][]int64, cost, change int64) {
	n := p.network(true, before)
	n.open(u)
	if over {
		for _, arc := range n.hallOut {
			n.Raise(arc, placement.MaxRate)
		}
	}
	_, price := n.Cheapest(n.source, n.sink, p.total)
	change = price.Second
	for i := range p.rows {
		row := make([]int64, len(n.share[i]))
		for j, arc := range n.share[i] {
			row[j] = n.Flow(arc)
			if k := n.kept[i][j]; k >= 0 {
				row[j] += n.Flow(k)
				change += n.Most(k)
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
		s := &p.m.Segments[r.segment]
		rows[i] = placement.Row{Segment: s.Name, ReplicaSet: s.ReplicaSet, Zone: p.m.Zones[r.hall].Name}
		for j, h := range p.replicas[r.segment] {
			rows[i].Weights = append(rows[i].Weights, placement.Weight{Host: p.m.Hosts[h].Name, Rate: units[i][j]})
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
		had := at[[2]string{p.m.Segments[r.segment].Name, p.m.Zones[r.hall].Name}]
		if had == nil {
			continue
		}
		for j, h := range p.replicas[r.segment] {
			k, found := slices.BinarySearchFunc(had.Weights, p.m.Hosts[h].Name,
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
	loads := make([]int64, len(p.caps))
	for i, r := range p.rows {
		for j, h := range p.replicas[r.segment] {
			loads[h] += units[i][j]
		}
	}
	return loads
}

// Greatest is the greatest utilisation among hosts; one that may take nothing and gets something counts as if
// it could take one unit.
func (p *Problem) Greatest(loads []int64) placement.Ratio {
	most := placement.Ratio{Load: 0, Capacity: 1}
	for h, load := range loads {
		r := placement.Ratio{Load: load, Capacity: p.caps[h]}
		r.Capacity = max(r.Capacity, 1)
		if load > 0 && most.Less(r) {
			most = r
		}
	}
	return most
}

// alive reports whether any host of the segment can take anything now.
func (p *Problem) alive(segment int) bool {
	return slices.ContainsFunc(p.replicas[segment], func(h int) bool { return p.caps[h] > 0 })
}

// Place lets a segment be held by these hosts, by their numbers in rising order, whatever its model says.
func (p *Problem) Place(segment int, hosts []int) {
	p.replicas[segment], p.nets = hosts, [2]*net{}
}

// Move puts a replica of a segment on another host. Unlike Place it keeps what is laid out, for searches that
// go through placements by the thousand; the plan in force has to be left out of their solves.
func (p *Problem) Move(segment, slot, host int) {
	p.replicas[segment][slot] = host
	for _, n := range p.nets {
		for i, r := range p.rows {
			if n == nil || r.segment != segment {
				continue
			}
			arc := n.share[i][slot]
			n.Retarget(arc, n.hosts+host)
			if n == p.nets[1] {
				n.Reprice(arc, flow.Cost{First: p.cross[r.hall][p.hallOf[host]] + p.m.Hosts[host].Cost, Second: 1})
			}
		}
	}
}

// Crossing sums up, for each segment and hall, what the gatherers of the hall are given elsewhere.
func (p *Problem) Crossing(units [][]int64) [][]int64 {
	crossing := make([][]int64, len(p.replicas))
	for s := range crossing {
		crossing[s] = make([]int64, len(p.most))
	}
	for i, r := range p.rows {
		for j, h := range p.replicas[r.segment] {
			if p.hallOf[h] != r.hall {
				crossing[r.segment][r.hall] += units[i][j]
			}
		}
	}
	return crossing
}

// Places are the hosts of a segment, by their numbers.
func (p *Problem) Places(segment int) []int { return p.replicas[segment] }

// Can is what a host may take now, and HallCan what a hall may, -1 for any.
func (p *Problem) Can(host int) int64 { return p.caps[host] }

// HallCan is what a hall may take now, -1 for any.
func (p *Problem) HallCan(hall int) int64 { return p.most[hall] }

// Hall is the number of a host's hall.
func (p *Problem) Hall(host int) int { return p.hallOf[host] }

// Free takes limits away, for finding which of them clash: of halls, or of hosts' capacity.
func (p *Problem) Free(halls []bool, hosts bool) {
	for i, free := range halls {
		if free {
			p.most[i] = -1
		}
	}
	for h := range p.caps {
		if hosts && p.caps[h] > 0 {
			p.caps[h] = placement.MaxRate
		}
	}
}

// Asked is what all gatherers together ask of each segment.
func (p *Problem) Asked() []int64 {
	asked := make([]int64, len(p.replicas))
	for _, r := range p.rows {
		asked[r.segment] += r.rate
	}
	return asked
}

// LeastOn is the least ratio at which so many units find room on these hosts alone; it may be above one, and
// false where they can take nothing.
func (p *Problem) LeastOn(hosts []int, need int64) (placement.Ratio, bool) {
	if need == 0 {
		return placement.Ratio{Load: 0, Capacity: 1}, true
	}
	return p.leastFor(hosts, need)
}
