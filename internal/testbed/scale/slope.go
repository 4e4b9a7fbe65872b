package scale

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"

	"yokeroute/internal/stats"
)

// Sample is one measurement at one size.
type Sample struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Figure is one measured quantity over growing sizes, what it comes to at the design size, and its budget.
type Figure struct {
	Name    string   `json:"name"`
	Per     string   `json:"per"`  // what the size counts
	Unit    string   `json:"unit"` // of the values
	Samples []Sample `json:"samples"`
	Design  float64  `json:"design"` // the size to compare at
	Budget  float64  `json:"budget,omitempty"`

	Slope        float64 `json:"slope"` // by least squares
	Spread       float64 `json:"spread"`
	AtDesign     float64 `json:"at_design"`
	Extrapolated bool    `json:"extrapolated"` // no run was of the design size
}

// add notes a measurement.
func (f *Figure) add(size, value float64) { f.Samples = append(f.Samples, Sample{size, value}) }

// fit works out the slope, its standard error, and the value at the design size: the median of the measurements there,
// or the line's where there are none.
func (f *Figure) fit() {
	var sizes, values, there []float64
	for _, s := range f.Samples {
		sizes, values = append(sizes, s.Size), append(values, s.Value)
		if s.Size == f.Design {
			there = append(there, s.Value)
		}
	}
	if len(sizes) < 2 || slices.Min(sizes) == slices.Max(sizes) {
		if len(values) > 0 {
			f.AtDesign, f.Extrapolated = stats.Quantile(values, 0.5), len(there) == 0
		}
		return
	}
	base, slope := stat.LinearRegression(sizes, values, nil, false)
	f.Slope, f.Spread = slope, slopeError(sizes, values, base, slope)
	if f.Extrapolated = len(there) == 0; f.Extrapolated {
		f.AtDesign = base + slope*f.Design
		return
	}
	f.AtDesign = stats.Quantile(there, 0.5)
}

// Factor is how often the budget goes into the value at the design size; 0 where there is no budget.
func (f *Figure) Factor() float64 {
	if f.Budget == 0 {
		return 0
	}
	return f.AtDesign / f.Budget
}

// slopeError is the standard error of a least-squares slope.
func slopeError(sizes, values []float64, base, slope float64) float64 {
	if len(sizes) < 3 {
		return 0
	}
	residues, spread, mean := 0.0, 0.0, stat.Mean(sizes, nil)
	for i := range sizes {
		off := values[i] - base - slope*sizes[i]
		residues += off * off
		spread += (sizes[i] - mean) * (sizes[i] - mean)
	}
	return math.Sqrt(residues / float64(len(sizes)-2) / spread)
}
