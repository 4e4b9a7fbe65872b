package emulator

import (
	"yokeroute/gather"
	"yokeroute/logic/baselines"
)

type (
	gatherTerms  = *gather.Settings
	gatherModule = gather.Module
)

// newCareless is a baseline that does not know that servers start cold.
func newCareless(seed uint64, settings *gather.Settings) gather.Module {
	blind := settings.Clone()
	blind.WarmupTime = 0
	return baselines.New(seed, blind, baselines.Strategies[1])
}
