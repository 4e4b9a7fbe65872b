package processtest

import (
	"cmp"
	"fmt"
	"math"
	"path"
	"slices"
	"strings"

	"yokeroute/internal/config/directive"
	"yokeroute/internal/pcg"
	"yokeroute/internal/suggest"
	"yokeroute/internal/testbed/emulator"
)

// Scenario is a day of real processes: a fleet as the emulator's scenario files tell it, and faults.
type Scenario struct {
	*emulator.Scenario
	Text   string // as it was read, with what was drawn in the place of what draws
	Faults []Fault
	draws  []draw
}

// Fault is something that is done to processes or links. Times are milliseconds.
type Fault struct {
	Kind    string
	On      []string // names of processes, or FROM:TO of links; * stands for any letters
	At, For float64  // For is 0 for good
	Times   float64
	Share   float64
	Delay   float64
	Rate    float64 // bytes a second
	State   string  // kept, stale, torn or gone, of a process that starts anew
	line    *directive.Values
}

// draw is faults that the seed draws.
type draw struct {
	count    int
	kinds    []string
	from, to float64
	least    float64
	most     float64
}

// faultKind is a kind of faults, what it strikes and what it takes.
type faultKind struct {
	name  string
	on    string // gatherers, servers, links or discovery
	takes string // options, parted by blanks; each takes at and for
	help  string
}

// faultKinds are all kinds; what they do is in timeline.go, by their names.
var faultKinds = []faultKind{
	{"kill", "gatherers", "state", "SIGKILL; started again when it is over, with its state folder kept, as it was at the process' own start (stale), with its newest file torn, or gone"},
	{"stop", "gatherers", "", "SIGSTOP, and SIGCONT when it is over"},
	{"term", "gatherers", "state", "SIGTERM, as in a planned restart; started again when it is over and the process has ended"},
	{"restart", "gatherers", "state", "SIGTERM, and SIGKILL at the earliest that the platform's pages allow; started again when it is over and the process has ended"},
	{"hangup", "gatherers", "", "its files are written anew, and SIGHUP; one that is not ready yet gets none"},
	{"refuse-writes", "gatherers", "", "no file of the process may grow any more: its writes fail"},
	{"port-taken", "gatherers", "", "SIGKILL, and something else listens on its port when it is started again, until it is over"},
	{"cut", "links", "", "connections are reset and new ones refused"},
	{"reset", "links", "", "connections are reset, once"},
	{"silent", "links", "", "nothing passes either way; what was on its way waits"},
	{"silent-there", "links", "", "nothing passes from the side that connects"},
	{"silent-back", "links", "", "nothing passes to the side that connects"},
	{"mute", "links", "", "new connections are taken and never answered"},
	{"delay", "links", "delay", "each way takes so much longer"},
	{"jitter", "links", "delay", "each way takes longer by up to so much"},
	{"throttle", "links", "rate", "no more than so many bytes a second each way"},
	{"garble", "links", "", "one byte of the next piece to the side that connects is changed"},
	{"server-kill", "servers", "", "the stand-in ends, its connections are reset; back, as a process that has just started, when it is over; discovery tells both after a while"},
	{"hang", "servers", "", "takes parts and answers none"},
	{"slow", "servers", "times", "work takes so many times as long"},
	{"fail", "servers", "share", "such a share of parts fails at once"},
	{"drain", "servers", "", "discovery tells that it drains, and when it is over that it serves"},
	{"discovery-silent", "discovery", "", "takes connections and answers nothing"},
}

func faultKindOf(name string) *faultKind {
	for i := range faultKinds {
		if faultKinds[i].name == name {
			return &faultKinds[i]
		}
	}
	return nil
}

func faultNames() (names []string) {
	for _, k := range faultKinds {
		names = append(names, k.name)
	}
	return names
}

