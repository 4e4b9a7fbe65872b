package rollout

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"yokeroute/internal/suggest"
)

// unavailability counts gatherers that are unavailable for any reason.
type unavailability struct {
	total  int
	byZone []int
}

func (u *unavailability) add(zone int) {
	u.total++
	u.byZone[zone]++
}

// unavailable reports whether a gatherer does not serve, or may stop serving at any moment because of a step.
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

// servesAs reports whether a gatherer serves as a variant. An unreachable gatherer that was new when it was
// last reachable still counts as new: it is unavailable and gives no evidence, but needs no step.
func (d *Decider) servesAs(o *Observation, g int, v Variant) bool {
	s := &o.Gatherers[g]
	if s.Reachable {
		return s.Variant == v
	}
	return v == New && d.wasNew[g] && d.requested[g] == Unknown
}

// planSteps returns the steps that may start now, and the gatherers of the target that are not changed yet.
// If substitute is set, gatherers that are unreachable or fail to start are replaced by the next ones in the
// order of changes.
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
		if d.servesAs(o, g, to) {
			changed++
		}
	}
	maxInProgress := d.maxInProgress(o, to, len(candidates))
	inProgress := 0
	for _, g := range candidates {
		if d.servesAs(o, g, to) {
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
	if changed >= len(target) { // substitutes count too
		missing = nil
	}
	return steps, missing
}

// withSubstitutes returns a target followed by all other gatherers in the order of changes.
func (d *Decider) withSubstitutes(target []int) []int {
	all := slices.Clone(target)
	for _, g := range d.order {
		if !slices.Contains(all, g) {
			all = append(all, g)
		}
	}
	return all
}

// maxInProgress returns how many steps may be in progress at once. While warming up is suspected of harm,
// gatherers are changed to new one at a time, each after the one before it has warmed up.
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

// mayStart reports whether a step of a gatherer may start: the gatherer is unavailable anyway, or one more
// unavailable gatherer is within the plan's limits.
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

// closeSteps closes steps that have succeeded, failed or exceeded their timeout.
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
		case overdue:
			// The gatherer is unreachable, so its state is unknown, which does not count as worse. It stays
			// unavailable until it answers.
			d.gaveUp[g] = d.gaveUp[g] || lastAttempt && s.Step == Succeeded
			d.requested[g] = Unknown
		}
	}
}

// startFailure describes that the new version does not start, empty if that is not shown. As machines may be
// broken, a single gatherer, or less than one in twenty of many, may fail to start; in a fleet of fewer than
// three a single failure counts.
func (d *Decider) startFailure() string {
	const brokenShare = 0.05
	var broken []string
	tried := 0
	for g := range d.plan.Gatherers {
		if d.gaveUp[g] {
			broken = append(broken, d.plan.Gatherers[g].Name)
		}
		if d.attempts[g] > 0 || d.gaveUp[g] || d.wasNew[g] {
			tried++
		}
	}
	minBroken := max(2, int(math.Ceil(brokenShare*float64(tried))))
	smallFleet := len(broken) == 1 && len(d.plan.Gatherers) < 3
	if len(broken) < minBroken && !smallFleet {
		return ""
	}
	return fmt.Sprintf("the new version does not come up: %s, each after %d attempts",
		suggest.Join(broken), d.plan.MaxAttempts)
}

// countUnchangeable returns how many of the given gatherers are unreachable or fail to start as new.
func (d *Decider) countUnchangeable(o *Observation, among []int) (n int) {
	for _, g := range among {
		if !o.Gatherers[g].Reachable || d.gaveUp[g] {
			n++
		}
	}
	return n
}

// waitingFor describes for operators what the rollout waits for.
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
	add := func(label string, names []string) {
		if len(names) > 0 {
			parts = append(parts, label+suggest.Join(names))
		}
	}
	add("steps in progress: ", inProgress)
	add("unreachable: ", unreachable)
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
