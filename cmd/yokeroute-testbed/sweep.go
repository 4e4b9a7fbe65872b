package main

import (
	"errors"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"yokeroute/internal/testbed/emulator"
	"yokeroute/internal/testbed/study"
)

const defaultSweepSeeds = 5

// sweepOptions are the flags of sweep.
type sweepOptions struct {
	dayOptions
	variants []string
	over     string // a directive and its option
	values   []string
}

func sweepCommand() *cobra.Command {
	var options sweepOptions
	cmd := &cobra.Command{
		Use:   "sweep FILE",
		Short: "play a scenario over the values of one option",
		Args:  cobra.ExactArgs(1),
		Example: "  yokeroute-testbed sweep examples/days/farm.conf --over 'clients rate' " +
			"--values 15/s,25/s,35/s,45/s",
		RunE: func(cmd *cobra.Command, args []string) error { return options.run(cmd, args[0]) },
	}
	options.addFlags(cmd, defaultSweepSeeds)
	cmd.Flags().StringSliceVar(&options.variants, "variants", []string{"ours", "two-choices", "clairvoyant"},
		"whose decisions")
	cmd.Flags().StringVar(&options.over, "over", "", "the directive and its option, such as 'clients rate'")
	cmd.Flags().StringSliceVar(&options.values, "values", nil, "what it goes over")
	return cmd
}

func (o *sweepOptions) run(cmd *cobra.Command, file string) error {
	if err := o.check(); err != nil {
		return err
	}
	d, err := readDay(file)
	if err != nil {
		return err
	}
	directive, option, err := o.sweptOption()
	if err != nil {
		return err
	}
	variants, err := parseVariants(o.variants)
	if err != nil {
		return err
	}
	results := &study.Results{
		Kind:      "sweep",
		Title:     fmt.Sprintf("The day %s over %s", d.Name, o.over),
		Build:     study.Build(),
		Figure:    o.figure,
		Scenarios: map[string]string{},
	}
	var jobs []study.Job
	for _, value := range o.values {
		text := study.Set(d.text, directive, option, value)
		name := option + " " + value
		if _, err := emulator.Parse(name, text); err != nil {
			return err
		}
		results.Scenarios[name] = text
		jobs = append(jobs, o.jobsOf(study.Job{Scenario: name, Value: name, Text: text}, d.Seed, variants)...)
	}
	if results.Rows, err = o.play(cmd, jobs); err != nil {
		return err
	}
	if err := results.Compare(); err != nil {
		return err
	}
	return o.finish(cmd, results)
}

// sweptOption splits --over into a directive, which may have arguments, and the option behind it.
func (o *sweepOptions) sweptOption() (directive, option string, err error) {
	words := strings.Fields(o.over)
	if len(words) < 2 || len(o.values) == 0 {
		return "", "", errors.New("--over wants a directive and an option, such as 'clients rate' or " +
			"'index find work', and --values what it goes over")
	}
	last := len(words) - 1
	return strings.Join(words[:last], " "), words[last], nil
}
