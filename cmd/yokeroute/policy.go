package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"yokeroute/internal/control/policyclient"
	logic "yokeroute/logic/policy"
)

func policyCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "policy", Short: "change what a whole fleet may do, everywhere or nowhere"}
	client := &policyclient.Client{}
	var form, why string
	var wait bool
	var limit time.Duration
	await := func(cmd *cobra.Command, c *logic.Change) error {
		if !wait {
			fmt.Fprintf(cmd.OutOrStdout(), "change %d is being prepared; yokeroute policy status tells how far it is\n", c.Number)
			return nil
		}
		ctx, cancel := context.WithTimeout(cmd.Context(), limit)
		defer cancel()
		end, err := client.Await(ctx, c.Number, func(line string) { fmt.Fprintln(cmd.ErrOrStderr(), line) })
		switch {
		case errors.Is(err, context.DeadlineExceeded):
			fmt.Fprintf(cmd.OutOrStdout(), "change %d: not known to hold everywhere after %s\n", c.Number, limit)
			return errNegative
		case err != nil:
			return err
		case end.Outcome != logic.Committed:
			fmt.Fprintf(cmd.OutOrStdout(), "change %d was given up: %s\n", end.Number, end.OutcomeReason)
			return errNegative
		}
		fmt.Fprintf(cmd.OutOrStdout(), "change %d holds everywhere\n", end.Number)
		return nil
	}
	// propose puts a policy forward for the epoch that is in force now.
	propose := func(cmd *cobra.Command, p logic.Policy, why string) error {
		s, err := client.Status(cmd.Context())
		if err != nil {
			return err
		}
		for _, line := range logic.Diff(s.Record.Policy, p) {
			fmt.Fprintln(cmd.ErrOrStderr(), mark(line))
		}
		c, err := client.Propose(cmd.Context(), "", s.Record.Epoch, p, why)
		var refusal logic.RejectedError
		if errors.As(err, &refusal) {
			fmt.Fprintf(cmd.OutOrStdout(), "refused: %s\n", refusal.Reason)
			return errNegative
		}
		if err != nil {
			return err
		}
		return await(cmd, c)
	}
	check := &cobra.Command{Use: "check FILE", Short: "read a policy file and say what is wrong with it", Args: cobra.ExactArgs(1),
		Example: "  yokeroute policy check policy.conf",
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := policyclient.Read(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %d entries, reads well\n", args[0], len(p))
			return nil
		}}
	diff := &cobra.Command{Use: "diff FILE [FILE]", Short: "say what a change means: from what is in force, or from the first file to the second", Args: cobra.RangeArgs(1, 2),
		Example: "  yokeroute policy diff --steward 127.0.0.1:8700 policy.conf\n  yokeroute policy diff old.conf new.conf",
		RunE: func(cmd *cobra.Command, args []string) error {
			to, err := policyclient.Read(args[len(args)-1])
			if err != nil {
				return err
			}
			var from logic.Policy
			if len(args) == 2 {
				if from, err = policyclient.Read(args[0]); err != nil {
					return err
				}
			} else {
				s, err := client.Status(cmd.Context())
				if err != nil {
					return err
				}
				from = s.Record.Policy
			}
			lines := logic.Diff(from, to)
			for _, line := range lines {
				fmt.Fprintln(cmd.OutOrStdout(), mark(line))
			}
			if len(lines) == 0 {
				fmt.Fprintln(cmd.OutOrStdout(), "no difference")
			}
			return nil
		}}
	put := &cobra.Command{Use: "propose FILE", Short: "put a policy forward; it takes hold everywhere or nowhere", Args: cobra.ExactArgs(1),
		Example: "  yokeroute policy propose --steward 127.0.0.1:8700 --wait --why \"host s7 is being repaired\" policy.conf",
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := policyclient.Read(args[0])
			if err != nil {
				return err
			}
			return propose(cmd, p, why)
		}}
	revert := &cobra.Command{Use: "revert NUMBER", Short: "put forward the policy that was in force before a change; one that is being prepared is given up", Args: cobra.ExactArgs(1),
		Example: "  yokeroute policy revert --steward 127.0.0.1:8700 --wait 12",
		RunE: func(cmd *cobra.Command, args []string) error {
			var number uint64
			if _, err := fmt.Sscan(args[0], &number); err != nil {
				return fmt.Errorf("%q is no number of a change", args[0])
			}
			s, err := client.Status(cmd.Context())
			if err != nil {
				return err
			}
			if c := s.Record.Pending; c != nil && c.Number == number {
				if err := client.GiveUp(cmd.Context(), number, "reverted while it was being prepared"); err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "change %d was given up\n", number)
				return nil
			}
			at := slices.IndexFunc(s.Record.History, func(c logic.Change) bool { return c.Number == number && c.Outcome == logic.Committed })
			if at < 0 {
				return fmt.Errorf("change %d was never decided, or so long ago that its policy is not kept", number)
			}
			var before logic.Policy
			found := s.Record.TrimmedChanges == 0
			for _, c := range s.Record.History[:at] {
				if c.Outcome == logic.Committed {
					before, found = c.Policy, true
				}
			}
			if !found {
				return fmt.Errorf("the policy before change %d is not kept any more", number)
			}
			return propose(cmd, before, fmt.Sprintf("reverts change %d", number))
		}}
	status := &cobra.Command{Use: "status", Short: "tell how far every gatherer is", Args: cobra.NoArgs,
		Example: "  yokeroute policy status --steward 127.0.0.1:8700 --output json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := client.Status(cmd.Context())
			if err != nil {
				return err
			}
			return tellPolicy(cmd.OutOrStdout(), s, form)
		}}
	history := &cobra.Command{Use: "history", Short: "list changes, the newest first", Args: cobra.NoArgs,
		Example: "  yokeroute policy history --steward 127.0.0.1:8700",
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := client.Status(cmd.Context())
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "change\tproposed\tend\twhy\tword")
			for _, c := range slices.Backward(s.Record.History) {
				fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", c.Number, time.UnixMilli(int64(c.ProposedAt)).Format(time.DateTime), c.Outcome, c.Reason, c.OutcomeReason)
			}
			if s.Record.TrimmedChanges > 0 {
				fmt.Fprintf(w, "and %d before these\n", s.Record.TrimmedChanges)
			}
			return w.Flush()
		}}
	forget := &cobra.Command{Use: "forget GATHERER", Short: "strike a gatherer that will never come back", Args: cobra.ExactArgs(1),
		Example: "  yokeroute policy forget --steward 127.0.0.1:8700 g17",
		RunE:    func(cmd *cobra.Command, args []string) error { return client.Forget(cmd.Context(), args[0]) }}
	keep := &cobra.Command{Use: "steward add|remove NAME", Short: "take a steward in or out of those that agree", Args: cobra.ExactArgs(2),
		Example: "  yokeroute policy steward --steward 127.0.0.1:8700 add s4",
		RunE: func(cmd *cobra.Command, args []string) error {
			if args[0] != "add" && args[0] != "remove" {
				return fmt.Errorf("%q is neither add nor remove", args[0])
			}
			return client.Steward(cmd.Context(), args[1], args[0] == "remove")
		}}
	for _, sub := range []*cobra.Command{check, diff, put, revert, status, history, forget, keep} {
		run := sub.RunE
		sub.RunE = func(cmd *cobra.Command, args []string) error {
			if len(client.Stewards) == 0 && cmd != check && !(cmd == diff && len(args) == 2) {
				return errors.New("--steward ADDRESS is needed, once for each steward")
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			cmd.SetContext(ctx)
			return run(cmd, args)
		}
		cmd.AddCommand(sub)
	}
	cmd.PersistentFlags().StringSliceVar(&client.Stewards, "steward", nil, "address of a steward, of each that may lead")
	for _, sub := range []*cobra.Command{put, revert} {
		sub.Flags().BoolVar(&wait, "wait", false, "until it holds everywhere or is given up; status 1 where it is given up")
		sub.Flags().DurationVar(&limit, "wait-most", 5*time.Minute, "for how long")
	}
	put.Flags().StringVar(&why, "why", "", "a sentence for the history")
	status.Flags().StringVarP(&form, "output", "o", "text", "form of the answer: text or json")
	return cmd
}

