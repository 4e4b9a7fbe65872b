package twopass

import (
	"slices"
)

const (
	sampleSize  = 256 // latencies kept, the newest
	resortShare = 8   // one over the share of the sample that has to be new before it is sorted again
)

// latencySample is the latencies of the newest attempts and, sorted, of those that were the newest a while
// ago.
type latencySample struct {
	ring           []float64
	next           int
	sorted         []float64
	addedSinceSort int
}

func (s *latencySample) add(latency float64) {
	if len(s.ring) < sampleSize {
		s.ring = append(s.ring, latency)
	} else {
		s.ring[s.next] = latency
		s.next = (s.next + 1) % sampleSize
	}
	s.addedSinceSort++
}

// quantile is a quantile of the sample, or the default where it is empty.
func (s *latencySample) quantile(q, defaultLatency float64) float64 {
	if len(s.ring) == 0 {
		return defaultLatency
	}
	if s.addedSinceSort*resortShare >= len(s.sorted) {
		s.sorted = append(s.sorted[:0], s.ring...)
		slices.Sort(s.sorted)
		s.addedSinceSort = 0
	}
	return s.sorted[min(int(q*float64(len(s.sorted))), len(s.sorted)-1)]
}

// meanLargest is how long the slowest of n attempts takes on average: the mean of the largest of n draws.
func (s *latencySample) meanLargest(n, defaultLatency float64) float64 {
	return s.quantile(n/(n+1), defaultLatency)
}
