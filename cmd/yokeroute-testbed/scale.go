package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"yokeroute/internal/testbed/scale"
)

func scaleCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "scale",
		Short: "measure what each role costs at growing sizes, and compare with the design size and its budgets",
		Example: "  yokeroute-testbed scale lists --servers 300,3000,9000,28000\n" +
			"  yokeroute-testbed scale decisions --servers 3000 --parts 8,64,640 -o json",
	}
	cmd.AddCommand(
		scaleDecisionsCommand(),
		scalePoliciesCommand(),
		scaleListsCommand(),
		scaleConnectionsCommand(),
		scaleReportsCommand(),
	)
	return cmd
}

// scaleProgress prints each measurement on standard error, where that is a terminal.
func scaleProgress(cmd *cobra.Command) scale.Progress {
	if !isatty.IsTerminal(os.Stderr.Fd()) {
		return func(string, ...any) {}
	}
	return printProgress(cmd)
}

func printFigures(w io.Writer, figures []scale.Figure, output string) error {
	if output == outputJSON {
		return json.NewEncoder(w).Encode(figures)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "figure\tper\tunit\tmeasured\tslope\tat the design size\tbudget\tfactor")
	for i := range figures {
		f := &figures[i]
		budget := "-"
		factor := "-"
		if f.Budget > 0 {
			budget = fmt.Sprintf("%.4g", f.Budget)
			factor = fmt.Sprintf("%.2g", f.Factor())
		}
		extrapolated := ""
		if f.Extrapolated {
			extrapolated = " (extrapolated)"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.3g ± %.2g\t%.4g%s\t%s\t%s\n", f.Name, f.Per, f.Unit,
			formatSamples(f.Samples), f.Slope, f.Spread, f.AtDesign, extrapolated, budget, factor)
	}
	return table.Flush()
}

// formatSamples lists values by size. Several of one size are written as their range.
func formatSamples(samples []scale.Sample) string {
	var words []string
	for len(samples) > 0 {
		size := samples[0].Size
		smallest := samples[0].Value
		largest := samples[0].Value
		n := 0
		for n < len(samples) && samples[n].Size == size {
			smallest = min(smallest, samples[n].Value)
			largest = max(largest, samples[n].Value)
			n++
		}
		word := fmt.Sprintf("%g: %.3g", size, smallest)
		if n > 1 {
			word += fmt.Sprintf(" to %.3g", largest)
		}
		words = append(words, word)
		samples = samples[n:]
	}
	return strings.Join(words, ", ")
}
