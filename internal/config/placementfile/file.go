// Package placementfile reads and writes placement files. A placement file describes zones, hosts, segments and demand.
// A plan is a placement file that also contains weights, so that it can be read, checked and solved again without any
// other file.
//
// In placement files, a zone is called a hall, and a replica set is called a group.
package placementfile

import (
	"math"

	"yokeroute/internal/config/directive"
	"yokeroute/logic/placement"
)

const (
	defaultUnit  = 1.0 // shard requests per second
	defaultSteps = 8   // a host that is warming up gains at most an eighth of its capacity per step

	// roundingError is the tolerance for a parsed number that should be a whole number.
	roundingError = 1e-6
)

// Names of the directives whose lines are collected until the whole file is read. The first five are also the kinds of
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

// wildcard is the name that stands for all segments in a demand directive.
const wildcard = "*"

// File is a placement file that has been read and checked.
type File struct {
	Model    placement.Model
	Plan     *placement.Plan // nil if the file contains no weights
	FromList bool            // hosts and segments are taken from discovery's list

	kinds           map[string]*directive.Values   // lines of kinds, by name
	lines           map[string][]*directive.Values // lines by directive, in the order of the model's entries
	wildcardDemands []*directive.Values            // demand lines for all segments
	unitLine        *directive.Values              // nil if the file has none
	currentStep     *placement.Step                // step to which weights are added
	inCase          bool                           // whether steps are added to the last case
}

// Reference returns the reference page of placement files.
func Reference() string { return newFile(0).table().Reference() }

// Read reads and checks a file. Errors in its lines are returned as a directive.ErrorList. Now, in Unix milliseconds,
// is the time from which a plan is in effect unless the file specifies it.
func Read(name string, now float64) (*File, error) {
	f := newFile(now)
	if err := f.table().Read(name); err != nil {
		return f, err
	}
	return f, f.build()
}

// Parse reads and checks a text, which must not include other files.
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

// FormatUnits formats a number of units as a rate.
func FormatUnits(unit float64, units int64) string {
	// The rate is rounded to multiples of 1/precision, to hide rounding errors of the product.
	const precision = 1e9
	return directive.FormatRate(math.Round(float64(units)*unit*precision) / precision)
}
