package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"yokeroute/internal/config/directive"
	"yokeroute/internal/config/placementfile"
	"yokeroute/logic/placement"
)

func planCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "plan",
		Short: "work out and look at weights and placements",
	}
	cmd.AddCommand(planSolveCommand(), planCheckCommand(), planExplainCommand(), planDiffCommand())
	return cmd
}

func unixMilliseconds() float64 { return float64(time.Now().UnixMilli()) }

// readModel reads a placement file that names its own hosts.
func readModel(name string) (*placementfile.File, error) {
	f, err := placementfile.Read(name, unixMilliseconds())
	if err == nil && f.FromList {
		err = fmt.Errorf("%s: from-list takes its hosts from discovery's list; "+
			"it is for serve, named by placement in the operator's file", name)
	}
	return f, err
}

// readPlan reads a placement file that holds weights.
func readPlan(name string) (*placementfile.File, error) {
	f, err := readModel(name)
	if err == nil && f.Plan == nil {
		err = fmt.Errorf("%s: holds no weights; create a plan with yokeroute plan solve", name)
	}
	return f, err
}

// rateFormatter returns the function that writes a number of a model's units as a rate.
func rateFormatter(m *placement.Model) func(units int64) string {
	return func(units int64) string { return placementfile.FormatUnits(m.Unit, units) }
}

func planDiffCommand() *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:     "diff OLD NEW",
		Short:   "say what a plan changes, in meaning",
		Args:    cobra.ExactArgs(2),
		Example: "  yokeroute plan diff old.conf plan.conf",
		RunE: func(cmd *cobra.Command, args []string) error {
			return diffPlans(cmd.OutOrStdout(), args[0], args[1], output)
		},
	}
	addCheckedOutputFlag(cmd, &output)
	return cmd
}

func diffPlans(w io.Writer, oldName, newName, output string) error {
	before, err := readPlan(oldName)
	if err != nil {
		return err
	}
	after, err := readPlan(newName)
	if err != nil {
		return err
	}
	if before.Model.Unit != after.Model.Unit {
		return fmt.Errorf("%s goes by %s and %s by %s: plans of different units cannot be compared",
			oldName, directive.FormatRate(before.Model.Unit), newName, directive.FormatRate(after.Model.Unit))
	}
	change := placement.Diff(before.Plan, after.Plan, after.Plan.Steps[0].From)
	if output == outputJSON {
		return writeIndentedJSON(w, change)
	}
	lines := change.Describe(rateFormatter(&after.Model))
	if len(lines) == 0 {
		lines = []string{"no difference in meaning"}
	}
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
	return nil
}
