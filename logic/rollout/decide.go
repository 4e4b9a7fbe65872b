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
	Wait Verdict = iota // nothing new: something is under way, or there is too little to tell
	Go                  // a stage is passed, or steps are to be made
	Stop                // nothing is changed any more until an operator says so
	Back                // the new are to be made old again
	Done                // nothing is left to do
)

var verdictNames = []string{"wait", "go on", "stop", "go back", "done"}

func (v Verdict) String() string { return verdictNames[v] }

// Phase is what a rollout is at.
type Phase string

const (
	Watching Phase = "baseline" // the old are watched before anything is changed
	Changing Phase = "changing" // gatherers of a stage are changed
	Judging  Phase = "judging"  // all of the stage serve as new, and are watched
	Stopped  Phase = "stopped"
	Backing  Phase = "going back"
	Ended    Phase = "ended"    // all stages passed
	Restored Phase = "restored" // all that could be reached are old again
)

// Step is a change of one gatherer.
type Step struct {
	Gatherer int // of the plan
	To       Kind
}

// Decision is what came of an observation.
type Decision struct {
	Verdict Verdict
	Phase   Phase
	Stage   int
	Why     string // in words for an operator
	Steps   []Step // to begin now
}

// Position is what of a decider outlasts its process: where it was. Evidence does not; what was seen before
// is seen again.
type Position struct {
	Phase Phase
	Stage int
	Why   string // of a stop, or of going back
}

// test is the evidence in one metric, index and scope.
type test struct {
	harm, fine wealth
	n          float64 // lookups of the new that went in
	mean       welford // of the difference, for people
}

// Judge decides over a rollout: a Decider, or what an experiment compares it with.
type Judge interface {
	Decide(o Observation) Decision
	At() Position
	Command(v Verdict, why string)
}

// Decider decides one rollout. It is called once an interval.
type Decider struct {
	p       Plan
	zones   []int // of gatherers
	names   []string
	order   []int   // the plan's
	targets [][]int // by stage
	at      Position
	resumed bool // some may be new already

	base    *baseline
	since   float64 // when the stage began
	whole   float64 // when all of it served, 0 before
	began   bool
	tests   map[testKey]*test
	pending map[testKey]*[2]sums // counts of new and old that are too few to compare yet
	fresh   []test               // by index, over all stages: gatherers that have just started as new
	gauges  [gauges_]test
	ends    odds
	process []string
	before  []string  // the process that was there when a step was last asked for
	asked   []float64 // when a step was last asked for
	wanted  []Kind    // what of: Unknown for none
	tries   []int
	failed  []bool    // it did not come up in all tries
	lastNew []bool    // it served as new when it was last reached
	calm    []float64 // by zone: until then it counts as rough
	roughAt float64   // since when some zone is, without an end
}

type testKey struct {
	m     metric
	index int
	scope int // 0 for all, else the zone and one
}

// Begin makes a decider for a plan that has its defaults and no mistakes, at the position where an earlier
// one was; the zero Position is the beginning.
func Begin(p Plan, at Position) *Decider {
	resumed := at.Phase != ""
	// what the old are like has to be learnt again
	if at.Phase == "" || at.Phase == Changing || at.Phase == Judging {
		at.Phase = Watching
	}
	n := len(p.Gatherers)
	d := &Decider{p: p, names: p.Zones(), order: p.Order(), at: at, resumed: resumed, process: make([]string, n),
		before: make([]string, n), asked: make([]float64, n), wanted: make([]Kind, n), tries: make([]int, n),
		failed: make([]bool, n), lastNew: make([]bool, n)}
	for _, g := range p.Gatherers {
		d.zones = append(d.zones, slices.Index(d.names, g.Zone))
	}
	for s := range p.Stages {
		d.targets = append(d.targets, p.Targets(s))
	}
	d.calm = make([]float64, len(d.names))
	d.fresh = make([]test, len(p.Indexes))
	d.anew()
	return d
}

// At is the position.
func (d *Decider) At() Position { return d.at }

// anew forgets the evidence of a stage.
func (d *Decider) anew() {
	d.pending = map[testKey]*[2]sums{}
	d.tests, d.gauges, d.ends = map[testKey]*test{}, [gauges_]test{}, odds{}
	d.whole, d.roughAt, d.began = 0, 0, false
	clear(d.tries)
	clear(d.failed)
}

