// Package pcg is a permuted congruential generator (PCG-XSH-RR 64/32).
package pcg

import "math/bits"

const (
	multiplier = 6364136223846793005
	increment  = 1442695040888963407
)

// Source gives the same numbers for the same seed, on every machine.
type Source struct{ state uint64 }

// New starts a source from a seed.
func New(seed uint64) *Source {
	s := &Source{state: seed + increment}
	s.Uint32()
	return s
}

// Uint32 gives the next number.
func (s *Source) Uint32() uint32 {
	old := s.state
	s.state = old*multiplier + increment
	return bits.RotateLeft32(uint32((old>>18^old)>>27), -int(old>>59))
}

// Float64 gives the next number in [0, 1).
func (s *Source) Float64() float64 { return float64(s.Uint32()) / (1 << 32) }
