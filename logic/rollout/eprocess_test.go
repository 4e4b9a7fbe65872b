package rollout

import (
	"math"
	"testing"

	"yokeroute/internal/pcg"
)

// TestEProcessIsValidAtAnyTime: of 4,000 runs of 300 steps on the border of the hypothesis, no more than the
// probability asked for ever reach the bar, however often it is looked at; a step on the far side is found.
func TestEProcessIsValidAtAnyTime(t *testing.T) {
	chance := pcg.New(3)
	gauss := func() float64 {
		return math.Sqrt(-2*math.Log(1-chance.Float64())) * math.Cos(2*math.Pi*chance.Float64())
	}
	for _, c := range []struct {
		shift float64
		least float64
		most  float64
	}{{0, 0, 0.01}, {-0.5, 0, 0.001}, {0.5, 0.99, 1}, {2, 1, 1}} {
		reached := 0.0
		const runs = 4000
		for range runs {
			var w eProcess
			for range 300 {
				w.update(gauss() + c.shift)
				if w.logValue() >= math.Log(100) {
					reached++
					break
				}
			}
		}
		if share := reached / runs; share < c.least || share > c.most {
			t.Errorf("shift %g: %.4f reached the bar of a chance of 0.01", c.shift, share)
		}
	}
	var o likelihoodRatio
	most := o.logValue
	for range 200 { // ends that fall on new and old by their share
		o.update(0.1, chance.Float64() < 0.1)
		most = max(most, o.logValue)
	}
	if most > math.Log(100) {
		t.Errorf("alike: %g", most)
	}
	var worse likelihoodRatio
	for range 6 {
		worse.update(0.1, true)
	}
	if worse.logValue < math.Log(100) {
		t.Errorf("six of six on a tenth: %g", worse.logValue)
	}
}
