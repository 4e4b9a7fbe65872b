// Package placefile reads and writes placement files: what an operator says of halls, hosts, segments and demand,
// and the plan that was worked out for it. A plan is a placement file with weights in it, so that it can be read,
// checked and solved again by itself.
package placementfile

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"yokeroute/gather"
	"yokeroute/internal/config/directive"
	"yokeroute/internal/suggest"
	"yokeroute/logic/balance"
	"yokeroute/logic/placement"
)

// The defaults of a placement file. Eight steps keep a host that warms up within an eighth of what it can do.
const (
	defaultUnit  = 1.0 // parts a second
	defaultSteps = 8
)

// File is a placement file that has been read. Nothing in it is checked but its form until Check.
type File struct {
	Model           placement.Model
	Plan            *placement.Plan // nil where it holds no weights
	FromList        bool            // hosts and segments come from discovery's list
	kinds           map[string]*directive.Values
	lines           map[string][]*directive.Values // of each kind of entry, in the model's order
	wildcardDemands []*directive.Values            // demands on all segments
	unitLine        *directive.Values
	currentStep     *placement.Step
	inCase          bool
}

var stateNames = []string{"running", "draining", "gone"}

// hostFields are what hosts and kinds of hosts have alike.
func hostFields() []directive.Field {
	return []directive.Field{
		{Name: "capacity", Kind: directive.Rate, Help: "parts that it can answer when warm"},
		{Name: "cost", Kind: directive.Number, Max: placement.MostCost / 1000, Help: "price of a part; 0 unless told"},
		{Name: "holds", Kind: directive.Count, Max: 1e6, Help: "segments that it has room for; any number unless told"},
		{Name: "cold", Kind: directive.Share, Help: "of its capacity that is safe when it has just started; nothing unless told"},
		{Name: "warms", Kind: directive.Duration, Max: 1e9, Help: "time in which that rises evenly to all of it"},
	}
}

