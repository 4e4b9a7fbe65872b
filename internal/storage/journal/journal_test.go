package journal

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// openJournal opens a folder and returns the journal, the records that were loaded and the recovery report.
func openJournal(t testing.TB, dir string, maxBytes int64) (*Journal, []string, Recovery) {
	t.Helper()
	var records []string
	j, r, err := Open(Config{Folder: dir, MaxBytes: maxBytes, Load: func(rec []byte) error {
		records = append(records, string(rec))
		return nil
	}})
	if err != nil {
		t.Fatal(err)
	}
	return j, records, r
}

func sampleRecords(n int) (list []string) {
	for i := range n {
		list = append(list, fmt.Sprintf("record %d %s", i, bytes.Repeat([]byte{'x'}, i%7)))
	}
	return list
}

func copyDir(t testing.TB, from string) string {
	t.Helper()
	to := t.TempDir()
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
	return to
}

// singleFile returns the path of the only file in dir whose name begins with prefix.
func singleFile(t testing.TB, dir, prefix string) string {
	t.Helper()
	names, _ := filepath.Glob(filepath.Join(dir, prefix+"*"))
	if len(names) != 1 {
		t.Fatalf("found %d files with the prefix %s in %s, want 1", len(names), prefix, dir)
	}
	return names[0]
}

