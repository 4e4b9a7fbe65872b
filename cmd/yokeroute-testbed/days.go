package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/mattn/go-isatty"
	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"yokeroute/internal/rulecheck"
	"yokeroute/internal/testbed/emulator"
	"yokeroute/internal/testbed/processtest"
	"yokeroute/internal/testbed/study"
)

// play is what the commands that play days have in common.
type play struct {
	out     string
	form    string
	figure  string
	seeds   int
	from    uint64
	workers int
}

func (p *play) flags(cmd *cobra.Command, seeds int) {
	cmd.Flags().StringVarP(&p.out, "out", "d", "", "folder for the results; a run that was broken off goes on from there")
	cmd.Flags().StringVarP(&p.form, "output", "o", "text", "form of the answer: text or json")
	cmd.Flags().StringVar(&p.figure, "figure", "gain", "what is compared: "+strings.Join(emulator.Figures(), ", "))
	cmd.Flags().IntVar(&p.seeds, "seeds", seeds, "days of each kind, each with a seed of its own")
	cmd.Flags().Uint64Var(&p.from, "seed", 0, "the first seed; that of the file, or 1, unless told")
	cmd.Flags().IntVar(&p.workers, "workers", 0, "days played side by side; one a core unless told")
}

func (p *play) check() error {
	switch {
	case p.form != "text" && p.form != "json":
		return fmt.Errorf("--output %q: is neither text nor json", p.form)
	case p.seeds < 1:
		return fmt.Errorf("--seeds %d: at least one is needed", p.seeds)
	case !slices.Contains(emulator.Figures(), p.figure):
		return fmt.Errorf("--figure %q: is none of %s", p.figure, strings.Join(emulator.Figures(), ", "))
	}
	return nil
}

// terms are a study's, with a bar of progress where somebody looks.
func (p *play) terms(cmd *cobra.Command, what string) study.Terms {
	t := study.Terms{Folder: p.out, Workers: p.workers}
	if !isatty.IsTerminal(os.Stderr.Fd()) {
		return t
	}
	var bar *progressbar.ProgressBar
	t.Done = func(done, all int) {
		if bar == nil {
			bar = progressbar.NewOptions(all, progressbar.OptionSetWriter(cmd.ErrOrStderr()), progressbar.OptionSetDescription(what), progressbar.OptionShowCount(),
				progressbar.OptionSetPredictTime(true), progressbar.OptionClearOnFinish())
		}
		bar.Set(done)
	}
	return t
}

// scenario reads a scenario file and its text.
func scenario(file string) (*emulator.Scenario, string, error) {
	sc, err := emulator.Read(file)
	if err != nil {
		return nil, "", err
	}
	text, err := emulator.Text(file)
	if sc.Name == "" {
		sc.Name = strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	}
	return sc, text, err
}

func (p *play) jobs(name, value, text string, sc *emulator.Scenario, variants []emulator.Variant) (jobs []study.Job) {
	from := p.from
	if from == 0 {
		from = sc.Seed
	}
	for _, v := range variants {
		for i := range p.seeds {
			jobs = append(jobs, study.Job{Scenario: name, Value: value, Text: text, Variant: v, Seed: from + uint64(i)})
		}
	}
	return jobs
}

// finish saves and shows results, and says no where a rule is broken.
func (p *play) finish(cmd *cobra.Command, r *study.Results) error {
	if p.out != "" {
		if err := r.Save(p.out); err != nil {
			return err
		}
		fmt.Fprintf(cmd.ErrOrStderr(), "results in %s; yokeroute-testbed report %s makes a page of them\n", p.out, p.out)
	}
	if p.form == "json" {
		text, err := r.Bytes()
		if err != nil {
			return err
		}
		cmd.OutOrStdout().Write(text)
	} else {
		r.Table(cmd.OutOrStdout())
	}
	for _, row := range r.Rows {
		if row.Result.Rules != nil && len(row.Result.Rules.Counts) > 0 && row.Variant == emulator.Ours.Name {
			return errNegative
		}
	}
	return nil
}

func variantsOf(names []string) (list []emulator.Variant, err error) {
	for _, name := range names {
		v, err := emulator.VariantOf(name)
		if err != nil {
			return nil, err
		}
		list = append(list, v)
	}
	return list, nil
}

