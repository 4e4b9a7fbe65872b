package hoststate

import (
	"math"
	"slices"
)

const (
	// localEnterCoverage is the coverage of a zone, its share of the capacity over its share of the load, from
	// which the zone keeps all of its load.
	localEnterCoverage = 1.0
	// localExitCoverage is the coverage below which a zone that keeps all of its load starts to share it.
	localExitCoverage = 0.8
	// proxyCountDecay is the time in milliseconds after which proxies that have disconnected are forgotten. The
	// delay avoids changes during a reconnect storm.
	proxyCountDecay = 60_000.0
	// capacityMix is the fraction of a zone's shared load that is distributed by the capacity of the other
	// zones, regardless of their spare capacity.
	capacityMix = 0.3
	// weightStep is the step, in percent, to which weights are rounded, so that small variations are not
	// published.
	weightStep = 5.0
)

// Locality holds the priority and weight that a proxy gives the hosts of one group in one zone. Zones of a
// lower priority number are used first, as far as their hosts are healthy. Zones of equal priority share the
// load by weight.
type Locality struct {
	Zone     string
	Priority uint32
	Weight   uint32
}

// ZoneSplit decides how much of a zone's load is handled by the zone's own hosts. It is not safe for
// concurrent use.
type ZoneSplit struct {
	load      map[string]float64 // number of connected proxies, by zone; decreases are applied gradually
	updatedAt float64
	local     map[zoneGroup]bool // the zone handles all load of its own proxies for the group
}

type zoneGroup struct {
	zone  string
	group int
}

// NewZoneSplit returns a ZoneSplit without proxies.
func NewZoneSplit() *ZoneSplit {
	return &ZoneSplit{load: map[string]float64{}, local: map[zoneGroup]bool{}}
}

// SetProxies sets the number of connected proxies by zone. Numbers that have decreased decay over
// proxyCountDecay.
func (z *ZoneSplit) SetProxies(proxies map[string]int, now float64) {
	remaining := max(1-(now-z.updatedAt)/proxyCountDecay, 0)
	z.updatedAt = now
	for zone, load := range z.load {
		if load *= remaining; load < 0.5 {
			delete(z.load, zone)
		} else {
			z.load[zone] = load
		}
	}
	for zone, n := range proxies {
		z.load[zone] = max(z.load[zone], float64(n))
	}
}

// Split returns the localities of a group for the proxies of a zone. A zone with enough capacity handles all
// load of its own proxies, which is best. Otherwise its proxies, which all receive the same localities, would
// overload it, so it handles its fair share of the total load, and the other zones handle the rest by their
// spare capacity.
func (z *ZoneSplit) Split(endpoints []Endpoint, group int, zone string) []Locality {
	capacity, total := map[string]float64{}, 0.0
	var zones []string
	for i := range endpoints {
		e := &endpoints[i]
		if !slices.Contains(e.Groups, group) {
			continue
		}
		if _, known := capacity[e.Zone]; !known {
			zones = append(zones, e.Zone)
			capacity[e.Zone] = 0
		}
		if e.Health == Healthy {
			capacity[e.Zone] += float64(e.Weight)
			total += float64(e.Weight)
		}
	}
	slices.Sort(zones)
	totalLoad := 0.0
	names := make([]string, 0, len(z.load))
	for name := range z.load {
		names = append(names, name)
	}
	slices.Sort(names) // the result of a floating-point sum depends on the order
	for _, name := range names {
		totalLoad += z.load[name]
	}
	// coverage returns the zone's share of the capacity over its share of the load.
	coverage := func(zoneName string) float64 {
		if total == 0 || z.load[zoneName] == 0 || totalLoad == 0 {
			return math.Inf(1)
		}
		return capacity[zoneName] / total / (z.load[zoneName] / totalLoad)
	}
	_, hasHosts := capacity[zone]
	ownCoverage := 0.0
	if hasHosts && capacity[zone] > 0 {
		ownCoverage = coverage(zone)
	}
	key := zoneGroup{zone, group}
	if ownCoverage >= localEnterCoverage || z.local[key] && ownCoverage >= localExitCoverage {
		z.local[key] = true
	} else {
		delete(z.local, key)
	}
	all := make([]Locality, 0, len(zones))
	if z.local[key] {
		for _, name := range zones {
			locality := Locality{Zone: name, Priority: 1, Weight: uint32(max(math.Round(capacity[name]), 1))}
			if name == zone {
				locality.Priority = 0
			}
			all = append(all, locality)
		}
		return all
	}
	// The other zones share by the capacity that their own proxies leave, or by capacity if none is left.
	spare, totalSpare := map[string]float64{}, 0.0
	for _, name := range zones {
		if name == zone {
			continue
		}
		if total > 0 {
			spare[name] = capacity[name] / total
			if totalLoad > 0 { // mixed, so that not all load goes to one zone with little spare capacity
				spare[name] = capacityMix*spare[name] + (1-capacityMix)*max(spare[name]-z.load[name]/totalLoad, 0)
			}
		}
		totalSpare += spare[name]
	}
	if totalSpare == 0 {
		for _, name := range zones {
			if name != zone {
				spare[name] = max(capacity[name], 1e-9)
				totalSpare += spare[name]
			}
		}
	}
	for _, name := range zones {
		share := 100 * min(ownCoverage, 1)
		if name != zone {
			share = (100 - 100*min(ownCoverage, 1)) * spare[name] / totalSpare
		}
		all = append(all, Locality{Zone: name, Weight: uint32(weightStep * math.Round(share/weightStep))})
	}
	if !slices.ContainsFunc(all, func(l Locality) bool { return l.Weight > 0 }) {
		for i := range all { // each of many zones was rounded down to 0
			all[i].Weight = 1
		}
	}
	return all
}
