package discovery

import (
	"slices"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/shardcall"
)

// maxRemovedNames bounds the servers of which it is remembered that they are removed, in case a list is older than
// that.
const maxRemovedNames = 1024

// endpointTable is the endpoint list, put together from full lists and changes. Its users synchronize.
type endpointTable struct {
	revision     int64
	source       int // counts the agents whose revisions don't compare with each other's
	idByName     map[string]uint32
	nameByID     map[uint32]string
	addresses    map[uint32]shardcall.Address
	order        []uint32 // keys of addresses, in the order of their arrival
	observations map[string]observation
	overruled    map[string]bool // servers of which the last list said otherwise, which may be older
	removedNames []string        // removed servers with an observation, the oldest first
}

// observation is the newest known state of a server, by name.
type observation struct {
	startedAt float64
	state     gather.State
	source    int
}

func newEndpointTable() *endpointTable {
	return &endpointTable{
		idByName:     map[string]uint32{},
		nameByID:     map[uint32]string{},
		addresses:    map[uint32]shardcall.Address{},
		observations: map[string]observation{},
		overruled:    map[string]bool{},
	}
}

// apply takes over a response and returns the list or the change that follows from it.
//
// A full list of another agent, or of one that is behind, may be older than what is known. It reverts no
// drain and no removal: one process is first running, then draining, then removed. The servers of which it
// says otherwise are noted as overruled, until a response agrees or observations are adopted.
func (t *endpointTable) apply(r *Response) gather.EndpointList {
	list := gather.EndpointList{Full: r.Full}
	if r.Full {
		if r.Revision < t.revision {
			t.source++
		}
		clear(t.addresses)
		clear(t.overruled)
		t.order = t.order[:0]
	}
	for i := range r.members {
		m := &r.members[i]
		startedAt, state := t.reconcile(m, r.Full)
		if state == gather.Removed && r.Full {
			continue // as if the list lacked it
		}
		id := t.assignID(m.ID)
		list.Endpoints = append(list.Endpoints, m.endpoint(id, startedAt, state))
		if state == gather.Removed {
			t.drop(id)
			continue
		}
		if _, known := t.addresses[id]; !known {
			t.order = append(t.order, id)
		}
		t.addresses[id] = shardcall.Address{
			ID:        id,
			Name:      m.ID,
			HostPort:  m.HostPort,
			State:     state,
			StartedAt: startedAt,
		}
	}
	for _, id := range t.idByName { // what a full list lacks is removed
		if _, listed := t.addresses[id]; !listed {
			t.drop(id)
		}
	}
	t.revision = r.Revision
	return list
}

// reconcile returns a server's start and state, from what a response says of it and what is known.
func (t *endpointTable) reconcile(m *member, full bool) (startedAt float64, state gather.State) {
	state = stateOfPhase[m.Phase]
	before, known := t.observations[m.ID]
	if mayBeOlder := full && known && before.source != t.source; mayBeOlder {
		earlierProcess := m.UpSince < before.startedAt && state != gather.Removed
		earlierState := m.UpSince == before.startedAt && state < before.state
		if earlierProcess || earlierState {
			t.overruled[m.ID] = true
			return before.startedAt, before.state
		}
	}
	delete(t.overruled, m.ID)
	if m.markedDraining {
		t.overruled[m.ID] = true
	}
	t.observations[m.ID] = observation{m.UpSince, state, t.source}
	if state == gather.Removed {
		if known && m.UpSince < before.startedAt { // a change may hold no more than the name
			t.observations[m.ID] = observation{before.startedAt, state, t.source}
		}
		t.rememberRemoved(m.ID)
	}
	return m.UpSince, state
}

// adoptObservations has what is known count as told by the present agent, whose next full list is then not
// older unless its revision is.
func (t *endpointTable) adoptObservations() {
	for name, o := range t.observations {
		o.source = t.source
		t.observations[name] = o
	}
}

// rememberRemoved notes that a server is removed, and forgets the oldest such where there are too many.
func (t *endpointTable) rememberRemoved(name string) {
	t.removedNames = append(t.removedNames, name)
	if len(t.removedNames) <= maxRemovedNames {
		return
	}
	oldest := t.removedNames[0]
	t.removedNames = slices.Delete(t.removedNames, 0, 1)
	if t.observations[oldest].state == gather.Removed {
		delete(t.observations, oldest)
	}
}

// drop deletes a server that is not listed any more. Its ID may be assigned again.
func (t *endpointTable) drop(id uint32) {
	name := t.nameByID[id]
	switch last := t.observations[name]; last.state {
	case gather.Running: // a list that lacks it proves no removal
		delete(t.observations, name)
	case gather.Draining: // it ended its drain
		t.observations[name] = observation{last.startedAt, gather.Removed, t.source}
		t.rememberRemoved(name)
	}
	delete(t.idByName, name)
	delete(t.nameByID, id)
	delete(t.addresses, id)
	t.order = slices.DeleteFunc(t.order, func(other uint32) bool { return other == id })
}

// assignID returns a server's ID. Of two names with one number the later gets the next free ID.
func (t *endpointTable) assignID(name string) uint32 {
	id, known := t.idByName[name]
	if known {
		return id
	}
	id = ServerID(name)
	for t.nameByID[id] != "" {
		id++
	}
	t.idByName[name] = id
	t.nameByID[id] = name
	return id
}

// list is all listed servers.
func (t *endpointTable) list() []shardcall.Address {
	all := make([]shardcall.Address, 0, len(t.order))
	for _, id := range t.order {
		all = append(all, t.addresses[id])
	}
	return all
}
