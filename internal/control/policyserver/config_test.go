package policyserver

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestReadRejectsInvalidConfigurations checks that an invalid configuration file is rejected with an error that says
// what is wrong.
func TestReadRejectsInvalidConfigurations(t *testing.T) {
	peers := "peer s1 raft 127.0.0.1:1 http 127.0.0.1:2\n" +
		"peer s2 raft 127.0.0.1:3 http 127.0.0.1:4\n" +
		"peer s3 raft 127.0.0.1:5 http 127.0.0.1:6\n"
	serverLine := "steward s1 in state listen 127.0.0.1:2 raft 127.0.0.1:1\n"
	file := filepath.Join(t.TempDir(), "s.conf")
	for text, want := range map[string]string{
		serverLine + peers: "",
		peers:              "has no steward directive; add steward NAME",
		strings.Replace(serverLine, "s1", "s9", 1) + peers:                 "policy server s9 is not among the peers; add",
		serverLine + peers + "peer s4 raft 127.0.0.1:7 http 127.0.0.1:8\n": "has 4 peers; use an odd number",
		serverLine + peers + "peer s3 raft 127.0.0.1:7 http 127.0.0.1:8\n": "s.conf:5:6: \"s3\": is given twice",
		serverLine + peers + "lease 500ms\nbeat 100ms\n":                   "lease of 500 ms is too short for a heartbeat every 100 ms",
		serverLine + peers + "leas 500ms\n":                                "did you mean lease?",
	} {
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		_, err := Read(file)
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want %q", text, err, want)
		}
	}
}

// TestReferencePage checks that the reference page in docs matches the table of directives.
func TestReferencePage(t *testing.T) {
	page := filepath.Join("..", "..", "..", "docs", "operate", "reference-steward.md")
	if text, err := os.ReadFile(page); err != nil || string(text) != Reference() {
		t.Errorf("%s differs from the output of yokeroute reference policy-server: %v", page, err)
	}
}
