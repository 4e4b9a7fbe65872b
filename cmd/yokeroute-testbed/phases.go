package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"yokeroute/internal/testbed/experiment"
	"yokeroute/internal/testbed/study"
)

const (
	defaultPhasesWarmup     = 4 * time.Second
	defaultPhasesDuration   = 8 * time.Second
	defaultPhaseSearchSeeds = 6
	minPhaseSearchSeeds     = 2
	shownPhaseCases         = 8
)

// phasesOptions are the flags of phases.
type phasesOptions struct {
	terms  experiment.PhaseOptions
	search study.PhaseSearch
	output string
}

func phasesCommand() *cobra.Command {
	var options phasesOptions
	cmd := &cobra.Command{
		Use:   "phases",
		Short: "compare lookups in one phase with lookups that may go in two",
		Args:  cobra.NoArgs,
		Example: "  bin/yokeroute-testbed phases --days calm --prune 0,0.5,0.95\n" +
			"  bin/yokeroute-testbed phases --search 160",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.search.Cases > 0 {
				return options.runSearch(cmd)
			}
			return options.runProcesses(cmd)
		},
	}
	options.addFlags(cmd)
	return cmd
}

func (o *phasesOptions) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&o.terms.Binary, "gatherer", gathererProgram(), "the gatherer's program")
	flags.DurationVar(&o.terms.WarmUp, "warm", defaultPhasesWarmup, "time for learning before anything is measured")
	flags.DurationVar(&o.terms.Duration, "length", defaultPhasesDuration, "time that is measured")
	flags.Float64SliceVar(&o.terms.EmptyShares, "prune", []float64{0, 0.25, 0.5, 0.75, 0.95},
		"shares of segments in which a query finds nothing")
	flags.StringSliceVar(&o.terms.Days, "days", experiment.PhaseDays, "kinds of days")
	flags.IntVar(&o.search.Cases, "search", 0,
		"cases drawn and played by the emulator instead, for the one worst for two phases")
	flags.IntVar(&o.search.Seeds, "seeds", defaultPhaseSearchSeeds, "days of each case of a search")
	flags.Uint64Var(&o.terms.Seed, "seed", 1, "of loads, machines and contents")
	addOutputFlag(cmd, &o.output)
}

// runSearch searches emulated days for the case that is worst for two phases.
func (o *phasesOptions) runSearch(cmd *cobra.Command) error {
	if o.search.Seeds < minPhaseSearchSeeds {
		return fmt.Errorf("--seeds %d: two at least tell anything", o.search.Seeds)
	}
	o.search.Seed = o.terms.Seed
	o.search.Done = showProgressBar(cmd)
	cases, err := o.search.Search(cmd.Context())
	if err != nil {
		return err
	}
	if o.output == outputJSON {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(cases)
	}
	return study.WritePhases(cmd.OutOrStdout(), cases, shownPhaseCases)
}

// runProcesses measures both ways on processes.
func (o *phasesOptions) runProcesses(cmd *cobra.Command) error {
	o.terms.Progress = printProgress(cmd)
	rows, err := experiment.Phases(cmd.Context(), o.terms)
	if err != nil {
		return err
	}
	if o.output == outputJSON {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(rows)
	}
	experiment.WritePhaseRows(cmd.OutOrStdout(), rows)
	return nil
}
