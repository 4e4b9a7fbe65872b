package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/placementfile"
	"yokeroute/internal/config/platform"
)

// configFiles names the two files that configure a gatherer.
type configFiles struct {
	platform string // written by the platform, JSON
	operator string // written by the operator; empty for none
}

func (f *configFiles) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.platform, "config", os.Getenv("NODE_CONFIG"),
		"configuration file; the default is $NODE_CONFIG")
	cmd.Flags().StringVar(&f.operator, "operator", os.Getenv("YOKEROUTE_CONF"),
		"operator's own file; the default is $YOKEROUTE_CONF, and none without it")
}

func (f *configFiles) loadPlatform() (*platform.Config, error) {
	return platform.Load(f.platform, os.Getenv)
}

func checkConfigCommand() *cobra.Command {
	var files configFiles
	cmd := &cobra.Command{
		Use:     "check-config",
		Short:   "read the configuration and say what is wrong with it",
		Args:    cobra.NoArgs,
		Example: "  yokeroute check-config --config config.json --operator deploy/yokeroute.conf",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return files.check(cmd.OutOrStdout())
		},
	}
	files.addFlags(cmd)
	return cmd
}

// check reads both files, and those that they name, and prints a line about what was read.
func (f *configFiles) check(w io.Writer) error {
	operatorFile, err := operator.Read(f.operator)
	if err != nil {
		return err
	}
	if err := checkPlanFiles(operatorFile); err != nil {
		return err
	}
	if f.platform == "" && f.operator != "" {
		fmt.Fprintf(w, "%s: reads well\n", f.operator)
		return nil
	}
	c, err := f.loadPlatform()
	if err != nil {
		return err
	}
	if _, err := operatorFile.TwoPhaseSettings(c.Settings); err != nil {
		return err
	}
	fmt.Fprintf(w, "%s: listens on %s, discovery at %s, %d indexes\n",
		c.Name, c.Listen, c.Discovery, len(c.Settings.ClassNames()))
	return nil
}

// checkPlanFiles reads the plan and the placement file that an operator's file names.
func checkPlanFiles(operatorFile *operator.File) error {
	for _, name := range []string{operatorFile.Plan, operatorFile.Placement} {
		if name == "" {
			continue
		}
		f, err := placementfile.Read(name, unixMilliseconds())
		switch {
		case err != nil:
			return err
		case name == operatorFile.Plan && f.Plan == nil:
			return fmt.Errorf("%s: holds no weights; create a plan with yokeroute plan solve", name)
		case name == operatorFile.Placement && !f.FromList:
			return fmt.Errorf("%s: lacks from-list; add it, or create a plan with yokeroute plan solve", name)
		}
	}
	return nil
}