// Command is an operator's word: Stop holds everything, Back goes back, Go resumes what was stopped.
func (d *Decider) Command(v Verdict, why string) {
	switch {
	case v == Stop && d.at.Phase != Ended && d.at.Phase != Restored:
		d.at.Phase, d.at.Why = Stopped, why
	case v == Back && d.at.Phase != Restored:
		d.goBack(why)
	case v == Go && d.at.Phase == Stopped:
		d.at.Phase, d.at.Why = Changing, ""
		if d.base == nil || !d.base.ended {
			d.at.Phase, d.base, d.resumed = Watching, nil, true
		}
		d.anew()
		clear(d.fresh)
	}
}

func (d *Decider) goBack(why string) {
	d.at.Phase, d.at.Why = Backing, why
	clear(d.fresh)
	d.anew()
}

// Decide takes an observation in and says what is to be done.
func (d *Decider) Decide(o Observation) Decision {
	if !d.began {
		d.began, d.since = true, o.Now
	}
	d.notice(&o)
	switch d.at.Phase {
	case Watching:
		return d.watch(&o)
	case Changing, Judging:
		return d.stage(&o)
	case Backing:
		return d.back(&o)
	case Stopped:
		return d.say(Stop, nil, "stopped: %s", d.at.Why)
	case Restored:
		return d.say(Done, nil, "restored: %s", d.at.Why)
	}
	return d.say(Done, nil, "all %d gatherers are new", len(d.p.Gatherers))
}

func (d *Decider) say(v Verdict, steps []Step, format string, args ...any) Decision {
	return Decision{Verdict: v, Phase: d.at.Phase, Stage: d.at.Stage, Why: fmt.Sprintf(format, args...),
		Steps: steps}
}

// notice keeps what outlasts an interval: which process serves, which ends were nobody's order, what steps
// came to.
func (d *Decider) notice(o *Observation) {
	olds, news := o.count()
	for g := range o.Seen {
		s := &o.Seen[g]
		if !s.Reached {
			continue
		}
		stepped := d.wanted[g] != Unknown || s.Step == Running
		if d.process[g] != "" && s.Process != d.process[g] && !stepped && (s.Kind == New || s.Kind == Old) {
			d.ends.step(float64(news)/float64(max(news+olds, 1)), d.lastNew[g] || s.Kind == New)
		}
		d.process[g], d.lastNew[g] = s.Process, s.Kind == New
	}
}

// watch is the time before the first change.
func (d *Decider) watch(o *Observation) Decision {
	if d.base == nil {
		d.base = begin(&d.p, o.Now)
	}
	var notOld []string
	all, unknown := 0.0, -1
	for g := range o.Seen {
		if s := &o.Seen[g]; s.Reached && s.Kind != Old && s.Step == Idle {
			notOld = append(notOld, fmt.Sprintf("%s (%s)", d.p.Gatherers[g].Name, s.Kind))
		}
	}
	if len(notOld) > 0 && !d.resumed {
		d.at.Phase = Stopped
		d.at.Why = "before the first change some gatherers do not serve as the plan's old ones: " +
			suggest.Join(notOld)
		return d.say(Stop, nil, "%s", d.at.Why)
	}
	d.base.see(&d.p, d.zones, o)
	for i := range d.p.Indexes {
		all += d.base.total(i).n[lostValue]
	}
	for i := range d.p.Indexes {
		if n := d.base.total(i).n[lostValue]; n < 20 || n >= d.p.Judged*all && !d.base.known(&d.p, i) {
			unknown = i
		}
	}
	passed := o.Now - d.base.from
	switch {
	case passed < d.p.Baseline:
		return d.say(Wait, nil, "watching the old for %.0f s more before anything is changed",
			(d.p.Baseline-passed)/1000)
	case unknown >= 0 && passed < d.p.Limit/4:
		return d.say(Wait, nil, "watching the old: %.0f lookups of %s so far, too few to know them by",
			d.base.total(unknown).n[lostValue], d.p.Indexes[unknown])
	}
	d.base.end()
	d.at.Phase = Changing
	d.anew()
	d.began, d.since = true, o.Now
	return d.say(Go, nil, "the old are known: %s", d.base.words(&d.p))
}

func (b *baseline) words(p *Plan) string {
	var all []string
	for i, name := range p.Indexes {
		sum := b.total(i)
		n := sum.n[lostValue]
		earned := 100 * (1 - sum.bad[lostValue]/max(n, 1))
		all = append(all, fmt.Sprintf("%s earns %.1f%% (%.0f lookups)", name, earned, n))
	}
	return strings.Join(all, ", ")
}

