package emulator

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"yokeroute/internal/config/directive"
	"yokeroute/internal/pcg"
	"yokeroute/internal/suggest"
)

// Trouble is something that goes wrong for a time. Several may overlap.
type Trouble struct {
	Kind      string
	At, For   float64
	Servers   float64 // share of the servers that it strikes, or their number where it is 1 or more
	Gatherers float64 // the same of gatherers
	Hall, To  string
	Share     float64
	Times     float64
	Index     string
	Waves     int
	line      *directive.Values
}

// end is when it is over.
func (t *Trouble) end() float64 { return t.At + t.For }

// troubleKind is a kind of troubles, with what it takes.
type troubleKind struct {
	name  string
	takes string // options, parted by blanks
	help  string
	start func(w *World, t *Trouble)
}

var troubleKinds []troubleKind

func init() { // in a function, since what they do uses what lists them
	troubleKinds = []troubleKind{
		{"crash", "servers hall", "processes end, their connections are reset; they are back, cold, when it is over", (*World).crash},
		{"vanish", "servers hall", "machines say nothing any more: connections stay open and silent; they are back, cold, when it is over", (*World).vanish},
		{"hang", "servers hall", "processes take calls and answer none", (*World).hang},
		{"slow", "servers hall times", "work takes so many times as long", (*World).slowDown},
		{"slow-then-dead", "servers hall times", "work takes longer and longer, up to so many times; then the process ends, and is back, cold, after as long again", (*World).slowThenDead},
		{"fast-errors", "servers hall share", "such a share of parts fails at once", (*World).fastErrors},
		{"index-fails", "servers hall share index", "such a share of one index's parts fails at once", (*World).fastErrors},
		{"one-sided", "servers gatherers share", "some gatherers lose such a share of their calls to some servers; others see nothing of it", (*World).oneSided},
		{"cut", "hall to", "nothing goes from one hall to the other; the other way is open", (*World).cutOff},
		{"loss", "hall to share", "such a share of messages between two halls has to be sent again", (*World).cutOff},
		{"hall-lost", "hall", "all machines of a hall vanish; they are back, cold, when it is over", (*World).vanish},
		{"release", "servers hall waves", "servers drain, end and start anew, cold, wave after wave", (*World).release},
		{"late-list", "times", "discovery takes so many times as long", (*World).lateList},
		{"wrong-list", "servers hall gatherers", "discovery tells some gatherers that servers drain which do not", (*World).wrongList},
		{"stale-list", "servers hall", "servers end and discovery goes on calling them running until it is over", (*World).staleList},
		{"gatherers-die", "gatherers", "gatherers end, and are back with the list that they last held when it is over", (*World).gatherersDie},
		{"burst", "times", "lookups come so many times as often", (*World).burst},
		{"retry-storm", "share", "such a share of clients comes again at once, ten times, whatever the advice", (*World).retryStorm},
		{"short-patience", "share", "clients give up after such a share of the soft deadline, and come again", (*World).shortPatience},
		{"costly", "share times index", "such a share of lookups, of one index or of all, costs so many times the work", (*World).costly},
		{"hot-keys", "share", "three keys draw such a share of all lookups", (*World).hotKeys},
		{"shared-slow", "times", "all work takes so many times as long", (*World).slowDown},
		{"slow-setup", "servers hall times", "new connections cost so many times as much", (*World).slowSetup},
	}
}

// Kinds are the names of all kinds of troubles.
func Kinds() []string {
	var names []string
	for _, k := range troubleKinds {
		names = append(names, k.name)
	}
	return names
}

func kindOf(name string) *troubleKind {
	for i := range troubleKinds {
		if troubleKinds[i].name == name {
			return &troubleKinds[i]
		}
	}
	return nil
}

// Takes reports whether a kind of troubles takes an option.
func Takes(kind, option string) bool {
	k := kindOf(kind)
	return k != nil && slices.Contains(strings.Fields(k.takes), option)
}

