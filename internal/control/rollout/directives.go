package rollout

import (
	"path/filepath"
	"time"

	"yokeroute/internal/config/directive"
	"yokeroute/internal/millis"
	"yokeroute/logic/rollout"
)

const (
	defaultInterval    = 5 * time.Second
	defaultStepTimeout = time.Minute

	minShare = 0.0001 // minimum of options that are shares
	minHarm  = 0.001  // minimum of the harm directive's argument
)

// Reference returns the operators' reference page on plans.
func Reference() string { return newPlan().directives().Reference() }

// Directives returns the table of a plan's directives, for tests of the examples in it.
func Directives() *directive.Table { return newPlan().directives() }

// directives returns the table from which plans are parsed, checked and documented. Its directives store into p.
func (p *Plan) directives() *directive.Table {
	return &directive.Table{
		Name: "rollout plan",
		Intro: "A plan takes a fleet of gatherers from an old version or old settings to new ones in stages: " +
			"`yokeroute rollout run FILE`. In file names and commands {name} and {zone} stand for those of the gatherer; " +
			"file names are relative to the plan.",
		Directives: []*directive.Directive{
			p.rolloutDirective(), p.gathererDirective(), p.stageDirective(),
			p.outDirective(), p.watchDirective(), p.limitDirective(),
			p.harmDirective(), p.chanceDirective(), p.evidenceDirective(), p.seedDirective(),
			p.oldDirective(), p.newDirective(),
			p.stepNewDirective(), p.stepOldDirective(), p.runnerDirective(),
		},
	}
}

// recordLine returns an apply function that first records the directive's line, so that validate can name its
// position.
func (p *Plan) recordLine(name string, apply func(v *directive.Values) error) func(v *directive.Values) error {
	return func(v *directive.Values) error {
		p.directiveLines[name] = append(p.directiveLines[name], v)
		return apply(v)
	}
}

func durationField(name, help string) directive.Field {
	return directive.Field{Name: name, Kind: directive.Duration, Min: 1, Help: help}
}

func shareField(name, help string) directive.Field {
	return directive.Field{Name: name, Kind: directive.Share, Min: minShare, Help: help}
}

// absolutePath returns the absolute path of a file that is named relative to the plan. The path has to be absolute
// since processes are identified by it.
func absolutePath(v *directive.Values, field string) string {
	name := v.RelativePath(field)
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	if path, err := filepath.Abs(name); err == nil {
		return path
	}
	return name
}

// durationOr returns the duration of a field, or defaultValue, which may be 0, if the field is not set.
func durationOr(v *directive.Values, field string, defaultValue time.Duration) time.Duration {
	return millis.Duration(v.Number(field, millis.Of(defaultValue)))
}

func (p *Plan) rolloutDirective() *directive.Directive {
	return &directive.Directive{
		Name: "rollout", Once: true,
		Args: []directive.Field{{Name: "name", Kind: directive.Name}},
		Options: []directive.Field{
			{Name: "in", Kind: directive.Text, Required: true, Help: "folder of the journal, one for each rollout"},
			{Name: "every", Kind: directive.Duration, Min: 50, Max: 600_000, Help: "interval between observations; 5s"},
		},
		Help:    "Names the rollout.",
		Example: "rollout release-42 in rollout-42 every 5s",
		Apply: func(v *directive.Values) error {
			p.Name = v.Text("name")
			p.Folder = absolutePath(v, "in")
			p.Interval = durationOr(v, "every", defaultInterval)
			return nil
		},
	}
}

func (p *Plan) gathererDirective() *directive.Directive {
	return &directive.Directive{
		Name: "gatherer",
		Args: []directive.Field{{Name: "name", Kind: directive.Name, Help: "as in the gatherer's reports"}},
		Options: []directive.Field{
			{Name: "zone", Kind: directive.Name, Help: "default: none"},
			{Name: "report", Kind: directive.Address, Required: true, Help: "address of its reports"},
			{Name: "config", Kind: directive.Text, Help: "configuration file of its process, for the built-in runner"},
			{Name: "operator", Kind: directive.Text, Help: "operator's file of its process, for the built-in runner"},
		},
		Help:    "A gatherer. The plan names the whole fleet.",
		Example: "gatherer g1 zone north report 127.0.0.1:8101 config run/g1.json operator run/g1.conf",
		Apply: p.recordLine("gatherer", func(v *directive.Values) error {
			p.Gatherers = append(p.Gatherers, rollout.Gatherer{Name: v.Text("name"), Zone: v.Text("zone")})
			p.Processes = append(p.Processes, GathererProcess{
				ReportAddress: v.Text("report"),
				ConfigFile:    absolutePath(v, "config"),
				OperatorFile:  absolutePath(v, "operator"),
			})
			return nil
		}),
	}
}

