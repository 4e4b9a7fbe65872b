package main

import (
	"context"
	"errors"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"yokeroute/internal/control/policyserver"
)

func policyServerCommand() *cobra.Command {
	var level string
	var check bool
	cmd := &cobra.Command{
		Use:     "policy-server FILE",
		Aliases: []string{"steward"},
		Short:   "serve the policies of a fleet, with a few others that replicate them",
		Args:    cobra.ExactArgs(1),
		Example: "  yokeroute policy-server s1.conf\n  yokeroute policy-server --check s1.conf",
		RunE: func(cmd *cobra.Command, args []string) error {
			config, err := policyserver.Read(args[0])
			if err != nil {
				return err
			}
			if check {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: policy server %s of %d reads well\n",
					args[0], config.Name, len(config.Peers))
				return nil
			}
			return runPolicyServer(cmd, config, level)
		},
	}
	addLogLevelFlag(cmd, &level)
	cmd.Flags().BoolVar(&check, "check", false, "read the file, say what is wrong with it, and start nothing")
	return cmd
}

func runPolicyServer(cmd *cobra.Command, config *policyserver.Config, level string) error {
	log, err := newLogger(cmd.ErrOrStderr(), level)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := policyserver.Open(ctx, config, log)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	if err != nil {
		return err
	}
	return s.Run(ctx)
}
