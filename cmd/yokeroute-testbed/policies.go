package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"yokeroute/internal/parallel"
	"yokeroute/internal/stats"
	"yokeroute/internal/testbed/policyfleet"
)

const millisPerSecond = 1000

// policyRow sums up many histories of one fleet. Times are milliseconds.
type policyRow struct {
	Gatherers      int     `json:"Gatherers"`
	Runs           int     `json:"Runs"`
	Violations     int     `json:"Wrong"` // histories in which a change held in part
	Proposed       int     `json:"Proposed"`
	Committed      int     `json:"Decided"`
	Abandoned      int     `json:"GivenUp"`
	CommitP50      float64 `json:"DecideP50"`
	CommitP99      float64 `json:"DecideP99"`
	ApplyP50       float64 `json:"AllP50"`
	ApplyP99       float64 `json:"AllP99"`
	IdlePollRate   float64 `json:"RestAsked"` // polls a second, to the policy server that leads
	ChangePollRate float64 `json:"BusyAsked"`
	IdleByteRate   float64 `json:"RestBytes"` // bytes a second
	ChangeByteRate float64 `json:"BusyBytes"`
	AppliedInTime  float64 `json:"InTime"` // share of the committed changes that held everywhere in time
	FirstViolation string  `json:"First"`
}

// policiesOptions are the flags of policies. Times are seconds.
type policiesOptions struct {
	config          policyfleet.Config
	runs            int
	workers         int
	duration        float64
	lease           float64
	changeTimeout   float64
	applyTimeTarget float64 // within which a change should hold everywhere
	output          string
}

func policiesCommand() *cobra.Command {
	var options policiesOptions
	cmd := &cobra.Command{
		Use:   "policies",
		Short: "play changes of policy over an emulated fleet, and check that none ever holds in part",
		Args:  cobra.NoArgs,
		Example: "  yokeroute-testbed policies --runs 1000 --gatherers 12 --troubles 8 --leads 3 --lookups 8\n" +
			"  yokeroute-testbed policies --runs 4 --gatherers 3000 --away 0.05",
		RunE: func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	options.addFlags(cmd)
	return cmd
}

func (o *policiesOptions) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	c := &o.config
	flags.IntVar(&o.runs, "runs", 100, "histories, each with a seed of its own")
	flags.IntVar(&c.Gatherers, "gatherers", 12, "of the fleet")
	flags.Float64Var(&o.duration, "seconds", 120, "of a history")
	flags.IntVar(&c.Changes, "changes", 6, "proposed in each")
	flags.Float64Var(&o.lease, "lease", 10, "seconds")
	flags.Float64Var(&o.changeTimeout, "limit", 60, "seconds after which a change is given up")
	flags.Float64Var(&c.DownShare, "away", 0, "share of the gatherers that is never there")
	flags.IntVar(&c.Flapping, "flapping", 0, "gatherers that start anew each second")
	flags.Float64Var(&c.RestartsPerDay, "restarts", 0,
		"gatherers of the fleet that are killed and started again, a day")
	flags.Float64Var(&o.applyTimeTarget, "within", 6, "seconds in which a change should hold everywhere")
	flags.Float64Var(&c.Faults, "troubles", 0, "of each gatherer in a history")
	flags.IntVar(&c.Elections, "leads", 0, "times that the stewards' lead moves in a history")
	flags.Float64Var(&c.QueriesPerSecond, "lookups", 0, "a second, of each gatherer")
	flags.StringVar(&c.Without, "without", "", "a piece left out: \"no wire\", \"no settle\", \"no wait\"")
	flags.Uint64Var(&c.Seed, "seed", 1, "the first one")
	flags.IntVar(&o.workers, "workers", 0, "histories played side by side; one a core unless told")
	addOutputFlag(cmd, &o.output)
}

func (o *policiesOptions) run(cmd *cobra.Command) error {
	c := &o.config
	if o.runs < 1 || c.Gatherers < 1 || c.DownShare < 0 || c.DownShare >= 1 {
		return fmt.Errorf("--runs %d, --gatherers %d, --away %g: at least 1, 1 and 0 to under 1 are needed",
			o.runs, c.Gatherers, c.DownShare)
	}
	c.Duration = o.duration * millisPerSecond
	c.Lease = o.lease * millisPerSecond
	c.ChangeTimeout = o.changeTimeout * millisPerSecond
	row := o.play()
	if o.output == outputJSON {
		if err := json.NewEncoder(cmd.OutOrStdout()).Encode(row); err != nil {
			return err
		}
	} else if err := o.print(cmd.OutOrStdout(), row); err != nil {
		return err
	}
	if row.Violations > 0 {
		fmt.Fprintln(cmd.ErrOrStderr(), row.FirstViolation)
		return errNegative
	}
	return nil
}

// play plays histories, each with the seed after the one before.
func (o *policiesOptions) play() *policyRow {
	results := parallel.Map(o.runs, o.workers, func(i int) policyfleet.Result {
		config := o.config
		config.Seed += uint64(i)
		return policyfleet.Play(config)
	})
	row := &policyRow{Gatherers: o.config.Gatherers, Runs: o.runs}
	var commitTimes, applyTimes []float64
	for i := range results {
		r := &results[i]
		row.add(r, o.config.Seed+uint64(i))
		commitTimes = append(commitTimes, r.CommitTimes...)
		applyTimes = append(applyTimes, r.ApplyTimes...)
	}
	for _, applyTime := range applyTimes {
		if applyTime <= o.applyTimeTarget*millisPerSecond {
			row.AppliedInTime += 1 / float64(len(applyTimes))
		}
	}
	row.CommitP50 = stats.Quantile(commitTimes, 0.5)
	row.CommitP99 = stats.Quantile(commitTimes, 0.99)
	row.ApplyP50 = stats.Quantile(applyTimes, 0.5)
	row.ApplyP99 = stats.Quantile(applyTimes, 0.99)
	return row
}

// add counts one history. Rates are means over all.
func (r *policyRow) add(result *policyfleet.Result, seed uint64) {
	if result.Violation != "" {
		if r.Violations == 0 {
			r.FirstViolation = fmt.Sprintf("seed %d: %s", seed, result.Violation)
		}
		r.Violations++
	}
	runs := float64(r.Runs)
	r.Proposed += result.Proposed
	r.Committed += result.Committed
	r.Abandoned += result.Abandoned
	r.IdlePollRate += result.IdlePollRate / runs
	r.ChangePollRate += result.ChangePollRate / runs
	r.IdleByteRate += result.IdleByteRate / runs
	r.ChangeByteRate += result.ChangeByteRate / runs
}

func (o *policiesOptions) print(w io.Writer, r *policyRow) error {
	const bytesPerKilobyte = 1000
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "gatherers\thistories\twrong\tproposed\tdecided\tgiven up\tto decide, p50, p99 s\t"+
		"to hold everywhere\tquestions/s at rest, in a change\tkB/s\twithin %g s\n", o.applyTimeTarget)
	fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%d\t%d\t%.2f, %.2f\t%.2f, %.2f\t%.0f, %.0f\t%.0f, %.0f\t%.3f\n",
		r.Gatherers, r.Runs, r.Violations, r.Proposed, r.Committed, r.Abandoned,
		r.CommitP50/millisPerSecond, r.CommitP99/millisPerSecond,
		r.ApplyP50/millisPerSecond, r.ApplyP99/millisPerSecond,
		r.IdlePollRate, r.ChangePollRate,
		r.IdleByteRate/bytesPerKilobyte, r.ChangeByteRate/bytesPerKilobyte, r.AppliedInTime)
	return table.Flush()
}
