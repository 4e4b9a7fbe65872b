package placement

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Change is what differs between two plans, in meaning.
type Change struct {
	MaxUtilisation       Ratio    `json:"Greatest"`
	MaxUtilisationBefore Ratio    `json:"GreatestBefore"`
	Cost                 int64    `json:"Cost"`
	CostBefore           int64    `json:"CostBefore"`
	Zones                []Delta  `json:"Halls"` // those whose load differs
	Hosts                []Delta  `json:"Hosts"` // those whose load differs by over a tenth
	MovedRate            int64    `json:"Moved"` // units that go to another host than before
	AddedHosts           []string `json:"Came"`
	RemovedHosts         []string `json:"Left"`
	AddedReplicas        []string `json:"Copies"` // replicas, as "segment on host"
	RemovedReplicas      []string `json:"Drops"`  // replicas, as "segment on host"
	Demand               []Delta  `json:"Demand"` // segments that are asked for more or less
}

// Delta is a rate before and now, in units.
type Delta struct {
	Name   string `json:"Name"`
	Before int64  `json:"Before"`
	Now    int64  `json:"Now"`
}

// overTenth reports whether a rate changed by over a tenth of what it was.
func (d Delta) overTenth() bool {
	return math.Abs(float64(d.Now-d.Before)) > 0.1*float64(d.Before)
}

// Diff compares the weights that hold at a moment in two plans of the same unit.
func Diff(before, now *Plan, at float64) *Change {
	c := &Change{MaxUtilisationBefore: stepAt(before.Steps, at).MaxUtilisation, MaxUtilisation: stepAt(now.Steps, at).MaxUtilisation,
		CostBefore: stepAt(before.Steps, at).Cost, Cost: stepAt(now.Steps, at).Cost}
	type side struct {
		hosts, halls, demand map[string]int64
		cells                map[[3]string]int64
		on                   map[string]bool
	}
	of := func(p *Plan) side {
		s := side{map[string]int64{}, map[string]int64{}, map[string]int64{}, map[[3]string]int64{},
			map[string]bool{}}
		hall := map[string]string{}
		for _, h := range p.Model.Hosts {
			hall[h.Name], s.hosts[h.Name] = h.Zone, 0
		}
		for _, d := range p.Model.Demands {
			s.demand[d.Segment] += d.Rate
		}
		for _, seg := range p.Model.Segments {
			for _, h := range seg.Hosts {
				s.on[seg.Name+" on "+h] = true
			}
		}
		for _, r := range p.RowsAt(at) {
			for _, w := range r.Weights {
				s.hosts[w.Host] += w.Rate
				s.halls[hall[w.Host]] += w.Rate
				s.cells[[3]string{r.Segment, r.Zone, w.Host}] = w.Rate
			}
		}
		return s
	}
	a, b := of(before), of(now)
	deltas := func(a, b map[string]int64, keep func(Delta) bool) (list []Delta) {
		names := maps.Clone(a)
		maps.Copy(names, b)
		for _, name := range slices.Sorted(maps.Keys(names)) {
			if d := (Delta{name, a[name], b[name]}); d.Before != d.Now && keep(d) {
				list = append(list, d)
			}
		}
		return list
	}
	c.Zones = deltas(a.halls, b.halls, func(Delta) bool { return true })
	c.Hosts = deltas(a.hosts, b.hosts, Delta.overTenth)
	c.Demand = deltas(a.demand, b.demand, func(Delta) bool { return true })
	more, less := int64(0), int64(0)
	for cell, rate := range a.cells {
		less += max(rate-b.cells[cell], 0)
	}
	for cell, rate := range b.cells {
		more += max(rate-a.cells[cell], 0)
	}
	c.MovedRate = min(more, less)
	missing := func(in, from []string) (list []string) {
		for _, name := range from {
			if _, there := slices.BinarySearch(in, name); !there {
				list = append(list, name)
			}
		}
		return list
	}
	hostsA, hostsB := slices.Sorted(maps.Keys(a.hosts)), slices.Sorted(maps.Keys(b.hosts))
	c.AddedHosts, c.RemovedHosts = missing(hostsA, hostsB), missing(hostsB, hostsA)
	onA, onB := slices.Sorted(maps.Keys(a.on)), slices.Sorted(maps.Keys(b.on))
	c.AddedReplicas, c.RemovedReplicas = missing(onA, onB), missing(onB, onA)
	return c
}

// Describe tells a change line by line, what matters most first; rate puts units into words.
func (c *Change) Describe(rate func(int64) string) []string {
	var lines []string
	say := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	if c.MaxUtilisation.Less(c.MaxUtilisationBefore) || c.MaxUtilisationBefore.Less(c.MaxUtilisation) {
		say("greatest utilisation goes from %.1f%% to %.1f%%", 100*c.MaxUtilisationBefore.Float(), 100*c.MaxUtilisation.Float())
	}
	few := func(names []string) string {
		if len(names) > 8 {
			return strings.Join(names[:8], " ") + fmt.Sprintf(" and %d more", len(names)-8)
		}
		return strings.Join(names, " ")
	}
	if len(c.AddedHosts) > 0 {
		say("%s new: %s", pluralise(len(c.AddedHosts), "host"), few(c.AddedHosts))
	}
	if len(c.RemovedHosts) > 0 {
		say("%s gone: %s", pluralise(len(c.RemovedHosts), "host"), few(c.RemovedHosts))
	}
	for _, d := range c.Zones {
		if d.Now > d.Before {
			say("%s takes %s more", d.Name, rate(d.Now-d.Before))
		} else {
			say("%s takes %s less", d.Name, rate(d.Before-d.Now))
		}
	}
	if len(c.Hosts) > 0 {
		var names []string
		for _, d := range c.Hosts {
			names = append(names, fmt.Sprintf("%s (%s to %s)", d.Name, rate(d.Before), rate(d.Now)))
		}
		verb := "change"
		if len(names) == 1 {
			verb = "changes"
		}
		say("%s %s by over a tenth: %s", pluralise(len(c.Hosts), "host"), verb, few(names))
	}
	if c.MovedRate > 0 {
		say("%s go to another host than before", rate(c.MovedRate))
	}
	if len(c.AddedReplicas) > 0 {
		say("%s to copy: %s", pluralise(len(c.AddedReplicas), "replica"), few(c.AddedReplicas))
	}
	if len(c.RemovedReplicas) > 0 {
		say("%s to drop: %s", pluralise(len(c.RemovedReplicas), "replica"), few(c.RemovedReplicas))
	}
	for _, d := range c.Demand {
		say("demand for %s goes from %s to %s", d.Name, rate(d.Before), rate(d.Now))
	}
	if c.Cost != c.CostBefore {
		say("cost goes from %g to %g a second", float64(c.CostBefore)/1000, float64(c.Cost)/1000)
	}
	return lines
}

func pluralise(n int, what string) string {
	if n == 1 {
		return "1 " + what
	}
	return fmt.Sprintf("%d %ss", n, what)
}
