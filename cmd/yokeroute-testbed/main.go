// Command yokeroute-testbed shows a gatherer at work, plays days of the emulator, and runs experiments on loopback.
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

// errNegative is an answer that is clear and not what was hoped for: a rule is broken, a run differs. It has been said on
// standard output; the exit status is 1, that of bad use or input 2.
var errNegative = errors.New("no")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	switch err := command().ExecuteContext(ctx); {
	case errors.Is(err, errNegative):
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "yokeroute-testbed:", err)
		os.Exit(2)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "yokeroute-testbed", Short: "a gatherer at work, days of the emulator, experiments on loopback", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(demoCommand(), runCommand(), compareCommand(), sweepCommand(), huntCommand(), reportCommand(), replayCommand(), referenceCommand(), plansCommand(), phasesCommand(), rolloutsCommand(), policiesCommand(), fleetCommand(), scaleCommand())
	return root
}

// beside is the gatherer's program in the folder of this one.
func beside() string {
	self, err := os.Executable()
	if err != nil {
		return "yokeroute"
	}
	return filepath.Join(filepath.Dir(self), "yokeroute")
}
