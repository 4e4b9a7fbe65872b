package placementfile

import (
	"yokeroute/internal/config/directive"
	"yokeroute/logic/placement"
)

// Bounds of numbers in files. Times are milliseconds.
const (
	minUnit       = 1e-6 // a second
	maxUnit       = 1e6
	maxClockSkew  = 3_600_000
	maxSteps      = 100
	maxMoved      = 1e9
	maxHeld       = 1e6
	maxWarmupTime = 1e9
	maxReplicaSet = 1e6
	maxReplicas   = 1000
	maxCost       = placement.MaxCost / placement.CostUnits
)

// stateNames are the names of gather.State, in its order.
var stateNames = []string{"running", "draining", "gone"}

// table is what may stand in a file. What is read goes into f.
func (f *File) table() *directive.Table {
	return &directive.Table{
		Name:  "placement file",
		Intro: "Halls, hosts, segments and demand, for `yokeroute plan`; with weights in it, a plan.",
		Directives: []*directive.Directive{
			f.unitDirective(), f.atDirective(), f.clocksDirective(), f.stepsDirective(), f.mostMovedDirective(),
			f.zoneDirective(), f.crossingDirective(), f.kindDirective(), f.hostDirective(), f.segmentDirective(),
			f.demandDirective(), f.fromListDirective(), f.stepDirective(), f.caseDirective(), f.weightsDirective(),
		},
	}
}

// keep keeps the lines of a directive for build, since names may be used before the lines that define them.
func (f *File) keep(line string) func(*directive.Values) error {
	return func(v *directive.Values) error {
		f.lines[line] = append(f.lines[line], v)
		return nil
	}
}

func (f *File) unitDirective() *directive.Directive {
	return &directive.Directive{
		Name: "unit", Once: true,
		Args: []directive.Field{
			{Name: "rate", Kind: directive.Rate, Min: minUnit, Max: maxUnit,
				Help: "the rate that is not split further"},
		},
		Help:    "Weights are whole numbers of this rate, and all rates are multiples of it; 1/s unless told.",
		Example: "unit 0.1/s",
		Apply: func(v *directive.Values) error {
			f.Model.Unit = v.Number("rate", 0)
			f.unitLine = v
			return nil
		},
	}
}

func (f *File) atDirective() *directive.Directive {
	return &directive.Directive{
		Name: "at", Once: true,
		Args: []directive.Field{
			{Name: "moment", Kind: directive.Timestamp, Help: "from which the plan holds"},
		},
		Help:    "When the plan begins to hold; the moment of solving unless told.",
		Example: "at 2026-12-01T10:00:00Z",
		Apply:   func(v *directive.Values) error { f.Model.At = v.Number("moment", 0); return nil },
	}
}

func (f *File) clocksDirective() *directive.Directive {
	return &directive.Directive{
		Name: "clocks", Once: true,
		Args: []directive.Field{
			{Name: "time", Kind: directive.Duration, Max: maxClockSkew,
				Help: "by which a gatherer's clock may run ahead"},
		},
		Help:    "What a host that warms up is safe to take is reckoned by the slowest clock.",
		Example: "clocks 500ms",
		Apply:   func(v *directive.Values) error { f.Model.ClockSkew = v.Number("time", 0); return nil },
	}
}

func (f *File) stepsDirective() *directive.Directive {
	return &directive.Directive{
		Name: "steps", Once: true,
		Args: []directive.Field{
			{Name: "number", Kind: directive.Count, Min: 1, Max: maxSteps,
				Help: "of steps until the last host is warm"},
		},
		Help:    "Into how many steps a plan is cut while hosts warm up; 8 unless told.",
		Example: "steps 4",
		Apply:   func(v *directive.Values) error { f.Model.Steps = int(v.Number("number", 0)); return nil },
	}
}

func (f *File) mostMovedDirective() *directive.Directive {
	return &directive.Directive{
		Name: "most-moved", Once: true,
		Args: []directive.Field{
			{Name: "replicas", Kind: directive.Count, Max: maxMoved,
				Help: "that may be put where they are not now"},
		},
		Help:    "Bounds what a new placement may move; any number unless told.",
		Example: "most-moved 6",
		Apply:   func(v *directive.Values) error { f.Model.MaxMoves = int(v.Number("replicas", 0)); return nil },
	}
}

func (f *File) zoneDirective() *directive.Directive {
	return &directive.Directive{
		Name: zoneLine,
		Args: []directive.Field{{Name: "name", Kind: directive.Name}},
		Options: []directive.Field{
			{Name: "most", Kind: directive.Rate, Help: "load that its hosts may carry together"},
			{Name: "spare", Kind: directive.RateOrShare, Help: "capacity of its hosts that has to stay free"},
		},
		Help:    "A place whose hosts share limits.",
		Example: "hall ktm-hall most 900/s spare 10%",
		Apply:   f.keep(zoneLine),
	}
}

func (f *File) crossingDirective() *directive.Directive {
	return &directive.Directive{
		Name: crossingLine,
		Args: []directive.Field{
			{Name: "from", Kind: directive.Name, Help: "hall of the gatherer"},
			{Name: "to", Kind: directive.Name, Help: "hall of the host"},
			{Name: "cost", Kind: directive.Number, Max: maxCost, Help: "price of a part"},
		},
		Help: "What a part costs that goes from one hall to another. It holds both ways unless the other way is " +
			"given too; 1 unless told.",
		Example: "crossing ktm-hall patan-hall 2.5",
		Apply:   f.keep(crossingLine),
	}
}

