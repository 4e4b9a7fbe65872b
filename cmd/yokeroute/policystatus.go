package main

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"yokeroute/internal/control/policyapi"
	"yokeroute/logic/policy"
)

func (o *policyOptions) statusCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "tell how far every gatherer is",
		Args:    cobra.NoArgs,
		Example: "  yokeroute policy status --policy-server 127.0.0.1:8700 --output json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := o.client.Status(cmd.Context())
			if err != nil {
				return err
			}
			if o.output == outputJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(s)
			}
			return printPolicyStatus(cmd.OutOrStdout(), s)
		},
	}
	addOutputFlag(cmd, &o.output)
	return cmd
}

func printPolicyStatus(w io.Writer, s *policyapi.Status) error {
	fmt.Fprintf(w, "epoch %d is in force, told by %s\n", s.Record.Epoch, s.Server)
	for _, e := range s.Record.Policy {
		fmt.Fprintf(w, "  %s\n", e)
	}
	switch c := s.Record.Pending; {
	case c != nil:
		fmt.Fprintf(w, "change %d is being prepared: %s\n", c.Number, s.WaitingFor)
		for _, d := range policy.Diff(s.Record.Policy, c.Policy) {
			fmt.Fprintf(w, "  %s\n", formatDifference(d))
		}
	case !s.AppliedEverywhere:
		fmt.Fprintf(w, "not everywhere yet: %v\n", s.Missing)
	}
	return printMembers(w, s.Members)
}

func printMembers(w io.Writer, members []policy.MemberStatus) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "gatherer\tzone\tstate\tepoch\theard\tversion\t")
	for _, m := range members {
		polled := "never by this server"
		if m.SinceLastPoll >= 0 {
			polled = fmt.Sprintf("%.1f s ago", m.SinceLastPoll/1000)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n",
			m.Name, m.Zone, m.State, m.Applied.Epoch, polled, m.Version, m.Detail)
	}
	return table.Flush()
}

func (o *policyOptions) historyCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "history",
		Short:   "list changes, the newest first",
		Args:    cobra.NoArgs,
		Example: "  yokeroute policy history --policy-server 127.0.0.1:8700",
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := o.client.Status(cmd.Context())
			if err != nil {
				return err
			}
			return printPolicyHistory(cmd.OutOrStdout(), &s.Record)
		},
	}
}

func printPolicyHistory(w io.Writer, r *policy.Record) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "change\tproposed\tend\twhy\tword")
	for _, c := range slices.Backward(r.History) {
		proposedAt := time.UnixMilli(int64(c.ProposedAt)).Format(time.DateTime)
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", c.Number, proposedAt, c.Outcome, c.Reason, c.OutcomeReason)
	}
	if r.TrimmedChanges > 0 {
		fmt.Fprintf(table, "and %d before these\n", r.TrimmedChanges)
	}
	return table.Flush()
}
