package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"yokeroute/internal/config/directive"
	"yokeroute/internal/config/placementfile"
	"yokeroute/logic/balance"
)

// planExplainOptions are the flags of plan explain.
type planExplainOptions struct {
	output   string
	caseName string // of the loss to explain; empty for the plan itself
	moment   string // RFC 3339; empty for the plan's first step
}

func planExplainCommand() *cobra.Command {
	var options planExplainOptions
	cmd := &cobra.Command{
		Use:   "explain PLAN",
		Short: "say why each host has its weight and which limit binds",
		Args:  cobra.ExactArgs(1),
		Example: "  yokeroute plan explain plan.conf\n" +
			"  yokeroute plan explain plan.conf --case 'hall north'",
		RunE: func(cmd *cobra.Command, args []string) error {
			return options.explain(cmd.OutOrStdout(), args[0])
		},
	}
	cmd.Flags().StringVar(&options.caseName, "case", "", "loss to explain instead, such as 'hall north'")
	cmd.Flags().StringVar(&options.moment, "at", "", "moment to explain; the plan's beginning unless told")
	addCheckedOutputFlag(cmd, &options.output)
	return cmd
}

func (o *planExplainOptions) explain(w io.Writer, name string) error {
	f, err := readPlan(name)
	if err != nil {
		return err
	}
	at := f.Plan.Steps[0].From
	if o.moment != "" {
		if at, err = parseMoment(o.moment); err != nil {
			return err
		}
	}
	report, err := balance.Explain(f.Plan, at, o.caseName)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if o.output == outputJSON {
		return writeIndentedJSON(w, report)
	}
	return printPlanReport(w, f, report)
}

// parseMoment parses the value of --at into Unix milliseconds.
func parseMoment(text string) (float64, error) {
	const microsPerMilli = 1000
	moment, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0, fmt.Errorf("--at %q: is no moment; write it as 2026-12-01T10:00:00Z", text)
	}
	return float64(moment.UnixMicro()) / microsPerMilli, nil
}

func printPlanReport(w io.Writer, f *placementfile.File, r *balance.Report) error {
	rate := rateFormatter(&f.Model)
	subject := "weights"
	if r.CaseName != "" {
		subject = "case " + r.CaseName
	}
	fmt.Fprintf(w, "%s at %s: %s asked for, greatest utilisation %.1f%%, %s cross halls, cost %g a second\n\n",
		subject, directive.FormatTimestamp(r.At), rate(r.Demand), 100*r.MaxUtilisation.Float(), rate(r.CrossZoneLoad),
		costPerSecond(r.Cost))
	if err := printHostLoads(w, r.Hosts, rate); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if err := printZoneLoads(w, r.Zones, rate); err != nil {
		return err
	}
	if len(r.UnservedSegments) > 0 {
		fmt.Fprintf(w, "\nNo host is left for %s.\n", strings.Join(r.UnservedSegments, ", "))
	}
	switch {
	case r.Bottleneck != nil:
		fmt.Fprintf(w, "\nWhy not less than %.1f%%: filled any less, hosts would not do. %s\n",
			100*r.MaxUtilisation.Float(), r.Bottleneck.Describe(rate))
	case r.MaxUtilisation.Load > r.MaxUtilisation.Capacity:
		fmt.Fprintln(w, "\nWhat is left cannot take all that is asked for: "+
			"hosts are filled evenly beyond what they can do, and lookups will be refused.")
	}
	if n := len(f.Plan.Steps); n > 1 && r.CaseName == "" {
		fmt.Fprintf(w, "\nHosts warm up; the weights change in %d steps until %s.\n",
			n, directive.FormatTimestamp(f.Plan.Steps[n-1].From))
	}
	return nil
}

func printHostLoads(w io.Writer, hosts []balance.HostReport, rate func(int64) string) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "host\thall\tcan\tgets\tuse\twhy")
	for _, h := range hosts {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.1f%%\t%s\n",
			h.Name, h.Zone, rate(h.SafeCapacity), rate(h.Load), 100*h.Utilisation, h.Reason)
	}
	return table.Flush()
}

func printZoneLoads(w io.Writer, zones []balance.ZoneReport, rate func(int64) string) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "hall\tcan\tgets\tof other halls\tlimit")
	for _, z := range zones {
		limit := "none"
		if z.LoadLimit >= 0 {
			limit = rate(z.LoadLimit)
		}
		if z.IsBinding {
			limit += ", binds"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", z.Name, rate(z.SafeCapacity), rate(z.Load), rate(z.CrossZoneLoad), limit)
	}
	return table.Flush()
}

// costPerSecond turns a cost, which models hold in thousandths, into what an operator wrote.
func costPerSecond(thousandths int64) float64 { return float64(thousandths) / 1000 }
