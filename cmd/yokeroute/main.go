// Command yokeroute is the gatherer on sockets.
package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"

	"yokeroute/internal/config"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "yokeroute:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "yokeroute", Short: "a gatherer of answers from many shards",
		SilenceUsage: true, SilenceErrors: true}
	var file, level string
	serve := &cobra.Command{Use: "serve", Short: "serve lookups until SIGTERM; SIGHUP rereads the configuration", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			load := func() (*config.Config, error) { return config.Load(file, os.Getenv) }
			return run(cmd.Context(), load, level, cmd.ErrOrStderr())
		}}
	serve.Flags().StringVar(&level, "log-level", "info", "least level that is logged: debug, info, warning, error")
	check := &cobra.Command{Use: "check-config", Short: "read the configuration and say what is wrong with it",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := config.Load(file, os.Getenv)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: listens on %s, discovery at %s, %d indexes\n", c.Name, c.Listen,
				c.Discovery, len(c.Terms.Names("indexes")))
			return nil
		}}
	for _, sub := range []*cobra.Command{serve, check} {
		sub.Flags().StringVar(&file, "config", os.Getenv("NODE_CONFIG"), "configuration file; the default is $NODE_CONFIG")
	}
	version := &cobra.Command{Use: "version", Short: "print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			build := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				build = info.Main.Version
			}
			fmt.Fprintf(cmd.OutOrStdout(), "yokeroute %s, %s\n", build, runtime.Version())
		}}
	root.AddCommand(serve, check, version)
	return root
}
