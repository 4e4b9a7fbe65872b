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

// validator collects the faults of a plan.
type validator struct {
	*Plan
	faults directive.ErrorList
}

// add adds a fault at a line of a directive, by its index; -1 for the directive's first line or, where there is none,
// the file's.
func (v *validator) add(name string, index int, format string, args ...any) {
	position := directive.Position{File: v.File, Line: 1, Column: 1}
	if lines := v.directiveLines[name]; index >= 0 && index < len(lines) {
		position = lines[index].Position
	} else if len(lines) > 0 {
		position = lines[0].Position
	}
	v.faults = append(v.faults, &directive.Error{Position: position, Message: fmt.Sprintf(format, args...)})
}

// validate returns all faults of a plan that has its defaults, in the order of their lines.
func (p *Plan) validate() error {
	v := &validator{Plan: p}
	if p.Folder == "" {
		v.add("rollout", -1, "has no line that names it; write rollout NAME in FOLDER")
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
			v.add("gatherer", i, "gatherer %s reports at %s, as %s does", v.Gatherers[i].Name, address, other)
		}
		names[address] = v.Gatherers[i].Name
	}
}

func (v *validator) validateReleases() {
	switch {
	case v.Old == (Release{}) || v.New == (Release{}):
		v.add("new", -1, "does not distinguish old from new; write old and new with a program, a version or files")
	case v.Old == v.New:
		v.add("new", -1, "old and new are the same")
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
		v.add(name, -1, "step-new and step-old go together: what is made new may have to be made old again")
	case commandNew && len(v.directiveLines["runner"]) > 0:
		v.add("runner", -1, "stands beside step-new and step-old: steps are made by the one or the other")
	case !commandNew && !v.ReloadOnly && v.Old.Program == "":
		v.add("runner", -1, "the built-in runner starts programs: old and new want one each, "+
			"or write step-new and step-old, or runner hangup")
	case !commandNew && v.ReloadOnly && v.Old.Config+v.Old.Operator == "":
		v.add("runner", -1, "runner hangup changes files: old and new want a config or an operator's file each")
	}
	if !commandNew {
		v.validateProcesses()
	}
}

// validateProcesses checks what the built-in stepper needs to know of each gatherer.
func (v *validator) validateProcesses() {
	for i, process := range v.Processes {
		if process.ConfigFile == "" && (v.Old.Config != "" || !v.ReloadOnly) {
			v.add("gatherer", i, "gatherer %s wants config, the file that its process reads, for the built-in runner",
				v.Gatherers[i].Name)
		}
		if process.OperatorFile == "" && v.Old.Operator != "" {
			v.add("gatherer", i, "gatherer %s wants operator, the operator's file that its process reads, "+
				"for the built-in runner", v.Gatherers[i].Name)
		}
	}
}

// maxFileFaults bounds the faults that CheckFiles returns.
const maxFileFaults = 20

// CheckFiles reads all files of both releases as gatherers would, before any is changed.
func (p *Plan) CheckFiles() error {
	var faults []error
	for _, release := range []Release{p.Old, p.New} {
		for g := range p.Gatherers {
			faults = append(faults, p.checkRelease(g, p.releaseFor(g, release))...)
			if len(faults) > maxFileFaults {
				return errors.Join(append(faults, errors.New("and more"))...)
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
		return fmt.Errorf("%s is no program", file)
	}
	return nil
}

// operatorFingerprint is the fingerprint of an operator's file with all that it includes, as gatherers report it. A
// faulty file is an error: no gatherer would take it.
func operatorFingerprint(file string) (string, error) {
	own, err := operator.Read(file)
	if err != nil {
		return "", err
	}
	return own.Checksum, nil
}
