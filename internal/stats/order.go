// Package order finds values by their rank.
package stats

import "slices"

// Median is the middle value, the upper one of two, or the other where there is none. It moves values about.
func Median(values []float64, otherwise float64) float64 {
	if len(values) == 0 {
		return otherwise
	}
	return kth(values, len(values)/2)
}

// Quantile is the value at a share of the values in their order, 0 where there are none. It leaves the values as they are.
func Quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	return kth(slices.Clone(values), min(int(share*float64(len(values))), len(values)-1))
}

// kth is the value that would stand at k if values were sorted, for k within them. It moves values about but
// does not sort them: Hoare's selection takes time by their number, where sorting thousands in each round took
// three fifths of a gatherer's CPU.
func kth(values []float64, k int) float64 {
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

// From leaves only the times from one on; they stand in their order.
func From(times []float64, from float64) []float64 {
	old, _ := slices.BinarySearch(times, from)
	return times[old:]
}
