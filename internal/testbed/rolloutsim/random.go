package rolloutsim

import "math"

// gauss draws from the standard normal distribution, by the Box-Muller transform.
func (f *fleet) gauss() float64 {
	if f.hasSpareNormal {
		f.hasSpareNormal = false
		return f.spareNormal
	}
	radius := math.Sqrt(-2 * math.Log(1-f.random.Float64()))
	angle := 2 * math.Pi * f.random.Float64()
	f.spareNormal = radius * math.Sin(angle)
	f.hasSpareNormal = true
	return radius * math.Cos(angle)
}

// binomial draws how many of n trials succeed, each with a probability.
func (f *fleet) binomial(n, p float64) float64 {
	const normalFrom = 9 // variance from which the normal distribution is near enough
	switch {
	case n <= 0 || p <= 0:
		return 0
	case p >= 1:
		return math.Floor(n)
	case n*p*(1-p) > normalFrom:
		return min(max(math.Round(n*p+math.Sqrt(n*p*(1-p))*f.gauss()), 0), n)
	case p > 0.5:
		return math.Floor(n) - f.binomial(n, 1-p)
	}
	// The gaps between successes are geometric.
	successes, trial, logFailure := 0.0, 0.0, math.Log(1-p)
	for {
		trial += math.Floor(math.Log(1-f.random.Float64())/logFailure) + 1
		if trial > n {
			return successes
		}
		successes++
	}
}

// poisson draws from the Poisson distribution.
func (f *fleet) poisson(mean float64) float64 {
	const normalFrom = 12 // mean from which the normal distribution is near enough
	if mean > normalFrom {
		return max(math.Round(mean+math.Sqrt(mean)*f.gauss()), 0)
	}
	count, limit := 0.0, math.Exp(-mean)
	for p := f.random.Float64(); p > limit; p *= f.random.Float64() {
		count++
	}
	return count
}
