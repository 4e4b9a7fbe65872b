// Package rollout carries out a rollout: it reads the plan, requests the gatherers' reports, has package logic/rollout
// decide, makes the steps by the operator's commands or by itself, and records all that a later controller needs to
// continue. It decides nothing about the fleet.
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

// Release is what gatherers serve on one side of a rollout. Gatherers are classified by the fields that are set. In the
// names of files {name}, {zone} and {report} stand for the gatherer's.
type Release struct {
	Program, Config, Operator string // files
	Version                   string
}

// StepCommand is an operator's command that makes a step.
type StepCommand struct {
	Args    []string // {name}, {zone}, {report}, {to} and {fence} stand for the gatherer's and the step's
	Timeout time.Duration
}

// GathererProcess is where a gatherer is reached, and the files that its process reads, for the built-in stepper.
type GathererProcess struct{ ReportAddress, ConfigFile, OperatorFile string }

// Plan is a plan file.
type Plan struct {
	rollout.Plan
	File        string // as named by the operator
	Fingerprint string // of its text
	Folder      string // of the journal
	Interval    time.Duration
	Processes   []GathererProcess // by gatherer
	Old, New    Release
	Commands    map[rollout.Variant]StepCommand // empty for the built-in stepper
	ReloadOnly  bool                            // the built-in stepper sends SIGHUP, and restarts nothing

	directiveLines map[string][]*directive.Values // for the places of faults
}

func newPlan() *Plan {
	return &Plan{Commands: map[rollout.Variant]StepCommand{}, directiveLines: map[string][]*directive.Values{}}
}

// ReadPlan reads and checks a plan. It contacts no gatherer.
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

// expand replaces a gatherer's placeholders.
func (p *Plan) expand(text string, g int) string {
	return strings.NewReplacer(
		"{name}", p.Gatherers[g].Name,
		"{zone}", p.Gatherers[g].Zone,
		"{report}", p.Processes[g].ReportAddress,
	).Replace(text)
}

// releaseFor is a release with the placeholders of a gatherer replaced.
func (p *Plan) releaseFor(g int, r Release) Release {
	return Release{
		Program:  p.expand(r.Program, g),
		Config:   p.expand(r.Config, g),
		Operator: p.expand(r.Operator, g),
		Version:  r.Version,
	}
}

// release is that of a variant for a gatherer.
func (p *Plan) release(g int, v rollout.Variant) Release {
	if v == rollout.Old {
		return p.releaseFor(g, p.Old)
	}
	return p.releaseFor(g, p.New)
}

// buildInfo reads the fingerprints by which a gatherer of a variant is classified.
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

// Describe writes what a rollout by the plan would do.
func (p *Plan) Describe(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "rollout %s: %d gatherers in %d zones, at most %d out at once and %d in a zone\n",
		p.Name, len(p.Gatherers), len(p.Zones()), p.MaxUnavailable, p.MaxUnavailablePerZone)
	before := 0
	for i, stage := range p.Stages {
		targets := p.Targets(i)
		fmt.Fprintf(&b, "stage %s: %d new, watched for %s: %s\n", stage.Name, len(targets),
			directive.FormatDuration(stage.MinObservation), p.shortList(targets[before:]))
		before = len(targets)
	}
	fmt.Fprintf(&b, "stopped where the new lose %s more of the value than the old, "+
		"with a chance of %s for a version that does not\n",
		directive.FormatShare(p.Harm), directive.FormatShare(p.FalseStopRate))
	_, err := io.WriteString(w, b.String())
	return err
}

// shortList names the first few of some gatherers.
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
