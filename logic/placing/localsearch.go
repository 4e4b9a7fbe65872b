package placing

import (
	"cmp"
	"math"
	"slices"

	"yokeroute/internal/pcg"
	"yokeroute/logic/balance"
	"yokeroute/logic/flow"
	"yokeroute/logic/placement"
)

// localSearch is a placement on which a search works: a network at a target ratio in which segments' arcs
// can be led to other hosts, and how much demand does not fit it. That shortage falls by small steps
// where the greatest utilisation itself stands still for long, so that the search sees where it gets on.
type localSearch struct {
	*job
	random      *pcg.Source
	network     *flow.Network
	segmentArcs []int
	replicaArcs [][]int // arcs of each segment, in the order of its places
	hostArcs    []int
	zoneArcs    []int
	hosts       int // number of the first host's node
	zones       int
	places      [][]int // not in order
	segmentsOn  []int   // segments on each host
	moved       int
	shortfall   int64
	savedFlow   []int64
}

// search gives the best placement that a search of the job's effort finds.
func (j *job) search(seed uint64, bound placement.Ratio) (best [][]int, v value, found bool) {
	places, ok := j.initialPlacement()
	if !ok {
		return nil, value{}, false
	}
	take := func(places [][]int) {
		sorted := make([][]int, len(places))
		for s := range places {
			sorted[s] = slices.Sorted(slices.Values(places[s]))
		}
		if got, fits := j.evaluate(sorted); fits && (!found || got.less(v)) {
			best, v, found = sorted, got, true
		}
	}
	take(places)
	chance := pcg.New(seed)
	// Half of the effort goes to the ratio: first to the bound itself, then by halves between the bound and what
	// is found, since a target too low makes all changes look alike.
	target := bound
	for round := 0; round < 6 && j.attempts < j.effort/2 && j.hasTime(); round++ {
		if found && !bound.Less(v.utilisation) {
			break
		}
		h := j.newLocalSearch(places, target, chance)
		h.reduceShortfall(j.attempts + max(j.effort/12, 1))
		if places = h.places; h.shortfall == 0 {
			take(places)
		}
		high := 1.0
		if found {
			high = v.utilisation.Float()
		}
		target = placement.Ratio{Load: int64(math.Ceil((bound.Float() + high) / 2 * 1e6)), Capacity: 1e6}
	}
	if !found {
		h := j.newLocalSearch(places, placement.Ratio{Load: 1, Capacity: 1}, chance)
		h.reduceShortfall(max(j.effort/2, j.attempts+1))
		take(h.places)
	}
	if !found {
		return nil, v, false
	}
	// The rest goes to the cost and to copies not made.
	h := j.newLocalSearch(best, v.utilisation, chance)
	h.reduceCost(take, func() value { return v })
	return best, v, found
}

// newLocalSearch lays out the network of a placement at a target.
func (j *job) newLocalSearch(places [][]int, target placement.Ratio, chance *pcg.Source) *localSearch {
	h := &localSearch{
		job:        j,
		random:     chance,
		segmentsOn: make([]int, len(j.model.Hosts)),
		hosts:      2 + len(places),
	}
	h.zones = h.hosts + len(j.model.Hosts)
	h.network = flow.New(h.zones + len(j.model.Zones))
	total := int64(0)
	for s, hosts := range places {
		h.places = append(h.places, slices.Clone(hosts))
		h.segmentArcs = append(h.segmentArcs, h.network.AddArc(0, 2+s, j.demands[s], flow.Cost{}))
		total += j.demands[s]
		var slots []int
		for _, host := range hosts {
			slots = append(slots, h.network.AddArc(2+s, h.hosts+host, j.demands[s], flow.Cost{}))
			h.segmentsOn[host]++
		}
		h.replicaArcs = append(h.replicaArcs, slots)
		h.moved += j.moves(s, hosts)
	}
	for host := range j.model.Hosts {
		maxLoad := target.MaxLoad(j.problem.Capacity(host))
		arc := h.network.AddArc(h.hosts+host, h.zones+j.problem.Zone(host), maxLoad, flow.Cost{})
		h.hostArcs = append(h.hostArcs, arc)
	}
	for zone := range j.model.Zones {
		most := j.problem.ZoneLimit(zone)
		if most < 0 {
			most = placement.MaxRate
		}
		h.zoneArcs = append(h.zoneArcs, h.network.AddArc(h.zones+zone, 1, most, flow.Cost{}))
	}
	h.shortfall = total - h.network.Augment(0, 1, total)
	return h
}

