package placement

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"yokeroute/internal/suggest"
)

// Kinds of model entries, named by the directives of placement files.
const (
	ZoneEntry     = "hall"
	HostEntry     = "host"
	SegmentEntry  = "segment"
	DemandEntry   = "demand"
	ZoneCostEntry = "crossing"
)

// EntryError describes an invalid entry of a model.
type EntryError struct {
	Kind    string // one of the kinds of entries; empty for the model itself
	Index   int    // index among the entries of that kind
	Field   string // name of the option or argument in placement files
	Value   string // value that is invalid
	Problem string // why the value is invalid, and what would be valid
}

func (e *EntryError) Error() string { return fmt.Sprintf("%s %q: %s", e.Kind, e.Value, e.Problem) }

// validator collects the errors in a model. Its maps hold the names of the entries validated so far, by which
// other entries may refer to them.
type validator struct {
	m        *Model
	errors   []*EntryError
	zones    map[string]bool
	hosts    map[string]bool
	segments map[string]bool
}

// entry identifies an entry of a model.
type entry struct {
	kind  string
	index int
}

// Validate returns all errors in the model, by kind of entry and in the order of the entries.
func (m *Model) Validate() []*EntryError {
	v := &validator{m: m, zones: map[string]bool{}, hosts: map[string]bool{}, segments: map[string]bool{}}
	if !(m.Unit > 0) || math.IsInf(m.Unit, 0) {
		v.reject(entry{}, "unit", fmt.Sprint(m.Unit), "a unit is a rate above 0")
	}
	v.validateZones()
	v.validateHosts()
	v.validateSegments()
	v.validateDemands()
	v.validateZoneCosts()
	return v.errors
}

func (v *validator) reject(e entry, field, value, problem string, args ...any) {
	v.errors = append(v.errors, &EntryError{
		Kind:    e.kind,
		Index:   e.index,
		Field:   field,
		Value:   value,
		Problem: fmt.Sprintf(problem, args...),
	})
}

// checkRate rejects a rate that is below minimum or above MaxRate.
func (v *validator) checkRate(e entry, field string, rate, minimum int64) {
	switch {
	case rate < minimum:
		v.reject(e, field, fmt.Sprint(rate), "is below the minimum of %d", minimum)
	case rate > MaxRate:
		v.reject(e, field, fmt.Sprint(rate), "is more than %d units; set a larger unit", MaxRate)
	}
}

func (v *validator) checkCost(e entry, cost int64) {
	if cost < 0 || cost > MaxCost {
		value := fmt.Sprint(float64(cost) / CostUnits)
		v.reject(e, "cost", value, "a cost goes from 0 to %d", MaxCost/CostUnits)
	}
}

func (v *validator) checkShare(e entry, field string, share float64) {
	if !(share >= 0 && share <= 1) { // written in this form to reject NaN
		v.reject(e, field, fmt.Sprint(share), "a share goes from 0%% to 100%%")
	}
}

// define adds the name of an entry to the known names of its kind. It rejects empty and duplicate names.
func (v *validator) define(e entry, knownNames map[string]bool, name string) {
	switch {
	case name == "":
		v.reject(e, "name", name, "has no name")
	case knownNames[name]:
		v.reject(e, "name", name, "is given twice; every %s has its own name", e.kind)
	}
	knownNames[name] = true
}

// checkReference rejects a name that is not the name of an entry of the given kind.
func (v *validator) checkReference(e entry, field, kind, name string) {
	knownNames := v.zones
	switch kind {
	case HostEntry:
		knownNames = v.hosts
	case SegmentEntry:
		knownNames = v.segments
	}
	if !knownNames[name] {
		v.reject(e, field, name, "is no %s of this file%s", kind, nameHint(name, knownNames))
	}
}

// nameHint suggests a known name that is similar to an unknown one.
func nameHint(name string, knownNames map[string]bool) string {
	// Of names that are equally similar, Hint returns the alphabetically first, so that the random order of
	// the map has no influence.
	return suggest.Hint(name, slices.Collect(maps.Keys(knownNames)))
}

