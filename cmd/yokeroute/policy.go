package main

import (
	"errors"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"yokeroute/internal/config/policyfile"
	"yokeroute/internal/control/policyclient"
	"yokeroute/logic/policy"
)

const defaultAwaitTimeout = 5 * time.Minute

// policyOptions are the flags of the policy commands.
type policyOptions struct {
	client  policyclient.Client
	output  string
	reason  string
	wait    bool
	timeout time.Duration // of wait
}

func policyCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "policy", Short: "change what a whole fleet may do, everywhere or nowhere"}
	o := &policyOptions{}
	flags := cmd.PersistentFlags()
	flags.StringSliceVar(&o.client.Servers, "policy-server", nil, "address of a policy server, of each that may lead")
	deprecateFlag(flags, "steward", "policy-server")
	cmd.AddCommand(policyCheckCommand())
	for _, sub := range []*cobra.Command{
		o.diffCommand(),
		o.proposeCommand(),
		o.revertCommand(),
		o.statusCommand(),
		o.historyCommand(),
		o.forgetCommand(),
		o.serverCommand(),
	} {
		o.connect(sub)
		cmd.AddCommand(sub)
	}
	return cmd
}

// deprecateFlag keeps an old name of a flag. It sets the same value, and says on standard error which name to use.
func deprecateFlag(flags *pflag.FlagSet, oldName, newName string) {
	alias := *flags.Lookup(newName)
	alias.Name = oldName
	flags.AddFlag(&alias)
	if err := flags.MarkDeprecated(oldName, "use --"+newName); err != nil {
		panic(err) // the flag was added above
	}
}

// connect makes a command check that it has the addresses of policy servers, and end on a signal.
func (o *policyOptions) connect(cmd *cobra.Command) {
	run := cmd.RunE
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		offline := cmd.Name() == "diff" && len(args) == 2
		if len(o.client.Servers) == 0 && !offline {
			return errors.New("--policy-server ADDRESS is needed, once for each policy server")
		}
		ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		cmd.SetContext(ctx)
		return run(cmd, args)
	}
}

func policyCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "read a policy file and say what is wrong with it",
		Args:    cobra.ExactArgs(1),
		Example: "  yokeroute policy check policy.conf",
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := policyfile.Read(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %d entries, reads well\n", args[0], len(p))
			return nil
		},
	}
}

func (o *policyOptions) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE [FILE]",
		Short: "say what a change means: from what is in force, or from the first file to the second",
		Args:  cobra.RangeArgs(1, 2),
		Example: "  yokeroute policy diff --policy-server 127.0.0.1:8700 policy.conf\n" +
			"  yokeroute policy diff old.conf new.conf",
		RunE: func(cmd *cobra.Command, args []string) error {
			to, err := policyfile.Read(args[len(args)-1])
			if err != nil {
				return err
			}
			from, err := o.diffBase(cmd, args)
			if err != nil {
				return err
			}
			differences := policy.Diff(from, to)
			for _, d := range differences {
				fmt.Fprintln(cmd.OutOrStdout(), formatDifference(d))
			}
			if len(differences) == 0 {
				fmt.Fprintln(cmd.OutOrStdout(), "no difference")
			}
			return nil
		},
	}
}

// diffBase returns the policy of the first of two files, or else the committed policy.
func (o *policyOptions) diffBase(cmd *cobra.Command, args []string) (policy.Policy, error) {
	if len(args) == 2 {
		return policyfile.Read(args[0])
	}
	s, err := o.client.Status(cmd.Context())
	if err != nil {
		return nil, err
	}
	return s.Record.Policy, nil
}

func (o *policyOptions) forgetCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "forget GATHERER",
		Short:   "strike a gatherer that will never come back",
		Args:    cobra.ExactArgs(1),
		Example: "  yokeroute policy forget --policy-server 127.0.0.1:8700 g17",
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.client.Forget(cmd.Context(), args[0])
		},
	}
}

func (o *policyOptions) serverCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "server add|remove NAME",
		Aliases: []string{"steward"},
		Short:   "add a policy server to the quorum, or remove it",
		Args:    cobra.ExactArgs(2),
		Example: "  yokeroute policy server --policy-server 127.0.0.1:8700 add s4",
		RunE: func(cmd *cobra.Command, args []string) error {
			switch args[0] {
			case "add":
				return o.client.AddServer(cmd.Context(), args[1])
			case "remove":
				return o.client.RemoveServer(cmd.Context(), args[1])
			}
			return fmt.Errorf("%q is neither add nor remove", args[0])
		},
	}
}

func formatDifference(d policy.Difference) string {
	if d.Tightens {
		return "tighter  " + d.Text
	}
	return "looser   " + d.Text
}
