package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestPlanCommandsSolveCheckExplainAndDiff takes the worked example to a plan and inspects it. Negative answers and
// bad input differ in their errors.
func TestPlanCommandsSolveCheckExplainAndDiff(t *testing.T) {
	example := filepath.Join("..", "..", "examples", "placement", "farm.conf")
	dir := t.TempDir()
	plan, next, overloaded := filepath.Join(dir, "plan.conf"), filepath.Join(dir, "next.conf"), filepath.Join(dir, "full.conf")
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	putChanged := func(name, from, to string) {
		os.WriteFile(name, []byte(strings.Replace(string(text), from, to, 1)), 0o600)
	}
	putChanged(overloaded, "demand g-m north 90/s", "demand g-m north 390/s")
	putChanged(next, "demand g-m north 90/s", "demand g-m north 150/s")
	for _, c := range []struct {
		args string
		fail string // no, or words of the error
		want []string
	}{
		{"plan solve " + example + " --out " + plan, "", []string{"weights: greatest utilisation 55.7%, cost 429 a second, 9 steps", "worst loss: hall north"}},
		{"plan check " + example + " " + plan, "", []string{"a placement file, greatest utilisation 55.7%", "a plan, greatest utilisation 55.7%"}},
		{"plan explain " + plan, "", []string{"s-03", "still cold", "Why not less than 55.7%", "draining"}},
		{"plan explain -o json " + plan, "", []string{`"Bottleneck"`}},
		{"plan explain --at 2026-12-01T10:01:00Z " + plan, "", []string{"greatest utilisation 5"}},
		{"plan explain --case 'hall south' " + plan, "", []string{"lost in this case"}},
		{"plan explain --case nothing " + plan, `no case "nothing"`, nil},
		{"plan explain --at noon " + plan, `--at "noon"`, nil},
		{"plan solve " + next + " --in-force " + plan + " --out " + next + ".plan", "", []string{"weights:"}},
		{"plan diff " + plan + " " + next + ".plan", "", []string{"north takes 40/s more", "hosts change by over a tenth", "demand for g-m goes from 120/s to 180/s"}},
		{"plan diff " + plan + " " + plan, "", []string{"no difference in meaning"}},
		{"plan diff -o json " + plan + " " + next + ".plan", "", []string{`"Moved": 26`}},
		{"plan solve --place " + example + " --out " + next, "", []string{"no placement is better", "move t-z from s-04 to n-01"}},
		{"plan solve -o json " + overloaded, "no", []string{`"fits": false`, "33/s short"}},
		{"plan solve " + overloaded, "no", []string{"Nothing fits. g-m needs 420/s", "387/s together: 33/s short"}},
		{"plan check " + overloaded, "no", []string{"nothing fits"}},
		{"plan explain " + example, "holds no weights", nil},
		{"plan solve -o xml " + example, "neither text nor json", nil},
		{"plan solve nowhere.conf", "nowhere.conf", nil},
		{"reference placement", "", []string{"# The placement file"}},
		{"reference colours", "none of operator, placement, segments, rollout, policy and policy-server", nil},
	} {
		args := strings.Fields(strings.ReplaceAll(c.args, "'hall south'", "hall_south"))
		for i := range args {
			args[i] = strings.ReplaceAll(args[i], "hall_south", "hall south")
		}
		out, err := execute(t, args...)
		switch {
		case c.fail == "" && err != nil, c.fail == "no" && !errors.Is(err, errNegative),
			c.fail != "" && c.fail != "no" && (err == nil || errors.Is(err, errNegative) || !strings.Contains(err.Error(), c.fail)):
			t.Errorf("%s: error %v", c.args, err)
		}
		for _, want := range c.want {
			if !strings.Contains(out, want) {
				t.Errorf("%s: prints\n%s\nwithout %q", c.args, out, want)
			}
		}
	}
	operators := filepath.Join(dir, "operator.conf")
	os.WriteFile(operators, []byte("plan plan.conf most-age 1h\nbackground cpu 5%\n"), 0o600)
	if out, err := execute(t, "check-config", "--operator", operators); err != nil || !strings.Contains(out, "reads well") {
		t.Errorf("%s, %v", out, err)
	}
	for text, want := range map[string]string{"plan full.conf": "holds no weights", "placement plan.conf": "lacks from-list", "plam x": "operator.conf:1:1", "plan gone.conf": "gone.conf"} {
		os.WriteFile(operators, []byte(text), 0o600)
		if _, err := execute(t, "check-config", "--operator", operators); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
