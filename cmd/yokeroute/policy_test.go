package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// runCommand runs a command line, and returns what it printed.
func runCommand(t *testing.T, args ...string) (stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	c := rootCommand()
	c.SetArgs(args)
	c.SetOut(&out)
	c.SetErr(&errs)
	if err := c.ExecuteContext(t.Context()); err != nil {
		t.Fatalf("%q: %v, %s", args, err, errs.String())
	}
	return out.String(), errs.String()
}

// fakePolicyServer answers requests of operators with documents of a released version, and returns what it received.
func fakePolicyServer(t *testing.T) (address string, received func() string) {
	t.Helper()
	kept := func(name string) []byte {
		file := filepath.Join("..", "..", "internal", "control", "policyapi", "testdata", "kept", name)
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	status, empty := kept("answer-status.json"), kept("answer-empty.json")
	requests := make(chan string, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		requests <- r.URL.Path + " " + string(body)
		if r.URL.Path == "/policy/status" {
			w.Write(status)
			return
		}
		w.Write(empty)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), func() string { return <-requests }
}

// TestPolicyStatusOutput: the status is printed in the words that operators' scripts know.
func TestPolicyStatusOutput(t *testing.T) {
	address, _ := fakePolicyServer(t)
	text, _ := runCommand(t, "policy", "status", "--policy-server", address)
	for _, want := range []string{
		"epoch 41 is in force, told by s1\n",
		"  closed north/s1\n",
		"change 44 is being prepared: not prepared yet: g2\n",
		"gatherer  zone   state         epoch  heard                 version  \n",
		"g1        north  prepared      41     0.3 s ago             1.2      \n",
		"g2               behind        41     0.0 s ago                      \n",
		"g3               alone         0      never by this server           \n",
		"g4               refuses       0      0.0 s ago                      no index find\n",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in\n%s", want, text)
		}
	}
	history, _ := runCommand(t, "policy", "history", "--policy-server", address)
	for _, want := range []string{"given up", "g2 refuses it: no index find", "and 39 before these\n"} {
		if !strings.Contains(history, want) {
			t.Errorf("%q is not in\n%s", want, history)
		}
	}
}

// TestPolicyOldNames: commands and flags are still known by their earlier names, which do the same.
func TestPolicyOldNames(t *testing.T) {
	address, received := fakePolicyServer(t)
	want, _ := runCommand(t, "policy", "status", "--output", "json", "--policy-server", address)
	got, _ := runCommand(t, "policy", "status", "--output", "json", "--steward", address)
	notice := "Flag --steward has been deprecated, use --policy-server\n"
	if strings.TrimPrefix(got, notice) != want || !strings.Contains(want, `"steward":"s1"`) {
		t.Errorf("%s\n%s", got, want)
	}
	received()
	received()
	runCommand(t, "policy", "steward", "--steward", address, "add", "s4")
	if got := received(); got != `/policy/steward {"policy":1,"name":"s4"}` {
		t.Errorf("%s", got)
	}
	runCommand(t, "policy", "server", "--policy-server", address, "remove", "s4")
	if got := received(); got != `/policy/steward {"policy":1,"name":"s4","out":true}` {
		t.Errorf("%s", got)
	}
	runCommand(t, "policy", "revert", "--steward", address, "--wait-most", "1s", "44")
	received()
	if got := received(); got != `/policy/give-up {"policy":1,"number":44,"why":"reverted while it was being prepared"}` {
		t.Errorf("%s", got)
	}
	file := filepath.Join(t.TempDir(), "s1.conf")
	text := "steward s1 in state listen 127.0.0.1:8700 raft 127.0.0.1:8701\npeer s1 raft 127.0.0.1:8701 http 127.0.0.1:8700\n"
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"policy-server", "steward"} {
		if got, _ := runCommand(t, name, "--check", file); got != file+": policy server s1 of 1 reads well\n" {
			t.Errorf("%s: %s", name, got)
		}
	}
}

// TestPolicyNeedsServers: a command that asks policy servers wants their addresses; a comparison of two files does
// not.
func TestPolicyNeedsServers(t *testing.T) {
	c := rootCommand()
	c.SetArgs([]string{"policy", "status"})
	if err := c.Execute(); err == nil || !strings.Contains(err.Error(), "--policy-server ADDRESS is needed") {
		t.Errorf("%v", err)
	}
	folder := t.TempDir()
	file := func(name, text string) string {
		file := filepath.Join(folder, name)
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return file
	}
	got, _ := runCommand(t, "policy", "diff", file("old", "no-copies\n"), file("new", "cold 50%\n"))
	want := "tighter  cold servers are sent less to 0.5\nlooser   all indexes: second copies allowed again as the platform has it\n"
	if got != want {
		t.Errorf("%q", got)
	}
}
