package rollout

import (
	"fmt"
	"math"
)

// Disturbances: the old of a zone do worse than at the baseline, or many of its gatherers are not reachable.
// Nothing is held against the new meanwhile.
const (
	// disturbanceHold is for how long a zone still counts as disturbed after that, in milliseconds: old and
	// new may recover at different speeds without a fault of either.
	disturbanceHold = 10_000

	// disturbanceMargin is the least loss of value beyond the baseline's that counts.
	disturbanceMargin = 0.06

	// unreachableShare is the share of a zone's gatherers beyond which it counts.
	unreachableShare = 0.25
)

const (
	// minQueries is how many each side of a comparison needs for a difference to be roughly normal.
	minQueries = 8

	// minShardRequests is the same for attemptsPerRequest. Attempts are counted when they are sent and shard
	// requests when their query ends, so that an interval's end separates some of them.
	minShardRequests = 60

	// minVarianceRate is the least rate that a variance is computed from: a rare event that a short interval
	// has not shown is not impossible.
	minVarianceRate = 0.01

	// gaugeVariation is the least coefficient of variation of connections and memory between gatherers.
	gaugeVariation = 0.25
)

// comparison is the evidence about one metric of one class in one scope.
type comparison struct {
	harm       eProcess // against: the new are worse by no more than is tolerated
	harmless   eProcess // against: the new are worse by what has to be found
	queries    float64  // of the new, that went in
	difference welford  // for operators
}

// comparisonKey names a comparison, and the counts that are pending for it.
type comparisonKey struct {
	metric metric // metricCount for the lost value of one gatherer that warms up
	class  int
	scope  int // 0 for all zones, 1+zone for one; of a gatherer that warms up 1+zones+gatherer
}

// variantTally is one side of a comparison in a zone.
type variantTally struct {
	gatherers int
	classes   []tally
	gauges    [gaugeCount]float64 // sums
}

// interval is an observation sorted for comparison.
type interval struct {
	oldSide, newSide []variantTally // by zone
	warmingUp        []int          // gatherers that have just started as new
	unreachable      []float64      // by zone
	gatherers        []float64      // by zone
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

// compareVariants adds an interval's evidence. New and old are compared within a zone and an interval, so
// that what strikes both alike does not show.
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

// addSample adds a gatherer's sample to its side, or to none.
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
	// An interval that contains the change of a gatherer belongs to neither side. The exception is the
	// report of its new process, which covers its own first seconds and nothing else.
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
	case warmingUp && s.Uptime < o.Now-d.baseline.startedAt: // an old one that was restarted warms up as well
		return
	}
	side.gatherers++
	for class := range min(len(d.plan.Classes), len(s.Classes)) {
		side.classes[class].add(&s.Classes[class], d.baseline.latencyLimits[class])
	}
	side.gauges[openConnections] += s.Connections
	side.gauges[residentMemory] += s.Memory
}

// updateDisturbance finds the zones that are disturbed, and since when any is and by what.
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

// disturbanceOf returns by what a zone is disturbed, empty where it is not.
func (d *Decider) disturbanceOf(zone int, in *interval) string {
	if d.losesMore(zone, &in.oldSide[zone]) {
		return "the old do worse as well"
	}
	if in.unreachable[zone] > unreachableShare*in.gatherers[zone] {
		return fmt.Sprintf("%.0f of %.0f gatherers of the zone %s are not reached",
			in.unreachable[zone], in.gatherers[zone], d.zoneNames[zone])
	}
	return ""
}

// losesMore reports whether the old of a zone lose more value than they did.
func (d *Decider) losesMore(zone int, olds *variantTally) bool {
	for class := range olds.classes {
		now, before := &olds.classes[class], &d.baseline.lossByZone[zone][class]
		if now.total[lostValue] < minQueries || before.n < 2 {
			continue
		}
		const minLoss = 0.02 // that the noise is computed from
		noise := math.Sqrt(rateVariance(lostValue, max(before.mean, minLoss)) / now.total[lostValue])
		margin := max(disturbanceMargin, 4*max(noise, math.Sqrt(before.variance())))
		if now.rate(lostValue) > before.mean+margin {
			return true
		}
	}
	return false
}

