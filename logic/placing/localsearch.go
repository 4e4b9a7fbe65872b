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

// localSearch is a placement that a search changes step by step. Its flow network limits hosts to a target
// utilisation, and its replica arcs can be redirected to other hosts. The search minimises the shortfall, the
// demand that does not fit at the target. The shortfall falls in small steps where the maximum utilisation
// would stay the same over many changes, so that the search can recognise progress.
type localSearch struct {
	*job
	random      *pcg.Source
	network     *flow.Network
	segmentArcs []int   // from the source to each segment
	replicaArcs [][]int // from each segment to its hosts, in the order of assignment
	hostArcs    []int   // from each host to its zone
	zoneArcs    []int   // from each zone to the sink
	firstHost   int     // node of the first host
	firstZone   int     // node of the first zone
	assignment  [][]int // hosts of each segment, unsorted
	segmentsOn  []int   // number of segments on each host
	moved       int     // number of moved replicas
	shortfall   int64   // demand that does not fit at the target utilisation
	savedFlow   []int64 // buffer of tryMove
}

// search returns the best placement that a local search within the job's effort finds, and its value. Bound
// is the lower bound of the utilisation.
func (j *job) search(seed uint64, bound placement.Ratio) (best [][]int, v value, found bool) {
	assignment, ok := j.initialPlacement()
	if !ok {
		return nil, value{}, false
	}
	keepIfBetter := func(assignment [][]int) {
		sorted := make([][]int, len(assignment))
		for s := range assignment {
			sorted[s] = slices.Sorted(slices.Values(assignment[s]))
		}
		if got, fits := j.evaluate(sorted); fits && (!found || got.less(v)) {
			best, v, found = sorted, got, true
		}
	}
	keepIfBetter(assignment)
	random := pcg.New(seed)
	// Half of the effort goes into the utilisation. The first target is the bound, the later ones are halfway
	// between the bound and the best utilisation found, since changes can't be told apart at a target that is
	// too low.
	target := bound
	for round := 0; round < 6 && j.triedChanges < j.effort/2 && j.hasTime(); round++ {
		if found && !bound.Less(v.utilisation) {
			break
		}
		ls := j.newLocalSearch(assignment, target, random)
		ls.reduceShortfall(j.triedChanges + max(j.effort/12, 1))
		if assignment = ls.assignment; ls.shortfall == 0 {
			keepIfBetter(assignment)
		}
		high := 1.0
		if found {
			high = v.utilisation.Float()
		}
		target = placement.Ratio{Load: int64(math.Ceil((bound.Float() + high) / 2 * 1e6)), Capacity: 1e6}
	}
	if !found {
		ls := j.newLocalSearch(assignment, placement.Ratio{Load: 1, Capacity: 1}, random)
		ls.reduceShortfall(max(j.effort/2, j.triedChanges+1))
		keepIfBetter(ls.assignment)
	}
	if !found {
		return nil, v, false
	}
	// The remaining effort goes into lower cost and fewer moves.
	ls := j.newLocalSearch(best, v.utilisation, random)
	ls.reduceCost(keepIfBetter, func() value { return v })
	return best, v, found
}

