package main

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
)

func addLogLevelFlag(cmd *cobra.Command, level *string) {
	cmd.Flags().StringVar(level, "log-level", "info", "least level that is logged: debug, info, warning, error")
}

// newLogger returns a logger that drops entries below a level.
func newLogger(out io.Writer, level string) (*logrus.Logger, error) {
	lowest, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("--log-level: %w", err)
	}
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(lowest)
	return log, nil
}
