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

// NamedEndpoint is a server of the endpoint list under its name.
type NamedEndpoint struct {
	Name string
	gather.Endpoint
}

// WithEndpoints completes a from-list file. The hosts are the listed servers, with the figures that the file gives
// their kinds, and each replica set is a segment group-N. Where a kind does not say how its hosts warm up, the
// settings do. A server whose kind the file does not describe is an error, since nothing is known of its capacity.
func (f *File) WithEndpoints(list []NamedEndpoint, settings *gather.Settings, now float64) (*placement.Model, error) {
	m := f.Model
	m.At = math.Ceil(now)
	m.Zones = slices.Clone(m.Zones)
	m.Hosts = nil
	for i := range list {
		host, err := f.hostOf(&list[i], settings)
		if err != nil {
			return nil, err
		}
		m.Hosts = append(m.Hosts, host)
		if !slices.ContainsFunc(m.Zones, func(z placement.Zone) bool { return z.Name == host.Zone }) {
			m.Zones = append(m.Zones, placement.Zone{Name: host.Zone, MaxLoad: -1})
		}
	}
	m.Segments = replicaSetSegments(list, settings)
	m.Demands = slices.Clone(m.Demands)
	b := &builder{file: f}
	for _, v := range f.wildcardDemands {
		m.Demands = append(m.Demands, b.expandWildcard(v, m.Segments, m.Demands)...)
	}
	if len(b.mistakes) > 0 {
		return nil, b.lastMistake()
	}
	if faults := m.Validate(); len(faults) > 0 {
		return nil, f.endpointFault(faults[0])
	}
	return &m, nil
}

// lastMistake returns the last mistake that was collected.
func (b *builder) lastMistake() *directive.Error { return b.mistakes[len(b.mistakes)-1] }

// hostOf returns the host that a listed server is, by its kind.
func (f *File) hostOf(e *NamedEndpoint, settings *gather.Settings) (placement.Host, error) {
	h := placement.Host{Name: e.Name, Zone: e.Zone, State: e.State, StartedAt: e.StartedAt}
	kind := f.kinds[e.Kind]
	if kind == nil {
		return h, fmt.Errorf("host %s is of kind %q, which the placement file does not tell%s",
			e.Name, e.Kind, suggest.Hint(e.Kind, f.kindNames()))
	}
	b := &builder{file: f}
	b.fillHost(&h, kind, nil)
	if len(b.mistakes) > 0 {
		return h, b.lastMistake()
	}
	if e.Size > 0 {
		h.Capacity = int64(math.Floor(float64(h.Capacity) * e.Size))
	}
	if !kind.Has("warms") {
		h.InitialCapacityShare = settings.InitialCapacityShare
		h.WarmupTime = settings.WarmupTime
	}
	return h, nil
}

// replicaSetSegments returns a segment for each replica set. A server holds its own replica set and as many before it
// as the settings place in a row.
func replicaSetSegments(list []NamedEndpoint, settings *gather.Settings) []placement.Segment {
	count := settings.ReplicaSets
	hosts := make([][]string, count)
	for i := range list {
		e := &list[i]
		if e.ReplicaSet < 0 || e.ReplicaSet >= count {
			continue
		}
		for offset := range settings.ReplicaSetsPerShard {
			first := ((e.ReplicaSet-offset)%count + count) % count
			hosts[first] = append(hosts[first], e.Name)
		}
	}
	var segments []placement.Segment
	for n := range count {
		segments = append(segments, placement.Segment{Name: fmt.Sprint("group-", n), ReplicaSet: n, Hosts: hosts[n]})
	}
	return segments
}

// endpointFault adds the place of a line that is at fault. Hosts and segments are the list's, and have none.
func (f *File) endpointFault(fault *placement.EntryError) error {
	located := f.locate(fault)
	if fault.Kind == hostLine || fault.Kind == segmentLine || located.Position == (directive.Position{}) {
		return fault
	}
	return located
}