// compareMetric compares new and old in one metric, zone by zone and over all zones.
func (d *Decider) compareMetric(in *interval, o *Observation, class int, m metric) {
	isNew := func(g int) bool { return o.Gatherers[g].Reachable && o.Gatherers[g].Variant == New }
	isOld := func(g int) bool { return o.Gatherers[g].Reachable && o.Gatherers[g].Variant == Old }
	offset, offsetError := d.baseline.offset(class, m, isNew, isOld)
	// What a version costs the servers shows under disturbances above all, and is no one else's doing.
	isCost := m == extraAttempts || m == attemptsPerRequest
	var differences []difference
	for z := range in.disturbed {
		if in.disturbed[z] && !isCost {
			continue
		}
		older, zoneOffset, zoneError := &in.oldSide[z].classes[class], offset, offsetError
		if in.oldSide[z].gatherers == 0 && in.newSide[z].gatherers > 0 {
			var found bool
			if older, found = in.oldOfOtherZones(z, class); !found {
				continue
			}
			zoneOffset, zoneError = d.baseline.offset(class, m,
				func(g int) bool { return isNew(g) && d.zoneOf[g] == z },
				func(g int) bool { return isOld(g) && d.zoneOf[g] != z })
			zoneError += d.stageThresholds(m).detectable / 2
		}
		key := comparisonKey{m, class, 1 + z}
		if diff, ok := d.nextDifference(key, &in.newSide[z].classes[class], older); ok {
			d.updateComparison(key, zoneOffset, zoneError, diff)
			diff.value += offset - zoneOffset // the offset over all zones is subtracted from the pooled one
			differences = append(differences, diff)
		}
	}
	if len(differences) > 0 {
		d.updateComparison(comparisonKey{m, class, 0}, offset, offsetError, pooledDifference(differences))
	}
}

// oldOfOtherZones sums up the old of the other zones, for a zone that has none left. It is compared with
// them by how much both have changed since the baseline; what strikes one zone alone is allowed for by a
// wider error, and disturbed zones are left out.
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

// compareWarmUps compares the lost value of gatherers that have just started as new, one by one: each start
// is an event of its own, and there are few.
func (d *Decider) compareWarmUps(in *interval, o *Observation, class int) {
	for _, g := range in.warmingUp {
		z, s := d.zoneOf[g], &o.Gatherers[g]
		if in.disturbed[z] || class >= len(s.Classes) {
			continue
		}
		var own tally
		own.add(&s.Classes[class], d.baseline.latencyLimits[class])
		key := comparisonKey{metricCount, class, 1 + len(d.zoneNames) + g}
		if diff, ok := d.nextDifference(key, &own, &in.oldSide[z].classes[class]); ok {
			c := &d.warmUps[class]
			c.queries += diff.queries
			c.difference.add(diff.value)
			c.harm.update((diff.value - d.plan.WarmUpHarm) / diff.stdDev)
		}
	}
}

// difference is a difference of new and old, and how many queries of the new it is from.
type difference struct{ value, stdDev, queries float64 }

