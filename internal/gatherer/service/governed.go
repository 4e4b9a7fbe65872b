package service

import (
	"context"
	"fmt"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
	"yokeroute/internal/control/policyclient"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/internal/process"
	"yokeroute/internal/version"
	logic "yokeroute/logic/policy"
)

// governed wires the operators' policies into a gatherer. A nil one leaves all decisions to the platform's settings.
type governed struct {
	governor *policyclient.Governor
	follower *policyclient.Follower // nil where the policy is the gatherer's own file
	number   uint64                 // of the own file's readings
}

// govern makes it. A floor or a file that does not fit the platform's settings ends the start: without one the gatherer
// would do what the rest of the fleet counts on it not to.
func govern(c *platform.Config, own *operator.File, settings *gather.Settings, picker *dispatch.Picker, log *logrus.Logger) (*governed, error) {
	if own.FallbackPolicy+own.Policy == "" {
		return nil, nil
	}
	if own.FallbackPolicy == "" {
		g := &governed{governor: policyclient.NewGovernor(settings, nil, logic.Revision{}, picker.Now, picker.Wake)}
		if err := g.reread(own); err != nil {
			return nil, err
		}
		picker.SetPolicyGate(g.governor)
		return g, nil
	}
	floor, err := policyclient.Read(own.FallbackPolicy)
	if err == nil {
		err = policyclient.Fit(settings, floor)
	}
	if err != nil {
		return nil, fmt.Errorf("policy floor: %w", err)
	}
	fence, err := policyclient.OpenFence(own.State)
	if err != nil {
		log.WithError(err).Warn("policy: how far the process before this one had come can't be read; what the stewards tell is trusted")
	}
	g := &governed{governor: policyclient.NewGovernor(settings, floor, fence, picker.Now, picker.Wake)}
	me := logic.Heartbeat{Member: logic.Member{Name: c.Name, Zone: settings.Zone, Fallback: floor}, Incarnation: process.Identity(picker.Now()), Version: version.Name()}
	g.follower = policyclient.NewFollower(g.governor, own.PolicyServers, me, own.State, log)
	picker.SetPolicyGate(g.governor)
	return g, nil
}

// reread takes over the gatherer's own policy file.
func (g *governed) reread(own *operator.File) error {
	if g == nil || own.Policy == "" || g.follower != nil {
		return nil
	}
	p, err := policyclient.Read(own.Policy)
	if err != nil {
		return err
	}
	g.number++
	return g.governor.Hold(p, g.number)
}

// run follows the stewards until ctx ends.
func (g *governed) run(ctx context.Context) {
	if g != nil && g.follower != nil {
		g.follower.Run(ctx)
	}
}

func (g *governed) follow(list gather.EndpointList, all []shardcall.Address) {
	if g != nil {
		g.governor.Follow(list, all)
	}
}

// tells gives what the gatherer tells of its policy, nil where it follows none.
func (g *governed) tells() func() any {
	if g == nil {
		return nil
	}
	return func() any { return g.governor.State() }
}
