// Package operator reads the operator's own file of a gatherer: what the platform's configuration does not tell.
// Without it, or with an empty one, the gatherer is as it was before there was such a file.
package operator

import (
	"fmt"
	"slices"

	"yokeroute/gather"
	"yokeroute/internal/config/directive"
	"yokeroute/internal/suggest"
	"yokeroute/logic/phases"
)

// Phase is what an operator sets of an index that may go in two phases.
type Phase struct {
	Index   string
	First   float64 // most of a lookup's time that a first pass may take, a share
	Likely  float64 // parts less likely than this are left out, 0 for none
	Partial bool    // also where the answer is not whole for it
	Trials  float64 // share of lookups tried in two phases where one seems better
	line    *directive.Values
}

// Steward is one of those that agree on policies, by the address at which this gatherer reaches it.
type Steward struct{ Name, Address string }

// File is the operator's file, with defaults for what it leaves out.
type File struct {
	TwoPhase     []Phase
	Traces       int     // lookups whose traces are kept, 0 for none
	KeepShare    float64 // of all that come
	Record       string  // file for a trace that the rules can be checked on, empty for none
	RecordMost   float64 // bytes after which it ends
	RecordAtOnce bool    // each event is handed to the system at once
	Segments     string  // file of a map of segments, empty for none
	Authority    string  // address of who tells of its changes, empty for none
	MostOwned    int     // segments reckoned with
	State        string  // folder of what outlasts the process, empty for none
	Keep         float64 // milliseconds for which the names of once-only lookups are kept, 0 for not
	StateMost    float64 // bytes of a journal behind its snapshot
	Plan         string  // file of a plan to follow, empty for none
	PlanAge      float64 // milliseconds after which that plan is too old, 0 for no bound
	Placement    string  // file to solve from whenever the list changes, empty for none
	Stewards     []Steward
	Floor        string  // file of what is acted by when the stewards are not heard, empty for none
	Policy       string  // file of a policy of the gatherer's own, without stewards
	Report       string  // address on which it tells of itself, empty for none
	Sum          string  // fingerprint of the file with all that it includes, empty for no file
	Background   float64 // share of one core for background work
}

// defaultBackground is little enough to leave lookups alone on part of a core.
const defaultBackground = 0.05

