package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"yokeroute/internal/control/rollout/emulated"
	"yokeroute/logic/rollout"
)

// Strategies that may decide over emulated and real rollouts.
const (
	strategyOurs   = "ours"
	strategyPlain  = "plain"
	strategyAtOnce = "at-once"
)

var strategyNames = []string{strategyOurs, strategyPlain, strategyAtOnce}

// emulatedStrategies makes the strategies by name; nil stands for the product's own.
var emulatedStrategies = map[string]func(rollout.Plan) rollout.Strategy{
	strategyOurs:   nil,
	strategyPlain:  emulated.Plain,
	strategyAtOnce: emulated.AtOnce,
}

const (
	goodVersion = "good" // the version without a fault

	millisPerMinute = 60_000
	minGatherers    = 10

	huntRolloutsEach = 4  // rollouts of each case that is drawn
	huntRolloutsSure = 20 // rollouts that confirm a case
)

// rolloutsOptions are the flags of rollouts.
type rolloutsOptions struct {
	terms      emulated.Terms
	runs       int
	workers    int
	interval   float64 // seconds
	duration   float64 // minutes
	kinds      []string
	strategies []string
	output     string
	hunt       int // cases to draw; 0 for no search
	huntGood   bool
}

func rolloutsCommand() *cobra.Command {
	var options rolloutsOptions
	cmd := &cobra.Command{
		Use:   "rollouts",
		Short: "play rollouts of good and bad versions over an emulated fleet, and count what comes of them",
		Args:  cobra.NoArgs,
		Example: "  yokeroute-testbed rollouts --runs 1000\n" +
			"  yokeroute-testbed rollouts --runs 100 --kinds good,tail --judges ours,plain,at-once --gatherers 60\n" +
			"  yokeroute-testbed rollouts --hunt 200",
		RunE: func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	cmd.AddCommand(liveRolloutsCommand())
	options.addFlags(cmd)
	return cmd
}

func (o *rolloutsOptions) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.IntVar(&o.runs, "runs", 100, "rollouts of each kind, each with a seed of its own")
	flags.IntVar(&o.terms.Gatherers, "gatherers", 300, "of the fleet")
	flags.IntVar(&o.terms.Zones, "zones", 3, "of the fleet")
	flags.Float64Var(&o.terms.Rate, "rate", 10, "lookups a second that a gatherer gets on average")
	flags.Float64Var(&o.interval, "every", 10, "seconds between two looks")
	flags.Float64Var(&o.duration, "minutes", 120, "after which a rollout is given up")
	flags.Float64Var(&o.terms.Troubles, "troubles", 4, "of the fleet's own in ten minutes")
	flags.Uint64Var(&o.terms.Seed, "seed", 1, "the first one")
	flags.StringSliceVar(&o.kinds, "kinds", nil, "of versions; all unless told")
	flags.StringSliceVar(&o.strategies, "judges", []string{strategyOurs},
		"who decides: ours, plain (fixed waiting, plain thresholds), at-once")
	flags.IntVar(&o.hunt, "hunt", 0,
		"draw so many fleets and bad versions instead, and tell which pass, made small")
	flags.BoolVar(&o.huntGood, "good", false, "with --hunt: draw good versions, and tell which are stopped")
	flags.IntVar(&o.workers, "workers", 0, "rollouts played side by side; one a core unless told")
	addOutputFlag(cmd, &o.output)
}

func (o *rolloutsOptions) run(cmd *cobra.Command) error {
	allKinds := append([]string{goodVersion}, slices.Sorted(maps.Keys(emulated.Bad))...)
	if len(o.kinds) == 0 {
		o.kinds = allKinds
	}
	if err := checkChoices("kinds", o.kinds, allKinds); err != nil {
		return err
	}
	if err := checkChoices("judges", o.strategies, strategyNames); err != nil {
		return err
	}
	if o.runs < 1 || o.terms.Gatherers < minGatherers || o.terms.Zones < 1 {
		return fmt.Errorf("--runs %d, --gatherers %d, --zones %d: at least 1, %d and 1 are needed",
			o.runs, o.terms.Gatherers, o.terms.Zones, minGatherers)
	}
	if o.hunt > 0 {
		return o.runHunt(cmd)
	}
	rows := o.play(cmd)
	if o.output == outputJSON {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(rows)
	}
	return printRollouts(cmd.OutOrStdout(), rows)
}

// play plays the rollouts of each kind of version under each strategy.
func (o *rolloutsOptions) play(cmd *cobra.Command) []emulated.Row {
	var rows []emulated.Row
	for _, kind := range o.kinds {
		for _, name := range o.strategies {
			terms := o.terms
			terms.Kind = kind
			terms.Interval = o.interval * millisPerSecond
			terms.Length = o.duration * millisPerMinute
			row := emulated.Many(terms, name, emulatedStrategies[name], o.runs, o.workers)
			rows = append(rows, row)
			fmt.Fprintf(cmd.ErrOrStderr(), "%s by %s: %d passed, %d stopped\n", kind, name, row.Passed, row.Stopped)
		}
	}
	return rows
}

func printRollouts(w io.Writer, rows []emulated.Row) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "version\tjudge\trollouts\tpassed\tstopped\topen\tat stage one\tsome\tquarter\thalf\tall\t"+
		"lookups harmed\tof the fleet had it\tminutes")
	for i := range rows {
		r := &rows[i]
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d", r.Kind, r.Judge, r.Runs, r.Passed, r.Stopped, r.Open)
		for _, stopped := range r.ByStage {
			fmt.Fprintf(table, "\t%d", stopped)
		}
		fmt.Fprintf(table, "\t%.0f\t%.1f%%\t%.1f\n", r.Harmed, 100*r.Found, r.Time)
	}
	return table.Flush()
}

// runHunt searches for versions that are decided wrongly, and prints each case on a line. A case is a negative
// answer.
func (o *rolloutsOptions) runHunt(cmd *cobra.Command) error {
	found := emulated.Hunt(emulated.HuntTerms{
		Good:    o.huntGood,
		Drawn:   o.hunt,
		Each:    huntRolloutsEach,
		Sure:    huntRolloutsSure,
		Workers: o.workers,
		Seed:    o.terms.Seed,
		Seen:    printProgress(cmd),
	})
	for _, c := range found {
		c.Why = nil
		if err := json.NewEncoder(cmd.OutOrStdout()).Encode(c); err != nil {
			return err
		}
	}
	if len(found) > 0 {
		return errNegative
	}
	return nil
}
