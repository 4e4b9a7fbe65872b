// Package roundrobin decides which replica of a set comes next where an operator has set weights: weighted
// round robin by start-time fair queueing. A set without weights is left to its caller.
// docs/design/placement.md says where the weights come from.
package roundrobin

import (
	"math"
	"slices"

	"yokeroute/gather"
	"yokeroute/internal/pcg"
)

// shareTolerance is by how much a share may miss: weights come rounded.
const shareTolerance = 5e-5

// Weighted holds the state of all replica sets. Servers have a dense index.
type Weighted struct {
	weights  [][]gather.Weight // by replica set
	replicas [][]int
	sets     []set
}

// set is the state of one replica set.
type set struct {
	shares      []float64 // of the replicas, 1 on average; nil where the set has no weights
	nextStarts  []float64 // when each one's next slot starts, in slots that the set has had
	virtualTime float64   // virtual time of the set
}

// SetWeights replaces the weights. SetReplicas has to follow.
func (w *Weighted) SetWeights(weights [][]gather.Weight) { w.weights = weights }

// SetReplicas applies the weights to the replicas that there are. A replica that the weights do not name
// gets the mean of the others; a set of which they name none, or all with nothing, is left to the caller.
// Each replica starts at a random time, so that not all gatherers start at the same one.
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

// relativeShares are the replicas' shares as multiples of the mean, nil where the weights say nothing of
// them.
func relativeShares(weights []gather.Weight, replicas []int, id func(server int) uint32) []float64 {
	const unnamed = -1
	shares := make([]float64, len(replicas))
	named, sum := 0.0, 0.0
	for i, server := range replicas {
		index := slices.IndexFunc(weights, func(w gather.Weight) bool { return w.Server == id(server) })
		if index < 0 {
			shares[i] = unnamed
			continue
		}
		shares[i] = weights[index].Share
		named++
		sum += shares[i]
	}
	if sum <= 0 {
		return nil
	}
	for i, share := range shares {
		shares[i] = share * named / sum
		if share < 0 {
			shares[i] = 1
		}
	}
	return shares
}

// Next is the acceptable replica of a set whose slot starts first, or -1 where the set has no weights or no
// acceptable replica. It passes over a replica with more attempts in flight for its share than the emptiest
// one would have with one more. A replica that was passed over does not make up for it later. One whose
// share is 0 comes next only where no other is acceptable: weights are no reason to give a request up.
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

// fewestInFlight is the least number of attempts in flight for its share that a replica would have with one
// more.
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

// RecordChoice notes that a replica was sent a request: its next slot starts when its share of the set's
// slots has passed.
func (w *Weighted) RecordChoice(set, server int) {
	s := &w.sets[set]
	i := slices.Index(w.replicas[set], server)
	if s.shares == nil || s.shares[i] <= 0 {
		return
	}
	s.virtualTime = max(s.virtualTime, s.nextStarts[i])
	s.nextStarts[i] = s.virtualTime + 1/s.shares[i]
}
