package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"yokeroute/internal/parallel"
	"yokeroute/internal/stats"
	"yokeroute/internal/testbed/policyfleet"
)

// policyRow is many histories of one fleet.
type policyRow struct {
	Gatherers, Runs                      int
	Wrong                                int
	Proposed, Decided, GivenUp           int
	DecideP50, DecideP99, AllP50, AllP99 float64 // milliseconds
	RestAsked, BusyAsked                 float64 // questions a second, to the steward that leads
	RestBytes, BusyBytes                 float64
	InTime                               float64 // share of the decided changes that held everywhere within the time asked for
	First                                string  // what was wrong
}

func policiesCommand() *cobra.Command {
	terms := policyfleet.Config{}
	var count, workers int
	var seconds, lease, limit, within float64
	var form string
	cmd := &cobra.Command{Use: "policies", Short: "play changes of policy over an emulated fleet, and check that none ever holds in part", Args: cobra.NoArgs,
		Example: "  yokeroute-testbed policies --runs 1000 --gatherers 12 --troubles 8 --leads 3 --lookups 8\n  yokeroute-testbed policies --runs 4 --gatherers 3000 --away 0.05",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if count < 1 || terms.Gatherers < 1 || terms.DownShare < 0 || terms.DownShare >= 1 {
				return fmt.Errorf("--runs %d, --gatherers %d, --away %g: at least 1, 1 and 0 to under 1 are needed", count, terms.Gatherers, terms.DownShare)
			}
			terms.Duration, terms.Lease, terms.ChangeTimeout = seconds*1000, lease*1000, limit*1000
			row := manyPolicies(terms, count, workers, within*1000)
			if form == "json" {
				if err := json.NewEncoder(cmd.OutOrStdout()).Encode(row); err != nil {
					return err
				}
			} else {
				t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
				fmt.Fprintf(t, "gatherers\thistories\twrong\tproposed\tdecided\tgiven up\tto decide, p50, p99 s\tto hold everywhere\tquestions/s at rest, in a change\tkB/s\twithin %g s\n", within)
				fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%d\t%.2f, %.2f\t%.2f, %.2f\t%.0f, %.0f\t%.0f, %.0f\t%.3f\n", row.Gatherers, row.Runs, row.Wrong, row.Proposed, row.Decided, row.GivenUp, row.DecideP50/1000, row.DecideP99/1000, row.AllP50/1000, row.AllP99/1000,
					row.RestAsked, row.BusyAsked, row.RestBytes/1000, row.BusyBytes/1000, row.InTime)
				if err := t.Flush(); err != nil {
					return err
				}
			}
			if row.Wrong > 0 {
				fmt.Fprintln(cmd.ErrOrStderr(), row.First)
				return errNegative
			}
			return nil
		}}
	cmd.Flags().IntVar(&count, "runs", 100, "histories, each with a seed of its own")
	cmd.Flags().IntVar(&terms.Gatherers, "gatherers", 12, "of the fleet")
	cmd.Flags().Float64Var(&seconds, "seconds", 120, "of a history")
	cmd.Flags().IntVar(&terms.Changes, "changes", 6, "proposed in each")
	cmd.Flags().Float64Var(&lease, "lease", 10, "seconds")
	cmd.Flags().Float64Var(&limit, "limit", 60, "seconds after which a change is given up")
	cmd.Flags().Float64Var(&terms.DownShare, "away", 0, "share of the gatherers that is never there")
	cmd.Flags().IntVar(&terms.Flapping, "flapping", 0, "gatherers that start anew each second")
	cmd.Flags().Float64Var(&terms.RestartsPerDay, "restarts", 0, "gatherers of the fleet that are killed and started again, a day")
	cmd.Flags().Float64Var(&within, "within", 6, "seconds in which a change should hold everywhere")
	cmd.Flags().Float64Var(&terms.Faults, "troubles", 0, "of each gatherer in a history")
	cmd.Flags().IntVar(&terms.Elections, "leads", 0, "times that the stewards' lead moves in a history")
	cmd.Flags().Float64Var(&terms.QueriesPerSecond, "lookups", 0, "a second, of each gatherer")
	cmd.Flags().StringVar(&terms.Without, "without", "", "a piece left out: \"no wire\", \"no settle\", \"no wait\"")
	cmd.Flags().Uint64Var(&terms.Seed, "seed", 1, "the first one")
	cmd.Flags().IntVar(&workers, "workers", 0, "histories played side by side; one a core unless told")
	cmd.Flags().StringVarP(&form, "output", "o", "text", "form of the answer: text or json")
	return cmd
}

// manyPolicies plays histories with the seeds from one on.
func manyPolicies(t policyfleet.Config, count, workers int, within float64) policyRow {
	outs := parallel.Map(count, workers, func(i int) policyfleet.Result {
		one := t
		one.Seed += uint64(i)
		return policyfleet.Play(one)
	})
	row := policyRow{Gatherers: t.Gatherers, Runs: count}
	var decide, all []float64
	for i, o := range outs {
		if o.Violation != "" {
			if row.Wrong++; row.First == "" {
				row.First = fmt.Sprintf("seed %d: %s", t.Seed+uint64(i), o.Violation)
			}
		}
		row.Proposed, row.Decided, row.GivenUp = row.Proposed+o.Proposed, row.Decided+o.Committed, row.GivenUp+o.Abandoned
		decide, all = append(decide, o.CommitTimes...), append(all, o.ApplyTimes...)
		n := float64(count)
		row.RestAsked, row.BusyAsked = row.RestAsked+o.IdlePollRate/n, row.BusyAsked+o.ChangePollRate/n
		row.RestBytes, row.BusyBytes = row.RestBytes+o.IdleByteRate/n, row.BusyBytes+o.ChangeByteRate/n
	}
	for _, took := range all {
		if took <= within {
			row.InTime += 1 / float64(len(all))
		}
	}
	row.DecideP50, row.DecideP99, row.AllP50, row.AllP99 = stats.Quantile(decide, 0.5), stats.Quantile(decide, 0.99), stats.Quantile(all, 0.5), stats.Quantile(all, 0.99)
	return row
}