func runCommand() *cobra.Command {
	p := &play{}
	var variant, trace string
	cmd := &cobra.Command{Use: "run FILE", Short: "play a scenario", Args: cobra.ExactArgs(1),
		Example: "  yokeroute-testbed run examples/days/farm.conf --seeds 3\n  yokeroute-testbed run examples/days/farm.conf --trace day.trace",
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := p.check(); err != nil {
				return err
			}
			sc, text, err := scenario(args[0])
			if err != nil {
				return err
			}
			variants, err := variantsOf([]string{variant})
			if err != nil {
				return err
			}
			if trace != "" {
				if err := record(sc, variants[0], max(p.from, sc.Seed), trace); err != nil {
					return err
				}
			}
			rows, err := study.Play(cmd.Context(), p.jobs(sc.Name, "", text, sc, variants), p.terms(cmd, "days"))
			if err != nil {
				return err
			}
			r := &study.Results{Kind: "run", Title: "The day " + sc.Name, Build: study.Build(), Figure: p.figure, Scenarios: map[string]string{sc.Name: text}, Rows: rows,
				Note: fmt.Sprintf("Work asked for is %.0f%% of what the fleet can do warm.", 100*sc.Offered())}
			if err := p.finish(cmd, r); err != nil {
				return err
			}
			if variant == emulator.Ours.Name && p.from == 0 && p.seeds == 1 {
				if short := rows[0].Result.Short(sc); len(short) > 0 {
					fmt.Fprintln(cmd.OutOrStdout(), strings.Join(short, "\n"))
					return errNegative
				}
			}
			return nil
		}}
	p.flags(cmd, 1)
	cmd.Flags().StringVar(&variant, "variant", emulator.Ours.Name, "whose decisions: ours, or a baseline")
	cmd.Flags().StringVar(&trace, "trace", "", "file for a trace of the first day, which yokeroute-testbed replay checks")
	return cmd
}

// record plays a day once and writes its trace.
func record(sc *emulator.Scenario, v emulator.Variant, seed uint64, file string) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	_, err = emulator.Run(sc, emulator.Options{Seed: seed, Variant: v, Unruled: true, Trace: func(h rulecheck.Header) (func(rulecheck.Event), func(float64, string) error) {
		w := rulecheck.NewWriter(f, h)
		return w.Write, w.Close
	}})
	return errors.Join(err, f.Close())
}

func compareCommand() *cobra.Command {
	p := &play{}
	var names, with []string
	cmd := &cobra.Command{Use: "compare FILE", Short: "compare variants over the same days", Args: cobra.ExactArgs(1),
		Example: "  yokeroute-testbed compare examples/days/farm.conf --seeds 10\n  yokeroute-testbed compare examples/days/farm.conf --variants ours --with old=earlier/results",
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := p.check(); err != nil {
				return err
			}
			sc, text, err := scenario(args[0])
			if err != nil {
				return err
			}
			variants, err := variantsOf(names)
			if err != nil {
				return err
			}
			rows, err := study.Play(cmd.Context(), p.jobs(sc.Name, "", text, sc, variants), p.terms(cmd, "days"))
			if err != nil {
				return err
			}
			r := &study.Results{Kind: "compare", Title: "Variants on the day " + sc.Name, Build: study.Build(), Figure: p.figure, Scenarios: map[string]string{sc.Name: text}, Rows: rows,
				Note: fmt.Sprintf("Work asked for is %.0f%% of what the fleet can do warm.", 100*sc.Offered())}
			for _, one := range with {
				as, folder, found := strings.Cut(one, "=")
				if !found {
					return fmt.Errorf("--with %q: write it as NAME=FOLDER", one)
				}
				earlier, err := study.Load(folder)
				if err != nil {
					return err
				}
				if err := r.Join(earlier, emulator.Ours.Name, as); err != nil {
					return fmt.Errorf("%s: %w", folder, err)
				}
				r.Note += fmt.Sprintf(" %s is %s.", as, earlier.Build)
			}
			if err := r.Compare(); err != nil {
				return err
			}
			return p.finish(cmd, r)
		}}
	p.flags(cmd, 10)
	cmd.Flags().StringSliceVar(&names, "variants", []string{"ours", "random", "turns", "least-out", "two-choices", "hedge-95", "clairvoyant"}, "the first is what the others are compared with")
	cmd.Flags().StringArrayVar(&with, "with", nil, "NAME=FOLDER: the recorded run of an earlier build, as a variant of that name")
	return cmd
}

