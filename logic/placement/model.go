// Package placement works out how load is shared among the replicas of segments.
//
// It decides the weights by which gatherers give turns to hosts, from what an operator says of halls, hosts,
// segments and demand: the least greatest utilisation first, then the least cost, then the least change from
// the plan in force. It also says which of several sets of weights worked out ahead holds when hosts are
// lost. It may never give a host that drains, has gone or is still cold more than that host is safe to take
// (rules 3 and 4); where nothing fits it says so and proves it. It picks no server for a lookup: that is
// logic's. Why this way: docs/design/placement.md.
package placement

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"yokeroute/gather"
	"yokeroute/internal/suggest"
)

// MaxRate bounds every rate and the sum of all demand, in units, so that products of two of them are exact.
const MaxRate = 1_000_000_000

// MaxCost bounds a price a part, in thousandths.
const MaxCost = 1_000_000_000

// Model is what is planned for. Rates are in whole units, times in Unix milliseconds.
type Model struct {
	Unit      float64    `json:"Unit"`   // parts a second that one unit stands for
	At        float64    `json:"At"`     // when the plan begins to hold
	ClockSkew float64    `json:"Clocks"` // milliseconds by which a gatherer's clock may run ahead
	Steps     int        `json:"Steps"`  // into how many steps a time in which hosts warm up is cut
	MaxMoves  int        `json:"Copies"` // how many replicas a new placement may move, -1 for any number
	Zones     []Zone     `json:"Halls"`
	Hosts     []Host     `json:"Hosts"`
	Segments  []Segment  `json:"Segments"`
	Demands   []Demand   `json:"Demands"`
	ZoneCosts []ZoneCost `json:"Crossings"`
}

// Zone is a place whose hosts share limits.
type Zone struct {
	Name          string  `json:"Name"`
	MaxLoad       int64   `json:"Most"`       // load that its hosts may carry together, -1 for any
	Headroom      int64   `json:"Spare"`      // capacity that has to stay free in it,
	HeadroomShare float64 `json:"SpareShare"` // or the share of its capacity, if that is more
}

// Host is one machine.
type Host struct {
	Name                 string       `json:"Name"`
	Zone                 string       `json:"Hall"`
	Capacity             int64        `json:"Capacity"` // when warm
	Cost                 int64        `json:"Cost"`     // of a part, in thousandths
	State                gather.State `json:"State"`
	StartedAt            float64      `json:"Started"`   // 0 for long ago; later than At for one that is still to come
	InitialCapacityShare float64      `json:"ColdShare"` // of its capacity that is safe when it starts,
	WarmupTime           float64      `json:"Warming"`   // rising evenly over so many milliseconds to all of it
	MaxSegments          int          `json:"Holds"`     // segments that it has room for, 0 for any number
}

// Segment is data that some hosts hold, each all of it.
type Segment struct {
	Name       string   `json:"Name"`
	ReplicaSet int      `json:"Group"`    // of the gatherer's shards, -1 for none
	Replicas   int      `json:"Replicas"` // wanted of a new placement, 0 for as many as it has
	Hosts      []string `json:"On"`
}

// Demand is what the gatherers of a hall ask of a segment, in units.
type Demand struct {
	Segment string `json:"Segment"`
	Zone    string `json:"Hall"`
	Rate    int64  `json:"Rate"`
}

// ZoneCost is the price of a part that goes from a gatherer in one hall to a host in another, in thousandths.
// It holds both ways unless the other way is given as well. Halls that no crossing names are at OtherHall.
type ZoneCost struct {
	From string `json:"From"`
	To   string `json:"To"`
	Cost int64  `json:"Cost"`
}

// DefaultZoneCost is the price of crossing between halls for which none is given: one.
const DefaultZoneCost = 1000

// EntryError is what is wrong with a model: the kind and number of the entry, its field, the word at fault.
type EntryError struct {
	Kind    string // hall, host, segment, demand or crossing; empty for the model itself
	Index   int
	Field   string
	Value   string
	Problem string
}

func (f *EntryError) Error() string { return fmt.Sprintf("%s %q: %s", f.Kind, f.Value, f.Problem) }

