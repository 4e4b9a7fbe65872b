package runfolder

import (
	"bytes"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// The folder in testdata/kept is that of the version that wrote it. It may not be changed: a controller that is replaced
// by a newer or an older one goes on with its folder.

// files are all files below a folder, by their path in it.
func files(t *testing.T, folder string) map[string][]byte {
	t.Helper()
	all := map[string][]byte{}
	err := fs.WalkDir(os.DirFS(folder), ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		all[path], err = os.ReadFile(filepath.Join(folder, path))
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// wantFolder compares all files of a folder with a kept one, byte for byte.
func wantFolder(t *testing.T, folder, name string) {
	t.Helper()
	got, want := files(t, folder), files(t, filepath.Join("testdata", "kept", name))
	if !slices.Equal(slices.Sorted(maps.Keys(got)), slices.Sorted(maps.Keys(want))) {
		t.Errorf("%s: written %v, kept %v", name, slices.Sorted(maps.Keys(got)), slices.Sorted(maps.Keys(want)))
	}
	for path, text := range want {
		if !bytes.Equal(got[path], text) {
			t.Errorf("%s: %s: written %q, kept %q", name, path, got[path], text)
		}
	}
}

// writeRun writes the folder of a run that two processes carried out, one after the other.
func writeRun(t *testing.T, folder string) {
	t.Helper()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	first, err := Open(folder, false)
	must(err)
	must(first.Recover(func([]byte) error { return nil }))
	must(first.Append([]byte(`{"stage":1}`)))
	must(first.Append([]byte(`{"stage":2}`)))
	first.Close()
	must(SendCommand(folder, "pause", 1_796_000_000_000))
	second, err := Open(folder, false)
	must(err)
	must(second.Recover(func([]byte) error { return nil }))
	must(second.Append([]byte(`{"stage":3}`)))
	must(second.WriteFile("status.json", []byte(`{"phase":"paused"}`)))
	must(second.AppendLine("history", []byte(`{"event":"paused"}`)))
	must(second.AppendLine("history", []byte(`{"event":"resumed"}`)))
	second.Close()
}

// TestKeptRunFolderIsReadAndWrittenAsBefore reads and takes over a run's folder as it was kept, and writes the same values to the same bytes.
func TestKeptRunFolderIsReadAndWrittenAsBefore(t *testing.T) {
	var seen []string
	see := func(record []byte) error {
		seen = append(seen, string(record))
		return nil
	}
	want := []string{`{"stage":1}`, `{"stage":2}`, `{"stage":3}`}
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(filepath.Join("testdata", "kept", "run"))); err != nil {
		t.Fatal(err)
	}
	if err := ReadJournal(folder, see); err != nil || !slices.Equal(seen, want) {
		t.Errorf("read %q, %v", seen, err)
	}
	seen = nil
	r, err := Open(folder, false)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if err := r.Recover(see); err != nil || !slices.Equal(seen, want) || r.FencingToken != 3 {
		t.Errorf("taken over as %d with %q, %v", r.FencingToken, seen, err)
	}
	if word, err := r.Command(); err != nil || word != "pause 1796000000000" {
		t.Errorf("the operator's word is %q, %v", word, err)
	}
	written := t.TempDir()
	writeRun(t, written)
	wantFolder(t, written, "run")
}
