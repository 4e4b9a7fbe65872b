package rollout

import (
	"fmt"
	"math"
)

const (
	// suspicionBar is the log evidence of harm from which the next steps are taken with care: twice as likely
	// as not. A version that harms only while it warms up would otherwise be started at a whole stage before
	// the first one has shown it, and one whose processes end would pass a stage between two ends.
	suspicionBar = 0.69

	// likelyHarmBar is the log evidence of harm with which no stage is passed: ten times likelier than not.
	// Harmlessness is asked for over all zones together, where harm to one of them looks small. A harmless
	// version reaches the bar in a tenth of the cases at most, and falls below it again.
	likelyHarmBar = 2.3
)

// suspectsWarmUpHarm reports whether gatherers that have just started as new look worse than is tolerated,
// unproved.
func (d *Decider) suspectsWarmUpHarm() bool {
	for class := range d.warmUps {
		if c := &d.warmUps[class]; c.queries > 0 && c.harm.logValue() > suspicionBar {
			return true
		}
	}
	return false
}

// hypotheses is how many are tested in all stages of a rollout. The chance of stopping a good version is
// divided among them (Bonferroni).
func (d *Decider) hypotheses() float64 {
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

// provenHarm returns what the new do worse, empty where nothing is proved.
func (d *Decider) provenHarm() string {
	if d.baseline == nil || !d.baseline.complete {
		return ""
	}
	worst, reason := d.strongestEvidence(math.Log(d.hypotheses() / d.plan.FalseStopRate))
	for class, name := range d.plan.Classes {
		if c := &d.warmUps[class]; c.harm.logValue() > worst {
			worst = c.harm.logValue()
			reason = fmt.Sprintf("index %s: gatherers that have just started as new "+
				"lose %.1f points more of the value than the old, over %.0f lookups",
				name, 100*c.difference.mean, c.queries)
		}
	}
	if d.exits.ratio.logValue > worst {
		reason = "new gatherers' processes end by themselves more often than the old ones'"
	}
	return reason
}

// strongestEvidence returns the strongest log evidence beyond a bar that new gatherers which have warmed up
// do worse, and in what; the bar itself and no reason where there is none.
func (d *Decider) strongestEvidence(bar float64) (worst float64, reason string) {
	worst = bar
	for class := range d.plan.Classes {
		for m := range metricCount {
			for scope := range len(d.zoneNames) + 1 {
				if scope == 1 && len(d.zoneNames) == 1 {
					break // the one zone is all of them
				}
				c := d.comparisons[comparisonKey{m, class, scope}]
				if c == nil {
					continue
				}
				if evidence := c.harm.logValue(); evidence > worst {
					worst = evidence
					reason = d.describeHarm(c, comparisonKey{m, class, scope})
				}
			}
		}
	}
	for k := range gaugeCount {
		if c := &d.gauges[k]; c.harm.logValue() > worst {
			worst = c.harm.logValue()
			reason = d.describeGauge(k)
		}
	}
	return worst, reason
}

func (d *Decider) describeHarm(c *comparison, k comparisonKey) string {
	where := ""
	if k.scope > 0 {
		where = " in zone " + d.zoneNames[k.scope-1]
	}
	return fmt.Sprintf("index %s%s: the new %s than the old: %s, over %.0f of its lookups",
		d.plan.Classes[k.class], where, metricFindings[k.metric],
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

// requiredMetrics are those in which harmlessness has to be shown before a stage is passed, as operators
// read them.
var requiredMetrics = []struct {
	metric metric
	name   string
}{
	{lostValue, "value"},
	{extraAttempts, "further calls"},
	{attemptsPerRequest, "part calls"},
	{latencyTail, "the slow tail"},
}

// missingEvidence returns what is lacking for the stage to be passed, empty where nothing is.
func (d *Decider) missingEvidence(o *Observation) string {
	if d.evaluatingSince == 0 {
		return "not all of it serve as new yet"
	}
	minObservation := d.plan.Stages[d.position.Stage].MinObservation
	if left := minObservation - (o.Now - d.evaluatingSince); left > 0 {
		return fmt.Sprintf("all of it serve as new; watched for %.0f s more%s", left/1000, d.exits.describe())
	}
	if d.disturbedSince > 0 {
		return fmt.Sprintf("%s, since %.0f s ago: nobody is blamed or passed meanwhile",
			d.disturbance, (o.Now-d.disturbedSince)/1000)
	}
	if olds, _ := o.countVariants(); olds == 0 { // nothing is left to compare with
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
	if _, reason := d.strongestEvidence(likelyHarmBar); reason != "" {
		return "watched until it is told whether this is so: " + reason
	}
	maxDifference := max(d.plan.ExtraCost, d.stageThresholds(attemptsPerRequest).detectable)
	for k := range gaugeCount {
		if c := &d.gauges[k]; c.queries > 0 && c.difference.mean > maxDifference {
			return d.describeGauge(k)
		}
	}
	return ""
}

// missingClassEvidence is missingEvidence for one class.
func (d *Decider) missingClassEvidence(class int) string {
	name := d.plan.Classes[class]
	bar := math.Log(1 / d.plan.FalsePassRate)
	for _, required := range requiredMetrics {
		m := required.metric
		if m == latencyTail && (!d.baseline.hasLatencies(class) || d.stageTooSmallFor(m)) {
			continue
		}
		c := d.comparisons[comparisonKey{m, class, 0}]
		switch {
		case c == nil:
			return fmt.Sprintf("index %s: no lookups yet by which new and old can be compared", name)
		case m == lostValue && c.queries < d.plan.MinQueries:
			return fmt.Sprintf("index %s: %.0f lookups at the new so far, %.0f are wanted", name, c.queries,
				d.plan.MinQueries)
		case c.harmless.logValue() < bar:
			return fmt.Sprintf("index %s: it cannot be told yet that the new do not do worse by %s (%s): "+
				"%s over %.0f lookups",
				name, formatDifference(m, d.stageThresholds(m).detectable), required.name,
				formatDifference(m, c.difference.mean), c.queries)
		}
	}
	return ""
}
