package placing

import (
	"math"
	"slices"
)

// minCapacity is the capacity assumed for a host without capacity, to avoid a division by zero.
const minCapacity = 0.1

// initial is a placement under construction.
type initial struct {
	*job
	assignment [][]int   // hosts of each segment, unsorted
	segmentsOn []int     // number of segments on each host
	load       []float64 // estimated load of each host
}

// initialPlacement returns the placement from which the local search starts. It keeps the current replicas as
// far as the limits allow. Then it adds the missing replicas, in descending order of the segments' demand:
// each in a zone that the segment is not in yet while it needs more zones, on the host with the lowest
// utilisation. It returns false if there is no host for a replica.
func (j *job) initialPlacement() (assignment [][]int, found bool) {
	p := &initial{
		job:        j,
		assignment: make([][]int, len(j.replicaCounts)),
		segmentsOn: make([]int, len(j.model.Hosts)),
		load:       make([]float64, len(j.model.Hosts)),
	}
	for _, s := range j.order {
		for _, h := range j.currentHosts[s] {
			if len(p.assignment[s]) < j.replicaCounts[s] && slices.Contains(j.usableHosts, h) && p.hasSlot(h) {
				p.addReplica(s, h)
			}
		}
	}
	for _, s := range j.order {
		for len(p.assignment[s]) < j.replicaCounts[s] || !j.inEnoughZones(s, p.assignment[s]) {
			host := p.leastUtilised(s)
			if host < 0 {
				return nil, false
			}
			if len(p.assignment[s]) == j.replicaCounts[s] && !p.removeFromSharedZone(s) {
				return nil, false
			}
			p.addReplica(s, host)
		}
	}
	return p.assignment, true
}

func (p *initial) hasSlot(host int) bool { return p.segmentsOn[host] < p.maxSegments(host) }

// replicaLoad returns the load of one replica of a segment if all its replicas get the same load.
func (p *initial) replicaLoad(segment int) float64 {
	return float64(p.demands[segment]) / float64(p.replicaCounts[segment])
}

func (p *initial) addReplica(segment, host int) {
	p.assignment[segment] = append(p.assignment[segment], host)
	p.segmentsOn[host]++
	p.load[host] += p.replicaLoad(segment)
}

// leastUtilised returns the host that would have the lowest utilisation with another replica of a segment, or
// -1 if no host may hold one. Until the segment is in enough zones, the host has to be in a zone that the
// segment is not in yet.
func (p *initial) leastUtilised(segment int) int {
	usedZones := make([]bool, len(p.model.Zones))
	count := 0
	for _, h := range p.assignment[segment] {
		if zone := p.problem.Zone(h); !usedZones[zone] {
			usedZones[zone] = true
			count++
		}
	}
	needsNewZone := count < p.minZones[segment]
	best := -1
	lowest := math.Inf(1)
	for _, h := range p.usableHosts {
		if !p.hasSlot(h) || slices.Contains(p.assignment[segment], h) ||
			needsNewZone && usedZones[p.problem.Zone(h)] {
			continue
		}
		capacity := max(float64(p.problem.Capacity(h)), minCapacity)
		if u := (p.load[h] + p.replicaLoad(segment)) / capacity; u < lowest {
			best = h
			lowest = u
		}
	}
	return best
}

// removeFromSharedZone removes a replica of a segment from a zone that has several of them, so that one can
// be placed in another zone. It reports whether there is such a zone.
func (p *initial) removeFromSharedZone(segment int) bool {
	hosts := p.assignment[segment]
	i := slices.IndexFunc(hosts, func(h int) bool {
		inZone := 0
		for _, other := range hosts {
			if p.problem.Zone(other) == p.problem.Zone(h) {
				inZone++
			}
		}
		return inZone > 1
	})
	if i < 0 {
		return false
	}
	p.segmentsOn[hosts[i]]--
	p.load[hosts[i]] -= p.replicaLoad(segment)
	p.assignment[segment] = slices.Delete(hosts, i, i+1)
	return true
}
