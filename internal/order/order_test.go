package order

import (
	"slices"
	"testing"

	"yokeroute/internal/pcg"
)

// TestKth compares with sorting, on values with many alike, few alike, in order and backwards.
func TestKth(t *testing.T) {
	chance := pcg.New(7)
	for round := range 2000 {
		values := make([]float64, 1+round%40)
		for i := range values {
			values[i] = float64(chance.Uint32() % uint32(1+round%50))
		}
		sorted := slices.Clone(values)
		slices.Sort(sorted)
		switch round % 4 {
		case 1:
			copy(values, sorted)
		case 2:
			copy(values, sorted)
			slices.Reverse(values)
		}
		k := int(chance.Uint32()) % len(values)
		if got := Kth(values, k); got != sorted[k] {
			t.Fatalf("number %d of %v is %v", k, sorted, got)
		}
	}
}
