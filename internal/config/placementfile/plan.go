package placementfile

import (
	"errors"
	"math"
	"slices"
	"strings"

	"yokeroute/internal/config/directive"
	"yokeroute/logic/balance"
	"yokeroute/logic/placement"
)

// addStep begins a set of weights of the plan, or of its last case.
func (f *File) addStep(v *directive.Values) error {
	if f.Plan == nil {
		f.Plan = &placement.Plan{}
	}
	steps := &f.Plan.Steps
	if f.inCase {
		steps = &f.Plan.Cases[len(f.Plan.Cases)-1].Steps
	}
	from := v.Number("moment", f.Model.At)
	if n := len(*steps); n > 0 && from <= (*steps)[n-1].From {
		return v.Errorf("moment", "is not later than the previous step; sort the steps by time")
	}
	*steps = append(*steps, placement.Step{From: from})
	f.currentStep = &(*steps)[len(*steps)-1]
	return nil
}

// addCase begins a case of the plan.
func (f *File) addCase(v *directive.Values) error {
	if f.Plan == nil || len(f.Plan.Steps) == 0 {
		return errors.New("comes before the first step of the plan; write the plan's own steps first")
	}
	c := placement.Case{Name: v.Text("name"), LostHosts: v.List("lost")}
	if v.Has("short") {
		b := builder{file: f}
		c.Infeasibility = &placement.Infeasibility{Shortfall: b.units(v, "short")}
		if len(b.errors) > 0 {
			return b.errors[0]
		}
	}
	f.Plan.Cases = append(f.Plan.Cases, c)
	f.inCase = true
	f.currentStep = nil
	return f.collect(caseLine)(v)
}

// addWeights adds a row of weights to the current step.
func (f *File) addWeights(v *directive.Values) error {
	if f.currentStep == nil {
		return errors.New("comes before any step; write a step line first")
	}
	row := placement.Row{Segment: v.Text("segment"), Zone: v.Text("hall"), ReplicaSet: -1}
	hosts, rates := v.Rates("hosts")
	for i, host := range hosts {
		hostError := func(message string) error {
			return &directive.Error{Position: v.Pos("hosts", i), Token: v.List("hosts")[i], Message: message}
		}
		units := rates[i] / f.Model.Unit
		rounded := math.Round(units)
		if math.Abs(units-rounded) > roundingError || units > placement.MaxRate {
			return hostError("is no multiple of the unit, " + directive.FormatRate(f.Model.Unit))
		}
		if slices.ContainsFunc(row.Weights, func(w placement.Weight) bool { return w.Host == host }) {
			return hostError("is a second weight of this host; list each host once")
		}
		row.Weights = append(row.Weights, placement.Weight{Host: host, Rate: int64(rounded)})
	}
	slices.SortFunc(row.Weights, func(a, b placement.Weight) int { return strings.Compare(a.Host, b.Host) })
	f.currentStep.Rows = append(f.currentStep.Rows, row)
	return f.collect(weightsLine)(v)
}

// completePlan checks the names in a plan against its model. Then it adds the data that a file does not contain: the
// rows that cases have in common with the plan, utilisation and cost.
func (f *File) completePlan() error {
	if f.Plan == nil {
		return nil
	}
	if f.FromList {
		return directive.ErrorList{{
			Position: f.lines[weightsLine][0].Position,
			Message:  "a file with from-list cannot contain weights; remove these lines or from-list",
		}}
	}
	f.Plan.Model = f.Model.Normalized()
	b := &builder{file: f}
	b.checkCases()
	b.checkWeights()
	if err := b.err(); err != nil {
		return err
	}
	balance.Complete(f.Plan)
	return nil
}

// checkCases checks that the model has all hosts that are lost in cases.
func (b *builder) checkCases() {
	hosts := map[string]bool{}
	for _, h := range b.file.Model.Hosts {
		hosts[h.Name] = true
	}
	for i, v := range b.file.lines[caseLine] {
		for j, host := range b.file.Plan.Cases[i].LostHosts {
			if !hosts[host] {
				b.reject(&directive.Error{Position: v.Pos("lost", j), Token: host, Message: "is no host of this file"})
			}
		}
	}
}

// demandKey identifies a demand of a model.
type demandKey struct{ segment, zone string }

// checkWeights checks that the model has a demand for each row of weights, and that the hosts of the row hold its
// segment.
func (b *builder) checkWeights() {
	holdsSegment := map[string]map[string]bool{} // by segment and host
	for _, s := range b.file.Model.Segments {
		holdsSegment[s.Name] = map[string]bool{}
		for _, host := range s.Hosts {
			holdsSegment[s.Name][host] = true
		}
	}
	demanded := map[demandKey]bool{}
	for _, d := range b.file.Model.Demands {
		demanded[demandKey{d.Segment, d.Zone}] = true
	}
	for _, v := range b.file.lines[weightsLine] {
		segment := v.Text("segment")
		if holdsSegment[segment] == nil {
			b.reject(v.Errorf("segment", "is no segment of this file"))
			continue
		}
		hosts, _ := v.Rates("hosts")
		for i, host := range hosts {
			if !holdsSegment[segment][host] {
				b.reject(&directive.Error{
					Position: v.Pos("hosts", i),
					Token:    host,
					Message:  "does not hold the segment " + segment,
				})
			}
		}
		if !demanded[demandKey{segment, v.Text("hall")}] {
			b.reject(v.Errorf("hall", "has no demand for segment %s in this file", segment))
		}
	}
}
