package balance

import (
	"errors"
	"slices"

	"yokeroute/logic/placement"
)

// ErrTimeout says that a solve ran out of its time before it had weights.
var ErrTimeout = errors.New("no weights in the time given")

// Solve works out a plan. InForce is the plan in force, nil for none. HasTime is called between pieces of
// work and reports whether there is time for another. Where nothing fits, Solve returns the proof instead
// of a plan; an invalid model is an error. Cases are worked out last, and those for which there is no time
// are named in the plan.
func Solve(m *placement.Model, inForce *placement.Plan, hasTime func() bool) (
	*placement.Plan, *placement.Infeasibility, error) {
	if mistakes := m.Validate(); len(mistakes) > 0 {
		return nil, nil, mistakes[0]
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

// solveSteps works out the weights for each time at which they may change, or the proof that at one nothing
// fits.
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
			continue // the step before holds on, with hosts that can take more
		}
		steps = append(steps, step)
	}
	return steps, nil, nil
}

func sameRows(a, b []placement.Row) bool {
	return slices.EqualFunc(a, b, func(a, b placement.Row) bool { return slices.Equal(a.Weights, b.Weights) })
}

// Complete adds to a plan that was read what its file leaves out: the rows that a case has in common with
// the plan, the replica sets of segments, and each step's utilisation and cost.
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

// completeStep sets a step's utilisation and cost, and returns its rows with all hosts of their segments.
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

// overlay returns the base's rows, with those of a case in place of the same ones.
func overlay(rows, base []placement.Row) []placement.Row {
	own := map[rowKey]placement.Row{}
	for i := range rows {
		own[keyOf(&rows[i])] = rows[i]
	}
	merged := slices.Clone(base)
	for i := range base {
		if row, found := own[keyOf(&base[i])]; found {
			row.ReplicaSet = base[i].ReplicaSet
			merged[i] = row
		}
	}
	return merged
}
