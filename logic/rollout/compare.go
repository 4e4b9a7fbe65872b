package rollout

import (
	"fmt"
	"math"
)

// A zone is disturbed if its old gatherers do worse than at the baseline, or if many of its gatherers are
// unreachable. Meanwhile no harm in it is attributed to the new version.
const (
	// disturbanceHold is the time in milliseconds for which a zone still counts as disturbed after its
	// disturbance has ended: old and new gatherers may recover at different speeds without either being
	// worse.
	disturbanceHold = 10_000

	// disturbanceMargin is the least increase of lost value over the baseline that counts as a disturbance.
	disturbanceMargin = 0.06

	// unreachableShare is the share of unreachable gatherers above which a zone is disturbed.
	unreachableShare = 0.25
)

const (
	// minQueries is the number of queries that each side of a comparison needs for the difference to be
	// approximately normal.
	minQueries = 8

	// minShardRequests is the number of shard requests that each side needs for attemptsPerRequest. It is
	// higher since attempts are counted when they are sent and shard requests when their query ends, so that
	// the end of an interval separates some of them.
	minShardRequests = 60

	// minVarianceRate is the least rate that a variance is computed from, since a rare event that did not
	// occur in a short interval is not impossible.
	minVarianceRate = 0.01

	// gaugeVariation is the least coefficient of variation of connections and memory between gatherers.
	gaugeVariation = 0.25
)

// comparison holds the evidence about one metric of one class in one scope.
type comparison struct {
	harm       eProcess // against the hypothesis that new gatherers are worse by no more than is tolerated
	harmless   eProcess // against the hypothesis that new gatherers are worse by the detectable difference
	queries    float64  // queries of new gatherers that were compared
	difference welford  // mean difference of new and old, for operators
}

// comparisonKey identifies a comparison and the counts that are pending for it.
type comparisonKey struct {
	metric metric // metricCount stands for the lost value of a single gatherer that is warming up
	class  int
	scope  int // 0 for all zones; 1+zone for one zone; 1+zones+gatherer for a gatherer that is warming up
}

// variantTally holds the counts of a zone's gatherers that serve as one variant.
type variantTally struct {
	gatherers int
	classes   []tally             // by class
	gauges    [gaugeCount]float64 // sums over the gatherers
}

// interval holds the counts of an observation by variant and zone.
type interval struct {
	oldSide, newSide []variantTally // by zone
	warmingUp        []int          // new gatherers that are warming up
	unreachable      []float64      // by zone: number of unreachable gatherers
	gatherers        []float64      // by zone: number of gatherers
	disturbed        []bool         // by zone
}

func newInterval(zones, classes int) *interval {
	in := &interval{
		oldSide:     make([]variantTally, zones),
		newSide:     make([]variantTally, zones),
		unreachable: make([]float64, zones),
		gatherers:   make([]float64, zones),
		disturbed:   make([]bool, zones),
	}
	for z := range zones {
		in.oldSide[z].classes = make([]tally, classes)
		in.newSide[z].classes = make([]tally, classes)
	}
	return in
}

// compareVariants adds an interval's evidence. New and old gatherers are compared within one zone and one
// interval, so that causes which affect both alike do not show as a difference.
func (d *Decider) compareVariants(o *Observation) {
	if d.baseline == nil || !d.baseline.complete {
		return
	}
	in := newInterval(len(d.zoneNames), len(d.plan.Classes))
	for g := range o.Gatherers {
		d.addSample(in, o, g)
	}
	d.updateDisturbance(in, o.Now)
	for class := range d.plan.Classes {
		if d.baseline.classShare[class] < d.plan.MinClassShare {
			continue
		}
		for m := range metricCount {
			d.compareMetric(in, o, class, m)
		}
		d.compareWarmUps(in, o, class)
	}
	d.compareGauges(in)
}

