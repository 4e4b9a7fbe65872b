// Package flow computes maximum flows and minimum-cost flows of integral units in a network.
//
// Package logic/balance uses it; this package has no notion of hosts. All numbers are integers, so that
// results are exact and the same on every machine. The same arcs added in the same order always give the same
// flow. The algorithm is successive shortest paths with node potentials, which handles all paths of one
// length at a time (Ahuja, Magnanti and Orlin, Network Flows, 1993, sections 9.7 and 9.8), with blocking
// flows by Dinic's levels.
package flow

import "math"

// Cost is a lexicographic cost: Second is compared only if First is equal. Unlike a single number with a
// large factor for First, the two parts cannot overflow into each other.
type Cost struct{ First, Second int64 }

// Add returns the sum of two costs.
func (c Cost) Add(o Cost) Cost { return Cost{c.First + o.First, c.Second + o.Second} }

// Sub returns the difference of two costs.
func (c Cost) Sub(o Cost) Cost { return Cost{c.First - o.First, c.Second - o.Second} }

// Times returns the cost of n units.
func (c Cost) Times(n int64) Cost { return Cost{c.First * n, c.Second * n} }

// Less compares by First, then by Second.
func (c Cost) Less(o Cost) bool {
	return c.First < o.First || c.First == o.First && c.Second < o.Second
}

// unreached is the distance of a node to which there is no path.
var unreached = Cost{math.MaxInt64, math.MaxInt64}

// Network is a directed network with a flow. Arcs are identified by the number that AddArc returns. Each arc
// has a reverse arc, along which its flow can be taken back; its number is that of the arc with the lowest
// bit flipped.
type Network struct {
	outgoing  [][]int32 // arcs that leave each node, including reverse arcs
	to        []int32   // target node of each arc
	residual  []int64   // residual capacity of each arc
	cost      []Cost
	potential []Cost

	// The buffers of the algorithms are reused, since the algorithms run thousands of times.
	level    []int32
	nextArc  []int32
	queue    []int32
	distance []Cost
	heap     []heapEntry
}

// New returns a network without arcs whose nodes are numbered from 0.
func New(nodes int) *Network {
	return &Network{
		outgoing:  make([][]int32, nodes),
		potential: make([]Cost, nodes),
		level:     make([]int32, nodes),
		nextArc:   make([]int32, nodes),
		distance:  make([]Cost, nodes),
	}
}

// AddArc adds an arc with a capacity and a cost per unit, and returns its number.
func (n *Network) AddArc(from, to int, capacity int64, cost Cost) int {
	arc := int32(len(n.to))
	n.to = append(n.to, int32(to), int32(from))
	n.residual = append(n.residual, capacity, 0)
	n.cost = append(n.cost, cost, Cost{}.Sub(cost))
	n.outgoing[from] = append(n.outgoing[from], arc)
	n.outgoing[to] = append(n.outgoing[to], arc+1)
	return int(arc)
}

// Flow returns the flow on an arc.
func (n *Network) Flow(arc int) int64 { return n.residual[arc^1] }

// Capacity returns the capacity of an arc, including the part used by its flow.
func (n *Network) Capacity(arc int) int64 { return n.residual[arc] + n.residual[arc^1] }

// SetCapacity sets the capacity of an arc. It must not be less than the flow on the arc.
func (n *Network) SetCapacity(arc int, capacity int64) {
	n.residual[arc] = capacity - n.residual[arc^1]
}

// SetCost sets the cost per unit of an arc.
func (n *Network) SetCost(arc int, cost Cost) {
	n.cost[arc] = cost
	n.cost[arc^1] = Cost{}.Sub(cost)
}

// RemoveFlow subtracts an amount from the flow on each arc of a path. Each arc must carry at least the
// amount.
func (n *Network) RemoveFlow(amount int64, path ...int) {
	for _, arc := range path {
		n.residual[arc] += amount
		n.residual[arc^1] -= amount
	}
}

// Reset removes all flow and all potentials.
func (n *Network) Reset() {
	for arc := 0; arc < len(n.residual); arc += 2 {
		n.residual[arc] += n.residual[arc+1]
		n.residual[arc+1] = 0
	}
	clear(n.potential)
}

// Retarget changes the target node of an arc. The arc must have no flow, unless a Restore follows.
func (n *Network) Retarget(arc, to int) {
	reverse := int32(arc ^ 1)
	oldNode := n.to[arc]
	old := n.outgoing[oldNode]
	for i, a := range old {
		if a == reverse {
			copy(old[i:], old[i+1:])
			n.outgoing[oldNode] = old[:len(old)-1]
			break
		}
	}
	n.to[arc] = int32(to)
	n.outgoing[to] = append(n.outgoing[to], reverse)
}

// Save returns a copy of the flow for Restore. It reuses the memory of into if possible.
func (n *Network) Save(into []int64) []int64 { return append(into[:0], n.residual...) }

// Restore restores a flow that Save has copied. The arcs must have the same targets as then.
func (n *Network) Restore(saved []int64) { copy(n.residual, saved) }
