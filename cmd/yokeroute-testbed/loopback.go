package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"yokeroute/internal/testbed/experiment"
	"yokeroute/internal/testbed/study"
)

func phasesCommand() *cobra.Command {
	terms := experiment.PhaseOptions{}
	search := study.PhaseSearch{}
	var form string
	cmd := &cobra.Command{Use: "phases", Short: "compare lookups in one phase with lookups that may go in two", Args: cobra.NoArgs,
		Example: "  bin/yokeroute-testbed phases --days calm --prune 0,0.5,0.95\n  bin/yokeroute-testbed phases --search 160",
		RunE: func(cmd *cobra.Command, _ []string) error {
			terms.Progress = func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) }
			if search.Cases > 0 {
				if search.Seeds < 2 {
					return fmt.Errorf("--seeds %d: two at least tell anything", search.Seeds)
				}
				search.Seed = terms.Seed
				search.Done = (&play{}).terms(cmd, "days").Done
				cases, err := search.Search(cmd.Context())
				if err != nil {
					return err
				}
				if form == "json" {
					return json.NewEncoder(cmd.OutOrStdout()).Encode(cases)
				}
				study.WritePhases(cmd.OutOrStdout(), cases, 8)
				return nil
			}
			rows, err := experiment.Phases(cmd.Context(), terms)
			if err != nil {
				return err
			}
			if form == "json" {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(rows)
			}
			experiment.WritePhaseRows(cmd.OutOrStdout(), rows)
			return nil
		}}
	cmd.Flags().StringVar(&terms.Binary, "gatherer", beside(), "the gatherer's program")
	cmd.Flags().DurationVar(&terms.WarmUp, "warm", 4*time.Second, "time for learning before anything is measured")
	cmd.Flags().DurationVar(&terms.Duration, "length", 8*time.Second, "time that is measured")
	cmd.Flags().Float64SliceVar(&terms.EmptyShares, "prune", []float64{0, 0.25, 0.5, 0.75, 0.95}, "shares of segments in which a query finds nothing")
	cmd.Flags().StringSliceVar(&terms.Days, "days", experiment.PhaseDays, "kinds of days")
	cmd.Flags().IntVar(&search.Cases, "search", 0, "cases drawn and played by the emulator instead, for the one worst for two phases")
	cmd.Flags().IntVar(&search.Seeds, "seeds", 6, "days of each case of a search")
	cmd.Flags().Uint64Var(&terms.Seed, "seed", 1, "of loads, machines and contents")
	cmd.Flags().StringVarP(&form, "output", "o", "text", "form of the answer: text or json")
	return cmd
}

func plansCommand() *cobra.Command {
	terms := experiment.PlanOptions{}
	var form string
	cmd := &cobra.Command{Use: "plans", Short: "compare plain turns with plans on an uneven fleet, through the loss of half a hall", Args: cobra.NoArgs,
		Example: "  bin/yokeroute-testbed plans --rounds 3",
		RunE: func(cmd *cobra.Command, _ []string) error {
			terms.Progress = func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) }
			rows, err := experiment.Plans(cmd.Context(), terms)
			if err != nil {
				return err
			}
			if form == "json" {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(rows)
			}
			experiment.WritePlanRows(cmd.OutOrStdout(), rows)
			return nil
		}}
	cmd.Flags().StringVar(&terms.Binary, "gatherer", beside(), "the gatherer's program")
	cmd.Flags().DurationVar(&terms.BeforeLoss, "calm", 10*time.Second, "length of the calm phase")
	cmd.Flags().DurationVar(&terms.AfterLoss, "after", 10*time.Second, "length of the phase after the loss")
	cmd.Flags().Float64Var(&terms.Rate, "rate", 1500, "parts a second")
	cmd.Flags().Float64Var(&terms.SmallCapacity, "small", 100, "parts a second that the plan counts on from a small machine, which can answer 100")
	cmd.Flags().IntVar(&terms.Rounds, "rounds", 3, "how often each variant runs, in turns")
	cmd.Flags().Uint64Var(&terms.Seed, "seed", 1, "of loads and machines")
	cmd.Flags().StringVarP(&form, "output", "o", "text", "form of the answer: text or json")
	return cmd
}