// addSample adds a gatherer's sample to the counts of its variant, unless the sample is not comparable.
func (d *Decider) addSample(in *interval, o *Observation, g int) {
	s, z := &o.Gatherers[g], d.zoneOf[g]
	in.gatherers[z]++
	if !s.Reachable {
		in.unreachable[z]++
		return
	}
	if s.Step == Running || !s.Ready || s.Variant == Other || s.Variant == Unknown {
		return
	}
	warmingUp := s.Uptime < d.plan.WarmUp
	// An interval in which the gatherer was changed counts for neither variant. The exception is the first
	// report of the new process, which covers nothing but that process's first seconds.
	firstReport := d.requested[g] == New && s.Variant == New && warmingUp &&
		s.Incarnation != d.incarnationBefore[g]
	if d.requested[g] != Unknown && !firstReport {
		return
	}
	side := &in.oldSide[z]
	switch {
	case s.Variant == New && warmingUp:
		in.warmingUp = append(in.warmingUp, g)
		return
	case s.Variant == New:
		side = &in.newSide[z]
	case warmingUp && s.Uptime < o.Now-d.baseline.startedAt: // a restarted old gatherer warms up too
		return
	}
	side.gatherers++
	for class := range min(len(d.plan.Classes), len(s.Classes)) {
		side.classes[class].add(&s.Classes[class], d.baseline.latencyLimits[class])
	}
	side.gauges[openConnections] += s.Connections
	side.gauges[residentMemory] += s.Memory
}

// updateDisturbance updates which zones are disturbed, and since when and by what any zone is.
func (d *Decider) updateDisturbance(in *interval, now float64) {
	d.disturbance = ""
	for z := range in.disturbed {
		if found := d.disturbanceOf(z, in); found != "" {
			d.disturbedUntil[z] = now + disturbanceHold
			d.disturbance = found
		}
		in.disturbed[z] = now < d.disturbedUntil[z]
	}
	switch {
	case d.disturbance == "":
		d.disturbedSince = 0
	case d.disturbedSince == 0:
		d.disturbedSince = now
	}
}

// disturbanceOf describes the disturbance of a zone, empty for none.
func (d *Decider) disturbanceOf(zone int, in *interval) string {
	if d.losesMoreThanBaseline(zone, &in.oldSide[zone]) {
		return "old gatherers do worse as well"
	}
	if in.unreachable[zone] > unreachableShare*in.gatherers[zone] {
		return fmt.Sprintf("%.0f of %.0f gatherers of the zone %s are unreachable",
			in.unreachable[zone], in.gatherers[zone], d.zoneNames[zone])
	}
	return ""
}

// losesMoreThanBaseline reports whether the old gatherers of a zone lose more value than at the baseline.
func (d *Decider) losesMoreThanBaseline(zone int, oldSide *variantTally) bool {
	for class := range oldSide.classes {
		current, atBaseline := &oldSide.classes[class], &d.baseline.lossByZone[zone][class]
		if current.total[lostValue] < minQueries || atBaseline.n < 2 {
			continue
		}
		const minLoss = 0.02 // least loss that the noise is computed from
		noise := math.Sqrt(rateVariance(lostValue, max(atBaseline.mean, minLoss)) / current.total[lostValue])
		margin := max(disturbanceMargin, 4*max(noise, math.Sqrt(atBaseline.variance())))
		if current.rate(lostValue) > atBaseline.mean+margin {
			return true
		}
	}
	return false
}

// compareMetric compares new and old gatherers in one metric, zone by zone and over all zones.
func (d *Decider) compareMetric(in *interval, o *Observation, class int, m metric) {
	isNew := func(g int) bool { return o.Gatherers[g].Reachable && o.Gatherers[g].Variant == New }
	isOld := func(g int) bool { return o.Gatherers[g].Reachable && o.Gatherers[g].Variant == Old }
	offset, offsetError := d.baseline.offset(class, m, isNew, isOld)
	// Cost metrics are compared during disturbances too: extra cost for the servers shows most then, and it
	// has no other cause than the version.
	isCost := m == extraAttempts || m == attemptsPerRequest
	var differences []difference
	for z := range in.disturbed {
		if in.disturbed[z] && !isCost {
			continue
		}
		oldTally, zoneOffset, zoneError := &in.oldSide[z].classes[class], offset, offsetError
		if in.oldSide[z].gatherers == 0 && in.newSide[z].gatherers > 0 {
			var found bool
			if oldTally, found = in.oldOfOtherZones(z, class); !found {
				continue
			}
			zoneOffset, zoneError = d.baseline.offset(class, m,
				func(g int) bool { return isNew(g) && d.zoneOf[g] == z },
				func(g int) bool { return isOld(g) && d.zoneOf[g] != z })
			zoneError += d.stageThresholds(m).detectable / 2
		}
		key := comparisonKey{m, class, 1 + z}
		if diff, ok := d.nextDifference(key, &in.newSide[z].classes[class], oldTally); ok {
			d.updateComparison(key, zoneOffset, zoneError, diff)
			diff.value += offset - zoneOffset // the pooled difference has the overall offset subtracted
			differences = append(differences, diff)
		}
	}
	if len(differences) > 0 {
		d.updateComparison(comparisonKey{m, class, 0}, offset, offsetError, pooledDifference(differences))
	}
}

