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

func stewardCommand() *cobra.Command {
	var level string
	var check bool
	cmd := &cobra.Command{Use: "steward FILE", Short: "serve the policies of a fleet, with a few others that agree on them", Args: cobra.ExactArgs(1),
		Example: "  yokeroute steward s1.conf\n  yokeroute steward --check s1.conf",
		RunE: func(cmd *cobra.Command, args []string) error {
			t, err := policyserver.Read(args[0])
			if err != nil {
				return err
			}
			if check {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: steward %s of %d reads well\n", args[0], t.Name, len(t.Peers))
				return nil
			}
			log, err := logger(cmd.ErrOrStderr(), level)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			s, err := policyserver.Open(ctx, t, log)
			if errors.Is(err, context.Canceled) {
				return nil
			}
			if err != nil {
				return err
			}
			return s.Run(ctx)
		}}
	cmd.Flags().StringVar(&level, "log-level", "info", "least level that is logged: debug, info, warning, error")
	cmd.Flags().BoolVar(&check, "check", false, "read the file, say what is wrong with it, and start nothing")
	return cmd
}
