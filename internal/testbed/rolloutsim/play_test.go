package rolloutsim

import (
	"encoding/json"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"yokeroute/logic/rollout"
)

func terms(kind string) Terms {
	return Terms{Gatherers: 60, Zones: 3, Rate: 20, Interval: 10_000, Length: 7_200_000, Troubles: 4, Seed: 1, Kind: kind}
}

// TestGood: versions as good as the old pass, with troubles of the fleet's own on top of each other.
func TestGood(t *testing.T) {
	t.Parallel()
	row := Many(terms("good"), "ours", nil, 40, 2)
	if row.Passed < 39 {
		t.Errorf("%+v", row)
	}
}

// TestBad: each kind of version that does worse is found, most before half of the fleet has it.
func TestBad(t *testing.T) {
	for _, kind := range slices.Sorted(maps.Keys(Bad)) {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			row := Many(terms(kind), "ours", nil, 5, 2)
			if row.Passed > 0 || row.Found > 0.6 {
				t.Errorf("%+v", row)
			}
		})
	}
}

// TestBaselines: no stages find nothing, and harm more lookups than stages do; fixed waiting with plain thresholds
// finds a loss of all lookups as well.
func TestBaselines(t *testing.T) {
	t.Parallel()
	ours, none, plain := Many(terms("loses"), "ours", nil, 4, 2), Many(terms("loses"), "at once", AtOnce, 4, 2), Many(terms("loses"), "plain", Plain, 4, 2)
	if none.Passed != 4 || none.Harmed < 3*ours.Harmed || ours.Passed > 0 || plain.Stopped == 0 {
		t.Errorf("%+v\n%+v\n%+v", ours, none, plain)
	}
}

// TestAgain: a seed tells a rollout again.
func TestAgain(t *testing.T) {
	t.Parallel()
	one := terms("tail")
	if a, b := Play(one, nil), Play(one, nil); !reflect.DeepEqual(a, b) {
		t.Errorf("%+v\n%+v", a, b)
	}
	one.Seed++
	if a := Play(one, nil); a.MostOut > 3 || a.End == rollout.Completed {
		t.Errorf("%+v", a)
	}
}

// TestHunted: what a hunt found to be judged wrongly, good versions in quiet fleets and bad ones in one zone alone, is
// judged as it should be by now, but for what quiet fleets and chance may cost.
func TestHunted(t *testing.T) {
	text, err := os.ReadFile("testdata/hunted.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		var w Wrong
		if err := json.Unmarshal([]byte(line), &w); err != nil {
			t.Fatal(err)
		}
		t.Run(w.Terms.words(), func(t *testing.T) {
			t.Parallel()
			if right := Judged(w.Terms, 20, 2); right < w.Least {
				t.Errorf("%d of 20 judged as they should be, %d wanted; when found, %d of %d were not", right, w.Least, w.Times, w.Runs)
			}
		})
	}
}

// TestHunt: a hunt over few draws plays, and a case that is judged wrongly stays so while it is made small.
func TestHunt(t *testing.T) {
	t.Parallel()
	h := HuntTerms{Drawn: 6, Each: 1, Sure: 2, Workers: 2, Seed: 1, Seen: t.Logf}
	for _, w := range Hunt(h) {
		t.Errorf("passes: %+v", w)
	}
	h.Good = true
	quiet := Terms{Gatherers: 60, Zones: 3, Rate: 0.2, Interval: 10_000, Length: 1_800_000, Troubles: 4, Size: 1, Seed: 1, Own: &Effect{}}
	if w := h.shrink(h.try(quiet, 2)); w.Times != 2 || w.Terms.Zones != 1 || w.Terms.Troubles != 0 {
		t.Errorf("%+v", w)
	}
}
