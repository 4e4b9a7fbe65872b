package rollout

import (
	"fmt"
	"math"
)

// disturbanceHold is for how long a zone still counts as rough once its old are themselves again, in milliseconds:
// new and old may recover at different speeds without a fault of either.
const disturbanceHold = 10_000

// disturbanceMargin is by how much the old lose more value than at the baseline, at the least, for an interval to
// count as rough.
const disturbanceMargin = 0.06

// unreachableShare is the share of a zone's gatherers not reached from which it counts as rough as well.
const unreachableShare = 0.25

// variantTally is one side of a comparison in a zone.
type variantTally struct {
	gatherers int
	classes   []tally
	gauges    [gaugeCount]float64 // sums
}

// compareVariants takes one interval's evidence in. New and old are compared within a zone and an interval, so that
// what strikes both alike shows in neither.
func (d *Decider) compareVariants(o *Observation) {
	if d.baseline == nil || !d.baseline.complete {
		return
	}
	zones, n := len(d.zoneNames), len(d.plan.Classes)
	side := func() []variantTally {
		all := make([]variantTally, zones)
		for z := range all {
			all[z].classes = make([]tally, n)
		}
		return all
	}
	olds, news := side(), side()
	var fresh []int // gatherers
	away, of := make([]float64, zones), make([]float64, zones)
	for g := range o.Gatherers {
		s, z := &o.Gatherers[g], d.zoneOf[g]
		of[z]++
		if !s.Reachable {
			away[z]++
			continue
		}
		if s.Step == Running || !s.Ready || s.Variant == Other || s.Variant == Unknown {
			continue
		}
		// An interval with the change of a gatherer in it belongs to neither side, but that a new process tells
		// what it has done itself alone: its first seconds, which no other interval has.
		if d.requested[g] != Unknown && (s.Variant != New || d.requested[g] != New || s.Incarnation == d.incarnationBefore[g] ||
			s.Uptime >= d.plan.WarmUp) {
			continue
		}
		to := &olds[z]
		switch {
		case s.Variant == New && s.Uptime >= d.plan.WarmUp:
			to = &news[z]
		case s.Variant == New:
			fresh = append(fresh, g)
			continue
		case s.Uptime < d.plan.WarmUp && s.Uptime < o.Now-d.baseline.startedAt: // an old one that has started anew learns as well
			continue
		}
		to.gatherers++
		for i := range min(n, len(s.Classes)) {
			to.classes[i].add(&s.Classes[i], d.baseline.latencyLimits[i])
		}
		to.gauges[openConnections] += s.Connections
		to.gauges[residentMemory] += s.Memory
	}
	anyRough := false
	rough := make([]bool, zones)
	for z := range rough {
		if d.isDisturbed(z, &olds[z]) || away[z] > unreachableShare*of[z] {
			d.disturbedUntil[z] = o.Now + disturbanceHold
		}
		rough[z] = o.Now < d.disturbedUntil[z]
		anyRough = anyRough || rough[z] && d.disturbedUntil[z] == o.Now+disturbanceHold
	}
	switch {
	case !anyRough:
		d.disturbedSince = 0
	case d.disturbedSince == 0:
		d.disturbedSince = o.Now
	}
	isNew := func(g int) bool { return o.Gatherers[g].Reachable && o.Gatherers[g].Variant == New }
	isOld := func(g int) bool { return o.Gatherers[g].Reachable && o.Gatherers[g].Variant == Old }
	for i := range d.plan.Classes {
		if d.baseline.classShare[i] < d.plan.MinClassShare {
			continue
		}
		for m := range metricCount {
			b, err := d.baseline.offset(i, m, isNew, isOld)
			var steps []difference
			for z := range rough {
				// What a version costs the servers shows in rough times above all, and it is nobody else's doing.
				cost := m == extraAttempts || m == attemptsPerRequest
				if rough[z] && !cost {
					continue
				}
				older, own, ownErr := &olds[z].classes[i], b, err
				if apart := olds[z].gatherers == 0 && news[z].gatherers > 0; apart {
					var found bool
					if older, found = oldOfOtherZones(z, i, olds, rough); !found {
						continue
					}
					own, ownErr = d.baseline.offset(i, m, func(g int) bool { return isNew(g) && d.zoneOf[g] == z },
						func(g int) bool { return isOld(g) && d.zoneOf[g] != z })
					ownErr += d.stageThresholds(m).detectable / 2
				}
				if st, ok := d.nextDifference(comparisonKey{m, i, 1 + z}, &news[z].classes[i], older); ok {
					d.updateComparison(comparisonKey{m, i, 1 + z}, own, ownErr, st)
					st.value += b - own // taken off again below, where all zones are together
					steps = append(steps, st)
				}
			}
			if len(steps) > 0 {
				d.updateComparison(comparisonKey{m, i, 0}, b, err, pooledDifference(steps))
			}
		}
		for _, g := range fresh {
			z := d.zoneOf[g]
			if rough[z] || i >= len(o.Gatherers[g].Classes) {
				continue
			}
			// Gatherer by gatherer: each start is a thing of its own, and there are few of them.
			var own tally
			own.add(&o.Gatherers[g].Classes[i], d.baseline.latencyLimits[i])
			if st, ok := d.nextDifference(comparisonKey{metricCount, i, 1 + len(d.zoneNames) + g}, &own, &olds[z].classes[i]); ok {
				d.warmUps[i].queries += st.queries
				d.warmUps[i].difference.add(st.value)
				d.warmUps[i].harm.update((st.value - d.plan.WarmUpHarm) / st.stdDev)
			}
		}
	}
	d.compareGauges(olds, news)
}