// hostOptions are the options that hosts and kinds of hosts have in common.
func hostOptions() []directive.Field {
	return []directive.Field{
		{Name: "capacity", Kind: directive.Rate, Help: "parts that it can answer when warm"},
		{Name: "cost", Kind: directive.Number, Max: maxCost, Help: "price of a part; 0 unless told"},
		{Name: "holds", Kind: directive.Count, Max: maxHeld,
			Help: "segments that it has room for; any number unless told"},
		{Name: "cold", Kind: directive.Share,
			Help: "of its capacity that is safe when it has just started; nothing unless told"},
		{Name: "warms", Kind: directive.Duration, Max: maxWarmupTime,
			Help: "time in which that rises evenly to all of it"},
	}
}

func (f *File) kindDirective() *directive.Directive {
	return &directive.Directive{
		Name:    "kind",
		Args:    []directive.Field{{Name: "name", Kind: directive.Name}},
		Options: hostOptions(),
		Help:    "What hosts of one kind have alike; a host's own line goes before it.",
		Example: "kind m2 capacity 120/s cost 3 cold 18% warms 17s",
		Apply: func(v *directive.Values) error {
			name := v.Text("name")
			if f.kinds[name] != nil {
				return v.Errorf("name", "is given twice; every kind has its own name")
			}
			f.kinds[name] = v
			return nil
		},
	}
}

func (f *File) hostDirective() *directive.Directive {
	options := []directive.Field{
		{Name: "hall", Kind: directive.Name, Required: true, Help: "where it stands"},
		{Name: "kind", Kind: directive.Name, Help: "of which it is"},
		{Name: "state", Kind: directive.Choice, Choices: stateNames,
			Help: "running unless told; the others get nothing"},
		{Name: "started", Kind: directive.Timestamp,
			Help: "when it last started, or will; long ago unless told"},
	}
	return &directive.Directive{
		Name:    hostLine,
		Args:    []directive.Field{{Name: "name", Kind: directive.Name}},
		Options: append(options, hostOptions()...),
		Help:    "One machine.",
		Example: "host s-01 hall ktm-hall capacity 120/s",
		Apply:   f.keep(hostLine),
	}
}

func (f *File) segmentDirective() *directive.Directive {
	return &directive.Directive{
		Name: segmentLine,
		Args: []directive.Field{{Name: "name", Kind: directive.Name}},
		Options: []directive.Field{
			{Name: "group", Kind: directive.Count, Max: maxReplicaSet,
				Help: "of the gatherers' shards that it is"},
			{Name: "replicas", Kind: directive.Count, Min: 1, Max: maxReplicas,
				Help: "wanted of a new placement; as many as it has unless told"},
			{Name: "on", Kind: directive.Names, Help: "hosts that hold it"},
		},
		Help:    "Data that its hosts hold, each all of it.",
		Example: "segment names-a group 0 replicas 3 on s-01 s-02 s-07",
		Apply:   f.keep(segmentLine),
	}
}

func (f *File) demandDirective() *directive.Directive {
	return &directive.Directive{
		Name: demandLine,
		Args: []directive.Field{
			{Name: "segment", Kind: directive.Name,
				Help: "or * for each segment that has no line of its own"},
			{Name: "hall", Kind: directive.Name, Help: "of the gatherers that ask"},
			{Name: "rate", Kind: directive.Rate, Help: "parts that they ask for"},
		},
		Help:    "What the gatherers of a hall ask of a segment, all together.",
		Example: "demand names-a ktm-hall 140/s",
		Apply: func(v *directive.Values) error {
			if v.Text("segment") != wildcard {
				return f.keep(demandLine)(v)
			}
			f.wildcardDemands = append(f.wildcardDemands, v)
			return nil
		},
	}
}

func (f *File) fromListDirective() *directive.Directive {
	return &directive.Directive{
		Name: "from-list", Once: true,
		Help: "Hosts and segments come from discovery's list as it changes: a host's kind, hall and start are the " +
			"list's, a segment is a group of shards. For `placement` in the operator's file.",
		Example: "from-list",
		Apply:   func(*directive.Values) error { f.FromList = true; return nil },
	}
}

func (f *File) stepDirective() *directive.Directive {
	return &directive.Directive{
		Name: "step",
		Args: []directive.Field{
			{Name: "moment", Kind: directive.Timestamp, Optional: true,
				Help: "from which the weights below hold; the beginning unless told"},
		},
		Help:    "Begins a set of weights. Written by `yokeroute plan solve`.",
		Example: "step 2026-12-01T10:00:04Z",
		Apply:   f.addStep,
	}
}

func (f *File) caseDirective() *directive.Directive {
	return &directive.Directive{
		Name: caseLine,
		Args: []directive.Field{{Name: "name", Kind: directive.Text}},
		Options: []directive.Field{
			{Name: "lost", Kind: directive.Names, Required: true, Help: "hosts that are missing"},
			{Name: "short", Kind: directive.Rate, Help: "demand that does not fit any more"},
		},
		Help: "Begins the weights for a loss; rows that it does not give are those of the plan. " +
			"Written by `yokeroute plan solve`.",
		Example: `case "hall ktm-hall" lost s-01 s-02 short 40/s`,
		Apply:   f.addCase,
	}
}

func (f *File) weightsDirective() *directive.Directive {
	return &directive.Directive{
		Name: weightsLine,
		Args: []directive.Field{
			{Name: "segment", Kind: directive.Name},
			{Name: "hall", Kind: directive.Name, Help: "of the gatherers that go by them"},
			{Name: "hosts", Kind: directive.NamedRates, Help: "what each host gets"},
		},
		Help:    "One row of weights.",
		Example: "weights names-a ktm-hall s-01=90/s s-02=50/s",
		Apply:   f.addWeights,
	}
}
