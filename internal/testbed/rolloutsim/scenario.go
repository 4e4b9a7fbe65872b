// Package rolloutsim runs rollouts in virtual time, with the real decisions over a model of a fleet: thousands of
// seeded ones, with faults of the fleet's own and with versions that do worse in one way each.
//
// It models what gatherers report, not how it comes about. Counts are drawn, a zone's servers are one queue that slows
// all who send there, and what a version does to that queue falls on old and new alike. Its figures are about the
// decisions, not about any gatherer's latency. Traffic is skewed (some gatherers get several times the mean),
// gatherers differ for good, and links and reports fail by themselves.
package rolloutsim

import "fmt"

// Scenario is a fleet and a rollout over it. Times are milliseconds. Its keys stand in files of kept scenarios.
type Scenario struct {
	Gatherers    int     `json:"Gatherers"`
	Zones        int     `json:"Zones"`
	QueryRate    float64 `json:"Rate"`     // queries a second, of a gatherer on average
	Interval     float64 `json:"Interval"` // between observations
	TimeLimit    float64 `json:"Length"`   // after which an unfinished rollout is abandoned
	FaultRate    float64 `json:"Troubles"` // of the fleet's own faults, in ten minutes
	Version      string  `json:"Kind"`     // of the new: good, or one of HarmfulVersions
	EffectScale  float64 `json:"Size"`     // of what is bad of it, 1 for the table's
	Seed         uint64  `json:"Seed"`
	CustomEffect *Effect `json:"Own"` // in place of Version's
}

// describe names a fleet and a version.
func (s Scenario) describe() string {
	return fmt.Sprintf("%d gatherers in %d zones, %g lookups a second each, a look each %g s, %g troubles in 10 min, %+v",
		s.Gatherers, s.Zones, s.QueryRate, s.Interval/millisPerSecond, s.FaultRate, *s.CustomEffect)
}

// withDefaults replaces a zero scale.
func (s Scenario) withDefaults() Scenario {
	if s.EffectScale == 0 {
		s.EffectScale = 1
	}
	return s
}

const (
	millisPerSecond = 1000
	millisPerMinute = 60_000
)

// Effect is what a version does, compared with the old one.
type Effect struct {
	Loss          float64 `json:"loss,omitempty"`        // share of the queries, added
	Reject        float64 `json:"nack,omitempty"`        // the same
	Fail          float64 `json:"abort,omitempty"`       // the same
	Latency       float64 `json:"latency,omitempty"`     // factor
	Tail          float64 `json:"tail,omitempty"`        // share of queries that take four times as long
	ExtraAttempts float64 `json:"further,omitempty"`     // share of the attempts, added
	Attempts      float64 `json:"calls,omitempty"`       // factor
	Connections   float64 `json:"connections,omitempty"` // factor
	MemoryGrowth  float64 `json:"leak,omitempty"`        // share of the memory, a minute
	CrashRate     float64 `json:"dies,omitempty"`        // of a process, a minute
	StartFailures float64 `json:"never-up,omitempty"`    // share of the starts
	Class         int     `json:"index,omitempty"`       // the only one it affects, from 1; 0 for all
	Zone          int     `json:"zone,omitempty"`        // the same
	After         float64 `json:"after,omitempty"`       // milliseconds of uptime from which
	Until         float64 `json:"until,omitempty"`       // and up to which, 0 for no bound
}

// harmless reports whether nothing is worse than with the old version.
func (e Effect) harmless() bool {
	added := e.Loss + e.Reject + e.Fail + e.Tail + e.ExtraAttempts + e.MemoryGrowth + e.CrashRate + e.StartFailures
	return added == 0 && e.Attempts <= 1 && e.Connections <= 1 && e.Latency <= 1
}

// scale multiplies what is added by an effect. Factors stay.
func (e *Effect) scale(by float64) {
	e.Loss *= by
	e.Reject *= by
	e.Fail *= by
	e.Tail *= by
	e.ExtraAttempts *= by
	e.MemoryGrowth *= by
	e.CrashRate *= by
}

// HarmfulVersions are the versions that do worse, one way each, at sizes that an operator would want found.
var HarmfulVersions = map[string]Effect{
	"loses":        {Loss: 0.08},
	"aborts":       {Fail: 0.08},
	"one-index":    {Loss: 0.15, Class: 3},
	"one-zone":     {Loss: 0.10, Zone: 2},
	"slow":         {Latency: 1.6},
	"tail":         {Tail: 0.10, Latency: 0.9},
	"refuses":      {Reject: 0.08, Latency: 0.85},
	"later":        {Loss: 0.10, After: 180_000},
	"only-cold":    {Loss: 0.75, Until: 15_000},
	"storm":        {ExtraAttempts: 0.08, Attempts: 1.08},
	"harms-all":    {Attempts: 1.5},
	"connections":  {Connections: 2},
	"leaks":        {MemoryGrowth: 0.25},
	"dies":         {CrashRate: 1.5},
	"never-up":     {StartFailures: 1},
	"half-the-ups": {StartFailures: 0.6},
}

// The classes of the model, one of them with a twentieth of the queries.
var (
	classNames       = []string{"find", "search", "claim"}
	classShares      = []float64{0.60, 0.35, 0.05}
	baseLoss         = []float64{0.02, 0.03, 0.015}
	requestsPerQuery = []float64{5, 10, 1.5}
)
