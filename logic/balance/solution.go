package balance

import (
	"cmp"
	"slices"

	"yokeroute/logic/placement"
)

// MinCost distributes all demand with no host above the utilisation u, at the least cost, and among equal
// costs with the least change from the units in force. With overload it ignores the limits of zones. All
// demand has to fit at u, which is the case for the result of MinUtilisation. MinCost returns the units of
// each row and replica, the cost in thousandths per second and the change in units per second.
func (p *Problem) MinCost(u placement.Ratio, overload bool, inForce [][]int64) (
	units [][]int64, cost, change int64) {
	n := p.resetNetwork(true, inForce)
	n.setUtilisation(u)
	if overload {
		n.removeZoneLimits()
	}
	_, total := n.MinCostFlow(n.source, n.sink, p.demand)
	change = total.Second
	for i := range p.rows {
		row := make([]int64, len(n.weightArcs[i]))
		for j, arc := range n.weightArcs[i] {
			row[j] = n.Flow(arc)
			if inForceArc := n.inForceArcs[i][j]; inForceArc >= 0 {
				row[j] += n.Flow(inForceArc)
				change += n.Capacity(inForceArc)
			}
		}
		units = append(units, row)
	}
	return units, total.First, change
}

// Rows returns a solution as rows of weights with the names of the model.
func (p *Problem) Rows(units [][]int64) []placement.Row {
	rows := make([]placement.Row, len(units))
	for i, r := range p.rows {
		s := &p.model.Segments[r.segment]
		rows[i] = placement.Row{Segment: s.Name, ReplicaSet: s.ReplicaSet, Zone: p.model.Zones[r.zone].Name}
		for j, h := range p.replicas[r.segment] {
			rows[i].Weights = append(rows[i].Weights,
				placement.Weight{Host: p.model.Hosts[h].Name, Rate: units[i][j]})
		}
	}
	return rows
}

// rowKey identifies a row by the names of its segment and zone.
type rowKey struct{ segment, zone string }

func keyOf(r *placement.Row) rowKey { return rowKey{r.Segment, r.Zone} }

// Units returns the rows of a plan as a solution. Rows and hosts that are missing get zero units.
func (p *Problem) Units(rows []placement.Row) [][]int64 {
	byKey := map[rowKey]*placement.Row{}
	for i := range rows {
		byKey[keyOf(&rows[i])] = &rows[i]
	}
	units := make([][]int64, len(p.rows))
	for i, r := range p.rows {
		units[i] = make([]int64, len(p.replicas[r.segment]))
		planRow := byKey[rowKey{p.model.Segments[r.segment].Name, p.model.Zones[r.zone].Name}]
		if planRow == nil {
			continue
		}
		for j, h := range p.replicas[r.segment] {
			units[i][j] = rateOf(planRow, p.model.Hosts[h].Name)
		}
	}
	return units
}

// rateOf returns the weight of a host in a row, zero if the row has none for it.
func rateOf(r *placement.Row, host string) int64 {
	i, found := slices.BinarySearchFunc(r.Weights, host,
		func(w placement.Weight, name string) int { return cmp.Compare(w.Host, name) })
	if !found {
		return 0
	}
	return r.Weights[i].Rate
}

// Loads returns the load of each host in a solution.
func (p *Problem) Loads(units [][]int64) []int64 {
	loads := make([]int64, len(p.capacity))
	for i, r := range p.rows {
		for j, h := range p.replicas[r.segment] {
			loads[h] += units[i][j]
		}
	}
	return loads
}

// CrossZoneLoads returns, for each segment and zone, the load that the gatherers of the zone send to hosts in
// other zones.
func (p *Problem) CrossZoneLoads(units [][]int64) [][]int64 {
	loads := make([][]int64, len(p.replicas))
	for s := range loads {
		loads[s] = make([]int64, len(p.zoneLimits))
	}
	for i, r := range p.rows {
		for j, h := range p.replicas[r.segment] {
			if p.zoneOf[h] != r.zone {
				loads[r.segment][r.zone] += units[i][j]
			}
		}
	}
	return loads
}

// totalCost returns the cost of a solution, in thousandths per second.
func (p *Problem) totalCost(units [][]int64) (cost int64) {
	for i, r := range p.rows {
		for j, h := range p.replicas[r.segment] {
			cost += units[i][j] * p.unitCost(r.zone, h)
		}
	}
	return cost
}