// oldOfOtherZones are the old of the other zones, for a zone that has none left: it is compared with them by how
// much both have changed since the baseline. What strikes one zone alone does not strike both, so that twice
// the harm is asked for, and zones that are rough are left out; found is false where none is left.
func oldOfOtherZones(zone, index int, olds []variantTally, rough []bool) (sum *tally, found bool) {
	sum = &tally{}
	for z := range olds {
		if z == zone || rough[z] || olds[z].gatherers == 0 {
			continue
		}
		found = true
		sum.merge(&olds[z].classes[index])
	}
	return sum, found
}

// difference is a difference of new and old in an interval, with its standard deviation, and how many of the new
// it is from.
type difference struct{ value, stdDev, queries float64 }

// minVarianceRate is the least share that a metric's spread is reckoned with.
const minVarianceRate = 0.01

// minQueries is how many each side of a comparison wants, for a difference to be roughly normal. Part calls are
// counted as they go and parts as their lookup ends, so that each end of an interval moves some from one to
// the next: of sixty parts that is little.
const (
	minQueries       = 8
	minShardRequests = 60
)

// nextDifference gives the difference of new and old. Counts of several intervals are put together until there are
// enough of them; both sides' are of the same intervals.
func (d *Decider) nextDifference(k comparisonKey, newer, older *tally) (difference, bool) {
	i, m := k.class, k.metric
	if m == metricCount { // those that have just started, of which only the value is looked at
		m = lostValue
	}
	p := d.pending[k]
	if p == nil {
		p = &[2]tally{}
		d.pending[k] = p
	}
	if newer.total[m] == 0 || older.total[m] == 0 {
		return difference{}, false
	}
	for side, s := range [2]*tally{newer, older} {
		p[side].total[m] += s.total[m]
		p[side].bad[m] += s.bad[m]
	}
	news, olds := p[0], p[1]
	a, c := news.total[m], olds.total[m]
	enough := float64(minQueries)
	if m == attemptsPerRequest {
		enough = minShardRequests
	}
	if a < enough || c < enough {
		return difference{}, false
	}
	*p = [2]tally{}
	pooled := (news.bad[m] + olds.bad[m]) / (a + c)
	diff := news.rate(m) - olds.rate(m)
	if m == attemptsPerRequest {
		diff /= max(d.baseline.attemptsPerRequest[i], 1e-9)
	}
	// Against a rare thing that has not happened yet in a small interval counting as impossible.
	v := rateVariance(m, max(pooled, minVarianceRate))
	return difference{diff, math.Sqrt(v * d.baseline.overdispersionOf(i, m) * (1/a + 1/c)), a}, true
}

