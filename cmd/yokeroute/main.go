// Command yokeroute is the gatherer, which serves queries over many shards, and the commands of its operators.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"

	"github.com/spf13/cobra"

	"yokeroute/internal/version"
)

// Exit statuses, in the manner of grep and diff.
const (
	exitNegative = 1
	exitError    = 2
)

// errNegative is a clear negative answer: no plan fits, a limit is broken. The command has done its work and has
// printed the answer on standard output, so that nothing is left to print but the exit status.
var errNegative = errors.New("no")

func main() {
	switch err := rootCommand().Execute(); {
	case errors.Is(err, errNegative):
		os.Exit(exitNegative)
	case err != nil:
		fmt.Fprintln(os.Stderr, "yokeroute:", err)
		os.Exit(exitError)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "yokeroute",
		Short:         "a gatherer of answers from many shards",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		serveCommand(),
		checkConfigCommand(),
		versionCommand(),
		planCommand(),
		explainCommand(),
		segmentsCommand(),
		keysCommand(),
		migrateCommand(),
		rolloutCommand(),
		policyServerCommand(),
		policyCommand(),
		referenceCommand(),
	)
	return root
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "print the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintf(cmd.OutOrStdout(), "yokeroute %s, %s, program %s\n",
				version.Name(), runtime.Version(), version.Program())
		},
	}
}