// stage changes the gatherers of a stage and judges them.
func (d *Decider) stage(o *Observation) Decision {
	d.weigh(o)
	if why := d.harm(); why != "" {
		d.goBack(why)
		return d.say(Back, nil, "%s", why)
	}
	if why := d.neverUp(); why != "" {
		d.goBack(why)
		return d.say(Back, nil, "%s", why)
	}
	target := d.targets[d.at.Stage]
	last := d.at.Stage == len(d.p.Stages)-1
	steps, missing := d.steps(o, target, New, !last)
	short := len(missing)
	name := d.p.Stages[d.at.Stage].Name
	passed := o.Now - d.since
	if _, news := o.count(); news > 0 && d.roughAt > 0 && o.Now-d.roughAt > d.p.Rough {
		why := fmt.Sprintf("stage %s: the old do worse as well since %.0f s ago, without an end; "+
			"the new may be what harms them", name, (o.Now-d.roughAt)/1000)
		d.goBack(why)
		return d.say(Back, nil, "%s", why)
	}
	if passed > d.p.Limit {
		lacks := d.lacks(o, missing)
		if short == 0 {
			lacks = d.short(o)
		}
		why := fmt.Sprintf("stage %s lasts longer than its limit of %.0f s: %s", name, d.p.Limit/1000, lacks)
		if last && short > 0 && short == d.beyond(o, missing) {
			d.at.Phase = Ended
			return d.say(Done, nil, "all that can be reached and come up are new; not these: %s",
				suggest.Join(d.gathererNames(missing)))
		}
		if d.p.AtLimit == Stop {
			d.at.Phase, d.at.Why = Stopped, why
			return d.say(Stop, nil, "%s", why)
		}
		d.goBack(why)
		return d.say(Back, nil, "%s", why)
	}
	if short > 0 {
		d.whole, d.at.Phase = 0, Changing
		if len(steps) > 0 {
			return d.say(Go, steps, "stage %s: changing %s", name, suggest.Join(d.stepNames(steps)))
		}
		return d.say(Wait, nil, "stage %s: %s", name, d.lacks(o, missing))
	}
	if d.whole == 0 {
		d.whole, d.at.Phase = o.Now, Judging
	}
	if lacks := d.short(o); lacks != "" {
		return d.say(Wait, nil, "stage %s: %s", name, lacks)
	}
	if last {
		d.at.Phase = Ended
		return d.say(Done, nil, "all %d gatherers are new", len(target))
	}
	d.at.Stage++
	d.at.Phase = Changing
	d.anew()
	d.began, d.since = true, o.Now
	return d.say(Go, nil, "stage %s is passed; next is %s", name, d.p.Stages[d.at.Stage].Name)
}

