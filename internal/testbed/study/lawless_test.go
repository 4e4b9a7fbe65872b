package study

import (
	"yokeroute/gather"
	"yokeroute/internal/rulecheck"
	"yokeroute/internal/testbed/emulator"
	"yokeroute/logic/baselines"
)

var breakOf6 = rulecheck.Violation{Rule: 6, Message: "seven part calls too many"}

// lawless takes once-only indexes for idempotent ones: it breaks rule 2 wherever a call is cut.
var lawless = emulator.Variant{Name: "lawless", Module: func(seed uint64, settings *gather.Settings, _ emulator.Look) gather.Module {
	blind := settings.Clone()
	for i := range blind.Classes {
		if blind.Classes[i].Effect == gather.NonIdempotent {
			blind.Classes[i].Effect = gather.Idempotent
		}
	}
	return baselines.New(seed, blind, baselines.Strategies[1])
}}