func (s *Scenario) troubleTable(hall func(v *directive.Values, field string) error) *directive.Directive {
	var help strings.Builder
	help.WriteString("Something goes wrong for a time; several may overlap. The kinds, with what each takes:\n")
	for _, k := range troubleKinds {
		help.WriteString("\n- `" + k.name + "` (" + cmp.Or(strings.Join(strings.Fields(k.takes), ", "), "nothing more") + "): " + k.help + ".")
	}
	return &directive.Directive{Name: "trouble", Args: []directive.Field{{Name: "kind", Kind: directive.Choice, Choices: Kinds()}},
		Options: []directive.Field{{Name: "at", Kind: directive.Duration, Required: true, Help: "from the day's beginning"}, {Name: "for", Kind: directive.Duration, Required: true, Min: 1, Help: "how long"},
			{Name: "servers", Kind: directive.Number, Help: "how many: a number from 1 on, or under that a share; a fifth"}, {Name: "gatherers", Kind: directive.Number, Help: "the same of gatherers; a half"}, {Name: "hall", Kind: directive.Name, Help: "only there, or from there"}, {Name: "to", Kind: directive.Name, Help: "that hall"},
			{Name: "share", Kind: directive.Share, Help: "50%"}, {Name: "times", Kind: directive.Number, Min: 0.01, Max: 1000, Help: "4"}, {Name: "index", Kind: directive.Name, Help: "only of it"}, {Name: "waves", Kind: directive.Count, Min: 1, Max: 1000, Help: "4"}},
		Help: help.String(), Example: "trouble slow at 10s for 8s servers 0.2 times 5",
		Apply: func(v *directive.Values) error {
			t := Trouble{Kind: v.Text("kind"), At: v.Number("at", 0), For: v.Number("for", 0), Servers: v.Number("servers", 0.2), Gatherers: v.Number("gatherers", 0.5),
				Hall: v.Text("hall"), To: v.Text("to"), Share: v.Number("share", 0.5), Times: v.Number("times", 4), Index: v.Text("index"), Waves: int(v.Number("waves", 4)), line: v}
			for _, option := range []string{"servers", "gatherers", "hall", "to", "share", "times", "index", "waves"} {
				if v.Has(option) && !Takes(t.Kind, option) {
					return v.Errorf(option, "is nothing that the trouble %s takes; it takes %s", t.Kind, kindOf(t.Kind).takes)
				}
			}
			for _, option := range []string{"hall", "to"} {
				if err := hall(v, option); err != nil {
					return err
				}
			}
			needs := map[string][]string{"cut": {"hall", "to"}, "loss": {"hall", "to"}, "hall-lost": {"hall"}, "index-fails": {"index"}}
			for _, option := range needs[t.Kind] {
				if !v.Has(option) {
					return v.Errorf("kind", "wants %q", option)
				}
			}
			names := []string{}
			for _, ix := range s.Indexes {
				names = append(names, ix.Name)
			}
			if t.Index != "" && !slices.Contains(names, t.Index) {
				return v.Errorf("index", "is no index given above%s", suggest.Hint(t.Index, names))
			}
			s.Troubles = append(s.Troubles, t)
			return nil
		}}
}

// Line is the trouble as it stands in a scenario file.
func (t *Trouble) Line() string {
	words := []string{"trouble", t.Kind, "at", directive.FormatDuration(t.At), "for", directive.FormatDuration(t.For)}
	num := func(option string, value float64) {
		if Takes(t.Kind, option) {
			words = append(words, option, trim(value))
		}
	}
	text := func(option, value string) {
		if Takes(t.Kind, option) && value != "" {
			words = append(words, option, value)
		}
	}
	num("servers", t.Servers)
	num("gatherers", t.Gatherers)
	text("hall", t.Hall)
	text("to", t.To)
	if Takes(t.Kind, "share") {
		words = append(words, "share", directive.FormatShare(t.Share))
	}
	num("times", t.Times)
	text("index", t.Index)
	num("waves", float64(t.Waves))
	return strings.Join(words, " ")
}

// some draws members by a share, or a number from 1 on, of those that fit; at least one where any does.
func some(chance *pcg.Source, n int, of float64, fits func(int) bool) []int {
	var all []int
	for i := range n {
		if fits(i) {
			all = append(all, i)
		}
	}
	for i := len(all) - 1; i > 0; i-- {
		j := int(chance.Uint32() % uint32(i+1))
		all[i], all[j] = all[j], all[i]
	}
	want := int(math.Round(of * float64(n)))
	if of >= 1 {
		want = int(of)
	}
	all = all[:min(max(want, 1), len(all))]
	slices.Sort(all)
	return all
}

func (w *World) struck(t *Trouble) []*server {
	share := t.Servers
	if t.Kind == "hall-lost" || t.Kind == "shared-slow" {
		share = float64(len(w.servers))
	}
	var list []*server
	for _, i := range some(w.stream("trouble "+t.Kind, uint64(t.At)), len(w.servers), share, func(i int) bool { return t.Hall == "" || w.sc.Halls[w.servers[i].hall] == t.Hall }) {
		list = append(list, w.servers[i])
	}
	return list
}

func (w *World) crash(t *Trouble) {
	for _, s := range w.struck(t) {
		w.end(s, false)
		w.at(t.end(), func() { w.start(s) })
	}
}

func (w *World) vanish(t *Trouble) {
	for _, s := range w.struck(t) {
		w.end(s, true)
		w.at(t.end(), func() { w.start(s) })
	}
}

func (w *World) hang(t *Trouble) {
	for _, s := range w.struck(t) {
		s.hung++
		w.at(t.end(), func() { s.hung--; w.next(s) })
	}
}

