package statedir

import (
	"fmt"
	"os"
	"testing"

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
	path := singleFile(t, dir, journalPrefix)
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
	j, _, err := OpenJournal(dir, 100, nil)
	if err != nil {
		t.Fatal(err)
	}
	j.Append([]byte("not ours"))
	j.Close()
	if _, _, err := OpenGathererState(dir, 100, 1000, 0); err == nil {
		t.Error("records of another program are taken")
	}
}

// TestClaimThatWasNotWrittenIsUnknown has the disk refuse a claim. It must not count as stored when it is recorded
// again.
func TestClaimThatWasNotWrittenIsUnknown(t *testing.T) {
	g, _ := openState(t, t.TempDir(), 0)
	if err := g.RecordSent([]string{"a"}, 1); err != nil {
		t.Fatal(err)
	}
	g.journal.sync = func(*os.File) error { return os.ErrPermission }
	for i := range 3 {
		if err := g.RecordSent([]string{"a", "b"}, float64(2+i)); err == nil {
			t.Error("a name that is not on the disk counts as written")
		}
	}
	if g.MayHaveRun("b", false, 5) || !g.MayHaveRun("a", false, 5) {
		t.Error("b never went, a may have")
	}
}
