package statedir

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"yokeroute/internal/pcg"
	"yokeroute/internal/storage/journal"
	"yokeroute/logic/ownership"
)

// openState opens a state with a journal of at most 2000 bytes before a snapshot and a retention of 1000 ms.
func openState(t *testing.T, dir string, now float64) (*GathererState, RecoveredState) {
	t.Helper()
	g, r, err := OpenGathererState(dir, 2000, 1000, now)
	if err != nil {
		t.Fatal(err)
	}
	return g, r
}

// TestClaimsAndMapSurviveACrash tests that claims and the map are recovered after a crash, across snapshots, until the
// retention has passed. A query recorded as not run may run again.
func TestClaimsAndMapSurviveACrash(t *testing.T) {
	dir := t.TempDir()
	g, r := openState(t, dir, 0)
	if !r.Empty || r.UnknownUntil > 0 {
		t.Errorf("new folder: %+v, want an empty state", r)
	}
	m, err := ownership.NewMap(3, []ownership.Segment{{Name: "s", Range: ownership.AllKeys, Owners: []string{"a"}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := g.SaveMap(m); err != nil {
		t.Fatal(err)
	}
	for i := range 200 { // enough records for several snapshots
		if err := g.RecordSent([]string{fmt.Sprint("a", i), fmt.Sprint("b", i)}, float64(i)); err != nil {
			t.Fatal(err)
		}
		if i%3 == 0 {
			if err := g.RecordNotRun(fmt.Sprint("b", i)); err != nil {
				t.Fatal(err)
			}
		}
	}
	// Reopens the folder without Close, as after a crash.
	g, r = openState(t, dir, 1100)
	if r.Epoch != 3 || g.Map().Checksum != m.Checksum || len(g.Map().Segments) != 1 || r.UnknownUntil > 0 {
		t.Errorf("recovered %+v, map %+v", r, g.Map())
	}
	for i := range 200 {
		expired := float64(i) < 100
		if got := g.MayHaveRun(fmt.Sprint("a", i), false, 1100); got == expired {
			t.Errorf("query a%d, sent at %d: MayHaveRun returned %t", i, i, got)
		}
		if got := g.MayHaveRun(fmt.Sprint("b", i), true, 1100); got == (expired || i%3 == 0) {
			t.Errorf("query b%d: MayHaveRun returned %t", i, got)
		}
	}
	if size, _ := g.Size(); size > 3000 {
		t.Errorf("the journal has %d bytes, want at most 3000", size)
	}
}

// TestRepeatedQueryMayHaveRunIfRecordsAreMissing opens a state without a folder and one with lost records. A query that
// is marked as a repeat must count as one that may have run until the retention has passed.
func TestRepeatedQueryMayHaveRunIfRecordsAreMissing(t *testing.T) {
	g, r, err := OpenGathererState("", 0, 1000, 5000)
	if err != nil || r.UnknownUntil != 6000 {
		t.Fatalf("state without a folder: %+v, %v, want UnknownUntil 6000", r, err)
	}
	for _, c := range []struct {
		repeated bool
		now      float64
		want     bool
	}{{false, 5500, false}, {true, 5500, true}, {true, 6000, false}} {
		if got := g.MayHaveRun("x", c.repeated, c.now); got != c.want {
			t.Errorf("%+v: MayHaveRun returned %t", c, got)
		}
	}
	if err := g.RecordSent([]string{"x"}, 6000); err != nil || !g.MayHaveRun("x", false, 6001) {
		t.Errorf("a query sent by this process is not known: %v", err)
	}
	dir := t.TempDir()
	d, _ := openState(t, dir, 0)
	for i := range 10 {
		d.RecordSent([]string{fmt.Sprint(i)}, 0)
	}
	d.Close()
	path := singleFile(t, dir, "journal-")
	text, _ := os.ReadFile(path)
	text[40] ^= 1
	os.WriteFile(path, text, 0o600)
	if _, r := openState(t, dir, 10); !r.Damaged || r.UnknownUntil != 1010 {
		t.Errorf("damaged journal: %+v, want Damaged and UnknownUntil 1010", r)
	}
}

// TestJournalOfAnotherProgramIsRejected opens a folder with records of another program, which must be an error
// instead of an empty state.
func TestJournalOfAnotherProgramIsRejected(t *testing.T) {
	dir := t.TempDir()
	j, _, err := journal.Open(journal.Config{Folder: dir, MaxBytes: 100})
	if err != nil {
		t.Fatal(err)
	}
	j.Append([]byte("not ours"))
	j.Close()
	if _, _, err := OpenGathererState(dir, 100, 1000, 0); err == nil {
		t.Error("records of another program were accepted")
	}
}

// TestRecordThatQueryHasNotRunDoesNotWaitForSync guards against making a client wait for a sync of the disk before it
// is told that its query has not run. The record survives a crash of the process. If a crash of the machine loses it,
// the query counts as one that may have run, and a repeat fails.
func TestRecordThatQueryHasNotRunDoesNotWaitForSync(t *testing.T) {
	dir := t.TempDir()
	g, _ := openState(t, dir, 0)
	syncs := 0
	replaceSync(t, g, dir, func(f *os.File) error {
		syncs++
		return f.Sync()
	})
	if err := g.RecordSent([]string{"a", "b"}, 1); err != nil || syncs != 1 {
		t.Fatalf("RecordSent: %v, %d syncs, want 1", err, syncs)
	}
	copyBefore := copyDir(t, dir) // the state that remains if a crash of the machine loses the next record
	if err := g.RecordNotRun("a"); err != nil || syncs != 1 {
		t.Errorf("RecordNotRun: %v, %d syncs, want still 1", err, syncs)
	}
	for _, c := range []struct {
		dir         string
		aMayHaveRun bool
	}{{copyDir(t, dir), false}, {copyBefore, true}} {
		reopened, r := openState(t, c.dir, 2)
		if r.Damaged || reopened.MayHaveRun("a", true, 3) != c.aMayHaveRun || !reopened.MayHaveRun("b", false, 3) {
			t.Errorf("recovered %+v: MayHaveRun(a) returned %t", r, reopened.MayHaveRun("a", true, 3))
		}
	}
	if err := g.RecordSent([]string{"a"}, 2); err != nil || syncs != 2 || !g.MayHaveRun("a", false, 3) {
		t.Errorf("repeat of a: %v, %d syncs, want 2", err, syncs)
	}
}

// TestClaimThatWasNotStoredIsForgotten makes the sync of a claim fail. The claim must not count as stored when it
// is recorded again.
func TestClaimThatWasNotStoredIsForgotten(t *testing.T) {
	dir := t.TempDir()
	g, _ := openState(t, dir, 0)
	if err := g.RecordSent([]string{"a"}, 1); err != nil {
		t.Fatal(err)
	}
	replaceSync(t, g, dir, func(*os.File) error { return os.ErrPermission })
	for i := range 3 {
		if err := g.RecordSent([]string{"a", "b"}, float64(2+i)); err == nil {
			t.Error("RecordSent succeeded although the sync failed")
		}
	}
	if g.MayHaveRun("b", false, 5) || !g.MayHaveRun("a", false, 5) {
		t.Error("MayHaveRun: want false for b, which was never stored, and true for a")
	}
}

// TestClaimsAreStoredAfterTheDiskRecovers guards against a gatherer that, after one failure of its disk, rejects every
// non-idempotent query until it is restarted.
func TestClaimsAreStoredAfterTheDiskRecovers(t *testing.T) {
	const retention = 10_000
	dir := t.TempDir()
	g, _, err := OpenGathererState(dir, 4<<20, retention, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := g.RecordSent([]string{"a"}, 1); err != nil {
		t.Fatal(err)
	}
	diskFails, calls := true, 0
	replaceSync(t, g, dir, func(f *os.File) error {
		if calls++; diskFails {
			return os.ErrPermission
		}
		return f.Sync()
	})
	for _, now := range []float64{2, 3, 4, 5, 6} {
		if err := g.RecordSent([]string{"b"}, now); err == nil {
			t.Error("RecordSent succeeded although the sync failed")
		}
	}
	if calls > 3 {
		t.Errorf("%d syncs of a failing disk within 5 ms, want at most 3", calls)
	}
	diskFails = false
	if err := g.RecordSent([]string{"b"}, 2000); err != nil {
		t.Fatalf("first record after the disk has recovered: %v", err)
	}
	if err := g.RecordSent([]string{"c"}, 2001); err != nil {
		t.Fatalf("second record after the disk has recovered: %v", err)
	}
	reopened, _, err := OpenGathererState(copyDir(t, dir), 4<<20, retention, 2002)
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"a", "b", "c"} {
		if !reopened.MayHaveRun(id, false, 2002) {
			t.Errorf("claim %s is not stored", id)
		}
	}
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

// replaceSync reopens the journal of a state with another function for syncing its files.
func replaceSync(t testing.TB, g *GathererState, folder string, sync func(*os.File) error) {
	t.Helper()
	g.journal.Close()
	var err error
	g.journal, _, err = journal.Open(journal.Config{
		Folder:   folder,
		MaxBytes: 4 << 20,
		Load:     func([]byte) error { return nil },
		Sync:     sync,
	})
	if err != nil {
		t.Fatal(err)
	}
}

// BenchmarkOpenGathererState opens folders with different numbers of claims and reports their size per claim.
func BenchmarkOpenGathererState(b *testing.B) {
	for _, claims := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(claims), func(b *testing.B) {
			dir := b.TempDir()
			g, _, err := OpenGathererState(dir, 4<<20, 600_000, 1_000_000)
			if err != nil {
				b.Fatal(err)
			}
			replaceSync(b, g, dir, func(*os.File) error { return nil })
			random := pcg.New(1)
			for i := range claims {
				id := fmt.Sprintf("%08x%08x", random.Uint32(), random.Uint32())
				if err := g.RecordSent([]string{id}, 1_000_000+float64(i)/1000); err != nil {
					b.Fatal(err)
				}
			}
			g.Close()
			size := int64(0)
			entries, _ := os.ReadDir(dir)
			for _, e := range entries {
				info, _ := e.Info()
				size += info.Size()
			}
			b.ResetTimer()
			for range b.N {
				g, r, err := OpenGathererState(dir, 4<<20, 600_000, 1_000_000)
				if err != nil || r.Claims != claims {
					b.Fatal(r, err)
				}
				g.Close()
			}
			b.ReportMetric(float64(size)/float64(claims), "B/claim")
		})
	}
}

// BenchmarkRecordSent records queries in batches of different sizes, including the sync of the disk.
func BenchmarkRecordSent(b *testing.B) {
	for _, batchSize := range []int{1, 16} {
		b.Run(fmt.Sprint(batchSize), func(b *testing.B) {
			g, _, err := OpenGathererState(b.TempDir(), 4<<20, 600_000, 0)
			if err != nil {
				b.Fatal(err)
			}
			for i := range b.N {
				var ids []string
				for k := range batchSize {
					ids = append(ids, fmt.Sprint(i, "-", k))
				}
				if err := g.RecordSent(ids, float64(i)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*batchSize), "us/lookup")
		})
	}
}
