// Package flow sends whole units through a network at the least cost.
//
// It is the arithmetic under logic/placement and knows nothing of hosts. All is in integers, so that a result
// is exact and comes out alike on every machine; the same arcs added in the same order always give the same
// flow. The method is successive shortest paths with node potentials, all paths of one length at a time
// (Ahuja, Magnanti and Orlin, Network Flows, 1993, sections 9.7 and 9.8), the blocking flows by Dinic's
// levels.
package flow

import "math"

// Cost is a price in two ranks: the second counts only between flows whose first is equal. Ranks instead of
// one number with a large factor, against overflow and against a factor that one day is too small.
type Cost struct{ First, Second int64 }

// Add adds two prices.
func (c Cost) Add(o Cost) Cost { return Cost{c.First + o.First, c.Second + o.Second} }

// Sub takes one price from another.
func (c Cost) Sub(o Cost) Cost { return Cost{c.First - o.First, c.Second - o.Second} }

// Times is the price of n units.
func (c Cost) Times(n int64) Cost { return Cost{c.First * n, c.Second * n} }

// Less compares by the first rank, then by the second.
func (c Cost) Less(o Cost) bool {
	return c.First < o.First || c.First == o.First && c.Second < o.Second
}

var unreached = Cost{math.MaxInt64, math.MaxInt64}

// Network is a directed network with a flow in it. Arcs are named by the number that Arc gave; the one that
// leads back is that number with its lowest bit flipped.
type Network struct {
	outgoing  [][]int32 // arcs that leave each node, those that lead back included
	to        []int32
	residual  []int64 // what an arc can still take
	cost      []Cost
	potential []Cost

	level, next, queue []int32 // kept from run to run, against garbage where runs come by the thousand
	dist               []Cost
	heap               []heapEntry
}

// New makes a network of so many nodes, numbered from 0, without arcs.
func New(nodes int) *Network {
	return &Network{outgoing: make([][]int32, nodes), potential: make([]Cost, nodes), level: make([]int32, nodes),
		next: make([]int32, nodes), dist: make([]Cost, nodes)}
}

// AddArc adds an arc that takes up to most units at a price a unit, and gives its number.
func (n *Network) AddArc(from, to int, most int64, cost Cost) int {
	arc := int32(len(n.to))
	n.to = append(n.to, int32(to), int32(from))
	n.residual = append(n.residual, most, 0)
	n.cost = append(n.cost, cost, Cost{}.Sub(cost))
	n.outgoing[from] = append(n.outgoing[from], arc)
	n.outgoing[to] = append(n.outgoing[to], arc+1)
	return int(arc)
}

// Flow is what the arc carries.
func (n *Network) Flow(arc int) int64 { return n.residual[arc^1] }

// Capacity is what the arc can take in all.
func (n *Network) Capacity(arc int) int64 { return n.residual[arc] + n.residual[arc^1] }

// SetCapacity sets what the arc can take in all; it may not be less than what it carries.
func (n *Network) SetCapacity(arc int, most int64) { n.residual[arc] = most - n.residual[arc^1] }

// RemoveFlow takes an amount off each arc of a path that carries it.
func (n *Network) RemoveFlow(amount int64, path ...int) {
	for _, arc := range path {
		n.residual[arc] += amount
		n.residual[arc^1] -= amount
	}
}

// Reset takes all flow out and forgets the potentials.
func (n *Network) Reset() {
	for arc := 0; arc < len(n.residual); arc += 2 {
		n.residual[arc], n.residual[arc+1] = n.residual[arc]+n.residual[arc+1], 0
	}
	clear(n.potential)
}

// Retarget leads an arc to another node. It has to carry nothing, unless a Restore follows.
func (n *Network) Retarget(arc, to int) {
	back := int32(arc ^ 1)
	old := n.outgoing[n.to[arc]]
	for i, a := range old {
		if a == back {
			n.outgoing[n.to[arc]] = append(old[:i], old[i+1:]...)
			break
		}
	}
	n.to[arc] = int32(to)
	n.outgoing[to] = append(n.outgoing[to], back)
}

// SetCost sets what a unit on an arc costs.
func (n *Network) SetCost(arc int, cost Cost) {
	n.cost[arc], n.cost[arc^1] = cost, Cost{}.Sub(cost)
}

// Save copies the flow, for Restore.
func (n *Network) Save(into []int64) []int64 { return append(into[:0], n.residual...) }

// Restore brings back a flow that Save copied; the arcs have to lead where they led then.
func (n *Network) Restore(saved []int64) { copy(n.residual, saved) }

// Augment adds to the flow, whatever it costs, until it has sent so many units more or no path is left, and
// gives how many it has sent.
func (n *Network) Augment(source, sink int, want int64) int64 {
	return n.augment(source, sink, want, false)
}

// Reachable tells which nodes can still be reached from the source. After a Fill that fell short they are one side
// of a least cut: every arc that leaves them is full, which proves that no more can be sent.
func (n *Network) Reachable(source int) []bool {
	reached := make([]bool, len(n.outgoing))
	reached[source] = true
	n.queue = append(n.queue[:0], int32(source))
	for at := 0; at < len(n.queue); at++ {
		for _, arc := range n.outgoing[n.queue[at]] {
			if to := n.to[arc]; n.residual[arc] > 0 && !reached[to] {
				reached[to] = true
				n.queue = append(n.queue, to)
			}
		}
	}
	return reached
}

