package rollout

import (
	"fmt"
	"math"
)

const (
	// suspicionThreshold is the log evidence of harm (twice as likely as not) above which a rollout becomes
	// cautious: gatherers are changed one at a time, or exits restart the observation time. Otherwise a
	// version that harms only while it warms up would be started on a whole stage before the first gatherer
	// has shown the harm, and one whose processes keep exiting would pass a stage between two exits.
	suspicionThreshold = 0.69

	// likelyHarmThreshold is the log evidence of harm (ten times likelier than not) above which no stage is
	// passed. It is needed because harmlessness has to be shown over all zones together only, where harm to
	// a single zone looks small. A harmless version reaches the threshold in at most a tenth of the cases,
	// and falls below it again.
	likelyHarmThreshold = 2.3
)

// suspectsWarmUpHarm reports whether new gatherers that are warming up seem to lose more value than is
// tolerated, though that is not proved yet.
func (d *Decider) suspectsWarmUpHarm() bool {
	for class := range d.warmUps {
		if c := &d.warmUps[class]; c.queries > 0 && c.harm.logValue() > suspicionThreshold {
			return true
		}
	}
	return false
}

// countHypotheses returns the number of hypotheses that all stages of a rollout test together. The accepted
// probability of stopping a good version is divided among them (Bonferroni correction).
func (d *Decider) countHypotheses() float64 {
	evaluated := 0
	for class := range d.plan.Classes {
		if d.baseline.classShare[class] >= d.plan.MinClassShare {
			evaluated++
		}
	}
	scopes := len(d.zoneNames) + 1
	if len(d.zoneNames) == 1 {
		scopes = 1
	}
	const warmUps, exits = 1, 1
	inStage := evaluated*(int(metricCount)*scopes+warmUps) + int(gaugeCount) + exits
	return float64(max(inStage, 1) * len(d.plan.Stages))
}

// provenHarm describes in what the new version is proved to be worse, empty if nothing is proved.
func (d *Decider) provenHarm() string {
	if d.baseline == nil || !d.baseline.complete {
		return ""
	}
	strongest, reason := d.strongestEvidence(math.Log(d.countHypotheses() / d.plan.FalseStopRate))
	for class, name := range d.plan.Classes {
		if c := &d.warmUps[class]; c.harm.logValue() > strongest {
			strongest = c.harm.logValue()
			reason = fmt.Sprintf("index %s: gatherers that have just started as new "+
				"lose %.1f points more of the value than the old, over %.0f lookups",
				name, 100*c.difference.mean, c.queries)
		}
	}
	if d.exits.ratio.logValue > strongest {
		reason = "new gatherers' processes end by themselves more often than the old ones'"
	}
	return reason
}

// strongestEvidence returns the strongest log evidence above a threshold that new gatherers which have warmed
// up are worse, and describes in what. If none exceeds the threshold, it returns the threshold and no reason.
func (d *Decider) strongestEvidence(threshold float64) (strongest float64, reason string) {
	strongest = threshold
	for class := range d.plan.Classes {
		for m := range metricCount {
			for scope := range len(d.zoneNames) + 1 {
				if scope == 1 && len(d.zoneNames) == 1 {
					break // with a single zone, scope 0 covers it already
				}
				c := d.comparisons[comparisonKey{m, class, scope}]
				if c == nil {
					continue
				}
				if logEvidence := c.harm.logValue(); logEvidence > strongest {
					strongest = logEvidence
					reason = d.describeHarm(c, comparisonKey{m, class, scope})
				}
			}
		}
	}
	for k := range gaugeCount {
		if c := &d.gauges[k]; c.harm.logValue() > strongest {
			strongest = c.harm.logValue()
			reason = d.describeGauge(k)
		}
	}
	return strongest, reason
}

