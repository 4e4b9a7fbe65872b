package rolloutsim

import (
	"fmt"
	"math"
	"sort"

	"yokeroute/internal/parallel"
	"yokeroute/logic/rollout"
)

// Outcome is what became of one rollout.
type Outcome struct {
	Kind    string
	Seed    uint64
	End     rollout.Phase // ended, restored, stopped; changing and so on where its time ran out
	Stage   int           // that it had reached
	Why     string
	Time    float64 // milliseconds until it ended
	Harmed  float64 // lookups that came out worse by the new version's doing
	Found   float64 // of the fleet's gatherers the share that was new when going back began, or the end
	MostOut int     // gatherers out at once by the rollout's own doing
}

// Plan is the rollout that is played: one gatherer, some, a quarter, half, all.
func Plan(t Terms) rollout.Plan {
	p := rollout.Plan{Name: t.Kind, Classes: indexNames, Seed: t.Seed, MaxUnavailable: max(t.Gatherers/20, 1), MaxUnavailablePerZone: max(t.Gatherers/40, 1),
		Stages: []rollout.Stage{{Name: "one", Count: 1, MinObservation: 60_000}, {Name: "some", Share: 0.04, MinObservation: 60_000}, {Name: "quarter", Share: 0.25, MinObservation: 120_000},
			{Name: "half", Share: 0.5, MinObservation: 120_000}, {Name: "all", Share: 1, MinObservation: 60_000}}}
	if t.Gatherers < 50 { // of so few four hundredths are the one again
		p.Stages[1].Share = 0.1
	}
	for i := range t.Gatherers {
		p.Gatherers = append(p.Gatherers, rollout.Gatherer{Name: fmt.Sprint("g", i+1), Zone: fmt.Sprint("zone", i%t.Zones+1)})
	}
	return p.Defaults()
}

// Play plays one rollout; judge makes who decides it, nil the project's own.
func Play(t Terms, judge func(p rollout.Plan) rollout.Strategy) Outcome {
	if t.Size == 0 {
		t.Size = 1
	}
	f, p := newFleet(t), Plan(t)
	var j rollout.Strategy = rollout.NewDecider(p, rollout.Position{})
	if judge != nil {
		j = judge(p)
	}
	out := Outcome{Kind: t.Kind, Seed: t.Seed, Found: -1}
	for f.now < t.Length {
		o := f.step()
		d := j.Decide(o)
		news := 0
		for i := range f.gatherers {
			if f.gatherers[i].kind == rollout.New {
				news++
			}
		}
		out.End, out.Stage, out.Why = d.Phase, d.Stage, d.Reason
		if d.Phase == rollout.RollingBack && out.Found < 0 {
			out.Found = float64(news) / float64(len(f.gatherers))
		}
		f.order(d.Steps)
		stepping := 0
		for i := range f.gatherers {
			if f.gatherers[i].step == rollout.Running {
				stepping++
			}
		}
		out.MostOut = max(out.MostOut, stepping)
		if d.Phase == rollout.Completed || d.Phase == rollout.RolledBack || d.Phase == rollout.Stopped {
			break
		}
	}
	out.Time, out.Harmed = f.now, f.Harmed
	if out.Found < 0 {
		out.Found = 1
	}
	return out
}

// Row is many rollouts of one kind of version, by one judge.
type Row struct {
	Judge, Kind string
	Runs        int
	Passed      int // ended with all new
	Stopped     int // went back or stopped
	Open        int // neither in the time given
	ByStage     [5]int
	Harmed      float64 // lookups made worse, on average
	Found       float64 // share of gatherers that were new when it was found, on average
	Time        float64 // minutes, the median
	Why         map[string]int
}

