package rolloutsim

import (
	"cmp"
	"math"
	"slices"

	"yokeroute/internal/pcg"
	"yokeroute/logic/rollout"
)

const (
	// misjudgedRate is the share of rollouts beyond which a scenario counts as misjudged: some are by chance, which
	// the plan allows.
	misjudgedRate = 0.1

	// shrunkRate is the share of the misjudged rollouts that a smaller scenario has to keep.
	shrunkRate = 0.8

	maxMisjudged = 8 // that a search returns
)

// Search searches for fleets and versions that are misjudged.
type Search struct {
	Good           bool // search for good versions that are stopped, in place of bad ones that pass
	Samples        int  // scenarios that are drawn
	RunsPerSample  int
	ConfirmingRuns int // of each that looked misjudged, and of each step of making it smaller
	Workers        int
	Seed           uint64
	Progress       func(format string, args ...any)
}

// Misjudged is a scenario with how often it was misjudged.
type Misjudged struct {
	Scenario Scenario       `json:"terms"`
	Runs     int            `json:"runs"`
	Wrong    int            `json:"wrong"`
	Reasons  map[string]int `json:"why,omitempty"`
	MinRight int            `json:"least,omitempty"` // of a kept one: of 20 runs, to be judged right
}

func (m Misjudged) rate() float64 { return float64(m.Wrong) / float64(max(m.Runs, 1)) }

// FindMisjudged draws scenarios and returns those that are misjudged the most often, made as small as they stay so.
// Those that looked misjudged are run again, with other seeds.
func FindMisjudged(s Search) (all []Misjudged) {
	random := pcg.New(s.Seed)
	var suspects []Misjudged
	for n := range s.Samples {
		scenario := randomScenario(random, s.Good)
		scenario.Seed = uint64(n)*1000 + 1
		if m := s.simulate(scenario, s.RunsPerSample); m.Wrong > 0 {
			suspects = append(suspects, m)
		}
	}
	s.Progress("%d of %d drawn were judged wrongly once at least in %d rollouts each", len(suspects), s.Samples,
		s.RunsPerSample)
	for _, suspect := range suspects {
		suspect.Scenario.Seed += 500
		if again := s.simulate(suspect.Scenario, s.ConfirmingRuns); again.rate() > misjudgedRate {
			all = append(all, again)
		}
	}
	slices.SortStableFunc(all, func(a, b Misjudged) int { return cmp.Compare(b.rate(), a.rate()) })
	s.Progress("%d of these in more than a tenth of %d rollouts", len(all), s.ConfirmingRuns)
	all = all[:min(len(all), maxMisjudged)]
	for i := range all {
		all[i] = s.shrink(all[i])
		s.Progress("%s: %d of %d wrong", all[i].Scenario.describe(), all[i].Wrong, all[i].Runs)
	}
	return all
}

// CountRight runs a kept scenario again and returns how many rollouts ended as they should: those of a good version
// with all new, those of a bad one not.
func CountRight(s Scenario, runs, workers int) int {
	summary := RunMany(s, "ours", nil, runs, workers)
	if s.CustomEffect.harmless() {
		return summary.Passed
	}
	return summary.Stopped
}

// simulate runs rollouts of one scenario.
func (s *Search) simulate(scenario Scenario, runs int) Misjudged {
	summary := RunMany(scenario, "ours", nil, runs, s.Workers)
	m := Misjudged{Scenario: scenario, Runs: runs, Wrong: summary.Passed, Reasons: summary.Reasons}
	if s.Good {
		m.Wrong = summary.Stopped + summary.Open
	}
	return m
}

// simplifications each make a scenario smaller.
var simplifications = []func(s *Scenario, e *Effect){
	func(s *Scenario, _ *Effect) { s.FaultRate = 0 },
	func(s *Scenario, _ *Effect) { s.Zones = 1 },
	func(s *Scenario, _ *Effect) { s.Gatherers = 20 },
	func(s *Scenario, _ *Effect) { s.Gatherers = 60 },
	func(s *Scenario, _ *Effect) { s.Interval = 10_000 },
	func(s *Scenario, _ *Effect) { s.QueryRate = 10 },
	func(_ *Scenario, e *Effect) { e.Latency = 0 },
	func(_ *Scenario, e *Effect) { e.Class = 0 },
	func(_ *Scenario, e *Effect) { e.Zone = 0 },
	func(_ *Scenario, e *Effect) { e.After = 0 },
}

