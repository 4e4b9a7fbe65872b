// Package rollout carries a rollout out: it reads the plan, asks gatherers what they tell, has package logic/rollout
// decide, makes the steps by the operator's commands or by itself, and writes down all that a later process needs to go
// on. It decides nothing about the fleet.
package rollout

import (
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"

	"yokeroute/internal/config/directive"
	"yokeroute/internal/version"
	"yokeroute/logic/rollout"
)

// Side is what gatherers serve as before or after: what of it is told is told apart by.
type Side struct {
	Program, Config, Operator string // files; {name} and {zone} stand for the gatherer's
	Version                   string
}

// Command is an operator's command for a step.
type Command struct {
	Words []string // {name}, {zone}, {report}, {to} and {fence} stand for the gatherer's and the step's
	Limit float64  // milliseconds
}

// Machine is what the built-in runner needs to know of a gatherer.
type Machine struct{ Report, Config, Operator string }

// Plan is a plan file.
type Plan struct {
	rollout.Plan
	File, Text string // as it was read
	Folder     string // of the journal
	Every      float64
	Machines   []Machine // by gatherer
	Old, New   Side
	Steps      map[rollout.Kind]Command // empty for the built-in runner
	Hangup     bool                     // the built-in runner changes files and sends SIGHUP, and starts nothing anew
	lines      map[string][]*directive.Values
}

