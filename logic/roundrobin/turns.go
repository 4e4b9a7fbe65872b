// Package turns decides whose turn it is among a group's replicas where an operator has handed weights
// down; the module goes by plain turns elsewhere. Why and how: docs/design/placement.md.
package roundrobin

import (
	"math"
	"slices"

	"yokeroute/gather"
	"yokeroute/internal/pcg"
)

// eps is for shares that come rounded.
const eps = 5e-5

// Weighted are the turns of all groups. Replicas go by a dense index; one without shares goes by plain turns.
type Weighted struct {
	Weights [][]gather.Weight // in force, by group

	holders     [][]int
	share, next [][]float64 // of turns, one on average; when a replica's next turn begins,
	turned      []float64   // counted in turns that the group has had
}

// Lay lays the weights in force on the replicas that there are, whose ids are given by index. One that
// they do not name gets the mean of the others; a group of which they name none, or all at nothing, goes
// by plain turns.
func (t *Weighted) Lay(holders [][]int, ids []uint32, chance *pcg.Source) {
	t.holders, t.turned = holders, make([]float64, len(holders))
	t.share, t.next = make([][]float64, len(holders)), make([][]float64, len(holders))
	for base := range min(len(t.Weights), len(holders)) {
		n := len(holders[base])
		share, next, named, sum := make([]float64, n), make([]float64, n), 0.0, 0.0
		for i, shd := range holders[base] {
			of := func(w gather.Weight) bool { return w.Server == ids[shd] }
			if at := slices.IndexFunc(t.Weights[base], of); at < 0 {
				share[i] = -1
			} else {
				share[i], named, sum = t.Weights[base][at].Share, named+1, sum+t.Weights[base][at].Share
			}
		}
		if sum <= 0 {
			continue
		}
		for i, w := range share {
			if share[i] = w * named / sum; w < 0 {
				share[i] = 1
			}
			next[i] = chance.Float64() / share[i] // against all gatherers starting at one replica
		}
		t.share[base], t.next[base] = share, next
	}
}

// Due gives the replica whose weighted turn comes first, or -1: start-time fair queueing, in which one
// that was passed by makes up for nothing by a burst. It passes by whom plain turns pass by, those that
// are not free; crowded is one that holds more of ours for its share than the emptiest would with one
// more, of so many out. One whose share is nothing has a turn where no other is free: a plan is no reason
// to give a part up.
func (t *Weighted) Due(base int, out func(shd int) int, free func(shd int) bool) int {
	if t.share[base] == nil {
		return -1
	}
	share, best, idle, first, emptiest := t.share[base], -1, -1, math.Inf(1), math.Inf(1)
	for i, shd := range t.holders[base] {
		if share[i] > 0 && free(shd) {
			emptiest = min(emptiest, float64(out(shd)+1)/share[i])
		}
	}
	for i, shd := range t.holders[base] {
		switch from := max(t.next[base][i], t.turned[base]); {
		case !free(shd):
		case share[i] == 0:
			if idle < 0 || out(shd) < out(idle) {
				idle = shd
			}
		case from < first && float64(out(shd)) <= emptiest*share[i]+eps:
			best, first = shd, from
		}
	}
	if best < 0 {
		return idle
	}
	return best
}

// Book takes a weighted turn: the replica's next one begins once its share of turns has gone by.
func (t *Weighted) Book(base, shd int) {
	if i := slices.Index(t.holders[base], shd); t.share[base] != nil && t.share[base][i] > 0 {
		t.turned[base] = max(t.turned[base], t.next[base][i])
		t.next[base][i] = t.turned[base] + 1/t.share[base][i]
	}
}
