package rolloutsim

import (
	"fmt"
	"sort"

	"yokeroute/internal/parallel"
	"yokeroute/logic/rollout"
)

// NewStrategy makes what decides over a rollout; nil stands for the decisions in service.
type NewStrategy func(p rollout.Plan) rollout.Strategy

// Outcome is what became of one rollout.
type Outcome struct {
	Version       string
	Seed          uint64
	Phase         rollout.Phase // not a final one where its time ran out
	Stage         int           // that it had reached
	Reason        string
	Time          float64 // milliseconds until it ended
	Harmed        float64 // queries that came out worse by the new version's doing
	FoundAtShare  float64 // share of the gatherers that were new when a rollback began, 1 where none did
	MaxInProgress int     // steps at once
}

// Plan is the rollout that is run: one gatherer, some, a quarter, half, all.
func Plan(s Scenario) rollout.Plan {
	p := rollout.Plan{
		Name: s.Version, Classes: classNames, Seed: s.Seed,
		MaxUnavailable:        max(s.Gatherers/20, 1),
		MaxUnavailablePerZone: max(s.Gatherers/40, 1),
		Stages: []rollout.Stage{
			{Name: "one", Count: 1, MinObservation: 60_000},
			{Name: "some", Share: 0.04, MinObservation: 60_000},
			{Name: "quarter", Share: 0.25, MinObservation: 120_000},
			{Name: "half", Share: 0.5, MinObservation: 120_000},
			{Name: "all", Share: 1, MinObservation: 60_000},
		},
	}
	if s.Gatherers < 50 { // four hundredths of them are the one again
		p.Stages[1].Share = 0.1
	}
	for i := range s.Gatherers {
		p.Gatherers = append(p.Gatherers, rollout.Gatherer{
			Name: fmt.Sprint("g", i+1),
			Zone: fmt.Sprint("zone", i%s.Zones+1),
		})
	}
	return p.Defaults()
}

// Run runs one rollout.
func Run(s Scenario, newStrategy NewStrategy) Outcome {
	s = s.withDefaults()
	f := newFleet(s)
	p := Plan(s)
	var strategy rollout.Strategy
	if newStrategy != nil {
		strategy = newStrategy(p)
	} else {
		strategy = rollout.NewDecider(p, rollout.Position{})
	}
	out := Outcome{Version: s.Version, Seed: s.Seed, FoundAtShare: 1}
	found := false
	for f.now < s.TimeLimit && !out.Phase.Final() {
		d := strategy.Decide(f.runInterval())
		out.Phase = d.Phase
		out.Stage = d.Stage
		out.Reason = d.Reason
		if d.Phase == rollout.RollingBack && !found {
			found = true
			out.FoundAtShare = float64(f.countNew()) / float64(len(f.gatherers))
		}
		f.startSteps(d.Steps)
		out.MaxInProgress = max(out.MaxInProgress, f.countSteps())
	}
	out.Time = f.now
	out.Harmed = f.Harmed
	return out
}

// Summary sums up many rollouts of one version by one strategy. Its keys are those of the command's JSON output.
type Summary struct {
	Strategy       string         `json:"Judge"`
	Version        string         `json:"Kind"`
	Runs           int            `json:"Runs"`
	Passed         int            `json:"Passed"`  // ended with all new
	Stopped        int            `json:"Stopped"` // rolled back or stopped
	Open           int            `json:"Open"`    // neither in the time given
	StoppedByStage [5]int         `json:"ByStage"`
	Harmed         float64        `json:"Harmed"` // queries, on average
	FoundAtShare   float64        `json:"Found"`  // on average
	MedianMinutes  float64        `json:"Time"`
	Reasons        map[string]int `json:"Why"`
}

// RunMany runs so many rollouts of a scenario on so many workers, with seeds from the scenario's on.
func RunMany(s Scenario, name string, newStrategy NewStrategy, n, workers int) Summary {
	outcomes := parallel.Map(n, workers, func(i int) Outcome {
		one := s
		one.Seed = s.Seed + uint64(i)
		return Run(one, newStrategy)
	})
	summary := Summary{Strategy: name, Version: s.Version, Runs: n, Reasons: map[string]int{}}
	var minutes []float64
	for _, o := range outcomes {
		summary.add(o)
		minutes = append(minutes, o.Time/millisPerMinute)
	}
	sort.Float64s(minutes)
	summary.MedianMinutes = minutes[len(minutes)/2]
	return summary
}

func (s *Summary) add(o Outcome) {
	switch o.Phase {
	case rollout.Completed:
		s.Passed++
	case rollout.RolledBack, rollout.Stopped, rollout.RollingBack:
		s.Stopped++
		s.StoppedByStage[min(o.Stage, len(s.StoppedByStage)-1)]++
		s.Reasons[o.Reason]++
	default:
		s.Open++
		s.Reasons[o.Reason]++
	}
	s.Harmed += o.Harmed / float64(s.Runs)
	s.FoundAtShare += o.FoundAtShare / float64(s.Runs)
}
