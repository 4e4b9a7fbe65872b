// Package stats computes order statistics.
package stats

import "slices"

// Median returns the middle value, the upper one of two, or otherwise where there are no values. It reorders values.
func Median(values []float64, otherwise float64) float64 {
	if len(values) == 0 {
		return otherwise
	}
	return selectRank(values, len(values)/2)
}

// Quantile returns the value at a share of the sorted values, 0 where there are no values. It does not reorder values.
func Quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	return selectRank(slices.Clone(values), min(int(share*float64(len(values))), len(values)-1))
}

// selectRank returns the value that would stand at k if values were sorted, by Hoare's selection, which takes linear time.
// It reorders values.
func selectRank(values []float64, k int) float64 {
	for low, high := 0, len(values)-1; low < high; {
		pivot, i, j := values[low+(high-low)/2], low, high
		for i <= j {
			for values[i] < pivot {
				i++
			}
			for values[j] > pivot {
				j--
			}
			if i <= j {
				values[i], values[j] = values[j], values[i]
				i++
				j--
			}
		}
		switch {
		case k <= j:
			high = j
		case k >= i:
			low = i
		default:
			return values[k]
		}
	}
	return values[k]
}

// SortedFrom returns the part of sorted times that is not before from.
func SortedFrom(times []float64, from float64) []float64 {
	old, _ := slices.BinarySearch(times, from)
	return times[old:]
}
