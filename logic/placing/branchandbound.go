package placing

import (
	"encoding/binary"
	"slices"
)

// branchAndBound goes through all placements segment by segment and leaves out what can't be better than the best
// known. What a choice is worth at best comes from letting the segments that are not placed yet go to any
// host.
type branchAndBound struct {
	*job
	best      value
	places    [][]int
	found     bool
	acceptAny bool // whatever fits will do

	placed      [][]int // of the segments placed so far
	segmentsOn  []int
	moved       int
	forcedMoves []int // copies that the segments from each place in the order on need at least
	sets        [][]int
}

// run reports whether it has gone through all of them.
func (b *branchAndBound) run() bool {
	b.placed = make([][]int, len(b.order))
	b.segmentsOn = make([]int, len(b.model.Hosts))
	b.forcedMoves = make([]int, len(b.order)+1)
	for i := len(b.order) - 1; i >= 0; i-- {
		s, kept := b.order[i], 0
		for _, h := range b.currentHosts[s] {
			if slices.Contains(b.usable, h) {
				kept++
			}
		}
		b.forcedMoves[i] = b.forcedMoves[i+1]
		if len(b.currentHosts[s]) > 0 {
			b.forcedMoves[i] += max(b.wanted[s]-kept, 0)
		}
	}
	return b.extend(0)
}

// choice is one set of hosts for a segment, with what can come of it at best.
type choice struct {
	hosts []int
	bound value
}

// extend places the segments from the i-th in the order on. It reports whether it has gone through all of them.
func (b *branchAndBound) extend(i int) bool {
	if i == len(b.order) {
		return true // the value was found when the last segment was placed
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
		isDone := b.extend(i + 1)
		b.place(segment, c.hosts, -1)
		b.placed[segment] = nil
		if !isDone {
			return false
		}
	}
	return true
}

// place puts a segment on hosts, or counts it off them with a step of -1.
func (b *branchAndBound) place(segment int, hosts []int, step int) {
	b.placed[segment] = hosts
	b.moved += step * b.moves(segment, hosts)
	for _, h := range hosts {
		b.segmentsOn[h] += step
	}
}

// choices returns the sets of hosts for a segment that may lead to something better than the best known, the most
// promising first. Of the last segment it returns none, as its placements are complete: it keeps the best one.
func (b *branchAndBound) choices(segment, i int) []choice {
	var choices []choice
	for _, hosts := range b.hostSets(segment, i) {
		moves := b.moved + b.moves(segment, hosts) + b.forcedMoves[i+1]
		if moves > b.maxMoves() {
			continue
		}
		b.attempts++
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
		b.places = slices.Clone(b.placed)
		b.places[segment] = hosts
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

// bound is what can come at best of the segments placed so far, the others going anywhere. The cost counts
// only where the ratio is no better than the best known: at a lower one it is not compared.
func (b *branchAndBound) bound(placed int) (value, bool) {
	for s := range b.placed {
		if b.placed[s] != nil {
			b.problem.SetHosts(s, b.placed[s])
		} else {
			b.problem.SetHosts(s, b.usable)
		}
	}
	u, fits := b.problem.MinUtilisation(false)
	if !fits {
		return value{}, false
	}
	v := value{utilisation: u}
	if last := placed == len(b.order); last || b.found && !u.Less(b.best.utilisation) && !b.best.utilisation.Less(u) {
		_, v.cost, _ = b.problem.MinCost(u, false, nil)
	}
	return v, true
}

// hostSets are the sets of hosts on which a segment may stand. Of hosts that are alike in all that matters from
// here on, only the first are taken: the others would give the same again under other names.
func (b *branchAndBound) hostSets(s, i int) [][]int {
	var hosts []int
	for _, h := range b.usable {
		if b.segmentsOn[h] < b.maxSegments(h) {
			hosts = append(hosts, h)
		}
	}
	alike := make([]int, len(hosts)) // the place of the one before that is alike, or -1
	signs := make([]string, len(hosts))
	for k, h := range hosts {
		signs[k] = b.signature(h, i)
		alike[k] = -1
		for before := k - 1; before >= 0; before-- {
			if signs[before] == signs[k] {
				alike[k] = before
				break
			}
		}
	}
	b.sets = b.sets[:0]
	var chosen []int
	taken := make([]bool, len(hosts))
	var from func(k int)
	from = func(k int) {
		if len(chosen) == b.wanted[s] {
			if b.inEnoughZones(s, chosen) {
				b.sets = append(b.sets, slices.Clone(chosen))
			}
			return
		}
		for ; k < len(hosts); k++ {
			if alike[k] >= 0 && !taken[alike[k]] {
				continue
			}
			taken[k] = true
			chosen = append(chosen, hosts[k])
			from(k + 1)
			chosen = chosen[:len(chosen)-1]
			taken[k] = false
		}
	}
	from(0)
	return slices.Clone(b.sets)
}

// signature is what tells a host from others for the segments from the i-th on: its figures, what it holds
// already, and which of those segments stand on it now.
func (b *branchAndBound) signature(h, i int) string {
	host := &b.model.Hosts[h]
	sign := binary.AppendVarint(nil, int64(b.problem.Zone(h)))
	for _, n := range []int64{b.problem.Capacity(h), host.Cost, int64(b.maxSegments(h)), int64(b.segmentsOn[h])} {
		sign = binary.AppendVarint(sign, n)
	}
	for k, s := range b.order {
		on := b.placed[s]
		if k >= i {
			on = b.currentHosts[s]
		}
		bit := byte(0)
		if slices.Contains(on, h) {
			bit = 1
		}
		sign = append(sign, bit)
	}
	return string(sign)
}
