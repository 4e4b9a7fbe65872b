package dispatch

import (
	"slices"

	"yokeroute/gather"
)

// endpointTable holds the current endpoints.
type endpointTable struct {
	byID  map[uint32]gather.Endpoint
	order []uint32 // IDs in the order in which they were first listed
}

// apply updates the table by a full list or a delta. It returns the IDs of endpoints whose process has restarted.
func (t *endpointTable) apply(list *gather.EndpointList) (restarted []uint32) {
	previous := t.byID
	if list.Full {
		t.byID = make(map[uint32]gather.Endpoint, len(list.Endpoints))
		t.order = t.order[:0]
	}
	for _, e := range list.Endpoints {
		known, wasListed := previous[e.ID]
		if e.State == gather.Removed {
			delete(t.byID, e.ID)
			t.order = slices.DeleteFunc(t.order, func(id uint32) bool { return id == e.ID })
			continue
		}
		if _, listed := t.byID[e.ID]; !listed {
			t.order = append(t.order, e.ID)
		}
		if wasListed {
			if gather.Restarted(known.StartedAt, e.StartedAt) {
				restarted = append(restarted, e.ID)
			}
			e.StartedAt = gather.NewestStart(known.StartedAt, e.StartedAt)
		}
		t.byID[e.ID] = e
	}
	return restarted
}

// list returns the endpoints in the order in which they were first listed.
func (t *endpointTable) list() []gather.Endpoint {
	var listed []gather.Endpoint
	for _, id := range t.order {
		listed = append(listed, t.byID[id])
	}
	return listed
}

// rewriteEndpoints replaces the endpoints of each list by copies with change applied to them. It leaves the original
// slices unmodified, because they may be shared.
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
