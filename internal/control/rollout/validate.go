package rollout

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"yokeroute/internal/config/directive"
	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
	"yokeroute/logic/rollout"
)

// validator checks a plan and collects its faults.
type validator struct {
	*Plan
	faults directive.ErrorList
}

// add adds a fault at the position of a directive's line with the given index. An index of -1 stands for the
// directive's first line, or for the first line of the file if the plan has no such directive.
func (v *validator) add(name string, index int, format string, args ...any) {
	position := directive.Position{File: v.File, Line: 1, Column: 1}
	if lines := v.directiveLines[name]; index >= 0 && index < len(lines) {
		position = lines[index].Position
	} else if len(lines) > 0 {
		position = lines[0].Position
	}
	v.faults = append(v.faults, &directive.Error{Position: position, Message: fmt.Sprintf(format, args...)})
}

// validate returns all faults of a plan, sorted by line. The defaults have to be filled in already.
func (p *Plan) validate() error {
	v := &validator{Plan: p}
	if p.Folder == "" {
		v.add("rollout", -1, "the plan lacks its name and folder; write rollout NAME in FOLDER")
	}
	for _, fault := range p.Check() {
		v.add(fault.Directive, fault.Index, "%s", fault.Message)
	}
	v.validateAddresses()
	v.validateReleases()
	v.validateSteps()
	if len(v.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(v.faults, func(a, b *directive.Error) int { return a.Line - b.Line })
	return v.faults
}

func (v *validator) validateAddresses() {
	names := map[string]string{} // by address
	for i, process := range v.Processes {
		address := process.ReportAddress
		if other := names[address]; other != "" {
			v.add("gatherer", i, "gatherer %s has the report address %s, as gatherer %s does; give each its own",
				v.Gatherers[i].Name, address, other)
		}
		names[address] = v.Gatherers[i].Name
	}
}

func (v *validator) validateReleases() {
	switch {
	case v.Old == (Release{}) || v.New == (Release{}):
		v.add("new", -1, "the plan does not distinguish old from new; write old and new with a program, a version or files")
	case v.Old == v.New:
		v.add("new", -1, "old and new are the same; they have to differ in a field")
	}
	for _, field := range []struct{ name, old, new string }{
		{"program", v.Old.Program, v.New.Program},
		{"config", v.Old.Config, v.New.Config},
		{"operator", v.Old.Operator, v.New.Operator},
		{"version", v.Old.Version, v.New.Version},
	} {
		if (field.old == "") != (field.new == "") {
			v.add("new", -1, "%s is given for one of old and new alone; give it for both",
				field.name)
		}
	}
}

func (v *validator) validateSteps() {
	_, commandNew := v.Commands[rollout.New]
	_, commandOld := v.Commands[rollout.Old]
	switch {
	case commandNew != commandOld:
		name := "step-old"
		if commandNew {
			name = "step-new"
		}
		v.add(name, -1, "step-new and step-old have to be set together: a rollback makes new gatherers old again")
	case commandNew && len(v.directiveLines["runner"]) > 0:
		v.add("runner", -1, "runner conflicts with step-new and step-old; write either runner or the two commands")
	case !commandNew && !v.ReloadOnly && v.Old.Program == "":
		v.add("runner", -1, "the built-in runner starts programs: set program for old and new, "+
			"or write step-new and step-old, or runner hangup")
	case !commandNew && v.ReloadOnly && v.Old.Config+v.Old.Operator == "":
		v.add("runner", -1, "runner hangup changes files only: set config or operator for old and new")
	}
	if !commandNew {
		v.validateProcesses()
	}
}

// validateProcesses checks that each gatherer has the files that the built-in stepper needs.
func (v *validator) validateProcesses() {
	for i, process := range v.Processes {
		if process.ConfigFile == "" && (v.Old.Config != "" || !v.ReloadOnly) {
			v.add("gatherer", i, "gatherer %s lacks config, the file that its process reads, which the built-in runner needs",
				v.Gatherers[i].Name)
		}
		if process.OperatorFile == "" && v.Old.Operator != "" {
			v.add("gatherer", i, "gatherer %s lacks operator, the operator's file that its process reads, "+
				"which the built-in runner needs", v.Gatherers[i].Name)
		}
	}
}

// maxFileFaults is the number of faults after which CheckFiles stops.
const maxFileFaults = 20

// CheckFiles reads all files of both releases as gatherers would, so that faults are found before any gatherer is
// changed.
func (p *Plan) CheckFiles() error {
	var faults []error
	for _, release := range []Release{p.Old, p.New} {
		for g := range p.Gatherers {
			faults = append(faults, p.checkRelease(g, p.releaseFor(g, release))...)
			if len(faults) > maxFileFaults {
				return errors.Join(append(faults, errors.New("there may be more faults; fix these and check again"))...)
			}
		}
	}
	return errors.Join(faults...)
}

func (p *Plan) checkRelease(g int, r Release) (faults []error) {
	add := func(err error) {
		if err != nil {
			faults = append(faults, fmt.Errorf("gatherer %s: %w", p.Gatherers[g].Name, err))
		}
	}
	if r.Program != "" {
		add(checkProgram(r.Program))
	}
	if r.Config != "" {
		_, err := platform.Load(r.Config, func(string) string { return "" })
		add(err)
	}
	if r.Operator != "" {
		_, err := operator.Read(r.Operator)
		add(err)
	}
	return faults
}

func checkProgram(file string) error {
	info, err := os.Stat(file)
	if err != nil {
		return err
	}
	if info.Mode()&0o111 == 0 || info.IsDir() {
		return fmt.Errorf("%s is not an executable file", file)
	}
	return nil
}

// operatorFingerprint returns the fingerprint of an operator's file with all files that it includes, as gatherers
// report it. An invalid file is an error, since no gatherer would accept it.
func operatorFingerprint(file string) (string, error) {
	operatorConfig, err := operator.Read(file)
	if err != nil {
		return "", err
	}
	return operatorConfig.Checksum, nil
}
