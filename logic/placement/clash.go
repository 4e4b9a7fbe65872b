package placement

import (
	"fmt"
	"slices"
	"strings"
)

// Need is demand that a clash counts.
type Need struct {
	Segment string `json:"Segment"`
	Zone    string `json:"Hall"`
	Rate    int64  `json:"Rate"`
}

// LimitKind is what a limit is of.
type LimitKind string

// The kinds of limits.
const (
	HostCapacity   LimitKind = "capacity" // of a warm host
	HostWarmingUp  LimitKind = "cold"     // what is safe of a host that warms up
	HostNotStarted LimitKind = "coming"   // it has not started yet
	HostDraining   LimitKind = "draining"
	HostGone       LimitKind = "gone"
	ZoneMaxLoad    LimitKind = "hall most"
	ZoneHeadroom   LimitKind = "hall spare"
)

// Limit is a limit that a clash counts, with what it lets through.
type Limit struct {
	Kind     LimitKind `json:"Kind"`
	Name     string    `json:"Name"` // of the host or hall
	Capacity int64     `json:"Takes"`
}

// Relaxation is what would do: raising one limit of the clash to so much. Enough says whether everything fits then,
// or whether only this clash is gone.
type Relaxation struct {
	Limit      int   `json:"Limit"`
	To         int64 `json:"To"`
	Sufficient bool  `json:"Enough"`
}

// Infeasibility is a proof that no weights fit: the needs have nowhere to go but through the limits, and they are
// Short units too many for them. Each of its segments is needed for the proof: without any one of them the
// rest fits.
type Infeasibility struct {
	At          float64      `json:"At"`
	Needs       []Need       `json:"Needs"`
	Limits      []Limit      `json:"Limits"`
	Shortfall   int64        `json:"Short"`
	Relaxations []Relaxation `json:"Lifts"`
}

// Verify reports whether a clash is true of a model by itself, without solving anything: its needs are
// demanded, all hosts that hold their segments stand behind one of its limits, each limit lets through no
// more than it says at that moment, and the needs are as much more as the clash says. The reason is empty
// where it is true.
func (c *Infeasibility) Verify(m *Model) (reason string) {
	need, takes := int64(0), int64(0)
	host, hall := map[string]bool{}, map[string]bool{}
	for _, l := range c.Limits {
		takes += l.Capacity
		i := slices.IndexFunc(m.Hosts, func(h Host) bool { return h.Name == l.Name })
		j := slices.IndexFunc(m.Zones, func(h Zone) bool { return h.Name == l.Name })
		switch ofHall := l.Kind == ZoneMaxLoad || l.Kind == ZoneHeadroom; {
		case ofHall && (j < 0 || hall[l.Name] || m.ZoneLoadLimit(&m.Zones[j], c.At) != l.Capacity):
			return fmt.Sprintf("hall %s does not take %d", l.Name, l.Capacity)
		case ofHall:
			hall[l.Name] = true
		case i < 0 || host[l.Name] || m.SafeCapacity(&m.Hosts[i], c.At) != l.Capacity:
			return fmt.Sprintf("host %s does not take %d", l.Name, l.Capacity)
		default:
			host[l.Name] = true
		}
	}
	seen := map[Need]bool{}
	for _, n := range c.Needs {
		need += n.Rate
		if seen[n] || !slices.Contains(m.Demands, Demand(n)) {
			return fmt.Sprintf("%s is not asked for %d by %s", n.Segment, n.Rate, n.Zone)
		}
		seen[n] = true
		s := m.Segments[slices.IndexFunc(m.Segments, func(s Segment) bool { return s.Name == n.Segment })]
		for _, name := range s.Hosts {
			h := m.Hosts[slices.IndexFunc(m.Hosts, func(h Host) bool { return h.Name == name })]
			if !host[name] && !hall[h.Zone] {
				return fmt.Sprintf("%s can also go to %s", n.Segment, name)
			}
		}
	}
	if need-takes != c.Shortfall || c.Shortfall <= 0 {
		return fmt.Sprintf("%d needed and %d taken make no %d short", need, takes, c.Shortfall)
	}
	return ""
}

// Describe tells a clash to an operator; rate puts units into words.
func (c *Infeasibility) Describe(rate func(int64) string) string {
	var b strings.Builder
	need, takes := int64(0), int64(0)
	bySegment, names := map[string]int64{}, []string(nil)
	for _, n := range c.Needs {
		need += n.Rate
		if _, seen := bySegment[n.Segment]; !seen {
			names = append(names, n.Segment)
		}
		bySegment[n.Segment] += n.Rate
	}
	for _, l := range c.Limits {
		takes += l.Capacity
	}
	for i, name := range names {
		names[i] = fmt.Sprintf("%s needs %s", name, rate(bySegment[name]))
	}
	fmt.Fprintf(&b, "%s", joinWords(names))
	if len(names) > 1 {
		fmt.Fprintf(&b, ", %s in all", rate(need))
	}
	if len(c.Limits) == 0 {
		fmt.Fprintf(&b, ", and no host holds it")
		return b.String()
	}
	var limits []string
	for _, l := range c.Limits {
		limits = append(limits, l.describe(rate))
	}
	fmt.Fprintf(&b, ".\nThere is nowhere else for it than %s", joinWords(limits))
	if len(limits) > 1 {
		fmt.Fprintf(&b, ", which take %s together", rate(takes))
	}
	fmt.Fprintf(&b, ": %s short.", rate(c.Shortfall))
	var enough, part []string
	for _, l := range c.Relaxations {
		words := c.Limits[l.Limit].describeRelaxed(rate(l.To))
		if l.Sufficient {
			enough = append(enough, words)
		} else {
			part = append(part, words)
		}
	}
	if len(enough) > 0 {
		fmt.Fprintf(&b, "\nAny one of these would do: %s.", strings.Join(enough, "; "))
	}
	if len(part) > 0 {
		fmt.Fprintf(&b, "\nThese would clear this clash and leave another: %s.", strings.Join(part, "; "))
	}
	return b.String()
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

// describeRelaxed says what to do so that a limit lets so much through.
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

// joinWords joins words as in a sentence.
func joinWords(words []string) string {
	switch n := len(words); {
	case n == 0:
		return ""
	case n == 1:
		return words[0]
	default:
		return strings.Join(words[:n-1], ", ") + " and " + words[n-1]
	}
}
