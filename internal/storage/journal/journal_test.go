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

// openJournal opens a folder and returns its records.
func openJournal(t testing.TB, dir string, most int64) (*Journal, []string, Recovery) {
	t.Helper()
	var got []string
	j, r, err := Open(Config{Folder: dir, MaxBytes: most, Load: func(rec []byte) error {
		got = append(got, string(rec))
		return nil
	}})
	if err != nil {
		t.Fatal(err)
	}
	return j, got, r
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

// singleFile returns the one file of a folder with a prefix.
func singleFile(t testing.TB, dir, prefix string) string {
	t.Helper()
	names, _ := filepath.Glob(filepath.Join(dir, prefix+"*"))
	if len(names) != 1 {
		t.Fatalf("%d files %s in %s", len(names), prefix, dir)
	}
	return names[0]
}

// TestJournalCutAtAnyByteKeepsWhatStandsBefore cuts a journal at each byte. The records before the cut are there and
// no others, no damage is reported, and what is appended afterwards is there as well.
func TestJournalCutAtAnyByteKeepsWhatStandsBefore(t *testing.T) {
	dir := t.TempDir()
	j, _, r := openJournal(t, dir, 1<<20)
	if !r.Empty {
		t.Error("an empty folder is not fresh")
	}
	want := sampleRecords(12)
	var ends []int64
	for _, rec := range want {
		if err := j.Append([]byte(rec)); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, j.Size())
	}
	j.Close()
	path := singleFile(t, dir, journalPrefix)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(whole) + 1 {
		if err := os.WriteFile(path, whole[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		j, got, r := openJournal(t, dir, 1<<20)
		kept := 0
		for kept < len(ends) && ends[kept] <= int64(n) {
			kept++
		}
		if !slices.Equal(got, want[:kept]) || r.Damaged || r.Empty ||
			(r.TornBytes > 0) != (n > 0 && (kept == 0 || int64(n) != ends[kept-1])) {
			t.Fatalf("cut at %d: %d records of %d, %+v", n, len(got), kept, r)
		}
		if err := j.Append([]byte("more")); err != nil {
			t.Fatal(err)
		}
		j.Close()
		if _, got, _ := openJournal(t, dir, 1<<20); !slices.Equal(got, append(slices.Clone(want[:kept]), "more")) {
			t.Fatalf("cut at %d, then appended: %q", n, got)
		}
	}
}

// TestDamageOfAnyByteIsDetected changes each byte of a journal and of a snapshot. What is read is a prefix of what
// was written, and lost records are reported where a later one is readable.
func TestDamageOfAnyByteIsDetected(t *testing.T) {
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
	var ends []int64
	for _, rec := range want[4:] {
		if err := j.Append([]byte(rec)); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, j.Size())
	}
	j.Close()
	for _, file := range []string{journalPrefix, snapshotPrefix} {
		path := singleFile(t, dir, file)
		whole, _ := os.ReadFile(path)
		for n := range whole {
			hurt := copyDir(t, dir)
			changed := bytes.Clone(whole)
			changed[n] ^= 0x40
			if err := os.WriteFile(filepath.Join(hurt, filepath.Base(path)), changed, 0o600); err != nil {
				t.Fatal(err)
			}
			j, got, r := openJournal(t, hurt, 1<<20)
			j.Close()
			if file == snapshotPrefix {
				if len(got) > 0 || !r.Damaged {
					t.Fatalf("byte %d of the snapshot changed: %d records, %+v", n, len(got), r)
				}
				continue
			}
			kept := 0
			for ends[kept] <= int64(n) {
				kept++
			}
			if !slices.Equal(got, want[:4+kept]) || r.Damaged != (kept < len(ends)-1) {
				t.Fatalf("byte %d of the journal changed: %d records, %+v", n, len(got), r)
			}
		}
	}
}

// TestCrashAtAnySyncLosesNothingAcknowledged copies the folder at each sync, also amid a snapshot, and opens the
// copies. No acknowledged record is missing, and none is there twice.
func TestCrashAtAnySyncLosesNothingAcknowledged(t *testing.T) {
	dir := t.TempDir()
	j, _, _ := openJournal(t, dir, 200)
	var acknowledged, pending []string
	points := 0
	j.sync = func(f *os.File) error {
		if err := f.Sync(); err != nil {
			return err
		}
		points++
		crashed := copyDir(t, dir)
		after, got, r := openJournal(t, crashed, 200)
		after.Close()
		if r.Damaged || len(got) < len(acknowledged) || len(got) > len(pending) ||
			!slices.Equal(got, pending[:len(got)]) {
			t.Fatalf("a crash after %d records of which %d were acknowledged: %d are there, %+v", len(pending),
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
	if points < 70 {
		t.Errorf("%d moments", points)
	}
	if names, _ := filepath.Glob(filepath.Join(dir, "*")); len(names) != 2 {
		t.Errorf("%d files are left: %v", len(names), names)
	}
}

// TestOpenWaitsForNoSync guards against a process that serves nobody until its disk has synced a new folder, or one with
// a torn journal. The first record counts as stored once all that it needs is synced.
func TestOpenWaitsForNoSync(t *testing.T) {
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
		for fails := range 5 { // the last ones do not come
			var synced []string
			j, found, err := Open(Config{Folder: copyDir(t, dir), MaxBytes: 1 << 20, Load: func([]byte) error { return nil },
				Sync: func(f *os.File) error {
					synced = append(synced, strings.SplitAfter(filepath.Base(f.Name()), "-")[0])
					if len(synced) > fails {
						return fs.ErrPermission
					}
					return f.Sync()
				}})
			if err != nil || len(synced) > 0 || (found.TornBytes > 0) != torn {
				t.Fatalf("%v, %v synced, %+v", err, synced, found)
			}
			want := []string{journalPrefix, snapshotPrefix, filepath.Base(j.folder)}
			if torn {
				want = want[:1]
			}
			if err := j.Append([]byte("record")); (err == nil) != (fails >= len(want)) {
				t.Errorf("torn %t, call %d fails, synced are %v: %v", torn, fails, synced, err)
			}
			if fails >= len(want) && !slices.Equal(synced, want) {
				t.Errorf("synced are %v, want %v", synced, want)
			}
			synced = nil
			if err := j.Append([]byte("second")); fails > len(want) && (err != nil || len(synced) != 1) {
				t.Errorf("the second record: %v, %v synced", err, synced)
			}
			j.Close()
		}
	}
}

// TestFailingDiskStopsTheJournal has the disk fail from each of its calls on. The journal stops, and what was
// acknowledged is there afterwards.
func TestFailingDiskStopsTheJournal(t *testing.T) {
	for fails := range 12 {
		dir := t.TempDir()
		j, _, _ := openJournal(t, dir, 120)
		calls := 0
		j.sync = func(f *os.File) error {
			if calls++; calls > fails {
				return fs.ErrPermission
			}
			return f.Sync()
		}
		var acknowledged []string
		var failed error
		for _, rec := range sampleRecords(20) {
			if failed = j.Append([]byte(rec)); failed != nil {
				break
			}
			acknowledged = append(acknowledged, rec)
			if j.SnapshotDue() {
				if failed = j.Snapshot(func(put func([]byte) error) error {
					for _, rec := range acknowledged {
						put([]byte(rec))
					}
					return nil
				}); failed != nil {
					break
				}
			}
		}
		if !errors.Is(failed, fs.ErrPermission) {
			t.Fatalf("%d calls: %v", fails, failed)
		}
		j.Close()
		if _, got, _ := openJournal(t, dir, 120); len(got) < len(acknowledged) ||
			!slices.Equal(got[:len(acknowledged)], acknowledged) {
			t.Fatalf("%d calls: %d of %d acknowledged records are there", fails, len(got), len(acknowledged))
		}
	}
}

// TestSnapshotEndsAFailure guards against a journal that takes nothing more after one failed write, and against one
// that loses what it takes then. The disk fails once, at each of its calls in turn.
func TestSnapshotEndsAFailure(t *testing.T) {
	for fails := range 12 {
		dir := t.TempDir()
		j, _, _ := openJournal(t, dir, 120)
		calls := 0
		j.sync = func(f *os.File) error {
			if calls++; calls == fails+1 {
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
					t.Errorf("%d calls: %v, and it has not failed", fails, err)
				}
				if err := snapshot(); err != nil || j.Failed() {
					t.Fatalf("%d calls: no snapshot after a failure: %v", fails, err)
				}
				continue
			}
			acknowledged = append(acknowledged, rec)
			if _, got, _ := openJournal(t, copyDir(t, dir), 120); !slices.Equal(got, acknowledged) {
				t.Fatalf("%d calls: after a crash %d of %d acknowledged records are there", fails, len(got), len(acknowledged))
			}
			if j.SnapshotDue() {
				_ = snapshot() // one that fails must not spoil what is appended behind it
			}
		}
		j.Close()
		_, got, _ := openJournal(t, dir, 120)
		if failures > 1 || len(acknowledged) < 19 || !slices.Equal(got, acknowledged) {
			t.Errorf("%d calls: %d failures, %d acknowledged, %d are there", fails, failures, len(acknowledged), len(got))
		}
	}
}

// TestInvalidRecordsAndFoldersAreRefused appends records of invalid sizes, and opens a file as a folder.
func TestInvalidRecordsAndFoldersAreRefused(t *testing.T) {
	j, _, _ := openJournal(t, t.TempDir(), 100)
	if err := j.Append(nil); err == nil {
		t.Error("an empty record is appended")
	}
	if err := j.Append(make([]byte, maxRecordBytes+1)); err == nil {
		t.Error("a record that is too long is appended")
	}
	file := filepath.Join(t.TempDir(), "file")
	os.WriteFile(file, nil, 0o600)
	if _, _, err := Open(Config{Folder: file, MaxBytes: 100}); err == nil {
		t.Error("a file is taken for a folder")
	}
}

// FuzzOpen reads arbitrary bytes in a journal behind a valid snapshot.
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
			t.Fatalf("%q, %+v", got, r)
		}
		if err := j.Append([]byte("last")); err != nil {
			t.Fatal(err)
		}
		j.Close()
		if _, again, r := openJournal(t, dir, 100); len(again) != len(got)+1 || again[len(got)] != "last" ||
			r.TornBytes > 0 {
			t.Fatalf("%q after %q, %+v", again, got, r)
		}
	})
}

// FuzzSnapshot reads arbitrary bytes as a snapshot.
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
			t.Fatalf("%q of a damaged snapshot", got)
		}
		if err := j.Append([]byte("last")); err != nil {
			t.Fatal(err)
		}
		j.Close()
		if _, again, _ := openJournal(t, dir, 100); len(again) != len(got)+1 {
			t.Fatalf("%q after %q", again, got)
		}
	})
}