func sweepCommand() *cobra.Command {
	p := &play{}
	var names, values []string
	var over string
	cmd := &cobra.Command{Use: "sweep FILE", Short: "play a scenario over the values of one option", Args: cobra.ExactArgs(1),
		Example: "  yokeroute-testbed sweep examples/days/farm.conf --over 'clients rate' --values 15/s,25/s,35/s,45/s",
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := p.check(); err != nil {
				return err
			}
			sc, text, err := scenario(args[0])
			if err != nil {
				return err
			}
			words := strings.Fields(over)
			if len(words) < 2 || len(values) == 0 {
				return errors.New("--over wants a directive and an option, such as 'clients rate' or 'index find work', and --values what it goes over")
			}
			directive, option := strings.Join(words[:len(words)-1], " "), words[len(words)-1]
			variants, err := variantsOf(names)
			if err != nil {
				return err
			}
			r := &study.Results{Kind: "sweep", Title: fmt.Sprintf("The day %s over %s", sc.Name, over), Build: study.Build(), Figure: p.figure, Scenarios: map[string]string{}}
			var jobs []study.Job
			for _, value := range values {
				changed := study.Set(text, directive, option, value)
				name := option + " " + value
				if _, err := emulator.Parse(name, changed); err != nil {
					return err
				}
				r.Scenarios[name] = changed
				jobs = append(jobs, p.jobs(name, name, changed, sc, variants)...)
			}
			if r.Rows, err = study.Play(cmd.Context(), jobs, p.terms(cmd, "days")); err != nil {
				return err
			}
			if err := r.Compare(); err != nil {
				return err
			}
			return p.finish(cmd, r)
		}}
	p.flags(cmd, 5)
	cmd.Flags().StringSliceVar(&names, "variants", []string{"ours", "two-choices", "clairvoyant"}, "whose decisions")
	cmd.Flags().StringVar(&over, "over", "", "the directive and its option, such as 'clients rate'")
	cmd.Flags().StringSliceVar(&values, "values", nil, "what it goes over")
	return cmd
}

func huntCommand() *cobra.Command {
	h := study.HuntTerms{}
	var variant, keep string
	cmd := &cobra.Command{Use: "hunt FILE", Short: "search seeds and overlaps of troubles for the day on which decisions do worst", Args: cobra.ExactArgs(1),
		Example: "  yokeroute-testbed hunt examples/days/farm.conf --days 200 --keep worst.conf\n  yokeroute-testbed hunt examples/days/farm.conf --rules --days 1000",
		RunE: func(cmd *cobra.Command, args []string) error {
			sc, text, err := scenario(args[0])
			if err != nil {
				return err
			}
			if h.Variant, err = emulator.VariantOf(variant); err != nil {
				return err
			}
			for _, kind := range h.Only {
				if !slices.Contains(emulator.Kinds(), kind) {
					return fmt.Errorf("--only %q: is no kind of trouble; there are %s", kind, strings.Join(emulator.Kinds(), ", "))
				}
			}
			if h.Days < 1 {
				return fmt.Errorf("--days %d: at least one is needed", h.Days)
			}
			h.Name, h.Text = sc.Name, text
			h.Seen = func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) }
			bar := (&play{}).terms(cmd, "days")
			h.Done = bar.Done
			found, err := study.Hunt(cmd.Context(), h)
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			if found.Text == "" {
				fmt.Fprintf(out, "no rule broken on %d days\n", h.Days)
				return nil
			}
			if found.Rule > 0 {
				fmt.Fprintf(out, "rule %d is broken, after %d days played:\n", found.Rule, found.Played)
			} else {
				slices.SortFunc(found.Drawn, func(a, b float64) int { return int(1e9 * (b - a)) })
				fmt.Fprintf(out, "the widest gap: gain %.3f where the clairvoyant has %.3f, after %d days played; of the days drawn the widest gaps are %s, the median %.3f\n",
					found.Gain, found.Bound, found.Played, gaps(found.Drawn), found.Drawn[len(found.Drawn)/2])
			}
			for _, line := range found.Troubles {
				fmt.Fprintln(out, " ", line)
			}
			fmt.Fprintln(out, "  seed", found.Seed)
			if keep != "" {
				if err := os.WriteFile(keep, []byte(found.Text), 0o644); err != nil {
					return err
				}
				fmt.Fprintf(out, "kept as %s\n", keep)
			}
			if found.Rule > 0 {
				return errNegative
			}
			return nil
		}}
	cmd.Flags().IntVar(&h.Days, "days", 100, "days drawn")
	cmd.Flags().IntVar(&h.Most, "most", 3, "troubles that overlap at most")
	cmd.Flags().StringSliceVar(&h.Only, "only", nil, "kinds of troubles to draw from")
	cmd.Flags().BoolVar(&h.Rules, "rules", false, "look for broken rules alone, which takes half the time")
	cmd.Flags().Uint64Var(&h.Seed, "seed", 1, "of the drawing")
	cmd.Flags().IntVar(&h.Shrinks, "shrinks", 120, "days played to make the case small")
	cmd.Flags().IntVar(&h.Workers, "workers", 0, "days played side by side; one a core unless told")
	cmd.Flags().StringVar(&variant, "variant", emulator.Ours.Name, "whose decisions")
	cmd.Flags().StringVar(&keep, "keep", "", "file for the day found, made small, to keep it")
	return cmd
}

