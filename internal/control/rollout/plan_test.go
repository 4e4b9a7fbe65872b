package rollout_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yokeroute/internal/control/rollout"
)

// TestReadPlanReportsEveryMistakeWithItsPosition checks that mistakes in a plan are reported with their position and
// the correction, and that no rollout is started. It also checks that the reference page is current and that the
// examples in it parse.
func TestReadPlanReportsEveryMistakeWithItsPosition(t *testing.T) {
	folder := t.TempDir()
	head := "rollout r in r\n" +
		"gatherer g1 zone north report 127.0.0.1:1\n" +
		"gatherer g2 zone south report 127.0.0.1:2\n" +
		"gatherer g3 zone north report 127.0.0.1:3\n"
	tail := "step-new ./x \"{name}\"\nstep-old ./x \"{name}\"\nold version 1\nnew version 2\n"
	stages := "stage one count 1\nstage all share 100%\n"
	for _, c := range []struct{ text, want string }{
		{head + tail, "has no stages"},
		{
			head + tail + "stage one count 1\nstage two count 1\n",
			":10:1: stage two comes to 1 gatherers, the one before it to 1 already",
		},
		{head + tail + "stage z zone west\n", ":9:1: stage z: no gatherer is in the zone west"},
		{head + tail + stages + "out 3\n", ":11:1: 3 gatherers may be out at once, and there are 3"},
		{head + tail + stages + "limit 10s\n", ":11:1: a stage may last 10000 ms"},
		{head + tail + stages + "harm 200%\n", `"200%"`},
		{head + tail + stages + "harm 40% fresh 30%\n", "less than the 0.400"},
		{head + tail + stages + "stag x count 2\n", "did you mean stage?"},
		{
			head + stages + "step-new ./x\nold version 1\nnew version 2\n",
			"step-new and step-old have to be set together",
		},
		{head + stages + tail + "runner restart\n", "runner conflicts with step-new and step-old"},
		{head + stages + "old version 1\nnew version 2\n", "the built-in runner starts programs"},
		{
			head + stages + "step-new ./x\nstep-old ./x\nold version 1\nnew version 1\n",
			"old and new are the same",
		},
		{
			head + stages + "step-new ./x\nstep-old ./x\nold version 1\nnew operator x\n",
			"operator is given for one of old and new alone; give it for both",
		},
		{
			head + "gatherer g1 zone north report 127.0.0.1:9\n" + stages + tail,
			":5:1: gatherer g1 is named twice",
		},
		{head + "gatherer g4 zone north report 127.0.0.1:3\n" + stages + tail, "as gatherer g3 does"},
		{"rollout r in r\n" + stages + tail, "names 0 gatherers"},
	} {
		file := filepath.Join(folder, "plan.conf")
		if err := os.WriteFile(file, []byte(c.text), 0o644); err != nil {
			t.Fatal(err)
		}
		_, err := rollout.ReadPlan(file)
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "plan.conf:") {
			t.Errorf("got error %v, want one with a position that contains %q", err, c.want)
		}
	}
	if _, err := os.Stat(filepath.Join(folder, "r")); err == nil {
		t.Error("the rollout's folder was created")
	}
	page := filepath.Join("..", "..", "..", "docs", "operate", "reference-rollout.md")
	if text, err := os.ReadFile(page); err != nil || string(text) != rollout.Reference() {
		t.Errorf("%s differs from the output of yokeroute reference rollout (read error: %v)", page, err)
	}
	for _, d := range rollout.Directives().Directives {
		if err := (rollout.Directives()).Parse("example", d.Example+"\n"); err != nil {
			t.Errorf("directive %s: its example is not accepted: %v", d.Name, err)
		}
	}
}
