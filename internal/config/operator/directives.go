package operator

import (
	"slices"

	"yokeroute/internal/config/directive"
)

// Defaults of options. Times are milliseconds.
const (
	defaultFirstPassShare = 0.3
	defaultTrialShare     = 0.02
	defaultMaxSegments    = 1024
	defaultNameRetention  = 600_000
	defaultJournalBytes   = 4 << 20
	defaultRecordBytes    = 64 << 20
	minFileBytes          = 4096
	maxSegments           = 65536
	maxTraces             = 10000
)

// table is what may stand in the file. What is read goes into f.
func (f *File) table() *directive.Table {
	return &directive.Table{
		Name: "operator's file",
		Intro: "What an operator sets of a gatherer beside the platform's configuration. `yokeroute serve --operator FILE` reads it, " +
			"and again on SIGHUP; `yokeroute check-config --operator FILE` checks it.",
		Directives: []*directive.Directive{
			f.planDirective(), f.placementDirective(), f.backgroundDirective(), f.twoPhaseDirective(), f.recordDirective(),
			f.segmentsDirective(), f.stateDirective(), f.reportDirective(), f.policyServerDirective(), f.policyDirective(),
			f.traceDirective(),
		},
	}
}

func (f *File) planDirective() *directive.Directive {
	return &directive.Directive{
		Name: "plan", Once: true,
		Args: []directive.Field{
			{Name: "file", Kind: directive.Text,
				Help: "made by `yokeroute plan solve`"},
		},
		Options: []directive.Field{
			{Name: "most-age", Kind: directive.Duration,
				Help: "from the plan's beginning, after which it is not followed any more"},
		},
		Help:    "Gives replicas turns by the weights of a plan.",
		Example: "plan plan.conf most-age 12h",
		Apply: func(v *directive.Values) error {
			f.Plan, f.PlanMaxAge = v.RelativePath("file"), v.Number("most-age", 0)
			return nil
		},
	}
}

func (f *File) placementDirective() *directive.Directive {
	return &directive.Directive{
		Name: "placement", Once: true,
		Args: []directive.Field{
			{Name: "file", Kind: directive.Text,
				Help: "a placement file with from-list"},
		},
		Help:    "Works out weights anew, in the background, whenever the list of servers changes.",
		Example: "placement halls.conf",
		Apply:   func(v *directive.Values) error { f.Placement = v.RelativePath("file"); return nil },
	}
}

func (f *File) backgroundDirective() *directive.Directive {
	return &directive.Directive{
		Name: "background", Once: true,
		Options: []directive.Field{
			{Name: "cpu", Kind: directive.Share, Min: 0.001, Max: 1, Required: true,
				Help: "of one core that background work may use; 5% unless told"},
		},
		Help:    "Bounds work that is not on a lookup's way.",
		Example: "background cpu 5%",
		Apply:   func(v *directive.Values) error { f.BackgroundShare = v.Number("cpu", 0); return nil },
	}
}

func (f *File) twoPhaseDirective() *directive.Directive {
	return &directive.Directive{
		Name: "two-phase",
		Args: []directive.Field{
			{Name: "index", Kind: directive.Name,
				Help: "whose parts may run again: once-only and fingerprinted ones are refused"},
		},
		Options: []directive.Field{
			{Name: "first", Kind: directive.Share, Min: 0.01, Max: 0.9,
				Help: "of a lookup's time that its first pass may take at most; 30% unless told"},
			{Name: "likely", Kind: directive.Share,
				Help: "parts less likely than this to hold anything are left out where the answer stays " +
					"whole without them; none unless told"},
			{Name: "partial", Kind: directive.Switch,
				Help: "on: also where the answer is partial without them, down to its least share; off unless told"},
			{Name: "trials", Kind: directive.Share, Max: 0.5,
				Help: "of lookups tried in two phases where one seems better, to go on learning; 2% unless told"},
		},
		Help: "Lookups of the index may go in two phases, with shard servers that answer first passes: " +
			"docs/protocol-two-phase.md.",
		Example: "two-phase file-search first 30% trials 2%",
		Apply: func(v *directive.Values) error {
			for _, other := range f.TwoPhase {
				if other.Class == v.Text("index") {
					return v.Errorf("index", "is given twice; keep one of these lines")
				}
			}
			f.TwoPhase = append(f.TwoPhase, TwoPhaseClass{
				Class:          v.Text("index"),
				FirstPassShare: v.Number("first", defaultFirstPassShare),
				MinProbability: v.Number("likely", 0),
				Partial:        v.Bool("partial", false),
				TrialShare:     v.Number("trials", defaultTrialShare),
				values:         v,
			})
			return nil
		},
	}
}

func (f *File) recordDirective() *directive.Directive {
	return &directive.Directive{
		Name: "record", Once: true,
		Args: []directive.Field{
			{Name: "file", Kind: directive.Text,
				Help: "written anew at each start"},
		},
		Options: []directive.Field{
			{Name: "most", Kind: directive.Size, Min: minFileBytes,
				Help: "after which the record ends; 64MB unless told"},
			{Name: "at-once", Kind: directive.Flag,
				Help: "each event is handed to the system at once, so that a process that is killed leaves " +
					"a record that joins with others'"},
		},
		Help: "Writes down what is taken, called, heard and answered, for `yokeroute-testbed replay FILE` " +
			"to check the six rules on. Some hundred bytes a part call.",
		Example: "record day.trace most 64MB",
		Apply: func(v *directive.Values) error {
			f.Record = v.RelativePath("file")
			f.RecordMaxBytes = v.Number("most", defaultRecordBytes)
			f.RecordUnbuffered = v.Has("at-once")
			return nil
		},
	}
}

