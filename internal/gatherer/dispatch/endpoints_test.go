package dispatch

import (
	"slices"
	"testing"

	"yokeroute/gather"
)

// TestRestartsAreFoundByStartTime guards against first passes to the new process of a server, whose restart a full list
// or a delta reports, and against a restart that is seen where only the start has become long ago. A warming server must
// not count as warm by that.
func TestRestartsAreFoundByStartTime(t *testing.T) {
	for _, full := range []bool{false, true} {
		table := newEndpointTable()
		for i, c := range []struct {
			listed, kept float64
			restarted    bool
		}{{5, 5, false}, {5, 5, false}, {0, 5, false}, {7, 7, true}, {0, 7, false}} {
			list := gather.EndpointList{Full: full, Endpoints: []gather.Endpoint{{ID: 1, StartedAt: c.listed}}}
			restarted := slices.Contains(table.apply(&list), 1)
			if got := table.list(); restarted != c.restarted || len(got) != 1 || got[0].StartedAt != c.kept {
				t.Errorf("full lists %t, list %d: %+v, restarted %t; want start time %v, %t",
					full, i, got, restarted, c.kept, c.restarted)
			}
		}
	}
}
