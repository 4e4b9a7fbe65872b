package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"yokeroute/internal/testbed/processtest"
	"yokeroute/internal/testbed/rolloutlive"
	"yokeroute/internal/testbed/rolloutsim"
	"yokeroute/logic/rollout"
)

// judgeNames are who may decide over emulated and live rollouts.
var judgeNames = []string{"ours", "plain", "at-once"}

// oneOf is an error where a flag's words are not all among the known.
func oneOf(flag string, given, known []string) error {
	for _, word := range given {
		if !slices.Contains(known, word) {
			return fmt.Errorf("--%s %q: is none of %s", flag, word, strings.Join(known, ", "))
		}
	}
	return nil
}

func rolloutsCommand() *cobra.Command {
	terms := rolloutsim.Terms{}
	var runs, workers int
	var interval, length float64
	var kinds, judges []string
	var form string
	var hunt int
	var good bool
	cmd := &cobra.Command{Use: "rollouts", Short: "play rollouts of good and bad versions over an emulated fleet, and count what comes of them", Args: cobra.NoArgs,
		Example: "  yokeroute-testbed rollouts --runs 1000\n  yokeroute-testbed rollouts --runs 100 --kinds good,tail --judges ours,plain,at-once --gatherers 60\n  yokeroute-testbed rollouts --hunt 200",
		RunE: func(cmd *cobra.Command, _ []string) error {
			all := append([]string{"good"}, slices.Sorted(maps.Keys(rolloutsim.Bad))...)
			if len(kinds) == 0 {
				kinds = all
			}
			if err := oneOf("kinds", kinds, all); err != nil {
				return err
			}
			by := map[string]func(p rollout.Plan) rollout.Strategy{"ours": nil, "plain": rolloutsim.Plain, "at-once": rolloutsim.AtOnce}
			if err := oneOf("judges", judges, judgeNames); err != nil {
				return err
			}
			if runs < 1 || terms.Gatherers < 10 || terms.Zones < 1 {
				return fmt.Errorf("--runs %d, --gatherers %d, --zones %d: at least 1, 10 and 1 are needed", runs, terms.Gatherers, terms.Zones)
			}
			if hunt > 0 {
				return huntRollouts(cmd, rolloutsim.HuntTerms{Good: good, Drawn: hunt, Each: 4, Sure: 20, Workers: workers, Seed: terms.Seed})
			}
			terms.Interval, terms.Length = interval*1000, length*60_000
			var rows []rolloutsim.Row
			for _, kind := range kinds {
				for _, j := range judges {
					one := terms
					one.Kind = kind
					row := rolloutsim.Many(one, j, by[j], runs, workers)
					rows = append(rows, row)
					fmt.Fprintf(cmd.ErrOrStderr(), "%s by %s: %d passed, %d stopped\n", kind, j, row.Passed, row.Stopped)
				}
			}
			if form == "json" {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(rows)
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "version\tjudge\trollouts\tpassed\tstopped\topen\tat stage one\tsome\tquarter\thalf\tall\tlookups harmed\tof the fleet had it\tminutes")
			for _, r := range rows {
				fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.1f%%\t%.1f\n", r.Kind, r.Judge, r.Runs, r.Passed, r.Stopped, r.Open, r.ByStage[0], r.ByStage[1], r.ByStage[2], r.ByStage[3], r.ByStage[4], r.Harmed, 100*r.Found, r.Time)
			}
			return t.Flush()
		}}
	cmd.AddCommand(liveRollouts())
	cmd.Flags().IntVar(&runs, "runs", 100, "rollouts of each kind, each with a seed of its own")
	cmd.Flags().IntVar(&terms.Gatherers, "gatherers", 300, "of the fleet")
	cmd.Flags().IntVar(&terms.Zones, "zones", 3, "of the fleet")
	cmd.Flags().Float64Var(&terms.Rate, "rate", 10, "lookups a second that a gatherer gets on average")
	cmd.Flags().Float64Var(&interval, "every", 10, "seconds between two looks")
	cmd.Flags().Float64Var(&length, "minutes", 120, "after which a rollout is given up")
	cmd.Flags().Float64Var(&terms.Troubles, "troubles", 4, "of the fleet's own in ten minutes")
	cmd.Flags().Uint64Var(&terms.Seed, "seed", 1, "the first one")
	cmd.Flags().StringSliceVar(&kinds, "kinds", nil, "of versions; all unless told")
	cmd.Flags().StringSliceVar(&judges, "judges", []string{"ours"}, "who decides: ours, plain (fixed waiting, plain thresholds), at-once")
	cmd.Flags().IntVar(&hunt, "hunt", 0, "draw so many fleets and bad versions instead, and tell which pass, made small")
	cmd.Flags().BoolVar(&good, "good", false, "with --hunt: draw good versions, and tell which are stopped")
	cmd.Flags().IntVar(&workers, "workers", 0, "rollouts played side by side; one a core unless told")
	cmd.Flags().StringVarP(&form, "output", "o", "text", "form of the answer: text or json")
	return cmd
}