// TestOpenKeepsRecordsBeforeATruncation truncates a journal at each byte. Open must load exactly the records that
// end before the truncation and report no damage, and records that are appended afterwards must be stored.
func TestOpenKeepsRecordsBeforeATruncation(t *testing.T) {
	dir := t.TempDir()
	j, _, r := openJournal(t, dir, 1<<20)
	if !r.Empty {
		t.Error("an empty folder is not reported as empty")
	}
	want := sampleRecords(12)
	var recordEnds []int64
	for _, rec := range want {
		if err := j.Append([]byte(rec)); err != nil {
			t.Fatal(err)
		}
		recordEnds = append(recordEnds, j.Size())
	}
	j.Close()
	path := singleFile(t, dir, journalPrefix)
	journalBytes, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(journalBytes) + 1 {
		if err := os.WriteFile(path, journalBytes[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		j, got, r := openJournal(t, dir, 1<<20)
		intact := 0
		for intact < len(recordEnds) && recordEnds[intact] <= int64(n) {
			intact++
		}
		if !slices.Equal(got, want[:intact]) || r.Damaged || r.Empty ||
			(r.TornBytes > 0) != (n > 0 && (intact == 0 || int64(n) != recordEnds[intact-1])) {
			t.Fatalf("truncated at byte %d: loaded %d records, want %d; %+v", n, len(got), intact, r)
		}
		if err := j.Append([]byte("more")); err != nil {
			t.Fatal(err)
		}
		j.Close()
		if _, got, _ := openJournal(t, dir, 1<<20); !slices.Equal(got, append(slices.Clone(want[:intact]), "more")) {
			t.Fatalf("truncated at byte %d, then appended: loaded %q", n, got)
		}
	}
}

// TestOpenDetectsAnyChangedByte changes each byte of a journal and of a snapshot. The records that are loaded must
// be a prefix of those written, and damage must be reported if a record after the changed one is readable.
func TestOpenDetectsAnyChangedByte(t *testing.T) {
	dir := t.TempDir()
	j, _, _ := openJournal(t, dir, 1<<20)
	want := sampleRecords(10)
	if err := j.Snapshot(func(put func([]byte) error) error {
		for _, rec := range want[:4] {
			if err := put([]byte(rec)); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	var recordEnds []int64
	for _, rec := range want[4:] {
		if err := j.Append([]byte(rec)); err != nil {
			t.Fatal(err)
		}
		recordEnds = append(recordEnds, j.Size())
	}
	j.Close()
	for _, file := range []string{journalPrefix, snapshotPrefix} {
		path := singleFile(t, dir, file)
		original, _ := os.ReadFile(path)
		for n := range original {
			damagedDir := copyDir(t, dir)
			changed := bytes.Clone(original)
			changed[n] ^= 0x40
			if err := os.WriteFile(filepath.Join(damagedDir, filepath.Base(path)), changed, 0o600); err != nil {
				t.Fatal(err)
			}
			j, got, r := openJournal(t, damagedDir, 1<<20)
			j.Close()
			if file == snapshotPrefix {
				if len(got) > 0 || !r.Damaged {
					t.Fatalf("byte %d of the snapshot changed: loaded %d records, want 0 and damage; %+v", n, len(got), r)
				}
				continue
			}
			intact := 0
			for recordEnds[intact] <= int64(n) {
				intact++
			}
			if !slices.Equal(got, want[:4+intact]) || r.Damaged != (intact < len(recordEnds)-1) {
				t.Fatalf("byte %d of the journal changed: loaded %d records; %+v", n, len(got), r)
			}
		}
	}
}

// TestCrashAtAnySyncKeepsAcknowledgedRecords copies the folder at each sync, including those of a snapshot, and opens
// the copies. No acknowledged record may be missing, and none may be loaded twice.
func TestCrashAtAnySyncKeepsAcknowledgedRecords(t *testing.T) {
	dir := t.TempDir()
	j, _, _ := openJournal(t, dir, 200)
	var acknowledged, pending []string
	syncs := 0
	j.sync = func(f *os.File) error {
		if err := f.Sync(); err != nil {
			return err
		}
		syncs++
		crashed := copyDir(t, dir)
		reopened, got, r := openJournal(t, crashed, 200)
		reopened.Close()
		if r.Damaged || len(got) < len(acknowledged) || len(got) > len(pending) ||
			!slices.Equal(got, pending[:len(got)]) {
			t.Fatalf("crash after %d records, %d of them acknowledged: loaded %d; %+v", len(pending),
				len(acknowledged), len(got), r)
		}
		return nil
	}
	for _, rec := range sampleRecords(60) {
		pending = append(pending, rec)
		if err := j.Append([]byte(rec)); err != nil {
			t.Fatal(err)
		}
		acknowledged = pending
		if j.SnapshotDue() {
			if err := j.Snapshot(func(put func([]byte) error) error {
				for _, rec := range acknowledged {
					if err := put([]byte(rec)); err != nil {
						return err
					}
				}
				return nil
			}); err != nil {
				t.Fatal(err)
			}
		}
	}
	if syncs < 70 {
		t.Errorf("the journal was synced %d times, want at least 70", syncs)
	}
	if names, _ := filepath.Glob(filepath.Join(dir, "*")); len(names) != 2 {
		t.Errorf("the folder contains %d files, want 2: %v", len(names), names)
	}
}

// TestOpenDoesNotSync guards against a process that cannot serve until a slow disk has synced a new folder, or one
// whose journal ends in an incomplete record. The first Append must succeed only once all files that its record
// depends on are synced.
func TestOpenDoesNotSync(t *testing.T) {
	for _, torn := range []bool{false, true} {
		dir := t.TempDir()
		if torn {
			j, _, _ := openJournal(t, dir, 1<<20)
			j.Append([]byte("first"))
			j.Close()
			path := singleFile(t, dir, journalPrefix)
			text, _ := os.ReadFile(path)
			os.WriteFile(path, append(text, "torn"...), 0o600)
		}
		for successfulSyncs := range 5 { // more than there are syncs, so that in the last runs none fails
			var synced []string
			j, found, err := Open(Config{Folder: copyDir(t, dir), MaxBytes: 1 << 20, Load: func([]byte) error { return nil },
				Sync: func(f *os.File) error {
					synced = append(synced, strings.SplitAfter(filepath.Base(f.Name()), "-")[0])
					if len(synced) > successfulSyncs {
						return fs.ErrPermission
					}
					return f.Sync()
				}})
			if err != nil || len(synced) > 0 || (found.TornBytes > 0) != torn {
				t.Fatalf("Open: error %v, synced %v, want none; %+v", err, synced, found)
			}
			want := []string{journalPrefix, snapshotPrefix, filepath.Base(j.folder)}
			if torn {
				want = want[:1]
			}
			if err := j.Append([]byte("record")); (err == nil) != (successfulSyncs >= len(want)) {
				t.Errorf("torn %t, syncs fail after %d: synced %v, Append returned %v", torn, successfulSyncs, synced, err)
			}
			if successfulSyncs >= len(want) && !slices.Equal(synced, want) {
				t.Errorf("synced %v, want %v", synced, want)
			}
			synced = nil
			if err := j.Append([]byte("second")); successfulSyncs > len(want) && (err != nil || len(synced) != 1) {
				t.Errorf("second Append: error %v, synced %v, want one file", err, synced)
			}
			j.Close()
		}
	}
}

// TestSyncErrorKeepsAcknowledgedRecords makes all syncs after the first n fail, for several n. Append or Snapshot must
// return the error, and all acknowledged records must be loaded when the folder is reopened.
func TestSyncErrorKeepsAcknowledgedRecords(t *testing.T) {
	for successfulSyncs := range 12 {
		dir := t.TempDir()
		j, _, _ := openJournal(t, dir, 120)
		calls := 0
		j.sync = func(f *os.File) error {
			if calls++; calls > successfulSyncs {
				return fs.ErrPermission
			}
			return f.Sync()
		}
		var acknowledged []string
		var failure error
		for _, rec := range sampleRecords(20) {
			if failure = j.Append([]byte(rec)); failure != nil {
				break
			}
			acknowledged = append(acknowledged, rec)
			if j.SnapshotDue() {
				if failure = j.Snapshot(func(put func([]byte) error) error {
					for _, rec := range acknowledged {
						put([]byte(rec))
					}
					return nil
				}); failure != nil {
					break
				}
			}
		}
		if !errors.Is(failure, fs.ErrPermission) {
			t.Fatalf("syncs fail after %d: error %v, want fs.ErrPermission", successfulSyncs, failure)
		}
		j.Close()
		if _, got, _ := openJournal(t, dir, 120); len(got) < len(acknowledged) ||
			!slices.Equal(got[:len(acknowledged)], acknowledged) {
			t.Fatalf("syncs fail after %d: loaded %d records, %d were acknowledged", successfulSyncs,
				len(got), len(acknowledged))
		}
	}
}

// TestSnapshotAfterASyncErrorAllowsAppends guards against a journal that rejects every record after one failed write,
// and against one that loses the records it accepts after it. One sync fails, a different one in each run.
func TestSnapshotAfterASyncErrorAllowsAppends(t *testing.T) {
	for failingSync := range 12 {
		dir := t.TempDir()
		j, _, _ := openJournal(t, dir, 120)
		calls := 0
		j.sync = func(f *os.File) error {
			if calls++; calls == failingSync+1 {
				return fs.ErrPermission
			}
			return f.Sync()
		}
		var acknowledged []string
		snapshot := func() error {
			return j.Snapshot(func(put func([]byte) error) error {
				for _, rec := range acknowledged {
					if err := put([]byte(rec)); err != nil {
						return err
					}
				}
				return nil
			})
		}
		failures := 0
		for _, rec := range sampleRecords(20) {
			if err := j.Append([]byte(rec)); err != nil {
				failures++
				if !j.Failed() {
					t.Errorf("sync %d fails: Append returned %v, but Failed is false", failingSync, err)
				}
				if err := snapshot(); err != nil || j.Failed() {
					t.Fatalf("sync %d fails: snapshot after the failure: %v", failingSync, err)
				}
				continue
			}
			acknowledged = append(acknowledged, rec)
			if _, got, _ := openJournal(t, copyDir(t, dir), 120); !slices.Equal(got, acknowledged) {
				t.Fatalf("sync %d fails: loaded %d records after a crash, %d were acknowledged", failingSync,
					len(got), len(acknowledged))
			}
			if j.SnapshotDue() {
				_ = snapshot() // if it fails, records that are appended later must still be stored
			}
		}
		j.Close()
		_, got, _ := openJournal(t, dir, 120)
		if failures > 1 || len(acknowledged) < 19 || !slices.Equal(got, acknowledged) {
			t.Errorf("sync %d fails: %d appends failed, %d acknowledged, %d loaded", failingSync, failures,
				len(acknowledged), len(got))
		}
	}
}

// TestInvalidRecordsAndFoldersAreRejected appends records of invalid sizes, and opens a file as a folder.
func TestInvalidRecordsAndFoldersAreRejected(t *testing.T) {
	j, _, _ := openJournal(t, t.TempDir(), 100)
	if err := j.Append(nil); err == nil {
		t.Error("Append accepts an empty record")
	}
	if err := j.Append(make([]byte, maxRecordBytes+1)); err == nil {
		t.Error("Append accepts a record that is longer than maxRecordBytes")
	}
	file := filepath.Join(t.TempDir(), "file")
	os.WriteFile(file, nil, 0o600)
	if _, _, err := Open(Config{Folder: file, MaxBytes: 100}); err == nil {
		t.Error("Open accepts a file in place of a folder")
	}
}

// FuzzOpen opens a folder with a valid snapshot, and a journal of one valid record followed by arbitrary bytes. The
// valid record must be loaded, and a record that is appended must be loaded after the next Open.
func FuzzOpen(f *testing.F) {
	f.Add(appendRecord(appendRecord(nil, 1, 0, []byte("a")), 1, 13, []byte("bc")))
	f.Add([]byte{255, 255, 255, 255, 0})
	f.Fuzz(func(t *testing.T, text []byte) {
		dir := t.TempDir()
		j, _, _ := openJournal(t, dir, 100)
		j.Append([]byte("first"))
		j.Close()
		path := singleFile(t, dir, journalPrefix)
		good, _ := os.ReadFile(path)
		if err := os.WriteFile(path, append(good, text...), 0o600); err != nil {
			t.Fatal(err)
		}
		j, got, r := openJournal(t, dir, 100)
		if len(got) == 0 || got[0] != "first" ||
			r.BytesRead != int64(len(good)+len(text))+int64(len(snapshotHeader)+recordHeaderBytes) {
			t.Fatalf("loaded %q; %+v", got, r)
		}
		if err := j.Append([]byte("last")); err != nil {
			t.Fatal(err)
		}
		j.Close()
		if _, again, r := openJournal(t, dir, 100); len(again) != len(got)+1 || again[len(got)] != "last" ||
			r.TornBytes > 0 {
			t.Fatalf("loaded %q, before the append %q; %+v", again, got, r)
		}
	})
}

// FuzzSnapshot opens a folder whose snapshot consists of arbitrary bytes. No record of a damaged snapshot may be
// loaded.
func FuzzSnapshot(f *testing.F) {
	f.Add([]byte(snapshotHeader))
	f.Add(appendRecord(appendRecord([]byte(snapshotHeader), 1, int64(len(snapshotHeader)), []byte("a")), 1,
		int64(len(snapshotHeader))+13, nil))
	f.Fuzz(func(t *testing.T, text []byte) {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, snapshotPrefix+"0000000000000001"), text, 0o600); err != nil {
			t.Fatal(err)
		}
		j, got, r := openJournal(t, dir, 100)
		if len(got) > 0 && r.Damaged {
			t.Fatalf("loaded %q from a damaged snapshot", got)
		}
		if err := j.Append([]byte("last")); err != nil {
			t.Fatal(err)
		}
		j.Close()
		if _, again, _ := openJournal(t, dir, 100); len(again) != len(got)+1 {
			t.Fatalf("loaded %q, before the append %q", again, got)
		}
	})
}
