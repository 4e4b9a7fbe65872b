package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/placementfile"
	"yokeroute/internal/config/policyfile"
	"yokeroute/internal/control/policyserver"
	"yokeroute/internal/control/rollout"
	"yokeroute/internal/control/segments"
)

// referencePages are the reference pages by the name of their kind of file. The tables of directives that read the
// files write the pages.
var referencePages = map[string]func() string{
	"operator":      operator.Reference,
	"placement":     placementfile.Reference,
	"segments":      segments.MapReference,
	"rollout":       rollout.Reference,
	"policy":        policyfile.Reference,
	"policy-server": policyserver.Reference,
	"steward":       policyserver.Reference, // an older name
}

func referenceCommand() *cobra.Command {
	return &cobra.Command{
		Use:       "reference operator|placement|segments|rollout|policy|policy-server",
		Short:     "print the page about a kind of file",
		Args:      cobra.ExactArgs(1),
		ValidArgs: []string{"operator", "placement", "segments", "rollout", "policy", "policy-server"},
		Example:   "  yokeroute reference placement",
		RunE: func(cmd *cobra.Command, args []string) error {
			page := referencePages[args[0]]
			if page == nil {
				return fmt.Errorf("reference %q: is none of operator, placement, segments, rollout, policy "+
					"and policy-server", args[0])
			}
			fmt.Fprint(cmd.OutOrStdout(), page())
			return nil
		},
	}
}
