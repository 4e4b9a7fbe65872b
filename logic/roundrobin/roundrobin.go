// Package roundrobin chooses the next replica of a set for which an operator has set weights, by weighted
// round robin with start-time fair queueing. The caller chooses the replicas of sets without weights.
// docs/design/placement.md says where the weights come from.
package roundrobin

import (
	"math"
	"slices"

	"yokeroute/gather"
	"yokeroute/internal/pcg"
)

// shareTolerance is the tolerance for comparing shares, since weights are rounded.
const shareTolerance = 5e-5

// Weighted holds the state of all replica sets. Servers have a dense index.
type Weighted struct {
	weights  [][]gather.Weight // by replica set
	replicas [][]int
	sets     []set
}

// set is the state of one replica set.
type set struct {
	shares      []float64 // shares of the replicas, 1 on average; nil if the set has no weights
	nextStarts  []float64 // virtual time at which the next slot of each replica starts
	virtualTime float64   // virtual time of the set, in slots that it has had
}

// SetWeights replaces the weights. The caller has to call SetReplicas afterwards.
func (w *Weighted) SetWeights(weights [][]gather.Weight) { w.weights = weights }

// SetReplicas applies the weights to the current replicas. A replica without a weight gets the mean of the
// others. A set without weights, or with no weight above 0, is left to the caller. The first slot of each
// replica starts at a random virtual time, so that gatherers do not all start at the same replica.
func (w *Weighted) SetReplicas(replicas [][]int, id func(server int) uint32, random *pcg.Source) {
	w.replicas = replicas
	w.sets = make([]set, len(replicas))
	for i := range min(len(w.weights), len(replicas)) {
		shares := relativeShares(w.weights[i], replicas[i], id)
		if shares == nil {
			continue
		}
		starts := make([]float64, len(shares))
		for r, share := range shares {
			starts[r] = random.Float64() / share
		}
		w.sets[i] = set{shares: shares, nextStarts: starts}
	}
}

// relativeShares returns the replicas' shares as multiples of the mean, or nil if no replica has a weight
// above 0.
func relativeShares(weights []gather.Weight, replicas []int, id func(server int) uint32) []float64 {
	const noWeight = -1
	shares := make([]float64, len(replicas))
	weightedCount, sum := 0.0, 0.0
	for i, server := range replicas {
		index := slices.IndexFunc(weights, func(w gather.Weight) bool { return w.Server == id(server) })
		if index < 0 {
			shares[i] = noWeight
			continue
		}
		shares[i] = weights[index].Share
		weightedCount++
		sum += shares[i]
	}
	if sum <= 0 {
		return nil
	}
	for i, share := range shares {
		shares[i] = share * weightedCount / sum
		if share < 0 {
			shares[i] = 1
		}
	}
	return shares
}

// Next returns the acceptable replica of a set whose slot starts first, or -1 if the set has no weights or no
// acceptable replica. It skips a replica that has more attempts in flight in proportion to its share than the
// least busy one would have with one more. A replica that was skipped does not catch up later. A replica
// whose share is 0 is returned only if no other is acceptable, so that weights never cause a request to be
// given up.
func (w *Weighted) Next(set int, inFlight func(server int) int, acceptable func(server int) bool) int {
	s := &w.sets[set]
	if s.shares == nil {
		return -1
	}
	fewest := w.fewestInFlight(set, inFlight, acceptable)
	next, zeroShare := -1, -1
	earliest := math.Inf(1)
	for i, server := range w.replicas[set] {
		if !acceptable(server) {
			continue
		}
		if s.shares[i] == 0 {
			if zeroShare < 0 || inFlight(server) < inFlight(zeroShare) {
				zeroShare = server
			}
			continue
		}
		start := max(s.nextStarts[i], s.virtualTime)
		if start < earliest && float64(inFlight(server)) <= fewest*s.shares[i]+shareTolerance {
			next = server
			earliest = start
		}
	}
	if next < 0 {
		return zeroShare
	}
	return next
}

// fewestInFlight returns the lowest number of attempts in flight in proportion to its share that an
// acceptable replica would have with one more.
func (w *Weighted) fewestInFlight(
	set int, inFlight func(server int) int, acceptable func(server int) bool,
) float64 {
	fewest := math.Inf(1)
	for i, server := range w.replicas[set] {
		if share := w.sets[set].shares[i]; share > 0 && acceptable(server) {
			fewest = min(fewest, float64(inFlight(server)+1)/share)
		}
	}
	return fewest
}

// RecordChoice records that a replica was sent a request. The replica's next slot starts after the inverse of
// its share in virtual time.
func (w *Weighted) RecordChoice(set, server int) {
	s := &w.sets[set]
	i := slices.Index(w.replicas[set], server)
	if s.shares == nil || s.shares[i] <= 0 {
		return
	}
	s.virtualTime = max(s.virtualTime, s.nextStarts[i])
	s.nextStarts[i] = s.virtualTime + 1/s.shares[i]
}
