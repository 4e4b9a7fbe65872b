package rolloutsim

import (
	"maps"
	"reflect"
	"slices"
	"testing"

	"yokeroute/logic/rollout"
)

func testScenario(version string) Scenario {
	return Scenario{
		Gatherers: 60, Zones: 3, QueryRate: 20, Interval: 10_000, TimeLimit: 7_200_000, FaultRate: 4, Seed: 1,
		Version: version,
	}
}

// TestGoodVersionsPass: versions as good as the old pass, with faults of the fleet's own on top of each other.
func TestGoodVersionsPass(t *testing.T) {
	t.Parallel()
	if s := RunMany(testScenario("good"), "ours", nil, 40, 2); s.Passed < 39 {
		t.Errorf("%+v", s)
	}
}

// TestHarmfulVersionsAreFound: each version that does worse is found, most before half of the fleet has it.
func TestHarmfulVersionsAreFound(t *testing.T) {
	for _, version := range slices.Sorted(maps.Keys(HarmfulVersions)) {
		t.Run(version, func(t *testing.T) {
			t.Parallel()
			if s := RunMany(testScenario(version), "ours", nil, 5, 2); s.Passed > 0 || s.FoundAtShare > 0.6 {
				t.Errorf("%+v", s)
			}
		})
	}
}

// TestBaselineStrategiesFindLess: a rollout without stages finds nothing, and harms more queries than stages do; fixed
// times and thresholds find a loss in all classes as well.
func TestBaselineStrategiesFindLess(t *testing.T) {
	t.Parallel()
	loses := testScenario("loses")
	ours := RunMany(loses, "ours", nil, 4, 2)
	none := RunMany(loses, "at once", AllAtOnce, 4, 2)
	fixed := RunMany(loses, "plain", FixedThresholds, 4, 2)
	if none.Passed != 4 || none.Harmed < 3*ours.Harmed || ours.Passed > 0 || fixed.Stopped == 0 {
		t.Errorf("%+v\n%+v\n%+v", ours, none, fixed)
	}
}

// TestSeedRepeatsARollout: the same seed gives the same rollout.
func TestSeedRepeatsARollout(t *testing.T) {
	t.Parallel()
	s := testScenario("tail")
	if a, b := Run(s, nil), Run(s, nil); !reflect.DeepEqual(a, b) {
		t.Errorf("%+v\n%+v", a, b)
	}
	s.Seed++
	if o := Run(s, nil); o.MaxInProgress > 3 || o.Phase == rollout.Completed {
		t.Errorf("%+v", o)
	}
}
