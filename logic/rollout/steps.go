package rollout

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"yokeroute/internal/suggest"
)

// unavailability counts the gatherers that are unavailable, for whatever reason.
type unavailability struct {
	total  int
	byZone []int
}

func (u *unavailability) add(zone int) {
	u.total++
	u.byZone[zone]++
}

// unavailable reports whether a gatherer does not serve, or may not in a moment.
func (d *Decider) unavailable(o *Observation, g int) bool {
	s := &o.Gatherers[g]
	changing := d.requested[g] != Unknown && s.Variant != d.requested[g]
	return !s.Reachable || !s.Ready || s.Step == Running || changing
}

func (d *Decider) countUnavailable(o *Observation) unavailability {
	u := unavailability{byZone: make([]int, len(d.zoneNames))}
	for g := range o.Gatherers {
		if d.unavailable(o, g) {
			u.add(d.zoneOf[g])
		}
	}
	return u
}

// serves reports whether a gatherer serves as a variant. One that is not reachable still counts as new where
// it last was: it gives no evidence and is unavailable, but nothing has to be done to it.
func (d *Decider) serves(o *Observation, g int, v Variant) bool {
	s := &o.Gatherers[g]
	if s.Reachable {
		return s.Variant == v
	}
	return v == New && d.wasNew[g] && d.requested[g] == Unknown
}

// planSteps returns the steps that may start now, and the gatherers of the target that are not yet changed.
// With substitute, gatherers that can't be reached or don't come up are replaced by the next in the plan's
// order.
func (d *Decider) planSteps(
	o *Observation, target []int, to Variant, substitute bool,
) (steps []Step, missing []int) {
	d.closeSteps(o)
	unavailable := d.countUnavailable(o)
	candidates := target
	if substitute {
		candidates = d.withSubstitutes(target)
	}
	changed := 0
	for _, g := range candidates {
		if d.serves(o, g, to) {
			changed++
		}
	}
	maxInProgress := d.maxInProgress(o, to, len(candidates))
	inProgress := 0
	for _, g := range candidates {
		if d.serves(o, g, to) {
			continue
		}
		if slices.Contains(target, g) {
			missing = append(missing, g)
		}
		if d.requested[g] == to {
			inProgress++
			continue
		}
		enough := changed+inProgress >= len(target) || inProgress >= maxInProgress
		if enough || !d.mayStart(o, g, to, &unavailable) {
			continue
		}
		if !d.unavailable(o, g) {
			unavailable.add(d.zoneOf[g])
		}
		steps = append(steps, Step{g, to})
		inProgress++
		d.startStep(g, to, o.Now)
	}
	if changed >= len(target) { // by substitutes
		missing = nil
	}
	return steps, missing
}

// withSubstitutes is a target followed by all other gatherers in the plan's order.
func (d *Decider) withSubstitutes(target []int) []int {
	all := slices.Clone(target)
	for _, g := range d.order {
		if !slices.Contains(all, g) {
			all = append(all, g)
		}
	}
	return all
}

// maxInProgress is how many steps may be in progress. While warming up looks harmful, gatherers are made new
// one at a time, each after the one before it has warmed up.
func (d *Decider) maxInProgress(o *Observation, to Variant, candidates int) int {
	if to != New || !d.suspectsWarmUpHarm() {
		return candidates
	}
	for g := range o.Gatherers {
		if s := &o.Gatherers[g]; s.Reachable && s.Variant == New && s.Uptime < d.plan.WarmUp {
			return 0
		}
	}
	return 1
}

// mayStart reports whether a step of a gatherer may start: one that is unavailable anyway, or whose outage
// the plan's bounds leave room for.
func (d *Decider) mayStart(o *Observation, g int, to Variant, u *unavailability) bool {
	s := &o.Gatherers[g]
	if !s.Reachable || s.Step == Running || d.gaveUp[g] && to == New {
		return false
	}
	return d.unavailable(o, g) ||
		u.total < d.plan.MaxUnavailable && u.byZone[d.zoneOf[g]] < d.plan.MaxUnavailablePerZone
}

func (d *Decider) startStep(g int, to Variant, now float64) {
	d.requestedAt[g] = now
	d.requested[g] = to
	d.incarnationBefore[g] = d.incarnation[g]
	d.attempts[g]++
}

// closeSteps closes steps that have ended, well or not.
func (d *Decider) closeSteps(o *Observation) {
	for g := range o.Gatherers {
		s := &o.Gatherers[g]
		if d.requested[g] == Unknown || s.Step == Running {
			continue
		}
		elapsed := o.Now - d.requestedAt[g]
		overdue := elapsed > d.plan.StepTimeout
		lastAttempt := d.attempts[g] >= d.plan.MaxAttempts && d.requested[g] == New
		switch {
		case s.Reachable && s.Ready && s.Variant == d.requested[g]:
			d.requested[g] = Unknown
			d.attempts[g] = 0
		case s.Step == Failed && elapsed > 0, overdue && s.Reachable:
			d.gaveUp[g] = d.gaveUp[g] || lastAttempt
			d.requested[g] = Unknown
		case overdue: // not reachable: unknown rather than worse, and unavailable until it answers
			d.gaveUp[g] = d.gaveUp[g] || lastAttempt && s.Step == Succeeded
			d.requested[g] = Unknown
		}
	}
}

// startFailure returns that the new version does not come up, empty where that is not shown. One machine of
// a few may be broken, and of many one in twenty.
func (d *Decider) startFailure() string {
	const brokenShare = 0.05
	var names []string
	tried := 0
	for g := range d.plan.Gatherers {
		if d.gaveUp[g] {
			names = append(names, d.plan.Gatherers[g].Name)
		}
		if d.attempts[g] > 0 || d.gaveUp[g] || d.wasNew[g] {
			tried++
		}
	}
	enough := max(2, int(math.Ceil(brokenShare*float64(tried))))
	noOther := len(names) == 1 && len(d.plan.Gatherers) < 3
	if len(names) < enough && !noOther {
		return ""
	}
	return fmt.Sprintf("the new does not come up: %s, each after %d tries",
		suggest.Join(names), d.plan.MaxAttempts)
}

// countUnchangeable counts those that are not reachable or do not come up as new.
func (d *Decider) countUnchangeable(o *Observation, among []int) (n int) {
	for _, g := range among {
		if !o.Gatherers[g].Reachable || d.gaveUp[g] {
			n++
		}
	}
	return n
}

// waitingFor tells operators what is waited for.
func (d *Decider) waitingFor(o *Observation, missing []int) string {
	var inProgress, unreachable, notReady []string
	for g := range o.Gatherers {
		s, name := &o.Gatherers[g], d.plan.Gatherers[g].Name
		switch {
		case d.requested[g] != Unknown:
			inProgress = append(inProgress, name)
		case !s.Reachable:
			unreachable = append(unreachable, name)
		case !s.Ready:
			notReady = append(notReady, name)
		}
	}
	var parts []string
	add := func(what string, names []string) {
		if len(names) > 0 {
			parts = append(parts, what+suggest.Join(names))
		}
	}
	add("under way: ", inProgress)
	add("not reached: ", unreachable)
	add("not ready: ", notReady)
	if len(missing) > 0 && len(inProgress) == 0 {
		parts = append(parts, fmt.Sprintf("%d to be changed, and no more may be out", len(missing)))
	}
	if len(parts) > 0 {
		return strings.Join(parts, "; ")
	}
	if lacking := d.missingEvidence(o); lacking != "" {
		return lacking
	}
	return "nothing to wait for"
}

func (d *Decider) gathererNames(gatherers []int) (names []string) {
	for _, g := range gatherers {
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