func (b *baseline) overdispersionOf(i int, m metric) float64 {
	if s := b.overdispersion[i][m]; s > 0 {
		return s
	}
	return latencyOverdispersion
}

// pooledDifference is the difference over several zones, each by how much it tells.
func pooledDifference(all []difference) (sum difference) {
	weight := 0.0
	for _, p := range all {
		w := 1 / (p.stdDev * p.stdDev)
		sum.value += w * p.value
		sum.queries += p.queries
		weight += w
	}
	sum.value /= weight
	sum.stdDev = math.Sqrt(1 / weight)
	return sum
}

// stageThresholds are a metric's at this stage. What has to be found there is what would harm as many lookups at the
// next stage as the plan's harm does at all of the fleet: one gatherer alone shows a great harm soon and a
// small one never, and a small one does little before the stages that can show it.
func (d *Decider) stageThresholds(m metric) thresholds {
	b := d.plan.thresholds(m)
	b.detectable = max(b.detectable, min(b.detectable/d.nextStageShare(), d.widestThreshold(m)))
	return b
}

// nextStageShare is the share of the fleet that the next stage changes.
func (d *Decider) nextStageShare() float64 {
	if s := d.position.Stage + 1; s < len(d.targets) {
		return float64(len(d.targets[s])) / float64(len(d.plan.Gatherers))
	}
	return 1
}

// widestThreshold is what has to be found of a metric at the smallest stage.
func (d *Decider) widestThreshold(m metric) float64 {
	if m == attemptsPerRequest {
		return 1
	}
	return d.plan.WarmUpHarm
}

// stageTooSmallFor reports whether a stage is too small to be asked for proof in a metric that costs nobody anything by
// itself: a gatherer's own differences are as large there, and a few gatherers in the tail do little.
func (d *Decider) stageTooSmallFor(m metric) bool {
	return d.plan.thresholds(m).detectable/d.nextStageShare() > 1.001*d.widestThreshold(m)
}

// updateComparison takes a difference in for both questions: whether the new are worse by more than is borne, and
// whether they are worse by less than has to be found.
func (d *Decider) updateComparison(k comparisonKey, offset, err float64, st difference) {
	t := d.comparisons[k]
	if t == nil {
		t = &comparison{}
		d.comparisons[k] = t
	}
	b := d.stageThresholds(k.metric)
	diff := st.value - offset
	t.queries += st.queries
	t.difference.add(diff)
	// What is known of the gatherers' own differences is known to two standard errors; that much is borne too,
	// and that much sooner it is to be found, but never less than half of what has to be.
	t.harm.update((diff - b.tolerated - 2*err) / st.stdDev)
	t.harmless.update((max(b.detectable-err, b.detectable/2) - diff) / st.stdDev)
}

// suspicionBar is how far the evidence against fresh gatherers has to have come, as a logarithm, for the next
// to be changed one at a time: twice as likely as not. A version that only harms when cold would else be
// started at all of a stage before the first has shown it.
const suspicionBar = 0.69

// suspectsWarmUpHarm reports whether gatherers that have just started as new look worse than is borne, unproved.
func (d *Decider) suspectsWarmUpHarm() bool {
	for i := range d.warmUps {
		if t := &d.warmUps[i]; t.queries > 0 && t.harm.logValue() > suspicionBar {
			return true
		}
	}
	return false
}

