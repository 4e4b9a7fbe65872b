package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"yokeroute/internal/testbed/processtest"
)

// fleetOptions are the flags of fleet.
type fleetOptions struct {
	terms processtest.Terms
	out   string
	plain bool
	race  bool
	seed  uint64
}

func fleetCommand() *cobra.Command {
	var options fleetOptions
	cmd := &cobra.Command{
		Use:   "fleet SCENARIO",
		Short: "play a day of real processes on loopback, with faults between them",
		Args:  cobra.ExactArgs(1),
		Example: "  yokeroute-testbed fleet examples/fleets/rough.conf --out results && " +
			"yokeroute-testbed report results",
		Long: "Starts the scenario's gatherers as processes, with stand-in servers, discovery and a front, " +
			"and a relay on every way\nbetween them; plays its faults; joins the traces of all processes " +
			"and checks the six rules.\nStatus 0: every rule kept. 1: one was broken, or a process had a fault. " +
			"2: nothing was played.",
		RunE: func(cmd *cobra.Command, args []string) error { return options.run(cmd, args[0]) },
	}
	flags := cmd.Flags()
	flags.StringVar(&options.terms.Binary, "gatherer", gathererProgram(), "the gatherer's program")
	flags.BoolVar(&options.race, "race", false,
		"build the gatherer under the race detector instead, from the module in the current folder")
	flags.BoolVar(&options.terms.State, "state", true, "gatherers have a state folder")
	flags.BoolVar(&options.terms.Report, "report", false, "gatherers tell of themselves")
	flags.Uint64Var(&options.seed, "seed", 0, "of load and drawn faults; that of the file unless told")
	flags.StringVarP(&options.out, "out", "d", "", "folder for the results")
	flags.BoolVar(&options.plain, "plain", false, "lines in place of the live view")
	return cmd
}

func (o *fleetOptions) run(cmd *cobra.Command, file string) error {
	scenario, err := processtest.Read(file, o.seed)
	if err != nil {
		return err
	}
	if scenario.Name == "" {
		scenario.Name = filepath.Base(file)
	}
	if o.terms.Folder, err = os.MkdirTemp("", "yokeroute-testbed-fleet-"); err != nil {
		return err
	}
	defer removeTemporary(o.terms.Folder)
	if o.race {
		if o.terms.Binary, err = processtest.Build("yokeroute"); err != nil {
			return err
		}
		defer processtest.Unbuild()
	}
	result, err := o.play(cmd, scenario)
	if err != nil {
		return err
	}
	return o.finish(cmd, result)
}

// play plays the day while it shows how far it is. The day ends early where the view is left.
func (o *fleetOptions) play(cmd *cobra.Command, scenario *processtest.Scenario) (*processtest.Result, error) {
	fleet, err := processtest.StartFleet(cmd.Context(), scenario, o.terms)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(cmd.Context())
	defer cancel()
	played := make(chan struct{})
	go func() {
		defer close(played)
		defer cancel()      // the view ends with the day
		_ = fleet.Play(ctx) // its errors are part of the result
	}()
	if o.plain || !isatty.IsTerminal(os.Stdout.Fd()) {
		fleet.Plain(ctx, cmd.OutOrStdout())
	} else if err := fleet.Screen(ctx); err != nil {
		fmt.Fprintln(cmd.ErrOrStderr(), err)
	}
	cancel()
	<-played
	return fleet.Finish()
}

// finish prints and saves the result. A broken rule or a fault of a process is a negative answer.
func (o *fleetOptions) finish(cmd *cobra.Command, r *processtest.Result) error {
	for _, line := range r.Lines() {
		fmt.Fprintln(cmd.OutOrStdout(), line)
	}
	if o.out != "" {
		if err := r.Save(o.out); err != nil {
			return err
		}
		printResultsFolder(cmd, o.out)
	}
	if !r.Kept() {
		return errNegative
	}
	return nil
}