// isAllowed reports whether a place of a segment may be taken by another host.
func (h *localSearch) isAllowed(s, slot, to int) bool {
	if slices.Contains(h.places[s], to) || h.segmentsOn[to] >= h.maxSegments(to) {
		return false
	}
	old := h.places[s][slot]
	copied := h.moved - h.moves(s, h.places[s])
	h.places[s][slot] = to
	ok := h.inEnoughZones(s, h.places[s]) && copied+h.moves(s, h.places[s]) <= h.maxMoves()
	h.places[s][slot] = old
	return ok
}

// moveReplica moves a place of a segment to another host and brings the flow up to it.
func (h *localSearch) moveReplica(s, slot, to int) {
	arc, from := h.replicaArcs[s][slot], h.places[s][slot]
	if f := h.network.Flow(arc); f > 0 {
		h.network.RemoveFlow(f, h.segmentArcs[s], arc, h.hostArcs[from], h.zoneArcs[h.problem.Zone(from)])
		h.shortfall += f
	}
	h.network.Retarget(arc, h.hosts+to)
	h.moved -= h.moves(s, h.places[s])
	h.places[s][slot] = to
	h.moved += h.moves(s, h.places[s])
	h.segmentsOn[from]--
	h.segmentsOn[to]++
	h.shortfall -= h.network.Augment(0, 1, h.shortfall)
}

// tryMove makes a change and keeps it if it is allowed to count as one.
func (h *localSearch) tryMove(s, slot, to int, keep func() bool) bool {
	from, short := h.places[s][slot], h.shortfall
	h.savedFlow = h.network.Save(h.savedFlow)
	h.attempts++
	h.moveReplica(s, slot, to)
	if keep() {
		return true
	}
	h.moved -= h.moves(s, h.places[s])
	h.places[s][slot] = from
	h.moved += h.moves(s, h.places[s])
	h.segmentsOn[to]--
	h.segmentsOn[from]++
	h.network.Retarget(h.replicaArcs[s][slot], h.hosts+from)
	h.network.Restore(h.savedFlow)
	h.shortfall = short
	return false
}

// slot is one replica of a segment.
type slot struct{ segment, index int }

// reduceShortfall moves replicas from hosts that are too full, by the cut that proves it, to hosts that
// have room. Now and then it keeps a change that makes nothing better, since some improvements take two
// steps, or one that makes it worse, to leave a local minimum.
func (h *localSearch) reduceShortfall(until int) {
	const worseOneIn = 4 // rounds without a change
	for h.shortfall > 0 && h.attempts < until && h.hasTime() {
		from, to := h.candidates()
		if len(from) == 0 || len(to) == 0 {
			h.swap(from)
			continue
		}
		if h.moveAny(from, to, until) || h.swap(from) || h.randomIndex(worseOneIn) != 0 {
			continue
		}
		f, host := from[h.randomIndex(len(from))], to[h.randomIndex(len(to))]
		if h.isAllowed(f.segment, f.index, host) {
			h.tryMove(f.segment, f.index, host, func() bool { return true })
		}
	}
}

// candidates returns the replicas whose segments and hosts are on the full side of the cut, and the hosts
// on the other side that have room.
func (h *localSearch) candidates() (from []slot, to []int) {
	cut := h.network.Reachable(0)
	for s := range h.places {
		for i, host := range h.places[s] {
			if cut[2+s] && cut[h.hosts+host] {
				from = append(from, slot{s, i})
			}
		}
	}
	for _, host := range h.usable {
		if !cut[h.hosts+host] && h.segmentsOn[host] < h.maxSegments(host) {
			to = append(to, host)
		}
	}
	return from, to
}

// moveAny moves one of the replicas to one of the hosts. It keeps a change that reduces the shortfall,
// and some that leave it as it is. It reports whether it has kept one.
func (h *localSearch) moveAny(from []slot, to []int, until int) bool {
	const (
		maxMoves   = 32
		equalOneIn = 8 // changes that leave the shortfall as it is
	)
	for range maxMoves {
		f, host := from[h.randomIndex(len(from))], to[h.randomIndex(len(to))]
		if h.attempts >= until || !h.isAllowed(f.segment, f.index, host) {
			h.attempts++ // so that the search ends where nothing is allowed
			continue
		}
		before := h.shortfall
		isKept := h.tryMove(f.segment, f.index, host, func() bool {
			return h.shortfall < before || h.shortfall == before && h.randomIndex(equalOneIn) == 0
		})
		if isKept {
			return true
		}
	}
	return false
}

