package policylease

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yokeroute/logic/policy"
)

// TestLoadRevision checks that a stored revision is read as it was written, and that a file that is truncated at any
// byte, has another format or is inconsistent yields an error and the zero revision.
func TestLoadRevision(t *testing.T) {
	folder := t.TempDir()
	want := policy.Revision{Epoch: 41, LastEnded: 43, Pending: 44}
	if got, err := LoadRevision(folder); got != (policy.Revision{}) || err != nil {
		t.Errorf("without a file: loaded %+v, %v; want the zero revision", got, err)
	}
	if err := saveRevision(folder, want); err != nil {
		t.Fatal(err)
	}
	if got, err := LoadRevision(folder); got != want || err != nil {
		t.Errorf("loaded %+v, %v; want %+v", got, err, want)
	}
	file := filepath.Join(folder, revisionFile)
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for n := range text {
		if err := os.WriteFile(file, text[:n], 0o644); err != nil {
			t.Fatal(err)
		}
		if got, err := LoadRevision(folder); err == nil || got != (policy.Revision{}) {
			t.Fatalf("truncated after %d bytes: loaded %+v, %v; want an error", n, got, err)
		}
	}
	for _, bad := range []string{
		strings.Replace(string(text), "fence 1", "fence 2", 1),
		strings.Replace(string(text), "43", "40", 1),
	} {
		if err := os.WriteFile(file, []byte(bad), 0o644); err != nil {
			t.Fatal(err)
		}
		if got, err := LoadRevision(folder); err == nil || got != (policy.Revision{}) {
			t.Errorf("%s: loaded %+v, %v; want an error", bad, got, err)
		}
	}
	if err := saveRevision("", want); err != nil {
		t.Error(err)
	}
	if err := saveRevision(filepath.Join(folder, "nowhere"), want); err == nil {
		t.Error("saveRevision succeeded in a folder that does not exist")
	}
}
