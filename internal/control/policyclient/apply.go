package policyclient

import (
	"fmt"
	"slices"

	"yokeroute/gather"
	"yokeroute/logic/policy"
)

// Fit says what the platform's settings say to a policy: an index that there is not, or a policy that would be looser.
func Fit(settings *gather.Settings, p policy.Policy) error {
	for _, e := range p {
		switch e.Kind {
		case policy.NonIdempotent, policy.NoHedging, policy.MinShare:
			if e.Subject != "" && !slices.Contains(settings.ClassNames(), e.Subject) {
				return fmt.Errorf("%s: there is no index %s", e, e.Subject)
			}
		}
		switch {
		case e.Kind == policy.MinShare && e.Value < settings.Class(e.Subject).MinShare-1e-9:
			return fmt.Errorf("%s: the platform's least share is %g; a policy can't allow more", e, settings.Class(e.Subject).MinShare)
		case e.Kind == policy.RetryShare && settings.RetryBudgetWindow > 0 && e.Value > settings.RetryBudgetRatio+1e-9:
			return fmt.Errorf("%s: the platform's budget share is %g; a policy can't allow more", e, settings.RetryBudgetRatio)
		case e.Kind == policy.RetryAllowance && settings.RetryBudgetWindow > 0 && e.Value > settings.RetryBudgetFloor+1e-9:
			return fmt.Errorf("%s: the platform has %g free further calls; a policy can't allow more", e, settings.RetryBudgetFloor)
		case (e.Kind == policy.RetryShare || e.Kind == policy.RetryAllowance) && settings.RetryBudgetWindow == 0:
			return fmt.Errorf("%s: the platform has no budget of further calls, and so no window for it", e)
		}
	}
	return nil
}

// Apply gives the terms that a policy leaves of the platform's. The platform's stay as they are, and are given back
// where the policy says nothing.
func Apply(settings *gather.Settings, p policy.Policy) *gather.Settings {
	if len(p) == 0 {
		return settings
	}
	t := settings.Clone()
	for _, e := range p {
		switch e.Kind {
		case policy.NonIdempotent:
			if c := t.FindClass(e.Subject); c != nil {
				c.Effect = gather.NonIdempotent
			}
		case policy.NoHedging:
			if e.Subject == "" {
				t.HedgingAllowed = false
			} else if c := t.FindClass(e.Subject); c != nil {
				c.HedgingForbidden = true
			}
		case policy.MinShare:
			// What is whole is still whole: a least share above it would leave nothing to answer.
			if c := t.FindClass(e.Subject); c != nil {
				c.MinShare = max(e.Value, settings.Class(e.Subject).MinShare)
				c.CompleteShare = max(e.Value, settings.Class(e.Subject).CompleteShare)
			}
		case policy.RetryShare:
			t.RetryBudgetRatio = min(e.Value, settings.RetryBudgetRatio)
		case policy.RetryAllowance:
			t.RetryBudgetFloor = min(e.Value, settings.RetryBudgetFloor)
		case policy.WarmUpShare:
			t.OverloadMultiple = e.Value * settings.OverloadMultiple
		}
	}
	return t
}
