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
	cmd := &cobra.Command{Use: "rollout", Short: "take a fleet from old to new in stages, and back where the new does worse"}
	var form, level string
	var over bool
	carry := func(cmd *cobra.Command, file, word string) error {
		p, err := rollout.ReadPlan(file)
		if err != nil {
			return err
		}
		if word != "" {
			if err := rollout.SendCommand(p.Folder, word); err != nil {
				return fmt.Errorf("rollout %s was never begun: %w", p.Name, err)
			}
		}
		log, err := logger(cmd.ErrOrStderr(), level)
		if err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		c, err := rollout.Open(ctx, p, over, log)
		if err != nil {
			return err
		}
		s, err := c.Run(ctx)
		if errors.Is(err, context.Canceled) {
			fmt.Fprintf(cmd.ErrOrStderr(), "left where it is; yokeroute rollout run %s goes on\n", file)
			return nil
		}
		if err != nil {
			return err
		}
		if err := tellRollout(cmd.OutOrStdout(), s, form); err != nil {
			return err
		}
		if s.Phase != logic.Completed {
			return errNegative
		}
		return nil
	}
	run := &cobra.Command{Use: "run PLAN", Short: "begin a rollout, or go on with one that was begun", Args: cobra.ExactArgs(1), Example: "  yokeroute rollout run release-42.conf",
		Long: "Begins a rollout, or goes on with one that was begun: what was done stands in the plan's folder.\nStatus 0: all gatherers are new. 1: it was stopped, or all are old again. 2: nothing was begun.",
		RunE: func(cmd *cobra.Command, args []string) error { return carry(cmd, args[0], "") }}
	resume := &cobra.Command{Use: "resume PLAN", Short: "go on with a rollout that was stopped", Args: cobra.ExactArgs(1), Example: "  yokeroute rollout resume release-42.conf",
		RunE: func(cmd *cobra.Command, args []string) error { return carry(cmd, args[0], "resume") }}
	for _, sub := range []*cobra.Command{run, resume} {
		sub.Flags().BoolVar(&over, "take-over", false, "from a process that carries it out and stands still; that one does nothing any more, should it go on")
		sub.Flags().StringVar(&level, "log-level", "info", "least level that is logged: debug, info, warning, error")
	}
	check := &cobra.Command{Use: "check PLAN", Short: "read a plan and all files that it names, and say what is wrong", Args: cobra.ExactArgs(1), Example: "  yokeroute rollout check release-42.conf",
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := rollout.ReadPlan(args[0])
			if err != nil {
				return err
			}
			if err := p.CheckFiles(); err != nil {
				return err
			}
			return p.Describe(cmd.OutOrStdout())
		}}
	status := &cobra.Command{Use: "status PLAN|FOLDER", Short: "tell what a rollout is at", Args: cobra.ExactArgs(1), Example: "  yokeroute rollout status release-42.conf --output json",
		RunE: func(cmd *cobra.Command, args []string) error {
			folder, err := folderOf(args[0])
			if err != nil {
				return err
			}
			s, err := rollout.ReadStatus(folder)
			if err != nil {
				return err
			}
			return tellRollout(cmd.OutOrStdout(), s, form)
		}}
	for _, sub := range []*cobra.Command{run, resume, status} {
		sub.Flags().StringVarP(&form, "output", "o", "text", "form of the answer: text or json")
	}
	var out string
	report := &cobra.Command{Use: "report PLAN|FOLDER", Short: "make one page of a rollout", Args: cobra.ExactArgs(1), Example: "  yokeroute rollout report release-42.conf --out release-42.html",
		RunE: func(cmd *cobra.Command, args []string) error {
			folder, err := folderOf(args[0])
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
		}}
	report.Flags().StringVar(&out, "out", "", "the page's file; report.html in the folder unless told")
	say := func(word, short string) *cobra.Command {
		return &cobra.Command{Use: word + " PLAN|FOLDER", Short: short, Args: cobra.ExactArgs(1), Example: "  yokeroute rollout " + word + " release-42.conf",
			RunE: func(cmd *cobra.Command, args []string) error {
				folder, err := folderOf(args[0])
				if err != nil {
					return err
				}
				if err := rollout.SendCommand(folder, word); err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "said; the process that carries the rollout out heeds it at its next look, or the next one that does\n")
				return nil
			}}
	}
	cmd.AddCommand(check, run, status, say("stop", "hold a rollout where it is"), say("back", "make all gatherers old again"), resume, report)
	return cmd
}

// folderOf is a plan's folder, or the folder itself.
func folderOf(name string) (string, error) {
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

// tellRollout writes a status.
func tellRollout(w io.Writer, s *rollout.Status, form string) error {
	switch form {
	case "json":
		return json.NewEncoder(w).Encode(s)
	case "text":
	default:
		return fmt.Errorf("--output %q: is neither text nor json", form)
	}
	fmt.Fprintf(w, "rollout %s: %s, stage %s, as of %s by controller %d\n%s: %s\n\n", s.Name, s.Phase, s.Stage, time.UnixMilli(int64(s.ObservedAt)).Format("15:04:05"), s.FencingToken, s.Verdict, s.Reason)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "gatherer\tzone\tserves as\tready\tstep\ttrouble")
	for _, g := range s.Gatherers {
		ready := "no"
		if g.Ready {
			ready = "yes"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", g.Name, g.Zone, g.Variant, ready, g.Step, g.Fault)
	}
	return t.Flush()
}