func (f *File) table() *directive.Table {
	keep := func(kind string, v *directive.Values) { f.lines[kind] = append(f.lines[kind], v) }
	return &directive.Table{Name: "placement file", Intro: "Halls, hosts, segments and demand, for `yokeroute plan`; with weights in it, a plan.", Directives: []*directive.Directive{
		{Name: "unit", Once: true, Args: []directive.Field{{Name: "rate", Kind: directive.Rate, Min: 1e-6, Max: 1e6, Help: "the rate that is not split further"}},
			Help: "Weights are whole numbers of this rate, and all rates are multiples of it; 1/s unless told.", Example: "unit 0.1/s",
			Apply: func(v *directive.Values) error { f.Model.Unit, f.unitLine = v.Number("rate", 0), v; return nil }},
		{Name: "at", Once: true, Args: []directive.Field{{Name: "moment", Kind: directive.Timestamp, Help: "from which the plan holds"}},
			Help: "When the plan begins to hold; the moment of solving unless told.", Example: "at 2026-12-01T10:00:00Z",
			Apply: func(v *directive.Values) error { f.Model.At = v.Number("moment", 0); return nil }},
		{Name: "clocks", Once: true, Args: []directive.Field{{Name: "time", Kind: directive.Duration, Max: 3_600_000, Help: "by which a gatherer's clock may run ahead"}},
			Help: "What a host that warms up is safe to take is reckoned by the slowest clock.", Example: "clocks 500ms",
			Apply: func(v *directive.Values) error { f.Model.Clocks = v.Number("time", 0); return nil }},
		{Name: "steps", Once: true, Args: []directive.Field{{Name: "number", Kind: directive.Count, Min: 1, Max: 100, Help: "of steps until the last host is warm"}},
			Help: "Into how many steps a plan is cut while hosts warm up; 8 unless told.", Example: "steps 4",
			Apply: func(v *directive.Values) error { f.Model.Steps = int(v.Number("number", 0)); return nil }},
		{Name: "most-moved", Once: true, Args: []directive.Field{{Name: "replicas", Kind: directive.Count, Max: 1e9, Help: "that may be put where they are not now"}},
			Help: "Bounds what a new placement may move; any number unless told.", Example: "most-moved 6",
			Apply: func(v *directive.Values) error { f.Model.Copies = int(v.Number("replicas", 0)); return nil }},
		{Name: "hall", Args: []directive.Field{{Name: "name", Kind: directive.Name}}, Options: []directive.Field{
			{Name: "most", Kind: directive.Rate, Help: "load that its hosts may carry together"},
			{Name: "spare", Kind: directive.RateOrShare, Help: "capacity of its hosts that has to stay free"}},
			Help: "A place whose hosts share limits.", Example: "hall ktm-hall most 900/s spare 10%",
			Apply: func(v *directive.Values) error { keep("hall", v); return nil }},
		{Name: "crossing", Args: []directive.Field{{Name: "from", Kind: directive.Name, Help: "hall of the gatherer"}, {Name: "to", Kind: directive.Name, Help: "hall of the host"},
			{Name: "cost", Kind: directive.Number, Max: placement.MostCost / 1000, Help: "price of a part"}},
			Help: "What a part costs that goes from one hall to another. It holds both ways unless the other way is given too; 1 unless told.", Example: "crossing ktm-hall patan-hall 2.5",
			Apply: func(v *directive.Values) error { keep("crossing", v); return nil }},
		{Name: "kind", Args: []directive.Field{{Name: "name", Kind: directive.Name}}, Options: hostFields(),
			Help: "What hosts of one kind have alike; a host's own line goes before it.", Example: "kind m2 capacity 120/s cost 3 cold 18% warms 17s",
			Apply: func(v *directive.Values) error {
				if f.kinds[v.Text("name")] != nil {
					return v.Errorf("name", "is given twice; every kind has its own name")
				}
				f.kinds[v.Text("name")] = v
				return nil
			}},
		{Name: "host", Args: []directive.Field{{Name: "name", Kind: directive.Name}}, Options: append([]directive.Field{
			{Name: "hall", Kind: directive.Name, Required: true, Help: "where it stands"},
			{Name: "kind", Kind: directive.Name, Help: "of which it is"},
			{Name: "state", Kind: directive.Choice, Choices: stateNames, Help: "running unless told; the others get nothing"},
			{Name: "started", Kind: directive.Timestamp, Help: "when it last started, or will; long ago unless told"}}, hostFields()...),
			Help: "One machine.", Example: "host s-01 hall ktm-hall capacity 120/s",
			Apply: func(v *directive.Values) error { keep("host", v); return nil }},
		{Name: "segment", Args: []directive.Field{{Name: "name", Kind: directive.Name}}, Options: []directive.Field{
			{Name: "group", Kind: directive.Count, Max: 1e6, Help: "of the gatherers' shards that it is"},
			{Name: "replicas", Kind: directive.Count, Min: 1, Max: 1000, Help: "wanted of a new placement; as many as it has unless told"},
			{Name: "on", Kind: directive.Names, Help: "hosts that hold it"}},
			Help: "Data that its hosts hold, each all of it.", Example: "segment names-a group 0 replicas 3 on s-01 s-02 s-07",
			Apply: func(v *directive.Values) error { keep("segment", v); return nil }},
		{Name: "demand", Args: []directive.Field{{Name: "segment", Kind: directive.Name, Help: "or * for each segment that has no line of its own"}, {Name: "hall", Kind: directive.Name, Help: "of the gatherers that ask"},
			{Name: "rate", Kind: directive.Rate, Help: "parts that they ask for"}},
			Help: "What the gatherers of a hall ask of a segment, all together.", Example: "demand names-a ktm-hall 140/s",
			Apply: func(v *directive.Values) error {
				if v.Text("segment") == "*" {
					f.wildcardDemands = append(f.wildcardDemands, v)
				} else {
					keep("demand", v)
				}
				return nil
			}},
		{Name: "from-list", Once: true, Help: "Hosts and segments come from discovery's list as it changes: a host's kind, hall and start are the list's, a segment is a group of shards. For `placement` in the operator's file.", Example: "from-list",
			Apply: func(v *directive.Values) error { f.FromList = true; return nil }},
		{Name: "step", Args: []directive.Field{{Name: "moment", Kind: directive.Timestamp, Optional: true, Help: "from which the weights below hold; the beginning unless told"}},
			Help: "Begins a set of weights. Written by `yokeroute plan solve`.", Example: "step 2026-12-01T10:00:04Z", Apply: f.addStep},
		{Name: "case", Args: []directive.Field{{Name: "name", Kind: directive.Text}}, Options: []directive.Field{
			{Name: "lost", Kind: directive.Names, Required: true, Help: "hosts that are missing"},
			{Name: "short", Kind: directive.Rate, Help: "demand that does not fit any more"}},
			Help: "Begins the weights for a loss; rows that it does not give are those of the plan. Written by `yokeroute plan solve`.", Example: `case "hall ktm-hall" lost s-01 s-02 short 40/s`, Apply: f.addCase},
		{Name: "weights", Args: []directive.Field{{Name: "segment", Kind: directive.Name}, {Name: "hall", Kind: directive.Name, Help: "of the gatherers that go by them"}, {Name: "hosts", Kind: directive.NamedRates, Help: "what each host gets"}},
			Help: "One row of weights.", Example: "weights names-a ktm-hall s-01=90/s s-02=50/s", Apply: f.addWeights},
	}}
}

