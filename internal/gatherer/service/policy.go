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

// policyPart holds the operators' policy, which comes from policy servers or from a local file.
type policyPart struct {
	lease        *policylease.Lease
	fileRevision uint64 // number of times the local file was read; the revision of its policy
}

// addPolicy adds the operators' policy. It is an error if the fallback policy or the local file is invalid under the
// platform's settings: without its policy the gatherer would do what the rest of the fleet relies on it not to do.
func (a *assembly) addPolicy() error {
	var err error
	switch {
	case a.operatorFile.FallbackPolicy != "":
		a.policy, err = a.pollPolicyServers()
	case a.operatorFile.Policy != "":
		a.policy, err = a.readLocalPolicy()
	default:
		return nil
	}
	if err != nil {
		return err
	}
	a.Picker.SetPolicyGate(a.policy.lease)
	a.hooks.endpoints = append(a.hooks.endpoints, a.policy.lease.UpdateEndpoints)
	return nil
}

func (a *assembly) leaseConfig() policylease.Config {
	return policylease.Config{Platform: a.settings, Clock: a.Picker.Now, OnChange: a.Picker.Wake}
}

// readLocalPolicy returns the policy of a local file, which is read again with the operator's file.
func (a *assembly) readLocalPolicy() (*policyPart, error) {
	p := &policyPart{lease: policylease.New(a.leaseConfig())}
	if err := p.reloadFile(&a.operatorFile); err != nil {
		return nil, err
	}
	a.hooks.operatorFileRead = append(a.hooks.operatorFileRead, p.reloadFile)
	return p, nil
}

// reloadFile reads and applies the local policy file, if the operator's file names one.
func (p *policyPart) reloadFile(operatorFile *operator.File) error {
	if operatorFile.Policy == "" {
		return nil
	}
	document, err := policyfile.Read(operatorFile.Policy)
	if err != nil {
		return err
	}
	p.fileRevision++
	return p.lease.ApplyLocal(document, p.fileRevision)
}

// pollPolicyServers returns the policy of the policy servers. The fallback policy applies while there is no lease.
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
		a.log.WithError(err).Warn("policy client: cannot read stored revision")
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

// state returns the policy state that reports contain.
func (p *policyPart) state() any { return p.lease.State() }
