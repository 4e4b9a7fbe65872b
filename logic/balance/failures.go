package balance

import (
	"slices"

	"yokeroute/gather"
	"yokeroute/logic/placement"
)

// failure is a set of hosts that may be lost at the same time.
type failure struct {
	name string
	lost []bool
}

// foreseenFailures returns the failures that a plan is prepared for: each zone, either half of each zone's
// hosts, and each single host. Hosts alternate between the halves in the order of their names, so that hosts
// with adjacent names are in different halves.
func foreseenFailures(m *placement.Model) []failure {
	var failures []failure
	add := func(name string, isLost func(host int) bool) {
		f := failure{name: name, lost: make([]bool, len(m.Hosts))}
		for i := range m.Hosts {
			f.lost[i] = isLost(i) && m.Hosts[i].State == gather.Running
		}
		if slices.Contains(f.lost, true) {
			failures = append(failures, f)
		}
	}
	for i := range m.Zones {
		zone := m.Zones[i].Name
		numbers, count := numberHosts(m, zone)
		add("hall "+zone, func(h int) bool { return numbers[h] > 0 })
		if count > 1 {
			add("half of hall "+zone+", first", func(h int) bool { return numbers[h]%2 == 1 })
			add("half of hall "+zone+", second", func(h int) bool {
				return numbers[h] > 0 && numbers[h]%2 == 0
			})
		}
	}
	for i := range m.Hosts {
		add("host "+m.Hosts[i].Name, func(h int) bool { return h == i })
	}
	return failures
}

// numberHosts numbers the running hosts of a zone from 1. All other hosts have the number 0.
func numberHosts(m *placement.Model, zone string) (numbers []int, count int) {
	numbers = make([]int, len(m.Hosts))
	for i := range m.Hosts {
		if m.Hosts[i].Zone == zone && m.Hosts[i].State == gather.Running {
			count++
			numbers[i] = count
		}
	}
	return numbers, count
}

// baseline is a step of the plan. The weights of cases are chosen to differ from it as little as possible.
type baseline struct {
	step  *placement.Step
	units [][]int64
}

// solveCase computes a case, for the plan's first step and, if hosts are warming up, for its last step.
// Weights that are safe at the first step are also safe later. If demand no longer fits, hosts are filled
// evenly beyond their capacity, since a plan does not decide which queries are rejected.
func (p *Problem) solveCase(f failure, baselines []baseline) placement.Case {
	c := placement.Case{Name: f.name}
	for i, isLost := range f.lost {
		if isLost {
			c.LostHosts = append(c.LostHosts, p.model.Hosts[i].Name)
		}
	}
	for i, base := range baselines {
		p.SetTime(base.step.From, f.lost)
		rows := slices.Clone(p.rows)
		demand := p.demand
		unserved := p.dropUnserved()
		if i == 0 {
			c.UnservedSegments = unserved
		}
		u, fits := p.MinUtilisation(false)
		if !fits {
			if c.Infeasibility == nil {
				c.Infeasibility = p.Infeasibility(base.step.From)
			}
			u, _ = p.MinUtilisation(true)
		}
		step := placement.Step{From: base.step.From, MaxUtilisation: u}
		var units [][]int64
		units, step.Cost, step.Change = p.MinCost(u, !fits, base.units)
		step.Rows = differingRows(p.Rows(units), base.step.Rows)
		c.Steps = append(c.Steps, step)
		p.rows = rows
		p.demand = demand
	}
	return c
}

// dropUnserved removes the demand for segments without any host that has capacity, and returns the names of
// those that had demand.
func (p *Problem) dropUnserved() (segments []string) {
	for i, r := range p.rows {
		if p.hasCapacity(r.segment) {
			continue
		}
		p.rows[i].rate = 0
		p.demand -= r.rate
		name := p.model.Segments[r.segment].Name
		if r.rate > 0 && !slices.Contains(segments, name) {
			segments = append(segments, name)
		}
	}
	return segments
}

// differingRows returns the rows whose weights differ from those in base. Rows and base list the same
// segments and zones in the same order.
func differingRows(rows, base []placement.Row) (differing []placement.Row) {
	for i := range rows {
		if !slices.Equal(rows[i].Weights, base[i].Weights) {
			differing = append(differing, rows[i])
		}
	}
	return slices.Clip(differing)
}
