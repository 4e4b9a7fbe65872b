package main

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"yokeroute/internal/testbed/scale"
)

const (
	defaultPolicyServers     = 3
	defaultPolicyChanges     = 10
	defaultPolicyIdleSeconds = 10
)

// scalePoliciesOptions are the flags of scale policies.
type scalePoliciesOptions struct {
	terms     scale.PolicyConfig
	gatherers []int
	idle      float64 // seconds
	fault     string
	output    string
}

func scalePoliciesCommand() *cobra.Command {
	var options scalePoliciesOptions
	cmd := &cobra.Command{
		Use: "policies",
		Short: "stewards as processes and hollow gatherers that follow them: " +
			"at rest, at a start, in changes with a fault",
		Args: cobra.NoArgs,
		Example: "  yokeroute-testbed scale policies --gatherers 100,200 --changes 2 --rest 1\n" +
			"  yokeroute-testbed scale policies --stewards 5 --gatherers 300,900,1800,3600 " +
			"--changes 100 --fault none",
		RunE: func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&options.terms.Binary, "binary", gathererProgram(), "the gatherer's program")
	flags.IntVar(&options.terms.Servers, "stewards", defaultPolicyServers, "that agree")
	flags.IntSliceVar(&options.gatherers, "gatherers", []int{300, 900, 1800, 3600}, "hollow gatherers")
	flags.IntVar(&options.terms.Changes, "changes", defaultPolicyChanges, "in a row")
	flags.Float64Var(&options.idle, "rest", defaultPolicyIdleSeconds,
		"seconds that are measured with nothing to do")
	flags.StringVar(&options.fault, "fault", string(scale.NoFault), "in each change: none, one-killed, one-ended, "+
		"many-killed, leader-killed, leader-stopped, region-cut")
	addOutputFlag(cmd, &options.output)
	return cmd
}

func (o *scalePoliciesOptions) run(cmd *cobra.Command) error {
	faults := make([]string, 0, len(scale.PolicyFaults))
	for _, f := range scale.PolicyFaults {
		faults = append(faults, string(f))
	}
	if err := checkChoices("fault", []string{o.fault}, faults); err != nil {
		return err
	}
	o.terms.Fault = scale.PolicyFault(o.fault)
	o.terms.IdleTime = time.Duration(o.idle * float64(time.Second))
	base, err := os.MkdirTemp("", "yokeroute-testbed-scale-")
	if err != nil {
		return err
	}
	defer removeTemporary(base)
	newFolder := func() (string, error) { return os.MkdirTemp(base, "") }
	figures, err := scale.PolicyFigures(cmd.Context(), o.terms, o.gatherers, newFolder, scaleProgress(cmd))
	if err != nil {
		return err
	}
	return printFigures(cmd.OutOrStdout(), figures, o.output)
}