func (v *validator) validateZones() {
	for i, z := range v.m.Zones {
		e := entry{ZoneEntry, i}
		v.define(e, v.zones, z.Name)
		v.checkRate(e, "most", z.MaxLoad, -1)
		v.checkRate(e, "spare", z.Headroom, 0)
		v.checkShare(e, "spare", z.HeadroomShare)
	}
}

func (v *validator) validateHosts() {
	for i := range v.m.Hosts {
		h := &v.m.Hosts[i]
		e := entry{HostEntry, i}
		v.define(e, v.hosts, h.Name)
		v.checkReference(e, "hall", ZoneEntry, h.Zone)
		v.checkRate(e, "capacity", h.Capacity, 0)
		v.checkCost(e, h.Cost)
		v.checkShare(e, "cold", h.InitialCapacityShare)
		isFinite := h.WarmupTime >= 0 && !math.IsInf(h.WarmupTime, 0) &&
			!math.IsNaN(h.StartedAt) && !math.IsInf(h.StartedAt, 0)
		if !isFinite {
			v.reject(e, "cold", fmt.Sprint(h.WarmupTime),
				"start and warmup time have to be finite, warmup not negative")
		}
	}
}

func (v *validator) validateSegments() {
	replicaSets := map[int]bool{}
	for i := range v.m.Segments {
		s := &v.m.Segments[i]
		e := entry{SegmentEntry, i}
		v.define(e, v.segments, s.Name)
		listed := map[string]bool{}
		for _, host := range s.Hosts {
			v.checkReference(e, "on", HostEntry, host)
			if listed[host] {
				v.reject(e, "on", host, "is listed twice; list each host once")
			}
			listed[host] = true
		}
		if s.Replicas < 0 || s.Replicas > len(v.m.Hosts) {
			v.reject(e, "replicas", fmt.Sprint(s.Replicas), "is not from 0 to the number of hosts, %d",
				len(v.m.Hosts))
		}
		if s.ReplicaSet >= 0 && replicaSets[s.ReplicaSet] {
			v.reject(e, "group", fmt.Sprint(s.ReplicaSet),
				"is already the group of another segment; every segment has its own group")
		}
		replicaSets[s.ReplicaSet] = true
	}
}

func (v *validator) validateDemands() {
	demanded := map[demandKey]bool{}
	sum := int64(0)
	for i, d := range v.m.Demands {
		e := entry{DemandEntry, i}
		v.checkReference(e, "segment", SegmentEntry, d.Segment)
		v.checkReference(e, "hall", ZoneEntry, d.Zone)
		v.checkRate(e, "rate", d.Rate, 0)
		key := demandKey{d.Segment, d.Zone}
		if demanded[key] {
			v.reject(e, "hall", d.Zone, "has two demands for segment %s; write one with their sum", d.Segment)
		}
		demanded[key] = true
		if d.Rate <= 0 || d.Rate > MaxRate {
			continue
		}
		sumBefore := sum
		sum += d.Rate
		if sum > MaxRate && sumBefore <= MaxRate { // reported once, for the demand that exceeds the limit
			v.reject(e, "rate", fmt.Sprint(d.Rate), "makes the sum of all demand more than %d units", MaxRate)
		}
	}
}

func (v *validator) validateZoneCosts() {
	type direction struct{ from, to string }
	given := map[direction]bool{}
	for i, c := range v.m.ZoneCosts {
		e := entry{ZoneCostEntry, i}
		v.checkReference(e, "from", ZoneEntry, c.From)
		v.checkReference(e, "to", ZoneEntry, c.To)
		v.checkCost(e, c.Cost)
		key := direction{c.From, c.To}
		if given[key] {
			v.reject(e, "to", c.To, "is given twice from %s; write one cost for each direction", c.From)
		}
		given[key] = true
		if c.From == c.To {
			v.reject(e, "to", c.To, "a crossing leads to another hall; none is needed within one")
		}
	}
}
