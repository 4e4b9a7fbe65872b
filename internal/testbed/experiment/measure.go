package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yokeroute/internal/testbed/standin/shards"
)

// Sample is what a fleet and its gatherers came to under a load.
type Sample struct {
	Greatest     float64 // greatest utilisation among machines that are there
	Crossing     float64 // share of part calls that crossed halls
	Median, P99  float64 // of part calls, milliseconds at the machine
	LookupMedian float64 // milliseconds at the client
	LookupP99    float64
	Satisfied    float64 // shares of lookups
	Whole, Aim   float64 // answered whole; satisfied within the soft deadline
	Nacked       float64
	Aborted      float64
	CPU          float64 // seconds of all gatherers for 1,000 lookups
	MemoryMB     float64 // the greatest resident memory of a gatherer
	Parts        float64 // part calls a lookup,
	Briefs       float64 // of these in first passes
	Work         float64 // milliseconds of cores a lookup
	Wasted       float64 // share of parts worked on for nobody
}

// Measure plays loads on gatherers of a fleet and takes what comes of it; machines in gone don't count as used.
func Measure(ctx context.Context, fleet *Fleet, nodes []*Node, loads []Load, length, aim time.Duration, gone map[string]bool) (s Sample) {
	before, origins := map[string]shards.Counts{}, map[string]map[string]int{}
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
