package placement

import (
	"math"

	"yokeroute/gather"
)

// ActivePlan keeps a plan in force.
type ActivePlan struct {
	Plan   *Plan   // nil for none
	MaxAge float64 // milliseconds from the plan's beginning after which it holds no more, 0 for no bound
}

// Effective is what a plan comes to at a moment.
type Effective struct {
	Rows         []Row  // nil where plain turns go
	CaseName     string // that holds, empty for the plan's own weights
	MissingHosts int    // of the plan's hosts on the list
	Stale        bool   // the plan is too old to be followed
	ValidUntil   float64
}

// At is what holds at a moment and until when at least, as long as the list stays as it is.
func (f *ActivePlan) At(now float64, held ListedHost) Effective {
	s := Effective{ValidUntil: math.Inf(1)}
	if f.Plan == nil {
		return s
	}
	if ends := f.Plan.Model.At + f.MaxAge; f.MaxAge > 0 {
		if now >= ends {
			s.Stale = true
			return s
		}
		s.ValidUntil = ends
	}
	for _, step := range f.Plan.Steps {
		if step.From > now {
			s.ValidUntil = min(s.ValidUntil, step.From)
			break
		}
	}
	s.Rows, s.CaseName, s.MissingHosts = f.Plan.RowsWithout(now, held)
	return s
}

// WeightsForZone turns rows into weights by group, for the gatherers of a hall, or for all halls together where the
// rows know no such hall. Number gives a host's number, or false for one that is not on the list.
func WeightsForZone(rows []Row, hall string, number func(host string) (uint32, bool)) [][]gather.Weight {
	known := false
	for i := range rows {
		known = known || rows[i].Zone == hall
	}
	weights := [][]gather.Weight{}
	for _, r := range rows {
		if r.ReplicaSet < 0 || known && r.Zone != hall {
			continue
		}
		for len(weights) <= r.ReplicaSet {
			weights = append(weights, nil)
		}
		group := &weights[r.ReplicaSet]
		for _, w := range r.Weights {
			id, listed := number(w.Host)
			if !listed {
				continue
			}
			at := -1
			for i := range *group {
				if (*group)[i].Server == id {
					at = i
				}
			}
			if at < 0 {
				at = len(*group)
				*group = append(*group, gather.Weight{Server: id})
			}
			(*group)[at].Share += float64(w.Rate)
		}
	}
	return weights
}

// ListedHost is what a gatherer's list says of a plan's hosts: true for those that are there and may get new parts.
type ListedHost func(host string) bool

// RowsWithout chooses the weights that hold at a moment: those of the step that has begun, or of the case that
// fits the hosts that are missing from the list best. It solves nothing. Each case ready is laid on the hosts
// that are there (what it would give to missing ones goes to the others of the row in proportion, as the
// gatherers' turns do), and the one of the least greatest utilisation holds, the plan's own weights among
// equals. Missing tells how many of the plan's hosts the list lacks, and name which case holds, empty for
// none.
func (p *Plan) RowsWithout(at float64, held ListedHost) (rows []Row, name string, missing int) {
	step := stepAt(p.Steps, at)
	lost := map[string]bool{}
	for _, h := range p.Model.Hosts {
		if !held(h.Name) {
			lost[h.Name] = true
		}
	}
	if len(lost) == 0 {
		return step.Rows, "", 0
	}
	best := p.maxUtilisationWithout(step.Rows, lost, at)
	rows = step.Rows
	for i := range p.Cases {
		c := &p.Cases[i]
		touched := 0
		for _, h := range c.LostHosts {
			if lost[h] {
				touched++
			}
		}
		if touched == 0 {
			continue
		}
		own := p.CaseRows(c, at)
		if u := p.maxUtilisationWithout(own, lost, at); u < best {
			best, rows, name = u, own, c.Name
		}
	}
	return rows, name, len(lost)
}

// maxUtilisationWithout is the greatest utilisation where a step's weights meet the hosts that are there. Rows whose hosts are
// all missing count for nothing: no weights help them. Those that are there but get nothing share evenly.
func (p *Plan) maxUtilisationWithout(rows []Row, lost map[string]bool, at float64) float64 {
	loads := map[string]float64{}
	for _, r := range rows {
		rate, left, there := 0.0, 0.0, 0.0
		for _, w := range r.Weights {
			rate += float64(w.Rate)
			if !lost[w.Host] {
				left += float64(w.Rate)
				there++
			}
		}
		for _, w := range r.Weights {
			switch {
			case lost[w.Host]:
			case left > 0:
				loads[w.Host] += rate * float64(w.Rate) / left
			default:
				loads[w.Host] += rate / there
			}
		}
	}
	most := 0.0
	for i := range p.Model.Hosts { // in their order, not the map's
		h := &p.Model.Hosts[i]
		if load := loads[h.Name]; load > 0 {
			most = max(most, load/max(float64(p.Model.SafeCapacity(h, at)), 0.5))
		}
	}
	return most
}