func (f *File) table() *directive.Table {
	return &directive.Table{Name: "operator's file", Intro: "What an operator sets of a gatherer beside the platform's configuration. `yokeroute serve --operator FILE` reads it, and again on SIGHUP; `yokeroute check-config --operator FILE` checks it.", Directives: []*directive.Directive{
		{Name: "plan", Once: true, Args: []directive.Field{{Name: "file", Kind: directive.Text, Help: "made by `yokeroute plan solve`"}},
			Options: []directive.Field{{Name: "most-age", Kind: directive.Duration, Help: "from the plan's beginning, after which it is not followed any more"}},
			Help:    "Gives replicas turns by the weights of a plan.", Example: "plan plan.conf most-age 12h",
			Apply: func(v *directive.Values) error {
				f.Plan, f.PlanAge = v.RelativePath("file"), v.Number("most-age", 0)
				return nil
			}},
		{Name: "placement", Once: true, Args: []directive.Field{{Name: "file", Kind: directive.Text, Help: "a placement file with from-list"}},
			Help: "Works out weights anew, in the background, whenever the list of servers changes.", Example: "placement halls.conf",
			Apply: func(v *directive.Values) error { f.Placement = v.RelativePath("file"); return nil }},
		{Name: "background", Once: true, Options: []directive.Field{{Name: "cpu", Kind: directive.Share, Min: 0.001, Max: 1, Required: true, Help: "of one core that background work may use; 5% unless told"}},
			Help: "Bounds work that is not on a lookup's way.", Example: "background cpu 5%",
			Apply: func(v *directive.Values) error { f.Background = v.Number("cpu", 0); return nil }},
		{Name: "two-phase", Args: []directive.Field{{Name: "index", Kind: directive.Name, Help: "whose parts may run again: once-only and fingerprinted ones are refused"}},
			Options: []directive.Field{{Name: "first", Kind: directive.Share, Min: 0.01, Max: 0.9, Help: "of a lookup's time that its first pass may take at most; 30% unless told"},
				{Name: "likely", Kind: directive.Share, Help: "parts less likely than this to hold anything are left out where the answer stays whole without them; none unless told"},
				{Name: "partial", Kind: directive.Switch, Help: "on: also where the answer is partial without them, down to its least share; off unless told"},
				{Name: "trials", Kind: directive.Share, Max: 0.5, Help: "of lookups tried in two phases where one seems better, to go on learning; 2% unless told"}},
			Help: "Lookups of the index may go in two phases, with shard servers that answer first passes: docs/protocol-two-phase.md.", Example: "two-phase file-search first 30% trials 2%",
			Apply: func(v *directive.Values) error {
				for _, other := range f.TwoPhase {
					if other.Index == v.Text("index") {
						return v.Errorf("index", "is given twice; keep one of these lines")
					}
				}
				f.TwoPhase = append(f.TwoPhase, Phase{Index: v.Text("index"), First: v.Number("first", 0.3), Likely: v.Number("likely", 0), Partial: v.Bool("partial", false),
					Trials: v.Number("trials", 0.02), line: v})
				return nil
			}},
		{Name: "record", Once: true, Args: []directive.Field{{Name: "file", Kind: directive.Text, Help: "written anew at each start"}},
			Options: []directive.Field{{Name: "most", Kind: directive.Size, Min: 4096, Help: "after which the record ends; 64MB unless told"},
				{Name: "at-once", Kind: directive.Flag, Help: "each event is handed to the system at once, so that a process that is killed leaves a record that joins with others'"}},
			Help: "Writes down what is taken, called, heard and answered, for `yokeroute-testbed replay FILE` to check the six rules on. Some hundred bytes a part call.", Example: "record day.trace most 64MB",
			Apply: func(v *directive.Values) error {
				f.Record, f.RecordMost, f.RecordAtOnce = v.RelativePath("file"), v.Number("most", 64<<20), v.Has("at-once")
				return nil
			}},
		{Name: "segments", Once: true, Options: []directive.Field{{Name: "file", Kind: directive.Text, Help: "a map file"}, {Name: "from", Kind: directive.Address, Help: "an authority that tells of changes"},
			{Name: "most", Kind: directive.Count, Min: 1, Max: 65536, Help: "segments reckoned with; 1024 unless told"}},
			Help: "Sends each part to the hosts that own its keys, by a map in epochs: docs/protocol-owners.md. Counts from the start, not on SIGHUP.", Example: "segments from 127.0.0.1:8600",
			Apply: func(v *directive.Values) error {
				if !v.Has("file") && !v.Has("from") {
					return v.Errorf("segments", "wants a file, an authority or both")
				}
				if v.Has("file") {
					f.Segments = v.RelativePath("file")
				}
				f.Authority, f.MostOwned = v.Text("from"), int(v.Number("most", 1024))
				return nil
			}},
		{Name: "state", Once: true, Options: []directive.Field{{Name: "in", Kind: directive.Text, Help: "a folder on a lasting disk; without it nothing outlasts the process, and it is careful after its start"},
			{Name: "keep", Kind: directive.Duration, Min: 1, Help: "for how long a client may ask again for a once-only lookup by its name; 10min unless told"}, {Name: "most", Kind: directive.Size, Min: 4096, Help: "of a journal before a snapshot takes its place; 4MB unless told"}},
			Help: "Remembers through a crash which once-only lookups may have run, and the newest map of segments. A lookup of such a name is aborted, not run again. Each round with once-only calls waits for the disk. Counts from the start.", Example: "state in /var/lib/yokeroute keep 10min",
			Apply: func(v *directive.Values) error {
				f.State = v.RelativePath("in")
				f.Keep, f.StateMost = v.Number("keep", 600_000), v.Number("most", 4<<20)
				return nil
			}},
		{Name: "report", Once: true, Options: []directive.Field{{Name: "listen", Kind: directive.Address, Required: true, Help: "where it tells, apart from lookups; whoever reaches it may read and claim"}},
			Help: "Tells of the gatherer: `GET /report` is a document with version, files in force and counts, `GET /metrics` the same for Prometheus, and `yokeroute rollout` claims it at `/claim`. Counts from the start.", Example: "report listen 127.0.0.1:8001",
			Apply: func(v *directive.Values) error { f.Report = v.Text("listen"); return nil }},
		{Name: "steward", Args: []directive.Field{{Name: "name", Kind: directive.Name}, {Name: "address", Kind: directive.Address, Help: "at which this gatherer reaches it"}},
			Help: "One of the stewards whose policies are followed; all of them stand here. Wants a floor. Counts from the start.", Example: "steward s1 127.0.0.1:8700",
			Apply: func(v *directive.Values) error {
				if slices.ContainsFunc(f.Stewards, func(s Steward) bool { return s.Name == v.Text("name") }) {
					return v.Errorf("name", "is given twice; keep one of these lines")
				}
				f.Stewards = append(f.Stewards, Steward{v.Text("name"), v.Text("address")})
				return nil
			}},
		{Name: "policy", Once: true, Options: []directive.Field{{Name: "floor", Kind: directive.Text, Help: "a policy file: what is acted by where no steward has been heard for a lease, and from a start until one is"}, {Name: "file", Kind: directive.Text, Help: "a policy file of this gatherer's own, without stewards; read again on SIGHUP"}},
			Help: "What lookups may do less than the platform's settings allow: by stewards, for a whole fleet at once, or by a file, each gatherer for itself: docs/operate/policy.md.", Example: "policy floor floor.conf",
			Apply: func(v *directive.Values) error {
				f.Floor, f.Policy = v.RelativePath("floor"), v.RelativePath("file")
				if (f.Floor == "") == (f.Policy == "") {
					return v.Errorf("policy", "wants a floor, where stewards are followed, or a file, where none are")
				}
				return nil
			}},
		{Name: "trace", Once: true, Options: []directive.Field{{Name: "keep", Kind: directive.Count, Min: 1, Max: 10000, Required: true, Help: "lookups, the newest"},
			{Name: "share", Kind: directive.Share, Help: "of the lookups that come, drawn by their names; all unless told"}},
			Help: "Keeps what became of lookups, call by call, for `yokeroute explain lookup`. Each takes a few kilobytes.", Example: "trace keep 200 share 10%",
			Apply: func(v *directive.Values) error {
				f.Traces, f.KeepShare = int(v.Number("keep", 0)), v.Number("share", 1)
				return nil
			}},
	}}
}

