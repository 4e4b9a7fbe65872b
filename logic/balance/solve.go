package balance

import (
	"errors"
	"slices"

	"yokeroute/logic/placement"
)

// ErrTimeout is returned if the time runs out before the weights of all steps are computed.
var ErrTimeout = errors.New("time ran out before weights for all steps were computed")

// Solve computes a plan. InForce is the plan in force, nil for none. HasTime is called between pieces of work
// and reports whether there is time for another one. If demand does not fit, Solve returns a proof of
// infeasibility instead of a plan. An invalid model is an error. The steps are computed first, then the
// cases; cases for which no time is left are listed in the plan as omitted.
func Solve(m *placement.Model, inForce *placement.Plan, hasTime func() bool) (
	*placement.Plan, *placement.Infeasibility, error) {
	if entryErrors := m.Validate(); len(entryErrors) > 0 {
		return nil, nil, entryErrors[0]
	}
	m = m.Normalized()
	p := NewProblem(m)
	steps, proof, err := p.solveSteps(inForce, hasTime)
	if err != nil || proof != nil {
		return nil, proof, err
	}
	plan := &placement.Plan{Model: m, Steps: steps}
	baselines := []baseline{{&plan.Steps[0], p.Units(plan.Steps[0].Rows)}}
	if last := len(plan.Steps) - 1; last > 0 {
		baselines = append(baselines, baseline{&plan.Steps[last], p.Units(plan.Steps[last].Rows)})
	}
	for _, f := range foreseenFailures(m) {
		if !hasTime() {
			plan.OmittedCases = append(plan.OmittedCases, f.name)
			continue
		}
		plan.Cases = append(plan.Cases, p.solveCase(f, baselines))
	}
	return plan, nil, nil
}

// solveSteps computes the weights for each time at which they may change. It returns a proof of infeasibility
// for the first time at which demand does not fit.
func (p *Problem) solveSteps(inForce *placement.Plan, hasTime func() bool) (
	steps []placement.Step, proof *placement.Infeasibility, err error) {
	var units [][]int64
	if inForce != nil {
		units = p.Units(inForce.RowsAt(p.model.At))
	}
	for _, at := range p.model.StepTimes() {
		if !hasTime() {
			return nil, nil, ErrTimeout
		}
		p.SetTime(at, nil)
		u, fits := p.MinUtilisation(false)
		if !fits {
			proof = p.Infeasibility(at)
			p.AddRelaxations(proof)
			return nil, proof, nil
		}
		step := placement.Step{From: at, MaxUtilisation: u}
		units, step.Cost, step.Change = p.MinCost(u, false, units)
		step.Rows = p.Rows(units)
		if n := len(steps); n > 0 && sameRows(steps[n-1].Rows, step.Rows) {
			continue // same weights as the previous step, which stays in force; capacity has only risen
		}
		steps = append(steps, step)
	}
	return steps, nil, nil
}

func sameRows(a, b []placement.Row) bool {
	return slices.EqualFunc(a, b, func(a, b placement.Row) bool { return slices.Equal(a.Weights, b.Weights) })
}

// Complete adds the data of a plan that its file omits: the rows that a case has in common with the plan, the
// replica sets of segments, and the utilisation and cost of each step.
func Complete(plan *placement.Plan) {
	p := NewProblem(plan.Model)
	for i := range plan.Steps {
		s := &plan.Steps[i]
		s.Rows = p.completeStep(s, nil)
	}
	for i := range plan.Cases {
		c := &plan.Cases[i]
		for j := range c.Steps {
			s := &c.Steps[j]
			base := plan.RowsAt(s.From)
			s.Rows = overlay(s.Rows, base)
			s.Rows = differingRows(p.completeStep(s, c.LostHosts), base)
		}
	}
}

// completeStep sets the utilisation and cost of a step. It returns the rows of the step with a weight for
// each host of their segments.
func (p *Problem) completeStep(s *placement.Step, lostHosts []string) []placement.Row {
	lost := make([]bool, len(p.model.Hosts))
	for i := range p.model.Hosts {
		lost[i] = slices.Contains(lostHosts, p.model.Hosts[i].Name)
	}
	p.SetTime(s.From, lost)
	units := p.Units(s.Rows)
	s.MaxUtilisation = p.MaxUtilisation(p.Loads(units))
	s.Cost = p.totalCost(units)
	return p.Rows(units)
}

// overlay returns the rows of base, with each row replaced that has the same segment and zone as one in rows.
func overlay(rows, base []placement.Row) []placement.Row {
	replacements := map[rowKey]placement.Row{}
	for i := range rows {
		replacements[keyOf(&rows[i])] = rows[i]
	}
	merged := slices.Clone(base)
	for i := range base {
		if row, found := replacements[keyOf(&base[i])]; found {
			row.ReplicaSet = base[i].ReplicaSet
			merged[i] = row
		}
	}
	return merged
}
