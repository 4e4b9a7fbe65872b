package report

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram counts latencies from 0.1 ms to a minute, to two digits. Its values are tenths of a millisecond.
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

// Record counts one latency in milliseconds. One beyond the bounds counts at the bound.
func (h Histogram) Record(ms float64) {
	units := min(max(math.Round(ms/millisecondsPerUnit), minUnits), maxUnits)
	_ = h.RecordValue(int64(units)) // within bounds: no error
}

// Quantile returns a quantile in milliseconds, 0 where nothing was counted.
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

// since returns the counts beyond those of an earlier state of the histogram.
func (h Histogram) since(earlier Histogram) Histogram {
	d := NewHistogram()
	before := earlier.Distribution()
	for i, bar := range h.Distribution() { // same bounds, hence the same bars, of which there may be more now
		n := bar.Count
		if i < len(before) {
			n -= before[i].Count
		}
		if n > 0 {
			_ = d.RecordValues(bar.From, n) // a bar of a histogram of the same bounds: no error
		}
	}
	return d
}

// MarshalJSON writes the bars that are not empty, as pairs of a latency in tenths of a millisecond and a count. The
// library's own compressed encoding is not used, since with it the sender decides how much memory its reader takes.
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

// UnmarshalJSON reads what MarshalJSON writes.
func (h *Histogram) UnmarshalJSON(text []byte) error {
	*h = NewHistogram()
	var pairs []int64
	if err := json.Unmarshal(text, &pairs); err != nil {
		return err
	}
	if len(pairs)%2 != 0 {
		return fmt.Errorf("a histogram of %d numbers, which are no pairs", len(pairs))
	}
	for i := 0; i < len(pairs); i += 2 {
		value, count := pairs[i], pairs[i+1]
		if value < 0 || value > maxUnits || count < 0 || count > math.MaxInt64/2-h.TotalCount() {
			return fmt.Errorf("a histogram with %d at %d tenths of a millisecond", count, value)
		}
		if err := h.RecordValues(value, count); err != nil {
			return fmt.Errorf("a histogram: %w", err)
		}
	}
	return nil
}