func gaps(all []float64) string {
	var words []string
	for _, g := range all[:min(len(all), 5)] {
		words = append(words, strconv.FormatFloat(g, 'f', 3, 64))
	}
	return strings.Join(words, ", ")
}

func reportCommand() *cobra.Command {
	var out string
	cmd := &cobra.Command{Use: "report FOLDER", Short: "make one page of a folder of results", Args: cobra.ExactArgs(1), Example: "  yokeroute-testbed report results --out report.html",
		RunE: func(cmd *cobra.Command, args []string) error {
			page, err := pageOf(args[0])
			if err != nil {
				return err
			}
			if out == "" {
				out = filepath.Join(args[0], "report.html")
			}
			if err := os.WriteFile(out, page, 0o644); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), out)
			return nil
		}}
	cmd.Flags().StringVar(&out, "out", "", "the page's file; report.html in the folder unless told")
	return cmd
}

// pageOf makes the page of a folder: of days of the emulator, or of a day of processes.
func pageOf(folder string) ([]byte, error) {
	if _, err := os.Stat(filepath.Join(folder, processtest.ResultFile)); err == nil {
		r, err := processtest.LoadResult(folder)
		if err != nil {
			return nil, err
		}
		return r.Page()
	}
	r, err := study.Load(folder)
	if err != nil {
		return nil, err
	}
	return r.Report()
}

func replayCommand() *cobra.Command {
	var lookup uint64
	var form string
	cmd := &cobra.Command{Use: "replay TRACE|FOLDER", Short: "check the rules on a trace, or play a folder's days again and say what differs", Args: cobra.ExactArgs(1),
		Example: "  yokeroute-testbed replay day.trace\n  yokeroute-testbed replay day.trace --lookup 17\n  yokeroute-testbed replay results",
		RunE: func(cmd *cobra.Command, args []string) error {
			info, err := os.Stat(args[0])
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			if info.IsDir() {
				r, err := study.Load(args[0])
				if err != nil {
					return err
				}
				differ, err := r.Again(cmd.Context(), (&play{}).terms(cmd, "days"))
				if err != nil {
					return err
				}
				if len(differ) == 0 {
					fmt.Fprintf(out, "all %d days come out the same, to the byte\n", len(r.Rows))
					return nil
				}
				fmt.Fprintf(out, "%d of %d days differ; they were played by %s, this is %s\n%s\n", len(differ), len(r.Rows), r.Build, study.Build(), strings.Join(differ, "\n"))
				return errNegative
			}
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			if lookup > 0 {
				return story(cmd, text, lookup)
			}
			report, err := rulecheck.Check(bytes.NewReader(text))
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if form == "json" {
				if err := json.NewEncoder(out).Encode(report); err != nil {
					return err
				}
			} else {
				verdict(cmd, report)
			}
			if !report.Passed() {
				return errNegative
			}
			return nil
		}}
	cmd.Flags().Uint64Var(&lookup, "lookup", 0, "tell what became of this lookup instead")
	cmd.Flags().StringVarP(&form, "output", "o", "text", "form of the answer: text or json")
	return cmd
}

