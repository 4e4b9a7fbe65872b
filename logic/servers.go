package logic

import (
	"math"
	"slices"

	"yokeroute/gather"
)

// server holds the state of one shard server.
type server struct {
	id               uint32
	state            gather.State
	replicaSets      []int // replica sets whose shards it holds
	answersFirstPass bool
	inOtherZone      bool

	inFlight    []*attempt
	lastAttempt *attempt
	inBusyList  bool // the server is listed in serverTable.busy

	estimate estimate
	load     loadReport
}

// serverTable holds the servers by a dense index. The index of a removed server is reused, so that the table
// does not grow with each machine that is replaced.
type serverTable struct {
	servers []server
	indexOf map[uint32]int // index by server ID
	busy    []int          // servers that have had an attempt in flight since the last removeIdle

	// attemptCounts holds the number of attempts sent to each server, decaying over the measuring window: the
	// paper's L times the window. It is separate from the servers since all counts decay in every round.
	attemptCounts []float64

	// replicas holds the running servers of each replica set.
	replicas [][]int
}

func newServerTable(replicaSets int) serverTable {
	return serverTable{indexOf: map[uint32]int{}, replicas: make([][]int, replicaSets)}
}

// get returns a server. The pointer is valid until a server is added.
func (t *serverTable) get(index int) *server { return &t.servers[index] }

func (t *serverTable) id(index int) uint32 { return t.servers[index].id }

func (t *serverTable) running(index int) bool { return t.servers[index].state == gather.Running }

func (t *serverTable) inFlight(index int) int { return len(t.servers[index].inFlight) }

// replicaSet returns the replica set of a shard.
func (t *serverTable) replicaSet(shard int) int { return shard % len(t.replicas) }

// nextReusable returns the first index at or after from of a removed server without attempts in flight, or
// the table's length if there is none.
func (t *serverTable) nextReusable(from int) int {
	for from < len(t.servers) {
		if s := t.get(from); s.state == gather.Removed && len(s.inFlight) == 0 {
			break
		}
		from++
	}
	return from
}

// assign assigns an index to a new server, and reports whether the table has grown.
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

// restart drops what was observed of a server's previous process. Attempts in flight remain.
func (t *serverTable) restart(index int) {
	s := t.get(index)
	s.lastAttempt = nil
	s.load.requestedAt = 0
	s.load.receivedAt = math.Inf(-1)
	t.attemptCounts[index] = 0
}

// removeUnlisted marks the servers that a full endpoint list does not contain as removed.
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

// rebuildReplicas recomputes the running servers of each replica set.
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

// addInFlight records an attempt that is sent.
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

// removeInFlight records that an attempt has ended.
func (t *serverTable) removeInFlight(a *attempt) {
	s := t.get(a.server)
	s.inFlight = slices.DeleteFunc(s.inFlight, func(other *attempt) bool { return other == a })
}

// removeIdle removes the servers without attempts in flight from the busy list.
func (t *serverTable) removeIdle() {
	t.busy = slices.DeleteFunc(t.busy, func(index int) bool {
		s := t.get(index)
		s.inBusyList = len(s.inFlight) > 0
		return !s.inBusyList
	})
}

// decayAttemptCounts multiplies all attempt counts by a factor.
func (t *serverTable) decayAttemptCounts(factor float64) {
	for i := range t.attemptCounts {
		t.attemptCounts[i] *= factor
	}
}
