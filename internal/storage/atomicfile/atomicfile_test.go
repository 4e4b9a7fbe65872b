package atomicfile

import (
	"io"
	"os"
	"path/filepath"
	"testing"
)

// TestWriteReplacesAFileAndLeavesNothingElse writes a file, replaces its content, and tries to replace a folder, which
// must fail. No temporary file may remain.
func TestWriteReplacesAFileAndLeavesNothingElse(t *testing.T) {
	folder := t.TempDir()
	name := filepath.Join(folder, "file")
	for _, content := range []string{"first", "a longer second", ""} {
		if err := Write(name, []byte(content)); err != nil {
			t.Fatal(err)
		}
		if got, err := os.ReadFile(name); err != nil || string(got) != content {
			t.Errorf("read %q, %v, want the written content", got, err)
		}
	}
	if info, err := os.Stat(name); err != nil || info.Mode().Perm() != 0o644 {
		t.Errorf("file info %v, %v, want mode 0644", info, err)
	}
	directory := filepath.Join(folder, "taken")
	if err := os.Mkdir(directory, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := Write(directory, []byte("content")); err == nil {
		t.Error("Write replaced a folder, want an error")
	}
	if entries, err := os.ReadDir(folder); err != nil || len(entries) != 2 {
		t.Errorf("folder contains %v, %v, want the file and the folder", entries, err)
	}
}

// TestKeepExistingPreventsReplacingAndFailedWritesLeaveNoFile tests that KeepExisting prevents a file from being
// replaced, and that a failed write leaves no temporary file.
func TestKeepExistingPreventsReplacingAndFailedWritesLeaveNoFile(t *testing.T) {
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
		t.Error("KeepExisting: the existing file was replaced")
	}
	if text, _ := os.ReadFile(name); string(text) != "one" {
		t.Errorf("content %q, want one", text)
	}
	if err := write(name, "three", false); err != nil {
		t.Fatal(err)
	}
	if text, _ := os.ReadFile(name); string(text) != "three" {
		t.Errorf("content %q, want three", text)
	}
	if info, err := os.Stat(name); err != nil || info.Mode().Perm() != PrivateMode {
		t.Errorf("file info %v, %v, want mode 0600", info, err)
	}
	if entries, _ := os.ReadDir(folder); len(entries) != 1 {
		t.Errorf("folder contains %v, want only the file", entries)
	}
	if err := write(filepath.Join(folder, "no", "such"), "", false); err == nil {
		t.Error("a write into a folder that does not exist succeeded")
	}
}
