package twopass

import (
	"slices"
)

const (
	sampleSize = 256 // number of newest latencies kept
	// resortShare is the reciprocal of the share of the sample that has to be new before it is sorted again.
	resortShare = 8
)

// latencySample holds the latencies of the newest attempts in ring, and a slightly older copy of them that is
// sorted.
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

// quantile returns the quantile q of the sample, or defaultLatency if the sample is empty.
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

// meanLargest returns the mean latency of the slowest of n attempts, approximated by the quantile n/(n+1).
func (s *latencySample) meanLargest(n, defaultLatency float64) float64 {
	return s.quantile(n/(n+1), defaultLatency)
}
