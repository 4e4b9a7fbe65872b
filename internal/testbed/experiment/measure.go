package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yokeroute/internal/testbed/standin/shardserver"
)

// Measurement is what a fleet and its gatherers did under a load.
type Measurement struct {
	MaxUtilization    float64 `json:"Greatest"` // the highest utilization of a machine that was not lost
	CrossZoneShare    float64 `json:"Crossing"` // the share of attempts that crossed zones
	AttemptMedian     float64 `json:"Median"`   // milliseconds at the machine
	AttemptP99        float64 `json:"P99"`
	QueryMedian       float64 `json:"LookupMedian"` // milliseconds at the client
	QueryP99          float64 `json:"LookupP99"`
	Served            float64 `json:"Satisfied"` // a share of queries, as the next four
	Complete          float64 `json:"Whole"`
	WithinObjective   float64 `json:"Aim"` // served within the latency objective
	Rejected          float64 `json:"Nacked"`
	Failed            float64 `json:"Aborted"`
	CPU               float64 `json:"CPU"`      // seconds of all gatherers for 1,000 queries
	MemoryMB          float64 `json:"MemoryMB"` // the highest resident memory of a gatherer
	Requests          float64 `json:"Parts"`    // attempts a query
	FirstPassRequests float64 `json:"Briefs"`   // those of first passes among them
	Work              float64 `json:"Work"`     // milliseconds of cores a query
	Wasted            float64 `json:"Wasted"`   // the share of executed shard requests that were not answered
}

// MeasureOptions are the options of Measure.
type MeasureOptions struct {
	Duration  time.Duration
	Objective time.Duration   // the latency objective
	Lost      map[string]bool // machines that are not on the list
}

// Measure plays loads on gatherers of a fleet and measures them meanwhile.
func Measure(
	ctx context.Context, fleet *Fleet, gatherers []*Gatherer, loads []Load, options MeasureOptions,
) Measurement {
	before := takeFleetCounts(fleet)
	usedCPU := 0.0
	for _, g := range gatherers {
		usedCPU -= g.Usage().CPU
	}
	startedAt := time.Now()
	outcome := playAll(ctx, loads, options)
	elapsedMillis := time.Since(startedAt).Seconds() * 1000

	sent := max(float64(outcome.Sent), 1)
	m := Measurement{
		QueryMedian:     quantileMillis(outcome.Latency, 50),
		QueryP99:        quantileMillis(outcome.Latency, 99),
		Served:          float64(outcome.Served) / sent,
		Complete:        float64(outcome.Complete) / sent,
		WithinObjective: float64(outcome.WithinObjective) / sent,
		Rejected:        float64(outcome.Rejected) / sent,
		Failed:          float64(outcome.Failed+outcome.Errors) / sent,
	}
	m.addFleet(fleet, before, options.Lost, elapsedMillis)
	m.Requests /= sent
	m.FirstPassRequests /= sent
	m.Work /= sent
	for _, g := range gatherers {
		usage := g.Usage()
		usedCPU += usage.CPU
		m.MemoryMB = max(m.MemoryMB, usage.Memory)
	}
	m.CPU = usedCPU / sent * 1000
	return m
}

// playAll plays loads side by side and adds their outcomes.
func playAll(ctx context.Context, loads []Load, options MeasureOptions) *Outcome {
	outcomes := make([]*Outcome, len(loads))
	var playing sync.WaitGroup
	for i, load := range loads {
		playing.Go(func() { outcomes[i] = Play(ctx, load, options.Duration, options.Objective) })
	}
	playing.Wait()
	all := NewOutcome()
	for _, o := range outcomes {
		all.Add(o)
	}
	return all
}

// machineCounts are the counts of a machine at one time.
type machineCounts struct {
	shardserver.Counts
	byOrigin map[string]int
}

// takeFleetCounts returns the counts of all machines, and drops the latencies that they have recorded.
func takeFleetCounts(fleet *Fleet) map[string]machineCounts {
	counts := map[string]machineCounts{}
	for name, s := range fleet.Servers {
		counts[name] = machineCounts{Counts: s.Counts(), byOrigin: s.RequestsByOrigin()}
		s.TakeLatencies(newLatencies())
	}
	return counts
}

// addFleet adds what the machines did since their counts were taken. Requests, FirstPassRequests and Work are sums.
func (m *Measurement) addFleet(
	fleet *Fleet, before map[string]machineCounts, lost map[string]bool, elapsedMillis float64,
) {
	latencies := newLatencies()
	requests, firstPass, crossed, wasted, answered := 0, 0, 0, 0, 0
	for _, machine := range fleet.Machines {
		server, then := fleet.Servers[machine.Name], before[machine.Name]
		now := server.Counts()
		server.TakeLatencies(latencies)
		if !lost[machine.Name] {
			utilization := (now.WorkDone - then.WorkDone) / elapsedMillis / float64(machine.Cores)
			m.MaxUtilization = max(m.MaxUtilization, utilization)
		}
		m.Work += now.WorkDone - then.WorkDone
		firstPass += now.FirstPassRequests - then.FirstPassRequests
		wasted += now.Wasted - then.Wasted
		answered += now.Answered - then.Answered
		for origin, n := range server.RequestsByOrigin() {
			n -= then.byOrigin[origin]
			requests += n
			if origin != machine.Zone {
				crossed += n
			}
		}
	}
	m.Requests = float64(requests)
	m.FirstPassRequests = float64(firstPass)
	m.CrossZoneShare = float64(crossed) / max(float64(requests), 1)
	m.AttemptMedian = quantileMillis(latencies, 50)
	m.AttemptP99 = quantileMillis(latencies, 99)
	m.Wasted = float64(wasted) / max(float64(wasted+answered), 1)
}

// quantileMillis returns a percentile of latencies in milliseconds.
func quantileMillis(latencies *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(latencies.ValueAtQuantile(percentile)) / 1000
}
