package policylease

import (
	"fmt"
	"slices"

	"yokeroute/gather"
	"yokeroute/logic/policy"
)

// valueTolerance is the amount by which a policy's value may be beyond the platform's value. Both are parsed from
// decimal text.
const valueTolerance = 1e-9

// Validate returns an error if a policy names a class that the platform's settings do not have, or is less strict than
// these settings.
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
		if minShare := settings.Class(e.Subject).MinShare; e.Value < minShare-valueTolerance {
			return fmt.Errorf("%s: is less than the platform's minimum share %g; a policy can't be less strict", e, minShare)
		}
		return nil
	case policy.RetryShare, policy.RetryAllowance:
		if settings.RetryBudgetWindow == 0 {
			return fmt.Errorf("%s: the platform's settings have no retry budget, and so no window for it", e)
		}
	}
	switch maxRatio, maxAllowance := settings.RetryBudgetRatio, settings.RetryBudgetFloor; {
	case e.Kind == policy.RetryShare && e.Value > maxRatio+valueTolerance:
		return fmt.Errorf("%s: exceeds the platform's retry budget share %g; a policy can't be less strict", e, maxRatio)
	case e.Kind == policy.RetryAllowance && e.Value > maxAllowance+valueTolerance:
		return fmt.Errorf("%s: exceeds the platform's retry allowance of %g; a policy can't be less strict", e, maxAllowance)
	}
	return nil
}

// Apply returns the platform's settings with the restrictions of a policy. It does not modify the given settings, and
// returns them if the policy is empty.
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

// applyToClass applies an entry to the class that it names. A NoHedging entry without a class applies to all classes.
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
		// An answer that counts as complete must be permitted, so CompleteShare has to be at least MinShare.
		class.MinShare = max(e.Value, class.MinShare)
		class.CompleteShare = max(e.Value, class.CompleteShare)
	}
}