// oldOfOtherZones returns the sum of the old gatherers of the other zones, for a zone without any left, and
// whether there are any. The zone is compared with them by how much both have changed since the baseline;
// compareMetric widens the error to allow for causes that affect a single zone. Disturbed zones are left out.
func (in *interval) oldOfOtherZones(zone, class int) (sum *tally, found bool) {
	sum = &tally{}
	for z := range in.oldSide {
		if z == zone || in.disturbed[z] || in.oldSide[z].gatherers == 0 {
			continue
		}
		found = true
		sum.merge(&in.oldSide[z].classes[class])
	}
	return sum, found
}

// compareWarmUps compares the lost value of each new gatherer that is warming up with that of the old ones.
// They are compared one by one, since each start is a separate event and there are few.
func (d *Decider) compareWarmUps(in *interval, o *Observation, class int) {
	for _, g := range in.warmingUp {
		z, s := d.zoneOf[g], &o.Gatherers[g]
		if in.disturbed[z] || class >= len(s.Classes) {
			continue
		}
		var newTally tally
		newTally.add(&s.Classes[class], d.baseline.latencyLimits[class])
		key := comparisonKey{metricCount, class, 1 + len(d.zoneNames) + g}
		if diff, ok := d.nextDifference(key, &newTally, &in.oldSide[z].classes[class]); ok {
			c := &d.warmUps[class]
			c.queries += diff.queries
			c.difference.add(diff.value)
			c.harm.update((diff.value - d.plan.WarmUpHarm) / diff.stdDev)
		}
	}
}

// difference is a difference between new and old gatherers, with the number of queries of new ones behind it.
type difference struct{ value, stdDev, queries float64 }

// nextDifference adds an interval's counts to the pending ones, and returns the difference between new and
// old gatherers once there are enough counts of both.
func (d *Decider) nextDifference(k comparisonKey, newTally, oldTally *tally) (difference, bool) {
	m := k.metric
	if m == metricCount {
		m = lostValue
	}
	pending := d.pending[k]
	if pending == nil {
		pending = &[2]tally{}
		d.pending[k] = pending
	}
	if newTally.total[m] == 0 || oldTally.total[m] == 0 {
		return difference{}, false
	}
	for side, t := range [2]*tally{newTally, oldTally} {
		pending[side].addEvents(m, t.total[m], t.events[m])
	}
	newSum, oldSum := pending[0], pending[1]
	minTotal := float64(minQueries)
	if m == attemptsPerRequest {
		minTotal = minShardRequests
	}
	if newSum.total[m] < minTotal || oldSum.total[m] < minTotal {
		return difference{}, false
	}
	*pending = [2]tally{}
	value := newSum.rate(m) - oldSum.rate(m)
	if m == attemptsPerRequest {
		value /= max(d.baseline.attemptsPerRequest[k.class], 1e-9)
	}
	pooled := (newSum.events[m] + oldSum.events[m]) / (newSum.total[m] + oldSum.total[m])
	variance := rateVariance(m, max(pooled, minVarianceRate)) * d.baseline.overdispersionOf(k.class, m)
	stdDev := math.Sqrt(variance * (1/newSum.total[m] + 1/oldSum.total[m]))
	return difference{value, stdDev, newSum.total[m]}, true
}