func (p *Plan) table() *directive.Table {
	beside := func(v *directive.Values, field string) string {
		name := v.RelativePath(field)
		if name == "" || filepath.IsAbs(name) {
			return name
		}
		if whole, err := filepath.Abs(name); err == nil { // processes are told apart by it
			return whole
		}
		return name
	}
	span := func(name, help string) directive.Field {
		return directive.Field{Name: name, Kind: directive.Duration, Min: 1, Help: help}
	}
	share := func(name string, help string) directive.Field {
		return directive.Field{Name: name, Kind: directive.Share, Min: 0.0001, Help: help}
	}
	kept := func(take func(v *directive.Values) error, name string) func(v *directive.Values) error {
		return func(v *directive.Values) error {
			p.lines[name] = append(p.lines[name], v)
			return take(v)
		}
	}
	side := func(to *Side) func(v *directive.Values) error {
		return func(v *directive.Values) error {
			*to = Side{beside(v, "program"), beside(v, "config"), beside(v, "operator"), v.Text("version")}
			if *to == (Side{}) {
				return v.Errorf("program", "wants a program, a version, a config or an operator's file by which its gatherers are told")
			}
			return nil
		}
	}
	sideFields := []directive.Field{{Name: "program", Kind: directive.Text, Help: "file of the program"}, {Name: "config", Kind: directive.Text, Help: "file of the platform's configuration"},
		{Name: "operator", Kind: directive.Text, Help: "operator's file"}, {Name: "version", Kind: directive.Text, Help: "as `yokeroute version` has it"}}
	step := func(kind rollout.Kind) func(v *directive.Values) error {
		return func(v *directive.Values) error {
			p.Steps[kind] = Command{v.List("command"), v.Number("limit", 60_000)}
			return nil
		}
	}
	return &directive.Table{Name: "rollout plan", Intro: "How a fleet of gatherers goes from an old version or old settings to new ones in stages: `yokeroute rollout run FILE`. In names of files and in commands {name} and {zone} stand for a gatherer's; names of files are relative to the plan.", Directives: []*directive.Directive{
		{Name: "rollout", Once: true, Args: []directive.Field{{Name: "name", Kind: directive.Name}}, Options: []directive.Field{{Name: "in", Kind: directive.Text, Required: true, Help: "folder of its journal; one rollout has one"}, {Name: "every", Kind: directive.Duration, Min: 50, Max: 600_000, Help: "gatherers are asked; 5s"}},
			Help: "Names the rollout.", Example: "rollout release-42 in rollout-42 every 5s",
			Apply: func(v *directive.Values) error {
				p.Name, p.Folder, p.Every = v.Text("name"), beside(v, "in"), v.Number("every", 5000)
				return nil
			}},
		{Name: "gatherer", Args: []directive.Field{{Name: "name", Kind: directive.Name, Help: "as the gatherer tells it"}}, Options: []directive.Field{{Name: "zone", Kind: directive.Name, Help: "none unless told"}, {Name: "report", Kind: directive.Address, Required: true, Help: "where it tells of itself"},
			{Name: "config", Kind: directive.Text, Help: "file that its process reads, for the built-in runner"}, {Name: "operator", Kind: directive.Text, Help: "the same, of the operator's file"}},
			Help: "A gatherer of the fleet. All of it stands in the plan.", Example: "gatherer g1 zone north report 127.0.0.1:8101 config run/g1.json operator run/g1.conf",
			Apply: kept(func(v *directive.Values) error {
				p.Gatherers = append(p.Gatherers, rollout.Gatherer{Name: v.Text("name"), Zone: v.Text("zone")})
				p.Machines = append(p.Machines, Machine{v.Text("report"), beside(v, "config"), beside(v, "operator")})
				return nil
			}, "gatherer")},
		{Name: "stage", Args: []directive.Field{{Name: "name", Kind: directive.Name}}, Options: []directive.Field{{Name: "count", Kind: directive.Count, Min: 1, Help: "gatherers that are new then"}, share("share", "of the gatherers"), {Name: "zone", Kind: directive.Name, Help: "all gatherers of it, and those before"}, span("least", "for which it is watched once all of it serve; 60s")},
			Help: "A stage: one of count, share and zone. Each holds those before it.", Example: "stage few share 10% least 2min",
			Apply: kept(func(v *directive.Values) error {
				p.Stages = append(p.Stages, rollout.Stage{Name: v.Text("name"), Count: int(v.Number("count", 0)), Share: v.Number("share", 0), Zone: v.Text("zone"), Least: v.Number("least", 0)})
				return nil
			}, "stage")},
		{Name: "out", Once: true, Args: []directive.Field{{Name: "most", Kind: directive.Count, Min: 1, Help: "of all"}}, Options: []directive.Field{{Name: "zone", Kind: directive.Count, Min: 1, Help: "of a zone; as of all"}},
			Help: "How many gatherers may be out at once, those counted that died by themselves or can't be reached. One unless told.", Example: "out 2 zone 1",
			Apply: kept(func(v *directive.Values) error {
				p.MostOut, p.MostOutZone = int(v.Number("most", 0)), int(v.Number("zone", 0))
				return nil
			}, "out")},
		{Name: "watch", Once: true, Options: []directive.Field{span("baseline", "before the first change; 30s"), span("fresh", "after its start for which a gatherer is judged apart; 15s"), span("settle", "within which a changed one has to serve as what it was made; 30s")},
			Help: "How gatherers are watched.", Example: "watch baseline 1min fresh 15s settle 30s",
			Apply: func(v *directive.Values) error {
				p.Baseline, p.Fresh, p.Settle = v.Number("baseline", 0), v.Number("fresh", 0), v.Number("settle", 0)
				return nil
			}},
		{Name: "limit", Once: true, Args: []directive.Field{{Name: "stage", Kind: directive.Duration, Min: 1, Help: "that a stage may last"}}, Options: []directive.Field{{Name: "then", Kind: directive.Choice, Choices: []string{"back", "stop"}, Help: "back"}, span("rough", "that the old may do worse since a stage began, before it is taken for the new's doing; 2min")},
			Help: "How long is waited. 30min unless told.", Example: "limit 30min then back rough 2min",
			Apply: kept(func(v *directive.Values) error {
				p.Limit, p.Rough = v.Number("stage", 0), v.Number("rough", 0)
				if v.Text("then") == "stop" {
					p.AtLimit = rollout.Stop
				}
				return nil
			}, "limit")},
		{Name: "harm", Once: true, Args: []directive.Field{{Name: "value", Kind: directive.Share, Min: 0.001, Help: "of what lookups could earn, lost more than by the old"}}, Options: []directive.Field{share("fresh", "the same of gatherers that have just started; 30%"), share("cost", "part calls, connections or memory more than the old ones'; 25%")},
			Help: "What has to be found. 5% unless told; a quarter of it is borne.", Example: "harm 5% fresh 30% cost 25%",
			Apply: kept(func(v *directive.Values) error {
				p.Harm, p.FreshHarm, p.Cost = v.Number("value", 0), v.Number("fresh", 0), v.Number("cost", 0)
				return nil
			}, "harm")},
		{Name: "chance", Once: true, Options: []directive.Field{share("stop", "that a rollout of a version as good as the old is stopped; 1%"), share("pass", "that a stage passes one that does the harm; 5%")},
			Help: "What chance may do.", Example: "chance stop 1% pass 5%",
			Apply: func(v *directive.Values) error {
				p.WrongStop, p.WrongPass = v.Number("stop", 0), v.Number("pass", 0)
				return nil
			}},
		{Name: "evidence", Once: true, Args: []directive.Field{{Name: "lookups", Kind: directive.Count, Min: 1, Help: "of each index at new gatherers, in a stage"}}, Options: []directive.Field{share("judged", "of the lookups from which an index is judged by itself; 2%"), {Name: "tries", Kind: directive.Count, Min: 1, Max: 100, Help: "to change a gatherer; 2"}},
			Help: "The least that a stage passes on. 100 unless told.", Example: "evidence 200 judged 2% tries 2",
			Apply: func(v *directive.Values) error {
				p.Evidence, p.Judged, p.Tries = v.Number("lookups", 0), v.Number("judged", 0), int(v.Number("tries", 0))
				return nil
			}},
		{Name: "seed", Once: true, Args: []directive.Field{{Name: "seed", Kind: directive.Count, Max: 1 << 53}}, Help: "Of the order in which gatherers are changed; 0 unless told.", Example: "seed 7",
			Apply: func(v *directive.Values) error { p.Seed = uint64(v.Number("seed", 0)); return nil }},
		{Name: "old", Once: true, Options: sideFields, Help: "What gatherers serve as before. What stands here is what they are told by.", Example: "old program releases/41/yokeroute", Apply: kept(side(&p.Old), "old")},
		{Name: "new", Once: true, Options: sideFields, Help: "What they are to serve as.", Example: "new program releases/42/yokeroute operator new.conf", Apply: kept(side(&p.New), "new")},
		{Name: "step-new", Once: true, Args: []directive.Field{{Name: "command", Kind: directive.Words, Help: "and its words; {to} is new, {fence} a number that grows"}}, Options: []directive.Field{span("limit", "after which it is ended and has failed; 1min")},
			Help: "A command that makes a gatherer new, run in the plan's folder. Status 0 says that it did what it could; what the gatherer is it tells itself. It may run twice for one gatherer. Without it the built-in runner does it, for processes on this machine.", Example: `step-new ./deploy.sh "{name}" "{to}" limit 30s`, Apply: kept(step(rollout.New), "step-new")},
		{Name: "step-old", Once: true, Args: []directive.Field{{Name: "command", Kind: directive.Words, Help: "and its words"}}, Options: []directive.Field{span("limit", "after which it is ended and has failed; 1min")},
			Help: "The same for making it old again.", Example: `step-old ./deploy.sh "{name}" "{to}" limit 30s`, Apply: kept(step(rollout.Old), "step-old")},
		{Name: "runner", Once: true, Args: []directive.Field{{Name: "how", Kind: directive.Choice, Choices: []string{"restart", "hangup"}}},
			Help: "How the built-in runner changes a gatherer: its files are replaced, then its process is ended by SIGTERM and started anew, or told by SIGHUP. restart unless told.", Example: "runner hangup",
			Apply: kept(func(v *directive.Values) error { p.Hangup = v.Text("how") == "hangup"; return nil }, "runner")},
	}}
}

