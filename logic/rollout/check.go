package rollout

import (
	"fmt"
	"slices"
)

// PlanFault is a mistake in a plan.
type PlanFault struct {
	Directive string // that the mistake is in: stage, gatherer, out, harm and so on
	Index     int    // of the stage or gatherer, from 0; -1 where it is about none in particular
	Message   string
}

// Error implements error.
func (f PlanFault) Error() string { return f.Message }

// planChecker collects the mistakes of a plan.
type planChecker struct {
	*Plan
	faults []PlanFault
}

func (c *planChecker) add(directive string, index int, format string, args ...any) {
	c.faults = append(c.faults, PlanFault{directive, index, fmt.Sprintf(format, args...)})
}

// Check returns all mistakes of a plan that has its defaults.
func (p *Plan) Check() []PlanFault {
	c := &planChecker{Plan: p}
	c.checkGatherers()
	c.checkStages()
	c.checkUnavailability()
	c.checkLimits()
	return c.faults
}

func (c *planChecker) checkGatherers() {
	if len(c.Gatherers) < 2 {
		c.add("gatherer", -1, "names %d gatherers; a rollout in stages wants two at least", len(c.Gatherers))
	}
	seen := map[string]bool{}
	for i, g := range c.Gatherers {
		if seen[g.Name] {
			c.add("gatherer", i, "gatherer %s is named twice", g.Name)
		}
		seen[g.Name] = true
	}
}

func (c *planChecker) checkStages() {
	if len(c.Stages) == 0 {
		c.add("stage", -1, "has no stages; write stage NAME count 1, then wider ones")
	}
	zones := c.Zones()
	before := 0
	for i, s := range c.Stages {
		given := 0
		for _, is := range []bool{s.Count > 0, s.Share > 0, s.Zone != ""} {
			if is {
				given++
			}
		}
		switch {
		case given != 1:
			c.add("stage", i, "stage %s wants one of count, share and zone", s.Name)
			continue
		case s.Zone != "" && !slices.Contains(zones, s.Zone):
			c.add("stage", i, "stage %s: no gatherer is in the zone %s; there are %v",
				s.Name, s.Zone, zones)
			continue
		case s.Count > len(c.Gatherers):
			c.add("stage", i, "stage %s changes %d gatherers, there are %d",
				s.Name, s.Count, len(c.Gatherers))
			continue
		}
		size := len(c.Targets(i))
		if size <= before {
			c.add("stage", i, "stage %s comes to %d gatherers, the one before it to %d already: "+
				"stages have to grow",
				s.Name, size, before)
		}
		before = size
	}
}

func (c *planChecker) checkUnavailability() {
	if len(c.Gatherers) > 1 && c.MaxUnavailable >= len(c.Gatherers) {
		c.add("out", -1, "%d gatherers may be out at once, and there are %d: somebody has to serve",
			c.MaxUnavailable, len(c.Gatherers))
	}
	for _, zone := range c.Zones() {
		size := 0
		for _, g := range c.Gatherers {
			if g.Zone == zone {
				size++
			}
		}
		if size > 1 && c.MaxUnavailablePerZone >= size {
			c.add("out", -1, "%d gatherers of a zone may be out at once, and %s has %d",
				c.MaxUnavailablePerZone, zone, size)
		}
	}
}

func (c *planChecker) checkLimits() {
	for _, s := range c.Stages {
		if s.MinObservation > c.StageLimit {
			c.add("limit", -1, "a stage may last %.0f ms, and %s is watched for %.0f",
				c.StageLimit, s.Name, s.MinObservation)
		}
	}
	if c.StepTimeout > c.StageLimit {
		c.add("limit", -1, "a stage may last %.0f ms, and a gatherer may take %.0f to come up",
			c.StageLimit, c.StepTimeout)
	}
	if c.WarmUpHarm < c.Harm {
		c.add("harm", -1, "a fresh gatherer may lose %.3f of the value, "+
			"less than the %.3f that a warm one is stopped for", c.WarmUpHarm, c.Harm)
	}
}
