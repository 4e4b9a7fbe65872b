package scale

import (
	"fmt"
	"testing"
)

// BenchmarkDecisions takes a gatherer's queries at growing fleets and numbers of parts.
func BenchmarkDecisions(b *testing.B) {
	for _, t := range []DecisionOptions{{Servers: 20, ShardRequests: 8}, {Servers: 300, ShardRequests: 64}, {Servers: 3000, ShardRequests: 640}, {Servers: 28_000, ShardRequests: 64}, {Servers: 28_000, ShardRequests: 640}} {
		b.Run(fmt.Sprintf("%d-servers-%d-parts", t.Servers, t.ShardRequests), func(b *testing.B) {
			t.Replicas, t.Rate = 3, DesignQueryRate
			q := newQueryLoad(t)
			q.run(b.Context(), warmUpSeconds)
			b.ReportAllocs()
			b.ResetTimer()
			for q.queries = 0; q.queries < b.N; {
				q.run(b.Context(), 1/DesignQueryRate)
			}
		})
	}
}
