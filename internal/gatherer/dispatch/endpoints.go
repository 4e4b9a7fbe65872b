package dispatch

import (
	"slices"

	"yokeroute/gather"
)

// endpointTable is the endpoint list as it stands.
type endpointTable struct {
	byID  map[uint32]gather.Endpoint
	order []uint32 // in which they were first listed
}

// apply takes over a list or a change. It returns the IDs of endpoints whose process has restarted.
func (t *endpointTable) apply(list *gather.EndpointList) (restarted []uint32) {
	if list.Full {
		clear(t.byID)
		t.order = t.order[:0]
	}
	for _, e := range list.Endpoints {
		known, listed := t.byID[e.ID]
		if e.State == gather.Removed {
			delete(t.byID, e.ID)
			t.order = slices.DeleteFunc(t.order, func(id uint32) bool { return id == e.ID })
			continue
		}
		switch {
		case !listed:
			t.order = append(t.order, e.ID)
		case known.StartedAt != e.StartedAt:
			restarted = append(restarted, e.ID)
		}
		t.byID[e.ID] = e
	}
	return restarted
}

// all are the endpoints in the order in which they were first listed.
func (t *endpointTable) all() []gather.Endpoint {
	var all []gather.Endpoint
	for _, id := range t.order {
		all = append(all, t.byID[id])
	}
	return all
}

// rewriteEndpoints replaces each list's endpoints by copies that change has been applied to: a list may be shared
// with others.
func rewriteEndpoints(lists []gather.EndpointList, change func(e *gather.Endpoint)) {
	for i := range lists {
		copies := make([]gather.Endpoint, len(lists[i].Endpoints))
		for j, e := range lists[i].Endpoints {
			change(&e)
			copies[j] = e
		}
		lists[i].Endpoints = copies
	}
}