// Fit gives what of the file does not fit the platform's settings: unknown indexes, and those whose parts may not
// run twice, for two phases. Phases are the marked indexes that do fit.
func (f *File) Fit(settings *gather.Settings) (marked map[string]phases.Terms, err error) {
	marked = map[string]phases.Terms{}
	var faults directive.ErrorList
	for _, ph := range f.TwoPhase {
		name := ph.Index
		switch effect := settings.Class(name).Effect; {
		case !slices.Contains(settings.ClassNames(), name):
			faults = append(faults, ph.line.Errorf("index", "is no index of the settings%s", suggest.Hint(name, settings.ClassNames())))
		case effect != gather.Idempotent:
			faults = append(faults, ph.line.Errorf("index", "is %s: its parts may not run twice, which two phases may make them", effect))
		case settings.Class(name).FollowUpRequests > 0:
			faults = append(faults, ph.line.Errorf("index", "has a second step of its own"))
		default:
			marked[name] = phases.Terms{Soft: settings.Class(name).LatencyObjective, Whole: settings.Class(name).CompleteShare,
				Least: settings.Class(name).MinShare, First: ph.First, Likely: ph.Likely, Partial: ph.Partial, Trials: ph.Trials}
		}
	}
	if len(faults) > 0 {
		return marked, faults
	}
	return marked, nil
}

// Reference is the page about operator's files.
func Reference() string { return (&File{}).table().Reference() }

// Read reads and checks a file; an empty name is a file that says nothing.
func Read(name string) (*File, error) {
	f := &File{Background: defaultBackground}
	if name == "" {
		return f, nil
	}
	sum, err := f.table().ReadWithChecksum(name)
	f.Sum = sum
	if err == nil && (len(f.Stewards) > 0) != (f.Floor != "") {
		err = fmt.Errorf("%s:1:1: stewards and a floor go together: write steward NAME ADDRESS for each, and policy floor FILE", name)
	}
	return f, err
}