// Reference is the page about placement files.
func Reference() string { return newFile(0).table().Reference() }

func newFile(now float64) *File {
	return &File{kinds: map[string]*directive.Values{}, lines: map[string][]*directive.Values{},
		Model: placement.Model{Unit: defaultUnit, At: now, Steps: defaultSteps, Copies: -1}}
}

// Read reads and checks a file. Mistakes come as conf.Faults; now is in Unix milliseconds.
func Read(name string, now float64) (*File, error) {
	f := newFile(now)
	return f, f.build(f.table().Read(name))
}

// Parse reads and checks a text that includes nothing.
func Parse(name, text string, now float64) (*File, error) {
	f := newFile(now)
	return f, f.build(f.table().Parse(name, text))
}

// build builds the model from the lines, once all of them are there: what is named may stand below.
func (f *File) build(err error) error {
	if err != nil {
		return err
	}
	var faults directive.ErrorList
	say := func(err error) {
		if one, ok := err.(*directive.Error); ok && one != nil {
			faults = append(faults, one)
		}
	}
	for _, v := range f.lines["hall"] {
		h := placement.Hall{Name: v.Text("name"), Most: -1}
		if v.Has("most") {
			h.Most = f.units(v, "most", say)
		}
		if v.IsShare("spare") {
			h.SpareShare = v.Number("spare", 0)
		} else {
			h.Spare = f.units(v, "spare", say)
		}
		f.Model.Halls = append(f.Model.Halls, h)
	}
	for _, v := range f.lines["crossing"] {
		f.Model.Crossings = append(f.Model.Crossings, placement.Crossing{From: v.Text("from"), To: v.Text("to"), Cost: parseCost(v, say)})
	}
	for _, v := range f.lines["host"] {
		h := placement.Host{Name: v.Text("name"), Hall: v.Text("hall"), Started: v.Number("started", 0),
			State: gather.State(v.Number("state", 0))}
		if kind := v.Text("kind"); kind != "" && f.kinds[kind] == nil {
			say(v.Errorf("kind", "is no kind of this file%s", suggest.Hint(kind, kindNames(f.kinds))))
		} else {
			f.fillHost(&h, v, f.kinds[kind], say)
		}
		f.Model.Hosts = append(f.Model.Hosts, h)
	}
	for _, v := range f.lines["segment"] {
		f.Model.Segments = append(f.Model.Segments, placement.Segment{Name: v.Text("name"), Group: int(v.Number("group", -1)),
			Replicas: int(v.Number("replicas", 0)), On: v.List("on")})
	}
	for _, v := range f.lines["demand"] {
		f.Model.Demands = append(f.Model.Demands, placement.Demand{Segment: v.Text("segment"), Hall: v.Text("hall"), Rate: f.units(v, "rate", say)})
	}
	f.addWildcardDemands(say)
	if len(faults) == 0 && !f.FromList {
		for _, fault := range f.Model.Check() {
			faults = append(faults, f.locate(fault))
		}
	}
	if f.FromList && (len(f.Model.Hosts) > 0 || len(f.Model.Segments) > 0) {
		at := append(f.lines["host"], f.lines["segment"]...)[0]
		faults = append(faults, &directive.Error{Position: at.Position, Message: "from-list takes hosts and segments from the list; take these lines or from-list out"})
	}
	if len(faults) > 0 {
		return faults
	}
	return f.completePlan()
}

