package service

import (
	"fmt"

	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/policyfile"
	"yokeroute/internal/control/policylease"
	"yokeroute/internal/process"
	"yokeroute/internal/version"
	"yokeroute/logic/policy"
)

// policyPart is the operators' policy, from policy servers or from a file of the gatherer's own.
type policyPart struct {
	lease    *policylease.Lease
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
	a.Picker.SetPolicyGate(a.policy.lease)
	a.hooks.endpoints = append(a.hooks.endpoints, a.policy.lease.Follow)
	return nil
}

// readOwnPolicy makes the policy of a file of the gatherer's own.
func (a *assembly) readOwnPolicy() (*policyPart, error) {
	p := &policyPart{lease: policylease.New(a.leaseConfig())}
	if err := p.reread(&a.own); err != nil {
		return nil, err
	}
	a.hooks.reread = append(a.hooks.reread, p.reread)
	return p, nil
}

// reread applies the gatherer's own policy file.
func (p *policyPart) reread(file *operator.File) error {
	if file.Policy == "" {
		return nil
	}
	own, err := policyfile.Read(file.Policy)
	if err != nil {
		return err
	}
	p.readings++
	return p.lease.Hold(own, p.readings)
}

// followPolicyServers makes the policy of the policy servers, with the fallback policy for the time without a lease.
func (a *assembly) followPolicyServers() (*policyPart, error) {
	fallback, err := policyfile.Read(a.own.FallbackPolicy)
	if err == nil {
		err = policylease.Validate(a.settings, fallback)
	}
	if err != nil {
		return nil, fmt.Errorf("policy floor: %w", err)
	}
	revision, err := policylease.LoadRevision(a.own.State)
	if err != nil {
		a.log.WithError(err).Warn("policy client: stored revision not read")
	}
	config := a.leaseConfig()
	config.Fallback = fallback
	config.Revision = revision
	p := &policyPart{lease: policylease.New(config)}
	poller := policylease.NewPoller(p.lease, policylease.PollerConfig{
		Servers:     a.own.PolicyServers,
		Member:      policy.Member{Name: a.config.Name, Zone: a.settings.Zone, Fallback: fallback},
		Incarnation: process.Identity(a.Picker.Now()),
		Version:     version.Name(),
		StateFolder: a.own.State,
		Log:         a.log,
	})
	a.hooks.run = append(a.hooks.run, poller.Run)
	return p, nil
}

// leaseConfig is the configuration of a lease without a fallback policy.
func (a *assembly) leaseConfig() policylease.Config {
	return policylease.Config{Platform: a.settings, Clock: a.Picker.Now, OnChange: a.Picker.Wake}
}

// state is what reports contain of the policy.
func (p *policyPart) state() any { return p.lease.State() }
