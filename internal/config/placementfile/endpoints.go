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

// NamedEndpoint is an entry of the endpoint list with the name of its server.
type NamedEndpoint struct {
	Name string
	gather.Endpoint
}

// WithEndpoints returns the model of a from-list file for an endpoint list. Its hosts are the listed servers, with the
// options that the file gives for their kinds, and its segments are the replica sets, named group-N. If a kind does not
// specify the warmup of its hosts, the settings apply. A server whose kind the file does not describe is an error,
// since its capacity is unknown.
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
	if len(b.errors) > 0 {
		return nil, b.lastError()
	}
	if entryErrors := m.Validate(); len(entryErrors) > 0 {
		return nil, f.locateUnlessListed(entryErrors[0])
	}
	return &m, nil
}

// lastError returns the last error that was collected.
func (b *builder) lastError() *directive.Error { return b.errors[len(b.errors)-1] }

// hostOf returns the host for a listed server, with the options of its kind.
func (f *File) hostOf(e *NamedEndpoint, settings *gather.Settings) (placement.Host, error) {
	h := placement.Host{Name: e.Name, Zone: e.Zone, State: e.State, StartedAt: e.StartedAt}
	kind := f.kinds[e.Kind]
	if kind == nil {
		return h, fmt.Errorf("host %s is of kind %q, which the placement file does not describe%s",
			e.Name, e.Kind, suggest.Hint(e.Kind, f.kindNames()))
	}
	b := &builder{file: f}
	b.fillHost(&h, kind, nil)
	if len(b.errors) > 0 {
		return h, b.lastError()
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

// replicaSetSegments returns a segment for each replica set. A server holds its own replica set and the ones before it,
// as many in all as the settings place on each shard.
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

// locateUnlessListed adds the position of the invalid line to an error. Errors in hosts and segments have no line,
// since they come from the endpoint list.
func (f *File) locateUnlessListed(entryError *placement.EntryError) error {
	located := f.locate(entryError)
	if entryError.Kind == hostLine || entryError.Kind == segmentLine || located.Position == (directive.Position{}) {
		return entryError
	}
	return located
}
