package placementfile

import (
	"fmt"
	"math"
	"slices"

	"yokeroute/gather"
	"yokeroute/internal/config/directive"
	"yokeroute/internal/suggest"
	"yokeroute/logic/placement"
)

// NamedEndpoint is a server of discovery's list under its name.
type NamedEndpoint struct {
	Name string
	gather.Endpoint
}

// WithEndpoints completes a from-list file: hosts are those of the list, of the kinds that the file tells, and each group
// of shards is a segment group-N. Where a kind does not say how its hosts warm up, the rules of the terms do. A host
// on the list whose kind the file does not tell is an error, since nothing is known of what it can do.
func (f *File) WithEndpoints(list []NamedEndpoint, settings *gather.Settings, now float64) (*placement.Model, error) {
	m := f.Model
	m.At = math.Ceil(now)
	m.Halls, m.Hosts = slices.Clone(m.Halls), nil
	groups, row := settings.ReplicaSets, settings.ReplicaSetsPerShard
	on := make([][]string, groups)
	for _, l := range list {
		kind := f.kinds[l.Kind]
		if kind == nil {
			return nil, fmt.Errorf("host %s is of kind %q, which the placement file does not tell%s", l.Name, l.Kind, suggest.Hint(l.Kind, kindNames(f.kinds)))
		}
		h := placement.Host{Name: l.Name, Hall: l.Zone, State: l.State, Started: l.StartedAt}
		var wrong error
		f.fillHost(&h, kind, nil, func(err error) { wrong = err })
		if wrong != nil {
			return nil, wrong
		}
		if l.Size > 0 {
			h.Capacity = int64(math.Floor(float64(h.Capacity) * l.Size))
		}
		if !kind.Has("warms") {
			h.ColdShare, h.Warming = settings.InitialCapacityShare, settings.WarmupTime
		}
		m.Hosts = append(m.Hosts, h)
		if !slices.ContainsFunc(m.Halls, func(o placement.Hall) bool { return o.Name == l.Zone }) {
			m.Halls = append(m.Halls, placement.Hall{Name: l.Zone, Most: -1})
		}
		for j := 0; j < row && l.ReplicaSet >= 0 && l.ReplicaSet < groups; j++ {
			base := ((l.ReplicaSet-j)%groups + groups) % groups
			on[base] = append(on[base], l.Name)
		}
	}
	m.Segments = nil
	for g := range groups {
		m.Segments = append(m.Segments, placement.Segment{Name: fmt.Sprint("group-", g), Group: g, On: on[g]})
	}
	m.Demands = slices.Clone(m.Demands)
	var wrong error
	for _, v := range f.wildcardDemands {
		rate := f.units(v, "rate", func(err error) { wrong = err })
		for _, s := range m.Segments {
			if !slices.ContainsFunc(m.Demands, func(d placement.Demand) bool { return d.Segment == s.Name && d.Hall == v.Text("hall") }) {
				m.Demands = append(m.Demands, placement.Demand{Segment: s.Name, Hall: v.Text("hall"), Rate: rate})
			}
		}
	}
	if wrong != nil {
		return nil, wrong
	}
	if faults := m.Check(); len(faults) > 0 {
		// A fault of a line is told with its place; one of the list has none.
		if at := f.locate(faults[0]); at.Position != (directive.Position{}) && faults[0].Kind != "host" && faults[0].Kind != "segment" {
			return nil, at
		}
		return nil, faults[0]
	}
	return &m, nil
}
