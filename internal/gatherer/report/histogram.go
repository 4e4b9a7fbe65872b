package report

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram counts latencies from 0.1 ms to one minute with a precision of two significant digits. Its values are in
// tenths of a millisecond.
type Histogram struct{ *hdrhistogram.Histogram }

const (
	millisecondsPerUnit = 0.1
	minUnits            = 1
	maxUnits            = 600_000
	significantDigits   = 2
)

// NewHistogram returns an empty histogram.
func NewHistogram() Histogram {
	return Histogram{hdrhistogram.New(minUnits, maxUnits, significantDigits)}
}

// Record counts one latency, given in milliseconds. A latency outside the bounds is counted at the nearest bound.
func (h Histogram) Record(ms float64) {
	units := min(max(math.Round(ms/millisecondsPerUnit), minUnits), maxUnits)
	_ = h.RecordValue(int64(units)) // cannot fail, since the value is within the bounds
}

// Quantile returns the latency at quantile q, from 0 to 1, in milliseconds. It returns 0 if the histogram is empty.
func (h Histogram) Quantile(q float64) float64 {
	if h.Histogram == nil || h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(100*q)) * millisecondsPerUnit
}

func (h Histogram) clone() Histogram {
	c := NewHistogram()
	c.Merge(h.Histogram)
	return c
}

// since returns the difference between the histogram and an earlier state of it.
func (h Histogram) since(earlier Histogram) Histogram {
	d := NewHistogram()
	earlierBars := earlier.Distribution()
	// Both histograms have the same bounds, so the earlier bars are a prefix of the current ones.
	for i, bar := range h.Distribution() {
		n := bar.Count
		if i < len(earlierBars) {
			n -= earlierBars[i].Count
		}
		if n > 0 {
			_ = d.RecordValues(bar.From, n) // cannot fail, since the bounds are the same
		}
	}
	return d
}

// MarshalJSON encodes the nonempty bars as pairs of a latency in tenths of a millisecond and a count. It does not use
// the library's compressed encoding, with which the sender determines how much memory the reader allocates.
func (h Histogram) MarshalJSON() ([]byte, error) {
	pairs := []int64{}
	if h.Histogram != nil {
		for _, bar := range h.Distribution() {
			if bar.Count > 0 {
				pairs = append(pairs, bar.From, bar.Count)
			}
		}
	}
	return json.Marshal(pairs)
}

// UnmarshalJSON decodes the format that MarshalJSON writes.
func (h *Histogram) UnmarshalJSON(text []byte) error {
	*h = NewHistogram()
	var pairs []int64
	if err := json.Unmarshal(text, &pairs); err != nil {
		return err
	}
	if len(pairs)%2 != 0 {
		return fmt.Errorf("histogram has %d numbers, want pairs of latency and count", len(pairs))
	}
	for i := 0; i < len(pairs); i += 2 {
		value, count := pairs[i], pairs[i+1]
		if value < 0 || value > maxUnits || count < 0 || count > math.MaxInt64/2-h.TotalCount() {
			return fmt.Errorf(
				"histogram has count %d at %d tenths of a millisecond, want a total of 0 to MaxInt64/2 at 0 to 600000",
				count, value)
		}
		if err := h.RecordValues(value, count); err != nil {
			return fmt.Errorf("histogram: %w", err)
		}
	}
	return nil
}
