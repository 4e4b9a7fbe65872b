package hoststate

import (
	"math"
	"slices"
)

// Constants of the split between zones.
const (
	localEnterCoverage = 1.0      // a zone that holds so many times its proxies' fair load keeps it to itself,
	localExitCoverage  = 0.8      // until it holds less than this
	proxyCountDecay    = 60_000.0 // milliseconds until proxies that left are forgotten, against a reconnect storm
	capacityMix        = 0.3      // observations what a zone gives away goes by the others' room, whatever they have to spare
	weightStep         = 5.0      // steps of shares, in percent, against telling each breath of them
)

// Locality is how a zone's hosts of one group stand for a proxy: those of a lower priority first, as far as
// they are well, and within one priority by weight.
type Locality struct {
	Zone     string
	Priority uint32
	Weight   uint32
}

// ZoneSplit decides how much of a zone's load its own hosts take. One goroutine uses it.
type ZoneSplit struct {
	load      map[string]float64
	updatedAt float64
	local     map[zoneGroup]bool
}

type zoneGroup struct {
	zone  string
	group int
}

// NewZoneSplit knows of no proxies.
func NewZoneSplit() *ZoneSplit {
	return &ZoneSplit{load: map[string]float64{}, local: map[zoneGroup]bool{}}
}

// SetProxies takes over how many proxies there are by zone.
func (h *ZoneSplit) SetProxies(proxies map[string]int, now float64) {
	remaining := max(1-(now-h.updatedAt)/proxyCountDecay, 0)
	h.updatedAt = now
	for zone, load := range h.load {
		if load *= remaining; load < 0.5 {
			delete(h.load, zone)
		} else {
			h.load[zone] = load
		}
	}
	for zone, n := range proxies {
		h.load[zone] = max(h.load[zone], float64(n))
	}
}

// Split says how the hosts of a group stand for proxies of a zone. All of a proxy's load in its own zone is
// best while that has room; where it hasn't, all proxies that hear the same would push it over, so that it
// takes what is its fair share of the whole and others the rest, by what room they have.
func (h *ZoneSplit) Split(endpoints []Endpoint, group int, zone string) []Locality {
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
	names := make([]string, 0, len(h.load))
	for name := range h.load {
		names = append(names, name)
	}
	slices.Sort(names) // sums of floats depend on their order
	for _, name := range names {
		totalLoad += h.load[name]
	}
	coverage := func(zoneName string) float64 { // how often the zone's room holds its load
		if total == 0 || h.load[zoneName] == 0 || totalLoad == 0 {
			return math.Inf(1)
		}
		return capacity[zoneName] / total / (h.load[zoneName] / totalLoad)
	}
	_, own := capacity[zone]
	ownCoverage := 0.0
	if own && capacity[zone] > 0 {
		ownCoverage = coverage(zone)
	}
	key := zoneGroup{zone, group}
	if ownCoverage >= localEnterCoverage || h.local[key] && ownCoverage >= localExitCoverage {
		h.local[key] = true
	} else {
		delete(h.local, key)
	}
	all := make([]Locality, 0, len(zones))
	if h.local[key] {
		for _, name := range zones {
			locality := Locality{Zone: name, Priority: 1, Weight: uint32(max(math.Round(capacity[name]), 1))}
			if name == zone {
				locality.Priority = 0
			}
			all = append(all, locality)
		}
		return all
	}
	// What the others have beside their own proxies' load; where nobody has anything, by their room.
	spare, totalSpare := map[string]float64{}, 0.0
	for _, name := range zones {
		if name == zone {
			continue
		}
		if total > 0 {
			spare[name] = capacity[name] / total
			if totalLoad > 0 { // a little to each, against all going to one that has a little left
				spare[name] = capacityMix*spare[name] + (1-capacityMix)*max(spare[name]-h.load[name]/totalLoad, 0)
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
		for i := range all { // tooMany zones with little each
			all[i].Weight = 1
		}
	}
	return all
}
