// Package rollout executes a rollout: it reads the plan, fetches the gatherers' reports, makes the steps by the
// operator's commands or by itself, and records all that a later controller needs to continue. All decisions about the
// fleet are made by package logic/rollout.
package rollout

import (
	"fmt"
	"io"
	"strings"
	"time"

	"yokeroute/internal/config/directive"
	"yokeroute/internal/version"
	"yokeroute/logic/rollout"
)

// Release describes the version that gatherers run before or after a rollout. Gatherers are classified by the fields
// that are set. In file names, {name}, {zone} and {report} stand for a gatherer's name, zone and report address.
type Release struct {
	Program, Config, Operator string // file names
	Version                   string
}

// StepCommand is an operator's command that makes a step.
type StepCommand struct {
	// Args holds the command and its arguments. {name}, {zone} and {report} stand for the gatherer's name, zone and
	// report address, {to} for the step's target variant and {fence} for the controller's fencing token.
	Args    []string
	Timeout time.Duration
}

// GathererProcess holds the report address of a gatherer and, for the built-in stepper, the files that its process
// reads.
type GathererProcess struct{ ReportAddress, ConfigFile, OperatorFile string }

// Plan is a plan as read from its file.
type Plan struct {
	rollout.Plan
	File        string                          // plan's file name, as given by the operator
	Fingerprint string                          // checksum of the plan's text
	Folder      string                          // folder of the journal
	Interval    time.Duration                   // time between rounds
	Processes   []GathererProcess               // address and files of each gatherer, by index
	Old, New    Release                         // releases before and after the rollout
	Commands    map[rollout.Variant]StepCommand // empty if the built-in stepper is used
	ReloadOnly  bool                            // whether the built-in stepper sends SIGHUP instead of restarting

	directiveLines map[string][]*directive.Values // lines of each directive, for the positions of faults
}

func newPlan() *Plan {
	return &Plan{Commands: map[rollout.Variant]StepCommand{}, directiveLines: map[string][]*directive.Values{}}
}

// ReadPlan reads and checks a plan file. It does not contact gatherers.
func ReadPlan(file string) (*Plan, error) {
	p := newPlan()
	fingerprint, err := p.directives().ReadWithChecksum(file)
	if err != nil {
		return nil, err
	}
	p.File = file
	p.Fingerprint = fingerprint
	p.Plan = p.Defaults()
	if err := p.validate(); err != nil {
		return nil, err
	}
	return p, nil
}

// expand replaces the placeholders {name}, {zone} and {report} by the values of a gatherer.
func (p *Plan) expand(text string, g int) string {
	return strings.NewReplacer(
		"{name}", p.Gatherers[g].Name,
		"{zone}", p.Gatherers[g].Zone,
		"{report}", p.Processes[g].ReportAddress,
	).Replace(text)
}

// releaseFor returns a release with the placeholders replaced by the values of a gatherer.
func (p *Plan) releaseFor(g int, r Release) Release {
	return Release{
		Program:  p.expand(r.Program, g),
		Config:   p.expand(r.Config, g),
		Operator: p.expand(r.Operator, g),
		Version:  r.Version,
	}
}

// release returns the release of a variant, with the placeholders replaced by the values of a gatherer.
func (p *Plan) release(g int, v rollout.Variant) Release {
	if v == rollout.Old {
		return p.releaseFor(g, p.Old)
	}
	return p.releaseFor(g, p.New)
}

// buildInfo reads the files of a variant's release and returns the fingerprints by which a gatherer is classified.
func (p *Plan) buildInfo(g int, v rollout.Variant) (build rollout.BuildInfo, err error) {
	r := p.release(g, v)
	build.Version = r.Version
	for _, fingerprint := range []struct {
		file string
		read func(file string) (string, error)
		to   *string
	}{
		{r.Program, version.FileChecksum, &build.Program},
		{r.Config, version.FileChecksum, &build.Config},
		{r.Operator, operatorFingerprint, &build.Operator},
	} {
		if fingerprint.file == "" {
			continue
		}
		if *fingerprint.to, err = fingerprint.read(fingerprint.file); err != nil {
			return build, fmt.Errorf("gatherer %s: %w", p.Gatherers[g].Name, err)
		}
	}
	return build, nil
}

// Describe writes a summary of the rollout that the plan defines.
func (p *Plan) Describe(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "rollout %s: %d gatherers in %d zones, at most %d unavailable at once and %d per zone\n",
		p.Name, len(p.Gatherers), len(p.Zones()), p.MaxUnavailable, p.MaxUnavailablePerZone)
	previousTargets := 0
	for i, stage := range p.Stages {
		targets := p.Targets(i)
		fmt.Fprintf(&b, "stage %s: %d new, observed for %s: %s\n", stage.Name, len(targets),
			directive.FormatDuration(stage.MinObservation), p.shortList(targets[previousTargets:]))
		previousTargets = len(targets)
	}
	fmt.Fprintf(&b, "stops if the new gatherers lose %s more of the value than the old; "+
		"false stop rate %s for a version that does not\n",
		directive.FormatShare(p.Harm), directive.FormatShare(p.FalseStopRate))
	_, err := io.WriteString(w, b.String())
	return err
}

// shortList returns the names of the first few gatherers of a list, and the number of the others.
func (p *Plan) shortList(gatherers []int) string {
	const maxNames = 12
	names := make([]string, 0, len(gatherers))
	for _, g := range gatherers {
		names = append(names, p.Gatherers[g].Name)
	}
	if len(names) > maxNames {
		names = append(names[:maxNames], fmt.Sprintf("and %d more", len(gatherers)-maxNames))
	}
	return strings.Join(names, " ")
}
