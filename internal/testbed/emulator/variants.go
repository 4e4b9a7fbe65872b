package emulator

import (
	"fmt"
	"math"

	"yokeroute/gather"
	"yokeroute/internal/pcg"
	"yokeroute/internal/suggest"
	"yokeroute/logic/baselines"
)

// Ours is the project's own decisions.
var Ours = Variant{Name: "ours", Phases: true}

// Variants are all that can be played: ours, the baselines, and the clairvoyant, which sees the true state of all
// servers and is no policy but a bound that some policy might come near.
func Variants() []Variant {
	all := []Variant{Ours, {Name: "one-phase"}}
	for _, strategy := range baselines.Strategies {
		all = append(all, Variant{Name: strategy.Name, Module: func(seed uint64, settings *gather.Settings, _ Look) gather.Module {
			return baselines.New(seed, settings, strategy)
		}})
	}
	return append(all, Clairvoyant)
}

// Clairvoyant picks the replica that would be through with a part first, which no gatherer can know.
var Clairvoyant = Variant{Name: "clairvoyant", Module: func(seed uint64, settings *gather.Settings, look Look) gather.Module {
	return baselines.New(seed, settings, baselines.Strategy{Name: "clairvoyant", Choose: func(chance *pcg.Source, _ *int, servers []uint32, out []int) int {
		best, least := -1, math.Inf(1)
		for i, id := range servers {
			if wait := look(id) + 1e-3*float64(out[i]); wait < least {
				best, least = i, wait
			}
		}
		if best < 0 {
			return int(chance.Uint32() % uint32(len(servers)))
		}
		return best
	}})
}}

// VariantOf finds a variant by its name.
func VariantOf(name string) (Variant, error) {
	var names []string
	for _, v := range Variants() {
		if v.Name == name {
			return v, nil
		}
		names = append(names, v.Name)
	}
	return Variant{}, fmt.Errorf("%q is no variant%s; there are %v", name, suggest.Hint(name, names), names)
}
