package placementfile

import (
	"math"
	"slices"

	"yokeroute/gather"
	"yokeroute/internal/config/directive"
	"yokeroute/internal/suggest"
	"yokeroute/logic/placement"
)

// builder builds a model from the lines of a file, and collects the errors in them.
type builder struct {
	file   *File
	errors directive.ErrorList
}

func (b *builder) reject(err *directive.Error) { b.errors = append(b.errors, err) }

// err returns the collected errors, or nil if there are none.
func (b *builder) err() error {
	if len(b.errors) == 0 {
		return nil
	}
	return b.errors
}

// build builds the model, and the plan if the file contains one, from the collected lines.
func (f *File) build() error {
	b := &builder{file: f}
	b.addZones()
	b.addCrossings()
	b.addHosts()
	b.addSegments()
	b.addDemands()
	f.addWildcardDemands(b)
	if len(b.errors) == 0 && !f.FromList {
		for _, entryError := range f.Model.Validate() {
			b.reject(f.locate(entryError))
		}
	}
	b.checkFromList()
	if err := b.err(); err != nil {
		return err
	}
	return f.completePlan()
}

func (b *builder) addZones() {
	for _, v := range b.file.lines[zoneLine] {
		zone := placement.Zone{Name: v.Text("name"), MaxLoad: -1}
		if v.Has("most") {
			zone.MaxLoad = b.units(v, "most")
		}
		if v.IsShare("spare") {
			zone.HeadroomShare = v.Number("spare", 0)
		} else {
			zone.Headroom = b.units(v, "spare")
		}
		b.file.Model.Zones = append(b.file.Model.Zones, zone)
	}
}

func (b *builder) addCrossings() {
	for _, v := range b.file.lines[crossingLine] {
		b.file.Model.ZoneCosts = append(b.file.Model.ZoneCosts, placement.ZoneCost{
			From: v.Text("from"),
			To:   v.Text("to"),
			Cost: b.cost(v),
		})
	}
}

func (b *builder) addHosts() {
	f := b.file
	for _, v := range f.lines[hostLine] {
		host := placement.Host{
			Name:      v.Text("name"),
			Zone:      v.Text("hall"),
			StartedAt: v.Number("started", 0),
			State:     gather.State(v.Number("state", 0)),
		}
		kind := v.Text("kind")
		if kind != "" && f.kinds[kind] == nil {
			b.reject(v.Errorf("kind", "is not a kind in this file%s", suggest.Hint(kind, f.kindNames())))
		} else {
			b.fillHost(&host, v, f.kinds[kind])
		}
		f.Model.Hosts = append(f.Model.Hosts, host)
	}
}

func (b *builder) addSegments() {
	for _, v := range b.file.lines[segmentLine] {
		b.file.Model.Segments = append(b.file.Model.Segments, placement.Segment{
			Name:       v.Text("name"),
			ReplicaSet: int(v.Number("group", -1)),
			Replicas:   int(v.Number("replicas", 0)),
			Hosts:      v.List("on"),
		})
	}
}

func (b *builder) addDemands() {
	for _, v := range b.file.lines[demandLine] {
		b.file.Model.Demands = append(b.file.Model.Demands, placement.Demand{
			Segment: v.Text("segment"),
			Zone:    v.Text("hall"),
			Rate:    b.units(v, "rate"),
		})
	}
}

// addWildcardDemands adds the demand of each wildcard line to the segments without a demand from its zone.
func (f *File) addWildcardDemands(b *builder) {
	for _, v := range f.wildcardDemands {
		for _, demand := range b.expandWildcard(v, f.Model.Segments, f.Model.Demands) {
			f.Model.Demands = append(f.Model.Demands, demand)
			f.lines[demandLine] = append(f.lines[demandLine], v)
		}
	}
}

