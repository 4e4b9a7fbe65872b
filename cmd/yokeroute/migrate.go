package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"yokeroute/internal/config/migrate"
	"yokeroute/internal/storage/atomicfile"
)

// migrateOptions are the flags of migrate.
type migrateOptions struct {
	config    string
	fleet     string
	out       string
	dryRun    bool
	overwrite bool
}

func migrateCommand() *cobra.Command {
	var options migrateOptions
	cmd := &cobra.Command{
		Use:   "migrate",
		Short: "write a configuration's counterpart for another fleet, and say what it could not carry over",
		Example: "  yokeroute migrate --config old.json --fleet examples/fleets/probed.json " +
			"--out new.json --dry-run",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&options.config, "config", "", "configuration for the old fleet")
	flags.StringVar(&options.fleet, "fleet", "",
		"what the new fleet's operators state: settings by their names, null for none")
	flags.StringVar(&options.out, "out", "", "file to write")
	flags.BoolVar(&options.dryRun, "dry-run", false, "write no file; the result goes to standard output")
	flags.BoolVar(&options.overwrite, "overwrite", false, "write over a file that is there")
	return cmd
}

func (o *migrateOptions) run(cmd *cobra.Command) error {
	if o.config == "" || o.fleet == "" || o.out == "" && !o.dryRun {
		return errors.New("--config, --fleet and --out have to be given")
	}
	result, err := migrate.Move(o.config, o.fleet)
	if err != nil {
		return err
	}
	if err := o.write(cmd.OutOrStdout(), result.Text); err != nil {
		return err
	}
	for _, lost := range result.Lost {
		fmt.Fprintln(cmd.ErrOrStderr(), "not carried over:", lost)
	}
	if len(result.Lost) > 0 {
		return errNegative
	}
	return nil
}

// write writes the new configuration to its file, or to standard output in a dry run.
func (o *migrateOptions) write(stdout io.Writer, text []byte) error {
	if o.dryRun {
		_, err := stdout.Write(text)
		return err
	}
	file := atomicfile.File{Name: o.out, Mode: atomicfile.PrivateMode, KeepExisting: !o.overwrite}
	if err := file.Write(text); err != nil {
		return fmt.Errorf("%s: %w", o.out, err)
	}
	return nil
}
