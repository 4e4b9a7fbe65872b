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
	stepBefore := stepAt(before.Steps, at)
	stepNow := stepAt(now.Steps, at)
	a := summarise(before, stepBefore)
	b := summarise(now, stepNow)
	anyChange := func(Delta) bool { return true }
	return &Change{
		MaxUtilisation:       stepNow.MaxUtilisation,
		MaxUtilisationBefore: stepBefore.MaxUtilisation,
		Cost:                 stepNow.Cost,
		CostBefore:           stepBefore.Cost,
		Zones:                deltas(a.zoneLoads, b.zoneLoads, anyChange),
		Hosts:                deltas(a.hostLoads, b.hostLoads, Delta.overTenth),
		MovedRate:            movedRate(a.rates, b.rates),
		AddedHosts:           missingFrom(a.hostLoads, b.hostLoads),
		RemovedHosts:         missingFrom(b.hostLoads, a.hostLoads),
		AddedReplicas:        missingFrom(a.replicas, b.replicas),
		RemovedReplicas:      missingFrom(b.replicas, a.replicas),
		Demand:               deltas(a.demand, b.demand, anyChange),
	}
}

// rateKey is a segment's row for a zone, and a host of it.
type rateKey struct{ segment, zone, host string }

// summary is what plans are compared by, in units.
type summary struct {
	hostLoads map[string]int64
	zoneLoads map[string]int64
	demand    map[string]int64 // by segment
	rates     map[rateKey]int64
	replicas  map[string]bool // "segment on host"
}

func summarise(p *Plan, step *Step) summary {
	s := summary{
		hostLoads: map[string]int64{},
		zoneLoads: map[string]int64{},
		demand:    map[string]int64{},
		rates:     map[rateKey]int64{},
		replicas:  map[string]bool{},
	}
	zoneOf := map[string]string{}
	for i := range p.Model.Hosts {
		h := &p.Model.Hosts[i]
		zoneOf[h.Name] = h.Zone
		s.hostLoads[h.Name] = 0
	}
	for _, d := range p.Model.Demands {
		s.demand[d.Segment] += d.Rate
	}
	for _, segment := range p.Model.Segments {
		for _, host := range segment.Hosts {
			s.replicas[segment.Name+" on "+host] = true
		}
	}
	for _, r := range step.Rows {
		for _, w := range r.Weights {
			s.hostLoads[w.Host] += w.Rate
			s.zoneLoads[zoneOf[w.Host]] += w.Rate
			s.rates[rateKey{r.Segment, r.Zone, w.Host}] = w.Rate
		}
	}
	return s
}

// deltas returns what differs, in the order of names.
func deltas(before, now map[string]int64, isRelevant func(Delta) bool) (list []Delta) {
	names := maps.Clone(before)
	maps.Copy(names, now)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		d := Delta{Name: name, Before: before[name], Now: now[name]}
		if d.Before != d.Now && isRelevant(d) {
			list = append(list, d)
		}
	}
	return list
}

// movedRate returns the units that go to another host than before. Demand that came or went has not moved.
func movedRate(before, now map[rateKey]int64) int64 {
	added, removed := int64(0), int64(0)
	for key, rate := range before {
		removed += max(rate-now[key], 0)
	}
	for key, rate := range now {
		added += max(rate-before[key], 0)
	}
	return min(added, removed)
}

// missingFrom returns the names that a map lacks of another, in their order.
func missingFrom[V any](known, names map[string]V) (list []string) {
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if _, found := known[name]; !found {
			list = append(list, name)
		}
	}
	return list
}

// Describe describes a change line by line, what matters most first. Rate writes units as a rate.
func (c *Change) Describe(rate func(int64) string) []string {
	var lines []string
	add := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	if c.MaxUtilisation.Less(c.MaxUtilisationBefore) || c.MaxUtilisationBefore.Less(c.MaxUtilisation) {
		add("greatest utilisation goes from %.1f%% to %.1f%%",
			100*c.MaxUtilisationBefore.Float(), 100*c.MaxUtilisation.Float())
	}
	lines = append(lines, describeNames(c.AddedHosts, "host", "new")...)
	lines = append(lines, describeNames(c.RemovedHosts, "host", "gone")...)
	for _, d := range c.Zones {
		if d.Now > d.Before {
			add("%s takes %s more", d.Name, rate(d.Now-d.Before))
		} else {
			add("%s takes %s less", d.Name, rate(d.Before-d.Now))
		}
	}
	if len(c.Hosts) > 0 {
		lines = append(lines, describeHostLoads(c.Hosts, rate))
	}
	if c.MovedRate > 0 {
		add("%s go to another host than before", rate(c.MovedRate))
	}
	lines = append(lines, describeNames(c.AddedReplicas, "replica", "to copy")...)
	lines = append(lines, describeNames(c.RemovedReplicas, "replica", "to drop")...)
	for _, d := range c.Demand {
		add("demand for %s goes from %s to %s", d.Name, rate(d.Before), rate(d.Now))
	}
	if c.Cost != c.CostBefore {
		add("cost goes from %g to %g a second", float64(c.CostBefore)/CostUnits, float64(c.Cost)/CostUnits)
	}
	return lines
}

// describeNames returns a line that counts and lists names, none without names.
func describeNames(names []string, noun, what string) []string {
	if len(names) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%s %s: %s", pluralise(len(names), noun), what, firstNames(names))}
}

func describeHostLoads(hosts []Delta, rate func(int64) string) string {
	var names []string
	for _, d := range hosts {
		names = append(names, fmt.Sprintf("%s (%s to %s)", d.Name, rate(d.Before), rate(d.Now)))
	}
	verb := "change"
	if len(names) == 1 {
		verb = "changes"
	}
	return fmt.Sprintf("%s %s by over a tenth: %s", pluralise(len(hosts), "host"), verb, firstNames(names))
}

// firstNames lists the first names, and counts the others.
func firstNames(names []string) string {
	const listed = 8
	if len(names) <= listed {
		return strings.Join(names, " ")
	}
	return strings.Join(names[:listed], " ") + fmt.Sprintf(" and %d more", len(names)-listed)
}

func pluralise(n int, what string) string {
	if n == 1 {
		return "1 " + what
	}
	return fmt.Sprintf("%d %ss", n, what)
}