// newLocalSearch builds the network of a placement with the given target utilisation.
func (j *job) newLocalSearch(assignment [][]int, target placement.Ratio, random *pcg.Source) *localSearch {
	ls := &localSearch{
		job:        j,
		random:     random,
		segmentsOn: make([]int, len(j.model.Hosts)),
		firstHost:  2 + len(assignment),
	}
	ls.firstZone = ls.firstHost + len(j.model.Hosts)
	ls.network = flow.New(ls.firstZone + len(j.model.Zones))
	total := int64(0)
	for s, hosts := range assignment {
		ls.assignment = append(ls.assignment, slices.Clone(hosts))
		ls.segmentArcs = append(ls.segmentArcs, ls.network.AddArc(0, 2+s, j.demands[s], flow.Cost{}))
		total += j.demands[s]
		var slots []int
		for _, host := range hosts {
			slots = append(slots, ls.network.AddArc(2+s, ls.firstHost+host, j.demands[s], flow.Cost{}))
			ls.segmentsOn[host]++
		}
		ls.replicaArcs = append(ls.replicaArcs, slots)
		ls.moved += j.moves(s, hosts)
	}
	for host := range j.model.Hosts {
		maxLoad := target.MaxLoad(j.problem.Capacity(host))
		arc := ls.network.AddArc(ls.firstHost+host, ls.firstZone+j.problem.Zone(host), maxLoad, flow.Cost{})
		ls.hostArcs = append(ls.hostArcs, arc)
	}
	for zone := range j.model.Zones {
		limit := j.problem.ZoneLimit(zone)
		if limit < 0 {
			limit = placement.MaxRate
		}
		ls.zoneArcs = append(ls.zoneArcs, ls.network.AddArc(ls.firstZone+zone, 1, limit, flow.Cost{}))
	}
	ls.shortfall = total - ls.network.Augment(0, 1, total)
	return ls
}

// isAllowed reports whether the limits allow moving the replica in a slot of segment s to another host.
func (ls *localSearch) isAllowed(s, slot, to int) bool {
	if slices.Contains(ls.assignment[s], to) || ls.segmentsOn[to] >= ls.maxSegments(to) {
		return false
	}
	old := ls.assignment[s][slot]
	otherMoves := ls.moved - ls.moves(s, ls.assignment[s])
	ls.assignment[s][slot] = to
	ok := ls.inEnoughZones(s, ls.assignment[s]) && otherMoves+ls.moves(s, ls.assignment[s]) <= ls.maxMoves()
	ls.assignment[s][slot] = old
	return ok
}

// moveReplica moves the replica in a slot of segment s to another host and updates the flow.
func (ls *localSearch) moveReplica(s, slot, to int) {
	arc, from := ls.replicaArcs[s][slot], ls.assignment[s][slot]
	if units := ls.network.Flow(arc); units > 0 {
		ls.network.RemoveFlow(units, ls.segmentArcs[s], arc, ls.hostArcs[from], ls.zoneArcs[ls.problem.Zone(from)])
		ls.shortfall += units
	}
	ls.network.Retarget(arc, ls.firstHost+to)
	ls.moved -= ls.moves(s, ls.assignment[s])
	ls.assignment[s][slot] = to
	ls.moved += ls.moves(s, ls.assignment[s])
	ls.segmentsOn[from]--
	ls.segmentsOn[to]++
	ls.shortfall -= ls.network.Augment(0, 1, ls.shortfall)
}

// tryMove moves a replica, and undoes the move unless accept returns true. It reports whether the move was
// kept.
func (ls *localSearch) tryMove(s, slot, to int, accept func() bool) bool {
	from, savedShortfall := ls.assignment[s][slot], ls.shortfall
	ls.savedFlow = ls.network.Save(ls.savedFlow)
	ls.triedChanges++
	ls.moveReplica(s, slot, to)
	if accept() {
		return true
	}
	ls.moved -= ls.moves(s, ls.assignment[s])
	ls.assignment[s][slot] = from
	ls.moved += ls.moves(s, ls.assignment[s])
	ls.segmentsOn[to]--
	ls.segmentsOn[from]++
	ls.network.Retarget(ls.replicaArcs[s][slot], ls.firstHost+from)
	ls.network.Restore(ls.savedFlow)
	ls.shortfall = savedShortfall
	return false
}

// slot identifies a replica: a segment and the index of one of its hosts.
type slot struct{ segment, index int }

// reduceShortfall moves replicas from overfull hosts, which a minimum cut identifies, to hosts with free
// capacity. Occasionally it keeps a change that does not reduce the shortfall, since some improvements take
// two steps, or one that increases it, to leave a local minimum. It ends when the number of tried changes
// reaches maxTriedChanges.
func (ls *localSearch) reduceShortfall(maxTriedChanges int) {
	const worseOneIn = 4 // on average, one of so many rounds without an improvement keeps a random move
	for ls.shortfall > 0 && ls.triedChanges < maxTriedChanges && ls.hasTime() {
		from, to := ls.candidates()
		if len(from) == 0 || len(to) == 0 {
			ls.swap(from)
			continue
		}
		if ls.moveAny(from, to, maxTriedChanges) || ls.swap(from) || ls.randomIndex(worseOneIn) != 0 {
			continue
		}
		source, host := from[ls.randomIndex(len(from))], to[ls.randomIndex(len(to))]
		if ls.isAllowed(source.segment, source.index, host) {
			ls.tryMove(source.segment, source.index, host, func() bool { return true })
		}
	}
}

