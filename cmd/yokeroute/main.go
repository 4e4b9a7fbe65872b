// Command yokeroute is the gatherer on sockets, and its operators' commands.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"

	"github.com/spf13/cobra"

	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
	"yokeroute/internal/version"
)

// errNegative is an answer that is clear and not what was hoped for: no plan fits, a limit is not kept. The command
// has done its work and has said so on standard output; its exit status is 1, that of bad use or input 2.
var errNegative = errors.New("no")

func main() {
	switch err := command().Execute(); {
	case errors.Is(err, errNegative):
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "yokeroute:", err)
		os.Exit(2)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "yokeroute", Short: "a gatherer of answers from many shards",
		SilenceUsage: true, SilenceErrors: true}
	var file, operators, level string
	serve := &cobra.Command{Use: "serve", Short: "serve lookups until SIGTERM; SIGHUP rereads the configuration", Args: cobra.NoArgs,
		Example: "  yokeroute serve --config config.json --operator deploy/yokeroute.conf",
		RunE: func(cmd *cobra.Command, _ []string) error {
			load := func() (*platform.Config, error) { return platform.Load(file, os.Getenv) }
			return run(cmd.Context(), load, operators, level, cmd.ErrOrStderr())
		}}
	serve.Flags().StringVar(&level, "log-level", "info", "least level that is logged: debug, info, warning, error")
	check := &cobra.Command{Use: "check-config", Short: "read the configuration and say what is wrong with it",
		Example: "  yokeroute check-config --config config.json --operator deploy/yokeroute.conf",
		Args:    cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			own, err := operator.Read(operators)
			if err != nil {
				return err
			}
			if err := checkPlans(own); err != nil {
				return err
			}
			if file == "" && operators != "" {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: reads well\n", operators)
				return nil
			}
			c, err := platform.Load(file, os.Getenv)
			if err != nil {
				return err
			}
			if _, err := own.TwoPhaseSettings(c.Settings); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: listens on %s, discovery at %s, %d indexes\n", c.Name, c.Listen,
				c.Discovery, len(c.Settings.ClassNames()))
			return nil
		}}
	for _, sub := range []*cobra.Command{serve, check} {
		sub.Flags().StringVar(&file, "config", os.Getenv("NODE_CONFIG"), "configuration file; the default is $NODE_CONFIG")
		sub.Flags().StringVar(&operators, "operator", os.Getenv("YOKEROUTE_CONF"), "operator's own file; the default is $YOKEROUTE_CONF, and none without it")
	}
	named := &cobra.Command{Use: "version", Short: "print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintf(cmd.OutOrStdout(), "yokeroute %s, %s, program %s\n", version.Name(), runtime.Version(), version.Program())
		}}
	root.AddCommand(serve, check, named, planCommand(), explainCommand(), segmentsCommand(), keysCommand(), migrateCommand(), rolloutCommand(), policyServerCommand(), policyCommand(), referenceCommand())
	return root
}
