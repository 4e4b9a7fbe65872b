package placementfile

import (
	"yokeroute/internal/config/directive"
	"yokeroute/logic/placement"
)

// Limits of numbers in placement files. Times are in milliseconds.
const (
	minUnit            = 1e-6 // shard requests per second
	maxUnit            = 1e6  // shard requests per second
	maxClockSkew       = 3_600_000
	maxSteps           = 100
	maxMoves           = 1e9
	maxSegmentsPerHost = 1e6
	maxWarmupTime      = 1e9
	maxReplicaSet      = 1e6
	maxReplicas        = 1000
	maxCost            = placement.MaxCost / placement.CostUnits
)

// stateNames lists the names of the values of gather.State, indexed by value.
var stateNames = []string{"running", "draining", "gone"}

// table returns the directives of placement files. Reading a file with it sets the fields of f.
func (f *File) table() *directive.Table {
	return &directive.Table{
		Name:  "placement file",
		Intro: "Halls, hosts, segments and demand, for `yokeroute plan`. A placement file with weights is a plan.",
		Directives: []*directive.Directive{
			f.unitDirective(), f.atDirective(), f.clocksDirective(), f.stepsDirective(), f.mostMovedDirective(),
			f.zoneDirective(), f.crossingDirective(), f.kindDirective(), f.hostDirective(), f.segmentDirective(),
			f.demandDirective(), f.fromListDirective(), f.stepDirective(), f.caseDirective(), f.weightsDirective(),
		},
	}
}

// collect returns a function that stores the lines of a directive until build processes them, since a name may be used
// before the line that defines it.
func (f *File) collect(line string) func(*directive.Values) error {
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
				Help: "smallest rate that is assigned"},
		},
		Help:    "All weights and rates are whole multiples of this rate; default 1/s.",
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
			{Name: "moment", Kind: directive.Timestamp, Help: "from which the plan is in effect"},
		},
		Help:    "Time from which the plan is in effect; default the time of solving.",
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
		Help:    "The safe capacity of a host that is warming up is computed by the slowest clock.",
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
		Help:    "Number of steps of a plan while hosts are warming up; default 8.",
		Example: "steps 4",
		Apply:   func(v *directive.Values) error { f.Model.Steps = int(v.Number("number", 0)); return nil },
	}
}

func (f *File) mostMovedDirective() *directive.Directive {
	return &directive.Directive{
		Name: "most-moved", Once: true,
		Args: []directive.Field{
			{Name: "replicas", Kind: directive.Count, Max: maxMoves,
				Help: "that may be copied to another host"},
		},
		Help:    "Limits how many replicas a new placement may move; default any number.",
		Example: "most-moved 6",
		Apply:   func(v *directive.Values) error { f.Model.MaxMoves = int(v.Number("replicas", 0)); return nil },
	}
}

func (f *File) zoneDirective() *directive.Directive {
	return &directive.Directive{
		Name: zoneLine,
		Args: []directive.Field{{Name: "name", Kind: directive.Name}},
		Options: []directive.Field{
			{Name: "most", Kind: directive.Rate, Help: "maximum load of all its hosts together"},
			{Name: "spare", Kind: directive.RateOrShare, Help: "capacity of its hosts that has to stay free"},
		},
		Help:    "A hall (zone), whose hosts have common limits.",
		Example: "hall ktm-hall most 900/s spare 10%",
		Apply:   f.collect(zoneLine),
	}
}

func (f *File) crossingDirective() *directive.Directive {
	return &directive.Directive{
		Name: crossingLine,
		Args: []directive.Field{
			{Name: "from", Kind: directive.Name, Help: "hall of the gatherer"},
			{Name: "to", Kind: directive.Name, Help: "hall of the host"},
			{Name: "cost", Kind: directive.Number, Max: maxCost, Help: "cost of a shard request"},
		},
		Help: "Cost of a shard request from one hall to another. It applies in both directions unless the opposite " +
			"direction is given too; default 1.",
		Example: "crossing ktm-hall patan-hall 2.5",
		Apply:   f.collect(crossingLine),
	}
}