// Many plays so many rollouts of a kind, on several cores, with the seeds from one on.
func Many(t Terms, name string, judge func(p rollout.Plan) rollout.Strategy, n, workers int) Row {
	outs := parallel.Map(n, workers, func(i int) Outcome {
		one := t
		one.Seed = t.Seed + uint64(i)
		return Play(one, judge)
	})
	row := Row{Judge: name, Kind: t.Kind, Runs: n, Why: map[string]int{}}
	var times []float64
	for _, o := range outs {
		switch o.End {
		case rollout.Completed:
			row.Passed++
		case rollout.RolledBack, rollout.Stopped, rollout.RollingBack:
			row.Stopped++
			row.ByStage[min(o.Stage, 4)]++
			row.Why[o.Why]++
		default:
			row.Open++
			row.Why[o.Why]++
		}
		row.Harmed += o.Harmed / float64(n)
		row.Found += o.Found / float64(n)
		times = append(times, o.Time/60_000)
	}
	sort.Float64s(times)
	row.Time = times[len(times)/2]
	return row
}

// deaf is a plan that finds nothing and asks for no proof, for what it leaves: the steps, and the bounds on those out.
func deaf(p rollout.Plan) rollout.Plan {
	p.Harm, p.ExtraCost, p.WarmUpHarm, p.FalsePassRate, p.FalseStopRate, p.MinQueries = 1, math.Inf(1), 2, 1, 1e-300, 0
	p.MinClassShare = 2 // of all lookups: no index is judged
	return p
}

// AtOnce is the baseline of no stages: everything is changed, as fast as the bound on gatherers that are out lets it.
func AtOnce(p rollout.Plan) rollout.Strategy {
	p = deaf(p)
	p.Stages, p.BaselineTime = []rollout.Stage{{Name: "all", Share: 1, MinObservation: 1}}, 1
	return rollout.NewDecider(p, rollout.Position{})
}

// plain is the baseline of fixed waiting with plain thresholds: a stage is watched for its time, then the totals of
// old and new are compared, and it goes back where the new lose more of the value by the harm, take half as long again
// or make more calls by the cost.
type plain struct {
	p     rollout.Plan
	inner *rollout.Decider // for its steps and bounds alone
	sums  [2]struct{ n, lost, slow, sat, calls, parts float64 }
}

// Plain makes that baseline.
func Plain(p rollout.Plan) rollout.Strategy {
	quiet := deaf(p)
	quiet.MaxDisturbance = math.Inf(1)
	return &plain{p: p, inner: rollout.NewDecider(quiet, rollout.Position{})}
}

// Position is the inner decider's position.
func (j *plain) Position() rollout.Position { return j.inner.Position() }

// Command is the operator's word.
func (j *plain) Command(v rollout.Verdict, why string) { j.inner.Command(v, why) }

// Decide compares totals at the end of each stage.
func (j *plain) Decide(o rollout.Observation) rollout.Decision {
	before := j.inner.Position()
	for _, s := range o.Gatherers {
		if !s.Reachable || s.Variant != rollout.Old && s.Variant != rollout.New {
			continue
		}
		side := &j.sums[0]
		if s.Variant == rollout.New {
			side = &j.sums[1]
		}
		for _, c := range s.Classes {
			side.n += c.Queries
			side.lost += c.Queries - c.EarnedValue
			side.slow += c.OverLimit[1]
			side.sat += c.Served
			side.calls += c.Attempts
			side.parts += c.ShardRequests
		}
	}
	d := j.inner.Decide(o)
	after := j.inner.Position()
	passing := after.Stage != before.Stage || after.Phase == rollout.Completed && before.Phase != rollout.Completed
	if passing && (before.Phase == rollout.Evaluating || before.Phase == rollout.Updating) {
		a, c := j.sums[1], j.sums[0]
		why := ""
		switch {
		case a.n == 0 || c.n == 0:
		case a.lost/a.n > c.lost/c.n+j.p.Harm:
			why = "loses more"
		case a.slow/max(a.sat, 1) > 2*c.slow/max(c.sat, 1):
			why = "twice as many in the tail"
		case a.calls/max(a.parts, 1) > (1+j.p.ExtraCost)*c.calls/max(c.parts, 1):
			why = "more calls"
		}
		if why != "" {
			j.inner.Command(rollout.RollBack, why)
			d.Phase, d.Reason, d.Steps = rollout.RollingBack, why, nil
		}
		j.sums = [2]struct{ n, lost, slow, sat, calls, parts float64 }{}
	}
	return d
}
