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

// Most bounds every rate and the sum of all demand, in units, so that products of two of them are exact.
const Most = 1_000_000_000

// MostCost bounds a price a part, in thousandths.
const MostCost = 1_000_000_000

// Model is what is planned for. Rates are in whole units, times in Unix milliseconds.
type Model struct {
	Unit      float64    `json:"Unit"`   // parts a second that one unit stands for
	At        float64    `json:"At"`     // when the plan begins to hold
	Clocks    float64    `json:"Clocks"` // milliseconds by which a gatherer's clock may run ahead
	Steps     int        `json:"Steps"`  // into how many steps a time in which hosts warm up is cut
	Copies    int        `json:"Copies"` // how many replicas a new placement may move, -1 for any number
	Halls     []Hall     `json:"Halls"`
	Hosts     []Host     `json:"Hosts"`
	Segments  []Segment  `json:"Segments"`
	Demands   []Demand   `json:"Demands"`
	Crossings []Crossing `json:"Crossings"`
}

// Hall is a place whose hosts share limits.
type Hall struct {
	Name       string  `json:"Name"`
	Most       int64   `json:"Most"`       // load that its hosts may carry together, -1 for any
	Spare      int64   `json:"Spare"`      // capacity that has to stay free in it,
	SpareShare float64 `json:"SpareShare"` // or the share of its capacity, if that is more
}

// Host is one machine.
type Host struct {
	Name      string       `json:"Name"`
	Hall      string       `json:"Hall"`
	Capacity  int64        `json:"Capacity"` // when warm
	Cost      int64        `json:"Cost"`     // of a part, in thousandths
	State     gather.State `json:"State"`
	Started   float64      `json:"Started"`   // 0 for long ago; later than At for one that is still to come
	ColdShare float64      `json:"ColdShare"` // of its capacity that is safe when it starts,
	Warming   float64      `json:"Warming"`   // rising evenly over so many milliseconds to all of it
	Holds     int          `json:"Holds"`     // segments that it has room for, 0 for any number
}

// Segment is data that some hosts hold, each all of it.
type Segment struct {
	Name     string   `json:"Name"`
	Group    int      `json:"Group"`    // of the gatherer's shards, -1 for none
	Replicas int      `json:"Replicas"` // wanted of a new placement, 0 for as many as it has
	On       []string `json:"On"`
}

// Demand is what the gatherers of a hall ask of a segment, in units.
type Demand struct {
	Segment string `json:"Segment"`
	Hall    string `json:"Hall"`
	Rate    int64  `json:"Rate"`
}

// Crossing is the price of a part that goes from a gatherer in one hall to a host in another, in thousandths.
// It holds both ways unless the other way is given as well. Halls that no crossing names are at OtherHall.
type Crossing struct {
	From string `json:"From"`
	To   string `json:"To"`
	Cost int64  `json:"Cost"`
}

// OtherHall is the price of crossing between halls for which none is given: one.
const OtherHall = 1000

// Fault is what is wrong with a model: the kind and number of the entry, its field, the word at fault.
type Fault struct {
	Kind  string // hall, host, segment, demand or crossing; empty for the model itself
	Index int
	Field string
	Word  string
	Text  string
}

func (f *Fault) Error() string { return fmt.Sprintf("%s %q: %s", f.Kind, f.Word, f.Text) }

