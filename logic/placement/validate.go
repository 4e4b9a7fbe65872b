package placement

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"yokeroute/internal/suggest"
)

// Kinds of entries of a model, in the words of placement files.
const (
	ZoneEntry     = "hall"
	HostEntry     = "host"
	SegmentEntry  = "segment"
	DemandEntry   = "demand"
	ZoneCostEntry = "crossing"
)

// EntryError is what is wrong with one entry of a model.
type EntryError struct {
	Kind    string // of the entry; empty for the model itself
	Index   int    // among the entries of its kind
	Field   string // in the word of placement files
	Value   string // at fault
	Problem string
}

func (e *EntryError) Error() string { return fmt.Sprintf("%s %q: %s", e.Kind, e.Value, e.Problem) }

// validator collects what is wrong with a model. The names of each kind of entry are known once it is
// validated.
type validator struct {
	m        *Model
	errors   []*EntryError
	zones    map[string]bool
	hosts    map[string]bool
	segments map[string]bool
}

// entry is a place in a model.
type entry struct {
	kind  string
	index int
}

// Validate returns all that is wrong with the model, in the order of its entries.
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

// checkRate rejects a rate that is under a minimum or over MaxRate.
func (v *validator) checkRate(e entry, field string, rate, minimum int64) {
	switch {
	case rate < minimum:
		v.reject(e, field, fmt.Sprint(rate), "is under %d", minimum)
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
	if !(share >= 0 && share <= 1) { // in this form, so that NaN is rejected
		v.reject(e, field, fmt.Sprint(share), "a share goes from 0%% to 100%%")
	}
}

// define adds the name of an entry to the known names of its kind.
func (v *validator) define(e entry, known map[string]bool, name string) {
	switch {
	case name == "":
		v.reject(e, "name", name, "has no name")
	case known[name]:
		v.reject(e, "name", name, "is given twice; every %s has its own name", e.kind)
	}
	known[name] = true
}

// checkReference rejects a name that no entry of a kind has.
func (v *validator) checkReference(e entry, field, kind, name string) {
	known := v.zones
	switch kind {
	case HostEntry:
		known = v.hosts
	case SegmentEntry:
		known = v.segments
	}
	if !known[name] {
		v.reject(e, field, name, "is no %s of this file%s", kind, nameHint(name, known))
	}
}

// nameHint names what may have been meant by an unknown name.
func nameHint(name string, known map[string]bool) string {
	// Of names that are equally near, Hint takes the first by name, so that the order of the map does not
	// matter.
	return suggest.Hint(name, slices.Collect(maps.Keys(known)))
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
			v.reject(e, "cold", fmt.Sprint(h.WarmupTime), "a host warms in a time that ends")
		}
	}
}

func (v *validator) validateSegments() {
	replicaSets := map[int]bool{}
	for i := range v.m.Segments {
		s := &v.m.Segments[i]
		e := entry{SegmentEntry, i}
		v.define(e, v.segments, s.Name)
		named := map[string]bool{}
		for _, host := range s.Hosts {
			v.checkReference(e, "on", HostEntry, host)
			if named[host] {
				v.reject(e, "on", host, "holds the segment twice; name each host once")
			}
			named[host] = true
		}
		if s.Replicas < 0 || s.Replicas > len(v.m.Hosts) {
			v.reject(e, "replicas", fmt.Sprint(s.Replicas), "there are %d hosts", len(v.m.Hosts))
		}
		if s.ReplicaSet >= 0 && replicaSets[s.ReplicaSet] {
			v.reject(e, "group", fmt.Sprint(s.ReplicaSet), "is another segment's group already")
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
			v.reject(e, "hall", d.Zone, "asks twice for %s; give the sum once", d.Segment)
		}
		demanded[key] = true
		if d.Rate <= 0 || d.Rate > MaxRate {
			continue
		}
		before := sum
		sum += d.Rate
		if sum > MaxRate && before <= MaxRate { // once, at the demand that makes it too much
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
			v.reject(e, "to", c.To, "is given twice from %s", c.From)
		}
		given[key] = true
		if c.From == c.To {
			v.reject(e, "to", c.To, "a part that stays in its hall crosses nothing")
		}
	}
}
