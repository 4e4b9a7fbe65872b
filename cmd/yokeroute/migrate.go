package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"yokeroute/internal/config/migrate"
)

func migrateCommand() *cobra.Command {
	var file, fleet, out string
	var dry, overwrite bool
	cmd := &cobra.Command{Use: "migrate", Short: "write a configuration's counterpart for another fleet, and say what it could not carry over",
		Example: "  yokeroute migrate --config old.json --fleet examples/fleets/probed.json --out new.json --dry-run",
		Args:    cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" || fleet == "" || out == "" && !dry {
				return errors.New("--config, --fleet and --out have to be given")
			}
			r, err := migrate.Move(file, fleet)
			if err != nil {
				return err
			}
			if !dry {
				put := os.Link
				if overwrite {
					put = os.Rename
				}
				if err := place(out, 0o600, put, func(w io.Writer) error { _, err := w.Write(r.Text); return err }); err != nil {
					return fmt.Errorf("%s: %w", out, err)
				}
			} else if _, err := cmd.OutOrStdout().Write(r.Text); err != nil {
				return err
			}
			for _, lost := range r.Lost {
				fmt.Fprintln(cmd.ErrOrStderr(), "not carried over:", lost)
			}
			if len(r.Lost) > 0 {
				return errNegative
			}
			return nil
		}}
	cmd.Flags().StringVar(&file, "config", "", "configuration for the old fleet")
	cmd.Flags().StringVar(&fleet, "fleet", "", "what the new fleet's operators state: settings by their names, null for none")
	cmd.Flags().StringVar(&out, "out", "", "file to write")
	cmd.Flags().BoolVar(&dry, "dry-run", false, "write no file; the result goes to standard output")
	cmd.Flags().BoolVar(&overwrite, "overwrite", false, "write over a file that is there")
	return cmd
}
