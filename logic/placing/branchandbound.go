package placing

import (
	"encoding/binary"
	"slices"
)

// branchAndBound enumerates all placements segment by segment and prunes branches that cannot be better than
// the best known placement. The bound of a branch results from letting the demand for segments that are not
// placed yet go to any host.
type branchAndBound struct {
	*job
	best       value
	assignment [][]int // best known placement: the hosts of each segment
	found      bool    // whether best and assignment are set
	acceptAny  bool    // stop at the first placement that fits

	placed      [][]int // hosts of the segments placed so far
	segmentsOn  []int   // number of segments on each host
	moved       int     // moves of the segments placed so far
	forcedMoves []int   // minimum number of moves of the segments at each index of the order and after it
	setBuffer   [][]int // buffer of hostSets
}

// run searches all placements. It returns false if it stopped early because the time ran out.
func (b *branchAndBound) run() bool {
	b.placed = make([][]int, len(b.order))
	b.segmentsOn = make([]int, len(b.model.Hosts))
	b.forcedMoves = make([]int, len(b.order)+1)
	for i := len(b.order) - 1; i >= 0; i-- {
		s, remaining := b.order[i], 0
		for _, h := range b.currentHosts[s] {
			if slices.Contains(b.usableHosts, h) {
				remaining++
			}
		}
		b.forcedMoves[i] = b.forcedMoves[i+1]
		if len(b.currentHosts[s]) > 0 {
			b.forcedMoves[i] += max(b.replicaCounts[s]-remaining, 0)
		}
	}
	return b.extend(0)
}

// choice is a set of hosts for a segment, with a bound for all placements that contain it.
type choice struct {
	hosts []int
	bound value
}

// extend places the segments at index i of the order and after it. It returns false if it stopped early
// because the time ran out.
func (b *branchAndBound) extend(i int) bool {
	if i == len(b.order) {
		return true // choices has evaluated the complete placements
	}
	if !b.hasTime() {
		return false
	}
	segment := b.order[i]
	for _, c := range b.choices(segment, i) {
		if b.found && b.acceptAny {
			return true
		}
		if b.found && !c.bound.less(b.best) {
			continue
		}
		b.place(segment, c.hosts, 1)
		isComplete := b.extend(i + 1)
		b.place(segment, c.hosts, -1)
		b.placed[segment] = nil
		if !isComplete {
			return false
		}
	}
	return true
}

// place places a segment on hosts and adds step, 1 or -1, to their counts. A step of -1 undoes the placement.
func (b *branchAndBound) place(segment int, hosts []int, step int) {
	b.placed[segment] = hosts
	b.moved += step * b.moves(segment, hosts)
	for _, h := range hosts {
		b.segmentsOn[h] += step
	}
}

// choices returns the sets of hosts for a segment whose bounds are better than the best known placement,
// sorted by bound. For the last segment it returns none: the placements are complete then, and it stores the
// best of them.
func (b *branchAndBound) choices(segment, i int) []choice {
	var choices []choice
	for _, hosts := range b.hostSets(segment, i) {
		moves := b.moved + b.moves(segment, hosts) + b.forcedMoves[i+1]
		if moves > b.maxMoves() {
			continue
		}
		b.triedChanges++
		b.placed[segment] = hosts
		v, fits := b.bound(i + 1)
		b.placed[segment] = nil
		v.moves = moves
		if !fits || b.found && !v.less(b.best) {
			continue
		}
		if i+1 < len(b.order) {
			choices = append(choices, choice{hosts, v})
			continue
		}
		b.best = v
		b.found = true
		b.assignment = slices.Clone(b.placed)
		b.assignment[segment] = hosts
		if b.acceptAny {
			return nil
		}
	}
	slices.SortStableFunc(choices, func(x, y choice) int {
		switch {
		case x.bound.less(y.bound):
			return -1
		case y.bound.less(x.bound):
			return 1
		}
		return 0
	})
	return choices
}

// bound returns a bound for all placements that contain the segments placed so far; the demand for the others
// may go to any host. It computes the cost only if the utilisation equals the best known one or the placement
// is complete, since placements are compared by cost only at equal utilisation.
func (b *branchAndBound) bound(placed int) (value, bool) {
	for s := range b.placed {
		if b.placed[s] != nil {
			b.problem.SetHosts(s, b.placed[s])
		} else {
			b.problem.SetHosts(s, b.usableHosts)
		}
	}
	u, fits := b.problem.MinUtilisation(false)
	if !fits {
		return value{}, false
	}
	v := value{utilisation: u}
	complete := placed == len(b.order)
	asGoodAsBest := b.found && !u.Less(b.best.utilisation) && !b.best.utilisation.Less(u)
	if complete || asGoodAsBest {
		_, v.cost, _ = b.problem.MinCost(u, false, nil)
	}
	return v, true
}

// hostSets returns the sets of hosts on which a segment may be placed. Among hosts that are equivalent from
// here on, it selects a host only if it has selected the equivalent hosts before it, since other
// combinations would yield the same placements with other host names.
func (b *branchAndBound) hostSets(s, i int) [][]int {
	var hosts []int
	for _, h := range b.usableHosts {
		if b.segmentsOn[h] < b.maxSegments(h) {
			hosts = append(hosts, h)
		}
	}
	equivalent := make([]int, len(hosts)) // index of the previous equivalent host, or -1
	signatures := make([]string, len(hosts))
	for k, h := range hosts {
		signatures[k] = b.signature(h, i)
		equivalent[k] = -1
		for previous := k - 1; previous >= 0; previous-- {
			if signatures[previous] == signatures[k] {
				equivalent[k] = previous
				break
			}
		}
	}
	b.setBuffer = b.setBuffer[:0]
	var chosen []int
	taken := make([]bool, len(hosts))
	var choose func(k int)
	choose = func(k int) {
		if len(chosen) == b.replicaCounts[s] {
			if b.inEnoughZones(s, chosen) {
				b.setBuffer = append(b.setBuffer, slices.Clone(chosen))
			}
			return
		}
		for ; k < len(hosts); k++ {
			if equivalent[k] >= 0 && !taken[equivalent[k]] {
				continue
			}
			taken[k] = true
			chosen = append(chosen, hosts[k])
			choose(k + 1)
			chosen = chosen[:len(chosen)-1]
			taken[k] = false
		}
	}
	choose(0)
	return slices.Clone(b.setBuffer)
}

// signature returns a key that is equal for hosts that are equivalent for placing the segments at index i of
// the order and after it. It consists of the zone and the properties of the host, of which placed segments it
// holds, and of which of the remaining segments it holds at present.
func (b *branchAndBound) signature(h, i int) string {
	host := &b.model.Hosts[h]
	key := binary.AppendVarint(nil, int64(b.problem.Zone(h)))
	properties := []int64{
		b.problem.Capacity(h),
		host.Cost,
		int64(b.maxSegments(h)),
		int64(b.segmentsOn[h]),
	}
	for _, n := range properties {
		key = binary.AppendVarint(key, n)
	}
	for k, s := range b.order {
		hosts := b.placed[s]
		if k >= i {
			hosts = b.currentHosts[s]
		}
		bit := byte(0)
		if slices.Contains(hosts, h) {
			bit = 1
		}
		key = append(key, bit)
	}
	return string(key)
}
