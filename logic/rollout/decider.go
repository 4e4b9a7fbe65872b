package rollout

import (
	"cmp"
	"fmt"
	"slices"

	"yokeroute/internal/suggest"
)

// Decider makes the decisions of one rollout. Slices are indexed by gatherer unless stated otherwise.
type Decider struct {
	plan      Plan
	zoneNames []string
	zoneOf    []int
	order     []int   // gatherers in the order in which they are changed
	targets   [][]int // by stage: its gatherers and those of all stages before it
	position  Position
	resumed   bool // an earlier decider may have changed some gatherers to new already

	stageStarted    bool // stageStartedAt is set
	stageStartedAt  float64
	evaluatingSince float64 // since when all gatherers of the stage serve as new; 0 while some don't

	baseline       *baseline
	comparisons    map[comparisonKey]*comparison
	pending        map[comparisonKey]*[2]tally // counts of new and old that are too few to compare yet
	warmUps        []comparison                // by class, over all stages: new gatherers that are warming up
	gauges         [gaugeCount]comparison
	exits          exitEvidence
	disturbedUntil []float64 // by zone: when its latest disturbance stops counting
	disturbedSince float64   // since when some zone has been disturbed in every interval; 0 for none
	disturbance    string    // for operators: the disturbance in the last interval; empty for none

	requested         []Variant // target variant of the step in progress; Unknown for none
	requestedAt       []float64 // when the latest step started
	attempts          []int     // consecutive steps started without success
	gaveUp            []bool    // did not start as new in any of the permitted attempts
	incarnation       []string  // incarnation last reported
	incarnationBefore []string  // incarnation last reported before the latest step started
	wasNew            []bool    // served as new when it was last reachable
}

// NewDecider returns a decider for a plan that has its defaults and has passed Check. The decider continues
// at the position of an earlier one; the zero Position starts a new rollout.
func NewDecider(p Plan, at Position) *Decider {
	resumed := at.Phase != ""
	if at.Phase == "" || at.Phase == Updating || at.Phase == Evaluating {
		at.Phase = Baselining // evidence is not stored, so the old gatherers are observed again
	}
	n := len(p.Gatherers)
	d := &Decider{
		plan: p, zoneNames: p.Zones(), order: p.Order(), position: at, resumed: resumed,
		warmUps:           make([]comparison, len(p.Classes)),
		requested:         make([]Variant, n),
		requestedAt:       make([]float64, n),
		attempts:          make([]int, n),
		gaveUp:            make([]bool, n),
		incarnation:       make([]string, n),
		incarnationBefore: make([]string, n),
		wasNew:            make([]bool, n),
	}
	for _, g := range p.Gatherers {
		d.zoneOf = append(d.zoneOf, slices.Index(d.zoneNames, g.Zone))
	}
	for s := range p.Stages {
		d.targets = append(d.targets, p.Targets(s))
	}
	d.disturbedUntil = make([]float64, len(d.zoneNames))
	d.resetEvidence()
	return d
}

// Position implements Strategy.
func (d *Decider) Position() Position { return d.position }

// resetEvidence discards a stage's evidence. Evidence about warming up is kept, as it accumulates over all
// stages.
func (d *Decider) resetEvidence() {
	d.pending = map[comparisonKey]*[2]tally{}
	d.comparisons = map[comparisonKey]*comparison{}
	d.gauges = [gaugeCount]comparison{}
	d.exits = exitEvidence{}
	d.evaluatingSince = 0
	d.disturbedSince = 0
	d.disturbance = ""
	d.stageStarted = false
	clear(d.attempts)
	clear(d.gaveUp)
}

// startStage starts a stage: its time limit, and collecting its evidence.
func (d *Decider) startStage(now float64) {
	d.position.Phase = Updating
	d.resetEvidence()
	d.stageStarted = true
	d.stageStartedAt = now
}

// Command implements Strategy.
func (d *Decider) Command(v Verdict, reason string) {
	phase := d.position.Phase
	switch {
	case v == Stop && phase != Completed && phase != RolledBack:
		d.position.Phase = Stopped
		d.position.Reason = reason
	case v == RollBack && phase != RolledBack:
		d.startRollback(reason)
	case v == Proceed && phase == Stopped:
		d.resume()
	}
}

func (d *Decider) resume() {
	d.position.Phase = Updating
	d.position.Reason = ""
	if d.baseline == nil || !d.baseline.complete {
		d.position.Phase = Baselining
		d.baseline = nil
		d.resumed = true
	}
	d.resetEvidence()
	clear(d.warmUps)
}

