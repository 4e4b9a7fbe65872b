package main

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"yokeroute/internal/config/policyfile"
	"yokeroute/internal/control/policyclient"
	"yokeroute/logic/policy"
)

func (o *policyOptions) proposeCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "propose FILE",
		Short: "put a policy forward; it takes hold everywhere or nowhere",
		Args:  cobra.ExactArgs(1),
		Example: "  yokeroute policy propose --policy-server 127.0.0.1:8700 --wait " +
			"--reason \"host s7 is being repaired\" policy.conf",
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := policyfile.Read(args[0])
			if err != nil {
				return err
			}
			return o.propose(cmd, p, o.reason)
		},
	}
	o.addWaitFlags(cmd)
	cmd.Flags().StringVar(&o.reason, "reason", "", "a sentence for the history")
	deprecateFlag(cmd.Flags(), "why", "reason")
	return cmd
}

func (o *policyOptions) revertCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "revert NUMBER",
		Short: "put forward the policy that was in force before a change; " +
			"one that is being prepared is given up",
		Args:    cobra.ExactArgs(1),
		Example: "  yokeroute policy revert --policy-server 127.0.0.1:8700 --wait 12",
		RunE: func(cmd *cobra.Command, args []string) error {
			var number uint64
			if _, err := fmt.Sscan(args[0], &number); err != nil {
				return fmt.Errorf("%q is no number of a change", args[0])
			}
			return o.revert(cmd, number)
		},
	}
	o.addWaitFlags(cmd)
	return cmd
}

func (o *policyOptions) addWaitFlags(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&o.wait, "wait", false,
		"until it holds everywhere or is given up; status 1 where it is given up")
	cmd.Flags().DurationVar(&o.timeout, "wait-timeout", defaultAwaitTimeout, "for how long")
	deprecateFlag(cmd.Flags(), "wait-most", "wait-timeout")
}

// propose proposes a policy for the committed epoch, and waits for its end where that is wanted.
func (o *policyOptions) propose(cmd *cobra.Command, p policy.Policy, reason string) error {
	s, err := o.client.Status(cmd.Context())
	if err != nil {
		return err
	}
	for _, d := range policy.Diff(s.Record.Policy, p) {
		fmt.Fprintln(cmd.ErrOrStderr(), formatDifference(d))
	}
	c, err := o.client.Propose(cmd.Context(), policyclient.Proposal{Base: s.Record.Epoch, Policy: p, Reason: reason})
	var rejected policy.RejectedError
	if errors.As(err, &rejected) {
		fmt.Fprintf(cmd.OutOrStdout(), "refused: %s\n", rejected.Reason)
		return errNegative
	}
	if err != nil {
		return err
	}
	return o.await(cmd, c)
}

// await waits for the end of a change, where that is wanted, and reports it.
func (o *policyOptions) await(cmd *cobra.Command, c *policy.Change) error {
	out := cmd.OutOrStdout()
	if !o.wait {
		fmt.Fprintf(out, "change %d is being prepared; yokeroute policy status tells how far it is\n", c.Number)
		return nil
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
	defer cancel()
	onProgress := func(line string) { fmt.Fprintln(cmd.ErrOrStderr(), line) }
	ended, err := o.client.Await(ctx, c.Number, onProgress)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		fmt.Fprintf(out, "change %d: not known to hold everywhere after %s\n", c.Number, o.timeout)
		return errNegative
	case err != nil:
		return err
	case ended.Outcome != policy.Committed:
		fmt.Fprintf(out, "change %d was given up: %s\n", ended.Number, ended.OutcomeReason)
		return errNegative
	}
	fmt.Fprintf(out, "change %d holds everywhere\n", ended.Number)
	return nil
}

// revert abandons a pending change, or proposes the policy from before a committed one.
func (o *policyOptions) revert(cmd *cobra.Command, number uint64) error {
	s, err := o.client.Status(cmd.Context())
	if err != nil {
		return err
	}
	if c := s.Record.Pending; c != nil && c.Number == number {
		if err := o.client.Abandon(cmd.Context(), number, "reverted while it was being prepared"); err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "change %d was given up\n", number)
		return nil
	}
	before, err := policyBefore(&s.Record, number)
	if err != nil {
		return err
	}
	return o.propose(cmd, before, fmt.Sprintf("reverts change %d", number))
}

// policyBefore returns the policy that was in force before a committed change.
func policyBefore(r *policy.Record, number uint64) (before policy.Policy, err error) {
	reverted := slices.IndexFunc(r.History, func(c policy.Change) bool {
		return c.Number == number && c.Outcome == policy.Committed
	})
	if reverted < 0 {
		return nil, fmt.Errorf("change %d was never decided, or so long ago that its policy is not kept", number)
	}
	known := r.TrimmedChanges == 0 // the first policy of all is the empty one
	for _, c := range r.History[:reverted] {
		if c.Outcome == policy.Committed {
			before = c.Policy
			known = true
		}
	}
	if !known {
		return nil, fmt.Errorf("the policy before change %d is not kept any more", number)
	}
	return before, nil
}
