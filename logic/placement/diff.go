package placement

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Change lists the differences in effect between two plans.
type Change struct {
	MaxUtilisation       Ratio    `json:"Greatest"`
	MaxUtilisationBefore Ratio    `json:"GreatestBefore"`
	Cost                 int64    `json:"Cost"`
	CostBefore           int64    `json:"CostBefore"`
	Zones                []Delta  `json:"Halls"` // zones whose load differs
	Hosts                []Delta  `json:"Hosts"` // hosts whose load differs by over a tenth
	MovedRate            int64    `json:"Moved"` // units that are assigned to another host than before
	AddedHosts           []string `json:"Came"`
	RemovedHosts         []string `json:"Left"`
	AddedReplicas        []string `json:"Copies"` // replicas, as "segment on host"
	RemovedReplicas      []string `json:"Drops"`  // replicas, as "segment on host"
	Demand               []Delta  `json:"Demand"` // segments whose demand differs
}

// Delta is a rate that has changed, in units.
type Delta struct {
	Name   string `json:"Name"`
	Before int64  `json:"Before"`
	Now    int64  `json:"Now"`
}

// overTenth reports whether the rate changed by over a tenth of its previous value.
func (d Delta) overTenth() bool {
	return math.Abs(float64(d.Now-d.Before)) > 0.1*float64(d.Before)
}

// Diff compares the weights in effect at a moment in two plans that have the same unit.
func Diff(before, now *Plan, at float64) *Change {
	stepBefore := stepAt(before.Steps, at)
	stepNow := stepAt(now.Steps, at)
	oldSummary := summarise(before, stepBefore)
	newSummary := summarise(now, stepNow)
	anyChange := func(Delta) bool { return true }
	return &Change{
		MaxUtilisation:       stepNow.MaxUtilisation,
		MaxUtilisationBefore: stepBefore.MaxUtilisation,
		Cost:                 stepNow.Cost,
		CostBefore:           stepBefore.Cost,
		Zones:                deltas(oldSummary.zoneLoads, newSummary.zoneLoads, anyChange),
		Hosts:                deltas(oldSummary.hostLoads, newSummary.hostLoads, Delta.overTenth),
		MovedRate:            movedRate(oldSummary.rates, newSummary.rates),
		AddedHosts:           missingFrom(oldSummary.hostLoads, newSummary.hostLoads),
		RemovedHosts:         missingFrom(newSummary.hostLoads, oldSummary.hostLoads),
		AddedReplicas:        missingFrom(oldSummary.replicas, newSummary.replicas),
		RemovedReplicas:      missingFrom(newSummary.replicas, oldSummary.replicas),
		Demand:               deltas(oldSummary.demand, newSummary.demand, anyChange),
	}
}

// rateKey identifies a weight: a row by its segment and zone, and a host of that row.
type rateKey struct{ segment, zone, host string }

// summary holds the figures by which plans are compared, in units.
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

// deltas returns the relevant differences between two maps, sorted by name.
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

// movedRate returns the units that are assigned to another host than before. It does not count units of new
// or ended demand.
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

// missingFrom returns the keys of names that are not in known, sorted.
func missingFrom[V any](known, names map[string]V) (list []string) {
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if _, found := known[name]; !found {
			list = append(list, name)
		}
	}
	return list
}

// Describe returns a line for each kind of difference, the most important first. Rate formats units as a
// rate.
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

// describeNames returns a line that counts and lists names, or nil if there are none.
func describeNames(names []string, noun, state string) []string {
	if len(names) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%s %s: %s", pluralise(len(names), noun), state, firstNames(names))}
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

// firstNames lists the first eight names and the number of the others.
func firstNames(names []string) string {
	const listed = 8
	if len(names) <= listed {
		return strings.Join(names, " ")
	}
	return strings.Join(names[:listed], " ") + fmt.Sprintf(" and %d more", len(names)-listed)
}

func pluralise(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
