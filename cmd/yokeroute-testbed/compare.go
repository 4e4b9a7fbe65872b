package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"yokeroute/internal/testbed/emulator"
	"yokeroute/internal/testbed/study"
)

const defaultCompareSeeds = 10

var defaultCompareVariants = []string{
	"ours", "random", "turns", "least-out", "two-choices", "hedge-95", "clairvoyant",
}

// compareOptions are the flags of compare.
type compareOptions struct {
	dayOptions
	variants []string
	earlier  []string // NAME=FOLDER
}

func compareCommand() *cobra.Command {
	var options compareOptions
	cmd := &cobra.Command{
		Use:   "compare FILE",
		Short: "compare variants over the same days",
		Args:  cobra.ExactArgs(1),
		Example: "  yokeroute-testbed compare examples/days/farm.conf --seeds 10\n" +
			"  yokeroute-testbed compare examples/days/farm.conf --variants ours --with old=earlier/results",
		RunE: func(cmd *cobra.Command, args []string) error { return options.run(cmd, args[0]) },
	}
	options.addFlags(cmd, defaultCompareSeeds)
	cmd.Flags().StringSliceVar(&options.variants, "variants", defaultCompareVariants,
		"the first is what the others are compared with")
	cmd.Flags().StringArrayVar(&options.earlier, "with", nil,
		"NAME=FOLDER: the recorded run of an earlier build, as a variant of that name")
	return cmd
}

func (o *compareOptions) run(cmd *cobra.Command, file string) error {
	if err := o.check(); err != nil {
		return err
	}
	d, err := readDay(file)
	if err != nil {
		return err
	}
	variants, err := parseVariants(o.variants)
	if err != nil {
		return err
	}
	rows, err := o.play(cmd, o.jobs(d, variants))
	if err != nil {
		return err
	}
	results := &study.Results{
		Kind:      "compare",
		Title:     "Variants on the day " + d.Name,
		Build:     study.Build(),
		Figure:    o.figure,
		Scenarios: map[string]string{d.Name: d.text},
		Rows:      rows,
		Note:      d.offeredLoad(),
	}
	for _, spec := range o.earlier {
		if err := joinEarlier(results, spec); err != nil {
			return err
		}
	}
	if err := results.Compare(); err != nil {
		return err
	}
	return o.finish(cmd, results)
}

// joinEarlier adds the recorded run of an earlier build, given as NAME=FOLDER, as a variant of that name.
func joinEarlier(results *study.Results, spec string) error {
	name, folder, found := strings.Cut(spec, "=")
	if !found {
		return fmt.Errorf("--with %q: write it as NAME=FOLDER", spec)
	}
	earlier, err := study.Load(folder)
	if err != nil {
		return err
	}
	if err := results.Join(earlier, emulator.Ours.Name, name); err != nil {
		return fmt.Errorf("%s: %w", folder, err)
	}
	results.Note += fmt.Sprintf(" %s is %s.", name, earlier.Build)
	return nil
}