// hostOptions returns the options that the directives host and kind have in common.
func hostOptions() []directive.Field {
	return []directive.Field{
		{Name: "capacity", Kind: directive.Rate, Help: "shard requests that it can answer when warm"},
		{Name: "cost", Kind: directive.Number, Max: maxCost, Help: "cost of a shard request; default 0"},
		{Name: "holds", Kind: directive.Count, Max: maxSegmentsPerHost,
			Help: "maximum number of segments; default any number"},
		{Name: "cold", Kind: directive.Share,
			Help: "of its capacity that is safe right after its start; default 0%"},
		{Name: "warms", Kind: directive.Duration, Max: maxWarmupTime,
			Help: "time in which that rises linearly to all of it"},
	}
}

func (f *File) kindDirective() *directive.Directive {
	return &directive.Directive{
		Name:    "kind",
		Args:    []directive.Field{{Name: "name", Kind: directive.Name}},
		Options: hostOptions(),
		Help:    "Options of all hosts of a kind; those on a host's own line take precedence.",
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
		{Name: "hall", Kind: directive.Name, Required: true, Help: "in which it is"},
		{Name: "kind", Kind: directive.Name, Help: "whose options it has"},
		{Name: "state", Kind: directive.Choice, Choices: stateNames,
			Help: "default running; hosts in other states get no load"},
		{Name: "started", Kind: directive.Timestamp,
			Help: "time of its last or next start; default long ago"},
	}
	return &directive.Directive{
		Name:    hostLine,
		Args:    []directive.Field{{Name: "name", Kind: directive.Name}},
		Options: append(options, hostOptions()...),
		Help:    "A host.",
		Example: "host s-01 hall ktm-hall capacity 120/s",
		Apply:   f.collect(hostLine),
	}
}

func (f *File) segmentDirective() *directive.Directive {
	return &directive.Directive{
		Name: segmentLine,
		Args: []directive.Field{{Name: "name", Kind: directive.Name}},
		Options: []directive.Field{
			{Name: "group", Kind: directive.Count, Max: maxReplicaSet,
				Help: "replica set of the gatherers that serves it"},
			{Name: "replicas", Kind: directive.Count, Min: 1, Max: maxReplicas,
				Help: "number in a new placement; default as many as it has"},
			{Name: "on", Kind: directive.Names, Help: "hosts that hold it"},
		},
		Help:    "A part of the data; each of its hosts holds all of it.",
		Example: "segment names-a group 0 replicas 3 on s-01 s-02 s-07",
		Apply:   f.collect(segmentLine),
	}
}

func (f *File) demandDirective() *directive.Directive {
	return &directive.Directive{
		Name: demandLine,
		Args: []directive.Field{
			{Name: "segment", Kind: directive.Name,
				Help: "or * for each segment without a line of its own for this hall"},
			{Name: "hall", Kind: directive.Name, Help: "of the gatherers that send the requests"},
			{Name: "rate", Kind: directive.Rate, Help: "of their shard requests"},
		},
		Help:    "Rate at which all gatherers of a hall together send shard requests for a segment.",
		Example: "demand names-a ktm-hall 140/s",
		Apply: func(v *directive.Values) error {
			if v.Text("segment") != wildcard {
				return f.collect(demandLine)(v)
			}
			f.wildcardDemands = append(f.wildcardDemands, v)
			return nil
		},
	}
}

func (f *File) fromListDirective() *directive.Directive {
	return &directive.Directive{
		Name: "from-list", Once: true,
		Help: "Takes hosts and segments from discovery's list as it changes. The list gives the kind, hall and start " +
			"of each host, and each group of shards is a segment. For `placement` in the operator's file.",
		Example: "from-list",
		Apply:   func(*directive.Values) error { f.FromList = true; return nil },
	}
}

func (f *File) stepDirective() *directive.Directive {
	return &directive.Directive{
		Name: "step",
		Args: []directive.Field{
			{Name: "moment", Kind: directive.Timestamp, Optional: true,
				Help: "from which the weights below are in effect; default the start of the plan"},
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
			{Name: "short", Kind: directive.Rate, Help: "demand that does not fit the remaining hosts"},
		},
		Help: "Begins the weights for a loss of hosts; rows that are left out are the same as in the plan. " +
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
			{Name: "hall", Kind: directive.Name, Help: "of the gatherers that use them"},
			{Name: "hosts", Kind: directive.NamedRates, Help: "rate of each host"},
		},
		Help:    "Weights of the hosts of a segment for the gatherers of a hall.",
		Example: "weights names-a ktm-hall s-01=90/s s-02=50/s",
		Apply:   f.addWeights,
	}
}
