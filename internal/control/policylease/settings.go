package policylease

import (
	"fmt"
	"slices"

	"yokeroute/gather"
	"yokeroute/logic/policy"
)

// tolerance is by how much a policy's value may exceed the platform's: both were read from decimal text.
const tolerance = 1e-9

// Validate reports why the platform's settings rule out a policy: it names a class that they do not have, or is
// looser than they are.
func Validate(settings *gather.Settings, p policy.Policy) error {
	for _, e := range p {
		if err := validateClass(settings, e); err != nil {
			return err
		}
		if err := validateValue(settings, e); err != nil {
			return err
		}
	}
	return nil
}

func validateClass(settings *gather.Settings, e policy.Entry) error {
	switch e.Kind {
	case policy.NonIdempotent, policy.NoHedging, policy.MinShare:
		if e.Subject != "" && !slices.Contains(settings.ClassNames(), e.Subject) {
			return fmt.Errorf("%s: there is no index %s", e, e.Subject)
		}
	}
	return nil
}

func validateValue(settings *gather.Settings, e policy.Entry) error {
	switch e.Kind {
	case policy.MinShare:
		if least := settings.Class(e.Subject).MinShare; e.Value < least-tolerance {
			return fmt.Errorf("%s: the platform's least share is %g; a policy can't allow more", e, least)
		}
		return nil
	case policy.RetryShare, policy.RetryAllowance:
		if settings.RetryBudgetWindow == 0 {
			return fmt.Errorf("%s: the platform has no budget of further calls, and so no window for it", e)
		}
	}
	switch share, free := settings.RetryBudgetRatio, settings.RetryBudgetFloor; {
	case e.Kind == policy.RetryShare && e.Value > share+tolerance:
		return fmt.Errorf("%s: the platform's budget share is %g; a policy can't allow more", e, share)
	case e.Kind == policy.RetryAllowance && e.Value > free+tolerance:
		return fmt.Errorf("%s: the platform has %g free further calls; a policy can't allow more", e, free)
	}
	return nil
}

// Apply returns the platform's settings as a policy restricts them. The given settings are not modified, and are
// returned where the policy is empty.
func Apply(settings *gather.Settings, p policy.Policy) *gather.Settings {
	if len(p) == 0 {
		return settings
	}
	restricted := settings.Clone()
	for _, e := range p {
		switch e.Kind {
		case policy.NonIdempotent, policy.NoHedging, policy.MinShare:
			applyToClass(restricted, e)
		case policy.RetryShare:
			restricted.RetryBudgetRatio = min(e.Value, settings.RetryBudgetRatio)
		case policy.RetryAllowance:
			restricted.RetryBudgetFloor = min(e.Value, settings.RetryBudgetFloor)
		case policy.WarmUpShare:
			restricted.OverloadMultiple = e.Value * settings.OverloadMultiple
		}
	}
	return restricted
}

// applyToClass restricts the class that an entry names, or all classes.
func applyToClass(settings *gather.Settings, e policy.Entry) {
	if e.Kind == policy.NoHedging && e.Subject == "" {
		settings.HedgingAllowed = false
		return
	}
	class := settings.FindClass(e.Subject)
	if class == nil {
		return
	}
	switch e.Kind {
	case policy.NonIdempotent:
		class.Effect = gather.NonIdempotent
	case policy.NoHedging:
		class.HedgingForbidden = true
	case policy.MinShare:
		// An answer that counts as complete must be allowed, so the threshold of completeness rises as well.
		class.MinShare = max(e.Value, class.MinShare)
		class.CompleteShare = max(e.Value, class.CompleteShare)
	}
}
