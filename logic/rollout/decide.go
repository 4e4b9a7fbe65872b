package rollout

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"yokeroute/internal/suggest"
)

// Verdict is what is to be done.
type Verdict int

const (
	Wait     Verdict = iota // nothing new: something is under way, or there is too little to tell
	Proceed                 // a stage is passed, or steps are to be made
	Stop                    // nothing is changed any more until an operator says so
	RollBack                // the new are to be made old again
	Done                    // nothing is left to do
)

var verdictNames = []string{"wait", "go on", "stop", "go back", "done"}

func (v Verdict) String() string { return verdictNames[v] }

// Phase is what a rollout is at.
type Phase string

const (
	Baselining  Phase = "baseline" // the old are watched before anything is changed
	Updating    Phase = "changing" // gatherers of a stage are changed
	Evaluating  Phase = "judging"  // all of the stage serve as new, and are watched
	Stopped     Phase = "stopped"
	RollingBack Phase = "going back"
	Completed   Phase = "ended"    // all stages passed
	RolledBack  Phase = "restored" // all that could be reached are old again
)

// Step is a change of one gatherer.
type Step struct {
	Gatherer int // of the plan
	To       Variant
}

// Decision is what came of an observation.
type Decision struct {
	Verdict Verdict
	Phase   Phase
	Stage   int
	Reason  string // in words for an operator
	Steps   []Step // to begin now
}

// Position is what of a decider outlasts its process: where it was. Evidence does not; what was seen before
// is seen again.
type Position struct {
	Phase  Phase
	Stage  int
	Reason string `json:"Why"` // of a stop, or of going back
}

// comparison is the evidence in one metric, index and scope.
type comparison struct {
	harm, harmless eProcess
	queries        float64 // lookups of the new that went in
	difference     welford // of the difference, for people
}

// Strategy decides over a rollout: a Decider, or what an experiment compares it with.
type Strategy interface {
	Decide(o Observation) Decision
	Position() Position
	Command(v Verdict, why string)
}

// Decider decides one rollout. It is called once an interval.
type Decider struct {
	plan      Plan
	zoneOf    []int // of gatherers
	zoneNames []string
	order     []int   // the plan's
	targets   [][]int // by stage
	position  Position
	resumed   bool // some may be new already

	baseline          *baseline
	stageStartedAt    float64 // when the stage began
	evaluatingSince   float64 // when all of it served, 0 before
	stageStarted      bool
	comparisons       map[comparisonKey]*comparison
	pending           map[comparisonKey]*[2]tally // counts of new and old that are too few to compare yet
	warmUps           []comparison                // by index, over all stages: gatherers that have just started as new
	gauges            [gaugeCount]comparison
	exits             likelihoodRatio
	incarnation       []string
	incarnationBefore []string  // the process that was there when a step was last asked for
	requestedAt       []float64 // when a step was last asked for
	requested         []Variant // what of: Unknown for none
	attempts          []int
	gaveUp            []bool    // it did not come up in all tries
	lastSeenNew       []bool    // it served as new when it was last reached
	disturbedUntil    []float64 // by zone: until then it counts as rough
	disturbedSince    float64   // since when some zone is, without an end
}

type comparisonKey struct {
	metric metric
	class  int
	scope  int // 0 for all, else the zone and one
}

// NewDecider makes a decider for a plan that has its defaults and no mistakes, at the position where an earlier
// one was; the zero Position is the beginning.
func NewDecider(p Plan, at Position) *Decider {
	resumed := at.Phase != ""
	// what the old are like has to be learnt again
	if at.Phase == "" || at.Phase == Updating || at.Phase == Evaluating {
		at.Phase = Baselining
	}
	n := len(p.Gatherers)
	d := &Decider{plan: p, zoneNames: p.Zones(), order: p.Order(), position: at, resumed: resumed, incarnation: make([]string, n),
		incarnationBefore: make([]string, n), requestedAt: make([]float64, n), requested: make([]Variant, n), attempts: make([]int, n),
		gaveUp: make([]bool, n), lastSeenNew: make([]bool, n)}
	for _, g := range p.Gatherers {
		d.zoneOf = append(d.zoneOf, slices.Index(d.zoneNames, g.Zone))
	}
	for s := range p.Stages {
		d.targets = append(d.targets, p.Targets(s))
	}
	d.disturbedUntil = make([]float64, len(d.zoneNames))
	d.warmUps = make([]comparison, len(p.Classes))
	d.resetEvidence()
	return d
}

