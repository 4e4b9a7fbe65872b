package runfolder

import (
	"bytes"
	"errors"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"

	"yokeroute/internal/storage/atomicfile"
)

// The folder in testdata/kept was written by the version that introduced its format. It must not be changed: when a
// controller is replaced by a newer or an older version, that version continues with the same folder.

// readFiles returns the contents of all files below a folder by their paths relative to it.
func readFiles(t *testing.T, folder string) map[string][]byte {
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

// wantFolder checks that folder contains the same files, with the same contents, as the folder testdata/kept/NAME.
func wantFolder(t *testing.T, folder, name string) {
	t.Helper()
	got, want := readFiles(t, folder), readFiles(t, filepath.Join("testdata", "kept", name))
	if !slices.Equal(slices.Sorted(maps.Keys(got)), slices.Sorted(maps.Keys(want))) {
		t.Errorf("%s: written %v, kept %v", name, slices.Sorted(maps.Keys(got)), slices.Sorted(maps.Keys(want)))
	}
	for path, text := range want {
		if !bytes.Equal(got[path], text) {
			t.Errorf("%s: %s: written %q, kept %q", name, path, got[path], text)
		}
	}
}

// writeRun writes the folder of an operation that was run by two processes, one after the other.
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

// TestKeptRunFolderIsReadAndWrittenAsBefore reads and takes over a kept folder, and checks that the same operation
// produces the same bytes.
func TestKeptRunFolderIsReadAndWrittenAsBefore(t *testing.T) {
	var records []string
	collect := func(record []byte) error {
		records = append(records, string(record))
		return nil
	}
	want := []string{`{"stage":1}`, `{"stage":2}`, `{"stage":3}`}
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(filepath.Join("testdata", "kept", "run"))); err != nil {
		t.Fatal(err)
	}
	if err := ReadJournal(folder, collect); err != nil || !slices.Equal(records, want) {
		t.Errorf("ReadJournal: %q, %v, want the three recorded stages", records, err)
	}
	records = nil
	r, err := Open(folder, false)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if err := r.Recover(collect); err != nil || !slices.Equal(records, want) || r.FencingToken != 3 {
		t.Errorf("recovered with token %d: %q, %v, want token 3", r.FencingToken, records, err)
	}
	if command, err := r.Command(); err != nil || command != "pause 1796000000000" {
		t.Errorf("command is %q, %v, want \"pause 1796000000000\"", command, err)
	}
	written := t.TempDir()
	writeRun(t, written)
	wantFolder(t, written, "run")
}

// TestFencingTokensAreUnique guards against two processes that run one operation at the same time, because they took
// it over simultaneously with the same token.
func TestFencingTokensAreUnique(t *testing.T) {
	const processes = 16
	folder := t.TempDir()
	tokens := make([]uint64, processes)
	var group sync.WaitGroup
	for i := range tokens {
		group.Go(func() {
			f, err := Open(folder, true)
			if err != nil && !errors.Is(err, ErrSuperseded) { // the process that holds the lock may be superseded
				t.Error(err)
			}
			if err == nil {
				tokens[i] = f.FencingToken
				f.Close()
			}
		})
	}
	group.Wait()
	holders := map[uint64]int{}
	for i, token := range tokens {
		if first, taken := holders[token]; taken && token > 0 {
			t.Errorf("processes %d and %d both hold token %d", first, i, token)
		}
		holders[token] = i
	}
}

// TestProcessSupersededDuringOpenIsRejected guards against two controllers with the same token: the first one is
// suspended between reading the previous token and taking the next, another one takes over meanwhile, and the first one
// resumes.
func TestProcessSupersededDuringOpenIsRejected(t *testing.T) {
	folder := t.TempDir()
	suspended := &Folder{path: folder}
	previous, err := readToken(folder)
	if err == nil {
		err = suspended.acquireLock()
	}
	if err != nil {
		t.Fatal(err)
	}
	defer suspended.Close()
	next, err := Open(folder, true)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	if err := suspended.acquireToken(previous); !errors.Is(err, ErrSuperseded) {
		t.Errorf("the suspended process resumed with token %d, %v, want ErrSuperseded", suspended.FencingToken, err)
	}
	if err := next.CheckSuperseded(); err != nil {
		t.Errorf("the process that took over: %v", err)
	}
}

// TestStaleTokenFileDoesNotLowerTheToken guards against a process that is suspended before it writes the token file
// and, when it resumes, overwrites the higher token of a process that has taken over.
func TestStaleTokenFileDoesNotLowerTheToken(t *testing.T) {
	folder := t.TempDir()
	first, err := Open(folder, false)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	second, err := Open(folder, true)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	if err := atomicfile.Write(first.file(tokenFile), []byte("1\n")); err != nil {
		t.Fatal(err)
	}
	if err := second.CheckSuperseded(); err != nil {
		t.Errorf("second process: %v", err)
	}
	if err := first.CheckSuperseded(); !errors.Is(err, ErrSuperseded) {
		t.Errorf("first process: %v, want ErrSuperseded", err)
	}
}

// TestTokenOfProcessWithoutRecordsIsSkipped guards against losing the earlier records after a process was killed right
// after it took its token.
func TestTokenOfProcessWithoutRecordsIsSkipped(t *testing.T) {
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(filepath.Join("testdata", "kept", "run"))); err != nil {
		t.Fatal(err)
	}
	killed, err := Open(folder, false)
	if err != nil {
		t.Fatal(err)
	}
	killed.Close()
	count := 0
	visit := func([]byte) error {
		count++
		return nil
	}
	if err := ReadJournal(folder, visit); err != nil || count != 3 {
		t.Errorf("read %d records, %v, want 3", count, err)
	}
	next, err := Open(folder, false)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	count = 0
	if err := next.Recover(visit); err != nil || count != 3 || next.FencingToken != 4 {
		t.Errorf("recovered %d records with token %d, %v, want 3 records with token 4", count, next.FencingToken, err)
	}
}
