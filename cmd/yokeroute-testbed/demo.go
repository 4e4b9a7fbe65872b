package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"yokeroute/internal/testbed/demo"
)

const defaultDemoRate = 20 // queries a second

// demoOptions are the flags of demo.
type demoOptions struct {
	terms    demo.Options
	plain    bool
	duration time.Duration // 0 for until it is ended
}

func demoCommand() *cobra.Command {
	var options demoOptions
	cmd := &cobra.Command{
		Use:     "demo",
		Short:   "show a gatherer at work before stand-in shard servers, on loopback",
		Args:    cobra.NoArgs,
		Example: "  yokeroute-testbed demo\n  yokeroute-testbed demo --plain --for 10s",
		RunE:    func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&options.terms.Listen, "listen", "127.0.0.1:8000",
		"where the gatherer takes lookups; another port is used where this one is taken")
	flags.Float64Var(&options.terms.Rate, "rate", defaultDemoRate, "lookups a second of light traffic, 0 for none")
	flags.Uint64Var(&options.terms.Seed, "seed", 1, "of machines and traffic")
	flags.BoolVar(&options.plain, "plain", false, "lines in place of the live view")
	flags.DurationVar(&options.duration, "for", 0, "how long; until it is ended unless told")
	return cmd
}

func (o *demoOptions) run(cmd *cobra.Command) error {
	if o.terms.Rate < 0 {
		return fmt.Errorf("--rate %g: is negative", o.terms.Rate)
	}
	d, err := demo.Start(o.terms)
	if err != nil {
		return err
	}
	ctx := cmd.Context()
	if o.duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, o.duration)
		defer cancel()
	}
	out := cmd.OutOrStdout()
	fmt.Fprintf(out, "a gatherer serves on http://%s; ask it:\n\n%s\n\n", d.Address, d.Curl())
	if o.plain || !isatty.IsTerminal(os.Stdout.Fd()) {
		d.WriteLines(ctx, out)
	} else {
		err = d.RunScreen(ctx)
	}
	closeErr := d.Close()
	fmt.Fprintln(out, d.Counts.Summary())
	return errors.Join(err, closeErr)
}
