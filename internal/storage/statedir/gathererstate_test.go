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

func openState(t *testing.T, dir string, now float64) (*GathererState, RecoveredState) {
	t.Helper()
	g, r, err := OpenGathererState(dir, 2000, 1000, now)
	if err != nil {
		t.Fatal(err)
	}
	return g, r
}

// TestClaimsAndMapSurviveACrash wants claims and the map back after a crash, through snapshots, for the retention. A
// query of which nothing ran may run again.
func TestClaimsAndMapSurviveACrash(t *testing.T) {
	dir := t.TempDir()
	g, r := openState(t, dir, 0)
	if !r.Empty || r.UnknownUntil > 0 {
		t.Errorf("%+v", r)
	}
	m, err := ownership.NewMap(3, []ownership.Segment{{Name: "s", Range: ownership.All, Owners: []string{"a"}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := g.SaveMap(m); err != nil {
		t.Fatal(err)
	}
	for i := range 200 { // over several snapshots
		if err := g.RecordSent([]string{fmt.Sprint("a", i), fmt.Sprint("b", i)}, float64(i)); err != nil {
			t.Fatal(err)
		}
		if i%3 == 0 {
			if err := g.RecordNotRun(fmt.Sprint("b", i)); err != nil {
				t.Fatal(err)
			}
		}
	}
	// A crash: nothing is closed.
	g, r = openState(t, dir, 1100)
	if r.Epoch != 3 || g.Map().Checksum != m.Checksum || len(g.Map().Segments) != 1 || r.UnknownUntil > 0 {
		t.Errorf("%+v, map %+v", r, g.Map())
	}
	for i := range 200 {
		old := float64(i) < 100
		if got := g.MayHaveRun(fmt.Sprint("a", i), false, 1100); got == old {
			t.Errorf("a%d, sent at %d: may have run %t", i, i, got)
		}
		if got := g.MayHaveRun(fmt.Sprint("b", i), true, 1100); got == (old || i%3 == 0) {
			t.Errorf("b%d: may have run %t", i, got)
		}
	}
	if size, _ := g.Size(); size > 3000 {
		t.Errorf("the journal has %d bytes", size)
	}
}

// TestRepeatsMayHaveRunWhereRecordsAreMissing opens a state without a folder, and one with lost records. A query that
// is marked as a repeat may have run until the retention is over.
func TestRepeatsMayHaveRunWhereRecordsAreMissing(t *testing.T) {
	g, r, err := OpenGathererState("", 0, 1000, 5000)
	if err != nil || r.UnknownUntil != 6000 {
		t.Fatalf("%+v, %v", r, err)
	}
	for _, c := range []struct {
		repeat bool
		now    float64
		want   bool
	}{{false, 5500, false}, {true, 5500, true}, {true, 6000, false}} {
		if got := g.MayHaveRun("x", c.repeat, c.now); got != c.want {
			t.Errorf("%+v: %t", c, got)
		}
	}
	if err := g.RecordSent([]string{"x"}, 6000); err != nil || !g.MayHaveRun("x", false, 6001) {
		t.Errorf("a name sent by this process: %v", err)
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
		t.Errorf("a damaged journal: %+v", r)
	}
}

// TestJournalOfAnotherProgramIsRefused opens a folder of another program, which must not be taken for an empty one.
func TestJournalOfAnotherProgramIsRefused(t *testing.T) {
	dir := t.TempDir()
	j, _, err := journal.Open(journal.Config{Folder: dir, MaxBytes: 100})
	if err != nil {
		t.Fatal(err)
	}
	j.Append([]byte("not ours"))
	j.Close()
	if _, _, err := OpenGathererState(dir, 100, 1000, 0); err == nil {
		t.Error("records of another program are taken")
	}
}

// TestEndOfARecordWaitsForNoSync guards against clients that wait for the disk to be told that nothing of their query has
// run. The end outlasts the process; where a crash of the machine loses it, a repeat fails.
func TestEndOfARecordWaitsForNoSync(t *testing.T) {
	dir := t.TempDir()
	g, _ := openState(t, dir, 0)
	syncs := 0
	withSync(t, g, dir, func(f *os.File) error {
		syncs++
		return f.Sync()
	})
	if err := g.RecordSent([]string{"a", "b"}, 1); err != nil || syncs != 1 {
		t.Fatalf("%v, %d syncs", err, syncs)
	}
	synced := copyDir(t, dir) // what a crash of the machine may leave
	if err := g.RecordNotRun("a"); err != nil || syncs != 1 {
		t.Errorf("%v, %d syncs", err, syncs)
	}
	for _, c := range []struct {
		left        string
		aMayHaveRun bool
	}{{copyDir(t, dir), false}, {synced, true}} {
		after, r := openState(t, c.left, 2)
		if r.Damaged || after.MayHaveRun("a", true, 3) != c.aMayHaveRun || !after.MayHaveRun("b", false, 3) {
			t.Errorf("%+v: a may have run: %t", r, after.MayHaveRun("a", true, 3))
		}
	}
	if err := g.RecordSent([]string{"a"}, 2); err != nil || syncs != 2 || !g.MayHaveRun("a", false, 3) {
		t.Errorf("its repeat: %v, %d syncs", err, syncs)
	}
}

// TestClaimThatWasNotWrittenIsUnknown has the disk refuse a claim. It must not count as stored when it is recorded
// again.
func TestClaimThatWasNotWrittenIsUnknown(t *testing.T) {
	dir := t.TempDir()
	g, _ := openState(t, dir, 0)
	if err := g.RecordSent([]string{"a"}, 1); err != nil {
		t.Fatal(err)
	}
	withSync(t, g, dir, func(*os.File) error { return os.ErrPermission })
	for i := range 3 {
		if err := g.RecordSent([]string{"a", "b"}, float64(2+i)); err == nil {
			t.Error("a name that is not on the disk counts as written")
		}
	}
	if g.MayHaveRun("b", false, 5) || !g.MayHaveRun("a", false, 5) {
		t.Error("b never went, a may have")
	}
}

// TestClaimsAreStoredAgainOnceTheDiskIsWell guards against a gatherer that rejects every non-idempotent query until it is
// restarted, since its disk failed once.
func TestClaimsAreStoredAgainOnceTheDiskIsWell(t *testing.T) {
	const retention = 10_000
	dir := t.TempDir()
	g, _, err := OpenGathererState(dir, 4<<20, retention, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := g.RecordSent([]string{"a"}, 1); err != nil {
		t.Fatal(err)
	}
	full, calls := true, 0
	withSync(t, g, dir, func(f *os.File) error {
		if calls++; full {
			return os.ErrPermission
		}
		return f.Sync()
	})
	for _, now := range []float64{2, 3, 4, 5, 6} {
		if err := g.RecordSent([]string{"b"}, now); err == nil {
			t.Error("a name that is not on the disk counts as written")
		}
	}
	if calls > 3 {
		t.Errorf("a disk that fails was written to %d times in 5 ms", calls)
	}
	full = false
	if err := g.RecordSent([]string{"b"}, 2000); err != nil {
		t.Fatalf("the disk is well: %v", err)
	}
	if err := g.RecordSent([]string{"c"}, 2001); err != nil {
		t.Fatalf("the disk is well: %v", err)
	}
	again, _, err := OpenGathererState(copyDir(t, dir), 4<<20, retention, 2002)
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"a", "b", "c"} {
		if !again.MayHaveRun(id, false, 2002) {
			t.Errorf("%s is not stored", id)
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

// singleFile returns the one file of a folder with a prefix.
func singleFile(t testing.TB, dir, prefix string) string {
	t.Helper()
	names, _ := filepath.Glob(filepath.Join(dir, prefix+"*"))
	if len(names) != 1 {
		t.Fatalf("%d files %s in %s", len(names), prefix, dir)
	}
	return names[0]
}

// withSync replaces the journal of a state by one of the same folder whose files are synced otherwise.
func withSync(t testing.TB, g *GathererState, folder string, sync func(*os.File) error) {
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

// BenchmarkOpenGathererState opens a folder, by the number of claims in it, and reports its size.
func BenchmarkOpenGathererState(b *testing.B) {
	for _, claims := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(claims), func(b *testing.B) {
			dir := b.TempDir()
			g, _, err := OpenGathererState(dir, 4<<20, 600_000, 1_000_000)
			if err != nil {
				b.Fatal(err)
			}
			withSync(b, g, dir, func(*os.File) error { return nil })
			chance := pcg.New(1)
			for i := range claims {
				name := fmt.Sprintf("%08x%08x", chance.Uint32(), chance.Uint32())
				if err := g.RecordSent([]string{name}, 1_000_000+float64(i)/1000); err != nil {
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

// BenchmarkRecordSent records queries, with the disk's sync.
func BenchmarkRecordSent(b *testing.B) {
	for _, together := range []int{1, 16} {
		b.Run(fmt.Sprint(together), func(b *testing.B) {
			g, _, err := OpenGathererState(b.TempDir(), 4<<20, 600_000, 0)
			if err != nil {
				b.Fatal(err)
			}
			for i := range b.N {
				var names []string
				for k := range together {
					names = append(names, fmt.Sprint(i, "-", k))
				}
				if err := g.RecordSent(names, float64(i)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*together), "us/lookup")
		})
	}
}
