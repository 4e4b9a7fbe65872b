package baselines

import (
	"slices"

	"yokeroute/gather"
)

type server struct {
	gather.Endpoint
	inFlight int
}

// applyEndpointList applies a full endpoint list, or a delta to the current one.
func (m *Module) applyEndpointList(list *gather.EndpointList) {
	if list.Failed {
		return
	}
	if list.Full {
		for _, s := range m.servers {
			s.State = gather.Removed
		}
	}
	for _, e := range list.Endpoints {
		if s := m.servers[e.ID]; s != nil {
			s.Endpoint = e
		} else {
			m.servers[e.ID] = &server{Endpoint: e}
		}
	}
	m.rebuildReplicas()
}

func (m *Module) rebuildReplicas() {
	m.replicas = make([][]uint32, len(m.turns))
	for _, id := range m.sortedIDs() {
		s := m.servers[id]
		if s.State != gather.Running || s.ReplicaSet < 0 || s.ReplicaSet >= len(m.turns) {
			continue
		}
		for offset := range max(m.settings.ReplicaSetsPerShard, 1) {
			set := ((s.ReplicaSet-offset)%len(m.turns) + len(m.turns)) % len(m.turns)
			m.replicas[set] = append(m.replicas[set], id)
		}
	}
}

// sortedIDs returns the IDs of all servers in order, so that decisions do not depend on the iteration order
// of a map.
func (m *Module) sortedIDs() []uint32 {
	ids := make([]uint32, 0, len(m.servers))
	for id := range m.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
