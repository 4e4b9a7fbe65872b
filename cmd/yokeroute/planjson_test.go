package main

import (
	"errors"
	"os"
	"strings"
	"testing"
)

// TestPlanJSONIsKept compares what the plan commands print for programs with documents of a released version, byte
// for byte.
func TestPlanJSONIsKept(t *testing.T) {
	t.Chdir("testdata/plan")
	for _, c := range []struct {
		args     string
		document string
		negative bool
	}{
		{"plan solve -o json small.conf", "solve.json", false},
		{"plan solve -o json --place small.conf", "place.json", false},
		{"plan solve -o json overloaded.conf", "clash.json", true},
		{"plan solve -o json --place overloaded.conf", "misfit.json", true},
		{"plan solve -o json --place unplaceable.conf", "unplaceable.json", true},
		{"plan explain -o json small.plan", "explain.json", false},
		{"plan explain -o json --case hall_south small.plan", "explain-case.json", false},
		{"plan diff -o json small.plan changed.plan", "diff.json", false},
		{"plan check -o json small.conf small.plan overloaded.conf", "check.json", true},
	} {
		args := strings.Fields(c.args)
		for i := range args {
			args[i] = strings.ReplaceAll(args[i], "_", " ")
		}
		out, err := execute(t, args...)
		if errors.Is(err, errNegative) != c.negative || err != nil && !c.negative {
			t.Errorf("%s: error %v", c.args, err)
		}
		want, err := os.ReadFile(c.document)
		if err != nil {
			t.Fatal(err)
		}
		if out != string(want) {
			t.Errorf("%s: prints\n%s\nwant\n%s", c.args, out, want)
		}
	}
}
