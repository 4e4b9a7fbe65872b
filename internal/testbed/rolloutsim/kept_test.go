package rolloutsim

import (
	"bytes"
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"yokeroute/logic/rollout"
)

// TestOutcomesStayAsTheyWere: each kind of version, by each judge, ends with the same reason, at the same time and with
// the same harm as when the kept outcomes were written. A change of any figure of the decisions shows here.
func TestOutcomesStayAsTheyWere(t *testing.T) {
	t.Parallel()
	judges := map[string]func(p rollout.Plan) rollout.Strategy{"ours": nil, "plain": Plain, "at once": AtOnce}
	var out bytes.Buffer
	for _, kind := range append(slices.Sorted(maps.Keys(Bad)), "good") {
		for _, judge := range slices.Sorted(maps.Keys(judges)) {
			o := Play(terms(kind), judges[judge])
			line, err := json.Marshal([]any{judge, o.Kind, o.Seed, o.End, o.Stage, o.Why, o.Time, o.Harmed, o.Found, o.MostOut})
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
