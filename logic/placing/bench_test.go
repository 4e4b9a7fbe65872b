package placing

import (
	"fmt"
	"testing"
	"time"

	"yokeroute/internal/pcg"
	"yokeroute/logic/balance"
	"yokeroute/logic/placement"
)

// benchmarkModel returns a model with uneven hosts and load: two kinds of hosts in three zones, sets of four
// hosts with six segments each, and a tenth of the segments with five times the demand of the others. If
// placed is true, the segments have hosts.
func benchmarkModel(hosts int, seed uint64, placed bool) *placement.Model {
	random := pcg.New(seed)
	m := &placement.Model{Unit: 1, MaxMoves: -1, Steps: 8}
	for i := range 3 {
		m.Zones = append(m.Zones, placement.Zone{Name: fmt.Sprint("hall", i), MaxLoad: -1, HeadroomShare: 0.05})
	}
	capacity := int64(0)
	for i := range hosts {
		h := placement.Host{Name: fmt.Sprintf("h%04d", i), Zone: fmt.Sprint("hall", i%3), Capacity: 120, Cost: 1000, MaxSegments: 8}
		if random.Float64() < 0.4 {
			h.Capacity, h.Cost = 70, 800
		}
		capacity += h.Capacity
		m.Hosts = append(m.Hosts, h)
	}
	segments := max(hosts*6/4, 1)
	sum := 0.0
	demandShares := make([]float64, segments)
	for i := range demandShares {
		demandShares[i] = 0.2 + random.Float64()
		if i%10 == 0 {
			demandShares[i] *= 5
		}
		sum += demandShares[i]
	}
	for i := range segments {
		s := placement.Segment{Name: fmt.Sprintf("s%04d", i), ReplicaSet: -1, Replicas: min(4, hosts)}
		for j := range s.Replicas {
			if placed {
				s.Hosts = append(s.Hosts, m.Hosts[(i/6*4+j)%hosts].Name)
			}
		}
		m.Segments = append(m.Segments, s)
		for zone := range 3 {
			m.Demands = append(m.Demands, placement.Demand{Segment: s.Name, Zone: fmt.Sprint("hall", zone),
				Rate: int64(0.4 * float64(capacity) * demandShares[i] / sum / 3)})
		}
	}
	return m
}

var hostCounts = []int{12, 100, 310, 1000} // numbers of hosts of the benchmark models

// BenchmarkWeights measures the computation of one set of weights.
func BenchmarkWeights(b *testing.B) {
	for _, n := range hostCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := benchmarkModel(n, 1, true).Normalized()
			p := balance.NewProblem(m)
			p.SetTime(0, nil)
			b.ReportAllocs()
			for b.Loop() {
				u, fits := p.MinUtilisation(false)
				if !fits {
					b.Fatal(p.Infeasibility(0).Describe(func(n int64) string { return fmt.Sprint(n) }))
				}
				p.MinCost(u, false, nil)
			}
		})
	}
}

// BenchmarkPlan measures the computation of a plan with all its cases.
func BenchmarkPlan(b *testing.B) {
	for _, n := range hostCounts[:3] {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := benchmarkModel(n, 1, true)
			b.ReportAllocs()
			for b.Loop() {
				plan, _, err := balance.Solve(m, nil, alwaysHasTime)
				if err != nil || plan == nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPlacement reports the quality of the placement that a search finds within a time limit.
func BenchmarkPlacement(b *testing.B) {
	for _, n := range hostCounts {
		for _, limit := range []time.Duration{time.Second, 10 * time.Second} {
			b.Run(fmt.Sprintf("%d/%v", n, limit), func(b *testing.B) {
				m := benchmarkModel(n, 1, false)
				b.ReportAllocs()
				for b.Loop() {
					deadline := time.Now().Add(limit)
					r, infeasibility, err := Search(m, Config{Effort: 1 << 30, Seed: 1}, func() bool { return time.Now().Before(deadline) })
					if err != nil || infeasibility != nil {
						b.Fatal(err, infeasibility)
					}
					b.ReportMetric((r.MaxUtilisation.Float()/r.Bound.Float()-1)*100, "gap%")
					b.ReportMetric(r.MaxUtilisation.Float()*100, "greatest%")
					b.ReportMetric((float64(r.Cost)/float64(r.CostBound)-1)*100, "costgap%")
					b.ReportMetric(float64(r.TriedChanges), "tries")
				}
			})
		}
	}
}