// huntRollouts searches, and prints what was found as lines to keep. Status 1: something was.
func huntRollouts(cmd *cobra.Command, h rolloutsim.HuntTerms) error {
	h.Seen = func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) }
	found := rolloutsim.Hunt(h)
	for _, w := range found {
		w.Why = nil
		if err := json.NewEncoder(cmd.OutOrStdout()).Encode(w); err != nil {
			return err
		}
	}
	if len(found) > 0 {
		return errNegative
	}
	return nil
}

// liveRollouts plays rollouts over real processes.
func liveRollouts() *cobra.Command {
	var gatherers, rate int
	var kinds, judges []string
	var seed uint64
	cmd := &cobra.Command{Use: "live", Short: "play rollouts over real processes on loopback", Args: cobra.NoArgs,
		Example: "  yokeroute-testbed rollouts live --gatherers 40 --kinds good,spins --judges ours,plain,at-once",
		Long:    "Builds the gatherer and one with a fault from the module in the current folder, starts a fleet of them under load, and changes\nit by each judge in turn. Times and losses are of this machine: compare within one run.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := oneOf("kinds", kinds, []string{"good", "dies", "leaks", "spins"}); err != nil {
				return err
			}
			by := map[string]func(p rollout.Plan, at rollout.Position) rollout.Strategy{"ours": nil,
				"plain":   func(p rollout.Plan, _ rollout.Position) rollout.Strategy { return rolloutsim.Plain(p) },
				"at-once": func(p rollout.Plan, _ rollout.Position) rollout.Strategy { return rolloutsim.AtOnce(p) }}
			if err := oneOf("judges", judges, judgeNames); err != nil {
				return err
			}
			defer processtest.Unbuild()
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "version\tjudge\tgatherers\tend\tseconds\tmost new\toperations lost by it\trules\tMB, mean and most\twhy")
			for _, k := range kinds {
				for _, j := range judges {
					folder, err := os.MkdirTemp("", "yokeroute-testbed-live-")
					if err != nil {
						return err
					}
					o, err := rolloutlive.Play(cmd.Context(), rolloutlive.Terms{Gatherers: gatherers, Rate: rate, Kind: k, Seed: seed, Folder: folder, Limit: 10 * time.Minute, Judge: by[j]})
					os.RemoveAll(folder)
					if err != nil {
						return err
					}
					kept := "kept"
					if !o.Kept {
						kept = "BROKEN"
					}
					fmt.Fprintf(cmd.ErrOrStderr(), "%s by %s: %s after %.0f s\n", k, j, o.Phase, o.Took)
					fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%.0f\t%d\t%.0f\t%s\t%.0f, %.0f\t%s\n", k, j, o.Gatherers, o.Phase, o.Took, o.MostNew, o.Harmed(), kept, o.Memory[0], o.Memory[1], o.Why)
				}
			}
			return w.Flush()
		}}
	cmd.Flags().IntVar(&gatherers, "gatherers", 40, "processes")
	cmd.Flags().IntVar(&rate, "rate", 400, "lookups a second over all of them")
	cmd.Flags().StringSliceVar(&kinds, "kinds", []string{"good", "spins"}, "of versions: good, dies, leaks, spins")
	cmd.Flags().StringSliceVar(&judges, "judges", []string{"ours"}, "who decides: ours, plain, at-once")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "of load and order")
	return cmd
}
