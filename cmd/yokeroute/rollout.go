package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"yokeroute/internal/control/rollout"
	logic "yokeroute/logic/rollout"
)

func rolloutCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "rollout",
		Short: "take a fleet from old to new in stages, and back where the new does worse",
	}
	cmd.AddCommand(rolloutCheckCommand(), rolloutRunCommand(), rolloutStatusCommand(), rolloutStopCommand(),
		rolloutRollbackCommand(), rolloutResumeCommand(), rolloutReportCommand())
	return cmd
}

func rolloutCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check PLAN",
		Short:   "read a plan and all files that it names, and say what is wrong",
		Args:    cobra.ExactArgs(1),
		Example: "  yokeroute rollout check release-42.conf",
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := rollout.ReadPlan(args[0])
			if err != nil {
				return err
			}
			if err := p.CheckFiles(); err != nil {
				return err
			}
			return p.Describe(cmd.OutOrStdout())
		},
	}
}

func rolloutRunCommand() *cobra.Command {
	var options controllerOptions
	cmd := &cobra.Command{
		Use:     "run PLAN",
		Short:   "begin a rollout, or go on with one that was begun",
		Args:    cobra.ExactArgs(1),
		Example: "  yokeroute rollout run release-42.conf",
		Long: "Begins a rollout, or goes on with one that was begun: what was done stands in the plan's folder.\n" +
			"Status 0: all gatherers are new. 1: it was stopped, or all are old again. 2: nothing was begun.",
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := rollout.ReadPlan(args[0])
			if err != nil {
				return err
			}
			return options.runController(cmd, p)
		},
	}
	options.addFlags(cmd)
	return cmd
}

func rolloutResumeCommand() *cobra.Command {
	var options controllerOptions
	cmd := &cobra.Command{
		Use:     "resume PLAN",
		Short:   "go on with a rollout that was stopped",
		Args:    cobra.ExactArgs(1),
		Example: "  yokeroute rollout resume release-42.conf",
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := rollout.ReadPlan(args[0])
			if err != nil {
				return err
			}
			if err := rollout.SendCommand(p.Folder, rollout.CommandResume); err != nil {
				return fmt.Errorf("rollout %s was never begun: %w", p.Name, err)
			}
			return options.runController(cmd, p)
		},
	}
	options.addFlags(cmd)
	return cmd
}

// controllerOptions are the flags of commands that carry a rollout out.
type controllerOptions struct {
	output   string
	logLevel string
	takeOver bool
}

func (o *controllerOptions) addFlags(cmd *cobra.Command) {
	addOutputFlag(cmd, &o.output)
	cmd.Flags().BoolVar(&o.takeOver, "take-over", false,
		"from a process that carries it out and stands still; that one does nothing any more, should it go on")
	addLogLevelFlag(cmd, &o.logLevel)
}

// runController carries a rollout out until it ends or the process is told to end.
func (o *controllerOptions) runController(cmd *cobra.Command, p *rollout.Plan) error {
	log, err := newLogger(cmd.ErrOrStderr(), o.logLevel)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	c, err := rollout.Open(ctx, p, o.takeOver, log)
	if err != nil {
		return err
	}
	s, err := c.Run(ctx)
	if errors.Is(err, context.Canceled) {
		fmt.Fprintf(cmd.ErrOrStderr(), "left where it is; yokeroute rollout run %s goes on\n", p.File)
		return nil
	}
	if err != nil {
		return err
	}
	if err := printStatus(cmd.OutOrStdout(), s, o.output); err != nil {
		return err
	}
	if s.Phase != logic.Completed {
		return errNegative
	}
	return nil
}

func rolloutStatusCommand() *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:     "status PLAN|FOLDER",
		Short:   "print where a rollout is",
		Args:    cobra.ExactArgs(1),
		Example: "  yokeroute rollout status release-42.conf --output json",
		RunE: func(cmd *cobra.Command, args []string) error {
			folder, err := rolloutFolder(args[0])
			if err != nil {
				return err
			}
			s, err := rollout.ReadStatus(folder)
			if err != nil {
				return err
			}
			return printStatus(cmd.OutOrStdout(), s, output)
		},
	}
	addOutputFlag(cmd, &output)
	return cmd
}

func rolloutReportCommand() *cobra.Command {
	var out string
	cmd := &cobra.Command{
		Use:     "report PLAN|FOLDER",
		Short:   "make one page of a rollout",
		Args:    cobra.ExactArgs(1),
		Example: "  yokeroute rollout report release-42.conf --out release-42.html",
		RunE: func(cmd *cobra.Command, args []string) error {
			folder, err := rolloutFolder(args[0])
			if err != nil {
				return err
			}
			page, err := rollout.HTMLReport(folder)
			if err != nil {
				return err
			}
			if out == "" {
				out = filepath.Join(folder, "report.html")
			}
			fmt.Fprintln(cmd.OutOrStdout(), out)
			return os.WriteFile(out, page, 0o644)
		},
	}
	cmd.Flags().StringVar(&out, "out", "", "the page's file; report.html in the folder unless told")
	return cmd
}

func rolloutStopCommand() *cobra.Command {
	return operatorCommand("stop", rollout.CommandStop, "hold a rollout where it is")
}

func rolloutRollbackCommand() *cobra.Command {
	cmd := operatorCommand("rollback", rollout.CommandBack, "make all gatherers old again")
	cmd.Aliases = []string{"back"} // its name in earlier versions
	return cmd
}

// operatorCommand leaves a command for the controller.
func operatorCommand(name, command, short string) *cobra.Command {
	return &cobra.Command{
		Use:     name + " PLAN|FOLDER",
		Short:   short,
		Args:    cobra.ExactArgs(1),
		Example: "  yokeroute rollout " + name + " release-42.conf",
		RunE: func(cmd *cobra.Command, args []string) error {
			folder, err := rolloutFolder(args[0])
			if err != nil {
				return err
			}
			if err := rollout.SendCommand(folder, command); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "left for the controller, which takes it in its next round; "+
				"where none runs, the next one does")
			return nil
		},
	}
}

// rolloutFolder is a plan's folder, or the folder itself.
func rolloutFolder(name string) (string, error) {
	info, err := os.Stat(name)
	if err != nil {
		return "", err
	}
	if info.IsDir() {
		return name, nil
	}
	p, err := rollout.ReadPlan(name)
	if err != nil {
		return "", err
	}
	return p.Folder, nil
}

// printStatus writes a status as text or JSON.
func printStatus(w io.Writer, s *rollout.Status, output string) error {
	switch output {
	case outputJSON:
		return json.NewEncoder(w).Encode(s)
	case outputText:
	default:
		return fmt.Errorf("--output %q: is neither text nor json", output)
	}
	fmt.Fprintf(w, "rollout %s: %s, stage %s, as of %s by controller %d\n%s: %s\n\n", s.Name, s.Phase, s.Stage,
		time.UnixMilli(int64(s.ObservedAt)).Format("15:04:05"), s.FencingToken, s.Verdict, s.Reason)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "gatherer\tzone\tserves as\tready\tstep\tfault")
	for _, g := range s.Gatherers {
		ready := "no"
		if g.Ready {
			ready = "yes"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", g.Name, g.Zone, g.Variant, ready, g.Step, g.Fault)
	}
	return table.Flush()
}
