package main

import (
	"fmt"
	"os"
	"sync"

	"github.com/spf13/cobra"

	"yokeroute/internal/parallel"
	"yokeroute/internal/testbed/processtest"
	"yokeroute/internal/testbed/soak"
)

const (
	defaultSoakSeeds   = 50
	defaultSoakWorkers = 2
)

// soakOptions are the flags of soak.
type soakOptions struct {
	program string
	out     string
	race    bool
	first   uint64
	seeds   int
	workers int
}

func soakCommand() *cobra.Command {
	var options soakOptions
	cmd := &cobra.Command{
		Use:     "soak",
		Short:   "play many short days of real processes, drawn by their seeds, and check each",
		Args:    cobra.NoArgs,
		Example: "  yokeroute-testbed soak --first 1 --seeds 50 --out soak\n  yokeroute-testbed soak --first 17 --seeds 1 --race",
		Long: "Each seed draws a kind of day (faults of all kinds, planned restarts with signals in series, policy servers " +
			"with changes\nunder way, rollouts; some with a crowd of idle clients), its faults, and extras: new files with " +
			"SIGHUP in series, clients that\nleave, hurry or rest, policies that exclude each other. Checked are the six " +
			"rules on the joined traces, the times of starts\nand ends, that the fleet serves all again after the last " +
			"fault, and what gatherers hold then. Of a day that fails, the\nscenario with its faults, all traces, logs " +
			"and results are kept.\n" +
			"Status 0: all days passed. 1: one did not. 2: nothing was played.",
		RunE: func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&options.program, "gatherer", gathererProgram(), "the gatherer's program")
	flags.BoolVar(&options.race, "race", false,
		"build the gatherer under the race detector instead, from the module in the current folder")
	flags.Uint64Var(&options.first, "first", 1, "first seed")
	flags.IntVar(&options.seeds, "seeds", defaultSoakSeeds, "number of seeds")
	flags.IntVar(&options.workers, "workers", defaultSoakWorkers, "days played side by side")
	flags.StringVarP(&options.out, "out", "d", "", "folder for what failing days leave; a temporary one unless told")
	return cmd
}

// orderCommandName is the command that the steps of a soak's rollouts run.
const orderCommandName = "order-step"

func orderCommand() *cobra.Command {
	const arguments = 4
	return &cobra.Command{
		Use:    orderCommandName + " URL GATHERER VARIANT FENCE",
		Short:  "order a step of a soak's rollout",
		Args:   cobra.ExactArgs(arguments),
		Hidden: true,
		RunE: func(_ *cobra.Command, args []string) error {
			if processtest.Order(args[0], args[1], args[2], args[3]) != exitOK {
				return errNegative
			}
			return nil
		},
	}
}

func (o *soakOptions) run(cmd *cobra.Command) error {
	if o.seeds < 1 || o.workers < 1 {
		return fmt.Errorf("--seeds %d --workers %d: at least 1 of each", o.seeds, o.workers)
	}
	var err error
	if o.out == "" {
		o.out, err = os.MkdirTemp("", "yokeroute-testbed-soak-")
	} else {
		err = os.MkdirAll(o.out, 0o755)
	}
	if err != nil {
		return err
	}
	lock, err := soak.LockFolder(o.out)
	if err != nil {
		return err
	}
	defer lock.Close()
	if o.race {
		if o.program, err = processtest.Build("yokeroute"); err != nil {
			return err
		}
		defer processtest.Unbuild()
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	days := soak.Options{Program: o.program, Folder: o.out, OrderCommand: []string{self, orderCommandName}}
	var printing sync.Mutex
	failed := 0
	parallel.Map(o.seeds, o.workers, func(i int) struct{} {
		if cmd.Context().Err() != nil {
			return struct{}{}
		}
		r := soak.Run(cmd.Context(), days, o.first+uint64(i))
		printing.Lock()
		defer printing.Unlock()
		if r.Err != nil {
			failed++
		}
		o.print(cmd, r)
		return struct{}{}
	})
	fmt.Fprintf(cmd.OutOrStdout(), "%d of %d days failed\n", failed, o.seeds)
	switch {
	case cmd.Context().Err() != nil:
		return cmd.Context().Err()
	case failed > 0:
		return errNegative
	}
	return nil
}

// print prints a day's line, and how to play a day that failed again.
func (o *soakOptions) print(cmd *cobra.Command, r *soak.Result) {
	out := cmd.OutOrStdout()
	if r.Err == nil {
		fmt.Fprintf(out, "%s: passed, %d operations, %s, %.1f s\n", r.Day, r.Operations, r.Tries(), r.Took.Seconds())
		return
	}
	fmt.Fprintf(out, "%s: FAILED after %.1f s, %s: %.600s\n", r.Day, r.Took.Seconds(), r.Tries(), r.Err)
	fmt.Fprintf(out, "  kept in %s; again: yokeroute-testbed soak --first %d --seeds 1 --out %s\n", r.Folder, r.Day.Seed, o.out)
}
