package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"yokeroute/internal/testbed/emulator"
	"yokeroute/internal/testbed/study"
)

const (
	defaultHuntDays    = 100
	defaultHuntFaults  = 3
	defaultHuntShrinks = 120
	shownGaps          = 5 // widest gaps that are printed
)

// huntOptions are the flags of hunt.
type huntOptions struct {
	search  study.HuntTerms
	variant string
	keep    string // file for the day that is found
}

func huntCommand() *cobra.Command {
	var options huntOptions
	cmd := &cobra.Command{
		Use:   "hunt FILE",
		Short: "search seeds and overlaps of troubles for the day on which decisions do worst",
		Args:  cobra.ExactArgs(1),
		Example: "  yokeroute-testbed hunt examples/days/farm.conf --days 200 --keep worst.conf\n" +
			"  yokeroute-testbed hunt examples/days/farm.conf --rules --days 1000",
		RunE: func(cmd *cobra.Command, args []string) error { return options.run(cmd, args[0]) },
	}
	options.addFlags(cmd)
	return cmd
}

func (o *huntOptions) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.IntVar(&o.search.Days, "days", defaultHuntDays, "days drawn")
	flags.IntVar(&o.search.Most, "most", defaultHuntFaults, "troubles that overlap at most")
	flags.StringSliceVar(&o.search.Only, "only", nil, "kinds of troubles to draw from")
	flags.BoolVar(&o.search.Rules, "rules", false, "look for broken rules alone, which takes half the time")
	flags.Uint64Var(&o.search.Seed, "seed", 1, "of the drawing")
	flags.IntVar(&o.search.Shrinks, "shrinks", defaultHuntShrinks, "days played to make the case small")
	flags.IntVar(&o.search.Workers, "workers", 0, "days played side by side; one a core unless told")
	flags.StringVar(&o.variant, "variant", emulator.Ours.Name, "whose decisions")
	flags.StringVar(&o.keep, "keep", "", "file for the day found, made small, to keep it")
}

func (o *huntOptions) run(cmd *cobra.Command, file string) error {
	d, err := readDay(file)
	if err != nil {
		return err
	}
	if o.search.Variant, err = emulator.VariantOf(o.variant); err != nil {
		return err
	}
	if err := o.check(); err != nil {
		return err
	}
	o.search.Name = d.Name
	o.search.Text = d.text
	o.search.Seen = printProgress(cmd)
	o.search.Done = showProgressBar(cmd)
	found, err := study.Hunt(cmd.Context(), o.search)
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	if found.Text == "" {
		fmt.Fprintf(out, "no rule broken on %d days\n", o.search.Days)
		return nil
	}
	printFound(out, found)
	if o.keep != "" {
		if err := os.WriteFile(o.keep, []byte(found.Text), resultFileMode); err != nil {
			return err
		}
		fmt.Fprintf(out, "kept as %s\n", o.keep)
	}
	if found.Rule > 0 {
		return errNegative
	}
	return nil
}

func (o *huntOptions) check() error {
	for _, kind := range o.search.Only {
		if !slices.Contains(emulator.Kinds(), kind) {
			return fmt.Errorf("--only %q: is no kind of trouble; there are %s",
				kind, strings.Join(emulator.Kinds(), ", "))
		}
	}
	if o.search.Days < 1 {
		return fmt.Errorf("--days %d: at least one is needed", o.search.Days)
	}
	return nil
}

// printFound prints the day on which a rule is broken, or else the decisions did worst.
func printFound(w io.Writer, found *study.Found) {
	if found.Rule > 0 {
		fmt.Fprintf(w, "rule %d is broken, after %d days played:\n", found.Rule, found.Played)
	} else {
		const perUnit = 1e9 // precision at which gaps are compared
		slices.SortFunc(found.Drawn, func(a, b float64) int { return int(perUnit * (b - a)) })
		median := found.Drawn[len(found.Drawn)/2]
		fmt.Fprintf(w, "the widest gap: gain %.3f where the clairvoyant has %.3f, after %d days played; "+
			"of the days drawn the widest gaps are %s, the median %.3f\n",
			found.Gain, found.Bound, found.Played, formatGaps(found.Drawn), median)
	}
	for _, line := range found.Troubles {
		fmt.Fprintln(w, " ", line)
	}
	fmt.Fprintln(w, "  seed", found.Seed)
}

func formatGaps(gaps []float64) string {
	var words []string
	for _, gap := range gaps[:min(len(gaps), shownGaps)] {
		words = append(words, strconv.FormatFloat(gap, 'f', 3, 64))
	}
	return strings.Join(words, ", ")
}
