// Package policyfile reads and formats policy files: the operators' text form of a policy.
package policyfile

import (
	"fmt"

	"yokeroute/internal/config/directive"
	"yokeroute/logic/policy"
)

// Read reads a policy file.
func Read(file string) (policy.Policy, error) {
	return read(file, func(t *directive.Table) error { return t.Read(file) })
}

// Parse reads the text of a policy file. Name stands for the file in errors.
func Parse(name, text string) (policy.Policy, error) {
	return read(name, func(t *directive.Table) error { return t.Parse(name, text) })
}

func read(name string, parse func(t *directive.Table) error) (policy.Policy, error) {
	var entries []policy.Entry
	if err := parse(Directives(&entries)); err != nil {
		return nil, err
	}
	p, err := policy.New(entries)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return p, nil
}

// Reference returns the reference page of policy files.
func Reference() string { return Directives(new([]policy.Entry)).Reference() }