// verdict says in words what a check has found.
func verdict(cmd *cobra.Command, r *rulecheck.Report) {
	out := cmd.OutOrStdout()
	fmt.Fprintf(out, "%d lookups, %d part calls; %d answered, %d nacked, %d aborted\n", r.Queries, r.Attempts, r.FinalAnswers[rulecheck.QueryServed], r.FinalAnswers[rulecheck.QueryRejected], r.FinalAnswers[rulecheck.QueryFailed])
	for rule := 1; rule <= 6; rule++ {
		switch {
		case r.Counts[rule] > 0:
			fmt.Fprintf(out, "rule %d: BROKEN %d times\n", rule, r.Counts[rule])
		case r.Unchecked[rule] != "":
			fmt.Fprintf(out, "rule %d: not checked: %s\n", rule, r.Unchecked[rule])
		case r.ClosestToLimit[rule].Share > 0:
			fmt.Fprintf(out, "rule %d: kept; nearest at %.0f%% of its limit, at %.0f ms: %s\n", rule, 100*r.ClosestToLimit[rule].Share, r.ClosestToLimit[rule].At, r.ClosestToLimit[rule].Message)
		default:
			fmt.Fprintf(out, "rule %d: kept\n", rule)
		}
	}
	for _, b := range r.Violations {
		fmt.Fprintln(out, " ", b)
	}
	if r.Incomplete != "" {
		fmt.Fprintf(out, "does not pass: %s\n", r.Incomplete)
	}
}

// story tells what became of one lookup of a trace.
func story(cmd *cobra.Command, text []byte, number uint64) error {
	out, begin, seen := cmd.OutOrStdout(), 0.0, false
	err := rulecheck.Read(bytes.NewReader(text), func(rulecheck.Header) error { return nil }, func(e rulecheck.Event) {
		if e.Query != number {
			return
		}
		if !seen {
			begin, seen = e.At, true
		}
		at := e.At - begin
		pass := ""
		if e.FirstPass {
			pass = ", first pass"
		}
		switch e.Kind {
		case rulecheck.QueryAdmitted:
			fmt.Fprintf(out, "%9.3f ms  taken by gatherer %d: %s, %d parts, %.0f ms\n", at, e.Gatherer, e.Class, len(e.ShardRequests), e.Deadline-e.At)
		case rulecheck.AttemptSent:
			fmt.Fprintf(out, "%9.3f ms  shard %d: call %d to server %d%s\n", at, e.Shard, e.Attempt+1, e.Server, pass)
		case rulecheck.WorkStarted:
			fmt.Fprintf(out, "%9.3f ms  shard %d: server %d begins its work%s\n", at, e.Shard, e.Server, pass)
		case rulecheck.AttemptEnded:
			fmt.Fprintf(out, "%9.3f ms  shard %d: call %d: %s%s\n", at, e.Shard, e.Attempt+1, e.Outcome, pass)
		case rulecheck.QueryServed:
			fmt.Fprintf(out, "%9.3f ms  answered, whole %t, shards %v\n", at, e.Complete, e.IncludedShards)
		default:
			fmt.Fprintf(out, "%9.3f ms  %s\n", at, e.Kind)
		}
	})
	if err != nil && !errors.Is(err, rulecheck.ErrTruncated) {
		return err
	}
	if !seen {
		return fmt.Errorf("the trace has no lookup %d", number)
	}
	return nil
}

func referenceCommand() *cobra.Command {
	return &cobra.Command{Use: "reference [fleet]", Short: "print the page about scenario files, or about those of fleets of processes", Args: cobra.MatchAll(cobra.MaximumNArgs(1), cobra.OnlyValidArgs), ValidArgs: []string{"fleet"}, Example: "  yokeroute-testbed reference\n  yokeroute-testbed reference fleet",
		Run: func(cmd *cobra.Command, args []string) {
			if len(args) > 0 {
				fmt.Fprint(cmd.OutOrStdout(), processtest.Reference())
				return
			}
			fmt.Fprint(cmd.OutOrStdout(), emulator.Reference())
		}}
}
