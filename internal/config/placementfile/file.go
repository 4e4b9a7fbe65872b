// Package placementfile reads and writes placement files: what an operator says of zones, hosts, segments and demand,
// and the plan that was worked out for it. A plan is a placement file with weights in it, so that it can be read,
// checked and solved again by itself.
//
// In a file a zone is called a hall, and a replica set a group.
package placementfile

import (
	"math"

	"yokeroute/internal/config/directive"
	"yokeroute/logic/placement"
)

const (
	defaultUnit  = 1.0 // shard requests a second
	defaultSteps = 8   // keeps a host that warms up within an eighth of its capacity

	// roundingError is how far a parsed number may be from the whole number that was written.
	roundingError = 1e-6
)

// Directives that describe a model or a plan, by which their lines are kept. The first five are also the kinds of
// entries of a model.
const (
	zoneLine     = placement.ZoneEntry
	hostLine     = placement.HostEntry
	segmentLine  = placement.SegmentEntry
	demandLine   = placement.DemandEntry
	crossingLine = placement.ZoneCostEntry
	caseLine     = "case"
	weightsLine  = "weights"
)

// wildcard stands for all segments in a demand.
const wildcard = "*"

// File is a placement file that has been read and checked.
type File struct {
	Model    placement.Model
	Plan     *placement.Plan // nil where it holds no weights
	FromList bool            // hosts and segments come from discovery's list

	kinds           map[string]*directive.Values
	lines           map[string][]*directive.Values // of each directive, in the order of the model's entries
	wildcardDemands []*directive.Values
	unitLine        *directive.Values
	currentStep     *placement.Step // to which weights are added
	inCase          bool            // steps are added to the last case
}

// Reference returns the reference page of placement files.
func Reference() string { return newFile(0).table().Reference() }

// Read reads and checks a file. Mistakes in it come as a directive.ErrorList. Now, in Unix milliseconds, is when a
// plan begins to hold unless the file says otherwise.
func Read(name string, now float64) (*File, error) {
	f := newFile(now)
	if err := f.table().Read(name); err != nil {
		return f, err
	}
	return f, f.build()
}

// Parse reads and checks a text that includes no files.
func Parse(name, text string, now float64) (*File, error) {
	f := newFile(now)
	if err := f.table().Parse(name, text); err != nil {
		return f, err
	}
	return f, f.build()
}

func newFile(now float64) *File {
	return &File{
		kinds: map[string]*directive.Values{},
		lines: map[string][]*directive.Values{},
		Model: placement.Model{Unit: defaultUnit, At: now, Steps: defaultSteps, MaxMoves: -1},
	}
}

// FormatUnits writes a number of units as a rate.
func FormatUnits(unit float64, units int64) string {
	const precision = 1e9 // hides rounding errors of the product
	return directive.FormatRate(math.Round(float64(units)*unit*precision) / precision)
}
