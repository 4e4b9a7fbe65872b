package policyserver

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestReadReportsMistakes: a mistake in a configuration file is reported, and what would be right.
func TestReadReportsMistakes(t *testing.T) {
	peers := "peer s1 raft 127.0.0.1:1 http 127.0.0.1:2\n" +
		"peer s2 raft 127.0.0.1:3 http 127.0.0.1:4\n" +
		"peer s3 raft 127.0.0.1:5 http 127.0.0.1:6\n"
	own := "steward s1 in state listen 127.0.0.1:2 raft 127.0.0.1:1\n"
	file := filepath.Join(t.TempDir(), "s.conf")
	for text, want := range map[string]string{
		own + peers: "",
		peers:       "has no line that names it",
		strings.Replace(own, "s1", "s9", 1) + peers:                 "policy server s9 is not among the peers",
		own + peers + "peer s4 raft 127.0.0.1:7 http 127.0.0.1:8\n": "names 4 policy servers",
		own + peers + "peer s3 raft 127.0.0.1:7 http 127.0.0.1:8\n": "s.conf:5:6: \"s3\": is given twice",
		own + peers + "lease 500ms\nbeat 100ms\n":                   "too short for heartbeats",
		own + peers + "leas 500ms\n":                                "did you mean lease?",
	} {
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		_, err := Read(file)
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", want, err)
		}
	}
}

// TestReferencePage: the page in docs is the one that the table of directives gives.
func TestReferencePage(t *testing.T) {
	page := filepath.Join("..", "..", "..", "docs", "operate", "reference-steward.md")
	if text, err := os.ReadFile(page); err != nil || string(text) != Reference() {
		t.Errorf("%s is not what yokeroute reference policy-server prints: %v", page, err)
	}
}
