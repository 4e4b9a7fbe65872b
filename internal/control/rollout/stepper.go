package rollout

import (
	"context"

	"yokeroute/logic/rollout"
)

// stepper changes gatherers to a variant.
type stepper interface {
	// step makes a gatherer serve as a variant, or returns an error. It may be called again for a step that an earlier
	// controller started.
	step(ctx context.Context, g int, to rollout.Variant, f fence) error
}

// fence prevents a controller from making steps after a later one has taken over.
type fence struct {
	token uint64       // fencing token of the controller
	check func() error // returns an error once a later controller has taken over
}

// newStepper returns the stepper of the overrides if they have one, and that of the plan otherwise.
func newStepper(p *Plan, o Overrides) stepper {
	switch {
	case o.Step != nil:
		return overrideStepper{p, o}
	case len(p.Commands) > 0:
		return commandStepper{p}
	}
	return processStepper{p}
}

// Overrides replaces the decisions and the steps, for experiments. A nil field leaves those of the plan in effect.
type Overrides struct {
	Strategy func(p rollout.Plan, at rollout.Position) rollout.Strategy
	Step     func(ctx context.Context, gatherer string, to rollout.Variant) error
}

// overrideStepper makes steps by calling the function of the overrides.
type overrideStepper struct {
	plan      *Plan
	overrides Overrides
}

func (s overrideStepper) step(ctx context.Context, g int, to rollout.Variant, _ fence) error {
	return s.overrides.Step(ctx, s.plan.Gatherers[g].Name, to)
}
