package main

import (
	"encoding/json"
	"fmt"
	"io"

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

// addCheckedOutputFlag adds the same flag, and refuses other values before the command runs.
func addCheckedOutputFlag(cmd *cobra.Command, output *string) {
	addOutputFlag(cmd, output)
	cmd.PreRunE = func(*cobra.Command, []string) error {
		if *output != outputText && *output != outputJSON {
			return fmt.Errorf("--output %q: is neither text nor json", *output)
		}
		return nil
	}
}

func writeIndentedJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// plural writes a count with its noun.
func plural(n int, singular, several string) string {
	if n == 1 {
		return "1 " + singular
	}
	return fmt.Sprintf("%d %s", n, several)
}