// Validate gives all that is wrong with the model, in the order of its entries.
func (m *Model) Validate() []*EntryError {
	var faults []*EntryError
	wrong := func(kind string, i int, field, word, text string, args ...any) {
		faults = append(faults, &EntryError{kind, i, field, word, fmt.Sprintf(text, args...)})
	}
	rate := func(kind string, i int, field string, r int64, least int64) {
		switch {
		case r < least:
			wrong(kind, i, field, fmt.Sprint(r), "is under %d", least)
		case r > MaxRate:
			wrong(kind, i, field, fmt.Sprint(r), "is more than %d units; set a larger unit", MaxRate)
		}
	}
	if !(m.Unit > 0) || math.IsInf(m.Unit, 0) {
		wrong("", 0, "unit", fmt.Sprint(m.Unit), "a unit is a rate above 0")
	}
	halls, hosts, segments := map[string]bool{}, map[string]bool{}, map[string]bool{}
	twice := func(kind string, seen map[string]bool, i int, name string) {
		switch {
		case name == "":
			wrong(kind, i, "name", name, "has no name")
		case seen[name]:
			wrong(kind, i, "name", name, "is given twice; every %s has its own name", kind)
		}
		seen[name] = true
	}
	known := func(kind string, i int, field string, seen map[string]bool, what, name string) {
		if !seen[name] {
			wrong(kind, i, field, name, "is no %s of this file%s", what, nameHint(name, seen))
		}
	}
	for i, h := range m.Zones {
		twice("hall", halls, i, h.Name)
		rate("hall", i, "most", h.MaxLoad, -1)
		rate("hall", i, "spare", h.Headroom, 0)
		if !(h.HeadroomShare >= 0 && h.HeadroomShare <= 1) {
			wrong("hall", i, "spare", fmt.Sprint(h.HeadroomShare), "a share goes from 0%% to 100%%")
		}
	}
	for i, h := range m.Hosts {
		twice("host", hosts, i, h.Name)
		known("host", i, "hall", halls, "hall", h.Zone)
		rate("host", i, "capacity", h.Capacity, 0)
		if h.Cost < 0 || h.Cost > MaxCost {
			wrong("host", i, "cost", fmt.Sprint(float64(h.Cost)/1000), "a cost goes from 0 to %d", MaxCost/1000)
		}
		if !(h.InitialCapacityShare >= 0 && h.InitialCapacityShare <= 1) {
			wrong("host", i, "cold", fmt.Sprint(h.InitialCapacityShare), "a share goes from 0%% to 100%%")
		}
		if !(h.WarmupTime >= 0) || math.IsInf(h.WarmupTime, 0) || math.IsNaN(h.StartedAt) || math.IsInf(h.StartedAt, 0) {
			wrong("host", i, "cold", fmt.Sprint(h.WarmupTime), "a host warms in a time that ends")
		}
	}
	groups := map[int]bool{}
	for i, s := range m.Segments {
		twice("segment", segments, i, s.Name)
		on := map[string]bool{}
		for _, name := range s.Hosts {
			known("segment", i, "on", hosts, "host", name)
			if on[name] {
				wrong("segment", i, "on", name, "holds the segment twice; name each host once")
			}
			on[name] = true
		}
		if s.Replicas < 0 || s.Replicas > len(m.Hosts) {
			wrong("segment", i, "replicas", fmt.Sprint(s.Replicas), "there are %d hosts", len(m.Hosts))
		}
		if s.ReplicaSet >= 0 && groups[s.ReplicaSet] {
			wrong("segment", i, "group", fmt.Sprint(s.ReplicaSet), "is another segment's group already")
		}
		groups[s.ReplicaSet] = true
	}
	type pair struct{ a, b string }
	asked, crossed, sum := map[pair]bool{}, map[pair]bool{}, int64(0)
	for i, d := range m.Demands {
		known("demand", i, "segment", segments, "segment", d.Segment)
		known("demand", i, "hall", halls, "hall", d.Zone)
		rate("demand", i, "rate", d.Rate, 0)
		if asked[pair{d.Segment, d.Zone}] {
			wrong("demand", i, "hall", d.Zone, "asks twice for %s; give the sum once", d.Segment)
		}
		asked[pair{d.Segment, d.Zone}] = true
		if before := sum; d.Rate > 0 && d.Rate <= MaxRate {
			if sum += d.Rate; sum > MaxRate && before <= MaxRate {
				wrong("demand", i, "rate", fmt.Sprint(d.Rate), "makes the sum of all demand more than %d units", MaxRate)
			}
		}
	}
	for i, c := range m.ZoneCosts {
		known("crossing", i, "from", halls, "hall", c.From)
		known("crossing", i, "to", halls, "hall", c.To)
		if c.Cost < 0 || c.Cost > MaxCost {
			wrong("crossing", i, "cost", fmt.Sprint(float64(c.Cost)/1000), "a cost goes from 0 to %d", MaxCost/1000)
		}
		if crossed[pair{c.From, c.To}] {
			wrong("crossing", i, "to", c.To, "is given twice from %s", c.From)
		}
		if crossed[pair{c.From, c.To}] = true; c.From == c.To {
			wrong("crossing", i, "to", c.To, "a part that stays in its hall crosses nothing")
		}
	}
	return faults
}