// steps are the changes that may begin now, and the gatherers that are not yet what is wanted. Where instead
// is set, gatherers that can't be reached or don't come up are made up for by the next in the order.
func (d *Decider) steps(o *Observation, target []int, to Kind, instead bool) (steps []Step, missing []int) {
	out, outZone := 0, make([]int, len(d.names))
	isOut := func(g int) bool {
		s := &o.Seen[g]
		return !s.Reached || !s.Ready || s.Step == Running || d.wanted[g] != Unknown && s.Kind != d.wanted[g]
	}
	d.settle(o)
	for g := range o.Seen {
		if isOut(g) {
			out++
			outZone[d.zones[g]]++
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
		s := &o.Seen[g]
		return s.Reached && s.Kind == to || !s.Reached && to == New && d.lastNew[g] && d.wanted[g] == Unknown
	}
	have, want := 0, len(target)
	for _, g := range order {
		if is(g) {
			have++
		}
	}
	may := func(g int) bool {
		return isOut(g) || out < d.p.MostOut && outZone[d.zones[g]] < d.p.MostOutZone
	}
	most := len(order)
	if to == New && d.suspects() {
		most = 1
		for g := range o.Seen {
			if s := &o.Seen[g]; s.Reached && s.Kind == New && s.Age < d.p.Fresh {
				most = 0
			}
		}
	}
	underWay := 0
	for _, g := range order {
		s := &o.Seen[g]
		if is(g) {
			continue
		}
		if slices.Contains(target, g) {
			missing = append(missing, g)
		}
		if d.wanted[g] == to {
			underWay++
			continue
		}
		if have+underWay >= want || underWay >= most || !s.Reached || s.Step == Running ||
			d.failed[g] && to == New || !may(g) {
			continue
		}
		if !isOut(g) {
			out++
			outZone[d.zones[g]]++
		}
		steps = append(steps, Step{g, to})
		underWay++
		d.asked[g], d.wanted[g], d.before[g] = o.Now, to, d.process[g]
		d.tries[g]++
	}
	if have >= want { // some of the target are made up for
		missing = nil
	}
	return steps, missing
}

// settle closes steps that have come to their end, well or not.
func (d *Decider) settle(o *Observation) {
	for g := range o.Seen {
		s := &o.Seen[g]
		if d.wanted[g] == Unknown || s.Step == Running {
			continue
		}
		waited := o.Now - d.asked[g]
		switch {
		case s.Reached && s.Ready && s.Kind == d.wanted[g]:
			d.wanted[g], d.tries[g] = Unknown, 0
		case s.Step == Failed && waited > 0, waited > d.p.Settle && s.Reached:
			if d.tries[g] >= d.p.Tries && d.wanted[g] == New {
				d.failed[g] = true
			}
			d.wanted[g] = Unknown
		case waited > d.p.Settle: // it does not answer: unknown, not worse; it is out until it does
			if d.tries[g] >= d.p.Tries && d.wanted[g] == New && s.Step == Succeeded {
				d.failed[g] = true
			}
			d.wanted[g] = Unknown
		}
	}
}

// neverUp says that the new does not come up: at two gatherers, or at one where there is no other to try.
func (d *Decider) neverUp() string {
	var names []string
	for g, failed := range d.failed {
		if failed {
			names = append(names, d.p.Gatherers[g].Name)
		}
	}
	tried := 0
	for g := range d.tries {
		if d.tries[g] > 0 || d.failed[g] || d.lastNew[g] {
			tried++
		}
	}
	// One machine may be broken, and of many one in twenty.
	if len(names) >= max(2, int(math.Ceil(0.05*float64(tried)))) || len(names) == 1 && len(d.p.Gatherers) < 3 {
		return fmt.Sprintf("the new does not come up: %s, each after %d tries", suggest.Join(names), d.p.Tries)
	}
	return ""
}

// back makes the new old again.
func (d *Decider) back(o *Observation) Decision {
	all := make([]int, len(o.Seen))
	for g := range all {
		all[g] = g
	}
	// The newest change first: what was changed last harms the most that is not yet known.
	slices.Reverse(all)
	steps, missing := d.steps(o, all, Old, false)
	if len(steps) > 0 {
		return d.say(Back, steps, "making %s old again: %s", suggest.Join(d.stepNames(steps)), d.at.Why)
	}
	if len(missing) == 0 {
		d.at.Phase = Restored
		return d.say(Done, nil, "restored: %s", d.at.Why)
	}
	if o.Now-d.since > d.p.Limit {
		d.at.Phase = Stopped
		d.at.Why = fmt.Sprintf("going back is not finished after %.0f s, still not old: %s; it began since %s",
			d.p.Limit/1000, suggest.Join(d.gathererNames(missing)), d.at.Why)
		return d.say(Stop, nil, "%s", d.at.Why)
	}
	return d.say(Wait, nil, "going back, %s: %s", d.lacks(o, missing), d.at.Why)
}

// count counts those that serve as old and as new, of all that were reached.
func (o *Observation) count() (olds, news int) {
	for g := range o.Seen {
		switch s := &o.Seen[g]; {
		case s.Reached && s.Kind == New:
			news++
		case s.Reached && s.Kind == Old:
			olds++
		}
	}
	return olds, news
}

// beyond counts those that can't be reached, or do not come up as new.
func (d *Decider) beyond(o *Observation, among []int) (n int) {
	for _, g := range among {
		if !o.Seen[g].Reached || d.failed[g] {
			n++
		}
	}
	return n
}

// lacks says what is waited for.
func (d *Decider) lacks(o *Observation, missing []int) string {
	var underWay, away, out []string
	for g := range o.Seen {
		s, name := &o.Seen[g], d.p.Gatherers[g].Name
		switch {
		case d.wanted[g] != Unknown:
			underWay = append(underWay, name)
		case !s.Reached:
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
		if lacks := d.short(o); lacks != "" {
			return lacks
		}
		return "nothing to wait for"
	}
	return strings.Join(words, "; ")
}

func (d *Decider) gathererNames(of []int) (names []string) {
	for _, g := range of {
		names = append(names, d.p.Gatherers[g].Name)
	}
	return names
}

func (d *Decider) stepNames(steps []Step) (names []string) {
	for _, s := range steps {
		names = append(names, d.p.Gatherers[s.Gatherer].Name)
	}
	return names
}
