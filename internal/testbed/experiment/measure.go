package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yokeroute/internal/testbed/standin/shardserver"
)

// Measurement is what a fleet and its gatherers came to under a load.
type Measurement struct {
	MaxUtilization    float64 `json:"Greatest"` // the highest utilization of a machine that is on the list
	CrossZoneShare    float64 `json:"Crossing"` // the share of attempts that crossed zones
	AttemptMedian     float64 `json:"Median"`   // of attempts, milliseconds at the machine
	AttemptP99        float64 `json:"P99"`
	QueryMedian       float64 `json:"LookupMedian"` // of queries, milliseconds at the client
	QueryP99          float64 `json:"LookupP99"`
	Served            float64 `json:"Satisfied"` // shares of queries, as the next four
	Complete          float64 `json:"Whole"`
	WithinObjective   float64 `json:"Aim"` // served within the latency objective
	Rejected          float64 `json:"Nacked"`
	Failed            float64 `json:"Aborted"`
	CPU               float64 `json:"CPU"`      // seconds of all gatherers for 1,000 queries
	MemoryMB          float64 `json:"MemoryMB"` // the highest resident memory of a gatherer
	Requests          float64 `json:"Parts"`    // shard requests a query
	FirstPassRequests float64 `json:"Briefs"`   // those of first passes among them
	Work              float64 `json:"Work"`     // milliseconds of cores a query
	Wasted            float64 `json:"Wasted"`   // the share of shard requests executed after their cancellation
}

// Measure plays loads on gatherers of a fleet and takes what comes of it; machines in gone don't count as used.
func Measure(ctx context.Context, fleet *Fleet, nodes []*Gatherer, loads []Load, length, aim time.Duration, gone map[string]bool) (s Measurement) {
	before, origins := map[string]shardserver.Counts{}, map[string]map[string]int{}
	for name, m := range fleet.Servers {
		before[name], origins[name] = m.Counts(), m.RequestsByOrigin()
		m.TakeLatencies(hdrhistogram.New(1, 60_000_000, 3)) // what came earlier does not count
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
		server.TakeLatencies(took)
		if !gone[m.Name] {
			s.MaxUtilization = max(s.MaxUtilization, (now.WorkDone-was.WorkDone)/passed/float64(m.Cores))
		}
		worked += now.WorkDone - was.WorkDone
		briefs += now.FirstPassRequests - was.FirstPassRequests
		wasted += now.Wasted - was.Wasted
		answered += now.Answered - was.Answered
		for origin, n := range server.RequestsByOrigin() {
			n -= origins[m.Name][origin]
			parts += n
			if origin != m.Zone {
				crossed += n
			}
		}
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	sent := max(float64(all.Sent), 1)
	s.CrossZoneShare = float64(crossed) / max(float64(parts), 1)
	s.AttemptMedian, s.AttemptP99 = ms(took, 50), ms(took, 99)
	s.QueryMedian, s.QueryP99 = ms(all.Latency, 50), ms(all.Latency, 99)
	s.Served, s.Complete, s.WithinObjective = float64(all.Served)/sent, float64(all.Complete)/sent, float64(all.WithinObjective)/sent
	s.Rejected, s.Failed = float64(all.Rejected)/sent, float64(all.Failed+all.Errors)/sent
	s.Requests, s.FirstPassRequests, s.Work = float64(parts)/sent, float64(briefs)/sent, worked/sent
	s.Wasted = float64(wasted) / max(float64(wasted+answered), 1)
	for _, n := range nodes {
		use := n.Usage()
		used += use.CPU
		s.MemoryMB = max(s.MemoryMB, use.Memory)
	}
	s.CPU = used / sent * 1000
	return s
}