// swap exchanges the hosts of two replicas, where hosts are full of segments. It reports whether it was kept.
func (h *localSearch) swap(from []slot) bool {
	if len(from) == 0 {
		from = append(from, slot{h.randomIndex(len(h.places)), 0})
	}
	for range 16 {
		f := from[h.randomIndex(len(from))]
		s, o := f.segment, h.randomIndex(len(h.places))
		slot, other := f.index, h.randomIndex(len(h.places[o]))
		a, b := h.places[s][slot], h.places[o][other]
		h.attempts++
		if s == o || a == b || slices.Contains(h.places[s], b) || slices.Contains(h.places[o], a) {
			continue
		}
		h.segmentsOn[a]--
		h.segmentsOn[b]--
		ok := h.isAllowed(s, slot, b) && h.isAllowed(o, other, a)
		h.segmentsOn[a]++
		h.segmentsOn[b]++
		if !ok {
			continue
		}
		before := h.shortfall
		h.moveReplica(s, slot, b)
		h.moveReplica(o, other, a)
		if h.shortfall < before && h.moved <= h.maxMoves() {
			return true
		}
		h.moveReplica(s, slot, a)
		h.moveReplica(o, other, b)
	}
	return false
}

func (h *localSearch) randomIndex(n int) int { return int(h.random.Uint32() % uint32(n)) }

// reduceCost tries changes that keep the ratio. First those that promise most: a replica in the zone whose
// gatherers are sent elsewhere, on the host with the most room. Then any: on cheaper hosts, or back where
// replicas are now.
func (h *localSearch) reduceCost(take func([][]int), now func() value) {
	p := balance.NewProblem(h.model)
	p.CopyCapacity(h.problem)
	for s, hosts := range h.places {
		p.SetHosts(s, slices.Clone(hosts))
	}
	u := now().utilisation
	units, cost, _ := p.MinCost(u, false, nil)
	copied := h.moved
	// better makes a change and keeps it if the ratio holds and it costs less, or as much with fewer copies.
	better := func(s, slot, to int) bool {
		from := h.places[s][slot]
		if !h.tryMove(s, slot, to, func() bool { return h.shortfall == 0 }) {
			return false
		}
		p.MoveReplica(s, slot, to)
		got, c, _ := p.MinCost(u, false, nil)
		if c < cost || c == cost && h.moved < copied {
			units, cost, copied = got, c, h.moved
			return true
		}
		p.MoveReplica(s, slot, from)
		h.tryMove(s, slot, from, func() bool { return true })
		return false
	}
	for again := true; again && h.hasEffort(); {
		again = false
		crossing := p.CrossZoneLoads(units)
		order := slices.Clone(h.order)
		slices.SortStableFunc(order, func(a, b int) int {
			return cmp.Compare(slices.Max(crossing[b]), slices.Max(crossing[a]))
		})
		for _, s := range order {
			zone := slices.Index(crossing[s], slices.Max(crossing[s]))
			if crossing[s][zone] == 0 || !h.hasEffort() {
				break
			}
			again = h.moveIntoZone(s, zone, p.Loads(units), u, better) || again
		}
	}
	for idle := 0; idle < 4*len(h.places)*len(h.usable) && h.hasEffort(); idle++ {
		s := h.randomIndex(len(h.places))
		slot, to := h.randomIndex(len(h.places[s])), h.usable[h.randomIndex(len(h.usable))]
		if h.attempts++; h.isAllowed(s, slot, to) && h.canHelp(s, slot, to) && better(s, slot, to) {
			idle = 0
		}
	}
	take(h.places)
}

func (h *localSearch) hasEffort() bool { return h.attempts < h.effort && h.hasTime() }

// canHelp reports whether a change could lower the cost or the copies at all.
func (h *localSearch) canHelp(s, slot, to int) bool {
	from := h.places[s][slot]
	return h.problem.Zone(from) != h.problem.Zone(to) || h.model.Hosts[to].Cost < h.model.Hosts[from].Cost ||
		h.problem.Capacity(to) > h.problem.Capacity(from) || slices.Contains(h.currentHosts[s], to)
}

// moveIntoZone tries to put a replica of a segment into a zone, on the three hosts with the most room there.
func (h *localSearch) moveIntoZone(
	s, zone int, loads []int64, u placement.Ratio, better func(s, slot, to int) bool,
) bool {
	room := func(host int) int64 { return u.MaxLoad(h.problem.Capacity(host)) - loads[host] }
	var to []int
	for _, host := range h.usable {
		if h.problem.Zone(host) == zone && room(host) > 0 {
			to = append(to, host)
		}
	}
	slices.SortStableFunc(to, func(a, b int) int { return cmp.Compare(room(b), room(a)) })
	for _, host := range to[:min(3, len(to))] {
		for slot := range h.places[s] {
			if h.attempts++; h.hasEffort() && h.isAllowed(s, slot, host) && better(s, slot, host) {
				return true
			}
		}
	}
	return false
}
