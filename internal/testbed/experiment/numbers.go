package experiment

import (
	"slices"

	"gonum.org/v1/gonum/stat"
)

// median returns the median of values, 0 without any.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return stat.Quantile(0.5, stat.Empirical, sorted, nil)
}
