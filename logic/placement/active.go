package placement

import (
	"math"

	"yokeroute/gather"
)

// ActivePlan is the plan whose weights a gatherer uses.
type ActivePlan struct {
	Plan   *Plan   // plan in force, nil for none
	MaxAge float64 // milliseconds after the model's At at which the plan becomes stale, 0 for never
}

// EffectiveWeights holds the weights of an active plan that are in effect at a moment, and its status.
type EffectiveWeights struct {
	Rows         []Row   // nil if plain round robin applies
	CaseName     string  // case whose weights are in effect, empty for the plan's own weights
	MissingHosts int     // number of the plan's hosts that are missing from the endpoint list
	Stale        bool    // whether the plan has reached its maximum age
	ValidUntil   float64 // time until which the weights stay the same if the endpoint list does not change
}

// ListedHost reports whether a host is on the endpoint list and may get new shard requests.
type ListedHost func(host string) bool

// At returns the weights in effect at a moment, and the status of the plan.
func (a *ActivePlan) At(now float64, listed ListedHost) EffectiveWeights {
	e := EffectiveWeights{ValidUntil: math.Inf(1)}
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

// WeightsForZone returns the weights of each replica set for the gatherers of a zone. If no row is for that
// zone, it adds up the weights of all zones. ServerOf returns the server ID of a host, or false if the host
// is not on the endpoint list.
func WeightsForZone(rows []Row, zone string, serverOf func(host string) (uint32, bool)) [][]gather.Weight {
	hasRowsForZone := false
	for i := range rows {
		hasRowsForZone = hasRowsForZone || rows[i].Zone == zone
	}
	weights := [][]gather.Weight{}
	for i := range rows {
		r := &rows[i]
		if r.ReplicaSet < 0 || hasRowsForZone && r.Zone != zone {
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

// addShare adds to the share of a server. The server may already have a share from another row.
func addShare(weights []gather.Weight, server uint32, share float64) []gather.Weight {
	for i := range weights {
		if weights[i].Server == server {
			weights[i].Share += share
			return weights
		}
	}
	return append(weights, gather.Weight{Server: server, Share: share})
}

// EffectiveRows selects the weights in effect at a moment: those of the current step, or those of a case if
// hosts are missing from the endpoint list. It solves nothing. For the plan's own weights and for each case
// that loses any of these hosts, it computes the load of the hosts that remain; the weight of missing hosts
// is distributed among the other hosts of the row in proportion to their weights, as in the gatherers' round
// robin. It selects the weights with the lowest maximum utilisation, and prefers the plan's own weights among
// equals. It returns the name of the selected case, empty for none, and the number of the plan's hosts that
// are missing.
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

// concerns reports whether the case loses any of the hosts in lost.
func (c *Case) concerns(lost map[string]bool) bool {
	for _, host := range c.LostHosts {
		if lost[host] {
			return true
		}
	}
	return false
}

// utilisationWithout returns the maximum utilisation of the remaining hosts if the given rows are in effect.
// It ignores rows whose hosts are all lost, since no weights can serve them. If none of the remaining hosts
// of a row has a weight, they share its load evenly.
func (p *Plan) utilisationWithout(lost map[string]bool, rows []Row, at float64) float64 {
	const minCapacity = 0.5 // assumed for hosts without capacity, so that their utilisation is high
	loads := map[string]float64{}
	for i := range rows {
		addLoadsWithout(lost, &rows[i], loads)
	}
	highest := 0.0
	for i := range p.Model.Hosts { // in a fixed order, since the order of a map is random
		h := &p.Model.Hosts[i]
		if load := loads[h.Name]; load > 0 {
			highest = max(highest, load/max(float64(p.Model.SafeCapacity(h, at)), minCapacity))
		}
	}
	return highest
}

// addLoadsWithout adds the load of a row to the hosts of the row that are not lost.
func addLoadsWithout(lost map[string]bool, r *Row, loads map[string]float64) {
	total, remainingRate, hosts := 0.0, 0.0, 0.0
	for _, w := range r.Weights {
		total += float64(w.Rate)
		if !lost[w.Host] {
			remainingRate += float64(w.Rate)
			hosts++
		}
	}
	for _, w := range r.Weights {
		switch {
		case lost[w.Host]:
		case remainingRate > 0:
			loads[w.Host] += total * float64(w.Rate) / remainingRate
		default:
			loads[w.Host] += total / hosts
		}
	}
}
