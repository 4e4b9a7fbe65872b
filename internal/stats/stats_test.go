package stats

import (
	"slices"
	"testing"

	"yokeroute/internal/pcg"
)

// TestMedian compares with sorting, on values with many alike, few alike, in order and backwards.
func TestMedian(t *testing.T) {
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
		if got := Median(slices.Clone(values), 7); got != sorted[len(sorted)/2] {
			t.Fatalf("the median of %v is %v", sorted, got)
		}
		if got := selectRank(values, k); got != sorted[k] {
			t.Fatalf("number %d of %v is %v", k, sorted, got)
		}
	}
	if got := Median(nil, 7); got != 7 {
		t.Errorf("the median of nothing is %v", got)
	}
}

// TestQuantile compares with sorting, at the ends, in the middle and between, and leaves the values as they are.
func TestQuantile(t *testing.T) {
	if got := Quantile(nil, 0.5); got != 0 {
		t.Errorf("of nothing: %v", got)
	}
	chance := pcg.New(3)
	for n := 1; n < 200; n += 7 {
		values := make([]float64, n)
		for i := range values {
			values[i] = float64(chance.Uint32() % 50)
		}
		before, ordered := slices.Clone(values), slices.Sorted(slices.Values(values))
		for _, share := range []float64{0, 0.25, 0.5, 0.99, 1} {
			if got, want := Quantile(values, share), ordered[min(int(share*float64(n)), n-1)]; got != want {
				t.Errorf("of %d at %v: %v, want %v", n, share, got, want)
			}
		}
		if !slices.Equal(values, before) {
			t.Fatal("the values were moved")
		}
	}
}