func (d *Decider) startRollback(reason string) {
	d.position.Phase = RollingBack
	d.position.Reason = reason
	clear(d.warmUps)
	d.resetEvidence()
}

// Decide implements Strategy.
func (d *Decider) Decide(o Observation) Decision {
	if !d.stageStarted {
		d.stageStarted = true
		d.stageStartedAt = o.Now
	}
	d.trackIncarnations(&o)
	switch d.position.Phase {
	case Baselining:
		return d.observeBaseline(&o)
	case Updating, Evaluating:
		return d.advanceStage(&o)
	case RollingBack:
		return d.continueRollback(&o)
	case Stopped:
		return d.decision(Stop, nil, "stopped: %s", d.position.Reason)
	case RolledBack:
		return d.decision(Done, nil, "restored: %s", d.position.Reason)
	}
	return d.decision(Done, nil, "all %d gatherers are new", len(d.plan.Gatherers))
}

func (d *Decider) decision(v Verdict, steps []Step, format string, args ...any) Decision {
	return Decision{Verdict: v, Phase: d.position.Phase, Stage: d.position.Stage,
		Reason: fmt.Sprintf(format, args...), Steps: steps}
}

// rollBack starts a rollback and returns the decision.
func (d *Decider) rollBack(reason string) Decision {
	d.startRollback(reason)
	return d.decision(RollBack, nil, "%s", reason)
}

// stop stops the rollout and returns the decision.
func (d *Decider) stop(reason string) Decision {
	d.position.Phase = Stopped
	d.position.Reason = reason
	return d.decision(Stop, nil, "%s", reason)
}

// trackIncarnations records the current process of each gatherer, and counts processes that exited without a
// step.
func (d *Decider) trackIncarnations(o *Observation) {
	for g := range o.Gatherers {
		s := &o.Gatherers[g]
		if !s.Reachable {
			continue
		}
		changed := d.incarnation[g] != "" && s.Incarnation != d.incarnation[g]
		byStep := d.requested[g] != Unknown || s.Step == Running
		if changed && !byStep && (s.Variant == New || s.Variant == Old) {
			d.addExit(o, d.wasNew[g] || s.Variant == New)
		}
		d.incarnation[g] = s.Incarnation
		d.wasNew[g] = s.Variant == New
	}
}

// observeBaseline decides in the phase before the first change, in which the old gatherers are observed.
func (d *Decider) observeBaseline(o *Observation) Decision {
	if d.baseline == nil {
		d.baseline = newBaseline(&d.plan, o.Now)
	}
	if notOld := d.notOld(o); len(notOld) > 0 && !d.resumed {
		return d.stop("before the first change some gatherers do not serve as the plan's old variant: " +
			suggest.Join(notOld))
	}
	d.baseline.observe(&d.plan, d.zoneOf, o)
	elapsed := o.Now - d.baseline.startedAt
	if elapsed < d.plan.BaselineTime {
		return d.decision(Wait, nil, "observing the old gatherers for %.0f s more before the first change",
			(d.plan.BaselineTime-elapsed)/1000)
	}
	if class := d.underObservedClass(); class >= 0 && elapsed < d.plan.StageLimit/4 {
		return d.decision(Wait, nil, "observing the old gatherers: %.0f lookups of %s so far are too few",
			d.baseline.total(class).total[lostValue], d.plan.Classes[class])
	}
	d.baseline.finish()
	d.startStage(o.Now)
	return d.decision(Proceed, nil, "the baseline is complete: %s", d.baseline.summary(&d.plan))
}

// notOld returns the names of the gatherers that serve as another variant than old and are not being changed.
func (d *Decider) notOld(o *Observation) (names []string) {
	for g := range o.Gatherers {
		if s := &o.Gatherers[g]; s.Reachable && s.Variant != Old && s.Step == Idle {
			names = append(names, fmt.Sprintf("%s (%s)", d.plan.Gatherers[g].Name, s.Variant))
		}
	}
	return names
}

// underObservedClass returns the last class of which the baseline has too few queries, or which is evaluated
// and of which the baseline is not precise enough; -1 for none.
func (d *Decider) underObservedClass() int {
	allQueries, underObserved := 0.0, -1
	for class := range d.plan.Classes {
		allQueries += d.baseline.total(class).total[lostValue]
	}
	for class := range d.plan.Classes {
		queries := d.baseline.total(class).total[lostValue]
		evaluated := queries >= d.plan.MinClassShare*allQueries
		if queries < minBaselineQueries || evaluated && !d.baseline.precise(&d.plan, class) {
			underObserved = class
		}
	}
	return underObserved
}

