package study

import (
	"context"
	"fmt"
	"math"
	"strings"

	"yokeroute/internal/config/directive"
	"yokeroute/internal/pcg"
	"yokeroute/internal/testbed/emulator"
)

// HuntTerms are those of a search for the day on which decisions do worst.
type HuntTerms struct {
	Terms
	Name    string
	Text    string // the scenario to begin from; its own troubles stay
	Seed    uint64
	Days    int              // drawn
	Most    int              // troubles that overlap at most
	Only    []string         // kinds to draw from, empty for all
	Rules   bool             // look for broken rules alone
	Variant emulator.Variant // whose decisions are hunted
	Shrinks int              // days played to make the case small
	Seen    func(format string, args ...any)
}

// Found is the worst day that was found.
type Found struct {
	Text     string // a scenario file to keep
	Seed     uint64
	Troubles []string
	Rule     int     // broken, 0 for none
	Gap      float64 // between the clairvoyant's gain and that of the variant
	Gain     float64
	Bound    float64
	Played   int
	Drawn    []float64 // gaps of all days drawn, the worst first
}

// huntDay is one day of the search.
type huntDay struct {
	seed     uint64
	troubles []string
}

func (h *HuntTerms) text(d huntDay) string {
	return strings.TrimRight(h.Text, "\n") + "\n" + strings.Join(d.troubles, "\n") + "\n"
}

// draw draws a day: how many troubles, of which kinds, when and how hard.
func (h *HuntTerms) draw(sc *emulator.Scenario, n int) huntDay {
	c := pcg.New(h.Seed*1_000_003 + uint64(n))
	d := huntDay{seed: uint64(c.Uint32())}
	kinds := h.Only
	if len(kinds) == 0 {
		kinds = emulator.Kinds()
	}
	for range 1 + int(c.Uint32())%max(h.Most, 1) {
		t := emulator.Trouble{Kind: kinds[int(c.Uint32())%len(kinds)], Servers: round2(0.1 + 0.5*c.Float64()), Gatherers: round2(0.2 + 0.8*c.Float64()), Share: round2(0.1 + 0.9*c.Float64()),
			Times: math.Round(2 + 6*c.Float64()), Waves: 2 + int(c.Uint32()%5)}
		t.At = math.Round((sc.Warmup+(sc.Length-sc.Warmup)*0.6*c.Float64())/100) * 100
		t.For = math.Round((1000+(sc.Length-sc.Warmup)*0.35*c.Float64())/100) * 100
		if t.Kind == "burst" {
			t.Times = round2(1.2 + c.Float64())
		}
		hall := sc.Halls[int(c.Uint32())%len(sc.Halls)]
		switch t.Kind {
		case "cut", "loss":
			to := sc.Halls[int(c.Uint32())%len(sc.Halls)]
			if to == hall {
				continue
			}
			t.Hall, t.To = hall, to
		case "hall-lost":
			if len(sc.Halls) < 2 {
				continue
			}
			t.Hall = hall
		case "index-fails":
			t.Index = sc.Indexes[int(c.Uint32())%len(sc.Indexes)].Name
		default:
			if emulator.Takes(t.Kind, "hall") && len(sc.Halls) > 1 && c.Float64() < 0.3 {
				t.Hall = hall
			}
		}
		d.troubles = append(d.troubles, t.Line())
	}
	return d
}

func round2(f float64) float64 { return math.Round(f*100) / 100 }

// Hunt draws days, plays each by the variant and by the clairvoyant, and makes the worst one small: the fewest
// troubles, the shortest, on the shortest day that still shows it.
func Hunt(ctx context.Context, h HuntTerms) (*Found, error) {
	sc, err := emulator.Parse(h.Name, h.Text)
	if err != nil {
		return nil, err
	}
	var days []huntDay
	var jobs []Job
	for n := range h.Days {
		d := h.draw(sc, n)
		days = append(days, d)
		jobs = append(jobs, Job{h.Name, fmt.Sprint("day ", n), h.text(d), h.Variant, d.seed})
		if !h.Rules {
			jobs = append(jobs, Job{h.Name, fmt.Sprint("day ", n), h.text(d), emulator.Clairvoyant, d.seed})
		}
	}
	rows, err := Play(ctx, jobs, h.Terms)
	if err != nil {
		return nil, err
	}
	f := &Found{Played: len(rows)}
	each := len(jobs) / max(h.Days, 1)
	worst, best := -1, Found{}
	for n := range days {
		got := judge(rows[n*each : (n+1)*each])
		f.Drawn = append(f.Drawn, got.Gap)
		if worst < 0 || got.worse(best) {
			worst, best = n, got
		}
	}
	if worst < 0 || h.Rules && best.Rule == 0 {
		return f, nil
	}
	h.Seen("worst of %d days: %s: %s", h.Days, best.words(), strings.Join(days[worst].troubles, "; "))
	d, got, played, err := h.shrink(ctx, days[worst], best)
	if err != nil {
		return nil, err
	}
	got.Drawn, got.Played = f.Drawn, f.Played+played
	got.Seed, got.Troubles, got.Text = d.seed, d.troubles, h.keep(d, got)
	return &got, nil
}

