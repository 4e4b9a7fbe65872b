package rollout

import (
	"math"
	"testing"

	"yokeroute/internal/pcg"
)

// TestEProcessRarelyReachesThresholdUnderHypothesis tests that of 4,000 runs of 300 intervals at the border
// of the hypothesis, no more than the accepted probability ever reach the threshold although it is checked
// after each interval, and that a shift beyond the hypothesis is detected. It tests the same for
// likelihoodRatio.
func TestEProcessRarelyReachesThresholdUnderHypothesis(t *testing.T) {
	random := pcg.New(3)
	normal := func() float64 {
		return math.Sqrt(-2*math.Log(1-random.Float64())) * math.Cos(2*math.Pi*random.Float64())
	}
	for _, c := range []struct {
		shift    float64
		minShare float64
		maxShare float64
	}{{0, 0, 0.01}, {-0.5, 0, 0.001}, {0.5, 0.99, 1}, {2, 1, 1}} {
		reached := 0.0
		const runs = 4000
		for range runs {
			var evidence eProcess
			for range 300 {
				evidence.update(normal() + c.shift)
				if evidence.logValue() >= math.Log(100) {
					reached++
					break
				}
			}
		}
		if share := reached / runs; share < c.minShare || share > c.maxShare {
			t.Errorf("shift %g: a share of %.4f reached the threshold for a probability of 0.01", c.shift, share)
		}
	}
	var unbiased likelihoodRatio
	greatest := unbiased.logValue
	for range 200 { // events that occur on new and old by their share
		unbiased.update(0.1, random.Float64() < 0.1)
		greatest = max(greatest, unbiased.logValue)
	}
	if greatest > math.Log(100) {
		t.Errorf("equal rates: the log evidence reached %g", greatest)
	}
	var worse likelihoodRatio
	for range 6 {
		worse.update(0.1, true)
	}
	if worse.logValue < math.Log(100) {
		t.Errorf("six of six events on a tenth of the fleet: log evidence %g", worse.logValue)
	}
}