// nameHint names what may have been meant by an unknown name.
func nameHint(name string, known map[string]bool) string {
	// Of equals it takes the first by name, not by order.
	return suggest.Hint(name, slices.Collect(maps.Keys(known)))
}

// SafeCapacity is what a host may carry at a moment, in units: nothing unless it runs and is there, and of a cold one
// the share that is safe by the slowest clock among the gatherers, since one whose clock runs ahead is early.
func (m *Model) SafeCapacity(h *Host, at float64) int64 {
	switch {
	case h.State != gather.Running || h.StartedAt > at-m.ClockSkew:
		return 0
	case h.StartedAt == 0 || h.WarmupTime == 0 || at-m.ClockSkew >= h.StartedAt+h.WarmupTime:
		return h.Capacity
	}
	share := h.InitialCapacityShare + (1-h.InitialCapacityShare)*(at-m.ClockSkew-h.StartedAt)/h.WarmupTime
	return int64(math.Floor(float64(h.Capacity) * share))
}

// ZoneLoadLimit is what the hosts of a hall may carry together at a moment, -1 for any.
func (m *Model) ZoneLoadLimit(hall *Zone, at float64) int64 {
	return hall.LoadLimit(func() (room int64) {
		for i := range m.Hosts {
			if m.Hosts[i].Zone == hall.Name {
				room += m.SafeCapacity(&m.Hosts[i], at)
			}
		}
		return room
	}())
}

// LoadLimit is what the hosts of a hall may carry together if they can take so much, -1 for any.
func (h *Zone) LoadLimit(can int64) int64 {
	most := h.MaxLoad
	if spare := max(h.Headroom, int64(math.Ceil(float64(can)*h.HeadroomShare-1e-6))); spare > 0 {
		if left := max(can-spare, 0); most < 0 || left < most {
			most = left
		}
	}
	return most
}

// Normalized gives the model in the order of its names, so that the order of an operator's lines changes nothing.
func (m *Model) Normalized() *Model {
	n := *m
	n.Zones, n.Hosts, n.Segments = slices.Clone(m.Zones), slices.Clone(m.Hosts), slices.Clone(m.Segments)
	n.Demands, n.ZoneCosts = slices.Clone(m.Demands), slices.Clone(m.ZoneCosts)
	slices.SortFunc(n.Zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(n.Hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(n.Segments, func(a, b Segment) int { return cmp.Compare(a.Name, b.Name) })
	for i := range n.Segments {
		n.Segments[i].Hosts = slices.Sorted(slices.Values(n.Segments[i].Hosts))
	}
	slices.SortFunc(n.Demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Segment, b.Segment), cmp.Compare(a.Zone, b.Zone))
	})
	slices.SortFunc(n.ZoneCosts, func(a, b ZoneCost) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	return &n
}