func judge(rows []Row) Found {
	f := Found{Gain: rows[0].Result.Gain}
	for rule := 1; rule <= 6 && f.Rule == 0; rule++ {
		if rows[0].Result.Rules.Counts[rule] > 0 {
			f.Rule = rule
		}
	}
	if len(rows) > 1 {
		f.Bound = max(rows[1].Result.Gain, f.Gain)
		f.Gap = f.Bound - f.Gain
	}
	return f
}

// worse orders days: a broken rule before any gap.
func (f Found) worse(than Found) bool {
	if (f.Rule > 0) != (than.Rule > 0) {
		return f.Rule > 0
	}
	return f.Gap > than.Gap
}

func (f Found) words() string {
	if f.Rule > 0 {
		return fmt.Sprintf("rule %d broken", f.Rule)
	}
	return fmt.Sprintf("gain %.3f, the clairvoyant %.3f", f.Gain, f.Bound)
}

// shrink takes away and softens what is not needed to show the same: the rule broken, or nine tenths of the gap.
func (h *HuntTerms) shrink(ctx context.Context, d huntDay, was Found) (huntDay, Found, int, error) {
	played := 0
	holds := func(f Found) bool {
		if was.Rule > 0 {
			return f.Rule == was.Rule
		}
		return f.Gap >= 0.9*was.Gap
	}
	try := func(next huntDay) (Found, bool, error) {
		jobs := []Job{{h.Name, "", h.text(next), h.Variant, next.seed}}
		if !h.Rules && was.Rule == 0 {
			jobs = append(jobs, Job{h.Name, "", h.text(next), emulator.Clairvoyant, next.seed})
		}
		played += len(jobs)
		rows, err := Play(ctx, jobs, Terms{Workers: h.Workers})
		if err != nil {
			return Found{}, false, err
		}
		f := judge(rows)
		return f, holds(f), nil
	}
	got := was
	for changed := true; changed && played < h.Shrinks; {
		changed = false
		for _, next := range smaller(d) {
			if played >= h.Shrinks {
				break
			}
			f, same, err := try(next)
			if err != nil {
				return d, got, played, err
			}
			if same {
				h.Seen("smaller: %s: %s", f.words(), strings.Join(next.troubles, "; "))
				d, got, changed = next, f, true
				break
			}
		}
	}
	return d, got, played, nil
}

// smaller are the days next to one that are simpler: a trouble less, one for half its time, on half its servers or
// gatherers, half as strong.
func smaller(d huntDay) (days []huntDay) {
	without := func(i int, line ...string) huntDay {
		next := huntDay{seed: d.seed}
		next.troubles = append(append(append(next.troubles, d.troubles[:i]...), line...), d.troubles[i+1:]...)
		return next
	}
	for i := range d.troubles {
		if len(d.troubles) > 1 {
			days = append(days, without(i))
		}
	}
	for i, line := range d.troubles {
		words := strings.Fields(line)
		for j := 2; j+1 < len(words); j += 2 {
			change := func(to string) {
				next := append([]string(nil), words...)
				next[j+1] = to
				days = append(days, without(i, strings.Join(next, " ")))
			}
			var n float64
			switch option, value := words[j], words[j+1]; option {
			case "for":
				if ms := span(value); ms > 1000 {
					change(directive.FormatDuration(max(math.Round(ms/2/100)*100, 1000)))
				}
			case "servers", "gatherers":
				if _, err := fmt.Sscan(value, &n); err == nil && n > 0.1 && n < 1 {
					change(fmt.Sprint(max(round2(n/2), 0.05)))
				}
			case "times":
				if _, err := fmt.Sscan(value, &n); err == nil && n > 2 {
					change(fmt.Sprint(round2(max(n/2, 1.2))))
				}
			}
		}
	}
	return days
}

// span reads a duration of a scenario file; it is 0 where there is none.
func span(word string) (ms float64) {
	var n float64
	var unit string
	if _, err := fmt.Sscanf(word, "%g%s", &n, &unit); err != nil {
		return 0
	}
	return n * map[string]float64{"ms": 1, "s": 1000, "min": 60_000, "h": 3_600_000, "d": 86_400_000}[unit]
}

// keep writes the day as a scenario file, with what it is kept for.
func (h *HuntTerms) keep(d huntDay, f Found) string {
	note := fmt.Sprintf("# Found by yokeroute-testbed hunt --seed %d --days %d, made small: %s.\n", h.Seed, h.Days, f.words())
	return note + strings.TrimRight(h.text(d), "\n") + fmt.Sprintf("\nseed %d\n", d.seed)
}
