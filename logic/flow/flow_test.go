package flow

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

func init() { flag.Set("rapid.seed", "20261201") } // the tests draw the same networks in each run

// arc is an arc of a randomly drawn network.
type arc struct {
	from, to int
	capacity int64
	cost     Cost
}

// referenceMinCost computes a flow of the least cost in a simple way: it sends one unit at a time along the
// cheapest path, which it finds by relaxing all arcs repeatedly.
func referenceMinCost(nodes int, arcs []arc, want int64) (sent int64, cost Cost) {
	flow := make([]int64, len(arcs))
	for ; sent < want; sent++ {
		distance, via := make([]Cost, nodes), make([]int, nodes)
		for i := range distance {
			distance[i] = unreached
		}
		distance[0] = Cost{}
		for range nodes {
			for i, a := range arcs {
				if flow[i] < a.capacity && distance[a.from] != unreached && distance[a.from].Add(a.cost).Less(distance[a.to]) {
					distance[a.to], via[a.to] = distance[a.from].Add(a.cost), i+1
				}
				if flow[i] > 0 && distance[a.to] != unreached && distance[a.to].Sub(a.cost).Less(distance[a.from]) {
					distance[a.from], via[a.from] = distance[a.to].Sub(a.cost), -i-1
				}
			}
		}
		if distance[1] == unreached {
			break
		}
		cost = cost.Add(distance[1])
		for node := 1; node != 0; {
			if i := via[node]; i > 0 {
				flow[i-1]++
				node = arcs[i-1].from
			} else {
				flow[-i-1]--
				node = arcs[-i-1].to
			}
		}
	}
	return sent, cost
}

// TestMinCostFlowEqualsReference compares the amount and cost of the flow in random networks, some with
// negative costs, with the reference. It also checks the flow itself: no arc exceeds its capacity, flow is
// conserved at each node, and a cut is full if less than wanted was sent.
func TestMinCostFlowEqualsReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(2, 7).Draw(t, "nodes")
		n := New(nodes)
		var arcs []arc
		for range rapid.IntRange(1, 16).Draw(t, "arcs") {
			a := arc{from: rapid.IntRange(0, nodes-1).Draw(t, "from"), to: rapid.IntRange(0, nodes-1).Draw(t, "to"),
				capacity: rapid.Int64Range(0, 4).Draw(t, "capacity"), cost: Cost{rapid.Int64Range(0, 3).Draw(t, "first"), rapid.Int64Range(-2, 2).Draw(t, "second")}}
			if a.from == a.to {
				continue
			}
			if a.from > a.to {
				a.cost.First += 20 // so that no cycle has a negative cost
			}
			arcs = append(arcs, a)
			n.AddArc(a.from, a.to, a.capacity, a.cost)
		}
		want := rapid.Int64Range(0, 12).Draw(t, "want")
		sent, cost := n.MinCostFlow(0, 1, want)
		wantSent, wantCost := referenceMinCost(nodes, arcs, want)
		if sent != wantSent || cost != wantCost {
			t.Fatalf("MinCostFlow sent %d units at %v, want %d at %v as the reference", sent, cost, wantSent, wantCost)
		}
		checkFlow := func(sent int64) {
			balance, sum := make([]int64, nodes), Cost{}
			for i, a := range arcs {
				f := n.Flow(2 * i)
				if f < 0 || f > a.capacity || n.Capacity(2*i) != a.capacity {
					t.Fatalf("arc %d: Flow = %d and Capacity = %d, want a flow from 0 to the capacity of %d",
						i, f, n.Capacity(2*i), a.capacity)
				}
				balance[a.from] -= f
				balance[a.to] += f
				sum = sum.Add(a.cost.Times(f))
			}
			for node, got := range balance {
				if expect := map[int]int64{0: -sent, 1: sent}[node]; got != expect {
					t.Fatalf("node %d: inflow less outflow is %d, want %d", node, got, expect)
				}
			}
			if sent == wantSent && sum != wantCost && cost == sum {
				t.Fatalf("the costs of the arcs add up to %v, want %v", sum, wantCost)
			}
		}
		checkFlow(sent)
		if reachable := n.Reachable(0); sent < want {
			cutCapacity := int64(0)
			for _, a := range arcs {
				if reachable[a.from] && !reachable[a.to] {
					cutCapacity += a.capacity
				}
			}
			if reachable[1] || cutCapacity != sent {
				t.Fatalf("capacity of the cut = %d, sink reachable = %v; want the %d units sent, and false",
					cutCapacity, reachable[1], sent)
			}
		}
		// After a Reset, Augment sends the same amount regardless of cost. Restore undoes a change.
		n.Reset()
		if got := n.Augment(0, 1, want); got != wantSent {
			t.Fatalf("Augment sent %d units, want %d", got, wantSent)
		}
		checkFlow(wantSent)
		if len(arcs) > 0 && nodes > 2 {
			saved, to := n.Save(nil), arcs[0].to
			n.Retarget(0, 2)
			n.Retarget(0, to)
			n.Restore(saved)
			checkFlow(wantSent)
		}
	})
}