func (p *Plan) stageDirective() *directive.Directive {
	return &directive.Directive{
		Name: "stage",
		Args: []directive.Field{{Name: "name", Kind: directive.Name}},
		Options: []directive.Field{
			{Name: "count", Kind: directive.Count, Min: 1, Help: "number of gatherers that run the new version at its end"},
			shareField("share", "of the gatherers"),
			{Name: "zone", Kind: directive.Name, Help: "all gatherers of the zone, and those of earlier stages"},
			durationField("least", "time for which it is observed once all of its gatherers serve as new; 60s"),
		},
		Help:    "A stage, defined by one of count, share and zone. Each includes the earlier ones.",
		Example: "stage few share 10% least 2min",
		Apply: p.recordLine("stage", func(v *directive.Values) error {
			p.Stages = append(p.Stages, rollout.Stage{
				Name:           v.Text("name"),
				Count:          int(v.Number("count", 0)),
				Share:          v.Number("share", 0),
				Zone:           v.Text("zone"),
				MinObservation: v.Number("least", 0),
			})
			return nil
		}),
	}
}

func (p *Plan) outDirective() *directive.Directive {
	return &directive.Directive{
		Name: "out", Once: true,
		Args:    []directive.Field{{Name: "most", Kind: directive.Count, Min: 1, Help: "limit for the fleet"}},
		Options: []directive.Field{{Name: "zone", Kind: directive.Count, Min: 1, Help: "limit for a zone; default: as for the fleet"}},
		Help: "How many gatherers may be unavailable at once, including those that failed by themselves or " +
			"can't be reached. Default: one.",
		Example: "out 2 zone 1",
		Apply: p.recordLine("out", func(v *directive.Values) error {
			p.MaxUnavailable = int(v.Number("most", 0))
			p.MaxUnavailablePerZone = int(v.Number("zone", 0))
			return nil
		}),
	}
}

func (p *Plan) watchDirective() *directive.Directive {
	return &directive.Directive{
		Name: "watch", Once: true,
		Options: []directive.Field{
			durationField("baseline", "observation before the first change; 30s"),
			durationField("fresh", "warm-up after a start, during which a gatherer is evaluated apart; 15s"),
			durationField("settle", "time within which a changed gatherer has to serve as the version it was changed to; 30s"),
		},
		Help:    "How gatherers are observed.",
		Example: "watch baseline 1min fresh 15s settle 30s",
		Apply: func(v *directive.Values) error {
			p.BaselineTime = v.Number("baseline", 0)
			p.WarmUp = v.Number("fresh", 0)
			p.StepTimeout = v.Number("settle", 0)
			return nil
		},
	}
}

func (p *Plan) limitDirective() *directive.Directive {
	return &directive.Directive{
		Name: "limit", Once: true,
		Args: []directive.Field{{Name: "stage", Kind: directive.Duration, Min: 1, Help: "longest duration of a stage"}},
		Options: []directive.Field{
			{Name: "then", Kind: directive.Choice, Choices: []string{"back", "stop"}, Help: "default: back"},
			durationField("rough", "time for which the old gatherers may perform worse during a stage "+
				"before the new version is blamed; 2min"),
		},
		Help:    "Time limits. Default: 30min.",
		Example: "limit 30min then back rough 2min",
		Apply: p.recordLine("limit", func(v *directive.Values) error {
			p.StageLimit = v.Number("stage", 0)
			p.MaxDisturbance = v.Number("rough", 0)
			if v.Text("then") == "stop" {
				p.OnStageLimit = rollout.Stop
			}
			return nil
		}),
	}
}

func (p *Plan) harmDirective() *directive.Directive {
	return &directive.Directive{
		Name: "harm", Once: true,
		Args: []directive.Field{{
			Name: "value", Kind: directive.Share, Min: minHarm,
			Help: "share of the value that queries could earn, lost in addition to the old gatherers' loss",
		}},
		Options: []directive.Field{
			shareField("fresh", "the same for gatherers that warm up; 30%"),
			shareField("cost", "attempts, connections or memory beyond the old gatherers'; 25%"),
		},
		Help:    "Harm that has to be detected; a quarter of it is tolerated. Default: 5%.",
		Example: "harm 5% fresh 30% cost 25%",
		Apply: p.recordLine("harm", func(v *directive.Values) error {
			p.Harm = v.Number("value", 0)
			p.WarmUpHarm = v.Number("fresh", 0)
			p.ExtraCost = v.Number("cost", 0)
			return nil
		}),
	}
}

func (p *Plan) chanceDirective() *directive.Directive {
	return &directive.Directive{
		Name: "chance", Once: true,
		Options: []directive.Field{
			shareField("stop", "of stopping the rollout of a version that is as good as the old; 1%"),
			shareField("pass", "of passing a stage with a version that causes the harm; 5%"),
		},
		Help:    "Probabilities of wrong decisions.",
		Example: "chance stop 1% pass 5%",
		Apply: func(v *directive.Values) error {
			p.FalseStopRate = v.Number("stop", 0)
			p.FalsePassRate = v.Number("pass", 0)
			return nil
		},
	}
}

