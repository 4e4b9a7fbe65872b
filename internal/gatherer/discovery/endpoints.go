package discovery

import (
	"slices"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/internal/unixclock"
)

// maxRemovedNames limits how many removed servers are remembered. They are remembered because a later response may
// contain an older list that still has them.
const maxRemovedNames = 1024

// endpointTable holds the endpoint list, assembled from full lists and changes. Callers must synchronize access.
type endpointTable struct {
	revision int64
	// source numbers the sequences of comparable revisions. It increases with a new agent, and when the revision of a
	// full list is lower than the known one.
	source       int
	idByName     map[string]uint32
	nameByID     map[uint32]string
	addresses    map[uint32]shardcall.Address
	order        []uint32 // keys of addresses, in order of arrival
	observations map[string]observation
	// overruled holds the servers whose known state was kept although the last list, which may be older, differs.
	overruled    map[string]bool
	removedNames []string // removed servers that have an observation, oldest first
	now          func() float64
}

// observation is the newest known state of a server.
type observation struct {
	start  processStart
	state  gather.State
	source int
}

func newEndpointTable() *endpointTable {
	return &endpointTable{
		idByName:     map[string]uint32{},
		nameByID:     map[uint32]string{},
		addresses:    map[uint32]shardcall.Address{},
		observations: map[string]observation{},
		overruled:    map[string]bool{},
		now:          unixclock.New().Now,
	}
}

// apply updates the table from a response and returns the resulting list or change.
//
// A full list of another agent, or of an agent that fell behind, may be older than what is known. Such a list does not
// revert a drain or a removal, because a process is first running, then draining, then removed. Servers whose state it
// contradicts are added to overruled, until a response agrees or adoptObservations is called.
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
	now := t.now()
	for i := range r.members {
		m := &r.members[i]
		startedAt, state := t.reconcile(m, r.Full, now)
		if state == gather.Removed && r.Full {
			continue // treat the server as missing from the list
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
	for _, id := range t.idByName { // drop the servers that a full list no longer contains
		if _, listed := t.addresses[id]; !listed {
			t.drop(id)
		}
	}
	t.revision = r.Revision
	return list
}

// reconcile returns the start time and the state to use for a server, given its entry in a response that arrived at the
// given time and its known state.
func (t *endpointTable) reconcile(m *member, full bool, now float64) (startedAt float64, state gather.State) {
	state = stateOfPhase[m.Phase]
	previous, known := t.observations[m.ID]
	mayBeOlder := full && known && previous.source != t.source
	if mayBeOlder && previous.contradicts(m.UpSince, state) {
		t.overruled[m.ID] = true
		return previous.start.startedAt, previous.state
	}
	delete(t.overruled, m.ID)
	if m.markedDraining {
		t.overruled[m.ID] = true
	}
	start := previous.start.updated(m.UpSince, now)
	startedAt = start.startedAt
	if state == gather.Removed {
		start.startedAt = max(start.startedAt, previous.start.startedAt) // the entry may be of an earlier process
		startedAt = m.UpSince                                            // 0 if the entry contains only the name
		t.rememberRemoved(m.ID)
	}
	t.observations[m.ID] = observation{start, state, t.source}
	return startedAt, state
}

// contradicts reports whether the start time and the state in a list that may be older than the observation must not
// replace it: they are of an earlier process, or possibly of the same process in an earlier state.
func (o observation) contradicts(listedStart float64, listedState gather.State) bool {
	if listedState == gather.Removed {
		return false
	}
	earlierState := listedState < o.state && !o.start.isBefore(listedStart)
	return earlierState || o.start.isAfter(listedStart)
}

// adoptObservations attributes all observations to the current source. The next full list of the agent then counts as
// newer than them, unless its revision is lower than the last one.
func (t *endpointTable) adoptObservations() {
	for name, o := range t.observations {
		o.source = t.source
		t.observations[name] = o
	}
}

// rememberRemoved records that a server is removed, and forgets the oldest removed server beyond maxRemovedNames.
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

// drop deletes a server that is no longer listed. Its ID may be assigned again.
func (t *endpointTable) drop(id uint32) {
	name := t.nameByID[id]
	switch last := t.observations[name]; last.state {
	case gather.Running: // absence from a list does not prove a removal
		delete(t.observations, name)
	case gather.Draining: // the server has finished draining
		t.observations[name] = observation{last.start, gather.Removed, t.source}
		t.rememberRemoved(name)
	}
	delete(t.idByName, name)
	delete(t.nameByID, id)
	delete(t.addresses, id)
	t.order = slices.DeleteFunc(t.order, func(other uint32) bool { return other == id })
}

// assignID returns the ID of a server. If another name already has that ID, the server gets the next free one.
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

// list returns the addresses of all listed servers.
func (t *endpointTable) list() []shardcall.Address {
	all := make([]shardcall.Address, 0, len(t.order))
	for _, id := range t.order {
		all = append(all, t.addresses[id])
	}
	return all
}