func (f *File) segmentsDirective() *directive.Directive {
	return &directive.Directive{
		Name: "segments", Once: true,
		Options: []directive.Field{
			{Name: "file", Kind: directive.Text,
				Help: "a map file"},
			{Name: "from", Kind: directive.Address,
				Help: "an authority that tells of changes"},
			{Name: "most", Kind: directive.Count, Min: 1, Max: maxSegments,
				Help: "segments reckoned with; 1024 unless told"},
		},
		Help: "Sends each part to the hosts that own its keys, by a map in epochs: " +
			"docs/protocol-owners.md. Counts from the start, not on SIGHUP.",
		Example: "segments from 127.0.0.1:8600",
		Apply: func(v *directive.Values) error {
			if !v.Has("file") && !v.Has("from") {
				return v.Errorf("segments", "wants a file, an authority or both")
			}
			if v.Has("file") {
				f.Segments = v.RelativePath("file")
			}
			f.SegmentAuthority, f.MaxSegments = v.Text("from"), int(v.Number("most", defaultMaxSegments))
			return nil
		},
	}
}

func (f *File) stateDirective() *directive.Directive {
	return &directive.Directive{
		Name: "state", Once: true,
		Options: []directive.Field{
			{Name: "in", Kind: directive.Text,
				Help: "a folder on a lasting disk; without it nothing outlasts the process, and it is " +
					"careful after its start"},
			{Name: "keep", Kind: directive.Duration, Min: 1,
				Help: "for how long a client may ask again for a once-only lookup by its name; 10min unless told"},
			{Name: "most", Kind: directive.Size, Min: minFileBytes,
				Help: "of a journal before a snapshot takes its place; 4MB unless told"},
		},
		Help: "Remembers through a crash which once-only lookups may have run, and the newest map of " +
			"segments. A lookup of such a name is aborted, not run again. Each round with once-only " +
			"calls waits for the disk. Counts from the start.",
		Example: "state in /var/lib/yokeroute keep 10min",
		Apply: func(v *directive.Values) error {
			f.State = v.RelativePath("in")
			f.NameRetention, f.JournalMaxBytes = v.Number("keep", defaultNameRetention), v.Number("most", defaultJournalBytes)
			return nil
		},
	}
}

func (f *File) reportDirective() *directive.Directive {
	return &directive.Directive{
		Name: "report", Once: true,
		Options: []directive.Field{
			{Name: "listen", Kind: directive.Address, Required: true,
				Help: "where it tells, apart from lookups; whoever reaches it may read and claim"},
		},
		Help: "Tells of the gatherer: `GET /report` is a document with version, files in force and counts, " +
			"`GET /metrics` the same for Prometheus, and `yokeroute rollout` claims it at `/claim`. " +
			"Counts from the start.",
		Example: "report listen 127.0.0.1:8001",
		Apply:   func(v *directive.Values) error { f.ReportAddress = v.Text("listen"); return nil },
	}
}

func (f *File) policyServerDirective() *directive.Directive {
	return &directive.Directive{
		Name: "steward",
		Args: []directive.Field{
			{Name: "name", Kind: directive.Name},
			{Name: "address", Kind: directive.Address,
				Help: "at which this gatherer reaches it"},
		},
		Help: "One of the stewards whose policies are followed; all of them stand here. Wants a floor. " +
			"Counts from the start.",
		Example: "steward s1 127.0.0.1:8700",
		Apply: func(v *directive.Values) error {
			if slices.ContainsFunc(f.PolicyServers, func(s PolicyServer) bool { return s.Name == v.Text("name") }) {
				return v.Errorf("name", "is given twice; keep one of these lines")
			}
			f.PolicyServers = append(f.PolicyServers, PolicyServer{v.Text("name"), v.Text("address")})
			return nil
		},
	}
}

func (f *File) policyDirective() *directive.Directive {
	return &directive.Directive{
		Name: "policy", Once: true,
		Options: []directive.Field{
			{Name: "floor", Kind: directive.Text,
				Help: "a policy file: what is acted by where no steward has been heard for a lease, and " +
					"from a start until one is"},
			{Name: "file", Kind: directive.Text,
				Help: "a policy file of this gatherer's own, without stewards; read again on SIGHUP"},
		},
		Help: "What lookups may do less than the platform's settings allow: by stewards, for a whole fleet " +
			"at once, or by a file, each gatherer for itself: docs/operate/policy.md.",
		Example: "policy floor floor.conf",
		Apply: func(v *directive.Values) error {
			f.FallbackPolicy, f.Policy = v.RelativePath("floor"), v.RelativePath("file")
			if (f.FallbackPolicy == "") == (f.Policy == "") {
				return v.Errorf("policy", "wants a floor, where stewards are followed, or a file, where none are")
			}
			return nil
		},
	}
}

func (f *File) traceDirective() *directive.Directive {
	return &directive.Directive{
		Name: "trace", Once: true,
		Options: []directive.Field{
			{Name: "keep", Kind: directive.Count, Min: 1, Max: maxTraces, Required: true,
				Help: "lookups, the newest"},
			{Name: "share", Kind: directive.Share,
				Help: "of the lookups that come, drawn by their names; all unless told"},
		},
		Help: "Keeps what became of lookups, call by call, for `yokeroute explain lookup`. Each takes a " +
			"few kilobytes.",
		Example: "trace keep 200 share 10%",
		Apply: func(v *directive.Values) error {
			f.TracesKept, f.TraceShare = int(v.Number("keep", 0)), v.Number("share", 1)
			return nil
		},
	}
}
