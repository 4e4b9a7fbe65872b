package main

import (
	"github.com/spf13/cobra"

	"yokeroute/internal/testbed/scale"
)

const (
	defaultScaleReplicas = 3
	defaultScaleSeconds  = 2
)

// scaleDecisionsOptions are the flags of scale decisions.
type scaleDecisionsOptions struct {
	terms         scale.DecisionOptions
	servers       []int
	shardRequests []int // a query
	output        string
}

func scaleDecisionsCommand() *cobra.Command {
	var options scaleDecisionsOptions
	cmd := &cobra.Command{
		Use:   "decisions",
		Short: "the decision module: processor time a query, longest round, memory",
		Args:  cobra.NoArgs,
		Example: "  yokeroute-testbed scale decisions --servers 20,300,3000 --parts 8 --seconds 2\n" +
			"  yokeroute-testbed scale decisions --servers 300,3000,9000,28000 --parts 640",
		RunE: func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	flags := cmd.Flags()
	flags.IntSliceVar(&options.servers, "servers", []int{20, 300, 3000, 28_000}, "shard servers")
	flags.IntSliceVar(&options.shardRequests, "parts", []int{640},
		"parts a query; several only with one size of the fleet")
	flags.IntVar(&options.terms.Replicas, "replicas", defaultScaleReplicas, "of each group of shards")
	flags.Float64Var(&options.terms.Rate, "rate", scale.DesignQueryRate, "queries a second")
	flags.Float64Var(&options.terms.Seconds, "seconds", defaultScaleSeconds,
		"measured, behind six to fill the records")
	flags.Uint64Var(&options.terms.Seed, "seed", 1, "of all chance")
	addOutputFlag(cmd, &options.output)
	return cmd
}

func (o *scaleDecisionsOptions) run(cmd *cobra.Command) error {
	figures, err := scale.DecisionFigures(cmd.Context(), o.terms, o.servers, o.shardRequests, scaleProgress(cmd))
	if err != nil {
		return err
	}
	return printFigures(cmd.OutOrStdout(), figures, o.output)
}