// MinCostFlow sends so many units, or as many as there is room for, at the least cost, into a network without
// flow. Costs may be negative as long as no circle of arcs has a negative one.
func (n *Network) MinCostFlow(source, sink int, want int64) (sent int64, cost Cost) {
	n.initPotentials(source)
	for sent < want {
		if !n.updatePotentials(source, sink) {
			break
		}
		got := n.augment(source, sink, want-sent, true)
		sent += got
		cost = cost.Add(n.potential[sink].Sub(n.potential[source]).Times(got))
	}
	return sent, cost
}

// initPotentials finds potentials under which no arc has a negative price: the distances from the source, by Bellman
// and Ford with a queue.
func (n *Network) initPotentials(source int) {
	for i := range n.potential {
		n.potential[i] = unreached
	}
	n.potential[source] = Cost{}
	waits := make([]bool, len(n.potential))
	n.queue = append(n.queue[:0], int32(source))
	for at := 0; at < len(n.queue); at++ {
		node := n.queue[at]
		waits[node] = false
		for _, arc := range n.outgoing[node] {
			to := n.to[arc]
			if n.residual[arc] == 0 {
				continue
			}
			if d := n.potential[node].Add(n.cost[arc]); d.Less(n.potential[to]) {
				n.potential[to] = d
				if !waits[to] {
					waits[to] = true
					n.queue = append(n.queue, to)
				}
			}
		}
	}
	for i, p := range n.potential {
		if p == unreached { // nothing can ever be sent there
			n.potential[i] = Cost{}
		}
	}
}

func (n *Network) reduced(node, arc int32) Cost {
	return n.cost[arc].Add(n.potential[node]).Sub(n.potential[n.to[arc]])
}

// updatePotentials moves the potentials on so that shortest paths to the sink are of price zero; it reports whether
// there is any path.
func (n *Network) updatePotentials(source, sink int) bool {
	for i := range n.dist {
		n.dist[i] = unreached
	}
	n.dist[source] = Cost{}
	n.heap = append(n.heap[:0], heapEntry{Cost{}, int32(source)})
	for len(n.heap) > 0 {
		e := n.popEntry()
		if n.dist[e.node].Less(e.dist) {
			continue
		}
		if e.node == int32(sink) {
			break
		}
		for _, arc := range n.outgoing[e.node] {
			if n.residual[arc] == 0 {
				continue
			}
			to := n.to[arc]
			if d := e.dist.Add(n.reduced(e.node, arc)); d.Less(n.dist[to]) {
				n.dist[to] = d
				n.pushEntry(heapEntry{d, to})
			}
		}
	}
	far := n.dist[sink]
	if far == unreached {
		return false
	}
	for i, d := range n.dist {
		if far.Less(d) { // also what was never reached: no price turns negative by it
			d = far
		}
		n.potential[i] = n.potential[i].Add(d)
	}
	return true
}

// augment sends along paths with the fewest arcs first; priced ones use only arcs on shortest paths.
func (n *Network) augment(source, sink int, want int64, priced bool) (sent int64) {
	for sent < want && n.levels(source, sink, priced) {
		clear(n.next)
		for sent < want {
			got := n.augmentPath(int32(source), int32(sink), want-sent, priced)
			if got == 0 {
				break
			}
			sent += got
		}
	}
	return sent
}

func (n *Network) isUsable(node, arc int32, priced bool) bool {
	return n.residual[arc] > 0 && (!priced || n.reduced(node, arc) == Cost{})
}

func (n *Network) levels(source, sink int, priced bool) bool {
	for i := range n.level {
		n.level[i] = -1
	}
	n.level[source] = 0
	n.queue = append(n.queue[:0], int32(source))
	for at := 0; at < len(n.queue); at++ {
		node := n.queue[at]
		for _, arc := range n.outgoing[node] {
			if to := n.to[arc]; n.level[to] < 0 && n.isUsable(node, arc, priced) {
				n.level[to] = n.level[node] + 1
				if to == int32(sink) {
					return true
				}
				n.queue = append(n.queue, to)
			}
		}
	}
	return false
}

// augmentPath sends along one path of rising levels.
func (n *Network) augmentPath(node, sink int32, want int64, priced bool) int64 {
	if node == sink {
		return want
	}
	for ; int(n.next[node]) < len(n.outgoing[node]); n.next[node]++ {
		arc := n.outgoing[node][n.next[node]]
		if to := n.to[arc]; n.level[to] == n.level[node]+1 && n.isUsable(node, arc, priced) {
			if got := n.augmentPath(to, sink, min(want, n.residual[arc]), priced); got > 0 {
				n.residual[arc] -= got
				n.residual[arc^1] += got
				return got
			}
		}
	}
	return 0
}

// heapEntry is a node that waits at a distance; the heap is written out since container/heap would box each one.
type heapEntry struct {
	dist Cost
	node int32
}

func (e heapEntry) before(o heapEntry) bool {
	return e.dist.Less(o.dist) || e.dist == o.dist && e.node < o.node
}

func (n *Network) pushEntry(e heapEntry) {
	h := append(n.heap, e)
	for at := len(h) - 1; at > 0; {
		up := (at - 1) / 2
		if !h[at].before(h[up]) {
			break
		}
		h[at], h[up], at = h[up], h[at], up
	}
	n.heap = h
}

func (n *Network) popEntry() heapEntry {
	h := n.heap
	top := h[0]
	last := len(h) - 1
	h[0], h = h[last], h[:last]
	for at := 0; ; {
		down := 2*at + 1
		if down >= last {
			break
		}
		if down+1 < last && h[down+1].before(h[down]) {
			down++
		}
		if !h[down].before(h[at]) {
			break
		}
		h[at], h[down], at = h[down], h[at], down
	}
	n.heap = h
	return top
}