// nextDifference adds counts of an interval, and returns the difference of new and old once there are enough
// of both.
func (d *Decider) nextDifference(k comparisonKey, newer, older *tally) (difference, bool) {
	m := k.metric
	if m == metricCount {
		m = lostValue
	}
	pending := d.pending[k]
	if pending == nil {
		pending = &[2]tally{}
		d.pending[k] = pending
	}
	if newer.total[m] == 0 || older.total[m] == 0 {
		return difference{}, false
	}
	for side, t := range [2]*tally{newer, older} {
		pending[side].put(m, t.total[m], t.events[m])
	}
	news, olds := pending[0], pending[1]
	enough := float64(minQueries)
	if m == attemptsPerRequest {
		enough = minShardRequests
	}
	if news.total[m] < enough || olds.total[m] < enough {
		return difference{}, false
	}
	*pending = [2]tally{}
	value := news.rate(m) - olds.rate(m)
	if m == attemptsPerRequest {
		value /= max(d.baseline.attemptsPerRequest[k.class], 1e-9)
	}
	pooled := (news.events[m] + olds.events[m]) / (news.total[m] + olds.total[m])
	variance := rateVariance(m, max(pooled, minVarianceRate)) * d.baseline.overdispersionOf(k.class, m)
	stdDev := math.Sqrt(variance * (1/news.total[m] + 1/olds.total[m]))
	return difference{value, stdDev, news.total[m]}, true
}

// pooledDifference is the difference over several zones, weighted by the inverse of their variances.
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

// updateComparison adds a difference to both questions: whether the new are worse by more than is tolerated,
// and whether they are worse by less than has to be found. The offset and its standard error are the
// gatherers' own difference at the baseline.
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
	// Two standard errors of the offset are tolerated too. One makes harm be found sooner, but no sooner
	// than at half of what has to be found.
	c.harm.update((value - t.tolerated - 2*offsetError) / diff.stdDev)
	c.harmless.update((max(t.detectable-offsetError, t.detectable/2) - value) / diff.stdDev)
}

// stageThresholds are a metric's thresholds at this stage. What has to be found is what would harm as many
// queries at the next stage as the plan's harm would in the whole fleet: one gatherer shows a great harm
// soon and a small one never, and a small one does little before a stage that can show it.
func (d *Decider) stageThresholds(m metric) thresholds {
	t := d.plan.thresholds(m)
	t.detectable = max(t.detectable, min(t.detectable/d.nextStageShare(), d.widestThreshold(m)))
	return t
}

// nextStageShare is the share of the fleet that the next stage changes.
func (d *Decider) nextStageShare() float64 {
	if next := d.position.Stage + 1; next < len(d.targets) {
		return float64(len(d.targets[next])) / float64(len(d.plan.Gatherers))
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

// stageTooSmallFor reports whether a stage is too small to need proof in a metric that costs nobody anything
// by itself: a gatherer's own differences are as large there.
func (d *Decider) stageTooSmallFor(m metric) bool {
	const rounding = 1.001
	return d.plan.thresholds(m).detectable/d.nextStageShare() > rounding*d.widestThreshold(m)
}

// compareGauges compares connections and memory of an average gatherer, relative to the old ones'.
func (d *Decider) compareGauges(in *interval) {
	var news, olds variantTally
	for z := range in.oldSide {
		news.gatherers += in.newSide[z].gatherers
		olds.gatherers += in.oldSide[z].gatherers
		for k := range gaugeCount {
			news.gauges[k] += in.newSide[z].gauges[k]
			olds.gauges[k] += in.oldSide[z].gauges[k]
		}
	}
	if news.gatherers == 0 || olds.gatherers == 0 {
		return
	}
	newCount, oldCount := float64(news.gatherers), float64(olds.gatherers)
	for k := range gaugeCount {
		usual := max(olds.gauges[k]/oldCount, 1e-9)
		value := news.gauges[k]/newCount/usual - 1
		variation := gaugeVariation
		if g := &d.baseline.gauges[k]; g.n > 1 && g.mean > 0 {
			variation = max(variation, math.Sqrt(g.variance())/g.mean)
		}
		// Intervals follow each other and are no independent draws, hence twice the deviation.
		stdDev := variation * math.Sqrt(1/newCount+1/oldCount) * 2
		c := &d.gauges[k]
		c.queries += newCount
		c.difference.add(value)
		c.harm.update(max(min((value-d.plan.ExtraCost/3)/stdDev, 1), -2))
	}
}
