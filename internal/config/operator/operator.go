// Package operator reads the operator's own file of a gatherer: what the platform's configuration does not tell.
// Without a file, or with an empty one, every feature that it switches on is off.
package operator

import (
	"fmt"

	"yokeroute/gather"
	"yokeroute/internal/config/directive"
	"yokeroute/internal/suggest"
	"yokeroute/logic/twopass"
)

// TwoPhaseClass is a class whose queries may go in two passes.
type TwoPhaseClass struct {
	Class          string
	FirstPassShare float64 // of a query's time that the first pass may take at most
	MinProbability float64 // shards less likely than this to hold a match are left out, 0 for none
	Partial        bool    // shards may be left out even where the answer is not complete without them
	TrialShare     float64 // of queries tried in two passes where one seems better, to go on learning
	values         *directive.Values
}

// PolicyServer is a policy server by the address at which this gatherer reaches it.
type PolicyServer struct{ Name, Address string }

// File is the operator's file, with defaults for what it leaves out. File names are empty where they are not given.
type File struct {
	TwoPhase []TwoPhaseClass

	TracesKept int     // queries whose traces are kept, 0 for none
	TraceShare float64 // of all queries

	Record           string // file for a trace on which the rules can be checked
	RecordMaxBytes   float64
	RecordUnbuffered bool

	Segments         string // map file
	SegmentAuthority string // address that tells of changes of the map
	MaxSegments      int    // 0 where segments have no owners of their own

	State           string  // directory of what outlasts the process
	NameRetention   float64 // milliseconds for which names of non-idempotent queries are kept, 0 for not at all
	JournalMaxBytes float64 // before a snapshot takes its place

	Plan       string
	PlanMaxAge float64 // milliseconds, 0 for no bound
	Placement  string  // file to solve from whenever the endpoint list changes

	PolicyServers  []PolicyServer
	FallbackPolicy string // policy file that holds while no policy server is heard
	Policy         string // policy file of this gatherer alone, without policy servers

	ReportAddress   string  // on which load reports and metrics are served
	BackgroundShare float64 // of one core
	Checksum        string  // of the file with all that it includes, empty for no file
}

// defaultBackgroundShare leaves queries alone even where the gatherer has a part of a core.
const defaultBackgroundShare = 0.05

// TwoPhaseSettings returns the settings of the classes that may go in two passes. Classes that do not exist, or whose
// requests may not be executed twice, come as an ErrorList beside those that fit.
func (f *File) TwoPhaseSettings(settings *gather.Settings) (map[string]twopass.Settings, error) {
	accepted := map[string]twopass.Settings{}
	var mistakes directive.ErrorList
	for _, c := range f.TwoPhase {
		if err := c.check(settings); err != nil {
			mistakes = append(mistakes, err)
			continue
		}
		class := settings.Class(c.Class)
		accepted[c.Class] = twopass.Settings{
			LatencyObjective: class.LatencyObjective, CompleteShare: class.CompleteShare, MinShare: class.MinShare,
			FirstPassShare: c.FirstPassShare, MinLikelihood: c.MinProbability, AllowPartial: c.Partial, TrialShare: c.TrialShare,
		}
	}
	if len(mistakes) > 0 {
		return accepted, mistakes
	}
	return accepted, nil
}

// check says why a class may not go in two passes, nil where it may.
func (c *TwoPhaseClass) check(settings *gather.Settings) *directive.Error {
	class := settings.FindClass(c.Class)
	switch {
	case class == nil:
		return c.values.Errorf("index", "is no index of the settings%s", suggest.Hint(c.Class, settings.ClassNames()))
	case class.Effect != gather.Idempotent:
		return c.values.Errorf("index", "is %s: its parts may not run twice, which two phases may make them", class.Effect)
	case class.FollowUpRequests > 0:
		return c.values.Errorf("index", "has a second step of its own")
	}
	return nil
}

// Reference returns the reference page of the operator's file.
func Reference() string { return (&File{}).table().Reference() }

// Read reads and checks a file. An empty name stands for an empty file.
func Read(name string) (*File, error) {
	f := &File{BackgroundShare: defaultBackgroundShare}
	if name == "" {
		return f, nil
	}
	sum, err := f.table().ReadWithChecksum(name)
	f.Checksum = sum
	if err == nil && (len(f.PolicyServers) > 0) != (f.FallbackPolicy != "") {
		err = fmt.Errorf("%s:1:1: stewards and a floor go together: write steward NAME ADDRESS for each, "+
			"and policy floor FILE", name)
	}
	return f, err
}
