package scale

import (
	"fmt"
	"os"
	"runtime"
	"testing"
)

// TestDecisionsUnchanged wants the part calls that the module decided on, in fleets of growing size, before its figures
// were brought up to date by what changed. The design size takes half a minute under the race detector: it is played where YOKEROUTE_DESIGN_SIZE is set.
func TestDecisionsUnchanged(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("others may fuse multiplications, and the hashes were taken without")
	}
	for _, c := range []struct {
		DecisionOptions
		large bool
		want  uint64
	}{
		{DecisionOptions{Servers: 60, ShardRequests: 8, Replicas: 3, Rate: 100, Seconds: 10, Seed: 1}, false, 0x3a265b5328f2d269},
		{DecisionOptions{Servers: 3000, ShardRequests: 64, Replicas: 3, Rate: 50, Seconds: 6, Seed: 2}, false, 0x7d7b359e014661cc},
		{DecisionOptions{Servers: 700, ShardRequests: 64, Replicas: 43, Rate: 50, Seconds: 6, Seed: 3}, false, 0xc8a70d60d499a332},
		{DecisionOptions{Servers: DesignServers, ShardRequests: DesignShardRequests, Replicas: 3, Rate: DesignQueryRate, Seconds: 8, Seed: 4}, true, 0xcc061ef74eda6dae},
	} {
		if c.large && os.Getenv("YOKEROUTE_DESIGN_SIZE") == "" {
			continue
		}
		t.Run(fmt.Sprintf("%d-servers-%d-parts", c.Servers, c.ShardRequests), func(t *testing.T) {
			q := newQueryLoad(c.DecisionOptions)
			q.run(t.Context(), c.Seconds)
			if got := q.decisions.Sum64(); got != c.want {
				t.Errorf("%d calls come to %#x, before it was %#x", q.attemptsSent, got, c.want)
			}
		})
	}
}
