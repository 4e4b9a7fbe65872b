package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"yokeroute/internal/rulecheck"
	"yokeroute/internal/testbed/emulator"
	"yokeroute/internal/testbed/study"
)

// runOptions are the flags of run.
type runOptions struct {
	dayOptions
	variant string
	trace   string // file
}

func runCommand() *cobra.Command {
	var options runOptions
	cmd := &cobra.Command{
		Use:   "run FILE",
		Short: "play a scenario",
		Args:  cobra.ExactArgs(1),
		Example: "  yokeroute-testbed run examples/days/farm.conf --seeds 3\n" +
			"  yokeroute-testbed run examples/days/farm.conf --trace day.trace",
		RunE: func(cmd *cobra.Command, args []string) error { return options.run(cmd, args[0]) },
	}
	options.addFlags(cmd, 1)
	cmd.Flags().StringVar(&options.variant, "variant", emulator.Ours.Name, "whose decisions: ours, or a baseline")
	cmd.Flags().StringVar(&options.trace, "trace", "",
		"file for a trace of the first day, which yokeroute-testbed replay checks")
	return cmd
}

func (o *runOptions) run(cmd *cobra.Command, file string) error {
	if err := o.check(); err != nil {
		return err
	}
	d, err := readDay(file)
	if err != nil {
		return err
	}
	variant, err := emulator.VariantOf(o.variant)
	if err != nil {
		return err
	}
	if o.trace != "" {
		if err := recordTrace(d.Scenario, variant, max(o.firstSeed, d.Seed), o.trace); err != nil {
			return err
		}
	}
	rows, err := o.play(cmd, o.jobs(d, []emulator.Variant{variant}))
	if err != nil {
		return err
	}
	results := &study.Results{
		Kind:      "run",
		Title:     "The day " + d.Name,
		Build:     study.Build(),
		Figure:    o.figure,
		Scenarios: map[string]string{d.Name: d.text},
		Rows:      rows,
		Note:      d.offeredLoad(),
	}
	if err := o.finish(cmd, results); err != nil {
		return err
	}
	isOwnDay := o.variant == emulator.Ours.Name && o.firstSeed == 0 && o.seeds == 1
	if !isOwnDay { // what a file expects holds for its own seed
		return nil
	}
	if missed := rows[0].Result.Short(d.Scenario); len(missed) > 0 {
		fmt.Fprintln(cmd.OutOrStdout(), strings.Join(missed, "\n"))
		return errNegative
	}
	return nil
}

// recordTrace plays a day once and writes its trace.
func recordTrace(scenario *emulator.Scenario, v emulator.Variant, seed uint64, file string) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	startTrace := func(h rulecheck.Header) (func(rulecheck.Event), func(float64, string) error) {
		w := rulecheck.NewWriter(f, h)
		return w.Write, w.Close
	}
	_, err = emulator.Run(scenario, emulator.Options{Seed: seed, Variant: v, Unruled: true, Trace: startTrace})
	return errors.Join(err, f.Close())
}
