package main

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/mattn/go-isatty"
	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
)

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// addOutputFlag adds the flag of commands whose answer programs may read.
func addOutputFlag(cmd *cobra.Command, output *string) {
	cmd.Flags().StringVarP(output, "output", "o", outputText, "form of the answer: text or json")
}

// checkChoices returns an error unless all values of a flag are among the known ones.
func checkChoices(flag string, values, known []string) error {
	for _, value := range values {
		if !slices.Contains(known, value) {
			return fmt.Errorf("--%s %q: is none of %s", flag, value, strings.Join(known, ", "))
		}
	}
	return nil
}

// printProgress returns a function that prints lines on standard error.
func printProgress(cmd *cobra.Command) func(format string, args ...any) {
	return func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) }
}

// showProgressBar returns a function that shows how many days of all are done, nil where standard error is no
// terminal.
func showProgressBar(cmd *cobra.Command) func(done, all int) {
	if !isatty.IsTerminal(os.Stderr.Fd()) {
		return nil
	}
	var bar *progressbar.ProgressBar
	return func(done, all int) {
		if bar == nil {
			bar = progressbar.NewOptions(all,
				progressbar.OptionSetWriter(cmd.ErrOrStderr()),
				progressbar.OptionSetDescription("days"),
				progressbar.OptionShowCount(),
				progressbar.OptionSetPredictTime(true),
				progressbar.OptionClearOnFinish())
		}
		_ = bar.Set(done) // a bar that can't be drawn changes no result
	}
}

// removeTemporary removes a temporary folder. One that can't be removed does not make a result less true.
func removeTemporary(folder string) { _ = os.RemoveAll(folder) }