// further are the directives beside the emulator's.
func (s *Scenario) further() []*directive.Directive {
	var help strings.Builder
	help.WriteString("Something is done to processes or links, in a fleet of processes (`yokeroute-testbed fleet`); several may overlap. Gatherers are g1, g2 and so on, servers s1 and so on, the others front and discovery; a link is FROM:TO, such as front:g1 or g1:s2. The kinds, with what each strikes and takes:\n")
	for _, k := range faultKinds {
		help.WriteString("\n- `" + k.name + "` (" + k.on + cmp.Or(", "+strings.Join(strings.Fields(k.takes), ", "), "") + "): " + k.help + ".")
	}
	return []*directive.Directive{
		{Name: "fault", Args: []directive.Field{{Name: "kind", Kind: directive.Choice, Choices: faultNames()}},
			Options: []directive.Field{{Name: "on", Kind: directive.Names, Required: true, Help: "names; * stands for any letters"}, {Name: "at", Kind: directive.Duration, Required: true, Help: "from the day's beginning"},
				{Name: "for", Kind: directive.Duration, Min: 1, Help: "how long; for good unless told"}, {Name: "times", Kind: directive.Number, Min: 0.01, Max: 1000, Help: "4"}, {Name: "share", Kind: directive.Share, Help: "50%"},
				{Name: "delay", Kind: directive.Duration, Help: "50ms"}, {Name: "rate", Kind: directive.Size, Min: 1, Help: "a second; 16KB"}, {Name: "state", Kind: directive.Choice, Choices: []string{"kept", "stale", "torn", "gone"}, Help: "kept"}},
			Help: help.String(), Example: "fault kill on g1 g2 at 3s for 1s state stale",
			Apply: func(v *directive.Values) error {
				f := Fault{Kind: v.Text("kind"), On: v.List("on"), At: v.Number("at", 0), For: v.Number("for", 0), Times: v.Number("times", 4), Share: v.Number("share", 0.5), Delay: v.Number("delay", 50),
					Rate: v.Number("rate", 16<<10), State: cmp.Or(v.Text("state"), "kept"), line: v}
				for _, option := range []string{"times", "share", "delay", "rate", "state"} {
					if v.Has(option) && !slices.Contains(strings.Fields(faultKindOf(f.Kind).takes), option) {
						return v.Errorf(option, "is nothing that the fault %s takes%s", f.Kind, may(faultKindOf(f.Kind).takes))
					}
				}
				s.Faults = append(s.Faults, f)
				return nil
			}},
		{Name: "faults", Args: []directive.Field{{Name: "count", Kind: directive.Count, Min: 1, Max: 10_000}}, Options: []directive.Field{{Name: "of", Kind: directive.Names, Help: "kinds; all of them unless told"},
			{Name: "from", Kind: directive.Duration, Help: "the day's beginning unless told"}, {Name: "to", Kind: directive.Duration, Help: "its end unless told"}, {Name: "least", Kind: directive.Duration, Min: 1, Help: "how long; 200ms"}, {Name: "most", Kind: directive.Duration, Min: 1, Help: "how long; 2s"}},
			Help: "So many faults, drawn by the seed. Results hold them as `fault` lines.", Example: "faults 12 of kill stop cut silent from 2s to 8s",
			Apply: func(v *directive.Values) error {
				for i, kind := range v.List("of") {
					if faultKindOf(kind) == nil {
						f := v.Errorf("of", "is no kind of faults%s", suggest.Hint(kind, faultNames()))
						f.Position, f.Token = v.Pos("of", i), kind
						return f
					}
				}
				d := draw{int(v.Number("count", 0)), v.List("of"), v.Number("from", 0), v.Number("to", math.Inf(1)), v.Number("least", 200), v.Number("most", 2000)}
				if d.to <= d.from {
					return v.Errorf("to", "is not after the beginning")
				}
				if d.most < d.least {
					return v.Errorf("most", "is less than the least")
				}
				s.draws = append(s.draws, d)
				return nil
			}},
	}
}

func may(takes string) string {
	if takes == "" {
		return "; it takes nothing more"
	}
	return "; it takes " + takes
}

// Read reads a scenario file and draws its faults by a seed; 0 for its own.
func Read(file string, seed uint64) (*Scenario, error) {
	s := &Scenario{}
	var err error
	if s.Scenario, err = emulator.ReadWith(file, func(*emulator.Scenario) []*directive.Directive { return s.further() }); err != nil {
		return nil, err
	}
	text, err := emulator.Text(file)
	if err != nil {
		return nil, err
	}
	return s, s.complete(file, text, seed)
}

// Parse reads the text of a scenario.
func Parse(name, text string, seed uint64) (*Scenario, error) {
	s := &Scenario{}
	var err error
	if s.Scenario, err = emulator.ParseWith(name, text, func(*emulator.Scenario) []*directive.Directive { return s.further() }); err != nil {
		return nil, err
	}
	return s, s.complete(name, text, seed)
}

// mostGatherers is what the addresses of one fleet leave room for.
const mostGatherers = 200

