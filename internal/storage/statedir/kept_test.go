package statedir

import (
	"bytes"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"yokeroute/logic/ownership"
)

// The folders in testdata/kept were written by the version that introduced their format. They must not be changed: when
// a gatherer is replaced by a newer or an older version, that version continues with the same folder.

// keptCopy copies a folder from testdata/kept, since opening a folder may write to it.
func keptCopy(t *testing.T, name string) string {
	t.Helper()
	return copyDir(t, filepath.Join("testdata", "kept", name))
}

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

func keptMap(t *testing.T) *ownership.Map {
	t.Helper()
	half := uint64(1) << 63
	m, err := ownership.NewMap(7, []ownership.Segment{
		{Name: "a", Range: ownership.Range{Lo: 0, Hi: half - 1}, Owners: []string{"h-01", "h-02"}, OwnedSince: 3},
		{Name: "b", Range: ownership.Range{Lo: half, Hi: ^uint64(0)}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// writeGathererFolder writes the folder of a gatherer: a snapshot with a map and two IDs, a journal of four records
// that follow it, and the handover.
func writeGathererFolder(t *testing.T, folder string) {
	t.Helper()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	g, _, err := OpenGathererState(folder, 300, 1e12, 1_796_000_000_000)
	must(err)
	must(g.SaveMap(keptMap(t)))
	// This makes the journal longer than 300 bytes, so that a snapshot is written.
	must(g.RecordSent([]string{"first", "second"}, 1_796_000_000_000.25))
	must(g.RecordSent([]string{"third", "<&> \"name\""}, 1_796_000_000_001))
	must(g.RecordNotRun("second"))
	must(g.RecordSent([]string{"late"}, 1_796_000_000_500.5))
	must(g.Close())
	h, err := OpenHandover(folder)
	must(err)
	must(h.SetDraining(map[string]float64{"s-00000001": 1_795_999_000_000.5, "s-00000002": 0}))
}

// TestKeptGathererFolderIsReadAndWrittenAsBefore opens the kept folder of a gatherer, and checks that
// writing the same state produces the same bytes.
func TestKeptGathererFolderIsReadAndWrittenAsBefore(t *testing.T) {
	const now = 1_796_000_001_000
	folder := keptCopy(t, "gatherer")
	g, found, err := OpenGathererState(folder, 300, 1e12, now)
	if err != nil {
		t.Fatal(err)
	}
	if found.Empty || found.Damaged || found.TornBytes != 0 || found.Claims != 4 || found.Epoch != 7 ||
		found.UnknownUntil != 0 {
		t.Errorf("recovered %+v", found)
	}
	for id, want := range map[string]bool{"first": true, "second": false, "third": true, "<&> \"name\"": true,
		"late": true, "never": false} {
		if got := g.MayHaveRun(id, true, now); got != want {
			t.Errorf("MayHaveRun(%s) returned %t, want %t", id, got, want)
		}
	}
	m, want := g.Map(), keptMap(t)
	if m.Epoch != want.Epoch || m.Checksum != want.Checksum || len(m.Segments) != 2 ||
		m.Segments[0].Range != want.Segments[0].Range ||
		!slices.Equal(m.Segments[0].Owners, want.Segments[0].Owners) || m.Segments[0].OwnedSince != 3 ||
		m.Segments[1].Name != "b" {
		t.Errorf("map %+v", m)
	}
	g.Close()
	h, err := OpenHandover(folder)
	if err != nil || !maps.Equal(h.Draining, map[string]float64{"s-00000001": 1_795_999_000_000.5, "s-00000002": 0}) {
		t.Errorf("handover %+v, %v", h, err)
	}
	wantFolder(t, folder, "gatherer") // opening must not change the folder
	written := t.TempDir()
	writeGathererFolder(t, written)
	wantFolder(t, written, "gatherer")
}

// TestKeptFolderWithIncompleteRecordIsRead opens a folder whose journal ends in an incomplete record: the records
// before it must be recovered.
func TestKeptFolderWithIncompleteRecordIsRead(t *testing.T) {
	folder := keptCopy(t, "gatherer")
	path := singleFile(t, folder, "journal-")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text[:len(text)-3], 0o644); err != nil {
		t.Fatal(err)
	}
	g, found, err := OpenGathererState(folder, 300, 1e12, 1_796_000_001_000)
	if err != nil || found.Damaged || found.TornBytes == 0 || found.Claims != 3 ||
		g.MayHaveRun("late", false, 1_796_000_001_000) {
		t.Errorf("recovered %+v, %v", found, err)
	}
}
