// Package slowstart limits the requests that a gatherer sends to a shard server that is warming up. Such a
// server has a share of its capacity that grows with time, and fails if all gatherers together send it more
// than a multiple of that for some time.
//
// This limit, called the rule here, has to be kept without communication between gatherers. Each gatherer
// earns credit for a warming server from the attempts that warm servers answer to it. The sum over all
// gatherers is a part of the load that the rule allows, however uneven their traffic is. The cost of a round
// grows with the number of warming servers, not with the number of all servers.
//
// Servers have a dense index. Times are milliseconds.
package slowstart

import (
	"math"
	"slices"

	"yokeroute/gather"
)

const (
	// safetyShare is the share of the load allowed by the rule that warming servers are sent when warm ones
	// are fully loaded.
	safetyShare = 0.6
	// maxCredit limits the credit of a server, in requests, so that many gatherers cannot send it a burst at
	// once.
	maxCredit = 2.0
	// idleDivisor divides the load that a server of one core can process. The result is the credit earned
	// while no attempts are answered.
	idleDivisor = 4
)

// limits holds the settings of the rule.
type limits struct {
	warmupTime       float64
	initialShare     float64 // share of its capacity that a server has at its start
	overloadWindow   float64 // 0 if the rule does not apply
	overloadMultiple float64
	gatherers        float64
	gathererIndex    float64
}

// Table holds the servers' start times and credits.
type Table struct {
	limits       limits
	startedAt    []float64 // start time of each server's process, 0 if that is long ago
	credit       []float64 // number of requests that a warming server may still be sent
	warming      []int
	runningCount float64 // number of running servers as of FindWarming
	warmCount    float64 // number of running servers that are warm, as of the last Earn
}

// Configure applies the settings. The caller has to call FindWarming afterwards, unless the table is empty.
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

// AddServer adds a server with the next index.
func (t *Table) AddServer() {
	t.startedAt = append(t.startedAt, 0)
	t.credit = append(t.credit, 0)
}

// StartedAt returns the start time of a server's process, 0 if that is long ago.
func (t *Table) StartedAt(server int) float64 { return t.startedAt[server] }

// Start records that a new process of a server has started. The initial credits of the gatherers differ, so
// that they do not all send their first request at once.
func (t *Table) Start(server int, id uint32, startedAt float64) {
	t.startedAt[server] = startedAt
	offset := math.Mod(t.limits.gathererIndex+float64(id%1024), t.limits.gatherers)
	t.credit[server] = offset / t.limits.gatherers
}

// FindWarming finds the servers that are warming up. It has to be called after each change of the endpoint
// list or of the settings. The function running reports whether a server accepts requests.
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

// Share returns the least share of its capacity that a server can have reached, 1 for a warm server.
func (t *Table) Share(server int, now float64) float64 {
	age := now - t.startedAt[server]
	if t.startedAt[server] == 0 || age >= t.limits.warmupTime || t.limits.overloadWindow == 0 {
		return 1
	}
	return t.limits.initialShare + (1-t.limits.initialShare)*max(age, 0)/t.limits.warmupTime
}

// Round holds what a gatherer observed since the last round.
type Round struct {
	Now           float64
	Elapsed       float64
	MedianLatency float64 // median latency of an attempt
	WarmSuccesses float64 // number of attempts that succeeded at warm servers
}

// Earn adds credit to the running servers that are warming up, in proportion to the attempts that the average
// warm server has answered. The least credit, which applies if no attempts are answered, is a part of what
// the rule allows a server of one core, divided among the gatherers.
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

// Spend subtracts the work of a request, in requests of mean cost, from a server's credit.
func (t *Table) Spend(server int, work float64) { t.credit[server] -= work }