// complete checks what only a fleet of processes asks for, and draws.
func (s *Scenario) complete(file, text string, seed uint64) error {
	wrong := func(format string, args ...any) error {
		return directive.ErrorList{{Position: directive.Position{File: file, Line: 1, Column: 1}, Message: fmt.Sprintf(format, args...)}}
	}
	switch {
	case len(s.Troubles) > 0:
		return wrong("has troubles, which are for virtual time; write faults for processes")
	case s.Gatherers.Count > mostGatherers:
		return wrong("has %d gatherers; a fleet of processes has %d at most", s.Gatherers.Count, mostGatherers)
	case s.Owned.Segments > 0 || s.Planned:
		return wrong("has segments or weights, which a fleet of processes is not given")
	}
	for i := range s.Faults {
		if err := s.meets(&s.Faults[i]); err != nil {
			return directive.ErrorList{err}
		}
	}
	if seed > 0 {
		s.Seed = seed
	}
	s.Text = text
	if len(s.draws) == 0 {
		return nil
	}
	var kept strings.Builder
	for line := range strings.Lines(text) {
		if words := strings.Fields(line); len(words) > 0 && words[0] == "faults" {
			continue
		}
		kept.WriteString(line)
	}
	kept.WriteString("\n")
	chance := pcg.New(s.Seed*0x9e37 + 11)
	for _, d := range s.draws {
		for range d.count {
			f := s.drawn(d, chance)
			s.Faults = append(s.Faults, f)
			kept.WriteString(f.Line() + "\n")
		}
	}
	s.Text = kept.String()
	return nil
}

// drawn is one fault by chance.
func (s *Scenario) drawn(d draw, chance *pcg.Source) Fault {
	kinds := d.kinds
	if len(kinds) == 0 {
		kinds = faultNames()
	}
	f := Fault{Kind: kinds[chance.Uint32()%uint32(len(kinds))], Times: 2 + math.Round(6*chance.Float64()), Share: math.Round(100*(0.2+0.6*chance.Float64())) / 100,
		Delay: math.Round(10 + 150*chance.Float64()), Rate: math.Round(4096 * (1 + 15*chance.Float64())), State: []string{"kept", "stale", "torn", "gone"}[chance.Uint32()%4]}
	f.At = math.Round(d.from + chance.Float64()*(min(d.to, s.Length)-d.from))
	f.For = math.Round(d.least + chance.Float64()*(d.most-d.least))
	names := s.names(faultKindOf(f.Kind).on)
	f.On = []string{names[chance.Uint32()%uint32(len(names))]}
	return f
}

// names are those of all that a kind of faults may strike.
func (s *Scenario) names(on string) (names []string) {
	number := func(letter string, n int) {
		for i := range n {
			names = append(names, fmt.Sprint(letter, i+1))
		}
	}
	switch on {
	case "gatherers":
		number("g", s.Gatherers.Count)
	case "servers":
		number("s", len(s.Machines()))
	case "discovery":
		names = append(names, "discovery")
	case "links":
		for g := range s.Gatherers.Count {
			gatherer := fmt.Sprint("g", g+1)
			names = append(names, "front:"+gatherer, gatherer+":discovery")
			for i := range s.Machines() {
				names = append(names, fmt.Sprint(gatherer, ":s", i+1))
			}
		}
	}
	return names
}

// meets says what a fault names that there is not.
func (s *Scenario) meets(f *Fault) *directive.Error {
	all := s.names(faultKindOf(f.Kind).on)
	for i, pattern := range f.On {
		if len(matching(pattern, all)) == 0 {
			wrong := f.line.Errorf("on", "is none of the %s that the fault %s strikes%s", faultKindOf(f.Kind).on, f.Kind, suggest.Hint(pattern, all))
			wrong.Position, wrong.Token = f.line.Pos("on", i), pattern
			return wrong
		}
	}
	if f.At > s.Length {
		return f.line.Errorf("at", "is after the day's length of %s", directive.FormatDuration(s.Length))
	}
	return nil
}

// matching are the names that a pattern stands for.
func matching(pattern string, names []string) (found []string) {
	for _, name := range names {
		if ok, err := path.Match(pattern, name); ok && err == nil {
			found = append(found, name)
		}
	}
	return found
}

// Line is the fault as it stands in a scenario file.
func (f *Fault) Line() string {
	words := []string{"fault", f.Kind, "on"}
	for _, name := range f.On {
		words = append(words, directive.Quote(name))
	}
	words = append(words, "at", directive.FormatDuration(f.At))
	if f.For > 0 {
		words = append(words, "for", directive.FormatDuration(f.For))
	}
	for _, option := range strings.Fields(faultKindOf(f.Kind).takes) {
		value := map[string]string{"times": fmt.Sprint(f.Times), "share": directive.FormatShare(f.Share), "delay": directive.FormatDuration(f.Delay), "rate": directive.FormatSize(f.Rate), "state": f.State}[option]
		words = append(words, option, value)
	}
	return strings.Join(words, " ")
}

// Reference is the page about scenario files of fleets: the directives beside the emulator's.
func Reference() string {
	t := &directive.Table{Name: "fleet scenario file", Intro: "A day for a fleet of processes: `yokeroute-testbed fleet FILE`. All that stands in a [scenario file](reference-scenario.md) stands here too, but for troubles, segments and weights; beside it:", Directives: (&Scenario{}).further()}
	return t.Reference()
}
