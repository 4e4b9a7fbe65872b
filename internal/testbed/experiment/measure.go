package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yokeroute/internal/testbed/standin/shardserver"
)

// Sample is what a fleet and its gatherers came to under a load.
type Sample struct {
	Greatest     float64 `json:"Greatest"` // the highest utilization of a machine that is on the list
	Crossing     float64 `json:"Crossing"` // the share of attempts that crossed zones
	Median       float64 `json:"Median"`   // of attempts, milliseconds at the machine
	P99          float64 `json:"P99"`
	LookupMedian float64 `json:"LookupMedian"` // of queries, milliseconds at the client
	LookupP99    float64 `json:"LookupP99"`
	Satisfied    float64 `json:"Satisfied"` // shares of queries, as the next four
	Whole        float64 `json:"Whole"`
	Aim          float64 `json:"Aim"` // served within the latency objective
	Nacked       float64 `json:"Nacked"`
	Aborted      float64 `json:"Aborted"`
	CPU          float64 `json:"CPU"`      // seconds of all gatherers for 1,000 queries
	MemoryMB     float64 `json:"MemoryMB"` // the highest resident memory of a gatherer
	Parts        float64 `json:"Parts"`    // shard requests a query
	Briefs       float64 `json:"Briefs"`   // those of first passes among them
	Work         float64 `json:"Work"`     // milliseconds of cores a query
	Wasted       float64 `json:"Wasted"`   // the share of shard requests executed after their cancellation
}

// Measure plays loads on gatherers of a fleet and takes what comes of it; machines in gone don't count as used.
func Measure(ctx context.Context, fleet *Fleet, nodes []*Node, loads []Load, length, aim time.Duration, gone map[string]bool) (s Sample) {
	before, origins := map[string]shardserver.Counts{}, map[string]map[string]int{}
	for name, m := range fleet.Servers {
		before[name], origins[name] = m.Counts(), m.Origins()
		m.Took(hdrhistogram.New(1, 60_000_000, 3)) // what came earlier does not count
	}
	used := 0.0
	for _, n := range nodes {
		used -= n.Usage().CPU
	}
	outs := make([]*Outcome, len(loads))
	var wait sync.WaitGroup
	began := time.Now()
	for i, load := range loads {
		wait.Go(func() { outs[i] = Play(ctx, load, length, aim) })
	}
	wait.Wait()
	passed := time.Since(began).Seconds() * 1000
	all, took := NewOutcome(), hdrhistogram.New(1, 60_000_000, 3)
	for _, o := range outs {
		all.Add(o)
	}
	parts, briefs, crossed, wasted, answered, worked := 0, 0, 0, 0, 0, 0.0
	for _, m := range fleet.Machines {
		server, was := fleet.Servers[m.Name], before[m.Name]
		now := server.Counts()
		server.Took(took)
		if !gone[m.Name] {
			s.Greatest = max(s.Greatest, (now.Worked-was.Worked)/passed/float64(m.Cores))
		}
		worked += now.Worked - was.Worked
		briefs += now.Briefs - was.Briefs
		wasted += now.Wasted - was.Wasted
		answered += now.Answered - was.Answered
		for origin, n := range server.Origins() {
			n -= origins[m.Name][origin]
			parts += n
			if origin != m.Hall {
				crossed += n
			}
		}
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	sent := max(float64(all.Sent), 1)
	s.Crossing = float64(crossed) / max(float64(parts), 1)
	s.Median, s.P99 = ms(took, 50), ms(took, 99)
	s.LookupMedian, s.LookupP99 = ms(all.Took, 50), ms(all.Took, 99)
	s.Satisfied, s.Whole, s.Aim = float64(all.Satisfied)/sent, float64(all.Whole)/sent, float64(all.InAim)/sent
	s.Nacked, s.Aborted = float64(all.Nacked)/sent, float64(all.Aborted+all.Failed)/sent
	s.Parts, s.Briefs, s.Work = float64(parts)/sent, float64(briefs)/sent, worked/sent
	s.Wasted = float64(wasted) / max(float64(wasted+answered), 1)
	for _, n := range nodes {
		use := n.Usage()
		used += use.CPU
		s.MemoryMB = max(s.MemoryMB, use.Memory)
	}
	s.CPU = used / sent * 1000
	return s
}
