package service

import (
	"fmt"

	"yokeroute/internal/config/operator"
	"yokeroute/internal/control/policyclient"
	"yokeroute/internal/process"
	"yokeroute/internal/version"
	logic "yokeroute/logic/policy"
)

// policyPart is the operators' policy, from policy servers or from a file of the gatherer's own.
type policyPart struct {
	governor *policyclient.Governor
	readings uint64 // of the own file
}

// addPolicy adds the operators' policy. A fallback policy or a file that does not fit the platform's settings is an
// error: without one the gatherer would do what the rest of the fleet counts on it not to.
func (a *assembly) addPolicy() error {
	var err error
	switch {
	case a.own.FallbackPolicy != "":
		a.policy, err = a.followPolicyServers()
	case a.own.Policy != "":
		a.policy, err = a.readOwnPolicy()
	default:
		return nil
	}
	if err != nil {
		return err
	}
	a.Picker.SetPolicyGate(a.policy.governor)
	a.hooks.endpoints = append(a.hooks.endpoints, a.policy.governor.Follow)
	return nil
}

// readOwnPolicy makes the policy of a file of the gatherer's own.
func (a *assembly) readOwnPolicy() (*policyPart, error) {
	p := &policyPart{
		governor: policyclient.NewGovernor(a.settings, nil, logic.Revision{}, a.Picker.Now, a.Picker.Wake),
	}
	if err := p.reread(&a.own); err != nil {
		return nil, err
	}
	a.hooks.reread = append(a.hooks.reread, p.reread)
	return p, nil
}

// reread applies the gatherer's own policy file.
func (p *policyPart) reread(own *operator.File) error {
	if own.Policy == "" {
		return nil
	}
	policy, err := policyclient.Read(own.Policy)
	if err != nil {
		return err
	}
	p.readings++
	return p.governor.Hold(policy, p.readings)
}

// followPolicyServers makes the policy of the policy servers, with the fallback policy for the time without a lease.
func (a *assembly) followPolicyServers() (*policyPart, error) {
	fallback, err := policyclient.Read(a.own.FallbackPolicy)
	if err == nil {
		err = policyclient.Fit(a.settings, fallback)
	}
	if err != nil {
		return nil, fmt.Errorf("policy floor: %w", err)
	}
	revision, err := policyclient.OpenFence(a.own.State)
	if err != nil {
		a.log.WithError(err).Warn("policy: the stored revision can't be read; policy servers are trusted")
	}
	p := &policyPart{
		governor: policyclient.NewGovernor(a.settings, fallback, revision, a.Picker.Now, a.Picker.Wake),
	}
	heartbeat := logic.Heartbeat{
		Member:      logic.Member{Name: a.config.Name, Zone: a.settings.Zone, Fallback: fallback},
		Incarnation: process.Identity(a.Picker.Now()),
		Version:     version.Name(),
	}
	client := policyclient.NewFollower(p.governor, a.own.PolicyServers, heartbeat, a.own.State, a.log)
	a.hooks.run = append(a.hooks.run, client.Run)
	return p, nil
}

// state is what reports contain of the policy.
func (p *policyPart) state() any { return p.governor.State() }
