package rollout

import (
	"context"

	"yokeroute/logic/rollout"
)

// stepper makes steps.
type stepper interface {
	// step makes a gatherer serve as a variant, or returns why it could not. It may be called again for a step that
	// an earlier controller began.
	step(ctx context.Context, g int, to rollout.Variant, f fence) error
}

// fence keeps a controller from making steps after a later one has taken over.
type fence struct {
	token uint64       // the controller's
	check func() error // returns an error once a later controller has taken over
}

// newStepper returns the plan's stepper, or that of the overrides.
func newStepper(p *Plan, o Overrides) stepper {
	switch {
	case o.Step != nil:
		return overrideStepper{p, o}
	case len(p.Commands) > 0:
		return commandStepper{p}
	}
	return processStepper{p}
}

// Overrides replace the decisions and the steps, for experiments. Those that are nil are the plan's.
type Overrides struct {
	Strategy func(p rollout.Plan, at rollout.Position) rollout.Strategy
	Step     func(ctx context.Context, gatherer string, to rollout.Variant) error
}

// overrideStepper makes steps by a function.
type overrideStepper struct {
	plan      *Plan
	overrides Overrides
}

func (s overrideStepper) step(ctx context.Context, g int, to rollout.Variant, _ fence) error {
	return s.overrides.Step(ctx, s.plan.Gatherers[g].Name, to)
}
