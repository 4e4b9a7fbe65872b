package atomicfile

import (
	"os"
	"path/filepath"
	"testing"
)

// TestWriteReplacesAFileAndLeavesNothingElse writes a new file, another content, and one whose name is taken by a folder.
func TestWriteReplacesAFileAndLeavesNothingElse(t *testing.T) {
	folder := t.TempDir()
	name := filepath.Join(folder, "file")
	for _, content := range []string{"first", "a longer second", ""} {
		if err := Write(name, []byte(content)); err != nil {
			t.Fatal(err)
		}
		if got, err := os.ReadFile(name); err != nil || string(got) != content {
			t.Errorf("%q, %v", got, err)
		}
	}
	if info, err := os.Stat(name); err != nil || info.Mode().Perm() != 0o644 {
		t.Errorf("%v, %v", info, err)
	}
	taken := filepath.Join(folder, "taken")
	if err := os.Mkdir(taken, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := Write(taken, []byte("content")); err == nil {
		t.Error("a folder is replaced")
	}
	if entries, err := os.ReadDir(folder); err != nil || len(entries) != 2 {
		t.Errorf("%v, %v", entries, err)
	}
}
