package study

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"yokeroute/internal/pcg"
	"yokeroute/internal/testbed/emulator"
)

// PhaseSearch is a search for the day on which lookups that may go in two phases are served worse than in one.
type PhaseSearch struct {
	Terms
	Cases int
	Seeds int
	Seed  uint64
}

// PhaseCase is a day drawn, and how the two ways differ on it in the share of lookups satisfied in time.
type PhaseCase struct {
	Words    string  `json:"case"`
	One, Two float64 // share in time
	Firsts   float64 // first calls a lookup
	Pair
}

// draw draws a day: load, what a first pass costs, how much is empty, how often a summary errs, parts, slow server.
func (s *PhaseSearch) draw(n int) (words, text string) {
	c := pcg.New(s.Seed*1_000_003 + uint64(n))
	between := func(low, high float64) float64 { return low + (high-low)*c.Float64() }
	load, brief, prune := between(0.2, 1.1), between(0.02, 0.6), c.Float64()
	wrong := []float64{0, 0.1, 0.9}[c.Uint32()%3]
	parts, need := 2+int(c.Uint32()%11), 1.0
	if c.Uint32()%2 == 0 {
		need = 0.75
	}
	const sets, servers, cores, work = 4, 12, 4, 20.0
	rate := load * servers * cores / work * 1000 / math.Ceil(need*float64(parts))
	text = fmt.Sprintf("time length 12s warm-up 4s\nkind m cores %d queue 400\nlayout sets %d shards 24\nservers %d kind m\ngatherers 2\n"+
		"index search parts %d need %.0f%% work %.0fms spread 0.5 no-hint soft 400ms hard 2s prune %.1f%% brief %.1f%% false %.0f%%\nclients rate %.1f/s retries 0\n",
		cores, sets, servers, parts, 100*need, work, 100*prune, 100*brief, 100*wrong, rate)
	words = fmt.Sprintf("load %.2f, %.0f%% empty, a first pass %.2f of the work, %.0f%% of the empty not told, %d parts, %.0f%% needed", load, 100*prune, brief, 100*wrong, parts, 100*need)
	if c.Uint32()%2 == 0 {
		text += "trouble slow at 0s for 40s servers 1 times 5\n"
		words += ", one server five times slower"
	}
	return words, text
}

// Search plays all cases both ways over the same seeds and gives them, the worst for two phases first.
func (s *PhaseSearch) Search(ctx context.Context) ([]PhaseCase, error) {
	one, err := emulator.VariantOf("one-phase")
	if err != nil {
		return nil, err
	}
	var jobs []Job
	var cases []PhaseCase
	for n := range s.Cases {
		words, text := s.draw(n)
		cases = append(cases, PhaseCase{Words: words})
		for _, v := range []emulator.Variant{one, emulator.Ours} {
			for seed := range s.Seeds {
				jobs = append(jobs, Job{Scenario: fmt.Sprint("case ", n), Text: text, Variant: v, Seed: uint64(seed + 1)})
			}
		}
	}
	rows, err := Play(ctx, jobs, s.Terms)
	if err != nil {
		return nil, err
	}
	for n := range cases {
		mine := rows[2*n*s.Seeds : 2*(n+1)*s.Seeds]
		first, second := mine[:s.Seeds], mine[s.Seeds:]
		if cases[n].Pair, err = differ("in-aim", first, second); err != nil {
			return nil, err
		}
		for i := range s.Seeds {
			cases[n].One += first[i].Result.InAim / float64(s.Seeds)
			cases[n].Two += second[i].Result.InAim / float64(s.Seeds)
			cases[n].Firsts += second[i].Result.Causes["first pass"] / float64(s.Seeds)
			if r := second[i].Result.Rules; !r.Passed() {
				return nil, fmt.Errorf("%s, seed %d: %v %s", cases[n].Words, second[i].Seed, r.Counts, r.Incomplete)
			}
		}
	}
	slices.SortStableFunc(cases, func(a, b PhaseCase) int { return cmp.Compare(a.Mean, b.Mean) })
	return cases, nil
}

// WritePhases writes the worst cases, the best one and how many were told apart.
func WritePhases(w io.Writer, cases []PhaseCase, worst int) error {
	sum, better, worse := 0.0, 0, 0
	for _, c := range cases {
		sum += c.Mean
		switch {
		case c.Clear() && c.Mean > 0:
			better++
		case c.Clear():
			worse++
		}
	}
	fmt.Fprintf(w, "two phases over one, share of lookups in time, %d cases of %d seeds: mean %+.4f; %d clearly better, %d clearly worse\n\n", len(cases), cases[0].Days, sum/float64(len(cases)), better, worse)
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "difference\t95%\tone\ttwo\tfirst calls a lookup\tcase")
	line := func(c PhaseCase) {
		fmt.Fprintf(tab, "%+.3f\t%+.3f to %+.3f\t%.3f\t%.3f\t%.2f\t%s\n", c.Mean, c.Low, c.High, c.One, c.Two, c.Firsts, c.Words)
	}
	for _, c := range cases[:min(worst, len(cases))] {
		line(c)
	}
	if len(cases) > worst {
		fmt.Fprintln(tab, "the best:\t\t\t\t\t")
		line(cases[len(cases)-1])
	}
	return tab.Flush()
}
