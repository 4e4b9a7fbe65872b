package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"yokeroute/internal/control/rollout/emulated"
	"yokeroute/internal/control/rollout/live"
	"yokeroute/internal/testbed/processtest"
	"yokeroute/logic/rollout"
)

const (
	liveTimeout          = 10 * time.Minute // of one rollout
	defaultLiveGatherers = 40
	defaultLiveRate      = 400 // queries a second
)

// liveStrategies makes the strategies by name; nil stands for the product's own.
var liveStrategies = map[string]func(rollout.Plan, rollout.Position) rollout.Strategy{
	strategyOurs:   nil,
	strategyPlain:  func(p rollout.Plan, _ rollout.Position) rollout.Strategy { return emulated.Plain(p) },
	strategyAtOnce: func(p rollout.Plan, _ rollout.Position) rollout.Strategy { return emulated.AtOnce(p) },
}

// liveRolloutsOptions are the flags of rollouts live.
type liveRolloutsOptions struct {
	gatherers  int
	rate       int
	kinds      []string
	strategies []string
	seed       uint64
}

func liveRolloutsCommand() *cobra.Command {
	var options liveRolloutsOptions
	cmd := &cobra.Command{
		Use:     "live",
		Short:   "play rollouts over real processes on loopback",
		Args:    cobra.NoArgs,
		Example: "  yokeroute-testbed rollouts live --gatherers 40 --kinds good,spins --judges ours,plain,at-once",
		Long: "Builds the gatherer and one with a fault from the module in the current folder, starts a fleet of them " +
			"under load, and changes\nit by each judge in turn. Times and losses are of this machine: " +
			"compare within one run.",
		RunE: func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	flags := cmd.Flags()
	flags.IntVar(&options.gatherers, "gatherers", defaultLiveGatherers, "processes")
	flags.IntVar(&options.rate, "rate", defaultLiveRate, "lookups a second over all of them")
	flags.StringSliceVar(&options.kinds, "kinds", []string{goodVersion, "spins"},
		"of versions: good, dies, leaks, spins")
	flags.StringSliceVar(&options.strategies, "judges", []string{strategyOurs}, "who decides: ours, plain, at-once")
	flags.Uint64Var(&options.seed, "seed", 1, "of load and order")
	return cmd
}

func (o *liveRolloutsOptions) run(cmd *cobra.Command) error {
	if err := checkChoices("kinds", o.kinds, []string{goodVersion, "dies", "leaks", "spins"}); err != nil {
		return err
	}
	if err := checkChoices("judges", o.strategies, strategyNames); err != nil {
		return err
	}
	defer processtest.Unbuild()
	table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "version\tjudge\tgatherers\tend\tseconds\tmost new\toperations lost by it\trules\t"+
		"MB, mean and most\twhy")
	for _, kind := range o.kinds {
		for _, strategy := range o.strategies {
			outcome, err := o.play(cmd, kind, strategy)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.ErrOrStderr(), "%s by %s: %s after %.0f s\n", kind, strategy, outcome.Phase, outcome.Took)
			printLiveRollout(table, kind, strategy, outcome)
		}
	}
	return table.Flush()
}

// play plays one rollout of a kind of version under a strategy.
func (o *liveRolloutsOptions) play(cmd *cobra.Command, kind, strategy string) (live.Outcome, error) {
	folder, err := os.MkdirTemp("", "yokeroute-testbed-live-")
	if err != nil {
		return live.Outcome{}, err
	}
	defer removeTemporary(folder)
	return live.Play(cmd.Context(), live.Terms{
		Gatherers: o.gatherers,
		Rate:      o.rate,
		Kind:      kind,
		Seed:      o.seed,
		Folder:    folder,
		Limit:     liveTimeout,
		Judge:     liveStrategies[strategy],
	})
}

func printLiveRollout(w io.Writer, kind, strategy string, o live.Outcome) {
	rules := "kept"
	if !o.Kept {
		rules = "BROKEN"
	}
	fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%.0f\t%d\t%.0f\t%s\t%.0f, %.0f\t%s\n", kind, strategy, o.Gatherers, o.Phase,
		o.Took, o.MostNew, o.Harmed(), rules, o.Memory[0], o.Memory[1], o.Why)
}
