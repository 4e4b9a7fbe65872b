package main

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"yokeroute/internal/testbed/scale"
)

// sizesMeasurement is a scale test that takes nothing but sizes.
type sizesMeasurement struct {
	name         string
	short        string
	flag         string // of the sizes
	flagHelp     string
	defaultSizes []int
	measure      func(context.Context, []int, scale.Progress) ([]scale.Figure, error)
}

func (m sizesMeasurement) command() *cobra.Command {
	var sizes []int
	var output string
	cmd := &cobra.Command{
		Use:     m.name,
		Short:   m.short,
		Args:    cobra.NoArgs,
		Example: fmt.Sprintf("  yokeroute-testbed scale %s --%s 24,48", m.name, m.flag),
		RunE: func(cmd *cobra.Command, _ []string) error {
			figures, err := m.measure(cmd.Context(), sizes, scaleProgress(cmd))
			if err != nil {
				return err
			}
			return printFigures(cmd.OutOrStdout(), figures, output)
		},
	}
	cmd.Flags().IntSliceVar(&sizes, m.flag, m.defaultSizes, m.flagHelp)
	addOutputFlag(cmd, &output)
	return cmd
}

func scaleListsCommand() *cobra.Command {
	return sizesMeasurement{
		name:         "lists",
		short:        "the list of shard servers: a start, a change, a zone at once, discovery's return",
		flag:         "servers",
		flagHelp:     "shard servers on the list",
		defaultSizes: []int{300, 3000, 9000, 28_000},
		measure:      scale.ListFigures,
	}.command()
}

func scaleConnectionsCommand() *cobra.Command {
	return sizesMeasurement{
		name:         "connections",
		short:        "what connections to shard servers cost at rest",
		flag:         "count",
		flagHelp:     "connections",
		defaultSizes: []int{100, 500, 1000, 3000},
		measure:      scale.ConnectionFigures,
	}.command()
}

func scaleReportsCommand() *cobra.Command {
	return sizesMeasurement{
		name:         "reports",
		short:        "what asking all gatherers for their reports costs",
		flag:         "gatherers",
		flagHelp:     "hollow gatherers",
		defaultSizes: []int{300, 900, 1800, 3600},
		measure:      scale.ReportFigures,
	}.command()
}