func (w *World) slowDown(t *Trouble) {
	for _, s := range w.struck(t) {
		s.slow *= t.Times
		w.at(t.end(), func() { s.slow /= t.Times })
	}
}

func (w *World) slowThenDead(t *Trouble) {
	const steps = 10
	for _, s := range w.struck(t) {
		step := math.Pow(t.Times, 1.0/steps)
		for i := range steps {
			w.at(t.At+t.For*float64(i)/steps, func() { s.slow *= step })
		}
		w.at(t.end(), func() { s.slow /= t.Times; w.end(s, false) })
		w.at(t.end()+t.For, func() { w.start(s) })
	}
}

func (w *World) fastErrors(t *Trouble) {
	for _, s := range w.struck(t) {
		f := &failing{share: t.Share, index: t.Index}
		s.failing = append(s.failing, f)
		w.at(t.end(), func() { s.failing = slices.DeleteFunc(s.failing, func(o *failing) bool { return o == f }) })
	}
}

func (w *World) oneSided(t *Trouble) {
	chance := w.stream("one-sided gatherers", uint64(t.At))
	struck := w.struck(t)
	for _, i := range some(chance, len(w.gatherers), t.Gatherers, func(int) bool { return true }) {
		g := w.gatherers[i]
		for _, s := range struck {
			g.lossy[s.number] += t.Share
			w.at(t.end(), func() { g.lossy[s.number] -= t.Share })
		}
	}
}

func (w *World) cutOff(t *Trouble) {
	from, to := slices.Index(w.sc.Halls, t.Hall), slices.Index(w.sc.Halls, t.To)
	c := cut{from: from, to: to, begin: t.At, end: t.end(), share: 1}
	if t.Kind == "loss" {
		c.share = t.Share
		w.cuts = append(w.cuts, cut{from: to, to: from, begin: t.At, end: t.end(), share: t.Share})
	}
	w.cuts = append(w.cuts, c)
}

func (w *World) release(t *Trouble) {
	servers := w.struck(t)
	// Neighbours of a set go in different waves, as a careful release has it.
	slices.SortStableFunc(servers, func(a, b *server) int { return cmp.Compare(a.number/w.sc.Layout.Sets, b.number/w.sc.Layout.Sets) })
	each := t.For / float64(t.Waves)
	for i, s := range servers {
		begin := t.At + each*float64(i*t.Waves/len(servers))
		w.at(begin, func() {
			s.draining = true
			w.tell(s)
		})
		w.at(begin+each*0.6, func() { w.end(s, false) })
		w.at(begin+each*0.8, func() { s.draining = false; w.start(s) })
	}
}

func (w *World) lateList(t *Trouble) {
	w.listLag *= t.Times
	w.at(t.end(), func() { w.listLag /= t.Times })
}

func (w *World) wrongList(t *Trouble) {
	servers := w.struck(t)
	for _, i := range some(w.stream("wrong list", uint64(t.At)), len(w.gatherers), t.Gatherers, func(int) bool { return true }) {
		g := w.gatherers[i]
		for _, s := range servers {
			g.wrong[s.number]++
			w.tellOne(g, s, w.at)
			w.at(t.end(), func() { g.wrong[s.number]--; w.tellOne(g, s, w.at) })
		}
	}
}

func (w *World) staleList(t *Trouble) {
	for _, s := range w.struck(t) {
		s.unlisted++
		w.end(s, false)
		w.at(t.end(), func() { s.unlisted--; w.start(s) })
	}
}

func (w *World) gatherersDie(t *Trouble) {
	chance := w.stream("gatherers die", uint64(t.At))
	for _, i := range some(chance, len(w.gatherers), t.Gatherers, func(int) bool { return true }) {
		g := w.gatherers[i]
		w.kill(g)
		w.at(t.end(), func() { w.revive(g) })
	}
}

// What clients do is drawn ahead of the day, so that it does not hang on decisions: these leave their mark on the
// drawing, by time.
func (w *World) burst(*Trouble)         {}
func (w *World) costly(*Trouble)        {}
func (w *World) hotKeys(*Trouble)       {}
func (w *World) retryStorm(*Trouble)    {}
func (w *World) shortPatience(*Trouble) {}

// during are the troubles of a kind that last at a time.
func (s *Scenario) during(kind string, at float64) *Trouble {
	for i := range s.Troubles {
		if t := &s.Troubles[i]; t.Kind == kind && at >= t.At && at < t.end() {
			return t
		}
	}
	return nil
}

func (w *World) slowSetup(t *Trouble) {
	for _, s := range w.struck(t) {
		s.setup *= t.Times
		w.at(t.end(), func() { s.setup /= t.Times })
	}
}
