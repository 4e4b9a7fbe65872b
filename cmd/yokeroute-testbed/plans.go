package main

import (
	"encoding/json"
	"time"

	"github.com/spf13/cobra"

	"yokeroute/internal/testbed/experiment"
)

const (
	defaultPlansPhase     = 10 * time.Second
	defaultPlansRate      = 1500 // shard requests a second
	defaultPlansSmallRate = 100  // shard requests a second
	defaultPlansRounds    = 3
)

func plansCommand() *cobra.Command {
	var terms experiment.PlanOptions
	var output string
	cmd := &cobra.Command{
		Use:     "plans",
		Short:   "compare plain turns with plans on an uneven fleet, through the loss of half a hall",
		Args:    cobra.NoArgs,
		Example: "  bin/yokeroute-testbed plans --rounds 3",
		RunE: func(cmd *cobra.Command, _ []string) error {
			terms.Progress = printProgress(cmd)
			rows, err := experiment.Plans(cmd.Context(), terms)
			if err != nil {
				return err
			}
			if output == outputJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(rows)
			}
			experiment.WritePlanRows(cmd.OutOrStdout(), rows)
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&terms.Binary, "gatherer", gathererProgram(), "the gatherer's program")
	flags.DurationVar(&terms.BeforeLoss, "calm", defaultPlansPhase, "length of the calm phase")
	flags.DurationVar(&terms.AfterLoss, "after", defaultPlansPhase, "length of the phase after the loss")
	flags.Float64Var(&terms.Rate, "rate", defaultPlansRate, "parts a second")
	flags.Float64Var(&terms.SmallCapacity, "small", defaultPlansSmallRate,
		"parts a second that the plan counts on from a small machine, which can answer 100")
	flags.IntVar(&terms.Rounds, "rounds", defaultPlansRounds, "how often each variant runs, in turns")
	flags.Uint64Var(&terms.Seed, "seed", 1, "of loads and machines")
	addOutputFlag(cmd, &output)
	return cmd
}
