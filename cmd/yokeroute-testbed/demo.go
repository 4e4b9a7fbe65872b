package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"yokeroute/internal/testbed/demo"
)

func demoCommand() *cobra.Command {
	terms := demo.Options{}
	var plain bool
	var length time.Duration
	cmd := &cobra.Command{Use: "demo", Short: "show a gatherer at work before stand-in shard servers, on loopback", Args: cobra.NoArgs,
		Example: "  yokeroute-testbed demo\n  yokeroute-testbed demo --plain --for 10s",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if terms.Rate < 0 {
				return fmt.Errorf("--rate %g: is errNegative", terms.Rate)
			}
			d, err := demo.Start(terms)
			if err != nil {
				return err
			}
			ctx := cmd.Context()
			if length > 0 {
				var stop context.CancelFunc
				ctx, stop = context.WithTimeout(ctx, length)
				defer stop()
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "a gatherer serves on http://%s; ask it:\n\n%s\n\n", d.Address, d.Curl())
			if plain || !isatty.IsTerminal(os.Stdout.Fd()) {
				d.WriteLines(ctx, out)
			} else {
				err = d.RunScreen(ctx)
			}
			if closed := d.Close(); err == nil {
				err = closed
			}
			fmt.Fprintln(out, d.Counts.Summary())
			return err
		}}
	cmd.Flags().StringVar(&terms.Listen, "listen", "127.0.0.1:8000", "where the gatherer takes lookups; another port is used where this one is taken")
	cmd.Flags().Float64Var(&terms.Rate, "rate", 20, "lookups a second of light traffic, 0 for none")
	cmd.Flags().Uint64Var(&terms.Seed, "seed", 1, "of machines and traffic")
	cmd.Flags().BoolVar(&plain, "plain", false, "lines in place of the live view")
	cmd.Flags().DurationVar(&length, "for", 0, "how long; until it is ended unless told")
	return cmd
}
