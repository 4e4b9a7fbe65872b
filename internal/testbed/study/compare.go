package study

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"yokeroute/internal/testbed/emulator"
)

// Pair is how a variant differs from the first one over the same days and seeds.
type Pair struct {
	Variant string  `json:"variant"`
	Than    string  `json:"than"`
	Value   string  `json:"value,omitempty"`
	Days    int     `json:"days"`
	Mean    float64 `json:"mean"` // of the differences of the figure
	Low     float64 `json:"low"`  // the interval in which the true mean lies at 95%, by Student's t
	High    float64 `json:"high"`
}

// Clear reports whether the interval leaves out zero.
func (p Pair) Clear() bool { return p.Low > 0 || p.High < 0 }

// differ compares two variants over the days that both have.
func differ(figure string, first, other []Row) (Pair, error) {
	var d []float64
	for _, a := range first {
		for _, b := range other {
			if a.Seed == b.Seed && row(a) == row(b) {
				d = append(d, b.Result.Figure(figure)-a.Result.Figure(figure))
			}
		}
	}
	if len(d) != len(first) || len(d) != len(other) {
		return Pair{}, fmt.Errorf("%s has %d days and %s has %d, of which %d are the same: compare them over the same seeds", first[0].Variant, len(first), other[0].Variant, len(other), len(d))
	}
	p := Pair{Variant: other[0].Variant, Than: first[0].Variant, Days: len(d), Mean: stat.Mean(d, nil), Low: math.Inf(-1), High: math.Inf(1)}
	if len(d) < 2 {
		p.Low, p.High = -1, 1 // one day says nothing of others
		return p, nil
	}
	half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(d) - 1)}.Quantile(0.975) * stat.StdErr(stat.StdDev(d, nil), float64(len(d)))
	p.Low, p.High = p.Mean-half, p.Mean+half
	return p, nil
}

// Compare fills in the pairs: each variant against the first, at each value of what is swept.
func (r *Results) Compare() error {
	names, values := r.variants()
	r.Pairs = nil
	for _, value := range values {
		for _, name := range names[1:] {
			p, err := differ(r.Figure, r.rowsOf(names[0], value), r.rowsOf(name, value))
			if err != nil {
				return err
			}
			if p.Value = value; len(values) == 1 {
				p.Value = ""
			}
			r.Pairs = append(r.Pairs, p)
		}
	}
	return nil
}

// Join adds the rows of an earlier results folder under a name of their own, so that its build becomes a variant.
// Its scenarios have to be the same to the letter, or the days would not be the same.
func (r *Results) Join(other *Results, variant, as string) error {
	seeds := map[string]bool{}
	for _, one := range r.Rows {
		seeds[fmt.Sprint(one.Scenario, one.Value, one.Seed)] = true
	}
	added := 0
	for _, one := range other.Rows {
		if one.Variant != variant || !seeds[fmt.Sprint(one.Scenario, one.Value, one.Seed)] {
			continue
		}
		if other.Scenarios[one.Scenario] != r.Scenarios[one.Scenario] {
			return fmt.Errorf("the earlier run played another text of the scenario %s", one.Scenario)
		}
		one.Variant = as
		r.Rows = append(r.Rows, one)
		added++
	}
	if added == 0 {
		return fmt.Errorf("the earlier run has no day of %s that is played here", variant)
	}
	return nil
}

// Set changes an option of a directive in a scenario's text: the first line that begins with the directive's words,
// or a new line where there is none.
func Set(text, directive, option, value string) string {
	words := strings.Fields(directive)
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		code, comment, _ := strings.Cut(line, "#")
		fields := strings.Fields(code)
		if len(fields) < len(words) || !slices.Equal(fields[:len(words)], words) {
			continue
		}
		if at := slices.Index(fields[len(words):], option); at >= 0 && len(words)+at+1 < len(fields) {
			fields[len(words)+at+1] = value
		} else {
			fields = append(fields, option, value)
		}
		lines[i] = strings.Join(fields, " ")
		if comment != "" {
			lines[i] += " #" + comment
		}
		return strings.Join(lines, "\n")
	}
	return strings.TrimRight(text, "\n") + "\n" + directive + " " + option + " " + value + "\n"
}

