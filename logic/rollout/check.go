package rollout

import (
	"fmt"
	"slices"
)

// PlanFault describes a mistake in a plan.
type PlanFault struct {
	Directive string // the directive with the mistake: stage, gatherer, out, harm and so on
	Index     int    // index of the stage or gatherer, from 0; -1 if the mistake concerns no single one
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

// Check returns all mistakes in a plan, which has to have its defaults.
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
		c.add("gatherer", -1, "names %d gatherers; a rollout in stages needs at least two", len(c.Gatherers))
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
		c.add("stage", -1, "has no stages; write stage NAME count 1, then larger ones")
	}
	zones := c.Zones()
	previousSize := 0
	for i, s := range c.Stages {
		criteria := 0
		for _, isSet := range []bool{s.Count > 0, s.Share > 0, s.Zone != ""} {
			if isSet {
				criteria++
			}
		}
		switch {
		case criteria != 1:
			c.add("stage", i, "stage %s needs exactly one of count, share and zone", s.Name)
			continue
		case s.Zone != "" && !slices.Contains(zones, s.Zone):
			c.add("stage", i, "stage %s: no gatherer is in the zone %s; the zones are %v",
				s.Name, s.Zone, zones)
			continue
		case s.Count > len(c.Gatherers):
			c.add("stage", i, "stage %s changes %d gatherers, and there are only %d",
				s.Name, s.Count, len(c.Gatherers))
			continue
		}
		size := len(c.Targets(i))
		if size <= previousSize {
			c.add("stage", i, "stage %s comes to %d gatherers, the one before it to %d already: "+
				"each stage has to be larger than the one before it",
				s.Name, size, previousSize)
		}
		previousSize = size
	}
}

func (c *planChecker) checkUnavailability() {
	if len(c.Gatherers) > 1 && c.MaxUnavailable >= len(c.Gatherers) {
		c.add("out", -1, "%d gatherers may be out at once, and there are %d: at least one has to serve",
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
			c.add("out", -1, "%d gatherers of a zone may be out at once, and the zone %s has %d: "+
				"at least one has to serve", c.MaxUnavailablePerZone, zone, size)
		}
	}
}

func (c *planChecker) checkLimits() {
	for _, s := range c.Stages {
		if s.MinObservation > c.StageLimit {
			c.add("limit", -1, "a stage may last %.0f ms, and stage %s has to be observed for %.0f ms",
				c.StageLimit, s.Name, s.MinObservation)
		}
	}
	if c.StepTimeout > c.StageLimit {
		c.add("limit", -1, "a stage may last %.0f ms, and a gatherer may take %.0f ms to start",
			c.StageLimit, c.StepTimeout)
	}
	if c.WarmUpHarm < c.Harm {
		c.add("harm", -1, "a gatherer that is warming up may lose %.3f of the value, "+
			"less than the %.3f that is harm in one that has warmed up", c.WarmUpHarm, c.Harm)
	}
}
