package placement

import (
	"math"

	"yokeroute/gather"
)

// ActivePlan is the plan that a gatherer follows.
type ActivePlan struct {
	Plan   *Plan   // nil for none
	MaxAge float64 // milliseconds from the plan's beginning after which it is not followed, 0 for no bound
}

// Effective is what an active plan comes to at a moment.
type Effective struct {
	Rows         []Row   // nil where plain round robin applies
	CaseName     string  // empty for the plan's own weights
	MissingHosts int     // of the plan's hosts, from the endpoint list
	Stale        bool    // the plan is older than its maximum age
	ValidUntil   float64 // as long as the endpoint list stays as it is
}

// ListedHost reports whether a host is on the endpoint list and may get new shard requests.
type ListedHost func(host string) bool

// At returns what holds at a moment.
func (a *ActivePlan) At(now float64, listed ListedHost) Effective {
	e := Effective{ValidUntil: math.Inf(1)}
	if a.Plan == nil {
		return e
	}
	if a.MaxAge > 0 {
		expiresAt := a.Plan.Model.At + a.MaxAge
		if now >= expiresAt {
			e.Stale = true
			return e
		}
		e.ValidUntil = expiresAt
	}
	for i := range a.Plan.Steps {
		if from := a.Plan.Steps[i].From; from > now {
			e.ValidUntil = min(e.ValidUntil, from)
			break
		}
	}
	e.Rows, e.CaseName, e.MissingHosts = a.Plan.EffectiveRows(now, listed)
	return e
}

// WeightsForZone turns rows into weights by replica set, for the gatherers of a zone, or for all zones
// together where the rows do not know the zone. ServerOf returns a host's server, or false for one that is
// not on the endpoint list.
func WeightsForZone(rows []Row, zone string, serverOf func(host string) (uint32, bool)) [][]gather.Weight {
	isKnown := false
	for i := range rows {
		isKnown = isKnown || rows[i].Zone == zone
	}
	weights := [][]gather.Weight{}
	for i := range rows {
		r := &rows[i]
		if r.ReplicaSet < 0 || isKnown && r.Zone != zone {
			continue
		}
		for len(weights) <= r.ReplicaSet {
			weights = append(weights, nil)
		}
		for _, w := range r.Weights {
			if server, listed := serverOf(w.Host); listed {
				weights[r.ReplicaSet] = addShare(weights[r.ReplicaSet], server, float64(w.Rate))
			}
		}
	}
	return weights
}

// addShare adds to the share of a server, which may have one from another row.
func addShare(weights []gather.Weight, server uint32, share float64) []gather.Weight {
	for i := range weights {
		if weights[i].Server == server {
			weights[i].Share += share
			return weights
		}
	}
	return append(weights, gather.Weight{Server: server, Share: share})
}

// EffectiveRows chooses the weights that hold at a moment: those of the step that has begun, or of the case
// that fits best the hosts that are missing from the endpoint list. It solves nothing. The weights of each
// case are applied to the hosts that are there (what they give to missing ones goes to the others of the row
// in proportion, as in the gatherers' round robin), and the case of the least maximum utilisation holds, the
// plan's own weights among equals. It returns the name of the case, empty for none, and how many of the
// plan's hosts are missing.
func (p *Plan) EffectiveRows(at float64, listed ListedHost) (rows []Row, caseName string, missing int) {
	lost := map[string]bool{}
	for i := range p.Model.Hosts {
		if name := p.Model.Hosts[i].Name; !listed(name) {
			lost[name] = true
		}
	}
	rows = p.RowsAt(at)
	if len(lost) == 0 {
		return rows, "", 0
	}
	best := p.utilisationWithout(lost, rows, at)
	for i := range p.Cases {
		c := &p.Cases[i]
		if !c.concerns(lost) {
			continue
		}
		caseRows := p.CaseRows(c, at)
		if u := p.utilisationWithout(lost, caseRows, at); u < best {
			best = u
			rows = caseRows
			caseName = c.Name
		}
	}
	return rows, caseName, len(lost)
}

// concerns reports whether any of the hosts is lost in the case.
func (c *Case) concerns(lost map[string]bool) bool {
	for _, host := range c.LostHosts {
		if lost[host] {
			return true
		}
	}
	return false
}

// utilisationWithout returns the maximum utilisation of the hosts that are not lost if these rows hold. Rows
// whose hosts are all lost count for nothing, since no weights help them. The hosts of a row that are there
// but have no weight share it evenly.
func (p *Plan) utilisationWithout(lost map[string]bool, rows []Row, at float64) float64 {
	const minCapacity = 0.5 // of a host that may take nothing, so that its utilisation is high
	loads := map[string]float64{}
	for i := range rows {
		addLoadsWithout(lost, &rows[i], loads)
	}
	greatest := 0.0
	for i := range p.Model.Hosts { // in their order, which a map does not have
		h := &p.Model.Hosts[i]
		if load := loads[h.Name]; load > 0 {
			greatest = max(greatest, load/max(float64(p.Model.SafeCapacity(h, at)), minCapacity))
		}
	}
	return greatest
}

// addLoadsWithout adds a row to the loads of its hosts that are not lost.
func addLoadsWithout(lost map[string]bool, r *Row, loads map[string]float64) {
	total, remaining, hosts := 0.0, 0.0, 0.0
	for _, w := range r.Weights {
		total += float64(w.Rate)
		if !lost[w.Host] {
			remaining += float64(w.Rate)
			hosts++
		}
	}
	for _, w := range r.Weights {
		switch {
		case lost[w.Host]:
		case remaining > 0:
			loads[w.Host] += total * float64(w.Rate) / remaining
		default:
			loads[w.Host] += total / hosts
		}
	}
}
