package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const smallScenario = "scenario small\ntime length 6s warm-up 1s\nkind one cores 2\nservers 4 kind one\nlayout sets 2 shards 12\ngatherers 2\nindex find parts 4 work 20ms\nclients rate 20/s\n"

// execute runs a command line, and returns what it printed on standard output.
func execute(t *testing.T, args ...string) (string, error) {
	t.Helper()
	cmd := rootCommand()
	var out, progress bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetErr(&progress)
	cmd.SetArgs(args)
	err := cmd.ExecuteContext(t.Context())
	return out.String(), err
}

func writeFile(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestDayCommandsFromRunToReplay plays a day, compares variants, makes a page, and plays the results again, also with
// one figure changed.
func TestDayCommandsFromRunToReplay(t *testing.T) {
	day, results, trace := writeFile(t, "small.conf", smallScenario), t.TempDir(), filepath.Join(t.TempDir(), "day.trace")
	if out, err := execute(t, "run", day, "--trace", trace); err != nil || !strings.Contains(out, "kept") {
		t.Fatalf("%s%v", out, err)
	}
	if out, err := execute(t, "replay", trace); err != nil || !strings.Contains(out, "rule 6: kept") || strings.Contains(out, "not checked") {
		t.Errorf("%s%v", out, err)
	}
	if out, err := execute(t, "replay", trace, "--lookup", "3"); err != nil || !strings.Contains(out, "answered, whole true") {
		t.Errorf("%s%v", out, err)
	}
	if _, err := execute(t, "replay", trace, "--lookup", "99999"); err == nil {
		t.Error("a lookup that is not there")
	}
	text, err := os.ReadFile(trace)
	if err != nil {
		t.Fatal(err)
	}
	cut := writeFile(t, "cut.trace", string(text[:len(text)/2]))
	if out, err := execute(t, "replay", cut); !errors.Is(err, errNegative) || !strings.Contains(out, "does not pass: line") {
		t.Errorf("a cut trace: %s%v", out, err)
	}
	if out, err := execute(t, "compare", day, "--variants", "ours,random", "--seeds", "3", "--out", results); err != nil || !strings.Contains(out, "difference from ours") {
		t.Fatalf("%s%v", out, err)
	}
	if out, err := execute(t, "compare", day, "--variants", "ours", "--seeds", "3", "--with", "before="+results); err != nil || !strings.Contains(out, "before") || !strings.Contains(out, "+0.0000") {
		t.Errorf("%s%v", out, err)
	}
	if out, err := execute(t, "report", results); err != nil || !strings.Contains(out, "report.html") {
		t.Errorf("%s%v", out, err)
	}
	if out, err := execute(t, "replay", results); err != nil || !strings.Contains(out, "all 6 days come out the same") {
		t.Errorf("%s%v", out, err)
	}
	file := filepath.Join(results, "results.json")
	text, _ = os.ReadFile(file)
	if err := os.WriteFile(file, bytes.Replace(text, []byte(`"lookups": 9`), []byte(`"lookups": 8`), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := execute(t, "replay", results); !errors.Is(err, errNegative) || !strings.Contains(out, "1 of 6 days differ") {
		t.Errorf("a changed day: %s%v", out, err)
	}
	if out, err := execute(t, "sweep", day, "--over", "clients rate", "--values", "10/s,40/s", "--seeds", "2", "--variants", "ours"); err != nil || !strings.Contains(out, "rate 40/s") {
		t.Errorf("%s%v", out, err)
	}
	if out, err := execute(t, "hunt", day, "--rules", "--days", "3"); err != nil || !strings.Contains(out, "no rule broken on 3 days") {
		t.Errorf("%s%v", out, err)
	}
}

// TestMissedExpectationIsANegativeAnswer: a day that misses what its file expects ends with status 1.
func TestMissedExpectationIsANegativeAnswer(t *testing.T) {
	day := writeFile(t, "hard.conf", smallScenario+"trouble vanish at 1s for 5s servers 0.9\nexpect gain least 99%\n")
	if out, err := execute(t, "run", day); !errors.Is(err, errNegative) || !strings.Contains(out, "at least 0.99 was expected") {
		t.Errorf("%s%v", out, err)
	}
}

// TestBadUseIsNamed: the error of each mistake names what is wrong.
func TestBadUseIsNamed(t *testing.T) {
	day := writeFile(t, "small.conf", smallScenario)
	for _, c := range []struct {
		want string
		args []string
	}{
		{"no such file", []string{"run", "nowhere.conf"}},
		{`"ourz" is no variant; did you mean ours?`, []string{"run", day, "--variant", "ourz"}},
		{"--seeds 0", []string{"compare", day, "--seeds", "0"}},
		{"--figure", []string{"compare", day, "--figure", "beauty"}},
		{"NAME=FOLDER", []string{"compare", day, "--with", "x", "--seeds", "1", "--variants", "ours"}},
		{"holds no results.json", []string{"compare", day, "--with", "x=" + t.TempDir(), "--seeds", "1", "--variants", "ours"}},
		{"wants a directive and an option", []string{"sweep", day, "--over", "rate", "--values", "1/s"}},
		{`"fast"`, []string{"sweep", day, "--over", "clients rate", "--values", "fast"}},
		{"is no kind of trouble", []string{"hunt", day, "--only", "crush"}},
		{"no header of a trace", []string{"replay", day}},
		{"--output", []string{"run", day, "-o", "xml"}},
		{"--rate -1: is negative", []string{"demo", "--rate", "-1"}},
	} {
		if _, err := execute(t, c.args...); err == nil || errors.Is(err, errNegative) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v: %v", c.args, err)
		}
	}
}