// addWildcardDemands gives a demand on all segments to each that has none of its own from that hall.
func (f *File) addWildcardDemands(say func(error)) {
	for _, v := range f.wildcardDemands {
		rate := f.units(v, "rate", say)
		for _, s := range f.Model.Segments {
			if !slices.ContainsFunc(f.Model.Demands, func(d placement.Demand) bool { return d.Segment == s.Name && d.Hall == v.Text("hall") }) {
				f.Model.Demands = append(f.Model.Demands, placement.Demand{Segment: s.Name, Hall: v.Text("hall"), Rate: rate})
				f.lines["demand"] = append(f.lines["demand"], v)
			}
		}
	}
}

func kindNames(kinds map[string]*directive.Values) []string {
	var list []string
	for name := range kinds {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// fillHost takes a host's figures from its own line or else from its kind's.
func (f *File) fillHost(h *placement.Host, own, kind *directive.Values, say func(error)) {
	of := func(name string) *directive.Values {
		if kind != nil && (own == nil || !own.Has(name)) {
			return kind
		}
		return own
	}
	if v := of("capacity"); !v.Has("capacity") {
		say(v.Errorf("capacity", "host %s lacks its capacity, and no kind gives it; write capacity 120/s", h.Name))
	} else {
		h.Capacity = f.units(v, "capacity", say)
	}
	h.Cost = parseCost(of("cost"), say)
	h.Holds = int(of("holds").Number("holds", 0))
	h.ColdShare, h.Warming = of("cold").Number("cold", 0), of("warms").Number("warms", 0)
}

// units turns a rate into whole units.
func (f *File) units(v *directive.Values, name string, say func(error)) int64 {
	rate := v.Number(name, 0)
	units := rate / f.Model.Unit
	whole := math.Round(units)
	switch {
	case units > placement.Most:
		say(v.Errorf(name, "is more than %d units of %s; write less, or a larger unit", placement.Most, directive.FormatRate(f.Model.Unit)))
	case math.Abs(units-whole) > 1e-6:
		say(v.Errorf(name, "is no multiple of the unit, %s; write %s, or a smaller unit", directive.FormatRate(f.Model.Unit), f.rate(int64(whole))))
	}
	return int64(whole)
}

func parseCost(v *directive.Values, say func(error)) int64 {
	n := v.Number("cost", 0) * 1000
	if math.Abs(n-math.Round(n)) > 1e-6 {
		say(v.Errorf("cost", "has more than three decimals"))
	}
	return int64(math.Round(n))
}

// rate puts units into words.
func (f *File) rate(units int64) string { return FormatUnits(f.Model.Unit, units) }

// FormatUnits writes so many units as a rate.
func FormatUnits(unit float64, units int64) string {
	return directive.FormatRate(math.Round(float64(units)*unit*1e9) / 1e9)
}

// locate finds the word of a model's fault in the file.
func (f *File) locate(fault *placement.Fault) *directive.Error {
	lines := f.lines[fault.Kind]
	if fault.Index >= len(lines) {
		at := directive.Position{}
		if f.unitLine != nil {
			at = f.unitLine.Position
		}
		return &directive.Error{Position: at, Token: fault.Word, Message: fault.Text}
	}
	v := lines[fault.Index]
	at := 0
	for i, word := range v.List(fault.Field) {
		if word == fault.Word {
			at = i // the last of two, which is the one too many
		}
	}
	word := fault.Word
	if v.Has(fault.Field) && !slices.Contains(v.List(fault.Field), word) {
		word = v.Text(fault.Field)
	}
	return &directive.Error{Position: v.Pos(fault.Field, at), Token: word, Message: fault.Text}
}

func (f *File) addStep(v *directive.Values) error {
	if f.Plan == nil {
		f.Plan = &placement.Plan{}
	}
	steps := &f.Plan.Steps
	if f.inCase {
		steps = &f.Plan.Cases[len(f.Plan.Cases)-1].Steps
	}
	from := v.Number("moment", f.Model.At)
	if n := len(*steps); n > 0 && from <= (*steps)[n-1].From {
		return v.Errorf("moment", "is not after the step before it; steps go by time")
	}
	*steps = append(*steps, placement.Step{From: from})
	f.currentStep = &(*steps)[len(*steps)-1]
	return nil
}

func (f *File) addCase(v *directive.Values) error {
	if f.Plan == nil || len(f.Plan.Steps) == 0 {
		return fmt.Errorf("stands before the plan's own step")
	}
	c := placement.Case{Name: v.Text("name"), Lost: v.List("lost")}
	if v.Has("short") {
		var wrong error
		c.Clash = &placement.Clash{Short: f.units(v, "short", func(err error) { wrong = err })}
		if wrong != nil {
			return wrong
		}
	}
	f.Plan.Cases = append(f.Plan.Cases, c)
	f.inCase, f.currentStep = true, nil
	f.lines["case"] = append(f.lines["case"], v)
	return nil
}

func (f *File) addWeights(v *directive.Values) error {
	if f.currentStep == nil {
		return fmt.Errorf("stands before any step; write step first")
	}
	r := placement.Row{Segment: v.Text("segment"), Hall: v.Text("hall"), Group: -1}
	hosts, rates := v.Rates("hosts")
	for i, host := range hosts {
		units := rates[i] / f.Model.Unit
		if math.Abs(units-math.Round(units)) > 1e-6 || units > placement.Most {
			return &directive.Error{Position: v.Pos("hosts", i), Token: v.List("hosts")[i], Message: "is no whole number of the unit, " + directive.FormatRate(f.Model.Unit)}
		}
		if slices.ContainsFunc(r.Weights, func(w placement.Weight) bool { return w.Host == host }) {
			return &directive.Error{Position: v.Pos("hosts", i), Token: v.List("hosts")[i], Message: "names the host twice"}
		}
		r.Weights = append(r.Weights, placement.Weight{Host: host, Rate: int64(math.Round(units))})
	}
	slices.SortFunc(r.Weights, func(a, b placement.Weight) int { return strings.Compare(a.Host, b.Host) })
	f.currentStep.Rows = append(f.currentStep.Rows, r)
	f.lines["weights"] = append(f.lines["weights"], v)
	return nil
}

// completePlan completes a plan that the file holds: its model, the rows that its cases leave out, its figures.
func (f *File) completePlan() error {
	if f.Plan == nil {
		return nil
	}
	if f.FromList {
		return directive.ErrorList{{Position: f.lines["weights"][0].Position, Message: "from-list has no hosts for weights; take these lines or from-list out"}}
	}
	f.Plan.Model = f.Model.Normal()
	faults := directive.ErrorList{}
	hosts, asked, on := map[string]bool{}, map[[2]string]bool{}, map[string]map[string]bool{}
	for _, h := range f.Model.Hosts {
		hosts[h.Name] = true
	}
	for _, s := range f.Model.Segments {
		on[s.Name] = map[string]bool{}
		for _, host := range s.On {
			on[s.Name][host] = true
		}
	}
	for _, d := range f.Model.Demands {
		asked[[2]string{d.Segment, d.Hall}] = true
	}
	for i, v := range f.lines["case"] {
		for j, host := range f.Plan.Cases[i].Lost {
			if !hosts[host] {
				faults = append(faults, &directive.Error{Position: v.Pos("lost", j), Token: host, Message: "is no host of this file"})
			}
		}
	}
	for _, v := range f.lines["weights"] {
		segment := v.Text("segment")
		if on[segment] == nil {
			faults = append(faults, v.Errorf("segment", "is no segment of this file"))
			continue
		}
		named, _ := v.Rates("hosts")
		for j, host := range named {
			if !on[segment][host] {
				faults = append(faults, &directive.Error{Position: v.Pos("hosts", j), Token: host, Message: "does not hold the segment " + segment})
			}
		}
		if !asked[[2]string{segment, v.Text("hall")}] {
			faults = append(faults, v.Errorf("hall", "asks for nothing of segment %s in this file", segment))
		}
	}
	if len(faults) > 0 {
		return faults
	}
	balance.Complete(f.Plan)
	return nil
}