func mark(l logic.Difference) string {
	if l.Tightens {
		return "tighter  " + l.Text
	}
	return "looser   " + l.Text
}

// tellPolicy prints a status.
func tellPolicy(w io.Writer, s *policyclient.Status, form string) error {
	if form == "json" {
		return json.NewEncoder(w).Encode(s)
	}
	fmt.Fprintf(w, "epoch %d is in force, told by %s\n", s.Record.Epoch, s.Steward)
	for _, e := range s.Record.Policy {
		fmt.Fprintf(w, "  %s\n", e)
	}
	if c := s.Record.Pending; c != nil {
		fmt.Fprintf(w, "change %d is being prepared: %s\n", c.Number, s.Waits)
		for _, line := range logic.Diff(s.Record.Policy, c.Policy) {
			fmt.Fprintf(w, "  %s\n", mark(line))
		}
	} else if !s.Everywhere {
		fmt.Fprintf(w, "not everywhere yet: %v\n", s.Missing)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "gatherer\tzone\tstate\tepoch\theard\tversion\t")
	for _, g := range s.Standings {
		heard := "never by this steward"
		if g.SinceLastPoll >= 0 {
			heard = fmt.Sprintf("%.1f s ago", g.SinceLastPoll/1000)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", g.Name, g.Zone, g.State, g.Applied.Epoch, heard, g.Version, g.Detail)
	}
	return t.Flush()
}
