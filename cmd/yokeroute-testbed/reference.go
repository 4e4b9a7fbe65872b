package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"yokeroute/internal/testbed/emulator"
	"yokeroute/internal/testbed/processtest"
)

func referenceCommand() *cobra.Command {
	return &cobra.Command{
		Use:       "reference [fleet]",
		Short:     "print the page about scenario files, or about those of fleets of processes",
		Args:      cobra.MatchAll(cobra.MaximumNArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{"fleet"},
		Example:   "  yokeroute-testbed reference\n  yokeroute-testbed reference fleet",
		Run: func(cmd *cobra.Command, args []string) {
			page := emulator.Reference
			if len(args) > 0 {
				page = processtest.Reference
			}
			fmt.Fprint(cmd.OutOrStdout(), page())
		},
	}
}