// Check gives all that is wrong with the model, in the order of its entries.
func (m *Model) Check() []*Fault {
	var faults []*Fault
	wrong := func(kind string, i int, field, word, text string, args ...any) {
		faults = append(faults, &Fault{kind, i, field, word, fmt.Sprintf(text, args...)})
	}
	rate := func(kind string, i int, field string, r int64, least int64) {
		switch {
		case r < least:
			wrong(kind, i, field, fmt.Sprint(r), "is under %d", least)
		case r > Most:
			wrong(kind, i, field, fmt.Sprint(r), "is more than %d units; set a larger unit", Most)
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
			wrong(kind, i, field, name, "is no %s of this file%s", what, near(name, seen))
		}
	}
	for i, h := range m.Halls {
		twice("hall", halls, i, h.Name)
		rate("hall", i, "most", h.Most, -1)
		rate("hall", i, "spare", h.Spare, 0)
		if !(h.SpareShare >= 0 && h.SpareShare <= 1) {
			wrong("hall", i, "spare", fmt.Sprint(h.SpareShare), "a share goes from 0%% to 100%%")
		}
	}
	for i, h := range m.Hosts {
		twice("host", hosts, i, h.Name)
		known("host", i, "hall", halls, "hall", h.Hall)
		rate("host", i, "capacity", h.Capacity, 0)
		if h.Cost < 0 || h.Cost > MostCost {
			wrong("host", i, "cost", fmt.Sprint(float64(h.Cost)/1000), "a cost goes from 0 to %d", MostCost/1000)
		}
		if !(h.ColdShare >= 0 && h.ColdShare <= 1) {
			wrong("host", i, "cold", fmt.Sprint(h.ColdShare), "a share goes from 0%% to 100%%")
		}
		if !(h.Warming >= 0) || math.IsInf(h.Warming, 0) || math.IsNaN(h.Started) || math.IsInf(h.Started, 0) {
			wrong("host", i, "cold", fmt.Sprint(h.Warming), "a host warms in a time that ends")
		}
	}
	groups := map[int]bool{}
	for i, s := range m.Segments {
		twice("segment", segments, i, s.Name)
		on := map[string]bool{}
		for _, name := range s.On {
			known("segment", i, "on", hosts, "host", name)
			if on[name] {
				wrong("segment", i, "on", name, "holds the segment twice; name each host once")
			}
			on[name] = true
		}
		if s.Replicas < 0 || s.Replicas > len(m.Hosts) {
			wrong("segment", i, "replicas", fmt.Sprint(s.Replicas), "there are %d hosts", len(m.Hosts))
		}
		if s.Group >= 0 && groups[s.Group] {
			wrong("segment", i, "group", fmt.Sprint(s.Group), "is another segment's group already")
		}
		groups[s.Group] = true
	}
	type pair struct{ a, b string }
	asked, crossed, sum := map[pair]bool{}, map[pair]bool{}, int64(0)
	for i, d := range m.Demands {
		known("demand", i, "segment", segments, "segment", d.Segment)
		known("demand", i, "hall", halls, "hall", d.Hall)
		rate("demand", i, "rate", d.Rate, 0)
		if asked[pair{d.Segment, d.Hall}] {
			wrong("demand", i, "hall", d.Hall, "asks twice for %s; give the sum once", d.Segment)
		}
		asked[pair{d.Segment, d.Hall}] = true
		if before := sum; d.Rate > 0 && d.Rate <= Most {
			if sum += d.Rate; sum > Most && before <= Most {
				wrong("demand", i, "rate", fmt.Sprint(d.Rate), "makes the sum of all demand more than %d units", Most)
			}
		}
	}
	for i, c := range m.Crossings {
		known("crossing", i, "from", halls, "hall", c.From)
		known("crossing", i, "to", halls, "hall", c.To)
		if c.Cost < 0 || c.Cost > MostCost {
			wrong("crossing", i, "cost", fmt.Sprint(float64(c.Cost)/1000), "a cost goes from 0 to %d", MostCost/1000)
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

// near names what may have been meant by an unknown name.
func near(name string, known map[string]bool) string {
	// Of equals it takes the first by name, not by order.
	return suggest.Hint(name, slices.Collect(maps.Keys(known)))
}

// Safe is what a host may carry at a moment, in units: nothing unless it runs and is there, and of a cold one
// the share that is safe by the slowest clock among the gatherers, since one whose clock runs ahead is early.
func (m *Model) Safe(h *Host, at float64) int64 {
	switch {
	case h.State != gather.Running || h.Started > at-m.Clocks:
		return 0
	case h.Started == 0 || h.Warming == 0 || at-m.Clocks >= h.Started+h.Warming:
		return h.Capacity
	}
	share := h.ColdShare + (1-h.ColdShare)*(at-m.Clocks-h.Started)/h.Warming
	return int64(math.Floor(float64(h.Capacity) * share))
}

// HallRoom is what the hosts of a hall may carry together at a moment, -1 for any.
func (m *Model) HallRoom(hall *Hall, at float64) int64 {
	return hall.Room(func() (room int64) {
		for i := range m.Hosts {
			if m.Hosts[i].Hall == hall.Name {
				room += m.Safe(&m.Hosts[i], at)
			}
		}
		return room
	}())
}

// Room is what the hosts of a hall may carry together if they can take so much, -1 for any.
func (h *Hall) Room(can int64) int64 {
	most := h.Most
	if spare := max(h.Spare, int64(math.Ceil(float64(can)*h.SpareShare-1e-6))); spare > 0 {
		if left := max(can-spare, 0); most < 0 || left < most {
			most = left
		}
	}
	return most
}

// Normal gives the model in the order of its names, so that the order of an operator's lines changes nothing.
func (m *Model) Normal() *Model {
	n := *m
	n.Halls, n.Hosts, n.Segments = slices.Clone(m.Halls), slices.Clone(m.Hosts), slices.Clone(m.Segments)
	n.Demands, n.Crossings = slices.Clone(m.Demands), slices.Clone(m.Crossings)
	slices.SortFunc(n.Halls, func(a, b Hall) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(n.Hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(n.Segments, func(a, b Segment) int { return cmp.Compare(a.Name, b.Name) })
	for i := range n.Segments {
		n.Segments[i].On = slices.Sorted(slices.Values(n.Segments[i].On))
	}
	slices.SortFunc(n.Demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Segment, b.Segment), cmp.Compare(a.Hall, b.Hall))
	})
	slices.SortFunc(n.Crossings, func(a, b Crossing) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	return &n
}
