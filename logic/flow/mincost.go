package flow

// MinCostFlow sends want units, or as many as there is capacity for, at the least cost. The network must have
// no flow yet. Costs may be negative as long as no cycle of arcs has a negative cost.
func (n *Network) MinCostFlow(source, sink int, want int64) (sent int64, cost Cost) {
	n.initPotentials(source)
	for sent < want && n.updatePotentials(source, sink) {
		amount := n.augment(source, sink, want-sent, true)
		sent += amount
		cost = cost.Add(n.potential[sink].Sub(n.potential[source]).Times(amount))
	}
	return sent, cost
}

// initPotentials computes potentials under which no arc has a negative reduced cost: the distances from the
// source, by the Bellman-Ford algorithm with a queue.
func (n *Network) initPotentials(source int) {
	for i := range n.potential {
		n.potential[i] = unreached
	}
	n.potential[source] = Cost{}
	isQueued := make([]bool, len(n.potential))
	n.queue = append(n.queue[:0], int32(source))
	for i := 0; i < len(n.queue); i++ {
		node := n.queue[i]
		isQueued[node] = false
		for _, arc := range n.outgoing[node] {
			to := n.to[arc]
			if n.residual[arc] == 0 {
				continue
			}
			distance := n.potential[node].Add(n.cost[arc])
			if !distance.Less(n.potential[to]) {
				continue
			}
			n.potential[to] = distance
			if !isQueued[to] {
				isQueued[to] = true
				n.queue = append(n.queue, to)
			}
		}
	}
	for i, p := range n.potential {
		if p == unreached { // no flow ever reaches the node
			n.potential[i] = Cost{}
		}
	}
}

// reducedCost returns the reduced cost of an arc that leaves a node: its cost plus the potential of the node
// less that of the arc's target.
func (n *Network) reducedCost(node, arc int32) Cost {
	return n.cost[arc].Add(n.potential[node]).Sub(n.potential[n.to[arc]])
}

// updatePotentials updates the potentials so that the arcs of cheapest paths to the sink have a reduced cost
// of zero. It reports whether there is any path.
func (n *Network) updatePotentials(source, sink int) bool {
	n.setDistances(source, sink)
	farthest := n.distance[sink]
	if farthest == unreached {
		return false
	}
	for i, d := range n.distance {
		if farthest.Less(d) { // also for unreached nodes; with this limit no reduced cost is negative
			d = farthest
		}
		n.potential[i] = n.potential[i].Add(d)
	}
	return true
}

// setDistances computes the distances from the source by reduced cost with Dijkstra's algorithm, until the
// distance of the sink is final.
func (n *Network) setDistances(source, sink int) {
	for i := range n.distance {
		n.distance[i] = unreached
	}
	n.distance[source] = Cost{}
	n.heap = append(n.heap[:0], heapEntry{node: int32(source)})
	for len(n.heap) > 0 {
		e := n.popEntry()
		if n.distance[e.node].Less(e.distance) {
			continue
		}
		if e.node == int32(sink) {
			return
		}
		for _, arc := range n.outgoing[e.node] {
			if n.residual[arc] == 0 {
				continue
			}
			to := n.to[arc]
			distance := e.distance.Add(n.reducedCost(e.node, arc))
			if distance.Less(n.distance[to]) {
				n.distance[to] = distance
				n.pushEntry(heapEntry{distance: distance, node: to})
			}
		}
	}
}

// heapEntry is a node in the heap with its tentative distance. The heap is implemented here, since
// container/heap would allocate for each entry.
type heapEntry struct {
	distance Cost
	node     int32
}

func (e heapEntry) less(o heapEntry) bool {
	return e.distance.Less(o.distance) || e.distance == o.distance && e.node < o.node
}

func (n *Network) pushEntry(e heapEntry) {
	n.heap = append(n.heap, e)
	h := n.heap
	for i := len(h) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h[i].less(h[parent]) {
			break
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
}

func (n *Network) popEntry() heapEntry {
	top := n.heap[0]
	last := len(n.heap) - 1
	n.heap[0] = n.heap[last]
	n.heap = n.heap[:last]
	h := n.heap
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			break
		}
		if child+1 < last && h[child+1].less(h[child]) {
			child++
		}
		if !h[child].less(h[i]) {
			break
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
	return top
}
