package hoststate

import (
	"math"
	"slices"
)

// Constants of the split between zones.
const (
	entersAlone = 1.0      // a zone that holds so many times its proxies' fair load keeps it to itself,
	leavesAlone = 0.8      // until it holds less than this
	fades       = 60_000.0 // milliseconds until proxies that left are forgotten, against a reconnect storm
	mixed       = 0.3      // of what a zone gives away goes by the others' room, whatever they have to spare
	coarse      = 5.0      // steps of shares, in percent, against telling each breath of them
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
	load  map[string]float64
	at    float64
	alone map[place]bool
}

type place struct {
	zone  string
	group int
}

// NewZoneSplit knows of no proxies.
func NewZoneSplit() *ZoneSplit {
	return &ZoneSplit{load: map[string]float64{}, alone: map[place]bool{}}
}

// Follow takes over how many proxies there are by zone.
func (h *ZoneSplit) Follow(proxies map[string]int, now float64) {
	left := max(1-(now-h.at)/fades, 0)
	h.at = now
	for zone, load := range h.load {
		if load *= left; load < 0.5 {
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
	room, total := map[string]float64{}, 0.0
	var zones []string
	for i := range endpoints {
		e := &endpoints[i]
		if !slices.Contains(e.Groups, group) {
			continue
		}
		if _, known := room[e.Zone]; !known {
			zones = append(zones, e.Zone)
			room[e.Zone] = 0
		}
		if e.Health == Healthy {
			room[e.Zone] += float64(e.Weight)
			total += float64(e.Weight)
		}
	}
	slices.Sort(zones)
	loads := 0.0
	names := make([]string, 0, len(h.load))
	for name := range h.load {
		names = append(names, name)
	}
	slices.Sort(names) // sums of floats depend on their order
	for _, name := range names {
		loads += h.load[name]
	}
	fair := func(of string) float64 { // how often the zone's room holds its load
		if total == 0 || h.load[of] == 0 || loads == 0 {
			return math.Inf(1)
		}
		return room[of] / total / (h.load[of] / loads)
	}
	_, own := room[zone]
	cover := 0.0
	if own && room[zone] > 0 {
		cover = fair(zone)
	}
	at := place{zone, group}
	if cover >= entersAlone || h.alone[at] && cover >= leavesAlone {
		h.alone[at] = true
	} else {
		delete(h.alone, at)
	}
	all := make([]Locality, 0, len(zones))
	if h.alone[at] {
		for _, name := range zones {
			l := Locality{Zone: name, Priority: 1, Weight: uint32(max(math.Round(room[name]), 1))}
			if name == zone {
				l.Priority = 0
			}
			all = append(all, l)
		}
		return all
	}
	// What the others have beside their own proxies' load; where nobody has anything, by their room.
	spare, sum := map[string]float64{}, 0.0
	for _, name := range zones {
		if name == zone {
			continue
		}
		if total > 0 {
			spare[name] = room[name] / total
			if loads > 0 { // a little to each, against all going to one that has a little left
				spare[name] = mixed*spare[name] + (1-mixed)*max(spare[name]-h.load[name]/loads, 0)
			}
		}
		sum += spare[name]
	}
	if sum == 0 {
		for _, name := range zones {
			if name != zone {
				spare[name] = max(room[name], 1e-9)
				sum += spare[name]
			}
		}
	}
	for _, name := range zones {
		share := 100 * min(cover, 1)
		if name != zone {
			share = (100 - 100*min(cover, 1)) * spare[name] / sum
		}
		all = append(all, Locality{Zone: name, Weight: uint32(coarse * math.Round(share/coarse))})
	}
	if !slices.ContainsFunc(all, func(l Locality) bool { return l.Weight > 0 }) {
		for i := range all { // many zones with little each
			all[i].Weight = 1
		}
	}
	return all
}