// candidates returns the replicas whose segments and hosts are on the full side of the minimum cut, and the
// hosts on the other side that can hold another segment.
func (ls *localSearch) candidates() (from []slot, to []int) {
	cut := ls.network.Reachable(0)
	for s := range ls.assignment {
		for i, host := range ls.assignment[s] {
			if cut[2+s] && cut[ls.firstHost+host] {
				from = append(from, slot{s, i})
			}
		}
	}
	for _, host := range ls.usableHosts {
		if !cut[ls.firstHost+host] && ls.segmentsOn[host] < ls.maxSegments(host) {
			to = append(to, host)
		}
	}
	return from, to
}

// moveAny tries to move random replicas of from to random hosts of to. It keeps the first move that reduces
// the shortfall, or occasionally one that leaves it unchanged. It reports whether it has kept a move.
func (ls *localSearch) moveAny(from []slot, to []int, maxTriedChanges int) bool {
	const (
		maxTries   = 32
		equalOneIn = 8 // on average, one of so many moves that leave the shortfall unchanged is kept
	)
	for range maxTries {
		source, host := from[ls.randomIndex(len(from))], to[ls.randomIndex(len(to))]
		if ls.triedChanges >= maxTriedChanges || !ls.isAllowed(source.segment, source.index, host) {
			ls.triedChanges++ // counted so that the search ends even if no move is allowed
			continue
		}
		before := ls.shortfall
		isKept := ls.tryMove(source.segment, source.index, host, func() bool {
			return ls.shortfall < before || ls.shortfall == before && ls.randomIndex(equalOneIn) == 0
		})
		if isKept {
			return true
		}
	}
	return false
}

// swap exchanges the hosts of two replicas. That is possible even if hosts can hold no further segment. It
// reports whether it has kept an exchange.
func (ls *localSearch) swap(from []slot) bool {
	if len(from) == 0 {
		from = append(from, slot{ls.randomIndex(len(ls.assignment)), 0})
	}
	for range 16 {
		source := from[ls.randomIndex(len(from))]
		s, otherSegment := source.segment, ls.randomIndex(len(ls.assignment))
		slot, otherSlot := source.index, ls.randomIndex(len(ls.assignment[otherSegment]))
		host, otherHost := ls.assignment[s][slot], ls.assignment[otherSegment][otherSlot]
		ls.triedChanges++
		if s == otherSegment || host == otherHost ||
			slices.Contains(ls.assignment[s], otherHost) || slices.Contains(ls.assignment[otherSegment], host) {
			continue
		}
		ls.segmentsOn[host]--
		ls.segmentsOn[otherHost]--
		ok := ls.isAllowed(s, slot, otherHost) && ls.isAllowed(otherSegment, otherSlot, host)
		ls.segmentsOn[host]++
		ls.segmentsOn[otherHost]++
		if !ok {
			continue
		}
		before := ls.shortfall
		ls.moveReplica(s, slot, otherHost)
		ls.moveReplica(otherSegment, otherSlot, host)
		if ls.shortfall < before && ls.moved <= ls.maxMoves() {
			return true
		}
		ls.moveReplica(s, slot, host)
		ls.moveReplica(otherSegment, otherSlot, otherHost)
	}
	return false
}

func (ls *localSearch) randomIndex(n int) int { return int(ls.random.Uint32() % uint32(n)) }