// expandWildcard returns the demand of a wildcard line for each segment without a demand from its zone.
func (b *builder) expandWildcard(
	v *directive.Values, segments []placement.Segment, demands []placement.Demand) (added []placement.Demand) {
	rate := b.units(v, "rate")
	zone := v.Text("hall")
	for _, s := range segments {
		isOwn := func(d placement.Demand) bool { return d.Segment == s.Name && d.Zone == zone }
		if !slices.ContainsFunc(demands, isOwn) && !slices.ContainsFunc(added, isOwn) {
			added = append(added, placement.Demand{Segment: s.Name, Zone: zone, Rate: rate})
		}
	}
	return added
}

// checkFromList rejects hosts and segments in a file that takes them from discovery's list.
func (b *builder) checkFromList() {
	f := b.file
	if !f.FromList {
		return
	}
	lines := append(slices.Clone(f.lines[hostLine]), f.lines[segmentLine]...)
	if len(lines) > 0 {
		b.reject(&directive.Error{
			Position: lines[0].Position,
			Message:  "from-list takes hosts and segments from discovery's list; remove these lines or from-list",
		})
	}
}

func (f *File) kindNames() []string {
	var names []string
	for name := range f.kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// fillHost sets the options of a host from its own line, or else from the line of its kind. One of the lines may be
// nil.
func (b *builder) fillHost(h *placement.Host, ownLine, kind *directive.Values) {
	lineOf := func(option string) *directive.Values {
		if kind != nil && (ownLine == nil || !ownLine.Has(option)) {
			return kind
		}
		return ownLine
	}
	if v := lineOf("capacity"); v.Has("capacity") {
		h.Capacity = b.units(v, "capacity")
	} else {
		b.reject(v.Errorf("capacity", "host %s has no capacity, neither here nor from a kind; write capacity 120/s",
			h.Name))
	}
	h.Cost = b.cost(lineOf("cost"))
	h.MaxSegments = int(lineOf("holds").Number("holds", 0))
	h.InitialCapacityShare = lineOf("cold").Number("cold", 0)
	h.WarmupTime = lineOf("warms").Number("warms", 0)
}

// units returns a rate in units of the model. It rejects rates that are not whole multiples of the unit.
func (b *builder) units(v *directive.Values, option string) int64 {
	unit := b.file.Model.Unit
	units := v.Number(option, 0) / unit
	rounded := math.Round(units)
	switch {
	case units > placement.MaxRate:
		b.reject(v.Errorf(option, "is more than %d units of %s; write less, or a larger unit",
			placement.MaxRate, directive.FormatRate(unit)))
	case math.Abs(units-rounded) > roundingError:
		b.reject(v.Errorf(option, "is not a multiple of the unit, %s; write %s, or a smaller unit",
			directive.FormatRate(unit), FormatUnits(unit, int64(rounded))))
	}
	return int64(rounded)
}

// cost returns the cost of a line in thousandths, as in the model.
func (b *builder) cost(v *directive.Values) int64 {
	cost := v.Number("cost", 0) * placement.CostUnits
	rounded := math.Round(cost)
	if math.Abs(cost-rounded) > roundingError {
		b.reject(v.Errorf("cost", "has more than three decimal places; round it to thousandths"))
	}
	return int64(rounded)
}

// locate returns an entry error with the position of the line and word that caused it. Errors of the model itself are
// at the line of the unit.
func (f *File) locate(entryError *placement.EntryError) *directive.Error {
	lines := f.lines[entryError.Kind]
	if entryError.Index >= len(lines) {
		var position directive.Position
		if f.unitLine != nil {
			position = f.unitLine.Position
		}
		return &directive.Error{Position: position, Token: entryError.Value, Message: entryError.Problem}
	}
	v := lines[entryError.Index]
	values := v.List(entryError.Field)
	index := 0
	for i, value := range values {
		if value == entryError.Value {
			index = i // the last match, since of two equal names the second is the duplicate
		}
	}
	token := entryError.Value
	if v.Has(entryError.Field) && !slices.Contains(values, token) {
		token = v.Text(entryError.Field)
	}
	return &directive.Error{Position: v.Pos(entryError.Field, index), Token: token, Message: entryError.Problem}
}
