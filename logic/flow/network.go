// Package flow sends whole units through a network at the least cost.
//
// It is the arithmetic under logic/balance and knows nothing of hosts. All numbers are integers, so that a
// result is exact and the same on every machine; the same arcs added in the same order always give the same
// flow. The method is successive shortest paths with node potentials, all paths of one length at a time
// (Ahuja, Magnanti and Orlin, Network Flows, 1993, sections 9.7 and 9.8), and blocking flows by Dinic's
// levels.
package flow

import "math"

// Cost is a cost in two ranks: the second counts only between flows whose first is equal. Two ranks can
// neither overflow nor get mixed up, as one number with a large factor could.
type Cost struct{ First, Second int64 }

// Add returns the sum of two costs.
func (c Cost) Add(o Cost) Cost { return Cost{c.First + o.First, c.Second + o.Second} }

// Sub returns the difference of two costs.
func (c Cost) Sub(o Cost) Cost { return Cost{c.First - o.First, c.Second - o.Second} }

// Times returns the cost of n units.
func (c Cost) Times(n int64) Cost { return Cost{c.First * n, c.Second * n} }

// Less compares by the first rank, then by the second.
func (c Cost) Less(o Cost) bool {
	return c.First < o.First || c.First == o.First && c.Second < o.Second
}

// unreached is the distance of a node to which there is no path.
var unreached = Cost{math.MaxInt64, math.MaxInt64}

// Network is a directed network with a flow in it. Arcs are known by the number that AddArc returns. Each
// has a reverse arc, along which its flow can be taken back, whose number is the same with the lowest bit
// flipped.
type Network struct {
	outgoing  [][]int32 // arcs that leave each node, reverse arcs included
	to        []int32
	residual  []int64 // what an arc can still take
	cost      []Cost
	potential []Cost

	// Working memory of the algorithms, which is reused since they run by the thousand.
	level    []int32
	nextArc  []int32
	queue    []int32
	distance []Cost
	heap     []heapEntry
}

// New returns a network of so many nodes, numbered from 0, without arcs.
func New(nodes int) *Network {
	return &Network{
		outgoing:  make([][]int32, nodes),
		potential: make([]Cost, nodes),
		level:     make([]int32, nodes),
		nextArc:   make([]int32, nodes),
		distance:  make([]Cost, nodes),
	}
}

// AddArc adds an arc with a capacity and a cost a unit, and returns its number.
func (n *Network) AddArc(from, to int, capacity int64, cost Cost) int {
	arc := int32(len(n.to))
	n.to = append(n.to, int32(to), int32(from))
	n.residual = append(n.residual, capacity, 0)
	n.cost = append(n.cost, cost, Cost{}.Sub(cost))
	n.outgoing[from] = append(n.outgoing[from], arc)
	n.outgoing[to] = append(n.outgoing[to], arc+1)
	return int(arc)
}

// Flow returns what the arc carries.
func (n *Network) Flow(arc int) int64 { return n.residual[arc^1] }

// Capacity returns what the arc can carry in all.
func (n *Network) Capacity(arc int) int64 { return n.residual[arc] + n.residual[arc^1] }

// SetCapacity sets what the arc can carry in all. It may not be less than what it carries.
func (n *Network) SetCapacity(arc int, capacity int64) {
	n.residual[arc] = capacity - n.residual[arc^1]
}

// SetCost sets the cost of a unit on an arc.
func (n *Network) SetCost(arc int, cost Cost) {
	n.cost[arc] = cost
	n.cost[arc^1] = Cost{}.Sub(cost)
}

// RemoveFlow takes an amount off each arc of a path that carries it.
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

// Retarget leads an arc to another node. The arc must carry nothing, unless a Restore follows.
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

// Save copies the flow into a slice, which it may reuse, for Restore.
func (n *Network) Save(into []int64) []int64 { return append(into[:0], n.residual...) }

// Restore brings back a flow that Save copied. The arcs must lead where they led then.
func (n *Network) Restore(saved []int64) { copy(n.residual, saved) }