// shrink makes a scenario smaller, as long as it stays nearly as often misjudged.
func (s *Search) shrink(m Misjudged) Misjudged {
	for _, simplify := range simplifications {
		smaller, effect := m.Scenario, *m.Scenario.CustomEffect
		simplify(&smaller, &effect)
		unchanged := smaller == m.Scenario && effect == *m.Scenario.CustomEffect
		if unchanged || effect.Zone > smaller.Zones || !s.Good && effect.harmless() {
			continue
		}
		smaller.CustomEffect = &effect
		if again := s.simulate(smaller, s.ConfirmingRuns); again.rate() >= shrunkRate*m.rate() {
			m = again
		}
	}
	return m
}

// drawer draws the values of a scenario.
type drawer struct{ *pcg.Source }

func (d drawer) oneOf(values ...float64) float64 { return values[int(d.Uint32())%len(values)] }

// between draws from a range, to two decimals.
func (d drawer) between(low, high float64) float64 {
	return math.Round((low+(high-low)*d.Float64())*100) / 100
}

// oneIn reports true once in n times.
func (d drawer) oneIn(n uint32) bool { return d.Uint32()%n == 0 }

// randomScenario draws a fleet and a version. A gatherer gets enough queries of each class for the plan's evidence
// within the limit of a stage.
func randomScenario(random *pcg.Source, good bool) Scenario {
	d := drawer{random}
	s := Scenario{
		Gatherers:    int(d.oneOf(20, 30, 60, 100, 200)),
		Zones:        int(d.oneOf(1, 2, 3, 4)),
		QueryRate:    d.oneOf(4, 8, 16),
		Interval:     d.oneOf(2000, 5000, 10_000),
		TimeLimit:    120 * millisPerMinute,
		FaultRate:    d.oneOf(0, 2, 4, 8, 12),
		EffectScale:  1,
		CustomEffect: &Effect{},
	}
	if !good {
		*s.CustomEffect = d.harmfulEffect(Plan(s), s.Zones)
	}
	return s
}

// harmfulEffect draws the effect of a bad version. It harms by at least half as much again as the plan says has to be
// found, from the start or from some time on, in all classes and zones or in one, and may have something better beside
// it.
func (d drawer) harmfulEffect(p rollout.Plan, zones int) Effect {
	e := d.harm(p)
	if e.Connections == 0 && d.oneIn(3) {
		e.Class = 1 + int(d.Uint32()%3)
	}
	if d.oneIn(3) && zones > 1 {
		e.Zone = 1 + int(d.Uint32())%zones
	}
	// Nothing is promised of what is confined to fewer queries than the plan evaluates a class from.
	if e.Class > 0 && e.Zone > 0 && classShares[e.Class-1]/float64(zones) < p.MinClassShare {
		e.Zone = 0
	}
	if d.oneIn(4) {
		e.After = d.oneOf(30_000, 90_000)
	}
	return e
}

// harm draws what a bad version does worse.
func (d drawer) harm(p rollout.Plan) (e Effect) {
	harm := p.Harm * d.between(1.5, 4)
	switch d.Uint32() % 8 {
	case 0:
		e.Loss = harm
	case 1:
		e.Reject = harm
		e.Latency = d.between(0.7, 1)
	case 2:
		e.Fail = harm
	case 3:
		e.Tail = 2 * harm // thrice as much is asked for of the tail
		e.Latency = d.between(0.8, 1)
	case 4:
		e.Attempts = 1 + p.ExtraCost*d.between(1.5, 3)
	case 5:
		e.Connections = 1 + p.ExtraCost*d.between(2, 4)
	case 6:
		e.Latency = d.between(1.4, 2)
	case 7:
		e.ExtraAttempts = 2 * harm // a share of the attempts, not of the shard requests
		e.Attempts = 1 + 2*harm
	}
	return e
}
