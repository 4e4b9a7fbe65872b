package placement

import (
	"errors"
	"fmt"
)

// Violations returns all conflicts between a plan's weights and its model: hosts that do not hold the segment
// of a row, demand that is not fully distributed, and hosts or zones whose load exceeds their limit at the
// beginning of a step; after it, capacity only rises. The limits are not checked for infeasible cases, in
// which demand exceeds them.
func (p *Plan) Violations() []error {
	var violations []error
	for i := range p.Steps {
		c := newStepCheck(p, "", &p.Steps[i], nil)
		c.checkRows()
		c.checkLimits()
		violations = append(violations, c.violations...)
	}
	for i := range p.Cases {
		lossCase := &p.Cases[i]
		for j := range lossCase.Steps {
			step := lossCase.Steps[j]
			step.Rows = p.CaseRows(lossCase, step.From)
			c := newStepCheck(p, "case "+lossCase.Name+": ", &step, lossCase)
			c.checkRows()
			if lossCase.Infeasibility == nil {
				c.checkLimits()
			}
			violations = append(violations, c.violations...)
		}
	}
	return violations
}

// replica identifies the replica of a segment on a host.
type replica struct{ segment, host string }

// stepCheck checks one step's weights against the model. It shares no arithmetic with the solver.
type stepCheck struct {
	m          *Model
	prefix     string // prefix of each violation
	step       *Step
	lossCase   *Case // nil for the plan's own weights
	violations []error

	hosts     map[string]*Host
	capacity  map[string]int64 // safe capacity of each host
	replicas  map[replica]bool
	servable  map[string]bool // segments with at least one host that has capacity
	loads     map[string]int64
	zoneLoads map[string]int64
}

func newStepCheck(p *Plan, prefix string, step *Step, lossCase *Case) *stepCheck {
	c := &stepCheck{
		m: p.Model, prefix: prefix, step: step, lossCase: lossCase,
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
	if lossCase != nil {
		for _, host := range lossCase.LostHosts {
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
	c.violations = append(c.violations, errors.New(c.prefix+fmt.Sprintf(format, args...)))
}

// checkRows checks that each demand has a row, and that the weights of each row are for hosts of the segment
// and sum up to the demand.
func (c *stepCheck) checkRows() {
	demand := map[demandKey]int64{} // demand without a row so far
	for _, d := range c.m.Demands {
		demand[demandKey{d.Segment, d.Zone}] = d.Rate
	}
	for i := range c.step.Rows {
		r := &c.step.Rows[i]
		sum := c.addLoads(r)
		key := demandKey{r.Segment, r.Zone}
		mustBeServed := c.servable[r.Segment] || c.lossCase == nil
		if demanded := demand[key]; sum != demanded && mustBeServed {
			c.report("%s from %s: weights sum up to %d of %d units of demand",
				r.Segment, r.Zone, sum, demanded)
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
			c.report("%s from %s: the model has no host %s", r.Segment, r.Zone, w.Host)
			continue
		case !c.replicas[replica{r.Segment, w.Host}]:
			c.report("%s does not hold %s", w.Host, r.Segment)
		case w.Rate < 0:
			c.report("%s has the negative weight %d for %s", w.Host, w.Rate, r.Segment)
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
			c.report("%s gets %d units, more than its safe capacity of %d units", h.Name, load, capacity)
		}
	}
	for _, z := range c.m.Zones {
		load := c.zoneLoads[z.Name]
		if z.MaxLoad >= 0 && load > z.MaxLoad {
			c.report("hall %s gets %d units, more than its maximum load of %d units", z.Name, load, z.MaxLoad)
		}
		// A zone whose capacity is below its headroom may carry no load.
		headroom := max(float64(z.Headroom), float64(zoneCapacity[z.Name])*z.HeadroomShare-roundingError)
		if free := zoneCapacity[z.Name] - load; load > 0 && float64(free) < headroom {
			c.report("hall %s has %d of its %d units free, less than its headroom",
				z.Name, free, zoneCapacity[z.Name])
		}
	}
}
