package discovery

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/shardcall"
)

// The files in testdata/kept are golden files: documents in all forms that discovery sends, and in learnt.txt the lists
// that the gatherer version that recorded them derives from each. They must not be changed.

var goldenStateNames = map[gather.State]string{gather.Running: "running", gather.Draining: "draining",
	gather.Removed: "gone"}

// TestGoldenDocumentsYieldRecordedLists applies the documents in order and compares the resulting lists with the
// recorded text.
func TestGoldenDocumentsYieldRecordedLists(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "kept", "[0-9]-*.json"))
	if err != nil || len(files) != 7 {
		t.Fatalf("found %d golden files, %v; want 7", len(files), err)
	}
	var got strings.Builder
	watcher := New(Config{Address: "127.0.0.1:1", OnChange: func(list gather.EndpointList, all []shardcall.Address) {
		fmt.Fprintf(&got, "full %t, failed %t\n", list.Full, list.Failed)
		for _, s := range list.Endpoints {
			fmt.Fprintf(&got, "  server %d group %d zone %q kind %q size %v state %s started %.1f\n",
				s.ID, s.ReplicaSet, s.Zone, s.Kind, s.Size, goldenStateNames[s.State], s.StartedAt)
		}
		for _, a := range all {
			fmt.Fprintf(&got, "  address %d %q at %s state %s started %.1f\n", a.ID, a.Name, a.HostPort,
				goldenStateNames[a.State], a.StartedAt)
		}
	}})
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		r, err := ParseResponse(text)
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		fmt.Fprintf(&got, "%s: revision %d, whole %t: ", filepath.Base(file), r.Revision, r.Full)
		watcher.Apply(r)
	}
	want, err := os.ReadFile(filepath.Join("testdata", "kept", "learnt.txt"))
	if err != nil || got.String() != string(want) {
		t.Errorf("got\n%s\nwant\n%s\n%v", got.String(), want, err)
	}
}

// TestGoldenInvalidDocumentsAreRejected checks that each document that the recording version rejected is rejected as a
// whole.
func TestGoldenInvalidDocumentsAreRejected(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "kept", "refused-*"))
	if err != nil || len(files) != 9 {
		t.Fatalf("found %d golden files, %v; want 9", len(files), err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if r, err := ParseResponse(text); err == nil {
			t.Errorf("%s: parsed as %+v, want an error", file, r)
		}
	}
}
