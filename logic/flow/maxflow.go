package flow

// Augment adds up to want units to the flow, regardless of cost, until no augmenting path is left. It returns
// how many units it has added.
func (n *Network) Augment(source, sink int, want int64) int64 {
	return n.augment(source, sink, want, false)
}

// Reachable reports for each node whether it can be reached from the source in the residual network. After an
// Augment that added less than wanted, the reachable nodes are one side of a minimum cut: every arc that
// leaves them is full, which proves that no more can be sent.
func (n *Network) Reachable(source int) []bool {
	reached := make([]bool, len(n.outgoing))
	reached[source] = true
	n.queue = append(n.queue[:0], int32(source))
	for i := 0; i < len(n.queue); i++ {
		for _, arc := range n.outgoing[n.queue[i]] {
			if to := n.to[arc]; n.residual[arc] > 0 && !reached[to] {
				reached[to] = true
				n.queue = append(n.queue, to)
			}
		}
	}
	return reached
}

// augment sends flow along the paths with the fewest arcs first. If cheapest is set, it uses only arcs whose
// reduced cost is zero, which are those on cheapest paths.
func (n *Network) augment(source, sink int, want int64, cheapest bool) (sent int64) {
	for sent < want && n.setLevels(source, sink, cheapest) {
		clear(n.nextArc)
		for sent < want {
			amount := n.augmentPath(int32(source), int32(sink), want-sent, cheapest)
			if amount == 0 {
				break
			}
			sent += amount
		}
	}
	return sent
}

func (n *Network) isUsable(node, arc int32, cheapest bool) bool {
	return n.residual[arc] > 0 && (!cheapest || n.reducedCost(node, arc) == Cost{})
}

// setLevels sets the level of each node, its distance from the source in arcs, up to the sink. It reports
// whether the sink can be reached.
func (n *Network) setLevels(source, sink int, cheapest bool) bool {
	for i := range n.level {
		n.level[i] = -1
	}
	n.level[source] = 0
	n.queue = append(n.queue[:0], int32(source))
	for i := 0; i < len(n.queue); i++ {
		node := n.queue[i]
		for _, arc := range n.outgoing[node] {
			to := n.to[arc]
			if n.level[to] >= 0 || !n.isUsable(node, arc, cheapest) {
				continue
			}
			n.level[to] = n.level[node] + 1
			if to == int32(sink) {
				return true
			}
			n.queue = append(n.queue, to)
		}
	}
	return false
}

// augmentPath sends flow along one path of rising levels and returns the amount. Arcs that lead to a dead end
// are skipped until the levels are set again.
func (n *Network) augmentPath(node, sink int32, want int64, cheapest bool) int64 {
	if node == sink {
		return want
	}
	for ; int(n.nextArc[node]) < len(n.outgoing[node]); n.nextArc[node]++ {
		arc := n.outgoing[node][n.nextArc[node]]
		to := n.to[arc]
		if n.level[to] != n.level[node]+1 || !n.isUsable(node, arc, cheapest) {
			continue
		}
		amount := n.augmentPath(to, sink, min(want, n.residual[arc]), cheapest)
		if amount > 0 {
			n.residual[arc] -= amount
			n.residual[arc^1] += amount
			return amount
		}
	}
	return 0
}
