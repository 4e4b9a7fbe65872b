package logic

import (
	"math"
	"slices"

	"yokeroute/gather"
)

// server is what is known of one shard server.
type server struct {
	id               uint32
	state            gather.State
	replicaSets      []int // whose shards it holds
	answersFirstPass bool
	inOtherZone      bool

	inFlight    []*attempt
	lastAttempt *attempt
	inBusyList  bool // it is in serverTable.busy

	estimate estimate
	load     loadReport
}

// serverTable holds the servers under a dense index. A removed server's index is used again, so that the
// table does not grow with each machine that is replaced.
type serverTable struct {
	servers []server
	indexOf map[uint32]int
	busy    []int // servers with attempts in flight at the last round or since

	// attemptCounts are attempts sent, decaying over the measuring window: the paper's L times the window.
	// They stand apart from the servers since they decay in every round.
	attemptCounts []float64

	// replicas are the running servers of each replica set.
	replicas [][]int
}

func newServerTable(replicaSets int) serverTable {
	return serverTable{indexOf: map[uint32]int{}, replicas: make([][]int, replicaSets)}
}

// get returns a server. It stays valid until a server is added.
func (t *serverTable) get(index int) *server { return &t.servers[index] }

func (t *serverTable) id(index int) uint32 { return t.servers[index].id }

func (t *serverTable) running(index int) bool { return t.servers[index].state == gather.Running }

func (t *serverTable) inFlight(index int) int { return len(t.servers[index].inFlight) }

// replicaSet is that of a shard.
func (t *serverTable) replicaSet(shard int) int { return shard % len(t.replicas) }

// nextReusable is the first index, from one on, of a server that is removed and has no attempt in flight; it is
// the table's length where there is none.
func (t *serverTable) nextReusable(from int) int {
	for from < len(t.servers) {
		if s := t.get(from); s.state == gather.Removed && len(s.inFlight) == 0 {
			break
		}
		from++
	}
	return from
}

// assign gives a new server an index, and reports whether the table has grown by it.
func (t *serverTable) assign(id uint32, index int) (grown bool) {
	if index < len(t.servers) {
		delete(t.indexOf, t.servers[index].id)
	} else {
		t.servers = append(t.servers, server{})
		t.attemptCounts = append(t.attemptCounts, 0)
		grown = true
	}
	t.indexOf[id] = index
	t.servers[index].id = id
	return grown
}

// restart forgets what was observed of a server's earlier process. Attempts in flight go on.
func (t *serverTable) restart(index int) {
	s := t.get(index)
	s.lastAttempt = nil
	s.load.requestedAt = 0
	s.load.receivedAt = math.Inf(-1)
	t.attemptCounts[index] = 0
}

// removeUnlisted marks the servers that a full endpoint list does not name.
func (t *serverTable) removeUnlisted(endpoints []gather.Endpoint) {
	listed := make(map[uint32]bool, len(endpoints))
	for i := range endpoints {
		listed[endpoints[i].ID] = true
	}
	for i := range t.servers {
		if !listed[t.servers[i].id] {
			t.servers[i].state = gather.Removed
		}
	}
}

// rebuildReplicas finds the running servers of each replica set.
func (t *serverTable) rebuildReplicas() {
	clear(t.replicas)
	for i := range t.servers {
		if !t.running(i) {
			continue
		}
		for _, set := range t.servers[i].replicaSets {
			if set < len(t.replicas) {
				t.replicas[set] = append(t.replicas[set], i)
			}
		}
	}
}

// addInFlight notes an attempt that is sent.
func (t *serverTable) addInFlight(a *attempt) {
	s := t.get(a.server)
	if !s.inBusyList {
		s.inBusyList = true
		t.busy = append(t.busy, a.server)
	}
	s.inFlight = append(s.inFlight, a)
	s.lastAttempt = a
	t.attemptCounts[a.server] += a.weight
}

// removeInFlight notes an attempt that has ended.
func (t *serverTable) removeInFlight(a *attempt) {
	s := t.get(a.server)
	s.inFlight = slices.DeleteFunc(s.inFlight, func(other *attempt) bool { return other == a })
}

// removeIdle takes the servers without attempts in flight off the list of busy ones.
func (t *serverTable) removeIdle() {
	t.busy = slices.DeleteFunc(t.busy, func(index int) bool {
		s := t.get(index)
		s.inBusyList = len(s.inFlight) > 0
		return !s.inBusyList
	})
}

// decayAttemptCounts lets the counts decay by a factor.
func (t *serverTable) decayAttemptCounts(factor float64) {
	for i := range t.attemptCounts {
		t.attemptCounts[i] *= factor
	}
}
