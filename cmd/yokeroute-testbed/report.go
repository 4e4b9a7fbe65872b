package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"yokeroute/internal/testbed/processtest"
	"yokeroute/internal/testbed/study"
)

const resultFileMode os.FileMode = 0o644

func reportCommand() *cobra.Command {
	var out string
	cmd := &cobra.Command{
		Use:     "report FOLDER",
		Short:   "make one page of a folder of results",
		Args:    cobra.ExactArgs(1),
		Example: "  yokeroute-testbed report results --out report.html",
		RunE: func(cmd *cobra.Command, args []string) error {
			page, err := resultsPage(args[0])
			if err != nil {
				return err
			}
			if out == "" {
				out = filepath.Join(args[0], "report.html")
			}
			if err := os.WriteFile(out, page, resultFileMode); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), out)
			return nil
		},
	}
	cmd.Flags().StringVar(&out, "out", "", "the page's file; report.html in the folder unless told")
	return cmd
}

// resultsPage makes the HTML page of a folder's results, which are of emulated days or of a day of processes.
func resultsPage(folder string) ([]byte, error) {
	if _, err := os.Stat(filepath.Join(folder, processtest.ResultFile)); err == nil {
		r, err := processtest.LoadResult(folder)
		if err != nil {
			return nil, err
		}
		return r.Page()
	}
	r, err := study.Load(folder)
	if err != nil {
		return nil, err
	}
	return r.Report()
}
