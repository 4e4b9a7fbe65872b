package placement

import (
	"fmt"
	"slices"
	"strings"
)

// Need is demand that a clash counts.
type Need struct {
	Segment string `json:"Segment"`
	Hall    string `json:"Hall"`
	Rate    int64  `json:"Rate"`
}

// LimitKind is what a limit is of.
type LimitKind string

// The kinds of limits.
const (
	HostCapacity LimitKind = "capacity" // of a warm host
	HostCold     LimitKind = "cold"     // what is safe of a host that warms up
	HostComing   LimitKind = "coming"   // it has not started yet
	HostDraining LimitKind = "draining"
	HostGone     LimitKind = "gone"
	HallMost     LimitKind = "hall most"
	HallSpare    LimitKind = "hall spare"
)

// Limit is a limit that a clash counts, with what it lets through.
type Limit struct {
	Kind  LimitKind `json:"Kind"`
	Name  string    `json:"Name"` // of the host or hall
	Takes int64     `json:"Takes"`
}

// Lift is what would do: raising one limit of the clash to so much. Enough says whether everything fits then,
// or whether only this clash is gone.
type Lift struct {
	Limit  int   `json:"Limit"`
	To     int64 `json:"To"`
	Enough bool  `json:"Enough"`
}

// Clash is a proof that no weights fit: the needs have nowhere to go but through the limits, and they are
// Short units too many for them. Each of its segments is needed for the proof: without any one of them the
// rest fits.
type Clash struct {
	At     float64 `json:"At"`
	Needs  []Need  `json:"Needs"`
	Limits []Limit `json:"Limits"`
	Short  int64   `json:"Short"`
	Lifts  []Lift  `json:"Lifts"`
}

// Check reports whether a clash is true of a model by itself, without solving anything: its needs are
// demanded, all hosts that hold their segments stand behind one of its limits, each limit lets through no
// more than it says at that moment, and the needs are as much more as the clash says. The reason is empty
// where it is true.
func (c *Clash) Check(m *Model) (reason string) {
	need, takes := int64(0), int64(0)
	host, hall := map[string]bool{}, map[string]bool{}
	for _, l := range c.Limits {
		takes += l.Takes
		i := slices.IndexFunc(m.Hosts, func(h Host) bool { return h.Name == l.Name })
		j := slices.IndexFunc(m.Halls, func(h Hall) bool { return h.Name == l.Name })
		switch ofHall := l.Kind == HallMost || l.Kind == HallSpare; {
		case ofHall && (j < 0 || hall[l.Name] || m.HallRoom(&m.Halls[j], c.At) != l.Takes):
			return fmt.Sprintf("hall %s does not take %d", l.Name, l.Takes)
		case ofHall:
			hall[l.Name] = true
		case i < 0 || host[l.Name] || m.Safe(&m.Hosts[i], c.At) != l.Takes:
			return fmt.Sprintf("host %s does not take %d", l.Name, l.Takes)
		default:
			host[l.Name] = true
		}
	}
	seen := map[Need]bool{}
	for _, n := range c.Needs {
		need += n.Rate
		if seen[n] || !slices.Contains(m.Demands, Demand(n)) {
			return fmt.Sprintf("%s is not asked for %d by %s", n.Segment, n.Rate, n.Hall)
		}
		seen[n] = true
		s := m.Segments[slices.IndexFunc(m.Segments, func(s Segment) bool { return s.Name == n.Segment })]
		for _, name := range s.On {
			h := m.Hosts[slices.IndexFunc(m.Hosts, func(h Host) bool { return h.Name == name })]
			if !host[name] && !hall[h.Hall] {
				return fmt.Sprintf("%s can also go to %s", n.Segment, name)
			}
		}
	}
	if need-takes != c.Short || c.Short <= 0 {
		return fmt.Sprintf("%d needed and %d taken make no %d short", need, takes, c.Short)
	}
	return ""
}

// Words tells a clash to an operator; rate puts units into words.
func (c *Clash) Words(rate func(int64) string) string {
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
		takes += l.Takes
	}
	for i, name := range names {
		names[i] = fmt.Sprintf("%s needs %s", name, rate(bySegment[name]))
	}
	fmt.Fprintf(&b, "%s", list(names))
	if len(names) > 1 {
		fmt.Fprintf(&b, ", %s in all", rate(need))
	}
	if len(c.Limits) == 0 {
		fmt.Fprintf(&b, ", and no host holds it")
		return b.String()
	}
	var limits []string
	for _, l := range c.Limits {
		limits = append(limits, l.words(rate))
	}
	fmt.Fprintf(&b, ".\nThere is nowhere else for it than %s", list(limits))
	if len(limits) > 1 {
		fmt.Fprintf(&b, ", which take %s together", rate(takes))
	}
	fmt.Fprintf(&b, ": %s short.", rate(c.Short))
	var enough, part []string
	for _, l := range c.Lifts {
		words := c.Limits[l.Limit].lifted(rate(l.To))
		if l.Enough {
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

func (l Limit) words(rate func(int64) string) string {
	switch l.Kind {
	case HostCold:
		return fmt.Sprintf("%s (still cold: %s is safe)", l.Name, rate(l.Takes))
	case HostComing:
		return fmt.Sprintf("%s (not started yet: nothing)", l.Name)
	case HostDraining:
		return fmt.Sprintf("%s (draining: nothing)", l.Name)
	case HostGone:
		return fmt.Sprintf("%s (gone: nothing)", l.Name)
	case HallMost:
		return fmt.Sprintf("hall %s (limited to %s)", l.Name, rate(l.Takes))
	case HallSpare:
		return fmt.Sprintf("hall %s (%s, the rest has to stay free)", l.Name, rate(l.Takes))
	}
	return fmt.Sprintf("%s (%s)", l.Name, rate(l.Takes))
}

// lifted says what to do so that a limit lets so much through.
func (l Limit) lifted(to string) string {
	switch l.Kind {
	case HostCold, HostComing:
		return fmt.Sprintf("%s warm enough for %s", l.Name, to)
	case HostDraining, HostGone:
		return fmt.Sprintf("%s back in service for %s", l.Name, to)
	case HallMost:
		return fmt.Sprintf("hall %s allowed %s", l.Name, to)
	case HallSpare:
		return fmt.Sprintf("hall %s allowed %s, with less free", l.Name, to)
	}
	return fmt.Sprintf("%s able to take %s", l.Name, to)
}

// list joins words as in a sentence.
func list(words []string) string {
	switch n := len(words); {
	case n == 0:
		return ""
	case n == 1:
		return words[0]
	default:
		return strings.Join(words[:n-1], ", ") + " and " + words[n-1]
	}
}
