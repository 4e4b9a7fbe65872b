package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"yokeroute/internal/testbed/processtest"
	"yokeroute/internal/testbed/rolloutlive"
	"yokeroute/internal/testbed/rolloutsim"
	"yokeroute/logic/rollout"
)

// strategies are those that may decide over rollouts, by the names that the commands know them by.
var strategies = map[string]rolloutsim.NewStrategy{
	"ours":    nil,
	"plain":   rolloutsim.FixedThresholds,
	"at-once": rolloutsim.AllAtOnce,
}

var strategyNames = []string{"ours", "plain", "at-once"}

// simulationOptions are the flags of the command that runs rollouts in virtual time.
type simulationOptions struct {
	scenario        rolloutsim.Scenario
	intervalSeconds float64
	limitMinutes    float64
	runs, workers   int
	versions        []string
	strategies      []string
	output          string
	searchSamples   int
	searchGood      bool
}

func rolloutsCommand() *cobra.Command {
	var o simulationOptions
	cmd := &cobra.Command{
		Use:   "rollouts",
		Short: "play rollouts of good and bad versions over an emulated fleet, and count what comes of them",
		Args:  cobra.NoArgs,
		Example: "  yokeroute-testbed rollouts --runs 1000\n" +
			"  yokeroute-testbed rollouts --runs 100 --kinds good,tail --judges ours,plain,at-once --gatherers 60\n" +
			"  yokeroute-testbed rollouts --hunt 200",
		RunE: func(cmd *cobra.Command, _ []string) error { return o.run(cmd) },
	}
	o.addFlags(cmd)
	cmd.AddCommand(liveRolloutsCommand())
	return cmd
}

func (o *simulationOptions) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.IntVar(&o.runs, "runs", 100, "rollouts of each kind, each with a seed of its own")
	flags.IntVar(&o.scenario.Gatherers, "gatherers", 300, "of the fleet")
	flags.IntVar(&o.scenario.Zones, "zones", 3, "of the fleet")
	flags.Float64Var(&o.scenario.QueryRate, "rate", 10, "lookups a second that a gatherer gets on average")
	flags.Float64Var(&o.intervalSeconds, "every", 10, "seconds between two looks")
	flags.Float64Var(&o.limitMinutes, "minutes", 120, "after which a rollout is given up")
	flags.Float64Var(&o.scenario.FaultRate, "troubles", 4, "of the fleet's own in ten minutes")
	flags.Uint64Var(&o.scenario.Seed, "seed", 1, "the first one")
	flags.StringSliceVar(&o.versions, "kinds", nil, "of versions; all unless told")
	flags.StringSliceVar(&o.strategies, "judges", []string{"ours"},
		"who decides: ours, plain (fixed waiting, plain thresholds), at-once")
	flags.IntVar(&o.searchSamples, "hunt", 0, "draw so many fleets and bad versions instead, and tell which pass, made small")
	flags.BoolVar(&o.searchGood, "good", false, "with --hunt: draw good versions, and tell which are stopped")
	flags.IntVar(&o.workers, "workers", 0, "rollouts played side by side; one a core unless told")
	addOutputFlag(cmd, &o.output)
}

func (o *simulationOptions) run(cmd *cobra.Command) error {
	if err := o.check(); err != nil {
		return err
	}
	if o.searchSamples > 0 {
		return o.search(cmd)
	}
	o.scenario.Interval = o.intervalSeconds * 1000
	o.scenario.TimeLimit = o.limitMinutes * 60_000
	var summaries []rolloutsim.Summary
	for _, version := range o.versions {
		for _, name := range o.strategies {
			scenario := o.scenario
			scenario.Version = version
			s := rolloutsim.RunMany(scenario, name, strategies[name], o.runs, o.workers)
			summaries = append(summaries, s)
			fmt.Fprintf(cmd.ErrOrStderr(), "%s by %s: %d passed, %d stopped\n", version, name, s.Passed, s.Stopped)
		}
	}
	if o.output == outputJSON {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(summaries)
	}
	return printSummaries(cmd.OutOrStdout(), summaries)
}

// check checks the flags, and fills in all versions.
func (o *simulationOptions) check() error {
	all := append([]string{"good"}, slices.Sorted(maps.Keys(rolloutsim.HarmfulVersions))...)
	if len(o.versions) == 0 {
		o.versions = all
	}
	if err := checkChoices("kinds", o.versions, all); err != nil {
		return err
	}
	if err := checkChoices("judges", o.strategies, strategyNames); err != nil {
		return err
	}
	if o.runs < 1 || o.scenario.Gatherers < 10 || o.scenario.Zones < 1 {
		return fmt.Errorf("--runs %d, --gatherers %d, --zones %d: at least 1, 10 and 1 are needed",
			o.runs, o.scenario.Gatherers, o.scenario.Zones)
	}
	return nil
}