// advanceStage changes the gatherers of the current stage and evaluates them.
func (d *Decider) advanceStage(o *Observation) Decision {
	d.compareVariants(o)
	if reason := cmp.Or(d.provenHarm(), d.startFailure()); reason != "" {
		return d.rollBack(reason)
	}
	steps, missing := d.planSteps(o, d.targets[d.position.Stage], New, !d.lastStage())
	if reason := d.lastingDisturbance(o); reason != "" {
		return d.rollBack(reason)
	}
	if o.Now-d.stageStartedAt > d.plan.StageLimit {
		return d.endOverdueStage(o, missing)
	}
	if len(missing) > 0 {
		d.evaluatingSince = 0
		d.position.Phase = Updating
		if len(steps) > 0 {
			return d.decision(Proceed, steps, "stage %s: changing %s",
				d.stageName(), suggest.Join(d.stepNames(steps)))
		}
		return d.decision(Wait, nil, "stage %s: %s", d.stageName(), d.waitingFor(o, missing))
	}
	if d.evaluatingSince == 0 {
		d.evaluatingSince = o.Now
		d.position.Phase = Evaluating
	}
	if lacking := d.missingEvidence(o); lacking != "" {
		return d.decision(Wait, nil, "stage %s: %s", d.stageName(), lacking)
	}
	return d.passStage(o)
}

func (d *Decider) stageName() string { return d.plan.Stages[d.position.Stage].Name }

func (d *Decider) lastStage() bool { return d.position.Stage == len(d.plan.Stages)-1 }

// passStage proceeds to the next stage, or completes the rollout.
func (d *Decider) passStage(o *Observation) Decision {
	if d.lastStage() {
		d.position.Phase = Completed
		return d.decision(Done, nil, "all %d gatherers are new", len(d.targets[d.position.Stage]))
	}
	passed := d.stageName()
	d.position.Stage++
	d.startStage(o.Now)
	return d.decision(Proceed, nil, "stage %s has passed; the next one is %s", passed, d.stageName())
}

// lastingDisturbance describes a disturbance that has lasted longer than MaxDisturbance, empty for none. It
// is attributed to the new version: a disturbance suspends comparisons, and one that never ends may be caused
// by the new version.
func (d *Decider) lastingDisturbance(o *Observation) string {
	_, newCount := o.countVariants()
	duration := o.Now - d.disturbedSince
	if newCount == 0 || d.disturbedSince <= 0 || duration <= d.plan.MaxDisturbance {
		return ""
	}
	return fmt.Sprintf("stage %s: %s, since %.0f s ago without an end; "+
		"the new version may be the cause", d.stageName(), d.disturbance, duration/1000)
}

// endOverdueStage ends a stage that exceeded its time limit. The last stage is complete if none of the
// missing gatherers can be changed.
func (d *Decider) endOverdueStage(o *Observation, missing []int) Decision {
	lacking := d.waitingFor(o, missing)
	if len(missing) == 0 {
		lacking = d.missingEvidence(o)
	}
	if d.lastStage() && len(missing) > 0 && len(missing) == d.countUnchangeable(o, missing) {
		d.position.Phase = Completed
		return d.decision(Done, nil, "all gatherers that can be reached and started are new; not these: %s",
			suggest.Join(d.gathererNames(missing)))
	}
	reason := fmt.Sprintf("stage %s exceeded its limit of %.0f s: %s", d.stageName(),
		d.plan.StageLimit/1000, lacking)
	if d.plan.OnStageLimit == Stop {
		return d.stop(reason)
	}
	return d.rollBack(reason)
}

// continueRollback changes new gatherers back to old, in the reverse order of the plan.
func (d *Decider) continueRollback(o *Observation) Decision {
	all := make([]int, len(o.Gatherers))
	for g := range all {
		all[g] = len(all) - 1 - g
	}
	steps, missing := d.planSteps(o, all, Old, false)
	if len(steps) > 0 {
		return d.decision(RollBack, steps, "making %s old again: %s", suggest.Join(d.stepNames(steps)),
			d.position.Reason)
	}
	if len(missing) == 0 {
		d.position.Phase = RolledBack
		return d.decision(Done, nil, "restored: %s", d.position.Reason)
	}
	if o.Now-d.stageStartedAt > d.plan.StageLimit {
		return d.stop(fmt.Sprintf("the rollback is not finished after %.0f s, still not old: %s; "+
			"its reason: %s",
			d.plan.StageLimit/1000, suggest.Join(d.gathererNames(missing)), d.position.Reason))
	}
	return d.decision(Wait, nil, "rolling back, %s: %s", d.waitingFor(o, missing), d.position.Reason)
}
