package placement

import (
	"errors"
	"fmt"
)

// Violations returns all that is wrong with a plan's weights by its own model: hosts that do not hold a row's
// segment, demand that is not fully distributed, and hosts or zones that get more than they can take at any
// moment from the beginning of a step on. Cases for which demand does not fit are not held to the limits.
func (p *Plan) Violations() []error {
	var violations []error
	for i := range p.Steps {
		c := newStepCheck(p, "", &p.Steps[i], nil)
		c.checkRows()
		c.checkLimits()
		violations = append(violations, c.violations...)
	}
	for i := range p.Cases {
		failure := &p.Cases[i]
		for j := range failure.Steps {
			step := failure.Steps[j]
			step.Rows = p.CaseRows(failure, step.From)
			c := newStepCheck(p, "case "+failure.Name+": ", &step, failure)
			c.checkRows()
			if failure.Infeasibility == nil {
				c.checkLimits()
			}
			violations = append(violations, c.violations...)
		}
	}
	return violations
}

// replica is a segment on a host.
type replica struct{ segment, host string }

// stepCheck checks one step's weights against the model. It shares no arithmetic with the solver.
type stepCheck struct {
	m          *Model
	where      string // before each violation
	step       *Step
	failure    *Case // nil for the plan's own weights
	violations []error

	hosts     map[string]*Host
	capacity  map[string]int64 // of each host
	replicas  map[replica]bool
	servable  map[string]bool // segments of which a host can take something
	loads     map[string]int64
	zoneLoads map[string]int64
}

func newStepCheck(p *Plan, where string, step *Step, failure *Case) *stepCheck {
	c := &stepCheck{
		m: p.Model, where: where, step: step, failure: failure,
		hosts:     map[string]*Host{},
		capacity:  map[string]int64{},
		replicas:  map[replica]bool{},
		servable:  map[string]bool{},
		loads:     map[string]int64{},
		zoneLoads: map[string]int64{},
	}
	for i := range c.m.Hosts {
		h := &c.m.Hosts[i]
		c.hosts[h.Name] = h
		c.capacity[h.Name] = c.m.SafeCapacity(h, step.From)
	}
	if failure != nil {
		for _, host := range failure.LostHosts {
			c.capacity[host] = 0
		}
	}
	for _, s := range c.m.Segments {
		for _, host := range s.Hosts {
			c.replicas[replica{s.Name, host}] = true
			c.servable[s.Name] = c.servable[s.Name] || c.capacity[host] > 0
		}
	}
	return c
}

func (c *stepCheck) report(format string, args ...any) {
	c.violations = append(c.violations, errors.New(c.where+fmt.Sprintf(format, args...)))
}

// checkRows checks that each demand has a row, and that its weights go to hosts of the segment and sum up to
// it.
func (c *stepCheck) checkRows() {
	demand := map[demandKey]int64{} // without a row so far
	for _, d := range c.m.Demands {
		demand[demandKey{d.Segment, d.Zone}] = d.Rate
	}
	for i := range c.step.Rows {
		r := &c.step.Rows[i]
		sum := c.addLoads(r)
		key := demandKey{r.Segment, r.Zone}
		isDue := c.servable[r.Segment] || c.failure == nil
		if want := demand[key]; sum != want && isDue {
			c.report("%s from %s: %d of %d units are shared out", r.Segment, r.Zone, sum, want)
		}
		delete(demand, key)
	}
	for _, d := range c.m.Demands {
		if demand[demandKey{d.Segment, d.Zone}] > 0 {
			c.report("%s from %s has no weights", d.Segment, d.Zone)
		}
	}
}

// addLoads adds a row's weights to the loads of hosts and zones, and returns their sum.
func (c *stepCheck) addLoads(r *Row) (sum int64) {
	for _, w := range r.Weights {
		host := c.hosts[w.Host]
		switch {
		case host == nil:
			c.report("%s from %s: no host %s", r.Segment, r.Zone, w.Host)
			continue
		case !c.replicas[replica{r.Segment, w.Host}]:
			c.report("%s does not hold %s", w.Host, r.Segment)
		case w.Rate < 0:
			c.report("%s gets %d of %s", w.Host, w.Rate, r.Segment)
		}
		sum += w.Rate
		c.loads[w.Host] += w.Rate
		c.zoneLoads[host.Zone] += w.Rate
	}
	return sum
}

// checkLimits checks the loads against the limits of hosts and zones.
func (c *stepCheck) checkLimits() {
	zoneCapacity := map[string]int64{}
	for i := range c.m.Hosts {
		h := &c.m.Hosts[i]
		capacity := c.capacity[h.Name]
		zoneCapacity[h.Zone] += capacity
		if load := c.loads[h.Name]; load > capacity {
			c.report("%s gets %d of the %d units that it can take", h.Name, load, capacity)
		}
	}
	for _, z := range c.m.Zones {
		load := c.zoneLoads[z.Name]
		if z.MaxLoad >= 0 && load > z.MaxLoad {
			c.report("hall %s gets %d of its %d units at most", z.Name, load, z.MaxLoad)
		}
		// A zone whose capacity is under its headroom may carry nothing.
		headroom := max(float64(z.Headroom), float64(zoneCapacity[z.Name])*z.HeadroomShare-roundingError)
		if free := zoneCapacity[z.Name] - load; load > 0 && float64(free) < headroom {
			c.report("hall %s has %d of its %d units free, less than it is to keep",
				z.Name, free, zoneCapacity[z.Name])
		}
	}
}