func (p *Plan) evidenceDirective() *directive.Directive {
	return &directive.Directive{
		Name: "evidence", Once: true,
		Args: []directive.Field{{
			Name: "lookups", Kind: directive.Count, Min: 1, Help: "number of queries of each class at new gatherers, in a stage",
		}},
		Options: []directive.Field{
			shareField("judged", "a class with at least this share of the queries is evaluated separately; 2%"),
			{Name: "tries", Kind: directive.Count, Min: 1, Max: 100, Help: "attempts to change a gatherer; 2"},
		},
		Help:    "Minimum evidence for a stage to pass. Default: 100.",
		Example: "evidence 200 judged 2% tries 2",
		Apply: func(v *directive.Values) error {
			p.MinQueries = v.Number("lookups", 0)
			p.MinClassShare = v.Number("judged", 0)
			p.MaxAttempts = int(v.Number("tries", 0))
			return nil
		},
	}
}

func (p *Plan) seedDirective() *directive.Directive {
	const maxSeed = 1 << 53 // numbers are parsed as float64, which is exact up to here
	return &directive.Directive{
		Name: "seed", Once: true,
		Args:    []directive.Field{{Name: "seed", Kind: directive.Count, Max: maxSeed}},
		Help:    "Seed of the order in which gatherers are changed. Default: 0.",
		Example: "seed 7",
		Apply: func(v *directive.Values) error {
			p.Seed = uint64(v.Number("seed", 0))
			return nil
		},
	}
}

var releaseFields = []directive.Field{
	{Name: "program", Kind: directive.Text, Help: "file of the program"},
	{Name: "config", Kind: directive.Text, Help: "file of the platform's configuration"},
	{Name: "operator", Kind: directive.Text, Help: "operator's file"},
	{Name: "version", Kind: directive.Text, Help: "as printed by `yokeroute version`"},
}

// applyRelease returns the apply function of the directives old and new, which stores the release.
func applyRelease(release *Release) func(v *directive.Values) error {
	return func(v *directive.Values) error {
		*release = Release{
			Program:  absolutePath(v, "program"),
			Config:   absolutePath(v, "config"),
			Operator: absolutePath(v, "operator"),
			Version:  v.Text("version"),
		}
		if *release == (Release{}) {
			return v.Errorf("program",
				"lacks a field by which its gatherers are classified; give program, version, config or operator")
		}
		return nil
	}
}

func (p *Plan) oldDirective() *directive.Directive {
	return &directive.Directive{
		Name: "old", Once: true, Options: releaseFields,
		Help:    "What gatherers run before the rollout. They are classified by the fields given here.",
		Example: "old program releases/41/yokeroute",
		Apply:   p.recordLine("old", applyRelease(&p.Old)),
	}
}

func (p *Plan) newDirective() *directive.Directive {
	return &directive.Directive{
		Name: "new", Once: true, Options: releaseFields,
		Help:    "What gatherers run after the rollout.",
		Example: "new program releases/42/yokeroute operator new.conf",
		Apply:   p.recordLine("new", applyRelease(&p.New)),
	}
}

// applyStepCommand returns the apply function of step-new or step-old, which stores the command.
func (p *Plan) applyStepCommand(variant rollout.Variant) func(v *directive.Values) error {
	return func(v *directive.Values) error {
		p.Commands[variant] = StepCommand{Args: v.List("command"), Timeout: durationOr(v, "limit", defaultStepTimeout)}
		return nil
	}
}

var stepTimeoutField = durationField("limit", "time after which it is killed and counts as failed; 1min")

func (p *Plan) stepNewDirective() *directive.Directive {
	return &directive.Directive{
		Name: "step-new", Once: true,
		Args: []directive.Field{{
			Name: "command", Kind: directive.Words, Help: "with its arguments; {to} is new, {fence} rises with each controller",
		}},
		Options: []directive.Field{stepTimeoutField},
		Help: "Command that makes a gatherer new, run in the plan's folder. Exit status 0 means that the command " +
			"succeeded; the version that the gatherer runs is taken from its own report. It may run twice for " +
			"one gatherer. Default: the built-in runner, for processes on this machine.",
		Example: `step-new ./deploy.sh "{name}" "{to}" limit 30s`,
		Apply:   p.recordLine("step-new", p.applyStepCommand(rollout.New)),
	}
}

func (p *Plan) stepOldDirective() *directive.Directive {
	return &directive.Directive{
		Name: "step-old", Once: true,
		Args:    []directive.Field{{Name: "command", Kind: directive.Words, Help: "with its arguments"}},
		Options: []directive.Field{stepTimeoutField},
		Help:    "Command that makes a gatherer old again.",
		Example: `step-old ./deploy.sh "{name}" "{to}" limit 30s`,
		Apply:   p.recordLine("step-old", p.applyStepCommand(rollout.Old)),
	}
}

func (p *Plan) runnerDirective() *directive.Directive {
	return &directive.Directive{
		Name: "runner", Once: true,
		Args: []directive.Field{{Name: "how", Kind: directive.Choice, Choices: []string{"restart", "hangup"}}},
		Help: "How the built-in runner changes a gatherer: it replaces the files, then restarts the process by " +
			"SIGTERM, or sends SIGHUP. Default: restart.",
		Example: "runner hangup",
		Apply: p.recordLine("runner", func(v *directive.Values) error {
			p.ReloadOnly = v.Text("how") == "hangup"
			return nil
		}),
	}
}