// Position is the position.
func (d *Decider) Position() Position { return d.position }

// resetEvidence forgets the evidence of a stage.
func (d *Decider) resetEvidence() {
	d.pending = map[comparisonKey]*[2]tally{}
	d.comparisons, d.gauges, d.exits = map[comparisonKey]*comparison{}, [gaugeCount]comparison{}, likelihoodRatio{}
	d.evaluatingSince, d.disturbedSince, d.stageStarted = 0, 0, false
	clear(d.attempts)
	clear(d.gaveUp)
}

// Command is an operator's word: Stop holds everything, Back goes back, Go resumes what was stopped.
func (d *Decider) Command(v Verdict, why string) {
	switch {
	case v == Stop && d.position.Phase != Completed && d.position.Phase != RolledBack:
		d.position.Phase, d.position.Reason = Stopped, why
	case v == RollBack && d.position.Phase != RolledBack:
		d.startRollback(why)
	case v == Proceed && d.position.Phase == Stopped:
		d.position.Phase, d.position.Reason = Updating, ""
		if d.baseline == nil || !d.baseline.complete {
			d.position.Phase, d.baseline, d.resumed = Baselining, nil, true
		}
		d.resetEvidence()
		clear(d.warmUps)
	}
}

func (d *Decider) startRollback(why string) {
	d.position.Phase, d.position.Reason = RollingBack, why
	clear(d.warmUps)
	d.resetEvidence()
}