// isDisturbed reports whether the old of a zone do worse than they did.
func (d *Decider) isDisturbed(z int, olds *variantTally) bool {
	for i := range olds.classes {
		s, was := &olds.classes[i], &d.baseline.lossByZone[z][i]
		if s.total[lostValue] < minQueries || was.n < 2 {
			continue
		}
		share := s.rate(lostValue)
		noise := math.Sqrt(rateVariance(lostValue, max(was.mean, 0.02)) / s.total[lostValue])
		if share > was.mean+max(disturbanceMargin, 4*max(noise, math.Sqrt(was.variance()))) {
			return true
		}
	}
	return false
}

// gaugeVariation: connections and memory differ from gatherer to gatherer by about a quarter without any
// version's doing; a difference beyond what is borne has to last for some intervals to count.
const gaugeVariation = 0.25

// compareGauges compares connections and memory, a gatherer on average, over the old ones' average.
func (d *Decider) compareGauges(olds, news []variantTally) {
	var a, c [gaugeCount]float64
	na, nc := 0.0, 0.0
	for z := range olds {
		na += float64(news[z].gatherers)
		nc += float64(olds[z].gatherers)
		for k := range gaugeCount {
			a[k] += news[z].gauges[k]
			c[k] += olds[z].gauges[k]
		}
	}
	if na == 0 || nc == 0 {
		return
	}
	for k := range gaugeCount {
		usual := max(c[k]/nc, 1e-9)
		diff := a[k]/na/usual - 1
		own := gaugeVariation
		if g := &d.baseline.gauges[k]; g.n > 1 && g.mean > 0 {
			own = max(own, math.Sqrt(g.variance())/g.mean)
		}
		spread := own * math.Sqrt(1/na+1/nc) * 2 // intervals follow each other: they are no fresh draws
		t := &d.gauges[k]
		t.queries += na
		t.difference.add(diff)
		t.harm.update(max(min((diff-d.plan.ExtraCost/3)/spread, 1), -2))
	}
}

// hypotheses is how many hypotheses are held against a rollout in all of its stages: the chance of stopping a
// good one is shared out among them.
func (d *Decider) hypotheses() float64 {
	judged := 0
	for i := range d.plan.Classes {
		if d.baseline.classShare[i] >= d.plan.MinClassShare {
			judged++
		}
	}
	scopes := len(d.zoneNames) + 1
	if len(d.zoneNames) == 1 {
		scopes = 1
	}
	each := judged*(int(metricCount)*scopes+1) + int(gaugeCount) + 1
	return float64(max(each, 1) * len(d.plan.Stages))
}

// provenHarm says what the new do worse, empty where nothing is proved.
func (d *Decider) provenHarm() string {
	if d.baseline == nil || !d.baseline.complete {
		return ""
	}
	worst, why := d.strongestEvidence(math.Log(d.hypotheses() / d.plan.FalseStopRate))
	for i, index := range d.plan.Classes {
		if t := &d.warmUps[i]; t.harm.logValue() > worst {
			worst, why = t.harm.logValue(), fmt.Sprintf("index %s: gatherers that have just started as new "+
				"lose %.1f points more of the value than the old, over %.0f lookups", index, 100*t.difference.mean, t.queries)
		}
	}
	if d.exits.logValue > worst {
		why = "new gatherers' processes end by themselves more often than the old ones'"
	}
	return why
}

