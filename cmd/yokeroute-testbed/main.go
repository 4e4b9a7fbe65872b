// Command yokeroute-testbed shows a gatherer at work, plays days of the emulator and of real processes, and runs
// experiments and scale tests on loopback.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// Exit statuses, in the manner of grep and diff.
const (
	exitOK       = 0
	exitNegative = 1
	exitError    = 2
)

// errNegative is a clear negative answer: a rule is broken, a run differs. The command has printed it on standard
// output, so that nothing is left to print but the exit status.
var errNegative = errors.New("no")

func main() { os.Exit(run()) }

// run runs the command line until it ends or a signal comes, and returns the exit status.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := rootCommand().ExecuteContext(ctx)
	switch {
	case errors.Is(err, errNegative):
		return exitNegative
	case err != nil:
		fmt.Fprintln(os.Stderr, "yokeroute-testbed:", err)
		return exitError
	}
	return exitOK
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "yokeroute-testbed",
		Short:         "a gatherer at work, days of the emulator, experiments on loopback",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		demoCommand(),
		runCommand(),
		compareCommand(),
		sweepCommand(),
		huntCommand(),
		reportCommand(),
		replayCommand(),
		referenceCommand(),
		plansCommand(),
		phasesCommand(),
		rolloutsCommand(),
		policiesCommand(),
		fleetCommand(),
		soakCommand(),
		orderCommand(),
		scaleCommand(),
	)
	return root
}

// gathererProgram returns the gatherer's program in the folder of this one.
func gathererProgram() string {
	self, err := os.Executable()
	if err != nil {
		return "yokeroute"
	}
	return filepath.Join(filepath.Dir(self), "yokeroute")
}
