package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"yokeroute/internal/testbed/scale"
)

// scaleOutput is where and how the figures of a scale test go.
type scaleOutput struct{ form string }

func (o *scaleOutput) flag(cmd *cobra.Command) {
	cmd.Flags().StringVarP(&o.form, "output", "o", "text", "form of the answer: text or json")
}

// progress tells of each measurement on standard error, where that is a terminal.
func (o *scaleOutput) progress(cmd *cobra.Command) scale.Progress {
	if !isatty.IsTerminal(os.Stderr.Fd()) {
		return func(string, ...any) {}
	}
	return func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) }
}

func (o *scaleOutput) print(cmd *cobra.Command, figures []scale.Figure) error {
	if o.form == "json" {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(figures)
	}
	t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "figure\tper\tunit\tmeasured\tslope\tat the design size\tbudget\tfactor")
	for _, f := range figures {
		budget, factor, far := "-", "-", ""
		if f.Budget > 0 {
			budget, factor = fmt.Sprintf("%.4g", f.Budget), fmt.Sprintf("%.2g", f.Factor())
		}
		if f.Extrapolated {
			far = " (extrapolated)"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.3g ± %.2g\t%.4g%s\t%s\t%s\n", f.Name, f.Per, f.Unit, measured(f.Samples), f.Slope, f.Spread, f.AtDesign, far, budget, factor)
	}
	return t.Flush()
}

// measured lists measurements by size; of many at one size their range.
func measured(samples []scale.Sample) string {
	var words []string
	for i := 0; i < len(samples); {
		size, least, most, from := samples[i].Size, samples[i].Value, samples[i].Value, i
		for ; i < len(samples) && samples[i].Size == size; i++ {
			least, most = min(least, samples[i].Value), max(most, samples[i].Value)
		}
		word := fmt.Sprintf("%g: %.3g", size, least)
		if i-from > 1 {
			word += fmt.Sprintf(" to %.3g", most)
		}
		words = append(words, word)
	}
	return strings.Join(words, ", ")
}

func scaleCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "scale", Short: "measure what each role costs at growing sizes, and compare with the design size and its budgets",
		Example: "  yokeroute-testbed scale lists --servers 300,3000,9000,28000\n  yokeroute-testbed scale decisions --servers 3000 --parts 8,64,640 -o json"}
	cmd.AddCommand(scaleDecisionsCommand(), scalePoliciesCommand(), scaleListsCommand(), scaleConnectionsCommand(), scaleReportsCommand())
	return cmd
}

func scaleDecisionsCommand() *cobra.Command {
	var out scaleOutput
	var servers, parts []int
	t := scale.DecisionOptions{}
	cmd := &cobra.Command{Use: "decisions", Short: "the decision module: processor time a query, longest round, memory", Args: cobra.NoArgs,
		Example: "  yokeroute-testbed scale decisions --servers 20,300,3000 --parts 8 --seconds 2\n  yokeroute-testbed scale decisions --servers 300,3000,9000,28000 --parts 640",
		RunE: func(cmd *cobra.Command, _ []string) error {
			figures, err := scale.DecisionFigures(cmd.Context(), t, servers, parts, out.progress(cmd))
			if err != nil {
				return err
			}
			return out.print(cmd, figures)
		}}
	cmd.Flags().IntSliceVar(&servers, "servers", []int{20, 300, 3000, 28_000}, "shard servers")
	cmd.Flags().IntSliceVar(&parts, "parts", []int{640}, "parts a query; several only with one size of the fleet")
	cmd.Flags().IntVar(&t.Replicas, "replicas", 3, "of each group of shards")
	cmd.Flags().Float64Var(&t.Rate, "rate", scale.DesignQueryRate, "queries a second")
	cmd.Flags().Float64Var(&t.Seconds, "seconds", 2, "measured, behind six to fill the records")
	cmd.Flags().Uint64Var(&t.Seed, "seed", 1, "of all chance")
	out.flag(cmd)
	return cmd
}

func scalePoliciesCommand() *cobra.Command {
	var out scaleOutput
	var gatherers []int
	var rest float64
	var fault string
	t := scale.PolicyOptions{}
	cmd := &cobra.Command{Use: "policies", Short: "stewards as processes and hollow gatherers that follow them: at rest, at a start, in changes with a fault", Args: cobra.NoArgs,
		Example: "  yokeroute-testbed scale policies --gatherers 100,200 --changes 2 --rest 1\n  yokeroute-testbed scale policies --stewards 5 --gatherers 300,900,1800,3600 --changes 100 --fault none",
		RunE: func(cmd *cobra.Command, _ []string) error {
			known := make([]string, 0, len(scale.PolicyFaults))
			for _, f := range scale.PolicyFaults {
				known = append(known, string(f))
			}
			if err := oneOf("fault", []string{fault}, known); err != nil {
				return err
			}
			t.Fault, t.IdleTime = scale.PolicyFault(fault), time.Duration(rest*float64(time.Second))
			base, err := os.MkdirTemp("", "yokeroute-testbed-scale-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(base)
			folder := func() (string, error) { return os.MkdirTemp(base, "") }
			figures, err := scale.PolicyFigures(cmd.Context(), t, gatherers, folder, out.progress(cmd))
			if err != nil {
				return err
			}
			return out.print(cmd, figures)
		}}
	cmd.Flags().StringVar(&t.Binary, "binary", beside(), "the gatherer's program")
	cmd.Flags().IntVar(&t.PolicyServers, "stewards", 3, "that agree")
	cmd.Flags().IntSliceVar(&gatherers, "gatherers", []int{300, 900, 1800, 3600}, "hollow gatherers")
	cmd.Flags().IntVar(&t.Changes, "changes", 10, "in a row")
	cmd.Flags().Float64Var(&rest, "rest", 10, "seconds that are measured with nothing to do")
	cmd.Flags().StringVar(&fault, "fault", string(scale.NoFault), "in each change: none, one-killed, one-ended, many-killed, leader-killed, leader-stopped, region-cut")
	out.flag(cmd)
	return cmd
}

// sizesCommand is a measurement that takes nothing but sizes.
func sizesCommand(use, short, flag, what string, sizes []int, measure func(context.Context, []int, scale.Progress) ([]scale.Figure, error)) *cobra.Command {
	var out scaleOutput
	var at []int
	cmd := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, Example: fmt.Sprintf("  yokeroute-testbed scale %s --%s 24,48", use, flag),
		RunE: func(cmd *cobra.Command, _ []string) error {
			figures, err := measure(cmd.Context(), at, out.progress(cmd))
			if err != nil {
				return err
			}
			return out.print(cmd, figures)
		}}
	cmd.Flags().IntSliceVar(&at, flag, sizes, what)
	out.flag(cmd)
	return cmd
}

func scaleListsCommand() *cobra.Command {
	return sizesCommand("lists", "the list of shard servers: a start, a change, a zone at once, discovery's return", "servers", "shard servers on the list",
		[]int{300, 3000, 9000, 28_000}, scale.ListFigures)
}

func scaleConnectionsCommand() *cobra.Command {
	return sizesCommand("connections", "what connections to shard servers cost at rest", "count", "connections", []int{100, 500, 1000, 3000}, scale.ConnectionFigures)
}

func scaleReportsCommand() *cobra.Command {
	return sizesCommand("reports", "what asking all gatherers for their reports costs", "gatherers", "hollow gatherers", []int{300, 900, 1800, 3600}, scale.ReportFigures)
}
