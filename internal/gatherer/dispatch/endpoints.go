package dispatch

import (
	"maps"
	"slices"

	"yokeroute/gather"
)

// endpointTable holds the current endpoints.
type endpointTable struct {
	byID      map[uint32]tableEntry
	order     []uint32 // keys of byID in the order in which they were first listed
	fullLists int      // full lists applied
}

// tableEntry is an endpoint with the number of full lists that had been applied when it was last listed.
type tableEntry struct {
	gather.Endpoint
	fullList int
}

func newEndpointTable() endpointTable { return endpointTable{byID: map[uint32]tableEntry{}} }

// apply updates the table by a full list or a delta. It returns the IDs of endpoints whose process has restarted.
func (t *endpointTable) apply(list *gather.EndpointList) (restarted []uint32) {
	if list.Full {
		t.fullLists++
		t.order = t.order[:0]
	}
	for _, e := range list.Endpoints {
		if e.State == gather.Removed {
			t.remove(e.ID)
			continue
		}
		known, isKnown := t.byID[e.ID]
		if !isKnown || known.fullList != t.fullLists {
			t.order = append(t.order, e.ID)
		}
		if isKnown && gather.Restarted(known.StartedAt, e.StartedAt) {
			restarted = append(restarted, e.ID)
		}
		e.StartedAt = gather.NewestStart(known.StartedAt, e.StartedAt)
		t.byID[e.ID] = tableEntry{e, t.fullLists}
	}
	if len(t.byID) > len(t.order) { // a full list lacks some of the endpoints
		maps.DeleteFunc(t.byID, func(_ uint32, e tableEntry) bool { return e.fullList != t.fullLists })
	}
	return restarted
}

func (t *endpointTable) remove(id uint32) {
	delete(t.byID, id)
	t.order = slices.DeleteFunc(t.order, func(other uint32) bool { return other == id })
}

// list returns the endpoints in the order in which they were first listed.
func (t *endpointTable) list() []gather.Endpoint {
	var listed []gather.Endpoint
	for _, id := range t.order {
		listed = append(listed, t.byID[id].Endpoint)
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