// reduceCost tries changes that keep the utilisation and reduce the cost or the number of moves. It starts
// with the most promising ones: it moves replicas into the zone whose gatherers send the most load for the
// segment to other zones, to the hosts with the most free capacity. Then it tries random moves to other
// zones, to cheaper or larger hosts, or back to the hosts that hold the segment now.
func (ls *localSearch) reduceCost(keepIfBetter func([][]int), current func() value) {
	p := balance.NewProblem(ls.model)
	p.CopyCapacity(ls.problem)
	for s, hosts := range ls.assignment {
		p.SetHosts(s, slices.Clone(hosts))
	}
	u := current().utilisation
	units, cost, _ := p.MinCost(u, false, nil)
	moved := ls.moved
	// keepIfCheaper moves a replica and keeps the move if the utilisation does not rise and the cost is
	// lower, or equal with fewer moves.
	keepIfCheaper := func(s, slot, to int) bool {
		from := ls.assignment[s][slot]
		if !ls.tryMove(s, slot, to, func() bool { return ls.shortfall == 0 }) {
			return false
		}
		p.MoveReplica(s, slot, to)
		got, c, _ := p.MinCost(u, false, nil)
		if c < cost || c == cost && ls.moved < moved {
			units, cost, moved = got, c, ls.moved
			return true
		}
		p.MoveReplica(s, slot, from)
		ls.tryMove(s, slot, from, func() bool { return true })
		return false
	}
	for improved := true; improved && ls.hasEffort(); {
		improved = false
		crossZoneLoads := p.CrossZoneLoads(units)
		order := slices.Clone(ls.order)
		slices.SortStableFunc(order, func(a, b int) int {
			return cmp.Compare(slices.Max(crossZoneLoads[b]), slices.Max(crossZoneLoads[a]))
		})
		for _, s := range order {
			zone := slices.Index(crossZoneLoads[s], slices.Max(crossZoneLoads[s]))
			if crossZoneLoads[s][zone] == 0 || !ls.hasEffort() {
				break
			}
			improved = ls.moveIntoZone(s, zone, p.Loads(units), u, keepIfCheaper) || improved
		}
	}
	for failures := 0; failures < 4*len(ls.assignment)*len(ls.usableHosts) && ls.hasEffort(); failures++ {
		s := ls.randomIndex(len(ls.assignment))
		slot, to := ls.randomIndex(len(ls.assignment[s])), ls.usableHosts[ls.randomIndex(len(ls.usableHosts))]
		if ls.triedChanges++; ls.isAllowed(s, slot, to) && ls.canHelp(s, slot, to) && keepIfCheaper(s, slot, to) {
			failures = 0
		}
	}
	keepIfBetter(ls.assignment)
}

func (ls *localSearch) hasEffort() bool { return ls.triedChanges < ls.effort && ls.hasTime() }

// canHelp reports whether a move could reduce the cost or the number of moved replicas.
func (ls *localSearch) canHelp(s, slot, to int) bool {
	from := ls.assignment[s][slot]
	return ls.problem.Zone(from) != ls.problem.Zone(to) || ls.model.Hosts[to].Cost < ls.model.Hosts[from].Cost ||
		ls.problem.Capacity(to) > ls.problem.Capacity(from) || slices.Contains(ls.currentHosts[s], to)
}

// moveIntoZone tries to move a replica of a segment into a zone, to one of the three hosts there with the
// most free capacity.
func (ls *localSearch) moveIntoZone(
	s, zone int, loads []int64, u placement.Ratio, keepIfCheaper func(s, slot, to int) bool,
) bool {
	freeCapacity := func(host int) int64 { return u.MaxLoad(ls.problem.Capacity(host)) - loads[host] }
	var to []int
	for _, host := range ls.usableHosts {
		if ls.problem.Zone(host) == zone && freeCapacity(host) > 0 {
			to = append(to, host)
		}
	}
	slices.SortStableFunc(to, func(a, b int) int { return cmp.Compare(freeCapacity(b), freeCapacity(a)) })
	for _, host := range to[:min(3, len(to))] {
		for slot := range ls.assignment[s] {
			if ls.triedChanges++; ls.hasEffort() && ls.isAllowed(s, slot, host) && keepIfCheaper(s, slot, host) {
				return true
			}
		}
	}
	return false
}
