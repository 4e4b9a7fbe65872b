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
	lease        *policylease.Lease
	fileRevision uint64 // of the own file
}

// addPolicy adds the operators' policy. A fallback policy or a file that the platform's settings rule out is an error:
// without it the gatherer would do what the rest of the fleet counts on it not to do.
func (a *assembly) addPolicy() error {
	var err error
	switch {
	case a.operatorFile.FallbackPolicy != "":
		a.policy, err = a.pollPolicyServers()
	case a.operatorFile.Policy != "":
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

func (a *assembly) leaseConfig() policylease.Config {
	return policylease.Config{Platform: a.settings, Clock: a.Picker.Now, OnChange: a.Picker.Wake}
}

// readOwnPolicy makes the policy of a file of the gatherer's own.
func (a *assembly) readOwnPolicy() (*policyPart, error) {
	p := &policyPart{lease: policylease.New(a.leaseConfig())}
	if err := p.reloadFile(&a.operatorFile); err != nil {
		return nil, err
	}
	a.hooks.operatorFileRead = append(a.hooks.operatorFileRead, p.reloadFile)
	return p, nil
}

// reloadFile applies the gatherer's own policy file.
func (p *policyPart) reloadFile(own *operator.File) error {
	if own.Policy == "" {
		return nil
	}
	read, err := policyfile.Read(own.Policy)
	if err != nil {
		return err
	}
	p.fileRevision++
	return p.lease.Hold(read, p.fileRevision)
}

// pollPolicyServers makes the policy of the policy servers, with the fallback policy for the time without a lease.
func (a *assembly) pollPolicyServers() (*policyPart, error) {
	fallback, err := policyfile.Read(a.operatorFile.FallbackPolicy)
	if err == nil {
		err = policylease.Validate(a.settings, fallback)
	}
	if err != nil {
		return nil, fmt.Errorf("policy floor: %w", err)
	}
	revision, err := policylease.LoadRevision(a.operatorFile.State)
	if err != nil {
		a.log.WithError(err).Warn("policy client: stored revision not read")
	}
	config := a.leaseConfig()
	config.Fallback = fallback
	config.Revision = revision
	lease := policylease.New(config)
	poller := policylease.NewPoller(lease, policylease.PollerConfig{
		Servers:     a.operatorFile.PolicyServers,
		Member:      policy.Member{Name: a.config.Name, Zone: a.settings.Zone, Fallback: fallback},
		Incarnation: process.Identity(a.Picker.Now()),
		Version:     version.Name(),
		StateFolder: a.operatorFile.State,
		Log:         a.log,
	})
	a.hooks.run = append(a.hooks.run, poller.Run)
	return &policyPart{lease: lease}, nil
}

// state is what reports contain of the policy.
func (p *policyPart) state() any { return p.lease.State() }
