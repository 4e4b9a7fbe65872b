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

// TestTokensAreTakenOnce guards against two processes that carry out one operation, each sure that the other
// does not: they took it over at the same time and hold the same token.
func TestTokensAreTakenOnce(t *testing.T) {
	const processes = 16
	folder := t.TempDir()
	tokens := make([]uint64, processes)
	var all sync.WaitGroup
	for i := range tokens {
		all.Go(func() {
			f, err := Open(folder, true)
			if err != nil && !errors.Is(err, ErrSuperseded) { // one holds the lock, and may find that it was overtaken
				t.Error(err)
			}
			if err == nil {
				tokens[i] = f.FencingToken
				f.Close()
			}
		})
	}
	all.Wait()
	holders := map[uint64]int{}
	for i, token := range tokens {
		if first, taken := holders[token]; taken && token > 0 {
			t.Errorf("processes %d and %d hold the token %d", first, i, token)
		}
		holders[token] = i
	}
}

// TestProcessTakenOverWhileItBeginsIsRefused guards against two controllers with one token: one was stopped
// between reading the token and taking the next, while another one took over, and went on.
func TestProcessTakenOverWhileItBeginsIsRefused(t *testing.T) {
	folder := t.TempDir()
	stopped := &Folder{path: folder}
	previous, err := readToken(folder)
	if err == nil {
		err = stopped.acquireLock()
	}
	if err != nil {
		t.Fatal(err)
	}
	defer stopped.Close()
	next, err := Open(folder, true)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	if err := stopped.acquireToken(previous); !errors.Is(err, ErrSuperseded) {
		t.Errorf("the stopped process goes on with token %d, %v", stopped.FencingToken, err)
	}
	if err := next.CheckSuperseded(); err != nil {
		t.Errorf("the one that has taken over: %v", err)
	}
}

// TestLateTokenFileDoesNotRevertToken guards against a process that is stopped before it writes the token's
// file, and writes a lower token there than that of a process which has taken over.
func TestLateTokenFileDoesNotRevertToken(t *testing.T) {
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
		t.Errorf("the second: %v", err)
	}
	if err := first.CheckSuperseded(); !errors.Is(err, ErrSuperseded) {
		t.Errorf("the first: %v", err)
	}
}

// TestProcessThatRecordedNothingIsSkipped guards against records that are lost behind a process which was
// killed right after it had taken its token.
func TestProcessThatRecordedNothingIsSkipped(t *testing.T) {
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
		t.Errorf("read %d records, %v", count, err)
	}
	next, err := Open(folder, false)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	count = 0
	if err := next.Recover(visit); err != nil || count != 3 || next.FencingToken != 4 {
		t.Errorf("recovered %d records as %d, %v", count, next.FencingToken, err)
	}
}