// Decide takes an observation in and says what is to be done.
func (d *Decider) Decide(o Observation) Decision {
	if !d.stageStarted {
		d.stageStarted, d.stageStartedAt = true, o.Now
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
	return Decision{Verdict: v, Phase: d.position.Phase, Stage: d.position.Stage, Reason: fmt.Sprintf(format, args...),
		Steps: steps}
}

// trackIncarnations keeps what outlasts an interval: which process serves, which ends were nobody's order, what steps
// came to.
func (d *Decider) trackIncarnations(o *Observation) {
	olds, news := o.countVariants()
	for g := range o.Gatherers {
		s := &o.Gatherers[g]
		if !s.Reachable {
			continue
		}
		stepped := d.requested[g] != Unknown || s.Step == Running
		if d.incarnation[g] != "" && s.Incarnation != d.incarnation[g] && !stepped && (s.Variant == New || s.Variant == Old) {
			d.exits.update(float64(news)/float64(max(news+olds, 1)), d.lastSeenNew[g] || s.Variant == New)
		}
		d.incarnation[g], d.lastSeenNew[g] = s.Incarnation, s.Variant == New
	}
}

// observeBaseline is the time before the first change.
func (d *Decider) observeBaseline(o *Observation) Decision {
	if d.baseline == nil {
		d.baseline = newBaseline(&d.plan, o.Now)
	}
	var notOld []string
	all, unknown := 0.0, -1
	for g := range o.Gatherers {
		if s := &o.Gatherers[g]; s.Reachable && s.Variant != Old && s.Step == Idle {
			notOld = append(notOld, fmt.Sprintf("%s (%s)", d.plan.Gatherers[g].Name, s.Variant))
		}
	}
	if len(notOld) > 0 && !d.resumed {
		d.position.Phase = Stopped
		d.position.Reason = "before the first change some gatherers do not serve as the plan's old ones: " +
			suggest.Join(notOld)
		return d.decision(Stop, nil, "%s", d.position.Reason)
	}
	d.baseline.observe(&d.plan, d.zoneOf, o)
	for i := range d.plan.Classes {
		all += d.baseline.total(i).total[lostValue]
	}
	for i := range d.plan.Classes {
		if n := d.baseline.total(i).total[lostValue]; n < 20 || n >= d.plan.MinClassShare*all && !d.baseline.precise(&d.plan, i) {
			unknown = i
		}
	}
	passed := o.Now - d.baseline.startedAt
	switch {
	case passed < d.plan.BaselineTime:
		return d.decision(Wait, nil, "watching the old for %.0f s more before anything is changed",
			(d.plan.BaselineTime-passed)/1000)
	case unknown >= 0 && passed < d.plan.StageLimit/4:
		return d.decision(Wait, nil, "watching the old: %.0f lookups of %s so far, too few to know them by",
			d.baseline.total(unknown).total[lostValue], d.plan.Classes[unknown])
	}
	d.baseline.finish()
	d.position.Phase = Updating
	d.resetEvidence()
	d.stageStarted, d.stageStartedAt = true, o.Now
	return d.decision(Proceed, nil, "the old are known: %s", d.baseline.summary(&d.plan))
}

func (b *baseline) summary(p *Plan) string {
	var all []string
	for i, name := range p.Classes {
		sum := b.total(i)
		n := sum.total[lostValue]
		earned := 100 * (1 - sum.bad[lostValue]/max(n, 1))
		all = append(all, fmt.Sprintf("%s earns %.1f%% (%.0f lookups)", name, earned, n))
	}
	return strings.Join(all, ", ")
}

// advanceStage changes the gatherers of a stage and judges them.
func (d *Decider) advanceStage(o *Observation) Decision {
	d.compareVariants(o)
	if why := d.provenHarm(); why != "" {
		d.startRollback(why)
		return d.decision(RollBack, nil, "%s", why)
	}
	if why := d.startFailure(); why != "" {
		d.startRollback(why)
		return d.decision(RollBack, nil, "%s", why)
	}
	target := d.targets[d.position.Stage]
	last := d.position.Stage == len(d.plan.Stages)-1
	steps, missing := d.planSteps(o, target, New, !last)
	short := len(missing)
	name := d.plan.Stages[d.position.Stage].Name
	passed := o.Now - d.stageStartedAt
	if _, news := o.countVariants(); news > 0 && d.disturbedSince > 0 && o.Now-d.disturbedSince > d.plan.MaxDisturbance {
		why := fmt.Sprintf("stage %s: the old do worse as well since %.0f s ago, without an end; "+
			"the new may be what harms them", name, (o.Now-d.disturbedSince)/1000)
		d.startRollback(why)
		return d.decision(RollBack, nil, "%s", why)
	}
	if passed > d.plan.StageLimit {
		lacks := d.waitingFor(o, missing)
		if short == 0 {
			lacks = d.missingEvidence(o)
		}
		why := fmt.Sprintf("stage %s lasts longer than its limit of %.0f s: %s", name, d.plan.StageLimit/1000, lacks)
		if last && short > 0 && short == d.countUnchangeable(o, missing) {
			d.position.Phase = Completed
			return d.decision(Done, nil, "all that can be reached and come up are new; not these: %s",
				suggest.Join(d.gathererNames(missing)))
		}
		if d.plan.OnStageLimit == Stop {
			d.position.Phase, d.position.Reason = Stopped, why
			return d.decision(Stop, nil, "%s", why)
		}
		d.startRollback(why)
		return d.decision(RollBack, nil, "%s", why)
	}
	if short > 0 {
		d.evaluatingSince, d.position.Phase = 0, Updating
		if len(steps) > 0 {
			return d.decision(Proceed, steps, "stage %s: changing %s", name, suggest.Join(d.stepNames(steps)))
		}
		return d.decision(Wait, nil, "stage %s: %s", name, d.waitingFor(o, missing))
	}
	if d.evaluatingSince == 0 {
		d.evaluatingSince, d.position.Phase = o.Now, Evaluating
	}
	if lacks := d.missingEvidence(o); lacks != "" {
		return d.decision(Wait, nil, "stage %s: %s", name, lacks)
	}
	if last {
		d.position.Phase = Completed
		return d.decision(Done, nil, "all %d gatherers are new", len(target))
	}
	d.position.Stage++
	d.position.Phase = Updating
	d.resetEvidence()
	d.stageStarted, d.stageStartedAt = true, o.Now
	return d.decision(Proceed, nil, "stage %s is passed; next is %s", name, d.plan.Stages[d.position.Stage].Name)
}

// planSteps are the changes that may begin now, and the gatherers that are not yet what is wanted. Where instead
// is set, gatherers that can't be reached or don't come up are made up for by the next in the order.
func (d *Decider) planSteps(o *Observation, target []int, to Variant, instead bool) (steps []Step, missing []int) {
	out, outZone := 0, make([]int, len(d.zoneNames))
	isOut := func(g int) bool {
		s := &o.Gatherers[g]
		return !s.Reachable || !s.Ready || s.Step == Running || d.requested[g] != Unknown && s.Variant != d.requested[g]
	}
	d.closeSteps(o)
	for g := range o.Gatherers {
		if isOut(g) {
			out++
			outZone[d.zoneOf[g]]++
		}
	}
	order := target
	if instead {
		order = slices.Clone(target)
		for _, g := range d.order {
			if !slices.Contains(order, g) {
				order = append(order, g)
			}
		}
	}
	// One that can't be reached now and was new when it last could is still taken for it: it gives no evidence,
	// and is out, but nothing has to be done to it.
	is := func(g int) bool {
		s := &o.Gatherers[g]
		return s.Reachable && s.Variant == to || !s.Reachable && to == New && d.lastSeenNew[g] && d.requested[g] == Unknown
	}
	have, want := 0, len(target)
	for _, g := range order {
		if is(g) {
			have++
		}
	}
	may := func(g int) bool {
		return isOut(g) || out < d.plan.MaxUnavailable && outZone[d.zoneOf[g]] < d.plan.MaxUnavailablePerZone
	}
	most := len(order)
	if to == New && d.suspectsWarmUpHarm() {
		most = 1
		for g := range o.Gatherers {
			if s := &o.Gatherers[g]; s.Reachable && s.Variant == New && s.Uptime < d.plan.WarmUp {
				most = 0
			}
		}
	}
	underWay := 0
	for _, g := range order {
		s := &o.Gatherers[g]
		if is(g) {
			continue
		}
		if slices.Contains(target, g) {
			missing = append(missing, g)
		}
		if d.requested[g] == to {
			underWay++
			continue
		}
		if have+underWay >= want || underWay >= most || !s.Reachable || s.Step == Running ||
			d.gaveUp[g] && to == New || !may(g) {
			continue
		}
		if !isOut(g) {
			out++
			outZone[d.zoneOf[g]]++
		}
		steps = append(steps, Step{g, to})
		underWay++
		d.requestedAt[g], d.requested[g], d.incarnationBefore[g] = o.Now, to, d.incarnation[g]
		d.attempts[g]++
	}
	if have >= want { // some of the target are made up for
		missing = nil
	}
	return steps, missing
}

// closeSteps closes steps that have come to their end, well or not.
func (d *Decider) closeSteps(o *Observation) {
	for g := range o.Gatherers {
		s := &o.Gatherers[g]
		if d.requested[g] == Unknown || s.Step == Running {
			continue
		}
		waited := o.Now - d.requestedAt[g]
		switch {
		case s.Reachable && s.Ready && s.Variant == d.requested[g]:
			d.requested[g], d.attempts[g] = Unknown, 0
		case s.Step == Failed && waited > 0, waited > d.plan.StepTimeout && s.Reachable:
			if d.attempts[g] >= d.plan.MaxAttempts && d.requested[g] == New {
				d.gaveUp[g] = true
			}
			d.requested[g] = Unknown
		case waited > d.plan.StepTimeout: // it does not answer: unknown, not worse; it is out until it does
			if d.attempts[g] >= d.plan.MaxAttempts && d.requested[g] == New && s.Step == Succeeded {
				d.gaveUp[g] = true
			}
			d.requested[g] = Unknown
		}
	}
}

// startFailure says that the new does not come up: at two gatherers, or at one where there is no other to try.
func (d *Decider) startFailure() string {
	var names []string
	for g, failed := range d.gaveUp {
		if failed {
			names = append(names, d.plan.Gatherers[g].Name)
		}
	}
	tried := 0
	for g := range d.attempts {
		if d.attempts[g] > 0 || d.gaveUp[g] || d.lastSeenNew[g] {
			tried++
		}
	}
	// One machine may be broken, and of many one in twenty.
	if len(names) >= max(2, int(math.Ceil(0.05*float64(tried)))) || len(names) == 1 && len(d.plan.Gatherers) < 3 {
		return fmt.Sprintf("the new does not come up: %s, each after %d tries", suggest.Join(names), d.plan.MaxAttempts)
	}
	return ""
}

// continueRollback makes the new old again.
func (d *Decider) continueRollback(o *Observation) Decision {
	all := make([]int, len(o.Gatherers))
	for g := range all {
		all[g] = g
	}
	// The newest change first: what was changed last harms the most that is not yet known.
	slices.Reverse(all)
	steps, missing := d.planSteps(o, all, Old, false)
	if len(steps) > 0 {
		return d.decision(RollBack, steps, "making %s old again: %s", suggest.Join(d.stepNames(steps)), d.position.Reason)
	}
	if len(missing) == 0 {
		d.position.Phase = RolledBack
		return d.decision(Done, nil, "restored: %s", d.position.Reason)
	}
	if o.Now-d.stageStartedAt > d.plan.StageLimit {
		d.position.Phase = Stopped
		d.position.Reason = fmt.Sprintf("going back is not finished after %.0f s, still not old: %s; it began since %s",
			d.plan.StageLimit/1000, suggest.Join(d.gathererNames(missing)), d.position.Reason)
		return d.decision(Stop, nil, "%s", d.position.Reason)
	}
	return d.decision(Wait, nil, "going back, %s: %s", d.waitingFor(o, missing), d.position.Reason)
}

// countVariants counts those that serve as old and as new, of all that were reached.
func (o *Observation) countVariants() (olds, news int) {
	for g := range o.Gatherers {
		switch s := &o.Gatherers[g]; {
		case s.Reachable && s.Variant == New:
			news++
		case s.Reachable && s.Variant == Old:
			olds++
		}
	}
	return olds, news
}

// countUnchangeable counts those that can't be reached, or do not come up as new.
func (d *Decider) countUnchangeable(o *Observation, among []int) (n int) {
	for _, g := range among {
		if !o.Gatherers[g].Reachable || d.gaveUp[g] {
			n++
		}
	}
	return n
}

// waitingFor says what is waited for.
func (d *Decider) waitingFor(o *Observation, missing []int) string {
	var underWay, away, out []string
	for g := range o.Gatherers {
		s, name := &o.Gatherers[g], d.plan.Gatherers[g].Name
		switch {
		case d.requested[g] != Unknown:
			underWay = append(underWay, name)
		case !s.Reachable:
			away = append(away, name)
		case !s.Ready:
			out = append(out, name)
		}
	}
	var words []string
	add := func(what string, names []string) {
		if len(names) > 0 {
			words = append(words, what+suggest.Join(names))
		}
	}
	add("under way: ", underWay)
	add("not reached: ", away)
	add("not ready: ", out)
	if len(missing) > 0 && len(underWay) == 0 {
		words = append(words, fmt.Sprintf("%d to be changed, and no more may be out", len(missing)))
	}
	if len(words) == 0 {
		if lacks := d.missingEvidence(o); lacks != "" {
			return lacks
		}
		return "nothing to wait for"
	}
	return strings.Join(words, "; ")
}

func (d *Decider) gathererNames(of []int) (names []string) {
	for _, g := range of {
		names = append(names, d.plan.Gatherers[g].Name)
	}
	return names
}

func (d *Decider) stepNames(steps []Step) (names []string) {
	for _, s := range steps {
		names = append(names, d.plan.Gatherers[s.Gatherer].Name)
	}
	return names
}