// pooledDifference returns the mean of several zones' differences, weighted by the inverse of their
// variances.
func pooledDifference(all []difference) (sum difference) {
	weights := 0.0
	for _, diff := range all {
		weight := 1 / (diff.stdDev * diff.stdDev)
		sum.value += weight * diff.value
		sum.queries += diff.queries
		weights += weight
	}
	sum.value /= weights
	sum.stdDev = math.Sqrt(1 / weights)
	return sum
}

// updateComparison adds a difference to both tests: whether new gatherers are worse by more than the
// tolerated difference, and whether they are worse by less than the detectable one. The offset is the
// difference that the same gatherers had at the baseline, and offsetError its standard error.
func (d *Decider) updateComparison(k comparisonKey, offset, offsetError float64, diff difference) {
	c := d.comparisons[k]
	if c == nil {
		c = &comparison{}
		d.comparisons[k] = c
	}
	t := d.stageThresholds(k.metric)
	value := diff.value - offset
	c.queries += diff.queries
	c.difference.add(value)
	// Harm has to exceed the tolerated difference by two standard errors of the offset. One standard error is
	// subtracted from the detectable difference, of which at least half remains.
	c.harm.update((value - t.tolerated - 2*offsetError) / diff.stdDev)
	c.harmless.update((max(t.detectable-offsetError, t.detectable/2) - value) / diff.stdDev)
}

// stageThresholds returns a metric's thresholds at the current stage. The detectable difference is the one
// that would harm as many queries at the next stage as the plan's harm would in the whole fleet: a single
// gatherer soon shows a large harm but never a small one, and a small harm does little damage before a stage
// that is large enough to show it.
func (d *Decider) stageThresholds(m metric) thresholds {
	t := d.plan.thresholds(m)
	t.detectable = max(t.detectable, min(t.detectable/d.nextStageShare(), d.maxDetectable(m)))
	return t
}

// nextStageShare returns the share of the fleet that is new after the next stage.
func (d *Decider) nextStageShare() float64 {
	if next := d.position.Stage + 1; next < len(d.targets) {
		return float64(len(d.targets[next])) / float64(len(d.plan.Gatherers))
	}
	return 1
}

// maxDetectable returns the upper limit of a metric's detectable difference, which applies to small stages.
func (d *Decider) maxDetectable(m metric) float64 {
	if m == attemptsPerRequest {
		return 1
	}
	return d.plan.WarmUpHarm
}

// stageTooSmallFor reports whether the current stage is too small to require proof of harmlessness in a
// metric that does no harm by itself: differences between single gatherers are as large there as the
// difference that would have to be ruled out.
func (d *Decider) stageTooSmallFor(m metric) bool {
	const rounding = 1.001
	return d.plan.thresholds(m).detectable/d.nextStageShare() > rounding*d.maxDetectable(m)
}

// compareGauges compares the mean connections and memory of new gatherers with those of old ones.
func (d *Decider) compareGauges(in *interval) {
	var newTotal, oldTotal variantTally
	for z := range in.oldSide {
		newTotal.gatherers += in.newSide[z].gatherers
		oldTotal.gatherers += in.oldSide[z].gatherers
		for k := range gaugeCount {
			newTotal.gauges[k] += in.newSide[z].gauges[k]
			oldTotal.gauges[k] += in.oldSide[z].gauges[k]
		}
	}
	if newTotal.gatherers == 0 || oldTotal.gatherers == 0 {
		return
	}
	newCount, oldCount := float64(newTotal.gatherers), float64(oldTotal.gatherers)
	for k := range gaugeCount {
		oldMean := max(oldTotal.gauges[k]/oldCount, 1e-9)
		value := newTotal.gauges[k]/newCount/oldMean - 1
		variation := gaugeVariation
		if g := &d.baseline.gauges[k]; g.n > 1 && g.mean > 0 {
			variation = max(variation, math.Sqrt(g.variance())/g.mean)
		}
		// Successive intervals are not independent samples, hence twice the standard deviation.
		stdDev := variation * math.Sqrt(1/newCount+1/oldCount) * 2
		c := &d.gauges[k]
		c.queries += newCount
		c.difference.add(value)
		c.harm.update(max(min((value-d.plan.ExtraCost/3)/stdDev, 1), -2))
	}
}
