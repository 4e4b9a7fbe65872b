package balance

import (
	"errors"
	"slices"

	"yokeroute/gather"
	"yokeroute/logic/placement"
)

// ErrTimeout says that a solve ran out of its time before it had weights.
var ErrTimeout = errors.New("no weights in the time given")

// Solve works out a plan. Before is the plan in force, nil for none; more is asked between pieces of work and
// says whether there is time for another. Where nothing fits it gives the clash instead. Faults of the model
// come as an error. Cases are worked out last; those for which there was no time are named in the plan.
func Solve(m *placement.Model, before *placement.Plan, more func() bool) (
	*placement.Plan, *placement.Infeasibility, error) {
	if faults := m.Validate(); len(faults) > 0 {
		return nil, nil, faults[0]
	}
	m = m.Normalized()
	p := NewProblem(m)
	plan := &placement.Plan{Model: m}
	var units [][]int64
	if before != nil {
		units = p.Units(before.RowsAt(m.At))
	}
	for _, at := range m.StepTimes() {
		if !more() {
			return nil, nil, ErrTimeout
		}
		p.SetTime(at, nil)
		u, fits := p.MinUtilisation(false)
		if !fits {
			c := p.Infeasibility(at)
			p.AddRelaxations(c)
			return nil, c, nil
		}
		step := placement.Step{From: at, MaxUtilisation: u}
		units, step.Cost, step.Change = p.MinCost(u, false, units)
		step.Rows = p.Rows(units)
		if n := len(plan.Steps); n > 0 && sameRows(plan.Steps[n-1].Rows, step.Rows) {
			continue // the same weights, of hosts that can do more by now
		}
		plan.Steps = append(plan.Steps, step)
	}
	bases := [][][]int64{p.Units(plan.Steps[0].Rows)}
	if last := len(plan.Steps) - 1; last > 0 {
		bases = append(bases, p.Units(plan.Steps[last].Rows))
	}
	for _, loss := range foreseenFailures(m) {
		if !more() {
			plan.OmittedCases = append(plan.OmittedCases, loss.name)
			continue
		}
		plan.Cases = append(plan.Cases, p.solveCase(loss, plan, bases))
	}
	return plan, nil, nil
}

// failure is a set of hosts that may be lost at once.
type failure struct {
	name string
	lost []bool
}

// foreseenFailures are those that a plan is made ready for: each hall, either half of each hall's hosts, dealt out by
// turns in the order of their names so that neighbours part, and each host.
func foreseenFailures(m *placement.Model) []failure {
	var all []failure
	add := func(name string, lost func(i int) bool) {
		l := failure{name: name, lost: make([]bool, len(m.Hosts))}
		some := false
		for i := range m.Hosts {
			l.lost[i] = lost(i) && m.Hosts[i].State == gather.Running
			some = some || l.lost[i]
		}
		if some {
			all = append(all, l)
		}
	}
	for _, hall := range m.Zones {
		in, turn := make([]int, len(m.Hosts)), 0
		for i, h := range m.Hosts {
			if h.Zone == hall.Name && h.State == gather.Running {
				turn++
				in[i] = turn
			}
		}
		add("hall "+hall.Name, func(i int) bool { return in[i] > 0 })
		if turn > 1 {
			add("half of hall "+hall.Name+", first", func(i int) bool { return in[i]%2 == 1 })
			add("half of hall "+hall.Name+", second", func(i int) bool { return in[i] > 0 && in[i]%2 == 0 })
		}
	}
	for i := range m.Hosts {
		add("host "+m.Hosts[i].Name, func(j int) bool { return i == j })
	}
	return all
}

// solveCase works out a case, for the plan's first step and, where hosts warm up, for its last. What is safe at
// the first is safe later. Where demand does not fit any more, hosts are filled evenly beyond what they can
// do: who is refused then is not this plan's to say.
func (p *Problem) solveCase(l failure, plan *placement.Plan, bases [][][]int64) placement.Case {
	c := placement.Case{Name: l.name}
	for i, lost := range l.lost {
		if lost {
			c.LostHosts = append(c.LostHosts, p.model.Hosts[i].Name)
		}
	}
	for i, units := range bases {
		base := &plan.Steps[i*(len(plan.Steps)-1)] // the first, and then the last
		p.SetTime(base.From, l.lost)
		rows, total := slices.Clone(p.rows), p.demand
		for j, r := range p.rows {
			if !p.hasCapacity(r.segment) {
				p.rows[j].rate = 0
				p.demand -= r.rate
				if name := p.model.Segments[r.segment].Name; i == 0 && r.rate > 0 && !slices.Contains(c.UnservedSegments, name) {
					c.UnservedSegments = append(c.UnservedSegments, name)
				}
			}
		}
		u, fits := p.MinUtilisation(false)
		if !fits {
			if c.Infeasibility == nil {
				c.Infeasibility = p.Infeasibility(base.From)
			}
			u, _ = p.MinUtilisation(true)
		}
		step := placement.Step{From: base.From, MaxUtilisation: u}
		units, step.Cost, step.Change = p.MinCost(u, !fits, units)
		step.Rows = differingRows(p.Rows(units), base.Rows)
		c.Steps = append(c.Steps, step)
		p.rows, p.demand = rows, total
	}
	return c
}

// differingRows are the rows that are not the base's; both have the same rows in the same order.
func differingRows(rows, base []placement.Row) (few []placement.Row) {
	for i, r := range rows {
		if !slices.Equal(r.Weights, base[i].Weights) {
			few = append(few, r)
		}
	}
	return slices.Clip(few)
}

func sameRows(a, b []placement.Row) bool {
	return slices.EqualFunc(a, b, func(a, b placement.Row) bool { return slices.Equal(a.Weights, b.Weights) })
}

// Complete gives a plan that was read what it leaves out: rows that a case has alike with the plan, the
// groups of segments, and each step's utilisation and cost.
func Complete(p *placement.Plan) {
	problem := NewProblem(p.Model)
	complete := func(s *placement.Step, lost []string) [][]int64 {
		units := problem.Units(s.Rows)
		gone := make([]bool, len(p.Model.Hosts))
		for i, h := range p.Model.Hosts {
			gone[i] = slices.Contains(lost, h.Name)
		}
		problem.SetTime(s.From, gone)
		s.MaxUtilisation, s.Cost = problem.MaxUtilisation(problem.Loads(units)), problem.cost(units)
		return units
	}
	for i := range p.Steps {
		s := &p.Steps[i]
		s.Rows = problem.Rows(complete(s, nil))
	}
	for i := range p.Cases {
		c := &p.Cases[i]
		for j := range c.Steps {
			s := &c.Steps[j]
			base := p.RowsAt(s.From)
			byName := map[[2]string]placement.Row{}
			for _, r := range s.Rows {
				byName[[2]string{r.Segment, r.Zone}] = r
			}
			s.Rows = slices.Clone(base)
			for k, r := range base {
				if own, given := byName[[2]string{r.Segment, r.Zone}]; given {
					own.ReplicaSet = r.ReplicaSet
					s.Rows[k] = own
				}
			}
			s.Rows = differingRows(problem.Rows(complete(s, c.LostHosts)), base)
		}
	}
}

// cost is what a solution costs, in thousandths a second.
func (p *Problem) cost(units [][]int64) (cost int64) {
	for i, r := range p.rows {
		for j, h := range p.replicas[r.segment] {
			cost += units[i][j] * (p.zoneCosts[r.zone][p.zoneOf[h]] + p.model.Hosts[h].Cost)
		}
	}
	return cost
}