func printSummaries(w io.Writer, summaries []rolloutsim.Summary) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "version\tjudge\trollouts\tpassed\tstopped\topen\tat stage one\tsome\tquarter\thalf\tall"+
		"\tlookups harmed\tof the fleet had it\tminutes")
	for _, s := range summaries {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d", s.Version, s.Strategy, s.Runs, s.Passed, s.Stopped, s.Open)
		for _, stopped := range s.StoppedByStage {
			fmt.Fprintf(table, "\t%d", stopped)
		}
		fmt.Fprintf(table, "\t%.0f\t%.1f%%\t%.1f\n", s.Harmed, 100*s.FoundAtShare, s.MedianMinutes)
	}
	return table.Flush()
}

// search prints scenarios that are misjudged as lines to keep. Status 1: there are some.
func (o *simulationOptions) search(cmd *cobra.Command) error {
	const runsPerSample, confirmingRuns = 4, 20
	found := rolloutsim.FindMisjudged(rolloutsim.Search{
		Good:           o.searchGood,
		Samples:        o.searchSamples,
		RunsPerSample:  runsPerSample,
		ConfirmingRuns: confirmingRuns,
		Workers:        o.workers,
		Seed:           o.scenario.Seed,
		Progress:       func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) },
	})
	for _, m := range found {
		m.Reasons = nil
		if err := json.NewEncoder(cmd.OutOrStdout()).Encode(m); err != nil {
			return err
		}
	}
	if len(found) > 0 {
		return errNegative
	}
	return nil
}

// liveOptions are the flags of the command that runs rollouts over real processes.
type liveOptions struct {
	gatherers, queryRate int
	versions, strategies []string
	seed                 uint64
}

func liveRolloutsCommand() *cobra.Command {
	var o liveOptions
	cmd := &cobra.Command{
		Use:     "live",
		Short:   "play rollouts over real processes on loopback",
		Args:    cobra.NoArgs,
		Example: "  yokeroute-testbed rollouts live --gatherers 40 --kinds good,spins --judges ours,plain,at-once",
		Long: "Builds the gatherer and one with a fault from the module in the current folder, starts a fleet of them under load, " +
			"and changes\nit by each judge in turn. Times and losses are of this machine: compare within one run.",
		RunE: func(cmd *cobra.Command, _ []string) error { return o.run(cmd) },
	}
	cmd.Flags().IntVar(&o.gatherers, "gatherers", 40, "processes")
	cmd.Flags().IntVar(&o.queryRate, "rate", 400, "lookups a second over all of them")
	cmd.Flags().StringSliceVar(&o.versions, "kinds", []string{"good", "spins"}, "of versions: good, dies, leaks, spins")
	cmd.Flags().StringSliceVar(&o.strategies, "judges", []string{"ours"}, "who decides: ours, plain, at-once")
	cmd.Flags().Uint64Var(&o.seed, "seed", 1, "of load and order")
	return cmd
}

func (o *liveOptions) run(cmd *cobra.Command) error {
	if err := checkChoices("kinds", o.versions, []string{"good", "dies", "leaks", "spins"}); err != nil {
		return err
	}
	if err := checkChoices("judges", o.strategies, strategyNames); err != nil {
		return err
	}
	defer processtest.Unbuild()
	table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "version\tjudge\tgatherers\tend\tseconds\tmost new\toperations lost by it\trules\tMB, mean and most\twhy")
	for _, version := range o.versions {
		for _, name := range o.strategies {
			out, err := o.runOne(cmd, version, name)
			if err != nil {
				return err
			}
			rules := "kept"
			if !out.RulesHold {
				rules = "BROKEN"
			}
			fmt.Fprintf(cmd.ErrOrStderr(), "%s by %s: %s after %.0f s\n", version, name, out.Phase, out.Seconds)
			fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%.0f\t%d\t%.0f\t%s\t%.0f, %.0f\t%s\n", version, name, out.Gatherers, out.Phase,
				out.Seconds, out.MaxNew, out.LostByRollout(), rules, out.MemoryMB[0], out.MemoryMB[1], out.Reason)
		}
	}
	return table.Flush()
}

// runOne runs one rollout in a folder of its own.
func (o *liveOptions) runOne(cmd *cobra.Command, version, strategy string) (rolloutlive.Outcome, error) {
	folder, err := os.MkdirTemp("", "yokeroute-testbed-live-")
	if err != nil {
		return rolloutlive.Outcome{}, err
	}
	defer removeTemporary(folder)
	return rolloutlive.Run(cmd.Context(), rolloutlive.Config{
		Gatherers: o.gatherers,
		QueryRate: o.queryRate,
		Version:   version,
		Seed:      o.seed,
		Folder:    folder,
		TimeLimit: 10 * time.Minute,
		Strategy:  liveStrategy(strategies[strategy]),
	})
}

// liveStrategy is a strategy that begins anew; nil stays nil.
func liveStrategy(newStrategy rolloutsim.NewStrategy) func(rollout.Plan, rollout.Position) rollout.Strategy {
	if newStrategy == nil {
		return nil
	}
	return func(p rollout.Plan, _ rollout.Position) rollout.Strategy { return newStrategy(p) }
}