// Table writes what the results show.
func (r *Results) Table(w io.Writer) error {
	fmt.Fprintf(w, "%s\nbuild: %s\n", r.Title, r.Build)
	if r.Note != "" {
		fmt.Fprintf(w, "%s\n", r.Note)
	}
	names, values := r.variants()
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "\nday\tvariant\tseeds\tgain\tworst 10 s\tin aim\tsatisfied\ttries\tnacked\taborted\tp50 ms\tp99 ms\tcalls\twasted\tcrossing\trules")
	for _, value := range values {
		for _, name := range names {
			rows := r.rowsOf(name, value)
			if len(rows) == 0 {
				continue
			}
			mean := func(of func(*emulator.Result) float64) float64 {
				sum := 0.0
				for _, one := range rows {
					sum += of(one.Result)
				}
				return sum / float64(len(rows))
			}
			fmt.Fprintf(tab, "%s\t%s\t%d\t%.4f\t%.4f\t%.4f\t%.4f\t%.2f\t%.3f\t%.3f\t%.1f\t%.1f\t%.2f\t%.1f%%\t%.1f%%\t%s\n", value, name, len(rows),
				mean(func(r *emulator.Result) float64 { return r.Gain }), mean(func(r *emulator.Result) float64 { return r.WorstTen }), mean(func(r *emulator.Result) float64 { return r.InAim }),
				mean(func(r *emulator.Result) float64 { return r.Satisfied }), mean(func(r *emulator.Result) float64 { return r.Tries }), mean(func(r *emulator.Result) float64 { return r.Nacked }),
				mean(func(r *emulator.Result) float64 { return r.Aborted }), mean(func(r *emulator.Result) float64 { return r.Latency.P50 }), mean(func(r *emulator.Result) float64 { return r.Latency.P99 }),
				mean(func(r *emulator.Result) float64 { return r.Calls }), 100*mean(func(r *emulator.Result) float64 { return r.Wasted }), 100*mean(func(r *emulator.Result) float64 { return r.Crossing }), kept(rows))
		}
	}
	if err := tab.Flush(); err != nil || len(r.Pairs) == 0 {
		return err
	}
	fmt.Fprintf(w, "\n%s, difference from %s over the same days (95%%):\n", r.Figure, r.Pairs[0].Than)
	for _, p := range r.Pairs {
		verdict := "not told apart"
		if p.Clear() {
			verdict = map[bool]string{true: "better", false: "worse"}[p.Mean > 0]
		}
		value := p.Value
		if value != "" {
			value += ", "
		}
		fmt.Fprintf(tab, "  %s%s\t%+.4f\t%+.4f to %+.4f\t%d days\t%s\n",
			value, p.Variant, p.Mean, p.Low, p.High, p.Days, verdict)
	}
	return tab.Flush()
}

// kept says which rules the days broke.
func kept(rows []Row) string {
	broken := map[int]int{}
	odd := ""
	for _, one := range rows {
		if one.Result.Rules == nil {
			return "not checked"
		}
		for rule, n := range one.Result.Rules.Counts {
			broken[rule] += n
		}
		if one.Result.Rules.Incomplete != "" {
			odd = one.Result.Rules.Incomplete
		}
	}
	if len(broken) == 0 {
		if odd != "" {
			return odd
		}
		return "kept"
	}
	var words []string
	for rule := 1; rule <= 6; rule++ {
		if broken[rule] > 0 {
			words = append(words, fmt.Sprintf("%d (%d times)", rule, broken[rule]))
		}
	}
	return "BROKEN " + strings.Join(words, ", ")
}

// interval is the mean of a figure over days and half the width of its interval at 95%.
func interval(figure string, rows []Row) (mean, half float64) {
	var all []float64
	for _, one := range rows {
		all = append(all, one.Result.Figure(figure))
	}
	if mean = stat.Mean(all, nil); len(all) < 2 {
		return mean, 0
	}
	return mean, distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(all) - 1)}.Quantile(0.975) * stat.StdErr(stat.StdDev(all, nil), float64(len(all)))
}
