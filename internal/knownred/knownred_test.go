// Package knownred tests how CI reads KNOWN-RED.txt; the script itself is .ci/known-red.
package knownred

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestKnownRed wants every line that is complete to be printed and passed on, and any other to fail the script.
func TestKnownRed(t *testing.T) {
	const good = "./internal/knownred | TestKnownRed | go test -run TestKnownRed ./internal/knownred -seed 7 | fails for a reason | 33"
	for _, c := range []struct {
		name, text string
		out, words string // of standard error
		fails      bool
	}{
		{"none", "", "", "", false},
		{"one", good + "\n", "./internal/knownred TestKnownRed\n", "known red: " + good, false},
		{"without its line's end", good, "./internal/knownred TestKnownRed\n", good, false},
		{"a subtest", strings.Replace(good, "| TestKnownRed", "| TestKnownRed/one_case/a-b", 1),
			"./internal/knownred TestKnownRed/one_case/a-b\n", "TestKnownRed/one_case/a-b", false},
		{"a subtest of no test", strings.Replace(good, "| TestKnownRed", "| TestNothing/one", 1), "", ":1: no test TestNothing", true},
		{"an empty subtest", strings.Replace(good, "| TestKnownRed", "| TestKnownRed/", 1), "", ":1: not 'PACKAGE", true},
		{"a pattern for a subtest", strings.Replace(good, "| TestKnownRed", "| TestKnownRed/.*", 1), "", ":1: not 'PACKAGE", true},
		{"four", strings.Repeat(good+"\n", 4), strings.Repeat("./internal/knownred TestKnownRed\n", 4), strings.Repeat("known red: "+good+"\n", 4), false},
		{"four, the last malformed", strings.Repeat(good+"\n", 3) + "more\n", "", ":4: not 'PACKAGE", true},
		{"no such test", strings.Replace(good, "TestKnownRed", "TestNothing", 1), "", ":1: no test TestNothing", true},
		{"no such package", strings.Replace(good, "knownred", "nowhere", 1), "", ":1: no test", true},
		{"nothing seen", strings.Replace(good, "fails for a reason", "", 1), "", ":1: not 'PACKAGE", true},
		{"no command", strings.Replace(good, " | go test -run TestKnownRed ./internal/knownred -seed 7", "", 1), "", ":1: not 'PACKAGE", true},
		{"an empty command", strings.Replace(good, "go test -run TestKnownRed ./internal/knownred -seed 7", " ", 1), "", ":1: not 'PACKAGE", true},
		{"no issue", strings.Replace(good, " | 33", "", 1), "", ":1: not 'PACKAGE", true},
		{"empty line", good + "\n\n", "", ":2: not 'PACKAGE", true},
		{"a pattern for a test", strings.Replace(good, "TestKnownRed", "Test.*", 1), "", ":1: not 'PACKAGE", true},
	} {
		file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
		if c.text != "" {
			if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		var out, errs bytes.Buffer
		cmd := exec.Command(".ci/known-red", file)
		cmd.Dir, cmd.Stdout, cmd.Stderr = "../..", &out, &errs
		err := cmd.Run()
		if (err != nil) != c.fails || !c.fails && out.String() != c.out || !strings.Contains(errs.String(), c.words) {
			t.Errorf("%s: %v, %q, %q", c.name, err, out.String(), errs.String())
		}
	}
}
