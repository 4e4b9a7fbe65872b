package placing

import (
	"math"
	"slices"
)

// minCapacity stands for the capacity of a host that may take nothing, where loads are divided by it.
const minCapacity = 0.1

// initial is a placement that is being filled up.
type initial struct {
	*job
	places     [][]int // of each segment, not in order
	segmentsOn []int   // of each host
	load       []float64
}

// initialPlacement puts each segment where it is, as far as that is allowed, and then fills up, the heaviest
// segments first: in zones that it is not in yet, on the hosts with the lowest utilisation. It returns false where
// it finds no place.
func (j *job) initialPlacement() (places [][]int, found bool) {
	p := &initial{
		job:        j,
		places:     make([][]int, len(j.wanted)),
		segmentsOn: make([]int, len(j.model.Hosts)),
		load:       make([]float64, len(j.model.Hosts)),
	}
	for _, s := range j.order {
		for _, h := range j.currentHosts[s] {
			if len(p.places[s]) < j.wanted[s] && slices.Contains(j.usable, h) && p.hasSlot(h) {
				p.put(s, h)
			}
		}
	}
	for _, s := range j.order {
		for len(p.places[s]) < j.wanted[s] || !j.inEnoughZones(s, p.places[s]) {
			host := p.leastUtilised(s)
			if host < 0 {
				return nil, false
			}
			if len(p.places[s]) == j.wanted[s] && !p.removeFromSharedZone(s) {
				return nil, false
			}
			p.put(s, host)
		}
	}
	return p.places, true
}

func (p *initial) hasSlot(host int) bool { return p.segmentsOn[host] < p.maxSegments(host) }

// replicaLoad returns the load of one replica of a segment, if all take the same.
func (p *initial) replicaLoad(segment int) float64 {
	return float64(p.demands[segment]) / float64(p.wanted[segment])
}

func (p *initial) put(segment, host int) {
	p.places[segment] = append(p.places[segment], host)
	p.segmentsOn[host]++
	p.load[host] += p.replicaLoad(segment)
}

// leastUtilised returns the host that would have the lowest utilisation with another replica of a segment, -1 where
// no host may take one. Until the segment is in enough zones, it has to be in a new one.
func (p *initial) leastUtilised(segment int) int {
	usedZones := make([]bool, len(p.model.Zones))
	count := 0
	for _, h := range p.places[segment] {
		if zone := p.problem.Zone(h); !usedZones[zone] {
			usedZones[zone] = true
			count++
		}
	}
	needsNewZone := count < p.minZones[segment]
	best := -1
	lowest := math.Inf(1)
	for _, h := range p.usable {
		if !p.hasSlot(h) || slices.Contains(p.places[segment], h) || needsNewZone && usedZones[p.problem.Zone(h)] {
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

// removeFromSharedZone removes a replica of a segment from a zone that has two, to make room for one in a new zone.
// It reports whether there is such a zone.
func (p *initial) removeFromSharedZone(segment int) bool {
	places := p.places[segment]
	i := slices.IndexFunc(places, func(h int) bool {
		inZone := 0
		for _, other := range places {
			if p.problem.Zone(other) == p.problem.Zone(h) {
				inZone++
			}
		}
		return inZone > 1
	})
	if i < 0 {
		return false
	}
	p.segmentsOn[places[i]]--
	p.load[places[i]] -= p.replicaLoad(segment)
	p.places[segment] = slices.Delete(places, i, i+1)
	return true
}
