package atomicfile

import (
	"io"
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

// TestFileIsCompleteOrAbsent: a file is replaced only on request, and nothing is left behind by a failed write.
func TestFileIsCompleteOrAbsent(t *testing.T) {
	write := func(name, text string, keepExisting bool) error {
		file := File{Name: name, Mode: PrivateMode, KeepExisting: keepExisting}
		return file.WriteFrom(func(w io.Writer) error { _, err := io.WriteString(w, text); return err })
	}
	folder := t.TempDir()
	name := filepath.Join(folder, "new.json")
	if err := write(name, "one", true); err != nil {
		t.Fatal(err)
	}
	if err := write(name, "two", true); err == nil {
		t.Error("written over")
	}
	if text, _ := os.ReadFile(name); string(text) != "one" {
		t.Errorf("%q", text)
	}
	if err := write(name, "three", false); err != nil {
		t.Fatal(err)
	}
	if text, _ := os.ReadFile(name); string(text) != "three" {
		t.Errorf("%q", text)
	}
	if info, err := os.Stat(name); err != nil || info.Mode().Perm() != PrivateMode {
		t.Errorf("%v, %v", info, err)
	}
	if left, _ := os.ReadDir(folder); len(left) != 1 {
		t.Errorf("left behind: %v", left)
	}
	if err := write(filepath.Join(folder, "no", "such"), "", false); err == nil {
		t.Error("written into a folder that is not there")
	}
}
