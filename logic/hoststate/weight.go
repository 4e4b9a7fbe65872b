package hoststate

import (
	"slices"

	"yokeroute/gather"
)

// Constants of weights. Times are in milliseconds.
const (
	baseWeight       = 100.0  // weight of a warm host with the median latency
	maxWeightStep    = 0.2    // maximum relative change of a weight in one step
	minWeightChange  = 0.1    // relative change from which a new weight is published
	weightInterval   = 1000.0 // time between two updates of the weights
	minLatencyFactor = 0.25   // weight of the slowest hosts, relative to one with the median latency
	// warmupMargin is the fraction of its safe weight that a host gets while warming up. The decision module
	// uses the same.
	warmupMargin     = 0.6
	latencySmoothing = 0.3 // weight of a new latency in the moving average
)

// updateLatencies updates the moving average of each host's latency from the trusted observers.
func (d *Decider) updateLatencies() {
	observers := d.trustedObservers()
	for _, name := range d.names {
		h := d.hosts[name]
		sum, n := 0.0, 0.0
		for _, observer := range observers {
			if o, seen := d.observations[observer][name]; seen && o.requests() >= minRequests && o.Latency > 0 {
				sum, n = sum+o.expectedLatency(), n+1
			}
		}
		if n == 0 {
			continue
		}
		if h.latency == 0 {
			h.latency = sum / n
		}
		h.latency += latencySmoothing * (sum/n - h.latency)
	}
}

// medianLatencies returns the median latency of each group.
func (d *Decider) medianLatencies() map[int]float64 {
	byGroup := map[int][]float64{}
	for _, name := range d.names {
		if h := d.hosts[name]; h.latency > 0 && h.State == gather.Running {
			for _, g := range h.Groups {
				byGroup[g] = append(byGroup[g], h.latency)
			}
		}
	}
	medians := make(map[int]float64, len(byGroup))
	for g, latencies := range byGroup {
		slices.Sort(latencies)
		medians[g] = latencies[(len(latencies)-1)/2]
	}
	return medians
}

// updateWeight moves the weight of a host one step towards its target, which follows from latency, warm-up
// and planned weight.
func (d *Decider) updateWeight(h *host, medians map[int]float64, now float64) {
	target := baseWeight
	if h.PlannedWeight > 0 {
		target *= h.PlannedWeight
	}
	if h.latency > 0 {
		factor := 1.0
		for _, g := range h.Groups {
			if medians[g] > 0 {
				factor = min(factor, medians[g]/h.latency)
			}
		}
		target *= max(factor, minLatencyFactor)
	}
	// A host that is warming up gets its warm-up share at once, without steps, since a step could exceed it.
	share := d.warmShare(h, now)
	switch {
	case share < 1:
		h.weight = target * share * warmupMargin
	case h.weight == 0:
		h.weight = target
	default:
		h.weight = min(max(target, h.weight*(1-maxWeightStep)), max(h.weight*(1+maxWeightStep), 1.5))
	}
	h.weight = max(h.weight, 1)
}

// warmShare returns the lowest share of its full capacity that a host can have by now.
func (d *Decider) warmShare(h *host, now float64) float64 {
	age := now - h.StartedAt
	if h.StartedAt == 0 || d.warmup.Duration == 0 || age >= d.warmup.Duration {
		return 1
	}
	return d.warmup.InitialShare + (1-d.warmup.InitialShare)*max(age, 0)/d.warmup.Duration
}