// Reference is the page about plans.
func Reference() string { return newPlan().table().Reference() }

// Directives are the table of plans, for tests of its examples.
func Directives() *directive.Table { return newPlan().table() }

func newPlan() *Plan {
	return &Plan{Steps: map[rollout.Kind]Command{}, lines: map[string][]*directive.Values{}}
}

// ReadPlan reads and checks a plan. Nothing of the fleet is asked.
func ReadPlan(file string) (*Plan, error) {
	p := newPlan()
	sum, err := p.table().ReadWithChecksum(file)
	if err != nil {
		return nil, err
	}
	p.File, p.Text = file, sum
	return p, p.complete(file)
}

// complete fills in defaults and says what can't be meant, with its place.
func (p *Plan) complete(file string) error {
	var faults directive.ErrorList
	at := func(what string, place int, format string, args ...any) {
		f := &directive.Error{Position: directive.Position{File: file, Line: 1, Column: 1}, Message: fmt.Sprintf(format, args...)}
		if lines := p.lines[what]; place >= 0 && place < len(lines) {
			f.Position = lines[place].Position
		} else if len(lines) > 0 {
			f.Position = lines[0].Position
		}
		faults = append(faults, f)
	}
	if p.Folder == "" {
		at("rollout", -1, "has no line that names it; write rollout NAME in FOLDER")
	}
	p.Plan = p.Plan.Defaults()
	for _, wrong := range p.Plan.Check() {
		at(wrong.What, wrong.Place, "%s", wrong.Text)
	}
	reports := map[string]string{}
	for i, m := range p.Machines {
		if other := reports[m.Report]; other != "" {
			at("gatherer", i, "gatherer %s tells at %s, as %s does", p.Gatherers[i].Name, m.Report, other)
		}
		reports[m.Report] = p.Gatherers[i].Name
	}
	switch {
	case p.Old == (Side{}) || p.New == (Side{}):
		at("new", -1, "does not tell old from new; write old and new with a program, a version or files")
	case p.Old == p.New:
		at("new", -1, "old and new are the same")
	}
	for field, has := range map[string][2]bool{"program": {p.Old.Program != "", p.New.Program != ""}, "config": {p.Old.Config != "", p.New.Config != ""}, "operator": {p.Old.Operator != "", p.New.Operator != ""}, "version": {p.Old.Version != "", p.New.Version != ""}} {
		if has[0] != has[1] {
			at("new", -1, "a %s stands at one of old and new alone; what is told of one has to be told of the other", field)
		}
	}
	_, commandNew := p.Steps[rollout.New]
	_, commandOld := p.Steps[rollout.Old]
	switch {
	case commandNew != commandOld:
		at(map[bool]string{true: "step-new", false: "step-old"}[commandNew], -1, "step-new and step-old go together: what is made new may have to be made old again")
	case commandNew && len(p.lines["runner"]) > 0:
		at("runner", -1, "stands beside step-new and step-old: steps are made by the one or the other")
	case !commandNew && !p.Hangup && p.Old.Program == "":
		at("runner", -1, "the built-in runner starts programs: old and new want one each, or write step-new and step-old, or runner hangup")
	case !commandNew && p.Hangup && p.Old.Config+p.Old.Operator == "":
		at("runner", -1, "runner hangup changes files: old and new want a config or an operator's file each")
	}
	if !commandNew {
		for i, m := range p.Machines {
			if p.Old.Config != "" && m.Config == "" || !p.Hangup && m.Config == "" {
				at("gatherer", i, "gatherer %s wants config, the file that its process reads, for the built-in runner", p.Gatherers[i].Name)
			}
			if p.Old.Operator != "" && m.Operator == "" {
				at("gatherer", i, "gatherer %s wants operator, the operator's file that its process reads, for the built-in runner", p.Gatherers[i].Name)
			}
		}
	}
	if len(faults) > 0 {
		slices.SortStableFunc(faults, func(a, b *directive.Error) int { return a.Line - b.Line })
		return faults
	}
	return nil
}

