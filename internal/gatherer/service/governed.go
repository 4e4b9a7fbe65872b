package service

import (
	"context"
	"fmt"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
	"yokeroute/internal/config/policyfile"
	"yokeroute/internal/control/policylease"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/internal/process"
	"yokeroute/internal/version"
	"yokeroute/logic/policy"
)

// governed wires the operators' policies into a gatherer. A nil one leaves all decisions to the platform's settings.
type governed struct {
	lease  *policylease.Lease
	poller *policylease.Poller // nil where the policy is the gatherer's own file
	number uint64              // counts the readings of that file
}

// govern applies the operators' policies, where the operator's file names some. A fallback policy or a policy file that
// the platform's settings rule out is an error: without it the gatherer would do what the rest of the fleet counts on
// it not to do.
func govern(c *platform.Config, own *operator.File, settings *gather.Settings, picker *dispatch.Picker, log *logrus.Logger) (*governed, error) {
	if own.FallbackPolicy+own.Policy == "" {
		return nil, nil
	}
	config := policylease.Config{Platform: settings, Clock: picker.Now, OnChange: picker.Wake}
	if own.FallbackPolicy == "" {
		g := &governed{lease: policylease.New(config)}
		if err := g.reread(own); err != nil {
			return nil, err
		}
		picker.SetPolicyGate(g.lease)
		return g, nil
	}
	fallback, err := policyfile.Read(own.FallbackPolicy)
	if err == nil {
		err = policylease.Validate(settings, fallback)
	}
	if err != nil {
		return nil, fmt.Errorf("policy floor: %w", err)
	}
	revision, err := policylease.LoadRevision(own.State)
	if err != nil {
		log.WithError(err).Warn("policy client: stored revision not read")
	}
	config.Fallback = fallback
	config.Revision = revision
	g := &governed{lease: policylease.New(config)}
	g.poller = policylease.NewPoller(g.lease, policylease.PollerConfig{
		Servers:     own.PolicyServers,
		Member:      policy.Member{Name: c.Name, Zone: settings.Zone, Fallback: fallback},
		Incarnation: process.Identity(picker.Now()),
		Version:     version.Name(),
		StateFolder: own.State,
		Log:         log,
	})
	picker.SetPolicyGate(g.lease)
	return g, nil
}

// reread takes over the gatherer's own policy file.
func (g *governed) reread(own *operator.File) error {
	if g == nil || own.Policy == "" || g.poller != nil {
		return nil
	}
	p, err := policyfile.Read(own.Policy)
	if err != nil {
		return err
	}
	g.number++
	return g.lease.Hold(p, g.number)
}

// run follows the stewards until ctx ends.
func (g *governed) run(ctx context.Context) {
	if g != nil && g.poller != nil {
		g.poller.Run(ctx)
	}
}

func (g *governed) follow(list gather.EndpointList, all []shardcall.Address) {
	if g != nil {
		g.lease.Follow(list, all)
	}
}

// tells gives what the gatherer tells of its policy, nil where it follows none.
func (g *governed) tells() func() any {
	if g == nil {
		return nil
	}
	return func() any { return g.lease.State() }
}