func (d *Decider) describeHarm(c *comparison, k comparisonKey) string {
	inZone := ""
	if k.scope > 0 {
		inZone = " in zone " + d.zoneNames[k.scope-1]
	}
	return fmt.Sprintf("index %s%s: the new version %s than the old one: %s, over %.0f of its lookups",
		d.plan.Classes[k.class], inZone, metricFindings[k.metric],
		formatDifference(k.metric, c.difference.mean), c.queries)
}

func (d *Decider) describeGauge(k gauge) string {
	return fmt.Sprintf("a new gatherer %s than an old one: %+.0f%%",
		gaugeFindings[k], 100*d.gauges[k].difference.mean)
}

func formatDifference(m metric, value float64) string {
	if m == attemptsPerRequest {
		return fmt.Sprintf("%+.0f%%", 100*value)
	}
	return fmt.Sprintf("%+.1f points", 100*value)
}

// requiredMetrics lists the metrics in which harmlessness has to be shown before a stage is passed, with
// their names for operators.
var requiredMetrics = []struct {
	metric metric
	name   string
}{
	{lostValue, "value"},
	{extraAttempts, "further calls"},
	{attemptsPerRequest, "part calls"},
	{latencyTail, "the slow tail"},
}

// missingEvidence describes what still keeps the stage from being passed, empty if nothing does.
func (d *Decider) missingEvidence(o *Observation) string {
	if d.evaluatingSince == 0 {
		return "not all of its gatherers serve as new yet"
	}
	minObservation := d.plan.Stages[d.position.Stage].MinObservation
	if left := minObservation - (o.Now - d.evaluatingSince); left > 0 {
		return fmt.Sprintf("all of its gatherers serve as new; observed for %.0f s more%s",
			left/1000, d.exits.describe())
	}
	if d.disturbedSince > 0 {
		return fmt.Sprintf("%s, since %.0f s ago: no comparison and no next stage meanwhile",
			d.disturbance, (o.Now-d.disturbedSince)/1000)
	}
	if oldCount, _ := o.countVariants(); oldCount == 0 { // nothing is left to compare with
		return ""
	}
	for class := range d.plan.Classes {
		if d.baseline.classShare[class] < d.plan.MinClassShare {
			continue
		}
		if lacking := d.missingClassEvidence(class); lacking != "" {
			return lacking
		}
	}
	if _, reason := d.strongestEvidence(likelyHarmThreshold); reason != "" {
		return "observed until this is confirmed or ruled out: " + reason
	}
	maxDifference := max(d.plan.ExtraCost, d.stageThresholds(attemptsPerRequest).detectable)
	for k := range gaugeCount {
		if c := &d.gauges[k]; c.queries > 0 && c.difference.mean > maxDifference {
			return d.describeGauge(k)
		}
	}
	return ""
}

// missingClassEvidence describes the evidence about one class that is still missing, empty if none is.
func (d *Decider) missingClassEvidence(class int) string {
	name := d.plan.Classes[class]
	threshold := math.Log(1 / d.plan.FalsePassRate)
	for _, required := range requiredMetrics {
		m := required.metric
		if m == latencyTail && (!d.baseline.hasLatencies(class) || d.stageTooSmallFor(m)) {
			continue
		}
		c := d.comparisons[comparisonKey{m, class, 0}]
		switch {
		case c == nil:
			return fmt.Sprintf("index %s: no lookups yet to compare new and old gatherers by", name)
		case m == lostValue && c.queries < d.plan.MinQueries:
			return fmt.Sprintf("index %s: %.0f lookups at new gatherers so far, %.0f are required",
				name, c.queries, d.plan.MinQueries)
		case c.harmless.logValue() < threshold:
			return fmt.Sprintf("index %s: not yet shown that new gatherers are not worse by %s (%s): "+
				"%s over %.0f lookups",
				name, formatDifference(m, d.stageThresholds(m).detectable), required.name,
				formatDifference(m, c.difference.mean), c.queries)
		}
	}
	return ""
}
