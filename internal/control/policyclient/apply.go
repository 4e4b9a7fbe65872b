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
		case policy.OnceOnly, policy.NoCopies, policy.Least:
			if e.Of != "" && !slices.Contains(settings.ClassNames(), e.Of) {
				return fmt.Errorf("%s: there is no index %s", e, e.Of)
			}
		}
		switch {
		case e.Kind == policy.Least && e.Value < settings.Class(e.Of).MinShare-1e-9:
			return fmt.Errorf("%s: the platform's least share is %g; a policy can't allow more", e, settings.Class(e.Of).MinShare)
		case e.Kind == policy.Share && settings.RetryBudgetWindow > 0 && e.Value > settings.RetryBudgetRatio+1e-9:
			return fmt.Errorf("%s: the platform's budget share is %g; a policy can't allow more", e, settings.RetryBudgetRatio)
		case e.Kind == policy.Free && settings.RetryBudgetWindow > 0 && e.Value > settings.RetryBudgetFloor+1e-9:
			return fmt.Errorf("%s: the platform has %g free further calls; a policy can't allow more", e, settings.RetryBudgetFloor)
		case (e.Kind == policy.Share || e.Kind == policy.Free) && settings.RetryBudgetWindow == 0:
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
		case policy.OnceOnly:
			if c := t.FindClass(e.Of); c != nil {
				c.Effect = gather.NonIdempotent
			}
		case policy.NoCopies:
			if e.Of == "" {
				t.HedgingAllowed = false
			} else if c := t.FindClass(e.Of); c != nil {
				c.HedgingForbidden = true
			}
		case policy.Least:
			// What is whole is still whole: a least share above it would leave nothing to answer.
			if c := t.FindClass(e.Of); c != nil {
				c.MinShare = max(e.Value, settings.Class(e.Of).MinShare)
				c.CompleteShare = max(e.Value, settings.Class(e.Of).CompleteShare)
			}
		case policy.Share:
			t.RetryBudgetRatio = min(e.Value, settings.RetryBudgetRatio)
		case policy.Free:
			t.RetryBudgetFloor = min(e.Value, settings.RetryBudgetFloor)
		case policy.Cold:
			t.OverloadMultiple = e.Value * settings.OverloadMultiple
		}
	}
	return t
}
