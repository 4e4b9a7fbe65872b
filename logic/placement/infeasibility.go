package placement

import (
	"fmt"
	"slices"
	"strings"
)

// Need is a demand that is part of a proof of infeasibility.
type Need struct {
	Segment string `json:"Segment"`
	Zone    string `json:"Hall"`
	Rate    int64  `json:"Rate"`
}

// LimitKind is the kind of a limit: what it limits, and why.
type LimitKind string

// The kinds of limits.
const (
	HostCapacity   LimitKind = "capacity" // a warm host at its capacity
	HostWarmingUp  LimitKind = "cold"     // a host that is warming up, at its safe capacity
	HostNotStarted LimitKind = "coming"   // a host that has not started yet
	HostDraining   LimitKind = "draining"
	HostGone       LimitKind = "gone" // a host that is removed or lost
	// The values call a zone a hall.
	ZoneMaxLoad  LimitKind = "hall most"  // a zone at its maximum load
	ZoneHeadroom LimitKind = "hall spare" // a zone at its capacity less the headroom
)

// OfZone reports whether the limit applies to a zone rather than to a host.
func (k LimitKind) OfZone() bool { return k == ZoneMaxLoad || k == ZoneHeadroom }

// Limit is a limit that is part of a proof of infeasibility, with the load that it allows.
type Limit struct {
	Kind     LimitKind `json:"Kind"`
	Name     string    `json:"Name"` // name of the host or zone
	Capacity int64     `json:"Takes"`
}

// Relaxation is a change that would raise one limit of a proof.
type Relaxation struct {
	Limit      int   `json:"Limit"` // index in the limits of the proof
	To         int64 `json:"To"`
	Sufficient bool  `json:"Enough"` // whether all demand fits then; if not, another infeasibility remains
}

// Infeasibility is a proof that no weights fit: all hosts that could serve the needs are subject to the
// limits, and the needs exceed the limits by the shortfall. Each of its segments is necessary: without any
// one of them, the needs of the others fit.
type Infeasibility struct {
	At          float64      `json:"At"`
	Needs       []Need       `json:"Needs"`
	Limits      []Limit      `json:"Limits"`
	Shortfall   int64        `json:"Short"`
	Relaxations []Relaxation `json:"Lifts"`
}

// Verify checks a proof against a model without solving: the needs are demands of the model, all hosts of
// their segments are subject to one of the limits, each limit allows the load that the proof states for that
// moment, and the needs exceed the limits by the shortfall. It returns the reason why the proof does not
// hold, or an empty string if it does.
func (f *Infeasibility) Verify(m *Model) (reason string) {
	hosts, zones, reason := f.verifyLimits(m)
	if reason != "" {
		return reason
	}
	seen := map[Need]bool{}
	for _, n := range f.Needs {
		if seen[n] || !slices.Contains(m.Demands, Demand(n)) {
			return fmt.Sprintf("the model has no demand for %s of %d units from %s, or the proof lists it twice",
				n.Segment, n.Rate, n.Zone)
		}
		seen[n] = true
		s := &m.Segments[slices.IndexFunc(m.Segments, func(s Segment) bool { return s.Name == n.Segment })]
		for _, name := range s.Hosts {
			h := &m.Hosts[slices.IndexFunc(m.Hosts, func(h Host) bool { return h.Name == name })]
			if !hosts[name] && !zones[h.Zone] {
				return fmt.Sprintf("demand for %s can also go to host %s, for which the proof has no limit",
					n.Segment, name)
			}
		}
	}
	need, capacity := f.totals()
	if need-capacity != f.Shortfall || f.Shortfall <= 0 {
		return fmt.Sprintf("needs of %d units less limits of %d are not a shortfall of %d",
			need, capacity, f.Shortfall)
	}
	return ""
}

// verifyLimits checks the limits against the model, and returns the hosts and zones to which they apply.
func (f *Infeasibility) verifyLimits(m *Model) (hosts, zones map[string]bool, reason string) {
	hosts = map[string]bool{}
	zones = map[string]bool{}
	for _, l := range f.Limits {
		if l.Kind.OfZone() {
			i := slices.IndexFunc(m.Zones, func(z Zone) bool { return z.Name == l.Name })
			if i < 0 || zones[l.Name] || m.ZoneLoadLimit(&m.Zones[i], f.At) != l.Capacity {
				return nil, nil, fmt.Sprintf("the limit of hall %s is not %d units, or the proof lists it twice",
					l.Name, l.Capacity)
			}
			zones[l.Name] = true
			continue
		}
		i := slices.IndexFunc(m.Hosts, func(h Host) bool { return h.Name == l.Name })
		if i < 0 || hosts[l.Name] || m.SafeCapacity(&m.Hosts[i], f.At) != l.Capacity {
			return nil, nil, fmt.Sprintf("the capacity of host %s is not %d units, or the proof lists it twice",
				l.Name, l.Capacity)
		}
		hosts[l.Name] = true
	}
	return hosts, zones, ""
}

