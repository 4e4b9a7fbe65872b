// Package slowstart decides how much a gatherer may send a shard server that is warming up. Such a server
// bears a share of its capacity that grows with time, and fails if all gatherers together send it more than
// a multiple of that for a while.
//
// The rule has to be kept without communication between gatherers. Each one earns credit for a warming
// server by the attempts that it sees warm servers answer: over all gatherers, that is a part of what the
// rule allows, however uneven their traffic is. The cost of a round follows the number of warming servers,
// not of all.
//
// Servers have a dense index. Times are milliseconds.
package slowstart

import (
	"math"
	"slices"

	"yokeroute/gather"
)

const (
	safetyShare = 0.6 // of what the rule allows, sent to warming servers where warm ones are fully loaded
	maxCredit   = 2.0 // requests, so that many gatherers cannot send a burst at once
	idleDivisor = 4   // of the rule for a server of one core, which is earned where no attempt is answered
)

// limits are the settings of the rule.
type limits struct {
	warmupTime       float64
	initialShare     float64 // of its capacity that a server bears at its start
	overloadWindow   float64 // 0 where there is no such rule
	overloadMultiple float64
	gatherers        float64
	gathererIndex    float64
}

// Table holds the servers' start times and credits.
type Table struct {
	limits       limits
	startedAt    []float64 // 0 for long ago
	credit       []float64 // requests that a warming server may still be sent
	warming      []int
	runningCount float64 // servers, as of FindWarming
	warmCount    float64 // running servers that are warm, as of the last Earn
}

// Configure takes the settings over. FindWarming has to follow unless the table is empty.
func (t *Table) Configure(settings *gather.Settings) {
	t.limits = limits{
		warmupTime:       settings.WarmupTime,
		initialShare:     settings.InitialCapacityShare,
		overloadWindow:   settings.OverloadWindow,
		overloadMultiple: settings.OverloadMultiple,
		gatherers:        max(float64(settings.Gatherers), 1),
		gathererIndex:    float64(settings.GathererIndex),
	}
}

// AddServer adds a server behind the last one.
func (t *Table) AddServer() {
	t.startedAt = append(t.startedAt, 0)
	t.credit = append(t.credit, 0)
}

// StartedAt is when a server's process started, 0 for long ago.
func (t *Table) StartedAt(server int) float64 { return t.startedAt[server] }

// Start notes that a new process of a server has started. The gatherers' first credits differ, so that they
// do not all send their first request at once.
func (t *Table) Start(server int, id uint32, startedAt float64) {
	t.startedAt[server] = startedAt
	offset := math.Mod(t.limits.gathererIndex+float64(id%1024), t.limits.gatherers)
	t.credit[server] = offset / t.limits.gatherers
}

// FindWarming finds the servers that are warming up. It has to be called after a change of the endpoint
// list or of the settings; running reports whether a server takes requests.
func (t *Table) FindWarming(now float64, running func(server int) bool) {
	t.runningCount = 0
	t.warming = t.warming[:0]
	for server := range t.startedAt {
		if running(server) {
			t.runningCount++
		}
		if t.Share(server, now) < 1 {
			t.warming = append(t.warming, server)
		}
	}
}

// Share is the least share of its capacity that a server may have reached, 1 for a warm one.
func (t *Table) Share(server int, now float64) float64 {
	age := now - t.startedAt[server]
	if t.startedAt[server] == 0 || age >= t.limits.warmupTime || t.limits.overloadWindow == 0 {
		return 1
	}
	return t.limits.initialShare + (1-t.limits.initialShare)*max(age, 0)/t.limits.warmupTime
}

// Round is what a gatherer observed since the last round.
type Round struct {
	Now           float64
	Elapsed       float64
	MedianLatency float64 // of an attempt
	WarmSuccesses float64 // attempts at warm servers
}

// Earn adds to the credit of the running servers that are warming up, by what the average warm server
// answered. Where nothing is warm it adds a part of what the rule allows a server of one core, divided
// among the gatherers.
func (t *Table) Earn(in Round, running func(server int) bool) {
	idleCredit := in.Elapsed / max(in.MedianLatency, 1) / idleDivisor / t.limits.gatherers
	perServer := max(safetyShare*in.WarmSuccesses/max(t.warmCount, 1), idleCredit)
	warmCount := t.runningCount
	t.warming = slices.DeleteFunc(t.warming, func(server int) bool {
		share := t.Share(server, in.Now)
		if share < 1 && running(server) {
			warmCount--
			t.credit[server] = min(t.credit[server]+t.limits.overloadMultiple*share*perServer, maxCredit)
		}
		return share == 1
	})
	t.warmCount = warmCount
}

// MaySend reports whether a server may be sent a request now.
func (t *Table) MaySend(server int, now float64) bool {
	return t.credit[server] >= 1 || t.Share(server, now) == 1
}

// Spend takes a request's work, in requests of mean cost, off a server's credit.
func (t *Table) Spend(server int, work float64) { t.credit[server] -= work }
