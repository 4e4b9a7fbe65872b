package rolloutsim

import (
	"bytes"
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// TestOutcomesStayAsTheyWere: each version, by each strategy, ends with the same reason, at the same time and with
// the same harm as when the kept outcomes were written. A change of any figure of the decisions shows here.
func TestOutcomesStayAsTheyWere(t *testing.T) {
	t.Parallel()
	strategies := map[string]NewStrategy{"ours": nil, "plain": FixedThresholds, "at once": AllAtOnce}
	var out bytes.Buffer
	for _, version := range append(slices.Sorted(maps.Keys(HarmfulVersions)), "good") {
		for _, name := range slices.Sorted(maps.Keys(strategies)) {
			o := Run(testScenario(version), strategies[name])
			line, err := json.Marshal([]any{
				name, o.Version, o.Seed, o.Phase, o.Stage, o.Reason, o.Time, o.Harmed, o.FoundAtShare, o.MaxInProgress,
			})
			if err != nil {
				t.Fatal(err)
			}
			out.Write(append(line, '\n'))
		}
	}
	kept, err := os.ReadFile(filepath.Join("testdata", "kept", "outcomes.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Equal(kept, out.Bytes()) {
		return
	}
	got, want := bytes.Split(out.Bytes(), []byte("\n")), bytes.Split(kept, []byte("\n"))
	for i := range want {
		if i >= len(got) || !bytes.Equal(got[i], want[i]) {
			t.Errorf("outcome %d:\n%s\nkept\n%s", i, slices.Concat(got[min(i, len(got)):min(i+1, len(got))]...), want[i])
		}
	}
}