// strongestEvidence is the greatest evidence that those who have served as new for a while do worse, and in what, where
// it is beyond a bar; the bar and no words where nothing is.
func (d *Decider) strongestEvidence(bar float64) (worst float64, why string) {
	worst = bar
	for i, index := range d.plan.Classes {
		for m := range metricCount {
			for scope := range len(d.zoneNames) + 1 {
				if scope == 1 && len(d.zoneNames) == 1 {
					break // the one zone is all
				}
				t := d.comparisons[comparisonKey{m, i, scope}]
				if t == nil {
					continue
				}
				if l := t.harm.logValue(); l > worst {
					where := ""
					if scope > 0 {
						where = " in zone " + d.zoneNames[scope-1]
					}
					worst, why = l, fmt.Sprintf("index %s%s: the new %s than the old: %s, over %.0f of its lookups", index,
						where, metricFindings[m], formatDifference(m, t.difference.mean), t.queries)
				}
			}
		}
	}
	for k := range gaugeCount {
		if t := &d.gauges[k]; t.harm.logValue() > worst {
			worst, why = t.harm.logValue(), fmt.Sprintf("a new gatherer %s than an old one: %+.0f%%", gaugeFindings[k],
				100*t.difference.mean)
		}
	}
	return worst, why
}

// likelyHarmBar is the evidence of harm, as a logarithm, with which no stage is passed: ten times likelier than
// not. Proof that all is well is asked for over all zones together, where harm to one of them looks small.
// Against a version that does no harm it is reached in a tenth of the cases at most, and falls again.
const likelyHarmBar = 2.3

// formatDifference puts a difference into words.
func formatDifference(m metric, diff float64) string {
	if m == attemptsPerRequest {
		return fmt.Sprintf("%+.0f%%", 100*diff)
	}
	return fmt.Sprintf("%+.1f points", 100*diff)
}

// missingEvidence says what is still lacking for a stage to be passed, empty where nothing is.
func (d *Decider) missingEvidence(o *Observation) string {
	st := d.plan.Stages[d.position.Stage]
	if d.evaluatingSince == 0 {
		return "not all of it serve as new yet"
	}
	if left := st.MinObservation - (o.Now - d.evaluatingSince); left > 0 {
		return fmt.Sprintf("all of it serve as new; watched for %.0f s more", left/1000)
	}
	if d.disturbedSince > 0 {
		return fmt.Sprintf("the old do worse as well, since %.0f s ago: nobody is blamed or passed meanwhile",
			(o.Now-d.disturbedSince)/1000)
	}
	if olds, _ := o.countVariants(); olds == 0 { // nothing is left to compare with
		return ""
	}
	bar := math.Log(1 / d.plan.FalsePassRate)
	for i, index := range d.plan.Classes {
		if d.baseline.classShare[i] < d.plan.MinClassShare {
			continue
		}
		for _, m := range []metric{lostValue, extraAttempts, attemptsPerRequest, latencyTail} {
			t := d.comparisons[comparisonKey{m, i, 0}]
			switch {
			case m == latencyTail && (!d.baseline.hasLatencies(i) || d.stageTooSmallFor(m)):
			case t == nil:
				return fmt.Sprintf("index %s: no lookups yet by which new and old can be compared", index)
			case m == lostValue && t.queries < d.plan.MinQueries:
				return fmt.Sprintf("index %s: %.0f lookups at the new so far, %.0f are wanted", index, t.queries, d.plan.MinQueries)
			case t.harmless.logValue() < bar:
				return fmt.Sprintf("index %s: it cannot be told yet "+
					"that the new do not do worse by %s (%s): %s over %.0f lookups", index, formatDifference(m,
					d.stageThresholds(m).detectable), []string{lostValue: "value", extraAttempts: "further calls", attemptsPerRequest: "part calls",
					latencyTail: "the slow tail"}[m],
					formatDifference(m, t.difference.mean), t.queries)
			}
		}
	}
	if _, why := d.strongestEvidence(likelyHarmBar); why != "" {
		return "watched until it is told whether this is so: " + why
	}
	for k := range gaugeCount {
		if t := &d.gauges[k]; t.queries > 0 && t.difference.mean > max(d.plan.ExtraCost, d.stageThresholds(attemptsPerRequest).detectable) {
			return fmt.Sprintf("a new gatherer %s than an old one: %+.0f%%", gaugeFindings[k], 100*t.difference.mean)
		}
	}
	return ""
}