// filled puts a gatherer's words in the place of what stands for them.
func (p *Plan) filled(text string, g int) string {
	return strings.NewReplacer("{name}", p.Gatherers[g].Name, "{zone}", p.Gatherers[g].Zone, "{report}", p.Machines[g].Report).Replace(text)
}

// of is a side's files for a gatherer.
func (p *Plan) of(s Side, g int) Side {
	return Side{p.filled(s.Program, g), p.filled(s.Config, g), p.filled(s.Operator, g), s.Version}
}

// marksOf reads the fingerprints of a side's files for a gatherer. An error names the file and the gatherer.
func (p *Plan) marksOf(s Side, g int) (m rollout.Marks, err error) {
	s = p.of(s, g)
	m.Version = s.Version
	for file, to := range map[string]*string{s.Program: &m.Program, s.Config: &m.Config, s.Operator: &m.Operator} {
		if file == "" {
			continue
		}
		if to == &m.Operator { // with all that it includes
			*to, err = operatorSum(file)
		} else {
			*to, err = version.FileChecksum(file)
		}
		if err != nil {
			return m, fmt.Errorf("gatherer %s: %w", p.Gatherers[g].Name, err)
		}
	}
	return m, nil
}

// Describe says in words what a rollout by the plan would do.
func (p *Plan) Describe(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "rollout %s: %d gatherers in %d zones, at most %d out at once and %d in a zone\n", p.Name, len(p.Gatherers), len(p.Zones()), p.MostOut, p.MostOutZone)
	before := 0
	for i, s := range p.Stages {
		in := p.Targets(i)
		names := make([]string, 0, len(in)-before)
		for _, g := range in[before:] {
			names = append(names, p.Gatherers[g].Name)
		}
		if len(names) > 12 {
			names = append(names[:12], fmt.Sprintf("and %d more", len(in)-before-12))
		}
		fmt.Fprintf(&b, "stage %s: %d new, watched for %s: %s\n", s.Name, len(in), directive.FormatDuration(s.Least), strings.Join(names, " "))
		before = len(in)
	}
	fmt.Fprintf(&b, "stopped where the new lose %s more of the value than the old, with a chance of %s for a version that does not\n", directive.FormatShare(p.Harm), directive.FormatShare(p.WrongStop))
	_, err := io.WriteString(w, b.String())
	return err
}