// totals returns the sums of the needs and of the limits.
func (f *Infeasibility) totals() (need, capacity int64) {
	for _, n := range f.Needs {
		need += n.Rate
	}
	for _, l := range f.Limits {
		capacity += l.Capacity
	}
	return need, capacity
}

// Describe explains a proof to an operator. Rate formats units as a rate.
func (f *Infeasibility) Describe(rate func(int64) string) string {
	var b strings.Builder
	need, capacity := f.totals()
	needs := f.describeNeeds(rate)
	b.WriteString(joinList(needs))
	if len(needs) > 1 {
		fmt.Fprintf(&b, ", %s in all", rate(need))
	}
	if len(f.Limits) == 0 {
		b.WriteString(", and no host holds it")
		return b.String()
	}
	var limits []string
	for _, l := range f.Limits {
		limits = append(limits, l.describe(rate))
	}
	fmt.Fprintf(&b, ".\nThere is nowhere else for it than %s", joinList(limits))
	if len(limits) > 1 {
		fmt.Fprintf(&b, ", which take %s together", rate(capacity))
	}
	fmt.Fprintf(&b, ": %s short.", rate(f.Shortfall))
	var sufficient, partial []string
	for _, r := range f.Relaxations {
		text := f.Limits[r.Limit].describeRelaxed(rate(r.To))
		if r.Sufficient {
			sufficient = append(sufficient, text)
		} else {
			partial = append(partial, text)
		}
	}
	if len(sufficient) > 0 {
		fmt.Fprintf(&b, "\nAny one of these would do: %s.", strings.Join(sufficient, "; "))
	}
	if len(partial) > 0 {
		fmt.Fprintf(&b, "\nThese would clear this clash and leave another: %s.", strings.Join(partial, "; "))
	}
	return b.String()
}

// describeNeeds returns a text for each segment with the sum of its needs, in the order of the proof.
func (f *Infeasibility) describeNeeds(rate func(int64) string) []string {
	bySegment := map[string]int64{}
	var segments []string
	for _, n := range f.Needs {
		if _, seen := bySegment[n.Segment]; !seen {
			segments = append(segments, n.Segment)
		}
		bySegment[n.Segment] += n.Rate
	}
	var needs []string
	for _, segment := range segments {
		needs = append(needs, fmt.Sprintf("%s needs %s", segment, rate(bySegment[segment])))
	}
	return needs
}

func (l Limit) describe(rate func(int64) string) string {
	switch l.Kind {
	case HostWarmingUp:
		return fmt.Sprintf("%s (still cold: %s is safe)", l.Name, rate(l.Capacity))
	case HostNotStarted:
		return fmt.Sprintf("%s (not started yet: nothing)", l.Name)
	case HostDraining:
		return fmt.Sprintf("%s (draining: nothing)", l.Name)
	case HostGone:
		return fmt.Sprintf("%s (gone: nothing)", l.Name)
	case ZoneMaxLoad:
		return fmt.Sprintf("hall %s (limited to %s)", l.Name, rate(l.Capacity))
	case ZoneHeadroom:
		return fmt.Sprintf("hall %s (%s, the rest has to stay free)", l.Name, rate(l.Capacity))
	}
	return fmt.Sprintf("%s (%s)", l.Name, rate(l.Capacity))
}

// describeRelaxed describes the state in which the limit allows a higher load.
func (l Limit) describeRelaxed(to string) string {
	switch l.Kind {
	case HostWarmingUp, HostNotStarted:
		return fmt.Sprintf("%s warm enough for %s", l.Name, to)
	case HostDraining, HostGone:
		return fmt.Sprintf("%s back in service for %s", l.Name, to)
	case ZoneMaxLoad:
		return fmt.Sprintf("hall %s allowed %s", l.Name, to)
	case ZoneHeadroom:
		return fmt.Sprintf("hall %s allowed %s, with less free", l.Name, to)
	}
	return fmt.Sprintf("%s able to take %s", l.Name, to)
}

// joinList joins items with commas, and the last one with "and".
func joinList(items []string) string {
	switch len(items) {
	case 0:
		return ""
	case 1:
		return items[0]
	}
	last := len(items) - 1
	return strings.Join(items[:last], ", ") + " and " + items[last]
}
