package rolloutsim

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
)

// TestKeptScenariosAreJudgedRight: scenarios that a search found to be misjudged, good versions in quiet fleets and
// bad ones in one zone alone, are judged right, but for what quiet fleets and chance may cost.
func TestKeptScenariosAreJudgedRight(t *testing.T) {
	text, err := os.ReadFile("testdata/hunted.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		var m Misjudged
		if err := json.Unmarshal([]byte(line), &m); err != nil {
			t.Fatal(err)
		}
		t.Run(m.Scenario.describe(), func(t *testing.T) {
			t.Parallel()
			if right := CountRight(m.Scenario, 20, 2); right < m.MinRight {
				t.Errorf("%d of 20 judged right, %d wanted; when found, %d of %d were not", right, m.MinRight, m.Wrong, m.Runs)
			}
		})
	}
}

// TestSearchShrinksWhatIsMisjudged: a search over few scenarios runs, and one that is misjudged stays so while it is
// made smaller.
func TestSearchShrinksWhatIsMisjudged(t *testing.T) {
	t.Parallel()
	s := Search{Samples: 6, RunsPerSample: 1, ConfirmingRuns: 2, Workers: 2, Seed: 1, Progress: t.Logf}
	for _, m := range FindMisjudged(s) {
		t.Errorf("passes: %+v", m)
	}
	s.Good = true
	quiet := Scenario{
		Gatherers: 60, Zones: 3, QueryRate: 0.2, Interval: 10_000, TimeLimit: 1_800_000, FaultRate: 4, EffectScale: 1,
		Seed: 1, CustomEffect: &Effect{},
	}
	if m := s.shrink(s.simulate(quiet, 2)); m.Wrong != 2 || m.Scenario.Zones != 1 || m.Scenario.FaultRate != 0 {
		t.Errorf("%+v", m)
	}
}
