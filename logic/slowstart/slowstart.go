// Package slowstart decides how much each gatherer may send a shard server that has started lately: a cold
// server bears a share of its capacity that grows, and falls over where all gatherers together send it more
// than a multiple of that.
//
// It has to keep the rule on cold servers without a word from other gatherers: each earns credit by its own
// part of what warm servers are seen to answer. Its cost follows the servers that are cold, not all that
// there are.
package slowstart

import (
	"math"
	"slices"

	"yokeroute/gather"
)

const (
	push  = 0.6 // part of what the rule allows that cold servers are sent where warm ones are full
	hoard = 2.0 // most parts that a cold server may be owed, against a burst of many gatherers
)

// limits are the rule's, as the terms tell them.
type limits struct {
	time, share            float64 // for which a server is cold, and its share of its capacity at the start
	fallTime, fallMultiple float64
	gatherers, own         float64
}

// Table is what is known of all servers, by a dense index.
type Table struct {
	limits  limits
	started []float64
	credit  []float64 // parts that a cold server may still be sent
	cold    []int
	running float64
	warm    float64 // servers at the last Earn
}

// Take takes the terms over, at the start or in place of others; Muster has to follow.
func (t *Table) Take(settings *gather.Settings) {
	t.limits = limits{settings.WarmupTime, settings.InitialCapacityShare, settings.OverloadWindow,
		settings.OverloadMultiple, float64(max(settings.Gatherers, 1)), float64(settings.GathererIndex)}
}

// Grow adds a server behind the last one.
func (t *Table) Grow() { t.started, t.credit = append(t.started, 0), append(t.credit, 0) }

// Started is when a server's process started, 0 for long ago.
func (t *Table) Started(of int) float64 { return t.started[of] }

// Start notes that another process of a server has started. Its first credit is spread over the gatherers,
// against all sending their first part at once.
func (t *Table) Start(of int, id uint32, at float64) {
	t.started[of] = at
	t.credit[of] = math.Mod(t.limits.own+float64(id%1024), t.limits.gatherers) / t.limits.gatherers
}

// Muster finds the servers that are cold, after a change of the list or of the terms; runs reports whether
// one takes parts.
func (t *Table) Muster(now float64, runs func(of int) bool) {
	t.running, t.cold = 0, t.cold[:0]
	for of := range t.started {
		if runs(of) {
			t.running++
		}
		if t.Share(of, now) < 1 {
			t.cold = append(t.cold, of)
		}
	}
}

// Share is the least share of its capacity that a server can have by now, 1 for one that is warm.
func (t *Table) Share(of int, now float64) float64 {
	age := now - t.started[of]
	if t.started[of] == 0 || age >= t.limits.time || t.limits.fallTime == 0 {
		return 1
	}
	return t.limits.share + (1-t.limits.share)*max(age, 0)/t.limits.time
}

// Earn lets the cold servers that run be sent their share of what a warm one is seen to answer: over all
// gatherers, however uneven, a part of the rule. Where nothing is warm, a quarter of it for one core is
// shared out evenly. Carried are the parts that warm servers answered since the last time, elapsed the time
// since, normal a part's usual latency.
func (t *Table) Earn(now, elapsed, normal, carried float64, runs func(of int) bool) {
	least := elapsed / max(normal, 1) / 4 / t.limits.gatherers
	seen, warm := max(push*carried/max(t.warm, 1), least), t.running
	t.cold = slices.DeleteFunc(t.cold, func(of int) bool {
		share := t.Share(of, now)
		if share < 1 && runs(of) {
			warm--
			t.credit[of] = min(t.credit[of]+t.limits.fallMultiple*share*seen, hoard)
		}
		return share == 1
	})
	t.warm = warm
}

// May reports whether a server may be sent a part now.
func (t *Table) May(of int, now float64) bool { return t.credit[of] >= 1 || t.Share(of, now) == 1 }

// Spend takes a part's work, in parts, off a server's credit: a cold server bears work, not parts.
func (t *Table) Spend(of int, work float64) { t.credit[of] -= work }
