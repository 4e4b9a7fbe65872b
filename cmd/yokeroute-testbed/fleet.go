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

func fleetCommand() *cobra.Command {
	terms := processtest.Terms{}
	var out string
	var plain, race bool
	var seed uint64
	cmd := &cobra.Command{Use: "fleet SCENARIO", Short: "play a day of real processes on loopback, with faults between them", Args: cobra.ExactArgs(1),
		Example: "  yokeroute-testbed fleet examples/fleets/rough.conf --out results && yokeroute-testbed report results",
		Long:    "Starts the scenario's gatherers as processes, with stand-in servers, discovery and a front, and a relay on every way\nbetween them; plays its faults; joins the traces of all processes and checks the six rules.\nStatus 0: every rule kept. 1: one was broken, or a process had a fault. 2: nothing was played.",
		RunE: func(cmd *cobra.Command, args []string) error {
			sc, err := processtest.Read(args[0], seed)
			if err != nil {
				return err
			}
			if sc.Name == "" {
				sc.Name = filepath.Base(args[0])
			}
			if terms.Folder, err = os.MkdirTemp("", "yokeroute-testbed-fleet-"); err != nil {
				return err
			}
			defer os.RemoveAll(terms.Folder)
			if race {
				if terms.Binary, err = processtest.Build("yokeroute"); err != nil {
					return err
				}
				defer processtest.Unbuild()
			}
			ctx := cmd.Context()
			f, err := processtest.StartFleet(ctx, sc, terms)
			if err != nil {
				return err
			}
			playing, enough := context.WithCancel(ctx)
			defer enough()
			played := make(chan error, 1)
			go func() {
				played <- f.Play(playing)
				enough()
			}()
			w := cmd.OutOrStdout()
			if plain || !isatty.IsTerminal(os.Stdout.Fd()) {
				f.Plain(playing, w)
			} else if err := f.Screen(playing); err != nil {
				fmt.Fprintln(cmd.ErrOrStderr(), err)
			}
			enough()
			<-played // what went wrong stands in the results
			r, err := f.Finish()
			if err != nil {
				return err
			}
			for _, line := range r.Lines() {
				fmt.Fprintln(w, line)
			}
			if out != "" {
				if err := r.Save(out); err != nil {
					return err
				}
				fmt.Fprintf(cmd.ErrOrStderr(), "results in %s; yokeroute-testbed report %s makes a page of them\n", out, out)
			}
			if !r.Kept() {
				return errNegative
			}
			return nil
		}}
	cmd.Flags().StringVar(&terms.Binary, "gatherer", beside(), "the gatherer's program")
	cmd.Flags().BoolVar(&race, "race", false, "build the gatherer under the race detector instead, from the module in the current folder")
	cmd.Flags().BoolVar(&terms.State, "state", true, "gatherers have a state folder")
	cmd.Flags().BoolVar(&terms.Report, "report", false, "gatherers tell of themselves")
	cmd.Flags().Uint64Var(&seed, "seed", 0, "of load and drawn faults; that of the file unless told")
	cmd.Flags().StringVarP(&out, "out", "d", "", "folder for the results")
	cmd.Flags().BoolVar(&plain, "plain", false, "lines in place of the live view")
	return cmd
}
